"""Quotas: a customer's bucket at its owner, asks to it, and the slice that decides where nobody answers."""

from dataclasses import dataclass, field
from typing import Generator

from oakfork import interface, peer_codec as wire
from oakfork.decision.context import MASK, DecisionContext, Hold, Rpc, Shares
from oakfork.decision.peer_links import PeerLinks
from oakfork.decision.servers import Servers
from oakfork.interface import SECOND


@dataclass(slots=True)
class Bucket:
    """Tokens of one customer, here as owner or in the local slice. Dropped by Quotas._check when full."""

    tokens: float
    updated: int
    lacks: float = 0.0  # what it would hold besides, had it begun full
    leases: dict[tuple, int] = field(default_factory=dict)  # who has a call-out open -> when it is lost


class Quotas:
    def __init__(
        self,
        settings: interface.GatewaySettings,
        context: DecisionContext,
        links: PeerLinks,
        servers: Servers,
    ) -> None:
        self.settings, self.context, self.links, self.servers = settings, context, links, servers
        # By customer and plan: one plan's terms say nothing of another's.
        self.buckets: dict[tuple[int, int], Bucket] = {}  # as owner; emptied by _check
        self.slices: dict[tuple[int, int], Bucket] = {}  # without the owner; emptied by _check
        self.answers: dict[tuple[int, int, int], int] = {}  # ask -> wait; emptied after 4 s
        self.refusals: dict[tuple[int, int], tuple[int, float]] = {}  # -> until, units; emptied then
        self.serial, self.reply, self.filled = 0, 0.0, False  # reply: the usual wait for one

    def owner(self, ask: interface.RpcArrived) -> tuple[int, int]:
        """The owner of a customer and the number of its gateways: its id hashed over them, sorted."""
        total, first = self.settings.gateways, ask.first_gateway % self.settings.gateways
        number = min(total, max(1, ask.spread))
        past = max(0, first + number - total)  # those counted round from 0 come first
        place = ((ask.customer * 0x9E3779B97F4A7C15 & MASK) >> 33) % number
        return place if place < past else first + place - past, number

    def shares(self, plan: interface.Plan, gateways: int) -> tuple[Shares, Shares]:
        """The owner's bucket and a gateway's slice. Exceptions: a slice holds one request, or says yes never;
        under a ceiling the slices but the owner's share all that it leaves: RPCs come unevenly."""
        rate, burst, top, most = plan.rate, plan.burst, plan.ceiling_rate, plan.ceiling_burst
        if top and not rate:  # a ceiling alone: half for the owner, half for the slices
            rate, burst = top / 2, most / 2
        local_rate, local_burst = rate / gateways, max(burst / gateways, self.settings.max_units)
        if top:
            rate, burst, others = min(rate, top), min(burst, most), max(1, gateways - 1)
            local_rate, local_burst = min(rate, (top - rate) / others), min(burst, (most - burst) / others)
        whole = Shares(rate / SECOND, burst, plan.concurrency)
        return whole, Shares(local_rate / SECOND, local_burst, -(-plan.concurrency // gateways))

    def bucket(
        self, table: dict[int, Bucket], ask: interface.RpcArrived | wire.Item, shares: Shares
    ) -> Bucket:
        """The customer's bucket, refilled. Missing reads as full. Exception, only under a ceiling, which
        ignores restarts: as filled since our start, unless it is known to be our first."""
        bucket, now = table.get((ask.customer, ask.plan)), self.context.now
        if bucket is None:
            empty = not self.links.first_life() and self.settings.plans[ask.plan].ceiling_rate
            since, lacks = (self.context.born, shares.capacity) if empty else (-1 << 60, 0.0)
            bucket = table[ask.customer, ask.plan] = Bucket(shares.capacity * (not shares.rate), since, lacks)
            self.context.at(now, self._check, table, ask, shares)
        bucket.tokens = min(shares.capacity, bucket.tokens + (now - bucket.updated) * shares.rate)
        bucket.updated = now
        return bucket

    def fill(self) -> None:
        """Once our first life is known: what read as empty was full. The others get no second burst."""
        if self.links.first_life() and not self.filled:
            self.filled = True
            for bucket in (*self.buckets.values(), *self.slices.values()):
                bucket.tokens, bucket.lacks = bucket.tokens + bucket.lacks, 0.0

    def _take(self, table: dict, ask: interface.RpcArrived | wire.Ask, shares: Shares, holder: tuple) -> int:
        """One serial refill-and-take: 0 for yes, otherwise the time until it could be."""
        bucket, now = self.bucket(table, ask, shares), self.context.now
        bucket.leases = {held: lost for held, lost in bucket.leases.items() if lost > now}
        if shares.concurrency and len(bucket.leases) >= shares.concurrency:
            return max(1, int(self.servers.mean_latency))
        if shares.rate and bucket.tokens < ask.units:
            return max(1, int((ask.units - bucket.tokens) / shares.rate))
        bucket.tokens -= ask.units if shares.rate else 0
        bucket.leases |= {holder: now + self.servers.longest} if shares.concurrency else {}
        return 0

    def _check(self, table: dict[int, Bucket], ask: interface.RpcArrived | wire.Item, shares: Shares) -> None:
        bucket, now = self.bucket(table, ask, shares), self.context.now
        fills = int(shares.capacity / shares.rate) + 1 if shares.rate else self.servers.longest
        if bucket.tokens >= shares.capacity and all(lost <= now for lost in bucket.leases.values()):
            del table[ask.customer, ask.plan]
        else:
            self.context.at(now + fills, self._check, table, ask, shares)

    def _give(
        self, table: dict, ask: interface.RpcArrived | wire.Return, shares: Shares, units: float
    ) -> None:
        bucket = self.bucket(table, ask, shares)
        bucket.tokens = min(shares.capacity, bucket.tokens + units)

    def admit(self, rpc: Rpc) -> Generator[int, object, int]:
        """0 if the RPC is inside its customer's quota, otherwise the time after which it could be."""
        ask, plan, now = rpc.ask, self.settings.plans[rpc.ask.plan], self.context.now
        if not (plan.rate or plan.concurrency or plan.ceiling_rate):
            return 0
        self.serial = serial = (self.serial + 1) & 0xFFFF
        owner, gateways = self.owner(ask)
        whole, local = self.shares(plan, gateways)
        if owner == self.settings.index:
            return self._take_here(rpc, Hold(self.buckets, whole, owner, self.links.life, serial))
        # Exception: a refusal is remembered until its retry-after: a client's retries cost no fresh ask.
        key = ask.customer, ask.plan
        until, units = self.refusals.get(key, (0, 0.0))
        if until > now and ask.units >= units:
            return until - now
        peer = self.links.peers[owner]
        # Exception: after two asks without a reply the owner counts as silent: one goes out each 250 ms.
        if (
            self.settings.peers
            and self.settings.peer_frames_per_s
            and (peer.missed < 2 or now >= peer.next_try)
        ):
            peer.next_try, rpc.asking, peer.asks[serial] = now + SECOND // 4, serial, (rpc, now)
            self.context.at(now + 4 * SECOND, peer.asks.pop, serial, None)  # far past any useful answer
            # A tenth of the soft deadline. Exceptions: where replies take longer, twice their usual time, up
            # to a third; where the slice has spent or has a ceiling's part only, it asks up to three times.
            soft = rpc.row.method.soft_deadline
            tries = 3 if plan.ceiling_rate or key in self.slices else 1
            wait = max(soft // 10, min(int(2 * self.reply), soft // (3 * tries)))
            for _ in range(tries):
                self.links.post(owner, wire.Ask(serial, ask.customer, ask.plan, ask.units))
                answer = yield min(rpc.dl, self.context.now + wait)
                if isinstance(answer, wire.Answer):
                    rpc.hold = None if answer.wait else Hold(None, whole, owner, peer.life, serial)
                    if answer.wait and local.rate:
                        # Exception: the slice counts as spent too, or hundreds of them grant beside it.
                        self.bucket(self.slices, ask, local).tokens = 0.0
                    if answer.wait:
                        self.refusals[key] = (self.context.now + answer.wait, ask.units)
                        self.context.at(self.context.now + answer.wait, self.refusals.pop, key, None)
                    return answer.wait
            rpc.asking, peer.missed, peer.rate = -1, peer.missed + 1, max(self.links.even, peer.rate / 2)
        wait = self._take_here(rpc, Hold(self.slices, local, owner, peer.life, serial))
        if not wait and peer.life:
            # Exception: what the slice spends is told to the owner, so that it does not grant the same again.
            self.links.post(owner, wire.Return(ask.customer, ask.plan, -ask.units))
        return wait

    def _take_here(self, rpc: Rpc, hold: Hold) -> int:
        wait = self._take(
            hold.table, rpc.ask, hold.shares, (self.settings.index, self.links.life, hold.serial)
        )
        rpc.hold = None if wait else hold
        return wait

    def give_back(self, rpc: Rpc, units: float) -> None:
        """Returns units to where they came from: not sent on, or settled for less (or, below 0, for more)."""
        hold, ask = rpc.hold, rpc.ask
        if hold and units and hold.table is not None:
            self._give(hold.table, ask, hold.shares, units)
        if hold and units and self._lives(hold):
            self.links.post(hold.owner, wire.Return(ask.customer, ask.plan, units))

    def _lives(self, hold: Hold) -> bool:
        return hold.owner != self.settings.index and 0 < hold.life == self.links.peers[hold.owner].life

    def release(self, rpc: Rpc) -> None:
        hold, customer, key = rpc.hold, rpc.ask.customer, (rpc.ask.customer, rpc.ask.plan)
        if hold and hold.shares.concurrency and key in (hold.table or ()):
            hold.table[key].leases.pop((self.settings.index, self.links.life, hold.serial), None)
        elif hold and hold.shares.concurrency and hold.table is None and self._lives(hold):
            self.links.post(hold.owner, wire.Release(hold.serial, customer))

    def received(self, sender: int, item: wire.Item) -> Rpc | None:
        """Acts on what another gateway asks or says; the RPC that waits for it, if one does."""
        peer, rpc = self.links.peers[sender], None
        if isinstance(item, wire.Answer):
            rpc, asked_at = peer.asks.pop(item.serial, (None, 0))
            if rpc:
                self.reply += (self.context.now - asked_at - self.reply) * 0.1
                peer.rate = min(self.links.swift, peer.rate * 1.25)
            if rpc and (rpc.asking != item.serial or rpc.over):
                if not item.wait:  # a late yes: its units go back
                    self.links.post(sender, wire.Return(rpc.ask.customer, rpc.ask.plan, rpc.ask.units))
                    if self.settings.plans[rpc.ask.plan].concurrency:
                        self.links.post(sender, wire.Release(item.serial, rpc.ask.customer))
                rpc = None
        elif isinstance(item, wire.Return):
            self._give(self.buckets, item, self.shares(self.settings.plans[item.plan], 1)[0], item.units)
        elif isinstance(item, wire.Ask):
            holder = sender, peer.life, item.serial
            if holder not in self.answers:  # repeated, it takes nothing again
                shares = self.shares(self.settings.plans[item.plan], 1)[0]
                self.answers[holder] = self._take(self.buckets, item, shares, holder)
                self.context.at(self.context.now + 4 * SECOND, self.answers.pop, holder, None)
            self.links.post(sender, wire.Answer(item.serial, self.answers[holder]))
        for plan in range(len(self.settings.plans)) if isinstance(item, wire.Release) else ():  # it has none
            if (item.customer, plan) in self.buckets:
                self.buckets[item.customer, plan].leases.pop((sender, peer.life, item.serial), None)
        return rpc
