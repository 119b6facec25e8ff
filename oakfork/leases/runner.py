"""The trio part of leases: one task for the voters and contenders of all tasks, and the acts of a holder.

It owns the machines' states; whoever wants to act asks `may_act` each time and sends the act with the end it returns.
"""

import random
import time
from typing import Any

import trio
from structlog.stdlib import BoundLogger

from oakfork.fleet.config import FleetFile
from oakfork.fleet.transport import OUTSIDE_GATEWAY, DatagramTransport, steady_clock
from oakfork.leases import fence, holder, voter
from oakfork.leases.messages import (
    ActReply,
    ActRequest,
    Ask,
    ClockReply,
    ClockRequest,
    Grant,
    Refusal,
    Release,
    VoteFreed,
)

TASKS = ("allot", "survey", "drill")  # the table of tasks is this one: no more, whatever comes
MOST_VIEWS = 1024  # of guards; the one not used for the longest goes


class LeaseRunner:
    def __init__(self, file: FleetFile, me: int, transport: DatagramTransport, log: BoundLogger) -> None:
        self.file, self.me, self.transport, self.log = file, me, transport, log
        self.chance = random.SystemRandom()
        self.life = self.chance.getrandbits(62)
        now, floor = (
            steady_clock(),
            time.time_ns() // 1_000_000,
        )  # terms begin above all that came before: docs/leases.md
        self.votes = (
            {task: voter.initial_vote(now, file.durations, floor) for task in range(len(TASKS))}
            if me in file.voters
            else {}
        )
        self.ones = (
            {task: holder.Contender(me, self.life, file.voters, wake=now + self._first()) for task in range(len(TASKS))}
            if me in file.voters
            else {}
        )
        self.guards = {task: fence.Fence(self.chance.getrandbits(62)) for task in range(len(TASKS))}
        self.views: dict[tuple[int, Any], fence.ClockView] = {}  # (task, whom) -> its clock; bounded by MOST_VIEWS
        self.hellos: dict[int, tuple[int, Any]] = {}  # nonce -> of whom; emptied by the answer, or 64 at most
        self.nudged = trio.Event()
        self.held: dict[int, int] = {}  # task -> the term told of in the log
        for kind, handler in (
            (Ask, self._asked),
            (Grant, self._granted),
            (Refusal, self._refused),
            (Release, self._released),
            (VoteFreed, self._freed),
            (ClockRequest, self._hello),
            (ClockReply, self._clock),
        ):
            transport.handlers[kind] = handler

    def _first(self) -> int:
        return int(self.chance.random() * self.file.durations.patience)

    # For those who act

    def holds(self, task: str) -> bool:
        one = self.ones.get(TASKS.index(task))
        return one is not None and one.holds(steady_clock())

    def term(self, task: str) -> int:
        one = self.ones.get(TASKS.index(task))
        return one.term if one is not None else 0

    def may_act(self, task: str, upon: Any) -> tuple[int, int, int] | None:
        """The term, the life of what is acted upon and the act's end on its clock; None where it may not act now,
        or does not know that clock yet (then it has asked)."""
        number = TASKS.index(task)
        one, now = self.ones.get(number), steady_clock()
        if one is None or not one.holds(now):
            return None
        view = self.views.get((number, upon))
        if view is None or now > view.at + self.file.durations.stale:
            self._greet(number, upon)
            if view is None:
                return None
        self.ones[number], end = holder.begin_act(one, now, self.file.durations)
        return one.term, view.life, fence.end_on_their_clock(view, end, self.file.durations)

    def forget(self, task: str, upon: Any) -> None:
        """It has started anew: what is known of its clock is void."""
        self.views.pop((TASKS.index(task), upon), None)

    def judge(self, task: str, life: int, term: int, end: int) -> fence.Verdict:
        """Whether an act upon this gateway has its effect now."""
        number = TASKS.index(task)
        self.guards[number], verdict = fence.check_act(self.guards[number], steady_clock(), life, term, end)
        if verdict is not fence.Verdict.TAKEN:
            self.transport.counts[f"acts refused: {verdict.value}"] += 1
        return verdict

    def _greet(self, task: int, upon: Any) -> None:
        nonce = self.chance.getrandbits(62)
        if len(self.hellos) >= 64:
            self.hellos.pop(next(iter(self.hellos)))
        self.hellos[nonce] = task, upon
        hello = ClockRequest(task, self.me, nonce)
        if isinstance(upon, int):
            self.transport.send(upon, hello)
        else:
            self.transport.send_to(upon, hello)

    # What comes

    def _asked(self, sender: int, ask: Ask) -> None:
        if ask.task in self.votes and ask.gateway == sender:
            vote, reply = voter.on_ask(self.votes[ask.task], steady_clock(), ask, self.file.durations, self.me)
            self.votes[ask.task] = vote
            self.transport.send(sender, reply)

    def _released(self, sender: int, release: Release) -> None:
        if release.task in self.votes and release.gateway == sender:
            self.votes[release.task], hint = voter.on_release(
                self.votes[release.task], steady_clock(), release, self.me
            )
            if hint:
                self.transport.send(*hint)

    def _granted(self, sender: int, grant: Grant) -> None:
        if grant.task in self.ones and grant.voter == sender:
            self.ones[grant.task] = holder.on_grant(self.ones[grant.task], steady_clock(), grant, self.file.durations)
            self._told(grant.task)

    def _refused(self, sender: int, refusal: Refusal) -> None:
        if refusal.task in self.ones and refusal.voter == sender:
            self.ones[refusal.task], said = holder.on_refusal(
                self.ones[refusal.task],
                steady_clock(),
                refusal,
                self.file.durations,
                refusal.task,
                self.chance.random(),
            )
            self._say(said)

    def _freed(self, sender: int, free: VoteFreed) -> None:
        if free.task in self.ones:
            self.ones[free.task] = holder.on_free(self.ones[free.task], steady_clock())
            self.nudged.set()

    def _hello(self, sender: int, hello: ClockRequest) -> None:
        if hello.task in self.guards:
            self.transport.send(sender, fence.clock_reply(self.guards[hello.task], steady_clock(), hello))

    def _clock(self, sender: int, told: ClockReply) -> None:
        task, upon = self.hellos.pop(told.nonce, (-1, None))
        if task == told.task:
            while len(self.views) >= MOST_VIEWS:
                self.views.pop(next(iter(self.views)))
            self.views.pop((task, upon), None)
            self.views[task, upon] = fence.ClockView(told.life, told.clock, steady_clock())

    def _told(self, task: int) -> None:
        one = self.ones[task]
        if one.until and self.held.get(task) != one.term:
            self.held[task] = one.term
            self.log.info("holds a lease", task=TASKS[task], term=one.term)
        self.nudged.set()

    def _say(self, said: holder.OutgoingMessages) -> None:
        for message in said:
            for to in self.file.voters:
                self.transport.send(to, message)

    # Time

    async def run(self) -> None:
        while True:
            self.nudged = trio.Event()
            now = steady_clock()
            for task, one in self.ones.items():
                if one.wake <= now:
                    after, said = holder.on_timer(one, now, self.file.durations, task, self.chance.random())
                    if one.until and not after.until:
                        self.log.info("a lease is over", task=TASKS[task], term=one.term)
                    self.ones[task] = after
                    self._say(said)
            due = min((one.wake for one in self.ones.values()), default=holder.NEVER)
            with trio.move_on_after(min(3600.0, max(0.0, (due - steady_clock()) / 10_000))):
                await self.nudged.wait()

    async def leave(self) -> None:
        """Hands over: acts no more at once, and gives its votes back when its last act has ended."""
        now = steady_clock()
        self.ones = {task: holder.on_leave(one, now, self.file.durations) for task, one in self.ones.items()}
        self.nudged.set()
        while any(one.wake != holder.NEVER for one in self.ones.values()):
            await trio.sleep(0.002)


class LeaseDrillClient:
    """Acts again and again upon a stand-in while it holds the lease of its own: docs/leases.md."""

    def __init__(self, leases: LeaseRunner, target: tuple[str, int], every: float) -> None:
        self.leases, self.target, self.every = leases, target, every
        self.number = 0
        leases.transport.numbers.setdefault(target, OUTSIDE_GATEWAY)
        leases.transport.handlers[ActReply] = self._acted

    async def run(self) -> None:
        while True:
            await trio.sleep(self.every)
            if may := self.leases.may_act("drill", self.target):
                term, life, end = may
                self.number += 1
                self.leases.transport.send_to(
                    self.target,
                    ActRequest(TASKS.index("drill"), self.leases.me, life, self.leases.life, term, end, self.number),
                )

    def _acted(self, sender: int, acted: ActReply) -> None:
        if acted.verdict == list(fence.Verdict).index(fence.Verdict.STRANGE):
            self.leases.forget("drill", self.target)
