"""Connections to servers by themselves: reuse, partly written requests, write deadlines and late probes."""

import math
import socket
import time
from contextlib import closing

import h11
import pytest
import trio
import trio.testing
from call_out_network import ANSWER, written
from fake_services import FakeService

from oakfork.errors import ConnectionFailedError
from oakfork.interface import Status
from oakfork.sockets import server_connections as network
from oakfork.sockets.exchange import CallOut
from oakfork.sockets.http_connection import LARGEST_BODY, HttpConnection, connect, request_head
from oakfork.sockets.outcomes import STATUS_OF_OUTCOME, Outcome
from oakfork.sockets.server_connections import REST, ServerConnections


def test_idle_connections_rest_before_they_are_used_again():
    """Guards against taking a late second answer for the next one: a connection used just before is not reused yet."""

    async def main():
        servers = ServerConnections(20, LARGEST_BODY, 0.25, 15.0, ())
        connections = [HttpConnection(_open(), h11.CLIENT) for _ in range(3)]
        servers.open = 3
        now = trio.current_time()
        servers.idle[0] = [
            (now - REST * 2, connections[0]),
            (now - REST * 1.5, connections[1]),
            (now - REST / 2, connections[2]),
        ]
        assert servers._reuse(0)[0] is connections[1]
        assert servers._reuse(0)[0] is connections[0]
        assert servers._reuse(0)[0] is None
        assert servers.idle[0] == [(now - REST / 2, connections[2])]

    def _open():
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        ends.append(theirs)
        return ours

    ends = []
    trio.run(main)


def large_call(monkeypatch):
    """The server's end of a connection with a small send buffer, and a call on it that needs a large one."""
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    ours.setblocking(False)

    async def connect(address, timeout, max_body):
        return HttpConnection(ours, h11.CLIENT)

    async def call(call_out=None):
        head = h11.Request(method="POST", target="/", headers=[("Host", "a"), ("Content-Length", "60000")])
        return await ServerConnections(9, LARGEST_BODY, 0.25, 15.0, ()).call(
            0, ("a", 1), lambda: head, bytes(60_000), call_out
        )

    monkeypatch.setattr(network, "connect", connect)
    return theirs, call


@pytest.mark.parametrize("reads, expected", [(0, Outcome.UNSENT), (200_000, Outcome.ENDED)])
def test_partly_written_request_never_ran_and_completely_written_one_may_have(monkeypatch, reads, expected):
    """Guards against treating a request whose last byte was not written as one that may have run, or the reverse."""

    async def main():
        theirs, call = large_call(monkeypatch)
        results = []
        async with trio.open_nursery() as nursery:

            async def record():
                results.append(await call())

            nursery.start_soon(record)
            await trio.testing.wait_all_tasks_blocked(0.01)
            while reads and len(theirs.recv(200_000, socket.MSG_PEEK)) and not results:
                theirs.recv(200_000)
                await trio.testing.wait_all_tasks_blocked(0.01)
                theirs.setblocking(False)
                try:
                    theirs.recv(1, socket.MSG_PEEK)
                except BlockingIOError:
                    break
            theirs.close()
        return results[0][0]

    assert trio.run(main) == expected
    assert STATUS_OF_OUTCOME[Outcome.UNSENT] == Status.CONNECT_FAILED
    assert STATUS_OF_OUTCOME[Outcome.ENDED] == Status.RESET


def test_write_deadline_ends_a_write_that_is_not_complete_in_time(monkeypatch):
    """Guards against a request whose last byte is written after the deadline, which falls into the write here."""

    async def main():
        theirs, call = large_call(monkeypatch)
        outcome, _ = await call(CallOut(0, 0, math.inf, trio.current_time() + 0.1, lambda: True))
        received, closed = written(theirs)
        theirs.close()
        return outcome, closed and len(received) < 60_000

    assert trio.run(main) == (Outcome.UNSENT, True)


def test_connection_of_a_late_probe_is_not_kept_for_the_process_that_runs_there_now():
    """Guards against a probe whose connection came up late and leads to a process that has been replaced since."""

    async def main():
        servers = ServerConnections(9, LARGEST_BODY, 0.25, 15.0, ())
        with closing(socket.create_server(("127.0.0.1", 0))) as listener:
            address = listener.getsockname()
            async with trio.open_nursery() as nursery:

                async def probe():
                    results.append(await servers.probe(0, address, False))

                nursery.start_soon(probe)
                servers.close_idle(0)  # nothing has begun before the task's first turn: the probe is of the new process
                await trio.testing.wait_all_tasks_blocked(0.01)
                sock, _ = listener.accept()
                servers.close_idle(0)
                sock.sendall(ANSWER)
        assert not servers.idle.get(0)

    results = []
    trio.run(main)
    assert [outcome for outcome, _ in results] == [Outcome.ANSWERED]


def test_connections_that_broke_after_idling_are_not_used_again_for_a_while():
    """Guards against networks that drop idle connections silently: the requests on them would be lost.

    The server here drops what was idle for a quarter of a second.
    """

    def act(handler, body):
        now = time.monotonic()
        if now - last_use.get(handler.connection, now) > 0.25:
            handler.close_connection = True
        else:
            handler.reply(200)
        last_use[handler.connection] = time.monotonic()

    async def main():
        servers = ServerConnections(20, LARGEST_BODY, 0.25, 15.0, ())
        for pause in [0.3] * 10 + [REST + 0.02] * 10:
            outcome, _ = await servers.call(
                0, server.server_address, lambda: request_head("GET", "/", server.server_address)
            )
            outcomes.append(outcome)
            await trio.sleep(pause)
        for _ in range(30):
            servers.idle_ages.fade()
        assert servers.idle_ages.is_usable(0.3)

    last_use = {}
    outcomes = []
    server = FakeService(act)
    trio.run(main)
    server.stop()
    assert 1 <= outcomes.count(Outcome.ENDED) <= 3 and set(outcomes) == {Outcome.ANSWERED, Outcome.ENDED}
    assert len(last_use) < 12  # those that idled for less were used again


def test_connection_closed_during_a_write_ends_as_unsent():
    """Guards against a task that waits for good, or fails otherwise, when another one closes its connection."""

    async def main():
        ours, theirs = socket.socketpair()
        with closing(theirs):
            connection = HttpConnection(ours, h11.SERVER)
            ours.setblocking(False)
            connection.close()
            with pytest.raises(ConnectionFailedError) as error:
                await connection.drain([memoryview(b"x")])
            assert error.value.outcome == Outcome.UNSENT

    trio.run(main)


def test_connection_that_is_never_established_times_out():
    """Guards against waiting for good for a listener that accepts nothing, once its backlog is full."""

    async def main():
        with closing(socket.socket()) as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            connections = []
            outcome = None
            for _ in range(4):
                try:
                    connections.append(await connect(full.getsockname(), 0.1))
                except ConnectionFailedError as error:
                    outcome = error.outcome
            for connection in connections:
                connection.close()
        return outcome

    assert trio.run(main) == Outcome.NEVER_UP
