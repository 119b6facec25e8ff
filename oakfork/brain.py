"""The decision module of oakfork: one gateway's judgement of every RPC.

How it is called: Brain(birth, now) once, then brain.handle(now, event) for each event, in order; it returns
the commands to carry out. Their types: oakfork/interface.py; messages between gateways: oakfork/peerwire.py.
Times are whole tenths of a millisecond. No I/O, clock or global state here. Each RPC is a generator,
Brain._answer, read from top to bottom: it yields Wait, Send, PushBack or Abort and is resumed with what came
of it. The mechanism is that of docs/design.md; "Exception" marks a departure and says when it acts.
"""
import heapq
import operator
from collections import deque
from dataclasses import dataclass, field
from typing import Callable, Generator, NamedTuple

from oakfork import interface as face, peerwire as wire
from oakfork.interface import NEVER_RAN, SECOND, Repeat, State, Status

MASK = (1 << 64) - 1


class Wait(NamedTuple):
    until: int      # resume me with the next thing that concerns me, or with None at this time


class Shares(NamedTuple):
    """What one bucket holds: tokens a tenth of a millisecond, capacity, call-outs out at once (0: any)."""
    rate: float
    capacity: float
    concurrency: int


@dataclass(slots=True)
class Bucket:
    """Tokens of one customer, here as owner or in the local slice. Dropped by Brain._check when full."""
    tokens: float
    updated: int
    leases: dict[tuple, int] = field(default_factory=dict)  # who has a call-out open -> when it is lost
    lacks: float = 0.0      # what it would hold besides, had it begun full


@dataclass(slots=True)
class Server:
    """What this gateway has seen of a server, anew for each of its starts. Dropped by _list when gone."""
    since: int = 0
    zone: int = 0
    cell: int = 0
    state: State = State.GONE
    open: dict[tuple[int, int], int] = field(default_factory=dict)  # call-out -> sent at; emptied as they end
    heard: int = 0
    pace: float = 1.0       # latency against the method's mean
    mute: dict[int, int] = field(default_factory=dict)  # method that failed there -> until
    limit: float = 1e9      # own call-outs at once, learnt from late answers and refusals
    bad: float = 0.0        # recent share of call-outs that failed
    trickle: int = 0        # own call-outs at once while it comes back; 0: it is back
    aside_until: int = 0
    not_before: int = 0     # nothing is sent earlier: it was full
    sent_at: int = 0        # the last call-out to it; for a cold one, at first a point drawn by chance
    mark: int = 0           # names it to other gateways
    mine: bool = False      # one of those that this gateway keeps to
    seen: int = 0           # how long a probe took there beyond the quickest of its zone
    seen_at: int = -SECOND  # when that was


@dataclass(slots=True)
class Peer:
    """The link to another gateway."""
    due: float              # when the next frame would go, had all gone evenly
    life: int = 0           # 0 until it has been heard
    again: bool = False     # it was heard in an earlier life as well
    sent: int = 0           # number of the last frame to it
    window: wire.Window = field(default_factory=wire.Window)
    skew: int | None = None     # the least difference of clocks seen: a frame without delay
    queue: deque[bytes] = field(default_factory=deque)      # emptied by _flush
    rate: float = 0.0       # frames a tenth of a millisecond
    version: int = 0        # the latest version of frames that it has sent
    missed: int = 0         # asks in a row without a reply
    next_try: int = 0
    asks: dict[int, tuple["Rpc", int]] = field(default_factory=dict)    # emptied by answers, or after 4 s


class Hold(NamedTuple):
    """Where an RPC's units and its place among the open call-outs were taken."""
    table: dict | None      # buckets or slices of this gateway; None: at a peer
    shares: Shares
    owner: int
    life: int               # of the owner
    serial: int


@dataclass(slots=True)
class MethodRow:
    """What the module reads of a method, and the latencies it learns."""
    soft: int
    repeat: Repeat
    group: str
    remembered: int
    late: int       # two fifths of the soft deadline: an answer of usual length is in time after that
    mean: float     # usual latency
    pressure: float = 1.0   # usual at the servers chosen, as probes tell it


@dataclass(slots=True)
class Rpc:
    """One RPC while it is unanswered or has call-outs out."""
    id: int
    ask: face.Arrival
    row: MethodRow
    soft: int
    dl: int
    run: Generator | None = None
    step: int = 0           # tells an outdated alarm from the awaited one
    out: dict[int, int] = field(default_factory=dict)       # call-out -> server
    maybe: dict[int, tuple[int, int]] = field(default_factory=dict)     # may have run: -> server, sent at
    sent: int = 0
    asking: int = -1
    hold: Hold | None = None
    over: bool = False


