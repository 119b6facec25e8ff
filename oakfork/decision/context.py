"""State that all parts of the decision module use: the time, commands, timers and randomness.

Also the types of an RPC, of its grant of quota and of what is learnt about a method.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Callable, Generator, NamedTuple

from oakfork import interface

UINT64_MASK = (1 << 64) - 1


class DecisionContext:
    """The time of the event being handled, its commands, pending timers and the random generator.

    Only one timer of the host is set at a time, for the earliest of the module's own.
    """

    def __init__(self, settings: interface.GatewaySettings, now: int) -> None:
        self.now = now
        self.started_at = now
        self.random_state = settings.seed & UINT64_MASK
        self.commands: list[interface.Command] = []
        self.timers: list[tuple[int, int, Callable, tuple]] = []  # a heap; emptied as they run out
        self.sequence = itertools.count()
        self.host_timer_at: int | None = None  # when the host's timer fires
        self.timer_lag = 0.0  # tenths of a millisecond by which the host's timers usually fire late

    def begin(self, now: int, event: interface.Event) -> None:
        """Starts the handling of an event at a time on the gateway's clock."""
        self.now = now
        self.commands = []
        fired = isinstance(event, interface.TimerFired)
        if fired and self.host_timer_at is not None and now >= self.host_timer_at:
            late = now - self.host_timer_at
            self.timer_lag = self.timer_lag + (late - self.timer_lag) * 0.2  # averages over some five timers
            self.host_timer_at = None

    def finish(self) -> list[interface.Command]:
        """Runs the timers that are due, sets the host's timer if needed and returns the event's commands."""
        while self.timers and self.timers[0][0] <= self.now:
            _, _, act, args = heapq.heappop(self.timers)
            act(*args)
        if self.timers and (self.host_timer_at is None or self.timers[0][0] < self.host_timer_at):
            self.host_timer_at = self.timers[0][0]
            self.commands.append(interface.SetTimer(0, self.host_timer_at - self.now))
        return self.commands

    def at(self, time: int, act: Callable, *args) -> None:
        """Calls a function at a time on the clock, but not before the next tenth of a millisecond."""
        heapq.heappush(self.timers, (max(time, self.now + 1), next(self.sequence), act, args))

    def random(self, below: int) -> int:
        """A pseudorandom number from 0 to below - 1, from a linear congruential generator (Knuth's MMIX)."""
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) & UINT64_MASK
        return (self.random_state >> 33) % below


class QuotaLimits(NamedTuple):
    """The size of a bucket: a whole quota at its owner, or a gateway's slice of it."""

    rate: float | None  # tokens a tenth of a millisecond; None: no limit, 0.0: nothing at all
    capacity: float  # tokens
    concurrency: int  # open call-outs; 0: any number


class QuotaGrant(NamedTuple):
    """Where an RPC's units, and its place among the open call-outs, were taken."""

    buckets: dict | None  # the table of this gateway that holds the bucket; None: it is at a peer
    limits: QuotaLimits
    owner: int
    owner_life: int
    serial: int


@dataclass(slots=True)
class MethodState:
    """A method and the latencies learnt of it, in tenths of a millisecond."""

    method: interface.Method
    # Two fifths of the soft deadline: after that an answer of usual length still comes in time.
    late_after: int
    mean_latency: float
    usual_pressure: float = 1.0  # at the servers chosen, as probes show it


@dataclass(slots=True)
class Rpc:
    """An RPC that is unanswered or has open call-outs."""

    request: interface.RpcArrived
    method_state: MethodState
    deadline: int  # on the clock
    process: Generator | None = None
    step: int = 0  # distinguishes an outdated timer from the awaited one
    open_call_outs: dict[int, int] = field(default_factory=dict)  # call-out -> server
    # Call-outs that may have run: call-out -> (server, time sent).
    may_have_run: dict[int, tuple[int, int]] = field(default_factory=dict)
    call_outs_sent: int = 0
    ask_serial: int = -1  # of the ask whose answer it waits for; -1: none
    grant: QuotaGrant | None = None
    answered: bool = False
