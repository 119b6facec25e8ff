"""Call-outs at the instant in which they begin or end. The order is forced: connections come up when the test says."""

import math
import re
import socket
import struct
import threading
import time
from contextlib import closing

import h11
import pytest
import structlog
import trio
import trio.testing
from fake_services import CUSTOMER, echo, entry, rpc, settings, surroundings

from oakfork.errors import ConnectionFailedError
from oakfork.interface import Status
from oakfork.sockets import server_connections as network
from oakfork.sockets.decision_loop import DecisionLoop
from oakfork.sockets.exchange import CallOut, Exchange
from oakfork.sockets.http_connection import LARGEST_BODY, HttpConnection, HttpMessage
from oakfork.sockets.messages import ClientLeft, RpcReceived, ServersListed, enqueue
from oakfork.sockets.outcomes import STATUS_OF_OUTCOME, Outcome
from oakfork.sockets.server_connections import REST, ServerConnections

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
LISTED = [entry(0, "127.0.0.1:1001"), entry(1, "127.0.0.1:1002")]


class Rig:
    """A keeper with the real module and the real connections, except that they come up when the test says."""

    def __init__(self, tmp_path, monkeypatch, listed=LISTED, **told):
        limits = settings()["limits"] | {"connect-timeout-ms": 1500.0, "parallel-tries": False} | told.pop("limits", {})
        self.here = surroundings(
            tmp_path, known={"version": 1, "full": True, "servers": listed}, settings=settings(limits=limits, **told)
        )
        self.wanted, self.answers = [], {}  # connections asked for: where to, and what lets them come up
        monkeypatch.setattr(network, "connect", self.connect)

    async def connect(self, address, patience, largest=LARGEST_BODY):
        up, (ours, theirs) = trio.Event(), socket.socketpair()
        ours.setblocking(False)
        theirs.settimeout(2)
        self.wanted.append((address, up, theirs))
        with trio.CancelScope(deadline=trio.current_time() + patience):
            await up.wait()
            return HttpConnection(ours, h11.CLIENT, largest)
        raise ConnectionFailedError(Outcome.NEVER_UP)

    def ask(self, number, lane="read", **more):
        fields = {"X-Txn": str(number), "X-Lane": lane, "X-Tier": "free", "X-Remaining-Ms": "2000", "Host": "a"} | more
        head = h11.Request(
            method="POST" if lane != "read" else "GET",
            target=f"/api?client={CUSTOMER}",
            headers=[*fields.items(), ("Idempotency-Key", "k")],
        )
        exchange = Exchange(
            HttpMessage(head, b""),
            self.here.names,
            self.here.settings,
            lambda answer: self.answers.setdefault(number, answer),
        )
        self.asked_until = exchange.until
        enqueue(self.queue, RpcReceived(exchange))
        return exchange

    async def settle(self):
        await trio.testing.wait_all_tasks_blocked(0.002)

    def play(self, test):
        async def main():
            self.queue, inbox = trio.open_memory_channel(math.inf)
            self.servers = ServerConnections(50, LARGEST_BODY, self.here.connect_patience, 15.0, ())
            async with trio.open_nursery() as nursery:
                self.keeper = DecisionLoop(
                    self.here, inbox, self.queue, self.servers, None, None, None, nursery, structlog.get_logger()
                )
                nursery.start_soon(self.keeper.run)
                nursery.start_soon(self.keeper.tick)
                await test(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(rate=1.0))


def written(sock):
    """What was written to a connection that the gateway has closed, or so far on one that is open."""
    sock.settimeout(0.05)
    got = b""
    try:
        while more := sock.recv(65536):
            got += more
    except TimeoutError:
        return got, False
    return got, True


