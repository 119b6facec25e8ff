"""The five rules and conservation, watched from the world's side. Reads nothing of any gateway's own books.

The world tells it what really happened: what clients sent and got, what reached servers and ran there, what
discovery wrote to whom. A broken rule is kept as one line with its time; nothing is stopped.
"""

from collections import deque
from dataclasses import dataclass, field

from oakfork.interface import SECOND, RepeatSafety
from oakfork.lab.world_config import MethodConfig, PlanConfig, WorldConfig

MOST_LINES = 50  # told of each rule; all are counted


@dataclass(slots=True)
class WatchedRpc:
    """One RPC that a gateway has taken."""

    method: MethodConfig
    customer: int
    plan: PlanConfig
    gateway: int
    taken: int
    dl: int
    final: int = -1  # when it got its answer
    answer: str = ""
    call_outs: int = 0
    ended: int = 0
    ran: list[tuple[int, int]] = field(default_factory=list)  # (group, when the first call-out was sent)
    drawn: bool = False  # its first call-out reached a server: its units were taken
    beyond: bool = False  # beyond the quota
    lost: bool = False  # its gateway was killed: the client's to retry


class InvariantChecker:
    """`rpcs` holds those that are not yet answered or have call-outs out; emptied as they end."""

    def __init__(self, world: WorldConfig) -> None:
        self.world = world
        self.rpcs: dict[int, WatchedRpc] = {}
        self.ceilings: dict[int, tuple[float, int]] = {}  # customer -> tokens, when; as many as customers
        self.told: dict[tuple[int, int], int] = {}  # (gateway, server) -> since when it is told not to send
        self.cold: dict[int, deque[tuple[int, float]]] = {}  # server -> work sent; emptied when it stops
        self.broken: dict[str, int] = {}
        self.lines: list[str] = []
        self.taken = self.answered = self.silent = self.killed = 0
        self.call_outs = self.call_outs_ended = self.killed_call_outs = 0

    def breaks(self, rule: str, now: int, text: str) -> None:
        self.broken[rule] = self.broken.get(rule, 0) + 1
        if self.broken[rule] <= MOST_LINES:
            self.lines.append(f"{now / SECOND:.4f} s rule {rule}: {text}")

    # Rule 1 and conservation

    def took(self, rpc: int, watched: WatchedRpc) -> None:
        self.taken += 1
        self.rpcs[rpc] = watched

    def answer(self, rpc: int, now: int, answer: str) -> None:
        watched = self.rpcs.get(rpc)
        if watched is None or watched.final >= 0:
            self.breaks("answers", now, f"RPC {rpc} got a second final answer: {answer}")
            return
        self.answered += 1
        watched.final, watched.answer = now, answer
        if now > watched.dl + self.world.answer_grace:
            late = (now - watched.dl) / 10
            self.breaks("answers", now, f"RPC {rpc} was answered {late:.1f} ms after its deadline")
        if (
            answer == "pushed back"
            and watched.ran
            and watched.method.repeat != RepeatSafety.IDEMPOTENT
            and (watched.method.repeat == RepeatSafety.NON_IDEMPOTENT or watched.method.group != "all")
        ):
            self.breaks("effects", now, f"RPC {rpc} was pushed back though it ran: a retry runs it again")
        self._forget(rpc, watched)

    def overdue(self, rpc: int, now: int) -> None:
        """Comes when the client has given up and the grace is over."""
        watched = self.rpcs.get(rpc)
        if watched is not None and watched.final < 0 and not watched.lost:
            self.breaks("answers", now, f"RPC {rpc} at gateway {watched.gateway} got no answer")
            self.silent += 1
            watched.final, watched.answer = now, "none"
            self._forget(rpc, watched)

    def gateway_killed(self, gateway: int) -> None:
        for rpc, watched in list(self.rpcs.items()):
            if watched.gateway == gateway and not watched.lost:
                self.killed += watched.final < 0
                self.killed_call_outs += watched.call_outs - watched.ended
                watched.lost, watched.ended = True, watched.call_outs
                del self.rpcs[rpc]
        self.told = {key: since for key, since in self.told.items() if key[0] != gateway}

    def _forget(self, rpc: int, watched: WatchedRpc) -> None:
        if watched.final >= 0 and watched.ended == watched.call_outs:
            del self.rpcs[rpc]

    def close(self, now: int) -> None:
        """At the end: every RPC ended once, every call-out is accounted for."""
        for rpc, watched in self.rpcs.items():
            if watched.final < 0:
                self.breaks("answers", now, f"RPC {rpc} was never answered")
        out = sum(watched.call_outs - watched.ended for watched in self.rpcs.values())
        unanswered = self.silent + sum(w.final < 0 for w in self.rpcs.values())
        if self.taken != self.answered + self.killed + unanswered:
            self.breaks("conservation", now, f"{self.taken} RPCs taken, {self.answered} answered, {self.killed} killed")
        if self.call_outs != self.call_outs_ended + self.killed_call_outs + out:
            self.breaks("conservation", now, f"{self.call_outs} call-outs, {self.call_outs_ended} ended, {out} out")

    # Rules 1, 3, 4, 5: what is sent

    def sent(self, rpc: int, gateway: int, server: int, now: int) -> None:
        watched = self.rpcs.get(rpc)
        if watched is None or watched.final >= 0:
            self.breaks("answers", now, f"RPC {rpc} was sent on after its final answer")
            return
        self.call_outs += 1
        watched.call_outs += 1
        if watched.call_outs > self.world.max_call_outs:
            self.breaks("effects", now, f"RPC {rpc} has {watched.call_outs} call-outs")
        since = self.told.get((gateway, server))
        if since is not None and now > since + self.world.drain_grace:
            text = f"RPC {rpc} sent to server {server}, told {(now - since) / SECOND:.3f} s ago not to"
            self.breaks("drains", now, text)

    def ended(self, rpc: int) -> None:
        watched = self.rpcs.get(rpc)
        if watched is not None:
            self.call_outs_ended += 1
            watched.ended += 1
            self._forget(rpc, watched)

    def drain_told(self, gateway: int, server: int, now: int) -> None:
        self.told.setdefault((gateway, server), now)

    def ready_told(self, gateway: int, server: int) -> None:
        self.told.pop((gateway, server), None)

    def reached(self, rpc: int, watched: WatchedRpc, units: float, now: int) -> None:
        """The first call-out of an RPC has reached a server whole: its units leave the ceiling."""
        plan = watched.plan
        if watched.drawn or not plan.ceiling_rate:
            return
        watched.drawn = True
        tokens, at = self.ceilings.get(watched.customer, (plan.ceiling_burst, now))
        tokens = min(plan.ceiling_burst, tokens + (now - at) * plan.ceiling_rate / SECOND) - units
        self.ceilings[watched.customer] = tokens, now
        if tokens < -plan.ceiling_slack - 1e-6:
            text = f"customer {watched.customer} is {-tokens:.2f} units past its ceiling (slack {plan.ceiling_slack:g})"
            self.breaks("ceilings", now, text)

    # Rule 2: what runs

    def ran(self, rpc: int, watched: WatchedRpc, group: int, sent_at: int, now: int) -> None:
        """An effect. The world says which group of servers would know a repeat."""
        method = watched.method
        if method.repeat == RepeatSafety.IDEMPOTENT:
            return
        again = bool(watched.ran)
        if again and method.repeat == RepeatSafety.DEDUPLICATED:
            again = not any(g == group and sent_at < first + method.deduplication_time for g, first in watched.ran)
        if again:
            self.breaks("effects", now, f"RPC {rpc} of method {method.name} ran twice")
        watched.ran.append((group, sent_at))

    # Rule 4: cold servers

    def work_at_cold(self, server: int, now: int, work: float, could: float) -> bool:
        """Work sent to a cold server that can do `could` of it a tenth of a millisecond now; True if it falls over."""
        plan = self.world.servers
        recent = self.cold.setdefault(server, deque())
        recent.append((now, work))
        while recent and recent[0][0] <= now - plan.fall_time:
            recent.popleft()
        if sum(size for _, size in recent) <= plan.fall_multiple * could * plan.fall_time:
            return False
        self.breaks("cold servers", now, f"server {server} was sent over {plan.fall_multiple:g} times what it can do")
        return True

    def stopped(self, server: int) -> None:
        self.cold.pop(server, None)
