"""Servers: the list, what answers and probes teach of each, which are fit, and the best two for an RPC."""

import bisect
from dataclasses import dataclass, field

from oakfork import interface, peer_codec as wire
from oakfork.decision.context import MASK, DecisionContext, MethodRow, Rpc
from oakfork.interface import SECOND, RepeatSafety, ServerState, Status


@dataclass(slots=True)
class Server:
    """What this gateway has seen of a server, anew for each of its starts. Dropped by told when gone."""

    entry: interface.ServerEntry
    open: dict[tuple[int, int], int] = field(default_factory=dict)  # call-out -> sent at; emptied as they end
    heard: int = 0
    pace: float = 1.0  # latency against the method's mean
    mute: dict[int, int] = field(default_factory=dict)  # method that failed there -> until
    limit: float = 1e9  # own call-outs at once, learnt from late answers and refusals
    bad: float = 0.0  # recent share of call-outs that failed
    trickle: int = 0  # own call-outs at once while it comes back; 0: it is back
    aside_until: int = 0
    not_before: int = 0  # nothing is sent earlier: it was full
    since: int = 0  # when this gateway was told of this process
    sent_at: int = 0  # the last call-out to it; for a cold one, at first a point drawn by chance
    mark: int = 0  # names it to other gateways: a hash, for ids may be alike
    mine: bool = False  # one of those that this gateway keeps to
    seen: int = 0  # how long a probe took there beyond the quickest of its zone
    seen_at: int = -SECOND  # when that was
    order: int = 0  # its place in Servers.all: kept when it starts anew


