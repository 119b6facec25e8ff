"""Runs the leases of one gateway under trio: its votes and contenders for all tasks, and its acts while it holds one.

`LeaseRunner` owns their states. Whoever wants to act calls `begin_act` before each act, and sends the act with the
permit that it returns.
"""

import random
import time
from typing import NamedTuple

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

TASKS = ("allot", "survey", "drill")  # the only tasks that leases exist for; messages carry the index
MAX_CLOCK_VIEWS = 1024  # clocks of resources; the one refreshed the longest ago is dropped
MAX_CLOCK_REQUESTS = 64  # without a reply; the oldest is dropped
RANDOM_BITS = 62  # of a life or a nonce: within UInt63 on the wire
MAX_SLEEP = 3600.0  # seconds
LEAVE_POLL = 0.002  # seconds

Resource = int | tuple[str, int]  # a gateway's number, or the address of a resource outside the fleet


class ActPermit(NamedTuple):
    """What a holder sends with an act, so that the resource's fence accepts it."""

    term: int
    life: int  # of the resource
    end: int  # of the act, on the resource's clock


class LeaseRunner:
    """The votes, contenders and fences of one gateway, one of each for each task.

    Only voters of the fleet file have votes and contenders; every gateway has fences.
    """

    def __init__(self, file: FleetFile, gateway: int, transport: DatagramTransport, log: BoundLogger) -> None:
        """Registers the handlers of lease messages with the transport. `gateway` is this gateway's number."""
        self.file = file
        self.gateway = gateway
        self.transport = transport
        self.log = log
        self.random = random.SystemRandom()
        self.life = self.random.getrandbits(RANDOM_BITS)
        self.votes: dict[int, voter.Vote] = {}  # by task
        self.contenders: dict[int, holder.Contender] = {}  # by task
        if gateway in file.voters:
            self._start_voting()
        self.fences = {task: fence.Fence(self.random.getrandbits(RANDOM_BITS)) for task in range(len(TASKS))}
        self.clock_views: dict[tuple[int, Resource], fence.ClockView] = {}  # by task and resource, oldest first
        self.clock_requests: dict[int, tuple[int, Resource]] = {}  # nonce -> task and resource; without a reply yet
        self.state_changed = trio.Event()  # wakes `run` before its next timer
        self.logged_terms: dict[int, int] = {}  # task -> the last term whose lease has been logged
        self._register_handlers()

    def _start_voting(self) -> None:
        now = steady_clock()
        floor = time.time_ns() // 1_000_000  # so that terms begin above all earlier ones: docs/leases.md
        for task in range(len(TASKS)):
            self.votes[task] = voter.initial_vote(now, self.file.durations, floor)
            start_delay = int(self.random.random() * self.file.durations.round_timeout)
            self.contenders[task] = holder.Contender(self.gateway, self.life, self.file.voters, wake=now + start_delay)

    def _register_handlers(self) -> None:
        self.transport.handlers |= {
            Ask: self._on_ask,
            Grant: self._on_grant,
            Refusal: self._on_refusal,
            Release: self._on_release,
            VoteFreed: self._on_free,
            ClockRequest: self._on_clock_request,
            ClockReply: self._on_clock_reply,
        }

    # For holders, and for resources at this gateway

    def holds(self, task: str) -> bool:
        """Whether this gateway holds the lease of a task now."""
        contender = self.contenders.get(TASKS.index(task))
        return contender is not None and contender.holds(steady_clock())

    def term(self, task: str) -> int:
        """The term that this gateway holds or has asked for last; 0 if it never contended."""
        contender = self.contenders.get(TASKS.index(task))
        return contender.term if contender is not None else 0

    def begin_act(self, task: str, resource: Resource) -> ActPermit | None:
        """A permit for one act that begins now; None if this gateway may not act now.

        It may not without the lease, nor before it knows the resource's clock, for which it then asks.
        """
        number = TASKS.index(task)
        contender = self.contenders.get(number)
        now = steady_clock()
        if contender is None or not contender.holds(now):
            return None
        view = self.clock_views.get((number, resource))
        if view is None or now > view.our_time + self.file.durations.stale:
            self._request_clock(number, resource)
            if view is None:
                return None
        self.contenders[number], end = holder.begin_act(contender, now, self.file.durations)
        their_end = fence.end_on_their_clock(view, end, self.file.durations)
        return ActPermit(contender.term, view.life, their_end)

    def forget_clock(self, task: str, resource: Resource) -> None:
        """Drops what is known of the clock of a resource that has restarted."""
        self.clock_views.pop((TASKS.index(task), resource), None)

    def check_act(self, task: str, life: int, term: int, end: int) -> fence.Verdict:
        """Decides whether an act upon this gateway has its effect now, and counts it if not."""
        number = TASKS.index(task)
        self.fences[number], verdict = fence.check_act(self.fences[number], steady_clock(), life, term, end)
        if verdict is not fence.Verdict.TAKEN:
            self.transport.counts[f"acts refused: {verdict.value}"] += 1
        return verdict

    def _request_clock(self, task: int, resource: Resource) -> None:
        nonce = self.random.getrandbits(RANDOM_BITS)
        if len(self.clock_requests) >= MAX_CLOCK_REQUESTS:
            self.clock_requests.pop(next(iter(self.clock_requests)))
        self.clock_requests[nonce] = task, resource
        request = ClockRequest(task, self.gateway, nonce)
        if isinstance(resource, int):
            self.transport.send(resource, request)
        else:
            self.transport.send_to(resource, request)

    # Handlers of messages

    def _on_ask(self, sender: int, ask: Ask) -> None:
        if ask.task in self.votes and ask.gateway == sender:
            vote, reply = voter.on_ask(self.votes[ask.task], steady_clock(), ask, self.file.durations, self.gateway)
            self.votes[ask.task] = vote
            self.transport.send(sender, reply)

    def _on_release(self, sender: int, release: Release) -> None:
        if release.task in self.votes and release.gateway == sender:
            vote, hint = voter.on_release(self.votes[release.task], steady_clock(), release, self.gateway)
            self.votes[release.task] = vote
            if hint:
                self.transport.send(*hint)

    def _on_grant(self, sender: int, grant: Grant) -> None:
        if grant.task in self.contenders and grant.voter == sender:
            contender = self.contenders[grant.task]
            self.contenders[grant.task] = holder.on_grant(contender, steady_clock(), grant, self.file.durations)
            self._log_new_lease(grant.task)
            self.state_changed.set()

    def _on_refusal(self, sender: int, refusal: Refusal) -> None:
        if refusal.task in self.contenders and refusal.voter == sender:
            self.contenders[refusal.task], messages = holder.on_refusal(
                self.contenders[refusal.task],
                steady_clock(),
                refusal,
                self.file.durations,
                refusal.task,
                self.random.random(),
            )
            self._send_to_voters(messages)

    def _on_free(self, sender: int, hint: VoteFreed) -> None:
        if hint.task in self.contenders and hint.voter == sender:
            self.contenders[hint.task] = holder.on_free(self.contenders[hint.task], steady_clock(), hint)
            self.state_changed.set()

    def _on_clock_request(self, sender: int, request: ClockRequest) -> None:
        if request.task in self.fences:
            self.transport.send(sender, fence.clock_reply(self.fences[request.task], steady_clock(), request))

    def _on_clock_reply(self, sender: int, reply: ClockReply) -> None:
        task, resource = self.clock_requests.pop(reply.nonce, (-1, None))
        if task != reply.task:
            return
        while len(self.clock_views) >= MAX_CLOCK_VIEWS:
            self.clock_views.pop(next(iter(self.clock_views)))
        self.clock_views.pop((task, resource), None)
        self.clock_views[task, resource] = fence.ClockView(reply.life, reply.clock, steady_clock())

    def _log_new_lease(self, task: int) -> None:
        contender = self.contenders[task]
        if contender.lease_end and self.logged_terms.get(task) != contender.term:
            self.logged_terms[task] = contender.term
            self.log.info("holds a lease", task=TASKS[task], term=contender.term)

    def _send_to_voters(self, messages: holder.OutgoingMessages) -> None:
        for message in messages:
            for gateway in self.file.voters:
                self.transport.send(gateway, message)

    # Timers

    async def run(self) -> None:
        """Calls the contenders when their timers are due, until cancelled."""
        while True:
            self.state_changed = trio.Event()
            now = steady_clock()
            for task, contender in self.contenders.items():
                if contender.wake <= now:
                    self._fire_timer(task, contender, now)
            due = min((contender.wake for contender in self.contenders.values()), default=holder.NEVER)
            with trio.move_on_after(min(MAX_SLEEP, max(0.0, (due - steady_clock()) / 10_000))):
                await self.state_changed.wait()

    def _fire_timer(self, task: int, contender: holder.Contender, now: int) -> None:
        after, messages = holder.on_timer(contender, now, self.file.durations, task, self.random.random())
        if contender.lease_end and not after.lease_end:
            self.log.info("lease ended", task=TASKS[task], term=contender.term)
        self.contenders[task] = after
        self._send_to_voters(messages)

    async def leave(self) -> None:
        """Stops acting at once, and returns when the votes are released, after the last act has ended."""
        now = steady_clock()
        self.contenders = {
            task: holder.on_leave(contender, now, self.file.durations) for task, contender in self.contenders.items()
        }
        self.state_changed.set()
        while any(contender.wake != holder.NEVER for contender in self.contenders.values()):
            await trio.sleep(LEAVE_POLL)


