"""What may change while a call-out waits for its connection, before its first byte is written.

The order is forced: connections are established when the test says so.
"""

import re
import time

import pytest
import trio
import trio.testing
from call_out_network import ANSWER, ROWS, CallOutNetwork, written
from fake_services import settings

from oakfork.sockets.messages import ClientLeft, ServersListed, enqueue


def methods_remembered_briefly():
    """Methods of which the deduplicated one is remembered for 300 ms, by all servers."""
    methods = settings()["classes"]
    methods[1] |= {"key-ttl-ms": 300.0, "group": "all"}
    return methods


@pytest.mark.parametrize(
    "news",
    [
        ServersListed(False, False, [ROWS[0] | {"state": "draining"}]),
        ServersListed(False, False, [ROWS[0] | {"state": "removed"}]),
        ServersListed(True, False, ROWS[1:]),
        ServersListed(False, False, [ROWS[0] | {"started_ms": 5000}]),
        ServersListed(False, False, [ROWS[0] | {"addr": "127.0.0.1:1003"}]),
    ],
)
@pytest.mark.parametrize("lane", ["read", "seal", "hand"])
def test_server_that_drains_or_changes_before_the_first_byte_gets_no_call_out(tmp_path, monkeypatch, news, lane):
    """Guards against a request to a server that the list has meanwhile changed; it goes to another server instead."""

    async def test(network):
        # One server is left to choose from.
        enqueue(network.queue, ServersListed(False, False, [ROWS[1] | {"state": "draining"}]))
        network.ask(1, lane)
        await network.settle()
        [(address, established, theirs)] = network.connections
        assert address == ("127.0.0.1", 1001)
        enqueue(network.queue, ServersListed(False, False, ROWS[1:]))
        enqueue(network.queue, news)
        await network.settle()
        established.set()
        await network.settle()
        assert written(theirs)[0] == b"", "the first byte came after the news"
        # It never ran, so that even an RPC that must not run twice may go to the other server.
        ((address, established, theirs),) = network.connections[1:]
        established.set()
        await network.settle()
        assert b"x-txn: 1" in written(theirs)[0] and not network.answers

    CallOutNetwork(tmp_path, monkeypatch).run(test)


@pytest.mark.parametrize("cancel", [True, False])
def test_nothing_is_sent_for_a_client_that_left_before_the_first_byte(tmp_path, monkeypatch, cancel):
    """Guards against call-outs for clients that have left, even if the settings allow no cancelling.

    That setting concerns call-outs that have begun, which then go on.
    """

    async def test(network):
        exchanges = []
        for number in range(2):
            exchanges.append(network.ask(number))
            await network.settle()
        (_, first_established, first), (_, second_established, second) = network.connections
        first_established.set()
        await network.settle()
        assert b"x-txn: 0" in written(first)[0]
        for exchange in exchanges:
            enqueue(network.queue, ClientLeft(exchange))
        await network.settle()
        second_established.set()
        await network.settle()
        assert written(second) == (b"", True) or written(second)[0] == b""
        assert written(first)[1] is cancel  # its connection is closed only where that is allowed
        if not cancel:
            first.sendall(ANSWER)
        await network.settle()
        assert not network.decision_loop.index_table.rpcs and len(network.connections) == 2

    CallOutNetwork(tmp_path, monkeypatch, limits={"cancel": cancel}).run(test)


def test_repeat_is_not_sent_once_its_idempotency_key_may_be_forgotten(tmp_path, monkeypatch):
    """Guards against a deduplicated RPC that runs twice.

    Its first call-out breaks after its last byte; the repeat is decided in time, but its connection comes up after the
    servers may have forgotten the key.
    """

    async def test(network):
        network.ask(1, "seal")
        await network.settle()
        network.connections[0][1].set()
        await network.settle()
        assert b"x-txn: 1" in written(network.connections[0][2])[0]
        network.connections[0][2].close()  # it may have run
        await network.settle()
        _, established, theirs = network.connections[1]  # decided in time
        await trio.sleep(0.4)
        established.set()
        await network.settle()
        assert written(theirs)[0] == b"" and len(network.connections) == 2
        assert network.answers[1].status == 503  # where all servers drop repeats, a further try is the client's

    CallOutNetwork(tmp_path, monkeypatch, classes=methods_remembered_briefly()).run(test)


def test_first_call_out_is_not_written_after_the_time_in_which_its_key_is_known(tmp_path, monkeypatch):
    """Guards against a first call-out whose connection comes up later than that of a second one.

    Servers remember a key from whichever call-out ran first, so that each must be written within that time.
    """

    async def test(network):
        network.ask(1, "seal")
        await network.settle()
        assert len(network.connections) == 1
        await trio.sleep(0.4)
        network.connections[0][1].set()
        await network.settle()
        assert written(network.connections[0][2])[0] == b""

    CallOutNetwork(tmp_path, monkeypatch, classes=methods_remembered_briefly()).run(test)


def test_cold_server_gets_no_call_out_after_its_time_slot(tmp_path, monkeypatch):
    """Guards against overload of a cold server by call-outs that were decided for an earlier slot of its ramp."""
    rules = settings()["invariants"] | {"cold-share": 0.25, "cold-ms": 18000.0, "fall-multiple": 3.0, "fall-ms": 3000.0}
    rows = [ROWS[0] | {"started_ms": time.time() * 1000}]

    async def test(network):
        servers = network.decision_loop.module.servers
        pause = servers.cold_pause(servers.all[0]) / 10_000
        assert pause > 0.1
        await trio.sleep(pause)
        network.ask(1)
        await network.settle()
        await trio.sleep(pause)
        assert len(network.connections) == 1
        network.connections[0][1].set()
        await network.settle()
        assert written(network.connections[0][2])[0] == b""

    CallOutNetwork(tmp_path, monkeypatch, rows, invariants=rules).run(test)


@pytest.mark.parametrize("lane", ["read", "seal", "hand"])
def test_remaining_time_sent_to_a_server_is_that_at_the_first_byte(tmp_path, monkeypatch, lane):
    """Guards against counting the wait for a connection as time left, at a first call-out and at a repeated one."""

    async def test(network):
        network.ask(1, lane, **{"X-Remaining-Ms": "1900"})
        await network.settle()
        for number, waited in enumerate((0.3, 0.8)):
            _, established, theirs = network.connections[number]
            await trio.sleep(waited)
            highest = 1000 * (network.asked_until - trio.current_time())
            established.set()
            await network.settle()
            sent = int(re.search(rb"x-remaining-ms: (\d+)", written(theirs)[0])[1])
            # The decision loop adds one millisecond.
            assert 1000 * (network.asked_until - trio.current_time()) - 1 < sent < highest + 2
            if number == 0:
                theirs.sendall(b"HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")  # never ran
                await network.settle()

    CallOutNetwork(tmp_path, monkeypatch).run(test)


def test_connection_in_use_while_its_server_changes_is_not_kept(tmp_path, monkeypatch):
    """Guards against reuse of a connection under an index that stands for a newer process or another server by then."""

    async def test(network):
        network.ask(1)
        await network.settle()
        _, established, theirs = network.connections[0]
        established.set()
        await network.settle()
        server = next(iter(network.decision_loop.module.rpcs.values())).open_call_outs[0]
        network.servers.close_idle(server)
        theirs.sendall(ANSWER)
        await network.settle()
        assert network.answers[1].body == b"done" and not network.servers.idle.get(server)
        assert written(theirs)[1] and network.servers.open == 0

    CallOutNetwork(tmp_path, monkeypatch).run(test)
