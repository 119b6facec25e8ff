"""Shutdown by SIGTERM while clients send RPCs."""

import http.client
import random
import signal
import threading
import time

import pytest
from fake_services import CUSTOMER, connection, echo, headers, rpc


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
