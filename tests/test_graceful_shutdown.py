"""Shutdown by SIGTERM while clients send RPCs."""

import http.client
import math
import random
import signal
import socket
import threading
import time
from contextlib import closing

import pytest
import trio
import trio.testing
from client_sockets import client_listener, open_socket, read_to_any_end
from fake_services import CUSTOMER, connection, echo, headers, request_bytes, rpc, settings

from oakfork.sockets.messages import ClientLeft, RpcReceived
from oakfork.sockets.shutdown import Shutdown


def test_open_rpcs_are_answered_after_sigterm(start_gateway):
    """Guards against RPCs that are cut off by a shutdown.

    Idle connections close, new ones are accepted for a while, readiness ends, and the process ends with status 0.
    """

    def slow(handler, body):
        time.sleep(1.0)
        echo(handler, body)

    with start_gateway(slow) as gateway:
        link, idle = connection(gateway.address), connection(gateway.address)
        assert rpc(gateway.address, path="/-/ready", link=idle)[0] == 200
        link.request("GET", f"/api?client={CUSTOMER}", None, headers())
        time.sleep(0.1)
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        assert idle.sock.recv(1) == b""  # idle connections close; new ones are still accepted
        late = connection(gateway.address)
        assert rpc(gateway.address, path="/-/ready", link=late)[0] == 503
        assert rpc(gateway.address)[0] == 200
        answer = link.getresponse()
        assert answer.status == 200 and answer.headers["Connection"] == "close"
        assert gateway.process.wait(3) == 0
        with pytest.raises(OSError):
            rpc(gateway.address)


def test_rpc_that_comes_after_sigterm_to_an_empty_gateway_is_answered(start_gateway):
    """Guards against a process that ends because no connection was open for a moment.

    A new connection brings an RPC that takes longer than new ones are accepted.
    """

    def slow(handler, body):
        time.sleep(1.0)
        echo(handler, body)

    with start_gateway(slow) as gateway:
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        assert rpc(gateway.address)[0] == 200
        assert gateway.process.wait(3) == 0


def test_clients_lose_nothing_during_a_shutdown(start_gateway):
    """Guards against lost RPCs of clients that behave as the protocol says.

    They keep their connections, repeat a request once on a new connection if a close crossed it, and use another
    gateway 0.4 s after SIGTERM.
    """

    def quick(handler, body):
        time.sleep(0.01)
        echo(handler, body)

    def ask(link, first):
        try:
            answers.append(rpc(gateway.address, link=link)[0])
            return link
        except (http.client.RemoteDisconnected, ConnectionError):
            if not first:
                lost.append(time.monotonic() - ended[0])
                return None
            return ask(connection(gateway.address), False)

    def client(number):
        link = connection(gateway.address)
        chance = random.Random(number)
        while link and (not ended or time.monotonic() < ended[0] + 0.4):
            link = ask(link, True)
            if link and link.sock is None:  # that was the last answer of the connection
                link = connection(gateway.address)
            time.sleep(chance.random() * 0.02)

    answers = []
    lost = []
    ended = []  # when SIGTERM was sent
    with start_gateway(quick) as gateway:
        threads = [threading.Thread(target=client, args=(number,)) for number in range(12)]
        for thread in threads:
            thread.start()
        time.sleep(0.4)
        ended.append(time.monotonic())
        gateway.process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        assert gateway.process.wait(3) == 0
    assert not lost and set(answers) <= {200, 503} and answers.count(200) > 100


def test_clients_that_keep_sending_until_sigkill_lose_nothing(start_gateway):
    """Guards against RPCs without an answer for clients that send on each connection for as long as it stays open.

    They do so up to SIGKILL, which comes the longest deadline and 0.7 s after SIGTERM. Hardly a request may meet a
    close without an answer.
    """

    def uneven(handler, body):
        time.sleep(0.6 if random.random() < 0.04 else 0.01)
        echo(handler, body)

    def client():
        link = connection(gateway.address)
        while not killed.is_set():
            sent[0] += 1
            try:
                link.request("GET", f"/api?client={CUSTOMER}", None, headers())
                answer = link.getresponse()
                answer.read()
                answers.append(answer.status)
            except (http.client.RemoteDisconnected, ConnectionError):
                closed.append(time.monotonic() - ended[0] if ended else -1.0)
                link = connection(gateway.address)
            if link.sock is None and ended and time.monotonic() > ended[0] + 0.4:
                return  # the last answer of its connection, and clients open no new ones by then
            time.sleep(0.002)

    answers = []
    closed = []  # when a close without an answer was seen, from SIGTERM on
    ended = []  # when SIGTERM was sent
    sent = [0]
    killed = threading.Event()
    with start_gateway(uneven, uneven, uneven) as gateway:
        threads = [threading.Thread(target=client) for _ in range(16)]
        for thread in threads:
            thread.start()
        time.sleep(1.5)
        ended.append(time.monotonic())
        gateway.process.send_signal(signal.SIGTERM)
        assert gateway.process.wait(2.7) == 0  # before SIGKILL would come
        killed.set()
        for thread in threads:
            thread.join()
    assert len(answers) > 400 and set(answers) <= {200, 503}
    assert len(closed) <= sent[0] / 200 and sent[0] == len(answers) + len(closed)


