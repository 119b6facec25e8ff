"""Servers: the list, what answers and probes teach of each, which are fit, and the best two for an RPC."""
import operator
from dataclasses import dataclass, field

from oakfork import interface as face, peerwire as wire
from oakfork.brain.desk import MASK, Desk, MethodRow, Rpc
from oakfork.interface import SECOND, Repeat, State, Status


@dataclass(slots=True)
class Server:
    """What this gateway has seen of a server, anew for each of its starts. Dropped by told when gone."""
    entry: face.ServerEntry
    open: dict[tuple[int, int], int] = field(default_factory=dict)  # call-out -> sent at; emptied as they end
    heard: int = 0
    pace: float = 1.0       # latency against the method's mean
    mute: dict[int, int] = field(default_factory=dict)  # method that failed there -> until
    limit: float = 1e9      # own call-outs at once, learnt from late answers and refusals
    bad: float = 0.0        # recent share of call-outs that failed
    trickle: int = 0        # own call-outs at once while it comes back; 0: it is back
    aside_until: int = 0
    not_before: int = 0     # nothing is sent earlier: it was full
    since: int = 0          # when this gateway was told of this process
    sent_at: int = 0        # the last call-out to it; for a cold one, at first a point drawn by chance
    mark: int = 0           # names it to other gateways: a hash, for ids may be alike
    mine: bool = False      # one of those that this gateway keeps to
    seen: int = 0           # how long a probe took there beyond the quickest of its zone
    seen_at: int = -SECOND  # when that was


