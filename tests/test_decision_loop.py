"""Parts of the gateway on sockets by themselves."""

import random
import socket
import time
from contextlib import closing, contextmanager

import h11
import pytest
import structlog
import trio
import trio.testing
from fake_services import CUSTOMER, FakeService, surroundings

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.errors import ConnectionFailedError
from oakfork.interface import NEVER_RAN, Status
from oakfork.sockets import configuration
from oakfork.sockets.counter_client import CounterClient, _result as counter_result
from oakfork.sockets.decision_loop import DecisionLoop
from oakfork.sockets.exchange import Exchange
from oakfork.sockets.http_connection import LARGEST_BODY, HttpConnection, HttpMessage, connect, request_head
from oakfork.sockets.messages import RpcReceived
from oakfork.sockets.outcomes import STATUS_OF_OUTCOME, Outcome
from oakfork.sockets.server_connections import REST, ServerConnections


def test_every_ending_means_one_status():
    assert set(STATUS_OF_OUTCOME) == set(Outcome)
    unsent = {Outcome.TURNED_AWAY, Outcome.NO_ROOM, Outcome.REFUSED, Outcome.NEVER_UP, Outcome.UNSENT, Outcome.TOO_LATE}
    assert {ending for ending, status in STATUS_OF_OUTCOME.items() if status in NEVER_RAN} == unsent


@contextmanager
def decision_loop(tmp_path, monkeypatch, handle):
    """A keeper whose module is a stand-in; yields a function that runs a task beside it on a clock of its own."""
    monkeypatch.setattr(DecisionModule, "handle", handle)

    def play(task):
        async def main():
            queue, inbox = trio.open_memory_channel(10)
            async with trio.open_nursery() as nursery:
                kept = DecisionLoop(here, inbox, queue, None, None, None, None, nursery, structlog.get_logger())
                nursery.start_soon(kept.run)
                nursery.start_soon(kept.tick)
                await task(kept, queue)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    here = surroundings(tmp_path)
    yield play


def test_timers_come_once_soon_and_on_a_clock_that_never_goes_back(tmp_path, monkeypatch):
    def handle(module, now, event):
        seen.append(now)
        if isinstance(event, interface.TimerFired):
            late.append(now - wanted.pop(event.token))
        commands = []
        for _ in range(chance.randrange(3) if len(seen) < 600 else 0):
            token, after = len(seen) * 10 + len(commands), chance.choice([0, 1, 3, 40, 500, 5000])
            wanted[token] = now + after
            commands.append(interface.SetTimer(token, after))
        return commands

    async def task(kept, queue):
        for _ in range(200):
            await trio.sleep(chance.random() * 0.02)
            await queue.send(interface.PeerFrame(0, b""))
        await trio.sleep(5)

    chance, seen, wanted, late = random.Random(3), [], {}, []
    with decision_loop(tmp_path, monkeypatch, handle) as play:
        play(task)
    assert len(seen) > 500 and not wanted and seen == sorted(seen)
    assert min(late) >= 0 and 40 < max(late) <= 2 * 40 + 10  # tenths of a ms: never early, two ticks at most


def test_a_decision_that_fails_costs_its_own_rpc_only(tmp_path, monkeypatch):
    def handle(module, now, event):
        if isinstance(event, interface.RpcArrived) and event.units == 2:
            raise ZeroDivisionError
        return [interface.PushBack(event.rpc, 0)] if isinstance(event, interface.RpcArrived) else []

    async def task(kept, queue):
        for units in (1, 2, 1):
            head = h11.Request(
                method="GET",
                target=f"/api?client={CUSTOMER}",
                headers=[
                    ("Host", "a"),
                    ("X-Txn", "1"),
                    ("X-Lane", "read"),
                    ("X-Tier", "free"),
                    ("X-Remaining-Ms", "100"),
                    ("X-Call-Terms", f"units={units}"),
                ],
            )
            exchange = Exchange(
                HttpMessage(head, b""),
                kept.configuration.names,
                kept.configuration.settings,
                lambda answer: statuses.append(answer.status),
            )
            await queue.send(RpcReceived(exchange))
            await trio.sleep(0.1)
        assert not kept.index_table.rpcs and kept.index_table.free_rpc_indices == [0]

    statuses = []
    with decision_loop(tmp_path, monkeypatch, handle) as play:
        play(task)
    assert statuses == [503, 502, 503]