class LeaseDrillClient:
    """Acts repeatedly upon a fenced resource outside the fleet while it holds the "drill" lease: docs/leases.md."""

    def __init__(self, leases: LeaseRunner, target: tuple[str, int], interval: float) -> None:
        """Lets the transport take replies from `target`. `interval` is in seconds, between two acts."""
        self.leases = leases
        self.target = target
        self.interval = interval
        self.acts_sent = 0
        leases.transport.gateways.setdefault(target, OUTSIDE_GATEWAY)
        leases.transport.handlers[ActReply] = self._on_act_reply

    async def run(self) -> None:
        """Acts once an interval, until cancelled."""
        while True:
            await trio.sleep(self.interval)
            if permit := self.leases.begin_act("drill", self.target):
                self.acts_sent += 1
                self.leases.transport.send_to(self.target, self._request(permit))

    def _request(self, permit: ActPermit) -> ActRequest:
        return ActRequest(
            TASKS.index("drill"),
            self.leases.gateway,
            permit.life,
            self.leases.life,
            permit.term,
            permit.end,
            self.acts_sent,
        )

    def _on_act_reply(self, sender: int, reply: ActReply) -> None:
        if reply.verdict == list(fence.Verdict).index(fence.Verdict.OTHER_LIFE):
            self.leases.forget_clock("drill", self.target)