class Brain:
    def __init__(self, birth: face.Birth, now: int) -> None:
        self.birth, self.born, self.now = birth, now, now
        self.chance = birth.seed & MASK
        self.life = 1 + self._random(65535)     # names this start to the others
        # An eighth of the soft deadline is a first guess only: replaced within some twenty answers.
        self.methods = [MethodRow(row.soft_deadline, row.repeat, row.group, row.remembered,
                                  row.soft_deadline * 2 // 5, row.soft_deadline / 8) for row in birth.methods]
        self.shortest = min((method.soft_deadline for method in birth.methods), default=SECOND)
        self.longest = max((method.deadline for method in birth.methods), default=SECOND)
        self.servers: dict[int, Server] = {}
        self.rpcs: dict[int, Rpc] = {}          # emptied as RPCs end
        self.buckets: dict[int, Bucket] = {}    # as owner; emptied by _check
        self.slices: dict[int, Bucket] = {}     # without the owner; emptied by _check
        self.answers: dict[tuple[int, int, int], int] = {}  # ask -> wait; emptied after 4 s
        self.refusals: dict[int, tuple[int, float]] = {}    # customer -> until, units; emptied at until
        self.strangers = set(range(max(2, birth.gateways))) - {birth.index}     # may know our earlier life
        self.even = 0.9 * max(1.0, birth.mail_per_s) / SECOND / max(1, birth.gateways - 1)
        self.swift = max(self.even, birth.mail_per_s / 4 / SECOND)  # at first; an ask with no reply halves it
        self.peers = {i: Peer(now, rate=self.swift) for i in range(birth.gateways) if i != birth.index}
        self.alarms: list[tuple[int, int, Callable, tuple]] = []
        self.alarm_no = self.serial = 0
        if birth.peers and birth.mail_per_s:    # no faster than all answers are taken in
            spread = int(1 / self.even)
            for i in self.peers:    # evenly over that time, at the receivers too
                turn = (i - birth.index) % birth.gateways
                self._at(now + spread * turn // birth.gateways, self._greet, i, SECOND // 4)
        self.woken: int | None = None
        self.mean_latency = min((row.mean for row in self.methods), default=SECOND / 10)
        # The usual latency when servers are quiet: falls with the mean at once, rises by 0.2% an answer (it
        # doubles in a minute at six a second); its first twenty answers replace the guess.
        self.quiet, self.answers_seen = self.mean_latency, 0
        self.reply, self.trouble = 0.0, 0.1     # usual wait for a reply; recent share of calls late or failed
        self.list_pause = birth.list_patience // 3  # before the list is asked for again; doubles
        self.let_in = 1.0                       # share of the RPCs let in, learnt from answers
        # A look asks two servers. It is to save more RPCs than it costs: a twentieth or both probes at least.
        self.pays = max(0.05, 2 * birth.probe_price)
        self.dear = self.pays > 0.05
        self.lag = 0.0                          # how late its own timers come: how far this gateway is behind
        self.ready: list[int] = []
        self.place, self.among = 0, birth.gateways      # where its own servers begin; how many share a server
        self.quickest: dict[int, int] = {}      # zone -> the quickest probe
        self.looks: dict[int, list[Rpc]] = {}   # server probed -> who waits; emptied by a probe's end
        self.marks: dict[int, int] = {}         # what names a server to others -> server; emptied by _list
        self.readings: deque[int] = deque(maxlen=2)     # servers looked at last
        self.strange = 0                        # frames that were not understood
        self.commands: list[face.Command] = []

    def handle(self, now: int, event: face.Event) -> list[face.Command]:
        self.now, self.commands = now, []
        match event:
            case face.Arrival():
                row = self.methods[event.method]
                rpc = self.rpcs[event.rpc] = Rpc(event.rpc, event, row, now + row.soft, now + event.time_left)
                rpc.run = self._answer(rpc)
                self._resume(rpc, None)
            case face.CallOutEnded():
                self._ended(event)
            case face.ServerList():
                self._list(event)
            case face.TimeCame() if self.woken is not None and now >= self.woken:
                self.lag += (now - self.woken - self.lag) * 0.2     # over some five timers
                self.woken = None
            case face.PeerFrame():
                self._frame(event)
            case face.ProbeEnded(server):
                self._seen(event)
                for looking in self.looks.pop(server, ()):
                    self._resume(looking, event)
            case face.ClientGone(rpc) if rpc in self.rpcs:
                self._close(self.rpcs[rpc])
            case face.StreamStarted(rpc) if rpc in self.rpcs:
                self.rpcs[rpc].step += 1    # no alarm wakes it any more
        while self.alarms and self.alarms[0][0] <= now:
            _, _, act, args = heapq.heappop(self.alarms)
            act(*args)
        if self.alarms and (self.woken is None or self.alarms[0][0] < self.woken):
            self.woken = self.alarms[0][0]
            self.commands.append(face.Wake(0, self.woken - now))
        return self.commands

    def _at(self, time: int, act: Callable, *args) -> None:
        self.alarm_no += 1
        heapq.heappush(self.alarms, (max(time, self.now + 1), self.alarm_no, act, args))

    def _random(self, below: int) -> int:
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) & MASK
        return (self.chance >> 33) % below

    def _owner(self, ask: face.Arrival) -> tuple[int, int]:
        """The owner of a customer and the number of its gateways: its id hashed over them, sorted."""
        total, first = self.birth.gateways, ask.first_gateway % self.birth.gateways
        number = min(total, max(1, ask.spread))
        past = max(0, first + number - total)   # those counted round from 0 come first
        place = ((ask.customer * 0x9E3779B97F4A7C15 & MASK) >> 33) % number
        return place if place < past else first + place - past, number

    def _shares(self, plan: face.Plan, gateways: int) -> tuple[Shares, Shares]:
        """The owner's bucket and a gateway's slice. Exceptions: a slice holds one request, or says yes never;
        under a ceiling the slices (the owner needs none) share all that it leaves above the quota, for one
        customer's RPCs come unevenly, and a seventh each would refuse half of those inside the quota."""
        rate, burst = plan.rate, plan.burst
        if plan.ceiling_rate and not rate:  # a ceiling alone: half for the owner, half for the slices
            rate, burst = plan.ceiling_rate / 2, plan.ceiling_burst / 2
        local_rate, local_burst = rate / gateways, max(burst / gateways, self.birth.most_units)
        if plan.ceiling_rate:
            rate, burst = min(rate, plan.ceiling_rate), min(burst, plan.ceiling_burst)
            others = max(1, gateways - 1)
            local_rate = min(rate, (plan.ceiling_rate - rate) / others)
            local_burst = min(burst, (plan.ceiling_burst - burst) / others)
        whole = Shares(rate / SECOND, burst, plan.concurrency)
        return whole, Shares(local_rate / SECOND, local_burst, -(-plan.concurrency // gateways))

    def _bucket(self, table: dict[int, Bucket], ask: face.Arrival | wire.Item, shares: Shares) -> Bucket:
        """The customer's bucket, refilled. Missing reads as full. Exception, only under a ceiling, which
        ignores restarts: as filled since our start, unless it is known to be our first."""
        bucket = table.get(ask.customer)
        if bucket is None:
            empty = not self._first_life() and self.birth.plans[ask.plan].ceiling_rate
            since, lacks = (self.born, shares.capacity) if empty else (-1 << 60, 0.0)
            bucket = table[ask.customer] = Bucket(0.0 if shares.rate else shares.capacity, since, lacks=lacks)
            self._at(self.now, self._check, table, ask, shares)
        bucket.tokens = min(shares.capacity, bucket.tokens + (self.now - bucket.updated) * shares.rate)
        bucket.updated = self.now
        return bucket

    def _first_life(self) -> bool:
        """Whether all others said that they never knew us before. A twentieth may be missing, or one that is
        down would keep buckets empty in a whole tier: where most were killed at once, more than that are left
        to tell."""
        return -1 not in self.strangers and len(self.strangers) <= self.birth.gateways // 20

    def _take(self, table: dict, ask: face.Arrival | wire.Ask, shares: Shares, holder: tuple) -> int:
        """One serial refill-and-take: 0 for yes, otherwise the time until it could be."""
        bucket = self._bucket(table, ask, shares)
        bucket.leases = {held: lost for held, lost in bucket.leases.items() if lost > self.now}
        if shares.concurrency and len(bucket.leases) >= shares.concurrency:
            return max(1, int(self.mean_latency))
        if shares.rate and bucket.tokens < ask.units:
            return max(1, int((ask.units - bucket.tokens) / shares.rate))
        bucket.tokens -= ask.units if shares.rate else 0
        if shares.concurrency:
            bucket.leases[holder] = self.now + self.longest
        return 0

    def _check(self, table: dict[int, Bucket], ask: face.Arrival | wire.Item, shares: Shares) -> None:
        bucket = self._bucket(table, ask, shares)
        if bucket.tokens >= shares.capacity and all(lost <= self.now for lost in bucket.leases.values()):
            del table[ask.customer]
        else:
            fills = int(shares.capacity / shares.rate) + 1 if shares.rate else self.longest
            self._at(self.now + fills, self._check, table, ask, shares)

    def _give(self, table: dict, ask: face.Arrival | wire.Return, shares: Shares, units: float) -> None:
        bucket = self._bucket(table, ask, shares)
        bucket.tokens = min(shares.capacity, bucket.tokens + units)

    def _admit(self, rpc: Rpc) -> Generator[Wait, object, int]:
        """0 if the RPC is inside its customer's quota, otherwise the time after which it could be."""
        ask = rpc.ask
        plan = self.birth.plans[ask.plan]
        if not (plan.rate or plan.concurrency or plan.ceiling_rate):
            return 0
        self.serial = serial = (self.serial + 1) & 0xFFFF
        owner, gateways = self._owner(ask)
        whole, local = self._shares(plan, gateways)
        if owner == self.birth.index:
            return self._take_here(rpc, Hold(self.buckets, whole, owner, self.life, serial))
        # Exception: a refusal is remembered until its retry-after: a client's retries cost no fresh ask.
        until, units = self.refusals.get(ask.customer, (0, 0.0))
        if until > self.now and ask.units >= units:
            return until - self.now
        peer = self.peers.get(owner)
        # Exception: after two asks without a reply the owner counts as silent: one goes out each 250 ms.
        silent = peer and peer.missed >= 2 and self.now < peer.next_try
        if peer and self.birth.peers and self.birth.mail_per_s and not silent:
            peer.next_try = self.now + SECOND // 4
            rpc.asking, peer.asks[serial] = serial, (rpc, self.now)
            self._at(self.now + 4 * SECOND, peer.asks.pop, serial, None)    # far past any useful answer
            # A tenth of the soft deadline. Exceptions: where replies take longer, twice their usual time, up
            # to a third; where the slice has spent or has a ceiling's part only, it asks up to three times.
            tries = 3 if plan.ceiling_rate or ask.customer in self.slices else 1
            wait = max(rpc.row.soft // 10, min(int(2 * self.reply), rpc.row.soft // (3 * tries)))
            for _ in range(tries):
                self._post(owner, wire.Ask(serial, ask.customer, ask.plan, ask.units))
                answer = yield Wait(min(rpc.dl, self.now + wait))
                if isinstance(answer, wire.Answer):
                    break
            rpc.asking = -1
            if isinstance(answer, wire.Answer):
                if answer.wait:
                    # Exception: the slice counts as spent too, or hundreds of them grant beside the owner.
                    if local.rate:
                        self._bucket(self.slices, ask, local).tokens = 0.0
                    self.refusals[ask.customer] = (self.now + answer.wait, ask.units)
                    self._at(self.now + answer.wait, self.refusals.pop, ask.customer, None)
                else:
                    rpc.hold = Hold(None, whole, owner, peer.life, serial)
                return answer.wait
            peer.missed, peer.rate = peer.missed + 1, max(self.even, peer.rate / 2)
        wait = self._take_here(rpc, Hold(self.slices, local, owner, peer.life if peer else 0, serial))
        if not wait and peer and peer.life:
            # Exception: what the slice spends is told to the owner, so that it does not grant the same again.
            self._post(owner, wire.Return(ask.customer, ask.plan, -ask.units))
        return wait

    def _take_here(self, rpc: Rpc, hold: Hold) -> int:
        wait = self._take(hold.table, rpc.ask, hold.shares, (self.birth.index, self.life, hold.serial))
        rpc.hold = None if wait else hold
        return wait

    def _give_back(self, rpc: Rpc, units: float) -> None:
        """Returns units to where they came from: not sent on, or settled for less (or, below 0, for more)."""
        hold, ask = rpc.hold, rpc.ask
        if hold is None or not units:
            return
        if hold.table is not None:
            self._give(hold.table, ask, hold.shares, units)
        if hold.owner != self.birth.index and hold.life and hold.life == self.peers[hold.owner].life:
            self._post(hold.owner, wire.Return(ask.customer, ask.plan, units))

    def _release(self, rpc: Rpc) -> None:
        hold, customer = rpc.hold, rpc.ask.customer
        if hold is None or not hold.shares.concurrency:
            return
        if hold.table is not None and customer in hold.table:
            hold.table[customer].leases.pop((self.birth.index, self.life, hold.serial), None)
        elif hold.table is None and hold.life == self.peers[hold.owner].life:
            self._post(hold.owner, wire.Release(hold.serial, customer))

    def _post(self, to: int, item: wire.Item) -> None:
        peer = self.peers[to]
        peer.queue.append(wire.pack_item(item))
        if len(peer.queue) == 1:
            self._at(self.now + 1, self._flush, to)     # later in this batch's reply or in the next

    def _greet(self, to: int, pause: int) -> None:
        """An empty frame, until the other is heard. Guards against a tier in which some never write to each
        other: nobody could tell there that this is a first life, and buckets under a ceiling would begin
        empty."""
        if not self.peers[to].life:
            self._flush(to, True)
            self._at(self.now + pause, self._greet, to, min(2 * pause, 16 * SECOND))

    def _flush(self, to: int, empty: bool = False) -> None:
        peer = self.peers[to]
        ahead = self.now + 2 / peer.rate    # three frames may go at once
        if (peer.queue or empty) and peer.due <= ahead:
            peer.due = max(peer.due, self.now) + 1 / peer.rate
            peer.sent = (peer.sent + 1) & 0xFFFF
            head = self.life, peer.life, peer.sent, self.now // 10
            version = peer.version if peer.queue else wire.VERSION      # a greeting says what we understand
            items = wire.fill(peer.queue, self._readings() if version == wire.VERSION else ())
            self.commands.append(face.Tell(to, wire.pack(*head, items, peer.again, version or wire.OLDEST)))
        if peer.queue:
            self._at(self.now + int(peer.due - ahead) + 1, self._flush, to)

    def _frame(self, event: face.PeerFrame) -> None:
        frame, peer = wire.unpack(event.data), self.peers.get(event.sender)
        if frame is None or peer is None or not frame.life:
            self.strange += 1
            if not self.strange & self.strange - 1:     # told at each doubling
                self.commands.append(face.Note(f"{self.strange} frames not understood"))
            return
        peer.version = max(frame.version, peer.version * (frame.life == peer.life))
        if frame.life != peer.life:     # it has restarted: what it held or was asked is void
            if peer.life:
                peer.again = True
                peer.asks.clear()
                peer.queue.clear()
            peer.life, peer.window, peer.skew = frame.life, wire.Window(), None
            if self.strangers:
                earlier = frame.again or frame.to_life not in (0, self.life)
                self.strangers = {-1} if earlier else self.strangers - {event.sender}
                for bucket in (*self.buckets.values(), *self.slices.values()) if self._first_life() else ():
                    # Our first life: what read as empty was full. The others get no second burst.
                    bucket.tokens, bucket.lacks = bucket.tokens + bucket.lacks, 0.0
        if not peer.window.fresh(frame.number):
            return
        if not (frame.to_life or frame.items):  # a greeting
            self._at(self.now + 1, self._flush, event.sender, True)
        # Exception: asks of a stale backlog are skipped: 300 ms above the least delay seen from that peer.
        delay = (self.now // 10 - frame.clock) & 0xFFFF
        if peer.skew is None or (delay - peer.skew + 0x8000 & 0xFFFF) < 0x8000:
            peer.skew = delay
        stale = (delay - peer.skew & 0xFFFF) > 300
        peer.missed = peer.missed if stale else 0
        for item in frame.items:
            if isinstance(item, wire.Ask | wire.Return):
                if item.plan >= len(self.birth.plans):
                    continue
                shares = self._shares(self.birth.plans[item.plan], 1)[0]
            if isinstance(item, wire.Ask):
                if not stale:
                    asked = (event.sender, frame.life, item.serial)
                    if asked not in self.answers:   # repeated, it takes nothing again
                        self.answers[asked] = self._take(self.buckets, item, shares, asked)
                        self._at(self.now + 4 * SECOND, self.answers.pop, asked, None)
                    self._post(event.sender, wire.Answer(item.serial, self.answers[asked]))
            elif isinstance(item, wire.Reading):
                server = self.servers.get(self.marks.get(item.mark, -1))
                if server and not stale and self.now - item.age > server.seen_at:
                    server.seen, server.seen_at = item.seen, self.now - item.age
            elif frame.to_life != self.life:
                continue    # meant for the life before a restart
            elif isinstance(item, wire.Answer):
                self._answered(event.sender, peer, item)
            elif isinstance(item, wire.Return):
                self._give(self.buckets, item, shares, item.units)
            elif item.customer in self.buckets:
                self.buckets[item.customer].leases.pop((event.sender, frame.life, item.serial), None)

    def _readings(self) -> list[bytes]:
        """What was seen last, to ride along. Guards against looks that each of tens of gateways pays for."""
        recent = [self.servers[i] for i in self.readings if i in self.servers] if self.dear else ()
        return [wire.pack_item(wire.Reading(server.mark, server.seen, self.now - server.seen_at))
                for server in recent if self.now < server.seen_at + SECOND // 2]

    def _seen(self, probe: face.ProbeEnded) -> None:
        """Pressure: how long a probe took beyond the quickest of its zone; reports are refreshed seldom."""
        server = self.servers.get(probe.server)
        if server and probe.status == Status.OK:
            self.quickest[server.zone] = min(self.quickest.get(server.zone, SECOND), probe.elapsed)
            server.seen, server.seen_at = probe.elapsed - self.quickest[server.zone], self.now
            if probe.server not in self.readings:
                self.readings.append(probe.server)

    def _answered(self, sender: int, peer: Peer, answer: wire.Answer) -> None:
        rpc, asked_at = peer.asks.pop(answer.serial, (None, 0))
        if rpc is None:
            return
        self.reply += (self.now - asked_at - self.reply) * 0.1
        peer.rate = min(self.swift, peer.rate * 1.25)
        if rpc.asking == answer.serial and not rpc.over:
            self._resume(rpc, answer)
        elif not answer.wait:       # a late yes: its units go back
            self._post(sender, wire.Return(rpc.ask.customer, rpc.ask.plan, rpc.ask.units))
            if self.birth.plans[rpc.ask.plan].concurrency:
                self._post(sender, wire.Release(answer.serial, rpc.ask.customer))

    def _answer(self, rpc: Rpc) -> Generator[object, object, None]:
        # Guards against too little CPU: a sixteenth of the shortest soft deadline behind, it lets in less.
        share = min(self.let_in, max(0.1, 1.25 - 4 * self.lag / self.shortest))
        if self._random(1000) >= 1000 * share or not self._choose(rpc):
            self.let_in = min(1.15, self.let_in * 1.01)
            yield self._give_up(rpc)    # overload: refused before it costs an ask
            return
        wait = yield from self._admit(rpc)
        plan = self.birth.plans[rpc.ask.plan]   # beyond the quota only where it says that this earns more
        if wait and (plan.ceiling_rate or plan.beyond_utility <= plan.beyond_cost):
            yield face.PushBack(rpc.id, -(-wait // SECOND) * SECOND if self.birth.retry_after else 0)
            return
        copy_at, slow, server = 0, False, None
        while self.now < rpc.dl:
            copy = self.birth.second_copies and self.birth.probing and self.now < rpc.soft
            if not rpc.out or copy and self.now >= copy_at:
                chosen = yield from self._look(rpc)
                if chosen is not None:
                    yield face.Send(rpc.id, chosen, 0)
                    server = self.servers[chosen]
                    # For a second copy. Guards against looks summed over the fleet: where they are dear, at
                    # three fifths of the soft deadline, which few reach that would have been answered.
                    copy_at = self.now + rpc.row.late * (3 if self.dear else 2) // 2
                elif not rpc.out:
                    break
            yield Wait(min(copy_at, rpc.dl) if copy_at > self.now else rpc.dl)
            if not slow and self.now >= copy_at and len(server.open) == 1:
                # Guards against queues that no gateway fills alone; held where two lone ones of five are late
                slow, self.let_in = True, max(0.02, self.let_in * 0.8)
        yield self._give_up(rpc)

    def _give_up(self, rpc: Rpc) -> face.Command:
        """A pushback says that a further try is harmless; an abort promises nothing."""
        repeat, group = rpc.row.repeat, rpc.row.group
        if not rpc.maybe or repeat == Repeat.IDEMPOTENT or repeat == Repeat.DEDUPLICATED and group == "all":
            return face.PushBack(rpc.id, SECOND if self.birth.retry_after else 0)
        return face.Abort(rpc.id)

    def _resume(self, rpc: Rpc, value: object, step: int | None = None) -> None:
        """Goes on with an RPC; an alarm names the step it was set in."""
        while not rpc.over and step in (None, rpc.step):
            step = None
            rpc.step += 1
            command = rpc.run.send(value)
            if isinstance(command, Wait):
                self._at(command.until, self._resume, rpc, None, rpc.step)
                return
            self.commands.append(command)
            if not isinstance(command, face.Send):
                self._close(rpc)
                return
            server = self.servers[command.server]
            rpc.out[rpc.sent], rpc.maybe[rpc.sent] = command.server, (command.server, self.now)
            server.open[rpc.id, rpc.sent] = server.sent_at = self.now
            rpc.sent += 1

    def _ended(self, event: face.CallOutEnded) -> None:
        server = self.servers[event.server]
        rpc = self.rpcs.get(event.rpc)
        sent_at = server.open.pop((event.rpc, event.call_out), None)
        if rpc is None or sent_at is None:
            return
        rpc.out.pop(event.call_out, None)
        if event.status != Status.MOOT:
            self._judge(server, rpc.ask.method, event.status, max(0, self.now - sent_at - int(self.lag)))
        if event.status in NEVER_RAN:
            rpc.maybe.pop(event.call_out, None)
        if event.status == Status.OK and event.true_units and self.birth.settles:
            self._give_back(rpc, rpc.ask.units - event.true_units)
        if rpc.over or event.final:
            self._close(rpc)
        else:
            self._resume(rpc, event)

    def _close(self, rpc: Rpc) -> None:
        """It has its final answer: call-outs still out are cancelled, what it holds goes back at the end."""
        if not rpc.over:
            rpc.over = True
            rpc.run.close()
            if not rpc.sent:
                self._give_back(rpc, rpc.ask.units)
            if self.birth.cancel:
                self.commands.extend(face.Cancel(rpc.id, call_out) for call_out in rpc.out)
        if not rpc.out:
            self._release(rpc)
            del self.rpcs[rpc.id]

    def _list(self, event: face.ServerList) -> None:
        if self.birth.asks_list and (event.failed or not self.servers):     # on a failure, and at the start
            # Guards against a discovery that is overbooked and stays so, since each call costs it though it
            # fails: first within two seconds of the start, for many may start at once; then after a third of
            # the time in which one has to ask, twice as long each time, up to all of it.
            pause, first = self.list_pause * event.failed, 2 * SECOND if event.entries else 1
            self._at(self.now + pause // 2 + self._random(pause or first), self._subscribe)
            self.list_pause = min(2 * self.list_pause, self.birth.list_patience)
        if event.failed:
            return
        self.list_pause = self.birth.list_patience // 3
        for entry in event.entries:
            server = self.servers.get(entry.server)
            if server is None or entry.up_since != server.since:    # another process: nothing learnt holds
                server = Server(entry.up_since, open=server.open if server else {})
                self.servers[entry.server] = server
            server.zone, server.cell, server.state = entry.zone, entry.cell, entry.state
            server.mark = (entry.true_id * 0x9E3779B97F4A7C15 & MASK) >> 32     # a hash: ids may be alike
            self.marks[server.mark] = entry.server
        for index in event.complete and self.servers.keys() - {entry.server for entry in event.entries} or ():
            self.servers[index].state = State.GONE
        for index in [i for i, gone in self.servers.items() if gone.state == State.GONE and not gone.open
                      and i not in self.looks and self.now > gone.sent_at + self.longest]:
            self.marks.pop(self.servers[index].mark, None)
            del self.servers[index]     # no RPC can speak of it any more
            self.commands.append(face.Forget(index))
        ready = [index for index, server in sorted(self.servers.items()) if server.state == State.READY]
        self.ready, size, self.among = ready, len(ready), self.birth.gateways
        if self.birth.connection_price and size > 16:
            # Guards against a connection, and looks, from each gateway to each server: each keeps to sixteen
            # from its own place, and hears them often. Chance comes on top of how many share one.
            ready.sort(key=lambda index: self.servers[index].mark)
            self.place, each = size * self.birth.index // self.among, 16 * self.among / size
            ready, self.among = self._row(self.place), min(self.among, int(each + each ** 0.5) + 1)
        mine = set(ready)
        for index, server in self.servers.items():
            if index in mine and not server.mine and (pause := self._pause(server)):
                server.sent_at = self.now - self._random(pause)     # or all would send to it at once
            server.mine = index in mine

    def _row(self, first: int) -> list[int]:
        return self.ready[first:first + 16] + self.ready[:max(0, first + 16 - len(self.ready))]

    def _subscribe(self) -> None:
        self.commands.append(face.Subscribe())

    def _judge(self, server: Server, method: int, status: Status, elapsed: int) -> None:
        row, seldom = self.methods[method], self.now - server.heard > SECOND
        late = elapsed > row.late
        self.trouble += ((late or status not in (Status.OK, Status.CANCELLED)) - self.trouble) * 0.05
        if status == Status.FULL or late and status in (Status.OK, Status.CANCELLED, Status.TIMED_OUT):
            # Guards against a queue that no answer leaves in time, filled by what we keep out there.
            server.limit = max(1.0, min(server.limit, len(server.open) + 1) * 0.8)
        elif status == Status.OK:
            # All gateways' limits add up: over the square of their number, growth settles at the same sum.
            server.limit += min(4 / self.birth.gateways ** 2 / server.limit, server.limit / 2)
            self.let_in = min(1.15, self.let_in * 1.15)
        server.heard = server.heard if status == Status.CANCELLED else self.now
        if status == Status.OK:
            row.mean += (elapsed - row.mean) * 0.05     # over some twenty answers
            self.mean_latency += (elapsed - self.mean_latency) * 0.05
            self.answers_seen += 1
            settled = self.answers_seen > 20
            self.quiet = min(self.mean_latency, self.quiet * 1.002) if settled else self.mean_latency
            server.pace += (elapsed / max(1.0, row.mean) - server.pace) * 0.1
            server.bad *= 0.8
            if server.trickle:      # a server set aside gets a trickle that doubles while it goes well
                server.trickle = server.trickle * 2 if server.trickle < 16 else 0
        elif status == Status.FULL:     # not ill, but it takes no more for about the time of one answer
            server.not_before = self.now + int(row.mean)
        elif status != Status.CANCELLED or late:
            # Guards against methods that fail there only, and failures too seldom to meet two, for some time.
            if seldom:
                server.mute[method] = self.now + 8 * SECOND
            # Two failures in a row, or a third of recent call-outs, set a server aside for a second.
            server.bad += (1 - server.bad) * 0.2 * (status != Status.CANCELLED)
            if self.now >= server.aside_until and (server.bad > 0.3 or server.trickle):
                server.aside_until, server.trickle, server.bad = self.now + SECOND, 1, 0.0

    def _rank(self, server: Server) -> float:
        # Recent failures weigh up to five times: failing fast is not quick. An eighth is chance. Guards
        # against connections that are opened for one RPC each: one not heard for as long as they last would
        # need a new one. But a cold one whose pause is over is due, or what it can do is lost with each turn
        # that is missed.
        new = 4 * self.birth.connection_price * (self.now - server.heard >= self.birth.idle_time)
        place = 0.5 if self._pause(server) else 1 + new
        place *= 1 + self._random(64) / 512
        return server.pace * (len(server.open) + 2) * (1 + 4 * server.bad) * place

    def _pause(self, server: Server) -> int:
        """The time between own call-outs to a cold server: all gateways together must not push it over. By
        the latency of quiet times: a queue at the warm ones would keep the cold ones from helping."""
        if not server.since or self.now >= server.since + self.birth.cold_time:
            return 0
        ages = max(0, self.now - server.since) + max(0, server.sent_at - server.since)
        ramp = self.birth.cold_share + (1 - self.birth.cold_share) * ages / 2 / self.birth.cold_time
        return int(self.quiet * self.among / (self.birth.fall_multiple * ramp))

    def _room(self, server: Server) -> bool:
        pause = self._pause(server)     # a cold one holds one of ours at most, if we share it
        free = len(server.open) < (int(server.mine) if pause else server.limit)
        return free and self.now >= max(server.not_before, server.sent_at + pause)

    def _fit(self, server: Server, method: int) -> bool:
        """Not set aside, not silent for four usual latencies with something out (hangs, cuts, pauses)."""
        mute_until = max(server.aside_until, server.mute.get(method, 0))
        if self.now < mute_until or server.trickle and len(server.open) >= server.trickle:
            return False
        first = next(iter(server.open.values()), self.now)
        return self.now - max(first, server.heard) < 4 * self.mean_latency

    def _may(self, rpc: Rpc, index: int) -> bool:
        """Whether the rules let this RPC have one more call-out, to this server."""
        row, server = rpc.row, self.servers.get(index) or Server()
        if server.state != State.READY or index in rpc.out.values() or rpc.sent >= self.birth.max_call_outs:
            return False
        if not rpc.maybe or row.repeat == Repeat.IDEMPOTENT:
            return True
        first, sent_at = next(iter(rpc.maybe.values()))
        if row.repeat == Repeat.NON_IDEMPOTENT or self.now >= sent_at + row.remembered:
            return False
        group = operator.attrgetter(row.group) if row.group != "all" else bool      # zone or cell
        return group(server) == group(self.servers[first])

    def _choose(self, rpc: Rpc) -> list[int]:
        """The two best servers for it, of sixteen in a row: the cost doesn't grow with the fleet."""
        if len(self.ready) <= 16 or rpc.maybe:
            return self._best(rpc, self.ready)
        own = self._best(rpc, self._row(self.place)) if self.birth.connection_price else []
        return own or self._best(rpc, self._row(self._random(len(self.ready))))

    def _best(self, rpc: Rpc, pool: list[int]) -> list[int]:
        allowed = [index for index in pool if self._may(rpc, index)]
        well = [index for index in allowed if self._fit(self.servers[index], rpc.ask.method)]
        # Two thirds of a fleet ill at once have a common cause: then nobody is blamed, and all are used.
        well = well if 3 * len(well) >= len(allowed) else allowed
        fit = [index for index in well if self._room(self.servers[index])]
        return sorted(fit, key=lambda index: self._rank(self.servers[index]))[:2]

    def _look(self, rpc: Rpc) -> Generator[Wait, object, int | None]:
        """Probes the best two where there is trouble and one was not heard for a second, two more while all
        are slow; takes the least pressed. Guards against what a gateway sees too seldom."""
        row, seen, asked = rpc.row, {}, []
        for _ in range(1 if self.dear else 3):
            picks = self._choose(rpc)
            calm = self.trouble < self.pays or all(self.now < self.servers[i].heard + SECOND for i in picks)
            calm = calm or self.lag > self.shortest / 32    # a probe would tell of this gateway's own stalls
            if not self.birth.probing or calm and not asked and not rpc.out:
                return next(iter(picks), None)
            for index in picks:
                if self.dear and self.now < self.servers[index].seen_at + SECOND // 2:    # by whichever
                    seen[index] = self.servers[index].seen
                if index not in asked:
                    asked.append(index)
                    if index not in self.looks and index not in seen:   # one probe tells all who wait for it
                        self.commands.append(face.Probe(index))
                    if index not in seen:
                        self.looks.setdefault(index, []).append(rpc)
            until = min(rpc.dl, self.now + max(1, self.shortest // 15))
            while self.now < until and len(seen) < len(asked):
                probe = yield Wait(until)
                if isinstance(probe, face.ProbeEnded) and probe.server in asked and probe.status == Status.OK:
                    seen[probe.server] = self.servers[probe.server].seen
            for index in sorted(seen, key=seen.get):
                # Latency goes with pressure; four stands for the probe's own work, or for the cores.
                slow = row.mean * (seen[index] + 4) / (row.pressure + 4)
                # Half of that for what comes in between; where looks are dear there is no other pair to ask.
                fits = slow < (0.8 if self.dear else 0.4) * (min(rpc.soft, rpc.dl) - self.now)
                fits = fits and (not rpc.out or seen[index] <= row.pressure)    # a copy: where less is held
                if fits and self._may(rpc, index) and self._room(self.servers[index]):
                    row.pressure += (seen[index] - row.pressure) * 0.05
                    return index
        return None
