"""Quotas: token buckets of customers, asks to their owners, and slices for when an owner is silent.

A customer's RPCs come in at several gateways. One of them, the owner, keeps the whole bucket; the others ask
it for each RPC. Where the owner doesn't answer in time, a gateway decides by a slice: a small bucket of its
own.
"""

from typing import Generator

from oakfork import interface, peer_codec as wire
from oakfork.decision.buckets import Bucket, DropTimer, evict_fullest
from oakfork.decision.context import UINT64_MASK, DecisionContext, QuotaGrant, QuotaLimits, Rpc
from oakfork.decision.peer_links import MAX_QUEUED_ITEMS, Peer, PeerLinks
from oakfork.decision.servers import Servers
from oakfork.interface import SECOND

LONG_AGO = -1 << 60  # tenths of a millisecond on any clock
ANSWER_LIFETIME = 4 * SECOND  # far longer than an answer is of use
SILENT_AFTER = 2  # asks in a row without a reply
SILENT_ASK_INTERVAL = SECOND // 4
ASK_WAIT_PARTS = 10  # an ask waits for this part of the soft deadline
REPEATED_ASKS = 3
MAX_OPEN_ASKS = MAX_QUEUED_ITEMS // 2  # of one peer; some room is left for what goes back to it


class Quotas:
    """All buckets of this gateway, and its asks to the owners of other customers.

    Buckets are kept by customer and plan, because the terms of one plan don't apply to another's bucket.
    """

    def __init__(
        self,
        settings: interface.GatewaySettings,
        context: DecisionContext,
        links: PeerLinks,
        servers: Servers,
    ) -> None:
        self.settings = settings
        self.context = context
        self.links = links
        self.servers = servers
        self.buckets: dict[tuple[int, int], Bucket] = {}  # as owner; emptied by _drop_if_full
        self.slices: dict[tuple[int, int], Bucket] = {}  # without the owner; emptied by _drop_if_full
        # Answered asks: (sender, its life, serial) -> wait; emptied after ANSWER_LIFETIME.
        self.answers: dict[tuple[int, int, int], int] = {}
        # Refusals by owners: (customer, plan) -> (until, units); emptied then.
        self.refusals: dict[tuple[int, int], tuple[int, float]] = {}
        self.last_serial = 0
        self.usual_reply_time = 0.0  # of an ask, in tenths of a millisecond
        self.filled = False  # fill has run: buckets that began empty were filled up

    def owner(self, request: interface.RpcArrived) -> tuple[int, int]:
        """The customer's owner, its id hashed over the customer's sorted gateways, and their number."""
        total = self.settings.gateways
        first = request.first_gateway % self.settings.gateways
        number = min(total, max(1, request.spread))
        wrapped = max(0, first + number - total)  # gateways counted on from 0, which come first when sorted
        position = ((request.customer * 0x9E3779B97F4A7C15 & UINT64_MASK) >> 33) % number
        owner = position if position < wrapped else first + position - wrapped
        return owner, number

    def limits(self, plan: interface.Plan, gateways: int) -> tuple[QuotaLimits, QuotaLimits]:
        """The limits of the owner's bucket and of a gateway's slice.

        Exceptions: a slice holds at least one request, or it could never grant any. Under a ceiling the
        slices other than the owner's share all that the owner's bucket leaves, because RPCs come unevenly;
        where the ceiling is no higher than the quota that is nothing, and they grant nothing.
        """
        rate, burst = plan.rate, plan.burst
        ceiling_rate, ceiling_burst = plan.ceiling_rate, plan.ceiling_burst
        if ceiling_rate and not rate:  # a ceiling alone: half for the owner, half for the slices
            rate = ceiling_rate / 2
            burst = ceiling_burst / 2
        slice_rate = rate / gateways
        slice_burst = max(burst / gateways, self.settings.max_units)
        if ceiling_rate:
            rate = min(rate, ceiling_rate)
            burst = min(burst, ceiling_burst)
            others = max(1, gateways - 1)
            slice_rate = min(rate, (ceiling_rate - rate) / others)
            slice_burst = min(burst, (ceiling_burst - burst) / others)
        slice_concurrency = -(-plan.concurrency // gateways)  # rounded up
        if not rate:  # the plan limits open call-outs alone
            return QuotaLimits(None, burst, plan.concurrency), QuotaLimits(
                None, slice_burst, slice_concurrency
            )
        whole = QuotaLimits(rate / SECOND, burst, plan.concurrency)
        return whole, QuotaLimits(slice_rate / SECOND, slice_burst, slice_concurrency)

    def bucket(
        self,
        buckets: dict[tuple[int, int], Bucket],
        request: interface.RpcArrived | wire.Item,
        limits: QuotaLimits,
    ) -> Bucket | None:
        """The customer's bucket in a table, refilled up to now. One that is missing counts as full.

        Exception, only under a ceiling, which a restart must not exceed: unless this is known to be the
        gateway's first life, a missing bucket counts as empty at its start and filled since.
        None where there is no room for one more bucket.
        """
        key = request.customer, request.plan
        bucket = buckets.get(key)
        now = self.context.now
        if bucket is None:
            evicted = None
            if len(buckets) >= self.settings.max_customers:
                evicted = evict_fullest(buckets, self.settings.plans, self.context.now)
                if evicted is None:
                    return None
            starts_empty = not self.links.first_life() and self.settings.plans[request.plan].ceiling_rate
            if starts_empty:
                updated, missing = self.context.started_at, limits.capacity
            else:
                updated, missing = LONG_AGO, 0.0
            tokens = limits.capacity * (limits.rate is None)
            timer = evicted.timer if evicted else DropTimer(key)
            timer.key = key
            bucket = buckets[key] = Bucket(tokens, updated, limits, timer, missing)
            if not evicted:
                self.context.at(now, self._drop_if_full, buckets, timer)
        bucket.limits = limits
        bucket.refill(now)
        return bucket

    def fill(self) -> None:
        """Fills the buckets that began empty, once this is known to be the first life.

        Other buckets get nothing, which would be a second burst.
        """
        if self.links.first_life() and not self.filled:
            self.filled = True
            for bucket in (*self.buckets.values(), *self.slices.values()):
                bucket.tokens = bucket.tokens + bucket.missing
                bucket.missing = 0.0

    def _take(
        self,
        buckets: dict,
        request: interface.RpcArrived | wire.Ask,
        limits: QuotaLimits,
        holder: tuple,
    ) -> int:
        """Takes a request's units and place from a bucket: 0 if granted, else the time until it could be.

        A limit of nothing at all needs no bucket: by the longest deadline the owner may answer again.
        """
        if limits.rate == 0.0:
            return self.servers.longest_deadline
        bucket = self.bucket(buckets, request, limits)
        if bucket is None:
            return self.servers.longest_deadline
        now = self.context.now
        bucket.leases = {held: lapses for held, lapses in bucket.leases.items() if lapses > now}
        if limits.concurrency and len(bucket.leases) >= limits.concurrency:
            return max(1, int(self.servers.mean_latency))
        if limits.rate is not None and bucket.tokens < request.units:
            return max(1, int((request.units - bucket.tokens) / limits.rate))
        if limits.rate is not None:
            bucket.tokens -= request.units
        if limits.concurrency:
            bucket.leases |= {holder: now + self.servers.longest_deadline}
        return 0

    def _drop_if_full(
        self,
        buckets: dict[tuple[int, int], Bucket],
        timer: DropTimer,
    ) -> None:
        """Drops a bucket that is full and has no open call-outs; otherwise checks it again later."""
        bucket = buckets[timer.key]
        now = self.context.now
        if bucket.limits.rate:
            time_to_fill = int(bucket.limits.capacity / bucket.limits.rate) + 1
        else:
            time_to_fill = self.servers.longest_deadline
        if bucket.is_full(now):
            del buckets[timer.key]
        else:
            self.context.at(now + time_to_fill, self._drop_if_full, buckets, timer)

    def _add_units(
        self,
        buckets: dict,
        request: interface.RpcArrived | wire.Return,
        limits: QuotaLimits,
        units: float,
    ) -> None:
        bucket = self.bucket(buckets, request, limits)
        if bucket is not None:
            bucket.tokens = min(limits.capacity, bucket.tokens + units)

    def admit(self, rpc: Rpc) -> Generator[int, object, int]:
        """Takes an RPC's units: 0 if it is inside its quota, else the time after which it could be.

        A generator: yields until when it waits for the owner's answer and is sent that answer, or None.
        """
        request = rpc.request
        plan = self.settings.plans[request.plan]
        now = self.context.now
        if not (plan.rate or plan.concurrency or plan.ceiling_rate):
            return 0
        self.last_serial = (self.last_serial + 1) & 0xFFFF
        serial = self.last_serial
        owner, gateways = self.owner(request)
        whole, local = self.limits(plan, gateways)
        if owner == self.settings.index:
            return self._take_here(rpc, QuotaGrant(self.buckets, whole, owner, self.links.life, serial))
        # Exception: a refusal is remembered until its retry-after, so that a client's retries cost no new
        # asks.
        until, units = self.refusals.get((request.customer, request.plan), (0, 0.0))
        if until > now and request.units >= units:
            return until - now
        peer = self.links.peers[owner]
        if self._may_ask(peer):
            wait = yield from self._ask_owner(rpc, QuotaGrant(None, whole, owner, peer.life, serial), local)
            if wait is not None:
                return wait
        wait = self._take_here(rpc, QuotaGrant(self.slices, local, owner, peer.life, serial))
        if not wait and peer.life:
            # Exception: the owner learns what the slice spends, so that it doesn't grant the same again.
            self.links.enqueue(owner, wire.Return(request.customer, request.plan, -request.units))
        return wait

    def _may_ask(self, peer: Peer) -> bool:
        """Whether an owner is asked now.

        Exception: after two asks without a reply it counts as silent, and one ask goes out each 250 ms.
        Nor is it asked while so many items wait for it that the ask would come too late, or as many are open.
        """
        if not self.settings.peers or not self.settings.peer_frames_per_s:
            return False
        if max(len(peer.queue), len(peer.open_asks)) >= MAX_OPEN_ASKS:
            return False
        return peer.unanswered_asks < SILENT_AFTER or self.context.now >= peer.next_ask_at

    def _ask_owner(
        self, rpc: Rpc, grant: QuotaGrant, local: QuotaLimits
    ) -> Generator[int, object, int | None]:
        """Asks the owner for an RPC's units: 0 if granted, a wait if refused, None without an answer.

        A first ask waits a tenth of the soft deadline. Exceptions: where replies take longer, it waits for
        twice their usual time, up to a third of the soft deadline; where the slice has spent something, or
        has only a part of what a ceiling leaves, the ask is sent up to three times.
        """
        request, owner, serial = rpc.request, grant.owner, grant.serial
        peer = self.links.peers[owner]
        now = self.context.now
        peer.next_ask_at = now + SILENT_ASK_INTERVAL
        rpc.ask_serial = serial
        peer.open_asks[serial] = (rpc, now)
        self.context.at(now + ANSWER_LIFETIME, peer.open_asks.pop, serial, None)
        soft_deadline = rpc.method_state.method.soft_deadline
        has_ceiling = self.settings.plans[request.plan].ceiling_rate
        tries = REPEATED_ASKS if has_ceiling or (request.customer, request.plan) in self.slices else 1
        shortest = soft_deadline // ASK_WAIT_PARTS
        longest = soft_deadline // (3 * tries)  # for all tries together a third
        patience = max(shortest, min(int(2 * self.usual_reply_time), longest))
        for _ in range(tries):
            self.links.enqueue(owner, wire.Ask(serial, request.customer, request.plan, request.units))
            answer = yield min(rpc.deadline, self.context.now + patience)
            if isinstance(answer, wire.Answer):
                # The owner may have restarted since the ask was sent: the grant is of its present life.
                rpc.grant = None if answer.wait else grant._replace(owner_life=peer.life)
                if answer.wait:
                    self._remember_refusal(request, local, answer.wait)
                return answer.wait
        rpc.ask_serial = -1
        peer.unanswered_asks += 1
        peer.rate = max(self.links.even_rate, peer.rate / 2)
        return None

    def _remember_refusal(self, request: interface.RpcArrived, local: QuotaLimits, wait: int) -> None:
        bucket = self.bucket(self.slices, request, local) if local.rate else None
        if bucket is not None:
            # Exception: the slice counts as spent too; otherwise hundreds of slices grant beside the owner.
            bucket.tokens = 0.0
        key = request.customer, request.plan
        if key in self.refusals or len(self.refusals) < self.settings.max_customers:
            self.refusals[key] = (self.context.now + wait, request.units)
            self.context.at(self.context.now + wait, self.refusals.pop, key, None)

    def _take_here(self, rpc: Rpc, grant: QuotaGrant) -> int:
        holder = (self.settings.index, self.links.life, grant.serial)
        wait = self._take(grant.buckets, rpc.request, grant.limits, holder)
        rpc.grant = None if wait else grant
        return wait

    def return_units(self, rpc: Rpc, units: float) -> None:
        """Returns units to where they came from: the RPC was not sent on, or cost less (below 0: more)."""
        grant, request = rpc.grant, rpc.request
        if grant and units and grant.buckets is not None:
            self._add_units(grant.buckets, request, grant.limits, units)
        if grant and units and self._owner_still_lives(grant):
            self.links.enqueue(grant.owner, wire.Return(request.customer, request.plan, units))

    def _owner_still_lives(self, grant: QuotaGrant) -> bool:
        """Whether the owner is a peer that hasn't restarted since the grant."""
        if grant.owner == self.settings.index:
            return False
        return 0 < grant.owner_life == self.links.peers[grant.owner].life

    def release(self, rpc: Rpc) -> None:
        """Gives back an RPC's place among the open call-outs of its customer."""
        grant = rpc.grant
        if not grant or not grant.limits.concurrency:
            return
        key = rpc.request.customer, rpc.request.plan
        if key in (grant.buckets or ()):
            holder = (self.settings.index, self.links.life, grant.serial)
            grant.buckets[key].leases.pop(holder, None)
        elif grant.buckets is None and self._owner_still_lives(grant):
            self.links.enqueue(grant.owner, wire.Release(grant.serial, rpc.request.customer))

    def received(self, sender: int, item: wire.Item) -> Rpc | None:
        """Acts on an item from another gateway; returns the RPC that waits for it, if one does."""
        if isinstance(item, wire.Answer):
            return self._answer_received(sender, item)
        if isinstance(item, wire.Return):
            whole, _ = self.limits(self.settings.plans[item.plan], 1)
            self._add_units(self.buckets, item, whole, item.units)
        elif isinstance(item, wire.Ask):
            self._ask_received(sender, item)
        elif isinstance(item, wire.Release):
            self._release_received(sender, item)
        return None

    def _answer_received(self, sender: int, answer: wire.Answer) -> Rpc | None:
        peer = self.links.peers[sender]
        rpc, asked_at = peer.open_asks.pop(answer.serial, (None, 0))
        if rpc is None:
            return None
        self.usual_reply_time += (self.context.now - asked_at - self.usual_reply_time) * 0.1
        peer.rate = min(self.links.initial_rate, peer.rate * 1.25)
        if rpc.ask_serial == answer.serial and not rpc.answered:
            return rpc
        if not answer.wait:  # granted too late: the units go back
            request = rpc.request
            self.links.enqueue(sender, wire.Return(request.customer, request.plan, request.units))
            if self.settings.plans[request.plan].concurrency:
                self.links.enqueue(sender, wire.Release(answer.serial, request.customer))
        return None

    def _ask_received(self, sender: int, ask: wire.Ask) -> None:
        holder = sender, self.links.peers[sender].life, ask.serial
        if holder not in self.answers:  # a repeated ask takes nothing again
            if len(self.answers) >= self.settings.max_customers:
                return  # without an answer the other gateway decides by its slice
            whole, _ = self.limits(self.settings.plans[ask.plan], 1)
            self.answers[holder] = self._take(self.buckets, ask, whole, holder)
            self.context.at(self.context.now + ANSWER_LIFETIME, self.answers.pop, holder, None)
        self.links.enqueue(sender, wire.Answer(ask.serial, self.answers[holder]))

    def _release_received(self, sender: int, release: wire.Release) -> None:
        holder = (sender, self.links.peers[sender].life, release.serial)
        for plan in range(len(self.settings.plans)):  # a release names no plan
            if (release.customer, plan) in self.buckets:
                self.buckets[release.customer, plan].leases.pop(holder, None)