@pytest.mark.parametrize(
    "news",
    [
        ServersListed(False, False, [LISTED[0] | {"state": "draining"}]),
        ServersListed(False, False, [LISTED[0] | {"state": "removed"}]),
        ServersListed(True, False, LISTED[1:]),
        ServersListed(False, False, [LISTED[0] | {"started_ms": 5000}]),
        ServersListed(False, False, [LISTED[0] | {"addr": "127.0.0.1:1003"}]),
    ],
)
@pytest.mark.parametrize("lane", ["read", "seal", "hand"])
def test_what_is_told_of_a_server_before_the_first_byte_holds(tmp_path, monkeypatch, news, lane):
    async def test(rig):
        enqueue(rig.queue, ServersListed(False, False, [LISTED[1] | {"state": "draining"}]))  # one is left to choose
        rig.ask(1, lane)
        await rig.settle()
        [(address, up, theirs)] = rig.wanted
        assert address == ("127.0.0.1", 1001)
        enqueue(rig.queue, ServersListed(False, False, LISTED[1:]))
        enqueue(rig.queue, news)
        await rig.settle()
        up.set()
        await rig.settle()
        assert written(theirs)[0] == b"", "the first byte came after the news"
        ((address, up, theirs),) = rig.wanted[1:]  # it never ran: it may go on, also one that must not run twice
        up.set()
        await rig.settle()
        assert b"x-txn: 1" in written(theirs)[0] and not rig.answers

    Rig(tmp_path, monkeypatch).play(test)


@pytest.mark.parametrize("cancel", [True, False])
def test_a_client_that_has_gone_before_the_first_byte_has_nothing_sent(tmp_path, monkeypatch, cancel):
    """Also where the settings allow no cancelling: that concerns what has begun, which goes on there."""

    async def test(rig):
        exchanges = []
        for number in range(2):
            exchanges.append(rig.ask(number))
            await rig.settle()
        (_, begun, one), (_, late, two) = rig.wanted
        begun.set()
        await rig.settle()
        assert b"x-txn: 0" in written(one)[0]
        for exchange in exchanges:
            enqueue(rig.queue, ClientLeft(exchange))
        await rig.settle()
        late.set()
        await rig.settle()
        assert written(two) == (b"", True) or written(two)[0] == b""
        assert written(one)[1] is cancel  # its connection is closed only where that is allowed
        one.sendall(ANSWER) if not cancel else None
        await rig.settle()
        assert not rig.keeper.index_table.rpcs and len(rig.wanted) == 2

    Rig(tmp_path, monkeypatch, limits={"cancel": cancel}).play(test)


def test_a_mark_that_may_be_forgotten_when_the_connection_comes_up_is_not_used(tmp_path, monkeypatch):
    """A deduplicated RPC whose first call-out broke after its last byte: the repeat counts only while it is known."""
    methods = settings()["classes"]
    methods[1] |= {"key-ttl-ms": 300.0, "group": "all"}

    async def test(rig):
        rig.ask(1, "seal")
        await rig.settle()
        rig.wanted[0][1].set()
        await rig.settle()
        assert b"x-txn: 1" in written(rig.wanted[0][2])[0]
        rig.wanted[0][2].close()  # it may have run
        await rig.settle()
        _, up, theirs = rig.wanted[1]  # decided in time
        await trio.sleep(0.4)
        up.set()
        await rig.settle()
        assert written(theirs)[0] == b"" and len(rig.wanted) == 2
        assert rig.answers[1].status == 503  # where all servers drop repeats, a further try is the client's

    Rig(tmp_path, monkeypatch, classes=methods).play(test)


def test_a_first_call_out_is_written_while_a_second_that_came_up_sooner_is_still_known(tmp_path, monkeypatch):
    """Marks count from whichever ran first: the one decided first may come up last."""
    methods = settings()["classes"]
    methods[1] |= {"key-ttl-ms": 300.0, "group": "all"}

    async def test(rig):
        rig.ask(1, "seal")
        await rig.settle()
        assert len(rig.wanted) == 1
        await trio.sleep(0.4)
        rig.wanted[0][1].set()
        await rig.settle()
        assert written(rig.wanted[0][2])[0] == b""

    Rig(tmp_path, monkeypatch, classes=methods).play(test)


