"""Connections of clients at the instant in which they end: what was written arrives, what crossed is never sent on."""

import math
import os
import socket
import threading
import time
from contextlib import closing, contextmanager
from types import SimpleNamespace

import pytest
import structlog
import trio
from fake_services import echo, request_bytes, rpc, settings, surroundings, until

from oakfork.sockets import configuration
from oakfork.sockets.client_connections import IDLE_TIMEOUT, LINGER_TIMEOUT, ClientConnection, ClientConnections
from oakfork.sockets.exchange import Answer
from oakfork.sockets.messages import ClientLeft, RpcReceived


def opened(at, timeout=5.0):
    return socket.create_connection(configuration.parse_address(at), timeout=timeout)


def rest(sock):
    """All that comes until the other side ends its sending in order; a reset raises."""
    got = b""
    while more := sock.recv(65536):
        got += more
    return got


BAD = request_bytes(**{"X-Lane": "nothing"})


@pytest.mark.parametrize(
    "data, status",
    [
        (BAD, b"400"),  # bad request
        (request_bytes(**{"Connection": "close", "X-Txn": "2"}), b"200"),  # the client asks for the end
        (b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n", b"413"),  # over-large
        (b"\x00\xff\r\n\r\n", b"400"),
    ],
)
def test_what_stands_unread_behind_the_last_answer_does_not_reset_it(world, data, status):
    """The client sends on behind what ends its connection, more than is ever read, and reads late."""
    with world(echo) as w, closing(opened(w.at)) as sock:
        sock.sendall(data + request_bytes(**{"X-Txn": "3"}) * 2000)
        time.sleep(0.2)
        sock.sendall(request_bytes(**{"X-Txn": "4"}))
        got = rest(sock)
        assert got.startswith(b"HTTP/1.1 " + status) and got.count(b"HTTP/1.1 ") == 1
        assert not {seen[2]["x-txn"] for seen in w.seen()} & {"3", "4"}


def test_a_request_that_crosses_the_close_of_an_idle_connection_meets_an_end_and_is_never_sent_on(world):
    with world(echo) as w, closing(opened(w.at)) as sock:
        sock.sendall(request_bytes(**{"X-Txn": "1"}))
        assert b"made for 1 " in sock.recv(65536)
        begun = time.monotonic()
        assert sock.recv(1) == b"" and time.monotonic() - begun < IDLE_TIMEOUT + 1  # the gateway has ended its sending
        sock.sendall(request_bytes(**{"X-Txn": "2"}))  # on its way in that very moment
        time.sleep(0.1)
        sock.sendall(request_bytes(**{"X-Txn": "3"})[:-9])
        assert rest(sock) == b""  # no reset: the client sends it anew on another connection
        assert rpc(w.at, X_Txn="2")[0] == 200
        assert [seen[2]["x-txn"] for seen in w.seen()] == ["1", "2"]


def test_half_a_request_and_more_behind_a_time_out_still_gets_its_408(world):
    with world(echo) as w, closing(opened(w.at)) as sock:
        sock.sendall(request_bytes()[:-2])
        got = sock.recv(4096)
        sock.sendall(b"\r\n" + request_bytes(**{"X-Txn": "2"}))
        assert got.startswith(b"HTTP/1.1 408") and rest(sock) == b"" and not w.seen()


def test_connections_that_linger_hold_no_descriptors_beyond_the_bound(world):
    """Of 256 descriptors 130 are for clients. Five hundred ask badly and never close."""
    with world(echo) as w:
        held = []
        for _ in range(500):
            held.append(opened(w.at))
            held[-1].sendall(BAD)
        assert len(os.listdir(f"/proc/{w.process.pid}/fd")) < 170
        begun = time.monotonic()
        assert all(rpc(w.at)[0] == 200 for _ in range(5))
        assert time.monotonic() - begun < LINGER_TIMEOUT, "they make room for others"
        assert until(lambda: len(os.listdir(f"/proc/{w.process.pid}/fd")) < 40), "they linger for a bounded time"
        for sock in held:
            sock.close()


def test_a_client_that_sends_much_behind_its_request_and_goes_is_seen_to_go(world):
    def held(handler, body):
        ended.append(handler.connection.recv(1) == b"" and time.monotonic())

    ended = []
    with world(held) as w:
        sock = opened(w.at)
        sock.sendall(request_bytes(**{"X-Remaining-Ms": "1500"}))
        assert until(w.seen)
        sock.sendall(b"GET /-/nothing HTTP/1.1\r\nHost: a\r\n\r\n" * 9000)  # 350 KB
        time.sleep(0.1)
        gone = time.monotonic()
        sock.close()
        assert until(lambda: ended) and ended[0] - gone < 0.3  # its call-out is cancelled


@contextmanager
def listening(tmp_path):
    """Clients by themselves: a listener, and what they tell."""
    queue, inbox = trio.open_memory_channel(math.inf)
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    yield (
        lambda nursery, most=50: ClientConnections(
            surroundings(tmp_path), listener, most, queue, nursery, structlog.get_logger()
        ),
        listener.getsockname(),
        inbox,
    )
    listener.close()


def test_what_the_system_has_accepted_before_the_listener_closes_is_taken(tmp_path):
    async def main():
        with listening(tmp_path) as (clients_in, address, inbox):
            async with trio.open_nursery() as nursery:
                clients = clients_in(nursery)
                socks = [socket.create_connection(address) for _ in range(5)]
                for number, sock in enumerate(socks):
                    sock.sendall(request_bytes(**{"X-Txn": str(number)}))
                clients.leaving = True
                clients.accepting.cancel()  # its time is over before a single one was taken
                await clients.run()
                with trio.fail_after(2):
                    came = [await inbox.receive() for _ in socks]
                assert sorted(told.exchange.id for told in came) == [b"0", b"1", b"2", b"3", b"4"]
                for told in came:
                    told.exchange.answer(
                        SimpleNamespace(status=503, body=b"", content_type=None, retry_after=0.0, last=False)
                    )
                for sock in socks:
                    sock.settimeout(2)
                    assert (await trio.to_thread.run_sync(rest, sock)).startswith(b"HTTP/1.1 503")
                    sock.close()
                with trio.fail_after(LINGER_TIMEOUT + 1):
                    await clients.empty.wait()

    trio.run(main)


@pytest.mark.parametrize("whole", [True, False])
def test_last_bytes_in_the_instant_of_the_time_out_are_taken(tmp_path, whole):
    async def main():
        with listening(tmp_path) as (clients_in, _, inbox):
            async with trio.open_nursery() as nursery:
                ours, theirs = socket.socketpair()
                with closing(theirs):
                    client = ClientConnection(clients_in(nursery), _tcp(ours))
                    data = request_bytes()
                    theirs.sendall(data[:-2])
                    await client.link.fill()
                    client._process_received()
                    assert client.scope.deadline < math.inf
                    if whole:
                        theirs.sendall(data[-2:])
                    assert client._receive_at_timeout() is whole
                    if whole:
                        assert isinstance(inbox.receive_nowait(), RpcReceived) and client.scope.deadline == math.inf
                    else:
                        assert theirs.recv(100).startswith(b"HTTP/1.1 408")
                    ours.close()

    trio.run(main)


def test_nothing_is_written_into_an_answer_that_the_client_reads_slowly(tmp_path):
    """Half a request stands behind an answer that is still being written: its time begins when that is done."""

    async def main():
        with listening(tmp_path) as (clients_in, _, _):
            async with trio.open_nursery() as nursery:
                ours, theirs = socket.socketpair()
                ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                with closing(theirs):
                    client = ClientConnection(clients_in(nursery), _tcp(ours))
                    theirs.sendall(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n" + request_bytes()[:-2])
                    client._take = lambda message: client._write(Answer(200, bytes(100_000)))
                    await client.link.fill()
                    client._process_received()
                    assert client.writing and client.link.buffered
                    theirs.sendall(b"X")
                    await client.link.fill()
                    client._process_received()
                    assert client.scope.deadline == math.inf and client._receive_at_timeout()
                    nursery.cancel_scope.cancel()
                    ours.close()

    trio.run(main)


def _tcp(sock):
    """A socket pair's end that takes the options of TCP."""

    class Pair:
        def __getattr__(self, name):
            return getattr(sock, name)

        def setsockopt(self, *args):
            pass

    return Pair()


def test_a_client_that_comes_and_goes_in_one_turn_is_told_in_that_order(tmp_path):
    """However many wait for the keeper: nothing is sent on for one that has gone."""

    async def main():
        with listening(tmp_path) as (clients_in, address, inbox):
            async with trio.open_nursery() as nursery:
                clients = clients_in(nursery, 3000)
                nursery.start_soon(clients.run)
                for number in range(1500):
                    with closing(socket.create_connection(address)) as sock:
                        sock.sendall(request_bytes(**{"X-Txn": str(number)}))
                    if number % 50 == 0:
                        await trio.lowlevel.checkpoint()
                came, left = set(), set()
                with trio.fail_after(20):
                    while len(left) < 1500:
                        told = await inbox.receive()
                        if isinstance(told, ClientLeft):
                            assert told.exchange.id in came
                            left.add(told.exchange.id)
                        else:
                            came.add(told.exchange.id)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_request_sent_anew_while_it_is_held_runs_once_and_is_answered_on_each_connection(world):
    """The client saw its connection end, the gateway has not: the same request comes on another one."""

    def held(handler, body):
        assert go_on.wait(5)
        echo(handler, body)

    go_on = threading.Event()
    aims = [method | {"aim-ms": 8000.0, "deadline-ms": 8000.0} for method in settings()["classes"]]
    with world(held, held, settings=settings(classes=aims)) as w:
        request = request_bytes(**{"X-Txn": "7", "X-Remaining-Ms": "8000"})
        first, gone, anew = opened(w.at), opened(w.at), opened(w.at)
        for sock in (first, gone, anew):
            sock.sendall(request)
        gone.sendall(b"x")
        assert until(w.seen)
        gone.close()
        time.sleep(0.2)  # for what must not come: a second copy
        go_on.set()
        answers = [sock.recv(65536) for sock in (first, anew)]
        assert all(got.startswith(b"HTTP/1.1 200") and got.endswith(b"made for 7 ") for got in answers)
        assert len(w.seen()) == 1
        go_on.clear()
        first.sendall(request.replace(b": 7", b": 8"))
        anew.sendall(request.replace(b": 7", b": 8"))
        assert until(lambda: len(w.seen()) == 2)
        time.sleep(0.1)
        first.close()  # one connection waits on alone
        time.sleep(0.1)
        go_on.set()
        assert anew.recv(65536).endswith(b"made for 8 ") and len(w.seen()) == 2
        anew.close()


def test_an_answer_in_the_very_turn_in_which_its_client_is_seen_to_go_ends_nothing_else(tmp_path):
    """The keeper answers before it is told that the client has left."""

    async def main():
        with listening(tmp_path) as (clients_in, address, inbox):
            async with trio.open_nursery() as nursery:
                clients = clients_in(nursery)
                nursery.start_soon(clients.run)
                sock = socket.create_connection(address)
                sock.sendall(request_bytes())
                came = await inbox.receive()
                sock.close()
                left = await inbox.receive()
                assert isinstance(left, ClientLeft) and left.exchange is came.exchange
                came.exchange.answer(None)  # to nobody
                assert not clients.unanswered
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_idle_clients_fill_the_descriptors_while_discovery_is_down_and_the_news_still_comes(world):
    """Clients connect anew as often as they are closed. The watch gets a descriptor, and nothing spins."""

    def drop(handler, body):
        handler.close_connection = True

    def crowd():
        held = []
        while not over.is_set():
            try:
                held.append(opened(w.at, 0.2))
            except OSError:
                time.sleep(0.01)
            while len(held) > 150:
                held.pop(0).close()
        for sock in held:
            sock.close()

    def spent():
        with open(f"/proc/{w.process.pid}/stat") as file:
            return sum(map(int, file.read().rpartition(")")[2].split()[11:13])) / os.sysconf("SC_CLK_TCK")

    over = threading.Event()
    with world(echo, echo) as w:
        w.discovery.act = drop
        threads = [threading.Thread(target=crowd) for _ in range(3)]
        for thread in threads:
            thread.start()
        assert until(lambda: len(os.listdir(f"/proc/{w.process.pid}/fd")) > 100)
        time.sleep(1)
        assert len(os.listdir(f"/proc/{w.process.pid}/fd")) <= 256
        over.set()  # from here on they only hold what they have, and reopen nothing
        for thread in threads:
            thread.join()
        idle = [opened(w.at) for _ in range(400)]
        before, begun = spent(), time.monotonic()
        w.discovery.change([w.list[0] | {"state": "removed"}, w.list[1]])
        w.discovery.act = w.discovery.tell
        asked = len(w.discovery.seen)
        assert until(lambda: len(w.discovery.seen) > asked + 1) and time.monotonic() - begun < 6
        assert spent() - before < 0.8 * (time.monotonic() - begun) + 0.3, "it spins"
        time.sleep(0.2)
        seen = len(w.servers[0].seen)
        assert all(rpc(w.at)[0] == 200 for _ in range(4)) and len(w.servers[0].seen) == seen
        for sock in idle:
            sock.close()
