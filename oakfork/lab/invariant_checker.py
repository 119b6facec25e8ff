"""Checks the five rules and conservation from the world's side, without reading any gateway's own state.

The world reports what really happened: what clients sent and received, what reached servers and ran there, and which
lists discovery delivered to whom. A violation is recorded as one line with its time; the run continues.
"""

from collections import deque
from dataclasses import dataclass, field

from oakfork.interface import SECOND, RepeatSafety
from oakfork.lab.world_config import MethodConfig, PlanConfig, WorldConfig

MAX_LINES = 50  # recorded for each rule; further violations are only counted


@dataclass(slots=True)
class WatchedRpc:
    """One RPC that a gateway has accepted. Times are tenths of a millisecond."""

    method: MethodConfig
    customer: int
    plan: PlanConfig
    gateway: int
    accepted_at: int
    deadline: int
    answered_at: int = -1
    answer: str = ""
    call_outs: int = 0
    call_outs_ended: int = 0
    executions: list[tuple[int, int]] = field(default_factory=list)  # (server group, when its call-out was sent)
    units_drawn: bool = False  # a call-out has reached a server, so that the RPC's units have been used
    beyond_quota: bool = False
    lost: bool = False  # its gateway was killed, so that the client has to retry


class InvariantChecker:
    """Follows all RPCs of a run. `rpcs` holds those that are unanswered or have call-outs open."""

    def __init__(self, world: WorldConfig) -> None:
        """Starts with nothing accepted."""
        self.world = world
        self.rpcs: dict[int, WatchedRpc] = {}
        self.ceilings: dict[int, tuple[float, int]] = {}  # customer -> (tokens, time of the last update)
        self.withdrawn_at: dict[tuple[int, int], int] = {}  # (gateway, server) -> when the gateway learnt of it
        self.work_at_cold_servers: dict[int, deque[tuple[int, float]]] = {}  # server -> (time, work); until it stops
        self.broken: dict[str, int] = {}  # violations by rule
        self.lines: list[str] = []
        self.accepted = 0
        self.answered = 0
        self.unanswered = 0
        self.killed = 0
        self.call_outs = 0
        self.call_outs_ended = 0
        self.killed_call_outs = 0

    def record_violation(self, rule: str, now: int, text: str) -> None:
        """Counts a violation, and keeps its text unless the rule already has MAX_LINES of them."""
        self.broken[rule] = self.broken.get(rule, 0) + 1
        if self.broken[rule] <= MAX_LINES:
            self.lines.append(f"{now / SECOND:.4f} s rule {rule}: {text}")

    # Rule 1 and conservation

    def rpc_accepted(self, rpc: int, watched: WatchedRpc) -> None:
        """A gateway accepted an RPC, and owes one final answer."""
        self.accepted += 1
        self.rpcs[rpc] = watched

    def rpc_answered(self, rpc: int, now: int, answer: str) -> None:
        """Checks that an answer is the first, in time, and that a pushed-back RPC may safely be retried."""
        watched = self.rpcs.get(rpc)
        if watched is None or watched.answered_at >= 0:
            self.record_violation("answers", now, f"RPC {rpc} got a second final answer: {answer}")
            return
        self.answered += 1
        watched.answered_at = now
        watched.answer = answer
        if now > watched.deadline + self.world.answer_grace:
            late_ms = (now - watched.deadline) / 10
            self.record_violation("answers", now, f"RPC {rpc} was answered {late_ms:.1f} ms after its deadline")
        if answer == "pushed back" and watched.executions and not _repeat_is_harmless_anywhere(watched.method):
            self.record_violation("effects", now, f"RPC {rpc} was pushed back though it ran: a retry runs it again")
        self._remove_if_complete(rpc, watched)

    def check_overdue(self, rpc: int, now: int) -> None:
        """Checks that an RPC has its answer; called when its client has given up and the grace has passed."""
        watched = self.rpcs.get(rpc)
        if watched is not None and watched.answered_at < 0 and not watched.lost:
            self.record_violation("answers", now, f"RPC {rpc} at gateway {watched.gateway} got no answer")
            self.unanswered += 1
            watched.answered_at = now
            watched.answer = "none"
            self._remove_if_complete(rpc, watched)

    def gateway_killed(self, gateway: int) -> None:
        """Marks the RPCs of a gateway as lost, with their call-outs."""
        for rpc, watched in list(self.rpcs.items()):
            if watched.gateway == gateway and not watched.lost:
                self.killed += watched.answered_at < 0
                self.killed_call_outs += watched.call_outs - watched.call_outs_ended
                watched.lost = True
                watched.call_outs_ended = watched.call_outs
                del self.rpcs[rpc]
        self.withdrawn_at = {key: since for key, since in self.withdrawn_at.items() if key[0] != gateway}

    def _remove_if_complete(self, rpc: int, watched: WatchedRpc) -> None:
        if watched.answered_at >= 0 and watched.call_outs_ended == watched.call_outs:
            del self.rpcs[rpc]

    def close(self, now: int) -> None:
        """Checks at the end that every RPC ended once and that every call-out is accounted for."""
        for rpc, watched in self.rpcs.items():
            if watched.answered_at < 0:
                self.record_violation("answers", now, f"RPC {rpc} was never answered")
        open_call_outs = sum(watched.call_outs - watched.call_outs_ended for watched in self.rpcs.values())
        unanswered = self.unanswered + sum(watched.answered_at < 0 for watched in self.rpcs.values())
        if self.accepted != self.answered + self.killed + unanswered:
            text = f"{self.accepted} RPCs accepted, {self.answered} answered, {self.killed} lost with their gateway"
            self.record_violation("conservation", now, text)
        if self.call_outs != self.call_outs_ended + self.killed_call_outs + open_call_outs:
            text = f"{self.call_outs} call-outs, {self.call_outs_ended} ended, {open_call_outs} open"
            self.record_violation("conservation", now, text)

    # Rules 1, 3, 4, 5: what is sent

    def call_out_sent(self, rpc: int, gateway: int, server: int, now: int) -> None:
        """Checks that an RPC may have one more call-out, and that its server has not been withdrawn for too long."""
        watched = self.rpcs.get(rpc)
        if watched is None or watched.answered_at >= 0:
            self.record_violation("answers", now, f"RPC {rpc} was sent on after its final answer")
            return
        self.call_outs += 1
        watched.call_outs += 1
        if watched.call_outs > self.world.max_call_outs:
            self.record_violation("effects", now, f"RPC {rpc} has {watched.call_outs} call-outs")
        since = self.withdrawn_at.get((gateway, server))
        if since is not None and now > since + self.world.drain_grace:
            elapsed = (now - since) / SECOND
            text = f"RPC {rpc} was sent to server {server} {elapsed:.3f} s after its gateway learnt of the withdrawal"
            self.record_violation("drains", now, text)

    def call_out_ended(self, rpc: int) -> None:
        """Accounts for the end of a call-out."""
        watched = self.rpcs.get(rpc)
        if watched is not None:
            self.call_outs_ended += 1
            watched.call_outs_ended += 1
            self._remove_if_complete(rpc, watched)

    def server_withdrawn(self, gateway: int, server: int, now: int) -> None:
        """A gateway got a list in which a server is draining or gone."""
        self.withdrawn_at.setdefault((gateway, server), now)

    def server_ready(self, gateway: int, server: int) -> None:
        """A gateway got a list in which a server is ready."""
        self.withdrawn_at.pop((gateway, server), None)

    def server_reached(self, rpc: int, watched: WatchedRpc, units: float, now: int) -> None:
        """Draws the RPC's units from its customer's ceiling when its first call-out reaches a server complete."""
        plan = watched.plan
        if watched.units_drawn or not plan.ceiling_rate:
            return
        watched.units_drawn = True
        tokens, updated_at = self.ceilings.get(watched.customer, (plan.ceiling_burst, now))
        tokens = min(plan.ceiling_burst, tokens + (now - updated_at) * plan.ceiling_rate / SECOND) - units
        self.ceilings[watched.customer] = tokens, now
        if tokens < -plan.ceiling_slack - 1e-6:
            text = f"customer {watched.customer} is {-tokens:.2f} units past its ceiling (slack {plan.ceiling_slack:g})"
            self.record_violation("ceilings", now, text)

    # Rule 2: what runs

    def rpc_ran(self, rpc: int, watched: WatchedRpc, group: int, sent_at: int, now: int) -> None:
        """Checks an execution at a server of a group, whose servers recognize repeats of each other's RPCs."""
        method = watched.method
        if method.repeat == RepeatSafety.IDEMPOTENT:
            return
        ran_again = bool(watched.executions)
        if ran_again and method.repeat == RepeatSafety.DEDUPLICATED:
            ran_again = not any(
                earlier == group and sent_at < first + method.deduplication_time
                for earlier, first in watched.executions
            )
        if ran_again:
            self.record_violation("effects", now, f"RPC {rpc} of method {method.name} ran twice")
        watched.executions.append((group, sent_at))

    # Rule 4: cold servers

    def overloads_cold_server(self, server: int, now: int, work: float, capacity: float) -> bool:
        """Adds work sent to a cold server, and returns whether the server fails under it.

        `capacity` is the work that the server can do in a tenth of a millisecond now.
        """
        config = self.world.servers
        recent = self.work_at_cold_servers.setdefault(server, deque())
        recent.append((now, work))
        while recent and recent[0][0] <= now - config.fall_time:
            recent.popleft()
        if sum(size for _, size in recent) <= config.fall_multiple * capacity * config.fall_time:
            return False
        text = f"server {server} was sent over {config.fall_multiple:g} times what it can do"
        self.record_violation("cold servers", now, text)
        return True

    def server_stopped(self, server: int) -> None:
        """Forgets the work sent to a server that stopped."""
        self.work_at_cold_servers.pop(server, None)


def _repeat_is_harmless_anywhere(method: MethodConfig) -> bool:
    """Whether a retry through any server does no harm after the RPC has run."""
    if method.repeat == RepeatSafety.IDEMPOTENT:
        return True
    return method.repeat != RepeatSafety.NON_IDEMPOTENT and method.group == "all"