def test_a_cold_server_whose_turn_has_passed_gets_nothing(tmp_path, monkeypatch):
    rules = settings()["invariants"] | {"cold-share": 0.25, "cold-ms": 18000.0, "fall-multiple": 3.0, "fall-ms": 3000.0}
    listed = [LISTED[0] | {"started_ms": time.time() * 1000}]

    async def test(rig):
        server = rig.keeper.module.servers.all[0]
        pause = rig.keeper.module.servers.cold_pause(server) / 10_000
        assert pause > 0.1
        await trio.sleep(pause)
        rig.ask(1)
        await rig.settle()
        await trio.sleep(pause)
        assert len(rig.wanted) == 1
        rig.wanted[0][1].set()
        await rig.settle()
        assert written(rig.wanted[0][2])[0] == b""

    Rig(tmp_path, monkeypatch, listed, invariants=rules).play(test)


@pytest.mark.parametrize("lane", ["read", "seal", "hand"])
def test_the_time_told_to_a_server_is_what_is_left_at_the_first_byte(tmp_path, monkeypatch, lane):
    """A connection that comes up late has used some of the client's time, at the first call-out and a further one."""

    async def test(rig):
        rig.ask(1, lane, **{"X-Remaining-Ms": "1900"})
        await rig.settle()
        for number, waited in enumerate((0.3, 0.8)):
            _, up, theirs = rig.wanted[number]
            await trio.sleep(waited)
            most = 1000 * (rig.asked_until - trio.current_time())
            up.set()
            await rig.settle()
            told = int(re.search(rb"x-remaining-ms: (\d+)", written(theirs)[0])[1])
            assert 1000 * (rig.asked_until - trio.current_time()) - 1 < told < most + 2  # one is the keeper's
            if number == 0:
                theirs.sendall(b"HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")  # never ran
                await rig.settle()

    Rig(tmp_path, monkeypatch).play(test)


def test_a_connection_in_use_while_what_runs_there_changes_is_not_kept(tmp_path, monkeypatch):
    """Under the same index there is a newer process, or another server altogether, when it would be kept."""

    async def test(rig):
        rig.ask(1)
        await rig.settle()
        _, up, theirs = rig.wanted[0]
        up.set()
        await rig.settle()
        server = next(iter(rig.keeper.module.rpcs.values())).open_call_outs[0]
        rig.servers.close_idle(server)
        theirs.sendall(ANSWER)
        await rig.settle()
        assert rig.answers[1].body == b"done" and not rig.servers.idle.get(server)
        assert written(theirs)[1] and rig.servers.open == 0

    Rig(tmp_path, monkeypatch).play(test)


def test_an_answer_without_a_length_is_whole_when_its_end_is_proper(world):
    def act(handler, body):
        handler.wfile.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        handler.close_connection = True

    with world(act) as w:
        assert rpc(w.at, "POST", lane="hand", body=b"x")[:2] == (200, b"all of it") and len(w.seen()) == 1


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n",
        b"HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\n\r\n",
    ],
)
def test_an_answer_that_is_reset_on_the_way_is_not_whole_and_may_have_run(world, head):
    def act(handler, body):
        handler.wfile.write(head + b"half")
        time.sleep(0.05)
        handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        handler.close_connection = True
        handler.connection.close()

    with world(act, act) as w:
        assert rpc(w.at, "POST", lane="hand", body=b"x")[0] == 502 and len(w.seen()) == 1
        assert rpc(w.at)[0] == 503 and len(w.seen()) > 2


def test_an_answer_that_never_ends_costs_its_own_time_only(world):
    def act(handler, body):
        handler.wfile.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            handler.wfile.write(b"x")
            time.sleep(0.02)

    with world(act) as w:
        begun = time.monotonic()
        assert rpc(w.at, "POST", lane="hand", body=b"x")[0] == 502 and 1.4 < time.monotonic() - begun < 1.9


def test_a_second_answer_some_milliseconds_late_is_nobodys(world):
    """The next RPC comes when it has just been written. (How long a connection rests before it is used again, so that
    one that is still on its way is seen in time, is the next test's.)"""

    def act(handler, body):
        echo(handler, body)
        time.sleep(0.01)
        handler.reply(200, b"made for nobody")
        said_more.set()

    said_more = threading.Event()
    with world(act) as w:
        for number in range(8):
            said_more.clear()
            assert rpc(w.at, X_Txn=str(number))[1] == b"made for %d " % number
            assert said_more.wait(5)