def test_rpcs_read_late_in_a_shutdown_are_answered_before_the_process_ends(start_gateway):
    """Guards against RPCs that are sent on after SIGTERM and whose deadline lies behind the end of the process.

    The server hangs. Clients connect as late as connections are accepted, and send one RPC each, 0.72 s after SIGTERM,
    unless their connection has been closed by then.
    """

    def hang(handler, body):
        over.wait(6)

    def client(number):
        time.sleep(max(0.0, began + 0.2 + 0.03 * number - time.monotonic()))
        try:
            sock = open_socket(gateway.address, timeout=6)
        except OSError:
            return
        time.sleep(max(0.0, began + 0.72 - time.monotonic()))
        try:
            sock.sendall(request_bytes(**{"X-Txn": str(number), "X-Remaining-Ms": "3000", "X-Tier": "basic"}))
        except OSError:  # closed before: a client sends it elsewhere
            return
        answers[str(number)] = read_to_any_end(sock)

    over = threading.Event()
    answers = {}
    plans = [{"name": "basic", "refill": 100.0, "peak-units": 100.0}]
    with start_gateway(hang, hang, settings=settings(aim=1500.0, **{"tiers-of-service": plans})) as gateway:
        began = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        threads = [threading.Thread(target=client, args=(number,)) for number in range(14)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert gateway.process.wait(6) == 0
        over.set()
        reached_a_server = {seen[2]["x-txn"] for seen in gateway.requests()}
    unanswered = [number for number in reached_a_server if not answers[number].startswith(b"HTTP/1.1 ")]
    assert not unanswered


@pytest.mark.parametrize("deadline", [0.4, 1.0, 3.0, 8.0])
def test_rpcs_read_late_in_a_shutdown_end_before_sigkill_may_come(tmp_path, deadline):
    """Guards against RPCs that SIGKILL finds unanswered although they came later than 0.7 s after SIGTERM.

    SIGKILL comes no sooner than 0.7 s and the longest deadline, or 3 s where that is longer, after SIGTERM. RPCs that
    come early keep all their time. The gateway may be held up for 0.15 s.
    """

    async def main():
        with client_listener(tmp_path, settings=settings(aim=deadline * 500)) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                clients = make_clients(nursery)
                nursery.start_soon(clients.run)
                socks = [socket.create_connection(address) for _ in range(4)]
                sigterm = trio.current_time()
                clients.leave(Shutdown(deadline))
                for number, (sock, after) in enumerate(zip(socks, (0.1, 0.4, 0.71, 0.95), strict=True)):
                    await trio.sleep_until(sigterm + after)
                    sock.sendall(request_bytes(**{"X-Txn": str(number), "X-Remaining-Ms": "9000"}))
                    message = await inbox.receive()
                    assert isinstance(message, RpcReceived) and message.exchange.id == b"%d" % number
                    exchange = message.exchange
                    assert exchange.time_left / 10_000 == pytest.approx(
                        max(0, exchange.until - exchange.received), abs=0.001
                    )
                    if after < 0.5:
                        assert exchange.until == pytest.approx(sigterm + after + deadline, abs=0.05)
                    else:
                        assert exchange.until <= sigterm + 0.7 + min(deadline, 3.0) - 0.15
                for sock in socks:
                    sock.close()
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.02))


def test_rpcs_that_are_open_at_the_end_of_the_process_are_aborted(tmp_path):
    """Guards against RPCs without an answer when their decisions come too late for the end of the process."""

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                clients = make_clients(nursery)
                nursery.start_soon(clients.run)
                with closing(socket.create_connection(address, timeout=5)) as sock:
                    sock.sendall(request_bytes())
                    received = await inbox.receive()
                    clients.leave(Shutdown(1.0))
                    clients.abort_unanswered()
                    assert not clients.unanswered
                    assert await inbox.receive() == ClientLeft(received.exchange)  # nothing more is sent for it
                    assert (await trio.to_thread.run_sync(sock.recv, 4096)).startswith(b"HTTP/1.1 502")
                    assert clients.latest_answer() == math.inf  # just after SIGTERM
                nursery.cancel_scope.cancel()

    trio.run(main)
