"""Textbook policies in the decision module's place, to compare it with. They keep the rules on call-outs, no more.

A baseline is a way to choose a server and a way to count quotas; both are replaceable parts. Pure, as the module is:
no I/O, clock or global state.
"""

import heapq
import random
from dataclasses import dataclass
from typing import Callable, Sequence

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.interface import NEVER_RAN, SECOND, RepeatSafety, ServerState, Status

WINDOW = 2 * SECOND  # the central bucket counts in windows: short against a burst, long against a call


@dataclass(slots=True)
class Rpc:
    ask: interface.RpcArrived
    dl: int
    sent: int = 0
    maybe: int = 0  # call-outs that may have run
    first: int = -1  # the server of the first of those
    over: bool = False


class Baseline:
    """`rpcs` is emptied as RPCs end, `buckets` holds as many as there are customers."""

    def __init__(self, settings: interface.GatewaySettings, now: int, choose: str, quota: str) -> None:
        self.settings, self.choose, self.quota = settings, getattr(self, "_choose_" + choose), quota
        self.dice = random.Random(settings.seed)
        self.servers: dict[int, interface.ServerEntry] = {}
        self.out: dict[int, int] = {}
        self.turn = 0
        self.rpcs: dict[int, Rpc] = {}
        self.buckets: dict[int, tuple[float, int]] = {}
        self.counting: dict[int, list[int]] = {}  # name -> RPCs that wait for the counter; emptied by its answers
        self.ends: list[tuple[int, int]] = []
        self.woken = 0
        self.commands: list[interface.Command] = []

    def handle(self, now: int, event: interface.Event) -> Sequence[interface.Command]:
        self.commands = []
        match event:
            case interface.RpcArrived(index):
                rpc = self.rpcs[index] = Rpc(event, now + event.time_left)
                heapq.heappush(self.ends, (rpc.dl, index))
                self._admit(now, index, rpc)
            case interface.CallOutEnded(index) if index in self.rpcs:
                self._ended(now, event, self.rpcs[index])
            case interface.ServerList():
                for entry in event.entries:
                    self.servers[entry.server] = entry
            case interface.CounterReplied(status, total, name):
                self._counted(now, status, total, name)
            case interface.ClientDisconnected(index) if index in self.rpcs:
                self.rpcs.pop(index).over = True
        while self.ends and self.ends[0][0] <= now:
            _, index = heapq.heappop(self.ends)
            rpc = self.rpcs.get(index)
            if rpc is not None and rpc.dl <= now:
                self._give_up(index, rpc)
        if self.ends and (self.woken <= now or self.ends[0][0] < self.woken):
            self.woken = self.ends[0][0]
            self.commands.append(interface.SetTimer(0, max(1, self.woken - now)))
        return self.commands

    # Quotas

    def _admit(self, now: int, index: int, rpc: Rpc) -> None:
        plan, ask = self.settings.plans[rpc.ask.plan], rpc.ask
        if self.quota == "none" or not plan.rate:
            self._send(now, index, rpc)
        elif self.quota == "local":
            rate, burst = plan.rate / ask.spread, max(1.0, plan.burst / ask.spread)
            tokens, at = self.buckets.get(ask.customer, (burst, now))
            tokens = min(burst, tokens + (now - at) * rate / SECOND)
            if tokens < ask.units:
                self._refuse(index, round((ask.units - tokens) / rate * SECOND))
            else:
                tokens -= ask.units
                self._send(now, index, rpc)
            self.buckets[ask.customer] = tokens, now
        else:
            name = ask.customer << 16 | now // WINDOW & 0xFFFF
            self.counting.setdefault(name, []).append(index)
            self.commands.append(interface.AddToCounter(name, ask.units, 2 * WINDOW))

    def _counted(self, now: int, status: Status, total: float, name: int) -> None:
        waiting = self.counting.get(name, [])
        index = waiting.pop(0) if waiting else -1
        if not waiting:
            self.counting.pop(name, None)
        rpc = self.rpcs.get(index)
        if rpc is None or rpc.sent:
            return
        plan = self.settings.plans[rpc.ask.plan]
        if status == Status.OK and total > plan.rate * WINDOW / SECOND + plan.burst / 2:
            self._refuse(index, WINDOW - now % WINDOW)
        else:  # a counter that does not answer lets everything in, as such gateways do
            self._send(now, index, rpc)

    # Servers

    def _fit(self) -> list[int]:
        return [index for index, entry in self.servers.items() if entry.state == ServerState.READY]

    def _choose_random(self, fit: list[int]) -> int:
        return self.dice.choice(fit)

    def _choose_round_robin(self, fit: list[int]) -> int:
        self.turn += 1
        return fit[self.turn % len(fit)]

    def _choose_least_outstanding(self, fit: list[int]) -> int:
        return min(fit, key=lambda index: (self.out.get(index, 0), self.dice.random()))

    def _choose_two_choices(self, fit: list[int]) -> int:
        return min((self.dice.choice(fit) for _ in range(2)), key=lambda index: self.out.get(index, 0))

    # RPCs

    def _send(self, now: int, index: int, rpc: Rpc) -> None:
        fit = self._fit()
        if rpc.maybe and self.settings.methods[rpc.ask.method].repeat != RepeatSafety.IDEMPOTENT:
            fit = [server for server in fit if server == rpc.first]
        if not fit or rpc.sent >= self.settings.max_call_outs or now >= rpc.dl:
            self._give_up(index, rpc)
            return
        server = self.choose(fit)
        rpc.sent, rpc.maybe = rpc.sent + 1, rpc.maybe + 1
        rpc.first = server if rpc.first < 0 else rpc.first
        self.out[server] = self.out.get(server, 0) + 1
        self.commands.append(interface.SendCallOut(index, server, 0))

    def _ended(self, now: int, event: interface.CallOutEnded, rpc: Rpc) -> None:
        self.out[event.server] = max(0, self.out.get(event.server, 0) - 1)
        if event.status in NEVER_RAN:
            rpc.maybe -= 1
            rpc.first = rpc.first if rpc.maybe else -1
        if event.final or rpc.over:
            self.rpcs.pop(event.rpc, None)
        elif self.settings.methods[rpc.ask.method].repeat == RepeatSafety.IDEMPOTENT or not rpc.maybe:
            self._send(now, event.rpc, rpc)
        else:
            self._give_up(event.rpc, rpc)

    def _refuse(self, index: int, wait: int) -> None:
        self.rpcs.pop(index).over = True
        self.commands.append(interface.PushBack(index, wait if self.settings.retry_after else 0))

    def _give_up(self, index: int, rpc: Rpc) -> None:
        self.rpcs.pop(index, None)
        rpc.over = True
        harmless = not rpc.maybe or self.settings.methods[rpc.ask.method].repeat == RepeatSafety.IDEMPOTENT
        self.commands.append(interface.PushBack(index, 0) if harmless else interface.Abort(index))


Decide = Callable[[interface.GatewaySettings, int], object]


def _baseline(choose: str, quota: str) -> Decide:
    return lambda settings, now: Baseline(settings, now, choose, quota)


POLICIES: dict[str, Decide] = {
    "oakfork": DecisionModule,
    "random": _baseline("random", "none"),
    "round robin": _baseline("round_robin", "none"),
    "least outstanding": _baseline("least_outstanding", "none"),
    "two choices": _baseline("two_choices", "none"),
    "local buckets": _baseline("two_choices", "local"),
    "central bucket": _baseline("two_choices", "central"),
}