class Servers:
    def __init__(self, birth: face.Birth, desk: Desk) -> None:
        self.birth, self.desk = birth, desk
        # An eighth of the soft deadline is a first guess only: replaced within some twenty answers.
        self.methods = [MethodRow(m, m.soft_deadline * 2 // 5, m.soft_deadline / 8) for m in birth.methods]
        self.longest = max((method.deadline for method in birth.methods), default=SECOND)
        self.all: dict[int, Server] = {}
        self.mean_latency = min((row.mean for row in self.methods), default=SECOND / 10)
        # The usual latency in quiet times: falls with the mean at once, rises by 0.2% an answer after twenty.
        self.quiet, self.answers_seen = self.mean_latency, 0
        self.trouble = 0.1                      # recent share of call-outs late or failed
        # Before the list is asked for again; doubles. It takes three of the six seconds in which news is due.
        self.longest_pause = min(birth.list_patience, 2 * SECOND)
        self.list_pause = self.longest_pause // 3
        # A look asks two servers. It is to save more RPCs than it costs: a twentieth or both probes at least.
        self.pays = max(0.05, 2 * birth.probe_price)
        self.dear = self.pays > 0.05
        self.ready: list[int] = []
        self.place, self.among = 0, birth.gateways      # where its own servers begin; how many share a server
        self.quickest: dict[int, int] = {}      # zone -> the quickest probe
        self.looks: dict[int, list[Rpc]] = {}   # server probed -> who waits; emptied by a probe's end
        self.marks: dict[int, int] = {}         # what names a server to others -> server; emptied by told
        self.recent: list[int] = []             # the two servers looked at last

    def told(self, event: face.ServerList) -> None:
        desk = self.desk
        if self.birth.asks_list and (event.failed or not self.all):     # on a failure, and at the start
            # Guards against an overbooked discovery: two seconds at the start, then pauses that double.
            pause, first = self.list_pause * event.failed, 2 * SECOND if event.entries else 1
            at = desk.now + pause // 2 + desk.random(pause or first)
            desk.at(at, lambda: desk.commands.append(face.Subscribe()))
            self.list_pause = min(2 * self.list_pause, self.longest_pause)
        if event.failed:
            return
        self.list_pause = self.longest_pause // 3
        for entry in event.entries:
            server = self.all.get(entry.server)
            if server is None or entry.up_since != server.entry.up_since:   # another process: all is new
                server = self.all[entry.server] = Server(entry, server.open if server else {}, since=desk.now)
            server.entry, server.mark = entry, (entry.true_id * 0x9E3779B97F4A7C15 & MASK) >> 32
            self.marks[server.mark] = entry.server
        for index in event.complete and self.all.keys() - {entry.server for entry in event.entries} or ():
            self.all[index].entry = self.all[index].entry._replace(state=State.GONE)
        desk.commands += [face.Recall(*key) for server in self.all.values() for key, at in server.open.items()
                          if server.entry.state != State.READY or at < server.since]
        for index in [i for i, gone in self.all.items() if gone.entry.state == State.GONE and not gone.open
                      and i not in self.looks and desk.now > gone.sent_at + self.longest]:
            self.marks.pop(self.all.pop(index).mark, None)      # no RPC can speak of it any more
            desk.commands.append(face.Forget(index))
        ready = [index for index, server in sorted(self.all.items()) if server.entry.state == State.READY]
        self.ready, size, self.among = ready, len(ready), self.birth.gateways
        if self.birth.connection_price and size > 16:
            # Guards against connections and looks from each to each: it keeps to sixteen, shared by chance.
            ready.sort(key=lambda index: self.all[index].mark)
            self.place, each = size * self.birth.index // self.among, 16 * self.among / size
            ready, self.among = self._row(self.place), min(self.among, int(each + each ** 0.5) + 1)
        mine = set(ready)
        for index, server in self.all.items():
            if index in mine and not server.mine and (pause := self.pause(server)):
                server.sent_at = desk.now - desk.random(pause)      # or all would send to it at once
            server.mine = index in mine

    def _row(self, first: int) -> list[int]:
        return self.ready[first:first + 16] + self.ready[:max(0, first + 16 - len(self.ready))]

    def judge(self, server: Server, method: int, status: Status, elapsed: int) -> bool:
        """Learns from how a call-out ended; whether it was ok and in time."""
        now, row = self.desk.now, self.methods[method]
        seldom, late = now - server.heard > SECOND, elapsed > row.late
        self.trouble += ((late or status not in (Status.OK, Status.CANCELLED)) - self.trouble) * 0.05
        if status == Status.FULL or late and status in (Status.OK, Status.CANCELLED, Status.TIMED_OUT):
            # Guards against a queue that no answer leaves in time, filled by what we keep out there.
            server.limit = max(1.0, min(server.limit, len(server.open) + 1) * 0.8)
        elif status == Status.OK:
            # All gateways' limits add up: over the square of their number, growth settles at the same sum.
            server.limit += min(4 / self.birth.gateways ** 2 / server.limit, server.limit / 2)
        server.heard = server.heard if status == Status.CANCELLED else now
        if status == Status.OK:
            row.mean += (elapsed - row.mean) * 0.05     # over some twenty answers
            self.mean_latency += (elapsed - self.mean_latency) * 0.05
            self.answers_seen += 1
            self.quiet = min(self.mean_latency, self.quiet * 1.002 if self.answers_seen > 20 else 1e9)
            server.pace += (elapsed / max(1.0, row.mean) - server.pace) * 0.1
            server.bad, server.trickle = server.bad * 0.8, server.trickle * 2 % 32  # doubles: all is well
        elif status == Status.FULL:     # not ill, but it takes no more for about the time of one answer
            server.not_before = now + int(row.mean)
        elif status != Status.CANCELLED or late:
            # Guards against methods that fail there only, and failures too seldom to meet two, for some time.
            server.mute[method] = now + 8 * SECOND if seldom else server.mute.get(method, 0)
            # Two failures in a row, or a third of recent call-outs, set a server aside for a second.
            server.bad += (1 - server.bad) * 0.2 * (status != Status.CANCELLED)
            if now >= server.aside_until and (server.bad > 0.3 or server.trickle):
                server.aside_until, server.trickle, server.bad = now + SECOND, 1, 0.0
        return status == Status.OK and not late

    def seen(self, probe: face.ProbeEnded) -> None:
        """Pressure: how long a probe took beyond the quickest of its zone; reports are refreshed seldom."""
        server = self.all.get(probe.server)
        if server and probe.status == Status.OK and self.desk.now - probe.elapsed >= server.since:
            zone, taken = server.entry.zone, probe.elapsed
            self.quickest[zone] = min(self.quickest.get(zone, SECOND), taken)
            server.seen, server.seen_at = taken - self.quickest[zone], self.desk.now
            self.recent = list(dict.fromkeys((*self.recent, probe.server)))[-2:]

    def heard_of(self, reading: wire.Reading) -> None:
        server, at = self.all.get(self.marks.get(reading.mark, -1)), self.desk.now - reading.age
        if server and at > server.seen_at:
            server.seen, server.seen_at = reading.seen, at

    def readings(self) -> list[bytes]:
        """What was seen last, to ride along. Guards against looks that each of tens of gateways pays for."""
        recent = [self.all[i] for i in self.recent if i in self.all] if self.dear else ()
        return [wire.pack_item(wire.Reading(server.mark, server.seen, self.desk.now - server.seen_at))
                for server in recent if self.desk.now < server.seen_at + SECOND // 2]

    def rank(self, server: Server) -> float:
        # Recent failures weigh up to five times: failing fast is not quick. An eighth is chance. Where idle
        # connections have ended a new one is paid for; but a cold one whose pause is over is due.
        new = 4 * self.birth.connection_price * (self.desk.now - server.heard >= self.birth.idle_time)
        place = (0.5 if self.pause(server) else 1 + new) * (1 + self.desk.random(64) / 512)
        return server.pace * (len(server.open) + 2) * (1 + 4 * server.bad) * place

    def pause(self, server: Server) -> int:
        """Between own call-outs to a cold server, by the latency of quiet times: warm ones have queues."""
        now, since = self.desk.now, server.entry.up_since
        if not since or now >= since + self.birth.cold_time:
            return 0
        ages = max(0, now - since) + max(0, server.sent_at - since)
        ramp = self.birth.cold_share + (1 - self.birth.cold_share) * ages / 2 / self.birth.cold_time
        return int(self.quiet * self.among / (self.birth.fall_multiple * ramp))

    def room(self, server: Server) -> bool:
        pause = self.pause(server)      # a cold one holds one of ours at most, if we share it
        free = len(server.open) < (int(server.mine) if pause else server.limit)
        return free and self.desk.now >= max(server.not_before, server.sent_at + pause)

    def fit(self, server: Server, method: int) -> bool:
        """Not set aside, not silent for four usual latencies with something out (hangs, cuts, pauses)."""
        now, until = self.desk.now, max(server.aside_until, server.mute.get(method, 0))
        if now < until or server.trickle and len(server.open) >= server.trickle:
            return False
        return now - max(next(iter(server.open.values()), now), server.heard) < 4 * self.mean_latency

    def may(self, rpc: Rpc, index: int) -> bool:
        """Whether the rules let this RPC have one more call-out, to this server."""
        method, server = rpc.row.method, self.all.get(index)
        free = rpc.sent < self.birth.max_call_outs and index not in rpc.out.values()
        if not (free and server and server.entry.state == State.READY):
            return False
        if not rpc.maybe or method.repeat == Repeat.IDEMPOTENT:
            return True
        first, sent_at = next(iter(rpc.maybe.values()))
        known = method.repeat == Repeat.DEDUPLICATED and self.desk.now < sent_at + method.remembered
        group = operator.attrgetter(method.group) if method.group != "all" else bool    # zone or cell
        return known and group(server.entry) == group(self.all[first].entry)

    def choose(self, rpc: Rpc) -> list[int]:
        """The two best servers for it, of sixteen in a row: the cost doesn't grow with the fleet."""
        if len(self.ready) <= 16 or rpc.maybe:
            return self._best(rpc, self.ready)
        own = self._best(rpc, self._row(self.place)) if self.birth.connection_price else []
        return own or self._best(rpc, self._row(self.desk.random(len(self.ready))))

    def _best(self, rpc: Rpc, pool: list[int]) -> list[int]:
        allowed = [index for index in pool if self.may(rpc, index)]
        well = [index for index in allowed if self.fit(self.all[index], rpc.ask.method)]
        # Two thirds of a fleet ill at once have a common cause: then nobody is blamed, and all are used.
        well = well if 3 * len(well) >= len(allowed) else allowed
        return sorted((i for i in well if self.room(self.all[i])), key=lambda i: self.rank(self.all[i]))[:2]
