"""Textbook policies in place of the decision module, to compare it with.

A baseline combines a way to choose a server with a way to count quotas. It keeps the rules on call-outs and does
nothing more. Like the decision module it has no I/O, clock or global state.
"""

import heapq
import random
from dataclasses import dataclass
from typing import Callable, Sequence

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.interface import NEVER_RAN, SECOND, RepeatSafety, ServerState, Status

# Tenths of a millisecond in which the central bucket counts: short against a burst, long against a counter call.
WINDOW = 2 * SECOND


@dataclass(slots=True)
class Rpc:
    """One RPC that a baseline has accepted."""

    arrival: interface.RpcArrived
    deadline: int  # tenths of a millisecond
    sent: int = 0  # call-outs
    possible_executions: int = 0  # call-outs that may have run
    first_server: int = -1  # server of the first of those
    over: bool = False


class Baseline:
    """One gateway's policy. `rpcs` holds the open RPCs; `buckets` has one entry for each customer seen."""

    def __init__(self, settings: interface.GatewaySettings, now: int, choose: str, quota: str) -> None:
        """`choose` names a `_choose_` method; `quota` is none, local or central."""
        self.settings = settings
        self.choose = getattr(self, "_choose_" + choose)
        self.quota = quota
        self.rng = random.Random(settings.seed)
        self.servers: dict[int, interface.ServerEntry] = {}
        self.outstanding: dict[int, int] = {}  # call-outs by server
        self.turn = 0
        self.rpcs: dict[int, Rpc] = {}
        self.buckets: dict[int, tuple[float, int]] = {}  # customer -> (tokens, time of the last update)
        self.waiting_for_counter: dict[int, list[int]] = {}  # counter name -> RPCs that wait for its reply
        self.deadlines: list[tuple[int, int]] = []  # heap of (deadline, RPC)
        self.timer_at = 0
        self.commands: list[interface.Command] = []

    def handle(self, now: int, event: interface.Event) -> Sequence[interface.Command]:
        """Returns the commands that an event leads to."""
        self.commands = []
        match event:
            case interface.RpcArrived(index):
                rpc = Rpc(event, now + event.time_left)
                self.rpcs[index] = rpc
                heapq.heappush(self.deadlines, (rpc.deadline, index))
                self._admit(now, index, rpc)
            case interface.CallOutEnded(index) if index in self.rpcs:
                self._call_out_ended(now, event, self.rpcs[index])
            case interface.ServerList():
                for entry in event.entries:
                    self.servers[entry.server] = entry
            case interface.CounterReplied(status, total, name):
                self._counter_replied(now, status, total, name)
            case interface.ClientDisconnected(index) if index in self.rpcs:
                self.rpcs.pop(index).over = True
        self._end_overdue(now)
        self._set_timer(now)
        return self.commands

    def _end_overdue(self, now: int) -> None:
        while self.deadlines and self.deadlines[0][0] <= now:
            _, index = heapq.heappop(self.deadlines)
            rpc = self.rpcs.get(index)
            if rpc is not None and rpc.deadline <= now:
                self._give_up(index, rpc)

    def _set_timer(self, now: int) -> None:
        if self.deadlines and (self.timer_at <= now or self.deadlines[0][0] < self.timer_at):
            self.timer_at = self.deadlines[0][0]
            self.commands.append(interface.SetTimer(0, max(1, self.timer_at - now)))

    # Quotas

    def _admit(self, now: int, index: int, rpc: Rpc) -> None:
        arrival = rpc.arrival
        if self.quota == "none" or not self.settings.plans[arrival.plan].rate:
            self._send(now, index, rpc)
        elif self.quota == "local":
            self._admit_locally(now, index, rpc)
        else:
            name = arrival.customer << 16 | now // WINDOW & 0xFFFF
            self.waiting_for_counter.setdefault(name, []).append(index)
            self.commands.append(interface.AddToCounter(name, arrival.units, 2 * WINDOW))

    def _admit_locally(self, now: int, index: int, rpc: Rpc) -> None:
        """Admits by this gateway's equal part of the customer's bucket."""
        arrival, plan = rpc.arrival, self.settings.plans[rpc.arrival.plan]
        rate = plan.rate / arrival.spread
        burst = max(1.0, plan.burst / arrival.spread)
        tokens, updated_at = self.buckets.get(arrival.customer, (burst, now))
        tokens = min(burst, tokens + (now - updated_at) * rate / SECOND)
        if tokens < arrival.units:
            self._push_back(index, round((arrival.units - tokens) / rate * SECOND))
        else:
            tokens -= arrival.units
            self._send(now, index, rpc)
        self.buckets[arrival.customer] = tokens, now

    def _counter_replied(self, now: int, status: Status, total: float, name: int) -> None:
        waiting = self.waiting_for_counter.get(name, [])
        index = waiting.pop(0) if waiting else -1
        if not waiting:
            self.waiting_for_counter.pop(name, None)
        rpc = self.rpcs.get(index)
        if rpc is None or rpc.sent:
            return
        plan = self.settings.plans[rpc.arrival.plan]
        if status == Status.OK and total > plan.rate * WINDOW / SECOND + plan.burst / 2:
            self._push_back(index, WINDOW - now % WINDOW)
        else:  # fails open: a counter that does not answer admits everything
            self._send(now, index, rpc)

    # Servers

    def _ready_servers(self) -> list[int]:
        return [index for index, entry in self.servers.items() if entry.state == ServerState.READY]

    def _choose_random(self, ready: list[int]) -> int:
        return self.rng.choice(ready)

    def _choose_round_robin(self, ready: list[int]) -> int:
        self.turn += 1
        return ready[self.turn % len(ready)]

    def _choose_least_outstanding(self, ready: list[int]) -> int:
        return min(ready, key=lambda index: (self.outstanding.get(index, 0), self.rng.random()))

    def _choose_two_choices(self, ready: list[int]) -> int:
        return min((self.rng.choice(ready) for _ in range(2)), key=lambda index: self.outstanding.get(index, 0))

    # RPCs

    def _idempotent(self, rpc: Rpc) -> bool:
        return self.settings.methods[rpc.arrival.method].repeat == RepeatSafety.IDEMPOTENT

    def _send(self, now: int, index: int, rpc: Rpc) -> None:
        ready = self._ready_servers()
        if rpc.possible_executions and not self._idempotent(rpc):
            ready = [server for server in ready if server == rpc.first_server]
        if not ready or rpc.sent >= self.settings.max_call_outs or now >= rpc.deadline:
            self._give_up(index, rpc)
            return
        server = self.choose(ready)
        rpc.sent += 1
        rpc.possible_executions += 1
        if rpc.first_server < 0:
            rpc.first_server = server
        self.outstanding[server] = self.outstanding.get(server, 0) + 1
        self.commands.append(interface.SendCallOut(index, server, 0))

    def _call_out_ended(self, now: int, event: interface.CallOutEnded, rpc: Rpc) -> None:
        self.outstanding[event.server] = max(0, self.outstanding.get(event.server, 0) - 1)
        if event.status in NEVER_RAN:
            rpc.possible_executions -= 1
            if not rpc.possible_executions:
                rpc.first_server = -1
        if event.final or rpc.over:
            self.rpcs.pop(event.rpc, None)
        elif self._idempotent(rpc) or not rpc.possible_executions:
            self._send(now, event.rpc, rpc)
        else:
            self._give_up(event.rpc, rpc)

    def _push_back(self, index: int, wait: int) -> None:
        self.rpcs.pop(index).over = True
        self.commands.append(interface.PushBack(index, wait if self.settings.retry_after else 0))

    def _give_up(self, index: int, rpc: Rpc) -> None:
        """Pushes an RPC back if a repeat is harmless, and aborts it otherwise."""
        self.rpcs.pop(index, None)
        rpc.over = True
        harmless = not rpc.possible_executions or self._idempotent(rpc)
        self.commands.append(interface.PushBack(index, 0) if harmless else interface.Abort(index))


PolicyFactory = Callable[[interface.GatewaySettings, int], object]


def _baseline(choose: str, quota: str) -> PolicyFactory:
    return lambda settings, now: Baseline(settings, now, choose, quota)


POLICIES: dict[str, PolicyFactory] = {
    "oakfork": DecisionModule,
    "random": _baseline("random", "none"),
    "round robin": _baseline("round_robin", "none"),
    "least outstanding": _baseline("least_outstanding", "none"),
    "two choices": _baseline("two_choices", "none"),
    "local buckets": _baseline("two_choices", "local"),
    "central bucket": _baseline("two_choices", "central"),
}
