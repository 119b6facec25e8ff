"""What is done in each pass of the event loop: the turns of clients are renewed, and long passes are logged."""

from collections import Counter

import structlog
import trio
import trio.testing

from oakfork.sockets.pass_monitor import LOG_INTERVAL, LONG_PASS, PassMonitor
from oakfork.sockets.read_scheduler import ReadScheduler

TURNS_PER_PASS = 4


def run_monitored(task):
    """Runs a task, which gets a scheduler and a clock that stands still, beside a monitor; returns what was logged."""
    clock = trio.testing.MockClock()

    async def main():
        async with trio.open_nursery() as nursery:
            scheduler = ReadScheduler(nursery, TURNS_PER_PASS)
            nursery.start_soon(PassMonitor([scheduler], structlog.get_logger()).run)
            await trio.testing.wait_all_tasks_blocked()
            await task(scheduler, clock)
            nursery.cancel_scope.cancel()

    with structlog.testing.capture_logs() as lines:
        trio.run(main, clock=clock)
    return lines


def test_turns_that_fit_into_a_pass_are_given_without_waiting():
    """Guards against requests that wait for a pass, and cost one more, because earlier passes have used the turns."""

    async def take_turns(scheduler, clock):
        for _ in range(20):
            for _ in range(TURNS_PER_PASS):
                await scheduler.wait_turn()
                assert not scheduler.releasing
            await trio.lowlevel.checkpoint()

    run_monitored(take_turns)


def test_turns_beyond_a_pass_wait_for_the_next_ones():
    """Guards against a pass that takes on all that waits, and against tasks that get no turn."""
    tasks = 10 * TURNS_PER_PASS
    turns = Counter()  # by the number of the pass
    passes = 0

    async def take_turn(scheduler):
        await scheduler.wait_turn()
        turns[passes] += 1

    async def take_turns(scheduler, clock):
        nonlocal passes
        async with trio.open_nursery() as nursery:
            for _ in range(tasks):
                nursery.start_soon(take_turn, scheduler)
            while turns.total() < tasks:
                await trio.lowlevel.checkpoint()
                passes += 1

    run_monitored(take_turns)
    # Twice: the tasks of a pass run in any order, so that a turn of the next pass may be counted in this one.
    assert turns.total() == tasks and max(turns.values()) <= 2 * TURNS_PER_PASS


def test_passes_that_hold_up_all_tasks_are_logged_once_in_a_while():
    """Guards against requests that are late without a word on why, and against a log of nothing else."""

    async def hold_up(_, clock):
        for duration in (LONG_PASS, LONG_PASS / 2, 2 * LONG_PASS, LONG_PASS, LOG_INTERVAL):
            clock.jump(duration)
            await trio.lowlevel.checkpoint()

    lines = run_monitored(hold_up)
    assert [line["event"] for line in lines] == ["event loop held up"] * 2
    assert [(line["passes"], line["longest_ms"]) for line in lines] == [(1, 100), (3, 10_000)]