def test_the_counter_answers_each_call_once(tmp_path):
    def act(handler, body):
        totals.append(handler.path)
        if len(totals) == 2:
            return handler.reply(503)
        if len(totals) == 3:
            time.sleep(0.4)
        handler.close_connection = len(totals) == 4  # as an idle one, without a word
        return handler.reply(200, b"2.5")

    async def main():
        queue, inbox = trio.open_memory_channel(10)
        counter = CounterClient(here, queue)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(counter.run)
            for number in range(6):
                if number == 5:  # SIGHUP: the old one is still there, and has an open connection
                    counter.change_address(configuration.parse_address(other.address))
                await trio.sleep(0.1)
                assert counter.count(interface.AddToCounter(number, -2.5, 40_000))
                with trio.fail_after(2):
                    answers.append(await inbox.receive())
            nursery.cancel_scope.cancel()

    totals, answers = [], []
    server, other = FakeService(act), FakeService(lambda handler, body: handler.reply(200, b"7"))
    here = surroundings(tmp_path, counter=server.address)
    trio.run(main)
    assert totals[0] == "/counters/0?by=-2.500000&expire_ms=4000"
    ends = [Status.OK, Status.FULL, Status.TIMED_OUT, Status.OK, Status.OK, Status.OK]
    assert [answer.status for answer in answers] == ends and [answer.name for answer in answers] == list(range(6))
    assert answers[0].total == 2.5 and answers[5].total == 7.0 and (len(totals), len(other.seen)) == (5, 1)
    for party in (server, other):
        party.shutdown()
        party.server_close()


def test_connections_that_break_after_idling_are_not_used_again_for_a_while():
    def act(handler, body):  # drops without a word what was idle for a quarter of a second
        now = time.monotonic()
        if now - before.get(handler.connection, now) > 0.25:
            handler.close_connection = True
        else:
            handler.reply(200)
        before[handler.connection] = time.monotonic()

    async def main():
        servers = ServerConnections(20, LARGEST_BODY, 0.25, 15.0, ())
        for pause in [0.3] * 10 + [REST + 0.02] * 10:
            ending, _ = await servers.call(
                0, server.server_address, lambda: request_head("GET", "/", server.server_address)
            )
            ends.append(ending)
            await trio.sleep(pause)
        for _ in range(30):
            servers.idle_ages.fade()
        assert servers.idle_ages.is_usable(0.3)

    before, ends = {}, []
    server = FakeService(act)
    trio.run(main)
    server.shutdown()
    server.server_close()
    assert 1 <= ends.count(Outcome.ENDED) <= 3 and set(ends) == {Outcome.ANSWERED, Outcome.ENDED}
    assert len(before) < 12  # those that idled for less were used again


@pytest.mark.parametrize(
    "body, ending",
    [
        (b"2.5", Outcome.ANSWERED),
        (b"-1e3\n", Outcome.ANSWERED),
        (b"", Outcome.MALFORMED),
        (b"nan", Outcome.MALFORMED),
        (b"inf", Outcome.MALFORMED),
        (b"\xff\x00", Outcome.MALFORMED),
    ],
)
def test_a_total_that_is_no_number_is_a_spoilt_answer(body, ending):
    head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
    assert counter_result(HttpMessage(head, body))[0] == ending


def test_a_connection_closed_under_a_write_is_an_ending():
    async def main():
        ours, theirs = socket.socketpair()
        with closing(theirs):
            link = HttpConnection(ours, h11.SERVER)
            ours.setblocking(False)
            link.close()
            with pytest.raises(ConnectionFailedError) as end:
                await link.drain([memoryview(b"x")])
            assert end.value.outcome == Outcome.UNSENT

    trio.run(main)


def test_a_connection_that_never_comes_up_is_given_up():
    async def main():
        with closing(socket.socket()) as full:  # a listener that takes nothing: its backlog fills
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            links, ended = [], None
            for _ in range(4):
                try:
                    links.append(await connect(full.getsockname(), 0.1))
                except ConnectionFailedError as end:
                    ended = end.outcome
            for link in links:
                link.close()
        return ended

    assert trio.run(main) == Outcome.NEVER_UP
