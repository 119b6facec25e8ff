"""The close of client connections: what was written arrives, and requests that cross the close are never sent on."""

import math
import os
import socket
import threading
import time
from contextlib import closing

import pytest
import trio
from client_sockets import client_listener, open_socket, read_to_end
from fake_services import echo, request_bytes, rpc, settings, until

from oakfork.sockets.client_connection import LINGER_TIMEOUT, REQUEST_TIMEOUT, ClientConnection
from oakfork.sockets.client_connections import IDLE_TIMEOUT
from oakfork.sockets.exchange import Answer
from oakfork.sockets.messages import ClientLeft, RpcReceived
from oakfork.sockets.shutdown import Shutdown

BAD_REQUEST = request_bytes(**{"X-Lane": "nothing"})


def open_descriptors(process):
    """The number of file descriptors that a process has open."""
    return len(os.listdir(f"/proc/{process.pid}/fd"))


@pytest.mark.parametrize(
    "data, status",
    [
        (BAD_REQUEST, b"400"),
        (request_bytes(**{"Connection": "close", "X-Txn": "2"}), b"200"),  # the client asks for the end
        (b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n", b"413"),  # too large
        (b"\x00\xff\r\n\r\n", b"400"),
    ],
)
def test_unread_bytes_behind_the_last_answer_do_not_reset_it(start_gateway, data, status):
    """Guards against the reset that a close over unread bytes sends, which destroys the answer.

    The client sends more behind the request that ends its connection than is ever read, and reads late.
    """
    with start_gateway(echo) as gateway, closing(open_socket(gateway.address)) as sock:
        sock.sendall(data + request_bytes(**{"X-Txn": "3"}) * 2000)
        time.sleep(0.2)
        sock.sendall(request_bytes(**{"X-Txn": "4"}))
        received = read_to_end(sock)
        assert received.startswith(b"HTTP/1.1 " + status) and received.count(b"HTTP/1.1 ") == 1
        assert not {seen[2]["x-txn"] for seen in gateway.requests()} & {"3", "4"}


def test_request_that_crosses_the_close_of_an_idle_connection_is_never_sent_on(start_gateway):
    """Guards against a request that runs although its client saw the connection end, and sends it again."""
    with start_gateway(echo) as gateway, closing(open_socket(gateway.address)) as sock:
        sock.sendall(request_bytes(**{"X-Txn": "1"}))
        assert b"made for 1 " in sock.recv(65536)
        begun = time.monotonic()
        assert sock.recv(1) == b"" and time.monotonic() - begun < IDLE_TIMEOUT + 1  # the gateway has ended its sending
        sock.sendall(request_bytes(**{"X-Txn": "2"}))  # on its way at that moment
        time.sleep(0.1)
        sock.sendall(request_bytes(**{"X-Txn": "3"})[:-9])
        assert read_to_end(sock) == b""  # no reset: the client sends it again on another connection
        assert rpc(gateway.address, X_Txn="2")[0] == 200
        assert [seen[2]["x-txn"] for seen in gateway.requests()] == ["1", "2"]


def test_incomplete_request_gets_408_even_if_more_follows_the_timeout(start_gateway):
    """Guards against a reset that destroys the 408, and against sending on what came after the timeout."""
    with start_gateway(echo) as gateway, closing(open_socket(gateway.address)) as sock:
        sock.sendall(request_bytes()[:-2])
        received = sock.recv(4096)
        sock.sendall(b"\r\n" + request_bytes(**{"X-Txn": "2"}))
        assert received.startswith(b"HTTP/1.1 408") and read_to_end(sock) == b"" and not gateway.requests()


def test_lingering_connections_stay_within_the_connection_limit(start_gateway):
    """Guards against clients that send bad requests and never close, and so take the descriptors of others.

    Of 256 descriptors 130 are for clients; five hundred clients do so here.
    """
    with start_gateway(echo) as gateway:
        held = []
        for _ in range(500):
            held.append(open_socket(gateway.address))
            held[-1].sendall(BAD_REQUEST)
        assert open_descriptors(gateway.process) < 170
        begun = time.monotonic()
        assert all(rpc(gateway.address)[0] == 200 for _ in range(5))
        assert time.monotonic() - begun < LINGER_TIMEOUT, "they must make room for others"
        assert until(lambda: open_descriptors(gateway.process) < 40), "they must linger for a bounded time"
        for sock in held:
            sock.close()


def test_client_that_leaves_after_sending_much_has_its_call_out_cancelled(start_gateway):
    """Guards against not reading on while an RPC is open, so that the end of the client is not seen."""

    def hold(handler, body):
        ended.append(handler.connection.recv(1) == b"" and time.monotonic())

    ended = []
    with start_gateway(hold) as gateway:
        sock = open_socket(gateway.address)
        sock.sendall(request_bytes(**{"X-Remaining-Ms": "1500"}))
        assert until(gateway.requests)
        sock.sendall(b"GET /-/nothing HTTP/1.1\r\nHost: a\r\n\r\n" * 9000)  # 350 KB
        time.sleep(0.1)
        left_at = time.monotonic()
        sock.close()
        assert until(lambda: ended) and ended[0] - left_at < 0.3


def test_connections_accepted_by_the_system_are_served_when_the_listener_closes(tmp_path):
    """Guards against the reset of connections in the backlog when the listener closes."""

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                clients = make_clients(nursery)
                socks = [socket.create_connection(address) for _ in range(5)]
                for number, sock in enumerate(socks):
                    sock.sendall(request_bytes(**{"X-Txn": str(number)}))
                clients.shutdown = Shutdown(clients.configuration.longest_deadline)
                clients.accepting.cancel()  # before a single one was accepted
                await clients.run()
                with trio.fail_after(2):
                    messages = [await inbox.receive() for _ in socks]
                assert sorted(message.exchange.id for message in messages) == [b"0", b"1", b"2", b"3", b"4"]
                for message in messages:
                    message.exchange.answer(Answer(503))
                for sock in socks:
                    sock.settimeout(2)
                    assert (await trio.to_thread.run_sync(read_to_end, sock)).startswith(b"HTTP/1.1 503")
                    sock.close()
                with trio.fail_after(LINGER_TIMEOUT + 1):
                    await clients.empty.wait()

    trio.run(main)


@pytest.mark.parametrize("complete", [True, False])
def test_last_bytes_that_come_with_the_timeout_complete_the_request(tmp_path, complete):
    """Guards against a 408 for a request whose last bytes were there when its time ended."""

    async def main():
        with client_listener(tmp_path) as (make_clients, _, inbox):
            async with trio.open_nursery() as nursery:
                ours, theirs = socket.socketpair()
                with closing(theirs):
                    client = ClientConnection(make_clients(nursery), _like_tcp(ours))
                    data = request_bytes()
                    theirs.sendall(data[:-2])
                    await client.link.fill()
                    client._process_received()
                    assert client.scope.deadline < math.inf
                    if complete:
                        theirs.sendall(data[-2:])
                    assert client._receive_at_timeout() is complete
                    if complete:
                        assert isinstance(inbox.receive_nowait(), RpcReceived) and client.scope.deadline == math.inf
                    else:
                        assert theirs.recv(100).startswith(b"HTTP/1.1 408")
                    ours.close()

    trio.run(main)


def test_first_request_that_is_incomplete_at_its_timeout_gets_408_though_more_of_it_came(tmp_path):
    """Guards against a close without an answer, for bytes that come with the timeout and don't complete the request."""

    async def main():
        with client_listener(tmp_path) as (make_clients, _, _):
            async with trio.open_nursery() as nursery:
                ours, theirs = socket.socketpair()
                theirs.settimeout(2)
                with closing(theirs):
                    client = ClientConnection(make_clients(nursery), _like_tcp(ours))
                    data = request_bytes()
                    theirs.sendall(data[:-9])
                    await client.link.fill()
                    client._process_received()
                    client.active_at -= REQUEST_TIMEOUT  # the time of the first request counts from here
                    theirs.sendall(data[-9:-2])
                    assert not client._receive_at_timeout()
                    assert theirs.recv(100).startswith(b"HTTP/1.1 408")
                    ours.close()

    trio.run(main)


def test_nothing_is_written_into_an_answer_that_the_client_reads_slowly(tmp_path):
    """Guards against a 408 inside an answer that is still being written, for half a request behind it.

    The timeout of that request begins when the answer is written.
    """

    async def main():
        with client_listener(tmp_path) as (make_clients, _, _):
            async with trio.open_nursery() as nursery:
                ours, theirs = socket.socketpair()
                ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                with closing(theirs):
                    client = ClientConnection(make_clients(nursery), _like_tcp(ours))
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


def _like_tcp(sock):
    """One end of a socket pair that accepts the options of TCP."""

    class Pair:
        def __getattr__(self, name):
            return getattr(sock, name)

        def setsockopt(self, *args):
            pass

    return Pair()


def test_rpc_is_queued_before_the_end_of_its_client(tmp_path):
    """Guards against sending on an RPC of a client that connects, asks and leaves in quick succession.

    However many messages wait, an RPC must come before the message that its client has left.
    """

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                clients = make_clients(nursery, 3000)
                nursery.start_soon(clients.run)
                for first in range(0, 1500, 50):
                    socks = [socket.create_connection(address) for _ in range(50)]
                    for number, sock in enumerate(socks, first):
                        sock.sendall(request_bytes(**{"X-Txn": str(number)}))
                    asked = {b"%d" % number for number in range(first, first + 50)}
                    with trio.fail_after(5):
                        while not asked <= clients.unanswered.keys():  # one that leaves before is not taken
                            await trio.lowlevel.checkpoint()
                    for sock in socks:
                        sock.close()
                received = set()
                left = set()
                with trio.fail_after(20):
                    while len(left) < 1500:
                        message = await inbox.receive()
                        if isinstance(message, ClientLeft):
                            assert message.exchange.id in received
                            left.add(message.exchange.id)
                        else:
                            received.add(message.exchange.id)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_request_sent_again_while_it_is_open_runs_once_and_is_answered_on_each_connection(start_gateway):
    """Guards against a second run, or a 409, for a client whose connection ended before the gateway saw it end."""

    def hold(handler, body):
        assert released.wait(5)
        echo(handler, body)

    released = threading.Event()
    methods = [method | {"aim-ms": 8000.0, "deadline-ms": 8000.0} for method in settings()["classes"]]
    with start_gateway(hold, hold, settings=settings(classes=methods)) as gateway:
        request = request_bytes(**{"X-Txn": "7", "X-Remaining-Ms": "8000"})
        first, closed, again = (open_socket(gateway.address) for _ in range(3))
        for sock in (first, closed, again):
            sock.sendall(request)
        closed.sendall(b"x")
        assert until(gateway.requests)
        closed.close()
        time.sleep(0.2)  # in which no second copy may come
        released.set()
        answers = [sock.recv(65536) for sock in (first, again)]
        assert all(answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"made for 7 ") for answer in answers)
        assert len(gateway.requests()) == 1
        released.clear()
        first.sendall(request.replace(b": 7", b": 8"))
        again.sendall(request.replace(b": 7", b": 8"))
        assert until(lambda: len(gateway.requests()) == 2)
        time.sleep(0.1)
        first.close()  # the other connection alone waits now
        time.sleep(0.1)
        released.set()
        assert again.recv(65536).endswith(b"made for 8 ") and len(gateway.requests()) == 2
        again.close()