class Servers:
    def __init__(self, settings: interface.GatewaySettings, context: DecisionContext) -> None:
        self.settings, self.context = settings, context
        # An eighth of the soft deadline is a first guess only: replaced within some twenty answers.
        self.methods = [MethodRow(m, m.soft_deadline * 2 // 5, m.soft_deadline / 8) for m in settings.methods]
        self.longest = max((method.deadline for method in settings.methods), default=SECOND)
        self.all: dict[int, Server] = {}
        self.mean_latency = min((row.mean for row in self.methods), default=SECOND / 10)
        # The usual latency in quiet times: falls with the mean at once, rises by 0.2% an answer after twenty.
        self.quiet, self.answers_seen = self.mean_latency, 0
        self.trouble = 0.1  # recent share of call-outs late or failed
        # Before the list is asked for again; doubles. It takes three of the six seconds in which news is due.
        self.longest_pause = min(settings.list_timeout, 2 * SECOND)
        self.list_pause = self.longest_pause // 3
        # A look asks two servers. It is to save more RPCs than it costs: a twentieth or both probes at least.
        self.pays, self.dear = max(0.05, 2 * settings.probe_price), 2 * settings.probe_price > 0.05
        self.ready: list[int] = []  # sorted by key; up to sixteen by index
        self.key = lambda index: (self.all[index].mark if settings.connection_price else 0, index)
        self.watched: set[int] = set()  # its own, gone, recalled: any change may concern them
        self.place, self.among = 0, settings.gateways  # where its own servers begin; how many share a server
        self.quickest: dict[int, int] = {}  # zone -> the quickest probe
        self.looks: dict[int, list[Rpc]] = {}  # server probed -> who waits; emptied by a probe's end
        self.marks: dict[int, int] = {}  # what names a server to others -> server; emptied by told
        self.recent: list[int] = []  # the two servers looked at last

    def told(self, event: interface.ServerList) -> None:
        context = self.context
        if self.settings.subscribes_to_list and (
            event.failed or not self.all
        ):  # on a failure, and at the start
            # Guards against an overbooked discovery: two seconds at the start, then pauses that double.
            pause, first = self.list_pause * event.failed, 2 * SECOND if event.entries else 1
            at = context.now + pause // 2 + context.random(pause or first)
            context.at(at, lambda: context.commands.append(interface.SubscribeToList()))
            self.list_pause = min(2 * self.list_pause, self.longest_pause)
        if event.failed:
            return
        self.list_pause = self.longest_pause // 3
        named = {entry.server for entry in event.entries}
        few = not event.complete and 32 * len(named) < len(self.ready)  # a change costs what it names
        for index in [
            i for i in named if few and i in self.all and self.all[i].entry.state == ServerState.READY
        ]:
            del self.ready[bisect.bisect_left(self.ready, self.key(index), key=self.key)]
        for entry in event.entries:
            server = self.all.get(entry.server) or Server(entry, since=context.now, order=next(context.order))
            if entry.up_since != server.entry.up_since:  # another process: all is new
                server = Server(entry, server.open, since=context.now, order=server.order)
            server.entry, server.mark = entry, (entry.global_id * 0x9E3779B97F4A7C15 & MASK) >> 32
            self.all[entry.server], self.marks[server.mark] = server, entry.server
        for index in event.complete and self.all.keys() - named or ():
            self.all[index].entry = self.all[index].entry._replace(state=ServerState.GONE)
        new = [
            i
            for i in (named if few else {*named, *self.ready})
            if self.all[i].entry.state == ServerState.READY
        ]
        self.ready = self.ready if few else sorted(new, key=self.key if len(new) > 16 else None)
        for index in new * few:
            bisect.insort(self.ready, index, key=self.key)
        size, total, price = len(self.ready), self.settings.gateways, self.settings.connection_price
        # Guards against connections and looks from each to each: it keeps to sixteen, shared by chance.
        self.place, each = size * self.settings.index // total, 16 * total / max(16, size)
        self.among = min(total, int(each + each**0.5) + 1) if price else total
        row = set(self._row(self.place) if price else ())
        near = self.watched.union(named, row, self.all if event.complete else ()) & self.all.keys()
        servers = sorted((self.all[index] for index in near), key=lambda server: server.order)
        context.commands += [
            interface.CancelIfUnsent(*key)
            for server in servers
            for key, at in server.open.items()
            if server.entry.state != ServerState.READY or at < server.since
        ]
        for index in [
            s.entry.server
            for s in servers
            if s.entry.state == ServerState.GONE
            and not s.open
            and context.now > max(s.sent_at, s.since) + self.longest
            and s.entry.server not in self.looks
        ]:
            self.marks.pop(self.all.pop(index).mark, None)  # no RPC can speak of it any more
            context.commands.append(interface.ForgetServer(index))
        for server in servers:
            mine = server.entry.state == ServerState.READY and (server.entry.server in row or not price)
            if mine and not server.mine and (pause := self.pause(server)):
                server.sent_at = context.now - context.random(pause)  # or all would send to it at once
            server.mine = mine
        self.watched = row.union(
            s.entry.server
            for s in servers
            if s.entry.state == ServerState.GONE
            or s.open
            and (s.entry.state != ServerState.READY or min(s.open.values()) < s.since)
        )

    def _row(self, first: int) -> list[int]:
        return self.ready[first : first + 16] + self.ready[: max(0, first + 16 - len(self.ready))]

    def judge(self, server: Server, method: int, status: Status, elapsed: int) -> bool:
        """Learns from how a call-out ended; whether it was ok and in time."""
        now, row = self.context.now, self.methods[method]
        seldom, late = now - server.heard > SECOND, elapsed > row.late
        self.trouble += ((late or status not in (Status.OK, Status.CANCELLED)) - self.trouble) * 0.05
        if status == Status.FULL or late and status in (Status.OK, Status.CANCELLED, Status.TIMED_OUT):
            # Guards against a queue that no answer leaves in time, filled by what we keep out there.
            server.limit = max(1.0, min(server.limit, len(server.open) + 1) * 0.8)
        server.heard = server.heard if status == Status.CANCELLED else now
        if status == Status.OK:
            # All gateways' limits add up: over the square of their number, growth settles at the same sum.
            server.limit += 0 if late else min(4 / self.settings.gateways**2 / server.limit, server.limit / 2)
            row.mean += (elapsed - row.mean) * 0.05  # over some twenty answers
            self.mean_latency += (elapsed - self.mean_latency) * 0.05
            self.answers_seen += 1
            self.quiet = min(self.mean_latency, self.quiet * 1.002 if self.answers_seen > 20 else 1e9)
            server.pace += (elapsed / max(1.0, row.mean) - server.pace) * 0.1
            server.bad, server.trickle = server.bad * 0.8, server.trickle * 2 % 32  # doubles: all is well
        elif status == Status.FULL:  # not ill, but no more for about an answer, and a mean late if chosen
            server.not_before, server.pace = now + 1 + int(row.mean), server.pace + 0.1
        elif status != Status.CANCELLED or late:
            # Guards against methods that fail there only, and failures too seldom to meet two, for some time.
            server.mute[method] = now + 8 * SECOND if seldom else server.mute.get(method, 0)
            # Two failures in a row, or a third of recent call-outs, set a server aside for a second.
            server.bad += (1 - server.bad) * 0.2 * (status != Status.CANCELLED)
            if now >= server.aside_until and (server.bad > 0.3 or server.trickle):
                server.aside_until, server.trickle, server.bad = now + SECOND, 1, 0.0
        return status == Status.OK and not late

    def seen(self, probe: interface.ProbeEnded) -> None:
        """Pressure: how long a probe took beyond the quickest of its zone; reports are refreshed seldom."""
        server = self.all.get(probe.server)
        if server and probe.status == Status.OK and self.context.now - probe.elapsed >= server.since:
            zone, taken = server.entry.zone, probe.elapsed
            self.quickest[zone] = min(self.quickest.get(zone, SECOND), taken)
            server.seen, server.seen_at = taken - self.quickest[zone], self.context.now
            self.recent = list(dict.fromkeys((*self.recent, probe.server)))[-2:]

    def heard_of(self, reading: wire.Reading) -> None:
        server, at = self.all.get(self.marks.get(reading.mark, -1)), self.context.now - reading.age
        if server and at > server.seen_at:
            server.seen, server.seen_at = reading.seen, at

    def readings(self) -> list[bytes]:
        """What was seen last, to ride along. Guards against looks that each of tens of gateways pays for."""
        recent = [self.all[i] for i in self.recent if i in self.all] if self.dear else ()
        return [
            wire.pack_item(wire.Reading(server.mark, server.seen, self.context.now - server.seen_at))
            for server in recent
            if self.context.now < server.seen_at + SECOND // 2
        ]

    def rank(self, server: Server) -> float:
        # Failing fast isn't quick. An eighth is chance. New connections cost. Cold ones are due after pauses.
        new = (
            4
            * self.settings.connection_price
            * (self.context.now - server.heard >= self.settings.idle_timeout)
        )
        place = (0.5 if self.pause(server) else 1 + new) * (1 + self.context.random(64) / 512)
        return server.pace * (len(server.open) + 2) * (1 + 4 * server.bad) * place

    def pause(self, server: Server) -> int:
        """Between own call-outs to a cold server, by the latency of quiet times: warm ones have queues."""
        now, since = self.context.now, server.entry.up_since
        if not since or now >= since + self.settings.cold_time:
            return 0
        ages = max(0, now - since) + max(0, server.sent_at - since)
        ramp = self.settings.cold_share + (1 - self.settings.cold_share) * ages / 2 / self.settings.cold_time
        return int(self.quiet * self.among / (self.settings.fall_multiple * ramp))

    def room(self, server: Server) -> bool:
        pause = self.pause(server)  # a cold one holds one of ours at most, if we share it
        free = len(server.open) < (int(server.mine) if pause else server.limit)
        return free and self.context.now >= max(server.not_before, server.sent_at + pause)

    def fit(self, server: Server, method: int) -> bool:
        """Not set aside, not silent for four usual latencies with something out (hangs, cuts, pauses)."""
        now, until = self.context.now, max(server.aside_until, server.mute.get(method, 0))
        free = now >= until and not 0 < server.trickle <= len(server.open)
        return free and now - max(next(iter(server.open.values()), now), server.heard) < 4 * self.mean_latency

    def may(self, rpc: Rpc, index: int) -> bool:
        """Whether the rules let this RPC have one more call-out, to this server."""
        method, server = rpc.row.method, self.all.get(index)
        free = rpc.sent < self.settings.max_call_outs and index not in rpc.out.values()
        free = free and server is not None and server.entry.state == ServerState.READY
        if not free or not rpc.maybe or method.repeat == RepeatSafety.IDEMPOTENT:
            return free
        first, sent_at = next(iter(rpc.maybe.values()))  # to be of its zone or cell; "all" is no field
        known = (
            method.repeat == RepeatSafety.DEDUPLICATED
            and self.context.now < sent_at + method.deduplication_time
        )
        return known and len({getattr(self.all[i].entry, method.group, None) for i in (index, first)}) == 1

    def choose(self, rpc: Rpc) -> list[int]:
        """The two best servers for it, of sixteen in a row: the cost doesn't grow with the fleet."""
        if len(self.ready) <= 16 or rpc.maybe:
            return self._best(rpc, self.ready)
        own = self._best(rpc, self._row(self.place)) if self.settings.connection_price else []
        return own or self._best(rpc, self._row(self.context.random(len(self.ready))))

    def _best(self, rpc: Rpc, pool: list[int]) -> list[int]:
        allowed = [index for index in pool if self.may(rpc, index)]
        well = [index for index in allowed if self.fit(self.all[index], rpc.ask.method)]
        # Two thirds of a fleet ill at once have a common cause: then nobody is blamed, and all are used.
        well = well if 3 * len(well) >= len(allowed) else allowed
        return sorted((i for i in well if self.room(self.all[i])), key=lambda i: self.rank(self.all[i]))[:2]
