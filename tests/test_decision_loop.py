"""The decision loop with a fake decision module, and the counter's client."""

import random
import time
from contextlib import contextmanager

import h11
import pytest
import structlog
import trio
import trio.testing
from fake_services import CUSTOMER, FakeService, read_test_configuration

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.interface import NEVER_RAN, Status
from oakfork.sockets import configuration
from oakfork.sockets.counter_client import CounterClient, _result as counter_result
from oakfork.sockets.decision_loop import DecisionLoop
from oakfork.sockets.exchange import Exchange, Waiter
from oakfork.sockets.http_connection import HttpMessage
from oakfork.sockets.messages import RpcReceived
from oakfork.sockets.outcomes import STATUS_OF_OUTCOME, Outcome


def test_every_outcome_has_a_status_and_those_that_never_ran_are_known():
    """Guards against an outcome that the module sees as one that may have run, or the reverse."""
    assert set(STATUS_OF_OUTCOME) == set(Outcome)
    unsent = {Outcome.TURNED_AWAY, Outcome.NO_ROOM, Outcome.REFUSED, Outcome.NEVER_UP, Outcome.UNSENT, Outcome.TOO_LATE}
    assert {outcome for outcome, status in STATUS_OF_OUTCOME.items() if status in NEVER_RAN} == unsent


@contextmanager
def decision_loop(tmp_path, monkeypatch, handle):
    """A decision loop whose module has `handle` as its method of that name.

    Yields a function that runs a task beside it on a clock that jumps from event to event.
    """
    monkeypatch.setattr(DecisionModule, "handle", handle)

    def run(task):
        async def main():
            queue, inbox = trio.open_memory_channel(10)
            async with trio.open_nursery() as nursery:
                loop = DecisionLoop(
                    gateway_configuration, inbox, queue, None, None, None, None, nursery, structlog.get_logger()
                )
                nursery.start_soon(loop.run)
                nursery.start_soon(loop.tick)
                await task(loop, queue)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    gateway_configuration = read_test_configuration(tmp_path)
    yield run


def test_timers_fire_once_and_soon_on_a_clock_that_never_goes_back(tmp_path, monkeypatch):
    """Guards against timers that are early, lost, doubled or late, and against a module clock that goes back."""

    def handle(module, now, event):
        seen.append(now)
        if isinstance(event, interface.TimerFired):
            delays.append(now - wanted.pop(event.token))
        commands = []
        for _ in range(chance.randrange(3) if len(seen) < 600 else 0):
            token = len(seen) * 10 + len(commands)
            after = chance.choice([0, 1, 3, 40, 500, 5000])
            wanted[token] = now + after
            commands.append(interface.SetTimer(token, after))
        return commands

    async def task(loop, queue):
        for _ in range(200):
            await trio.sleep(chance.random() * 0.02)
            await queue.send(interface.PeerFrame(0, b""))
        await trio.sleep(5)

    chance = random.Random(3)
    seen = []
    wanted = {}
    delays = []
    with decision_loop(tmp_path, monkeypatch, handle) as run:
        run(task)
    assert len(seen) > 500 and not wanted and seen == sorted(seen)
    # Tenths of a millisecond: never early, and late by two ticks at most.
    assert min(delays) >= 0 and 40 < max(delays) <= 2 * 40 + 10


def test_failed_decision_aborts_its_own_rpc_only(tmp_path, monkeypatch):
    """Guards against an exception of the module that ends the loop or leaks the index of the RPC."""

    def handle(module, now, event):
        if isinstance(event, interface.RpcArrived) and event.units == 2:
            raise ZeroDivisionError
        return [interface.PushBack(event.rpc, 0)] if isinstance(event, interface.RpcArrived) else []

    async def task(loop, queue):
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
                loop.configuration.names,
                loop.configuration.settings,
                Waiter(lambda answer: statuses.append(answer.status), lambda: False),
                trio.current_time(),
            )
            await queue.send(RpcReceived(exchange))
            await trio.sleep(0.1)
        assert not loop.index_table.rpcs and loop.index_table.free_rpc_indices == [0]

    statuses = []
    with decision_loop(tmp_path, monkeypatch, handle) as run:
        run(task)
    assert statuses == [503, 502, 503]


def test_counter_client_replies_to_each_call_once(tmp_path):
    """Guards against lost or doubled replies when the counter refuses, is slow, closes, or moves (SIGHUP)."""

    def act(handler, body):
        targets.append(handler.path)
        if len(targets) == 2:
            return handler.reply(503)
        if len(targets) == 3:
            time.sleep(0.4)
        handler.close_connection = len(targets) == 4  # closes it without notice, as an idle one
        return handler.reply(200, b"2.5")

    async def main():
        queue, inbox = trio.open_memory_channel(10)
        counter = CounterClient(gateway_configuration, queue)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(counter.run)
            for number in range(6):
                if number == 5:  # the old counter still runs and has an open connection
                    counter.change_address(configuration.parse_address(other.address))
                await trio.sleep(0.1)
                assert counter.count(interface.AddToCounter(number, -2.5, 40_000))
                with trio.fail_after(2):
                    replies.append(await inbox.receive())
            nursery.cancel_scope.cancel()

    targets = []
    replies = []
    server = FakeService(act)
    other = FakeService(lambda handler, body: handler.reply(200, b"7"))
    gateway_configuration = read_test_configuration(tmp_path, counter=server.address)
    trio.run(main)
    assert targets[0] == "/counters/0?by=-2.500000&expire_ms=4000"
    expected = [Status.OK, Status.FULL, Status.TIMED_OUT, Status.OK, Status.OK, Status.OK]
    assert [reply.status for reply in replies] == expected and [reply.name for reply in replies] == list(range(6))
    assert replies[0].total == 2.5 and replies[5].total == 7.0 and (len(targets), len(other.seen)) == (5, 1)
    server.stop()
    other.stop()


@pytest.mark.parametrize(
    "body, expected",
    [
        (b"2.5", Outcome.ANSWERED),
        (b"-1e3\n", Outcome.ANSWERED),
        (b"", Outcome.MALFORMED),
        (b"nan", Outcome.MALFORMED),
        (b"inf", Outcome.MALFORMED),
        (b"\xff\x00", Outcome.MALFORMED),
    ],
)
def test_total_that_is_not_a_finite_number_is_malformed(body, expected):
    """Guards against totals that the module can't compare with its bounds."""
    head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
    assert counter_result(HttpMessage(head, body))[0] == expected