def test_answer_after_the_client_was_seen_to_leave_goes_to_nobody(tmp_path):
    """Guards against a failure when the decision loop answers before it receives that the client has left."""

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                clients = make_clients(nursery)
                nursery.start_soon(clients.run)
                sock = socket.create_connection(address)
                sock.sendall(request_bytes())
                rpc_received = await inbox.receive()
                sock.close()
                client_left = await inbox.receive()
                assert isinstance(client_left, ClientLeft) and client_left.exchange is rpc_received.exchange
                rpc_received.exchange.answer(None)
                assert not clients.unanswered
                nursery.cancel_scope.cancel()

    trio.run(main)


def processor_seconds(process):
    """The processor time that a process has used."""
    with open(f"/proc/{process.pid}/stat") as file:
        return sum(map(int, file.read().rpartition(")")[2].split()[11:13])) / os.sysconf("SC_CLK_TCK")


def test_watch_is_resumed_while_idle_clients_fill_the_connection_limit(start_gateway):
    """Guards against a watch of discovery that gets no descriptor, and against a gateway that spins.

    Clients connect again as often as they are closed, while discovery is down.
    """

    def drop(handler, body):
        handler.close_connection = True

    def reconnect():
        held = []
        while not over.is_set():
            try:
                held.append(open_socket(gateway.address, timeout=0.2))
            except OSError:
                time.sleep(0.01)
            while len(held) > 150:
                held.pop(0).close()
        for sock in held:
            sock.close()

    over = threading.Event()
    with start_gateway(echo, echo) as gateway:
        gateway.discovery.act = drop
        threads = [threading.Thread(target=reconnect) for _ in range(3)]
        for thread in threads:
            thread.start()
        assert until(lambda: open_descriptors(gateway.process) > 100)
        time.sleep(1)
        assert open_descriptors(gateway.process) <= 256
        over.set()  # from here on clients only hold what they have, and reopen nothing
        for thread in threads:
            thread.join()
        idle = [open_socket(gateway.address) for _ in range(400)]
        before = processor_seconds(gateway.process)
        begun = time.monotonic()
        gateway.discovery.change([gateway.rows[0] | {"state": "removed"}, gateway.rows[1]])
        gateway.discovery.act = gateway.discovery.serve_list
        asked = len(gateway.discovery.seen)
        assert until(lambda: len(gateway.discovery.seen) > asked + 1) and time.monotonic() - begun < 6
        used = processor_seconds(gateway.process) - before
        assert used < 0.8 * (time.monotonic() - begun) + 0.3, "the gateway spins"
        time.sleep(0.2)
        seen = len(gateway.servers[0].seen)
        assert all(rpc(gateway.address)[0] == 200 for _ in range(4)) and len(gateway.servers[0].seen) == seen
        for sock in idle:
            sock.close()
