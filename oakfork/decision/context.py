"""What the parts work with: the time of the event in hand, its commands, timers, chance; what an RPC is."""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Callable, Generator, NamedTuple

from oakfork import interface

MASK = (1 << 64) - 1


class DecisionContext:
    def __init__(self, settings: interface.GatewaySettings, now: int) -> None:
        self.now, self.born, self.chance, self.commands = now, now, settings.seed & MASK, []
        self.alarms: list[tuple[int, int, Callable, tuple]] = []  # emptied as they come
        self.order, self.woken, self.lag = itertools.count(), None, 0.0  # lag: how late its timers come

    def begin(self, now: int, event: interface.Event) -> None:
        self.now, self.commands = now, []
        if isinstance(event, interface.TimerFired) and self.woken is not None and now >= self.woken:
            self.lag, self.woken = self.lag + (now - self.woken - self.lag) * 0.2, None  # over five timers

    def finish(self) -> list[interface.Command]:
        while self.alarms and self.alarms[0][0] <= self.now:
            _, _, act, args = heapq.heappop(self.alarms)
            act(*args)
        if self.alarms and (self.woken is None or self.alarms[0][0] < self.woken):
            self.woken = self.alarms[0][0]
            self.commands.append(interface.SetTimer(0, self.woken - self.now))
        return self.commands

    def at(self, time: int, act: Callable, *args) -> None:
        heapq.heappush(self.alarms, (max(time, self.now + 1), next(self.order), act, args))

    def random(self, below: int) -> int:
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) & MASK
        return (self.chance >> 33) % below


class Shares(NamedTuple):
    rate: float  # tokens a tenth of a millisecond
    capacity: float
    concurrency: int  # call-outs out at once; 0: any


class Hold(NamedTuple):  # where an RPC's units and its place among the open call-outs were taken
    table: dict | None  # of this gateway; None: at a peer
    shares: Shares
    owner: int
    life: int  # of the owner
    serial: int


@dataclass(slots=True)
class MethodRow:  # and the latencies learnt of the method
    method: interface.Method
    late: int  # two fifths of the soft deadline: an answer of usual length is in time after that
    mean: float  # usual latency
    pressure: float = 1.0  # usual at the servers chosen, as probes tell it


@dataclass(slots=True)
class Rpc:  # while it is unanswered or has call-outs out
    ask: interface.RpcArrived
    row: MethodRow
    dl: int  # deadline, on the clock
    run: Generator | None = None
    step: int = 0  # tells an outdated alarm from the awaited one
    out: dict[int, int] = field(default_factory=dict)  # call-out -> server
    maybe: dict[int, tuple[int, int]] = field(default_factory=dict)  # may have run: -> server, sent at
    sent: int = 0
    asking: int = -1
    hold: Hold | None = None
    over: bool = False