def test_kept_connections_rest_and_are_used_again():
    async def main():
        servers = ServerConnections(20, LARGEST_BODY, 0.25, 15.0, ())
        links = [HttpConnection(_open(), h11.CLIENT) for _ in range(3)]
        servers.open, now = 3, trio.current_time()
        servers.idle[0] = [(now - REST * 2, links[0]), (now - REST * 1.5, links[1]), (now - REST / 2, links[2])]
        assert servers._kept(0)[0] is links[1] and servers._kept(0)[0] is links[0] and servers._kept(0)[0] is None
        assert servers.idle[0] == [(now - REST / 2, links[2])]

    def _open():
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        ends.append(theirs)
        return ours

    ends = []
    trio.run(main)


def large_call(monkeypatch):
    """The server's end of a connection with little room, and a call on it that needs much."""
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    ours.setblocking(False)

    async def connect(address, patience, largest):
        return HttpConnection(ours, h11.CLIENT)

    async def call(call_out=None):
        head = h11.Request(method="POST", target="/", headers=[("Host", "a"), ("Content-Length", "60000")])
        return await ServerConnections(9, LARGEST_BODY, 0.25, 15.0, ()).call(
            0, ("a", 1), lambda: head, bytes(60_000), call_out
        )

    monkeypatch.setattr(network, "connect", connect)
    return theirs, call


@pytest.mark.parametrize("reads, ending", [(0, Outcome.UNSENT), (200_000, Outcome.ENDED)])
def test_a_request_written_in_part_never_ran_and_one_written_whole_may_have(monkeypatch, reads, ending):
    async def main():
        theirs, call = large_call(monkeypatch)
        ends = []
        async with trio.open_nursery() as nursery:

            async def note():
                ends.append(await call())

            nursery.start_soon(note)
            await trio.testing.wait_all_tasks_blocked(0.01)
            while reads and len(theirs.recv(200_000, socket.MSG_PEEK)) and not ends:
                theirs.recv(200_000)
                await trio.testing.wait_all_tasks_blocked(0.01)
                theirs.setblocking(False)
                try:
                    theirs.recv(1, socket.MSG_PEEK)
                except BlockingIOError:
                    break
            theirs.close()
        return ends[0][0]

    assert trio.run(main) == ending
    assert (
        STATUS_OF_OUTCOME[Outcome.UNSENT] == Status.CONNECT_FAILED and STATUS_OF_OUTCOME[Outcome.ENDED] == Status.RESET
    )


def test_written_by_ends_a_write_that_is_not_whole_in_time(monkeypatch):
    """The window's end falls into the write: the last byte is never written."""

    async def main():
        theirs, call = large_call(monkeypatch)
        ending, _ = await call(CallOut(0, 0, math.inf, trio.current_time() + 0.1))
        got, closed = written(theirs)
        theirs.close()
        return ending, closed and len(got) < 60_000

    assert trio.run(main) == (Outcome.UNSENT, True)


def test_a_probe_that_came_up_late_does_not_speak_for_the_process_that_runs_there_now():
    async def main():
        servers = ServerConnections(9, LARGEST_BODY, 0.25, 15.0, ())
        with closing(socket.create_server(("127.0.0.1", 0))) as listener:
            address = listener.getsockname()
            async with trio.open_nursery() as nursery:

                async def probe():
                    ends.append(await servers.probe(0, address, False))

                nursery.start_soon(probe)
                servers.close_idle(0)  # before the task's first turn nothing is begun: it is the new one's
                await trio.testing.wait_all_tasks_blocked(0.01)
                sock, _ = listener.accept()
                servers.close_idle(0)
                sock.sendall(ANSWER)
        assert not servers.idle.get(0)

    ends = []
    trio.run(main)
    assert [ending for ending, _ in ends] == [Outcome.ANSWERED]
