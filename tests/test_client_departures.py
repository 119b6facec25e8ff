"""Clients that leave before or while their RPC is sent on: no call-out begins for them any more."""

import gc
import socket
import struct
import weakref
from contextlib import closing, contextmanager

import pytest
import trio
import trio.testing
from call_out_network import CallOutNetwork, written
from client_sockets import client_listener
from fake_services import request_bytes

from oakfork.sockets.exchange import Answer
from oakfork.sockets.messages import ClientLeft, RpcReceived

MAX_DELAY = 0.1  # seconds after the end of a client in which a call-out may still begin


def close(sock):
    """Closes a connection in order."""
    sock.close()


def reset(sock):
    """Closes a connection by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def end_sending(sock):
    """Ends the sending, which is a client's leaving by the protocol."""
    sock.shutdown(socket.SHUT_WR)


@contextmanager
def waiting_clients(address, count, behind=b""):
    """Connected sockets that have each sent an RPC, with the id of its number, and `behind` behind it."""
    socks = [socket.create_connection(address) for _ in range(count)]
    for number, sock in enumerate(socks):
        sock.sendall(request_bytes(**{"X-Txn": str(number), "X-Remaining-Ms": "9000"}) + behind)
    yield socks
    for sock in socks:
        sock.close()


@pytest.mark.parametrize("leave", [close, reset, end_sending])
@pytest.mark.parametrize("behind", [b"", b"GET / HTTP/1.1\r\n", bytes(100_000)], ids=len)
def test_rpc_of_a_client_that_left_before_it_was_accepted_is_not_taken(tmp_path, leave, behind):
    """Guards against sending on RPCs of clients that gave up while they waited in the listener's queue."""

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            with waiting_clients(address, 9, behind) as socks:
                for sock in socks[::2]:
                    leave(sock)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(make_clients(nursery).run)
                    await trio.testing.wait_all_tasks_blocked(0.05)
                    received = []
                    while inbox.statistics().current_buffer_used:
                        received.append(inbox.receive_nowait())
                    assert all(isinstance(message, RpcReceived) for message in received)
                    assert sorted(message.exchange.id for message in received) == [b"1", b"3", b"5", b"7"]
                    nursery.cancel_scope.cancel()

    trio.run(main)


def test_end_of_a_client_that_sent_much_is_seen_in_time(tmp_path):
    """Guards against call-outs for a client that has sent much behind its RPC and left: its end stands behind all that.

    The clock of this test moves with the pauses of the gateway only.
    """

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox), waiting_clients(address, 1) as (sock,):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_clients(nursery).run)
                received = await inbox.receive()
                await trio.to_thread.run_sync(sock.sendall, bytes(6_000_000))
                left_at = trio.current_time()
                sock.close()
                assert await inbox.receive() == ClientLeft(received.exchange)
                assert trio.current_time() - left_at < MAX_DELAY
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.05))


@pytest.mark.parametrize("leave", [close, reset, end_sending])
@pytest.mark.parametrize("behind", [b"", bytes(3_000_000)], ids=len)
def test_socket_shows_that_the_client_of_an_open_rpc_has_left(tmp_path, leave, behind):
    """Guards against not seeing, just before a call-out begins, the end of a client that is in its socket already."""

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox), waiting_clients(address, 2) as socks:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_clients(nursery).run)
                exchanges = {}
                for _ in socks:
                    exchange = (await inbox.receive()).exchange
                    exchanges[exchange.id] = exchange
                await trio.to_thread.run_sync(socks[0].sendall, behind)
                leave(socks[0])
                # No task of the gateway has run since.
                assert not exchanges[b"0"].is_awaited() and exchanges[b"1"].is_awaited()
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("lane", ["read", "seal", "hand"])
def test_call_out_does_not_begin_once_the_socket_shows_that_the_client_has_left(tmp_path, monkeypatch, lane):
    """Guards against call-outs that begin when a gateway that was held up has not come to read its clients' ends."""

    async def test(network):
        network.ask(1, lane)
        await network.settle()
        [(_, established, theirs)] = network.connections
        network.left.add(1)  # the decision loop has not been told
        established.set()
        await network.settle()
        with closing(theirs):
            assert written(theirs)[0] == b""

    CallOutNetwork(tmp_path, monkeypatch).run(test)


@pytest.mark.parametrize("asks", [False, True])
def test_connection_of_a_client_that_left_is_freed_at_once(tmp_path, asks):
    """Guards against reference cycles, which keep the buffers of closed connections until the next collection."""

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                clients = make_clients(nursery)
                nursery.start_soon(clients.run)
                with closing(socket.create_connection(address)) as sock:
                    if asks:
                        sock.sendall(request_bytes())
                    await trio.testing.wait_all_tasks_blocked(0.02)
                    client = weakref.ref(*clients.open)
                    if asks:
                        inbox.receive_nowait().exchange.answer(Answer(503))
                await trio.testing.wait_all_tasks_blocked(0.02)
                assert client() is None
                nursery.cancel_scope.cancel()

    gc.collect()
    gc.disable()
    try:
        trio.run(main)
    finally:
        gc.enable()
