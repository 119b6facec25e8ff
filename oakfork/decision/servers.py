"""Servers: their list, what call-outs and probes show of each, and the choice of one for an RPC.

Where new connections cost, a gateway keeps to a subset of sixteen servers, so that not every gateway holds a
connection to every server and probes it.
"""

import bisect

from oakfork import interface, peer_codec as wire
from oakfork.decision.context import UINT64_MASK, DecisionContext, MethodState, Rpc
from oakfork.decision.server import UNLIMITED, Server
from oakfork.interface import SECOND, RepeatSafety, ServerState, Status

SUBSET_SIZE = 16  # servers
# With its random part a pause takes at most three of the six seconds in which a change is to be known.
MAX_LIST_PAUSE = 2 * SECOND
READING_LIFETIME = SECOND // 2
METHOD_BLOCK_TIME = 8 * SECOND
EJECTION_TIME = SECOND
EJECTION_FAILURE_RATE = 0.3  # two failures in a row, or a third of recent call-outs


class Servers:
    """All servers that a gateway knows, and the choice among them."""

    def __init__(self, settings: interface.GatewaySettings, context: DecisionContext) -> None:
        self.settings = settings
        self.context = context
        # An eighth of the soft deadline is a first guess only: some twenty answers replace it.
        self.methods = [
            MethodState(method, method.soft_deadline * 2 // 5, method.soft_deadline / 8)
            for method in settings.methods
        ]
        self.longest_deadline = max((method.deadline for method in settings.methods), default=SECOND)
        self.all: dict[int, Server] = {}
        self.mean_latency = min((state.mean_latency for state in self.methods), default=SECOND / 10)
        # The usual latency in quiet times: falls with the mean at once; after twenty answers rises by 0.2% an
        # answer.
        self.quiet_latency = self.mean_latency
        self.answers_seen = 0
        self.trouble_rate = 0.1  # recent share of call-outs that were late or failed
        self.max_list_pause = min(settings.list_timeout, MAX_LIST_PAUSE)
        self.list_pause = self.max_list_pause // 3  # before the list is asked for again; doubles
        # Probing for an RPC asks two servers. It has to save more RPCs than it costs: at least a twentieth of
        # them, or what both probes cost.
        self.probing_pays_above = max(0.05, 2 * settings.probe_price)
        self.probes_expensive = 2 * settings.probe_price > 0.05
        self.ready: list[int] = []  # sorted by sort_key; where there are sixteen or fewer, by index
        self.sort_key = lambda index: (self.all[index].server_hash if settings.connection_price else 0, index)
        # Servers that any change of the list may concern: the subset, those gone, those with call-outs to
        # cancel.
        self.watched: set[int] = set()
        self.subset_start = 0  # in ready
        self.gateways_per_server = settings.gateways  # how many gateways have a server in their subset
        self.quickest_probe: dict[int, int] = {}  # by zone
        self.waiting_for_probe: dict[int, list[Rpc]] = {}  # server -> RPCs; emptied when the probe ends
        self.by_hash: dict[int, int] = {}  # server_hash -> server; emptied as servers are forgotten
        self.last_probed: list[int] = []  # the two servers whose probes ended last

    def update_list(self, event: interface.ServerList) -> None:
        """Takes up a list, a change of it, or the failure of a call for it.

        The cost of a change depends on the number of servers that it names, not on the length of the list.
        """
        if self.settings.subscribes_to_list and (event.failed or not self.all):
            self._schedule_subscription(event)
        if event.failed:
            return
        self.list_pause = self.max_list_pause // 3
        named = {entry.server for entry in event.entries}
        self._apply_entries(event, named)
        subset = self._choose_subset()
        concerned = self.watched.union(named, subset, self.all if event.complete else ()) & self.all.keys()
        servers = sorted((self.all[index] for index in concerned), key=lambda server: server.position)
        self._cancel_outdated_call_outs(servers)
        self._forget_gone(servers)
        self._mark_subset(servers, subset)
        self.watched = subset.union(server.entry.server for server in servers if self._needs_watching(server))

    def _schedule_subscription(self, event: interface.ServerList) -> None:
        """Subscribes to the list after a random time: at the start, and after a failure.

        Guards against an overloaded discovery: gateways spread over two seconds at the start, and then over
        pauses that double. Without any server a gateway asks at once.
        """
        context = self.context
        pause = self.list_pause if event.failed else 0
        first_pause = 2 * SECOND if event.entries else 1
        at = context.now + pause // 2 + context.random(pause or first_pause)
        context.at(at, lambda: context.commands.append(interface.SubscribeToList()))
        self.list_pause = min(2 * self.list_pause, self.max_list_pause)

    def _apply_entries(self, event: interface.ServerList, named: set[int]) -> None:
        """Brings all and ready up to date; a short change moves only the servers that it names."""
        short = not event.complete and 32 * len(named) < len(self.ready)
        if short:
            for index in [index for index in named if index in self.all and self._is_ready(index)]:
                del self.ready[bisect.bisect_left(self.ready, self.sort_key(index), key=self.sort_key)]
        for entry in event.entries:
            self._apply_entry(entry)
        if event.complete:
            for index in self.all.keys() - named:
                self.all[index].entry = self.all[index].entry._replace(state=ServerState.GONE)
        if short:
            for index in [index for index in named if self._is_ready(index)]:
                bisect.insort(self.ready, index, key=self.sort_key)
        else:
            ready = [index for index in {*named, *self.ready} if self._is_ready(index)]
            self.ready = sorted(ready, key=self.sort_key if len(ready) > SUBSET_SIZE else None)

    def _is_ready(self, index: int) -> bool:
        return self.all[index].entry.state == ServerState.READY

    def _apply_entry(self, entry: interface.ServerEntry) -> None:
        now = self.context.now
        server = self.all.get(entry.server)
        if server is None:
            server = Server(entry, known_since=now, position=next(self.context.sequence))
        elif entry.up_since != server.entry.up_since:  # another process: nothing learnt of the last one holds
            server = Server(entry, server.open_call_outs, known_since=now, position=server.position)
        server.entry = entry
        server.server_hash = (entry.global_id * 0x9E3779B97F4A7C15 & UINT64_MASK) >> 32
        self.all[entry.server] = server
        self.by_hash[server.server_hash] = entry.server

    def _choose_subset(self) -> set[int]:
        """The servers that this gateway keeps to, spread by hash; empty where connections cost nothing.

        Guards against connections and probes from every gateway to every server.
        """
        gateways = self.settings.gateways
        self.subset_start = len(self.ready) * self.settings.index // gateways
        if not self.settings.connection_price:
            self.gateways_per_server = gateways
            return set()
        expected = SUBSET_SIZE * gateways / max(SUBSET_SIZE, len(self.ready))
        self.gateways_per_server = min(gateways, int(expected + expected**0.5) + 1)
        return set(self._successive(self.subset_start))

    def _cancel_outdated_call_outs(self, servers: list[Server]) -> None:
        """Cancels what has not begun at servers that are not ready or have started anew since it was sent."""
        self.context.commands += [
            interface.CancelIfUnsent(*call_out)
            for server in servers
            for call_out, sent_at in server.open_call_outs.items()
            if server.entry.state != ServerState.READY or sent_at < server.known_since
        ]

    def _forget_gone(self, servers: list[Server]) -> None:
        """Forgets the servers that are gone and that no RPC can refer to any more."""
        forgotten = [
            server.entry.server
            for server in servers
            if server.entry.state == ServerState.GONE
            and not server.open_call_outs
            and self.context.now > max(server.last_sent_at, server.known_since) + self.longest_deadline
            and server.entry.server not in self.waiting_for_probe
        ]
        for index in forgotten:
            server = self.all.pop(index)
            self.by_hash.pop(server.server_hash, None)
            self.context.commands.append(interface.ForgetServer(index))

    def _mark_subset(self, servers: list[Server], subset: set[int]) -> None:
        for server in servers:
            in_subset = server.entry.state == ServerState.READY and (
                server.entry.server in subset or not self.settings.connection_price
            )
            if in_subset and not server.in_subset:
                pause = self.cold_pause(server)
                if (
                    pause
                ):  # a random part of it has passed, or all gateways would send to a cold server at once
                    server.last_sent_at = self.context.now - self.context.random(pause)
            server.in_subset = in_subset

    def _needs_watching(self, server: Server) -> bool:
        if server.entry.state == ServerState.GONE:
            return True
        if not server.open_call_outs:
            return False
        oldest_sent_at = min(server.open_call_outs.values())
        return server.entry.state != ServerState.READY or oldest_sent_at < server.known_since

    def _successive(self, first: int) -> list[int]:
        """Sixteen ready servers from a position in the list, which counts as a ring."""
        end = first + SUBSET_SIZE
        return self.ready[first:end] + self.ready[: max(0, end - len(self.ready))]

    def record_result(self, server: Server, method: int, status: Status, elapsed: int) -> bool:
        """Learns from how a call-out ended after `elapsed`; returns whether it was OK and in time."""
        now = self.context.now
        state = self.methods[method]
        seldom_used = now - server.last_answer_at > SECOND
        late = elapsed > state.late_after
        trouble = late or status not in (Status.OK, Status.CANCELLED)
        self.trouble_rate += (trouble - self.trouble_rate) * 0.05
        if status == Status.FULL or late and status in (Status.OK, Status.CANCELLED, Status.TIMED_OUT):
            # Guards against a queue that this gateway's own call-outs keep so long that no answer comes in
            # time.
            server.limit = max(1.0, min(server.limit, len(server.open_call_outs) + 1) * 0.8)
        if status != Status.CANCELLED:
            server.last_answer_at = now
        if status == Status.OK:
            self._record_answer(server, state, elapsed, late)
        elif status == Status.FULL:
            # It works, but gets nothing for about the time of an answer, and ranks as slower afterwards.
            server.full_until = now + 1 + int(state.mean_latency)
            server.relative_latency = server.relative_latency + 0.1
        elif status != Status.CANCELLED or late:
            self._record_failure(server, method, status, seldom_used)
        return status == Status.OK and not late

    def _record_answer(self, server: Server, state: MethodState, elapsed: int, late: bool) -> None:
        if not late:
            # The limits of all gateways add up: over the square of their number, growth settles at the same
            # sum.
            server.limit += min(4 / self.settings.gateways**2 / server.limit, server.limit / 2)
        state.mean_latency += (elapsed - state.mean_latency) * 0.05  # averages over some twenty answers
        self.mean_latency += (elapsed - self.mean_latency) * 0.05
        self.answers_seen += 1
        highest = self.quiet_latency * 1.002 if self.answers_seen > 20 else UNLIMITED
        self.quiet_latency = min(self.mean_latency, highest)
        relative = elapsed / max(1.0, state.mean_latency)
        server.relative_latency += (relative - server.relative_latency) * 0.1
        server.failure_rate = server.failure_rate * 0.8
        server.recovery_limit = server.recovery_limit * 2 % 32  # doubles; at 32 the server has recovered

    def _record_failure(self, server: Server, method: int, status: Status, seldom_used: bool) -> None:
        now = self.context.now
        # Guards against methods that fail at one server only, and failures so seldom that no two meet in
        # time.
        if seldom_used:
            server.method_blocked_until[method] = now + METHOD_BLOCK_TIME
        if status != Status.CANCELLED:
            server.failure_rate += (1 - server.failure_rate) * 0.2
        ejectable = server.failure_rate > EJECTION_FAILURE_RATE or server.recovery_limit
        if now >= server.ejected_until and ejectable:
            server.ejected_until = now + EJECTION_TIME
            server.recovery_limit = 1
            server.failure_rate = 0.0

    def record_probe(self, probe: interface.ProbeEnded) -> None:
        """Learns a server's pressure: how long a probe took beyond the quickest of its zone.

        Load reports are not used for it, because servers refresh them too seldom.
        """
        server = self.all.get(probe.server)
        if server is None or probe.status != Status.OK:
            return
        if self.context.now - probe.elapsed < server.known_since:  # it went to an earlier process
            return
        zone = server.entry.zone
        self.quickest_probe[zone] = min(self.quickest_probe.get(zone, SECOND), probe.elapsed)
        server.pressure = probe.elapsed - self.quickest_probe[zone]
        server.probed_at = self.context.now
        self.last_probed = list(dict.fromkeys((*self.last_probed, probe.server)))[-2:]

    def record_reading(self, reading: wire.Reading) -> None:
        """Learns a server's pressure from another gateway's probe, if that is newer than what is known."""
        server = self.all.get(self.by_hash.get(reading.server_hash, -1))
        probed_at = self.context.now - reading.age
        if server and probed_at > server.probed_at:
            server.pressure = reading.pressure
            server.probed_at = probed_at

    def readings(self) -> list[bytes]:
        """The last probes' results, packed, to go along with other frames where probes are expensive.

        Guards against each of tens of gateways paying for probes of its own.
        """
        if not self.probes_expensive:
            return []
        servers = [self.all[index] for index in self.last_probed if index in self.all]
        now = self.context.now
        return [
            wire.pack_item(wire.Reading(server.server_hash, server.pressure, now - server.probed_at))
            for server in servers
            if now < server.probed_at + READING_LIFETIME
        ]

    def cost(self, server: Server) -> float:
        """What a call-out to a server would cost, to compare servers by; an eighth of it is random.

        The failure rate counts, as a server that fails fast is not a quick one. A new connection costs more;
        a cold server whose pause is over costs less, as that is its turn.
        """
        if self.cold_pause(server):
            factor = 0.5
        else:
            idle = self.context.now - server.last_answer_at >= self.settings.idle_timeout
            factor = 1 + 4 * self.settings.connection_price * idle
        factor = factor * (1 + self.context.random(64) / 512)
        load = server.relative_latency * (len(server.open_call_outs) + 2)
        return load * (1 + 4 * server.failure_rate) * factor

    def cold_pause(self, server: Server) -> int:
        """The time between this gateway's call-outs to a cold server; 0 for a warm one.

        It follows the latency of quiet times, because warm servers may have queues.
        """
        now = self.context.now
        up_since = server.entry.up_since
        cold_time, cold_share = self.settings.cold_time, self.settings.cold_share
        if not up_since or now >= up_since + cold_time:
            return 0
        ages = max(0, now - up_since) + max(0, server.last_sent_at - up_since)  # now and at the last call-out
        ramp = cold_share + (1 - cold_share) * ages / 2 / cold_time
        return int(self.quiet_latency * self.gateways_per_server / (self.settings.fall_multiple * ramp))

    def has_room(self, server: Server) -> bool:
        """Whether this gateway may have one more call-out open at a server now.

        A cold server has one at most from a gateway that has it in its subset, and none from others.
        """
        pause = self.cold_pause(server)
        limit = int(server.in_subset) if pause else server.limit
        if len(server.open_call_outs) >= limit:
            return False
        return self.context.now >= max(server.full_until, server.last_sent_at + pause)

    def is_healthy(self, server: Server, method: int) -> bool:
        """Whether a server is neither ejected nor silent.

        It is silent where a call-out is open and nothing was heard for four usual latencies: it hangs, is
        paused, or the connection is cut.
        """
        now = self.context.now
        blocked_until = max(server.ejected_until, server.method_blocked_until.get(method, 0))
        if now < blocked_until or 0 < server.recovery_limit <= len(server.open_call_outs):
            return False
        oldest_sent_at = next(iter(server.open_call_outs.values()), now)
        return now - max(oldest_sent_at, server.last_answer_at) < 4 * self.mean_latency

    def may_send(self, rpc: Rpc, index: int) -> bool:
        """Whether the rules of repetition let this RPC have one more call-out, to this server."""
        if rpc.call_outs_sent >= self.settings.max_call_outs or index in rpc.open_call_outs.values():
            return False
        server = self.all.get(index)
        if server is None or server.entry.state != ServerState.READY:
            return False
        method = rpc.method_state.method
        if not rpc.may_have_run or method.repeat == RepeatSafety.IDEMPOTENT:
            return True
        first, sent_at = next(iter(rpc.may_have_run.values()))
        if method.repeat != RepeatSafety.DEDUPLICATED:
            return False
        if self.context.now >= sent_at + method.deduplication_time:
            return False
        # The group is the zone or cell of the first server; "all" is no field of an entry, so all are alike.
        first_entry, entry = self.all[first].entry, server.entry
        return getattr(entry, method.group, None) == getattr(first_entry, method.group, None)

    def choose(self, rpc: Rpc) -> list[int]:
        """The two best servers for an RPC, or fewer.

        It looks at sixteen successive ones, so that its cost doesn't grow with the list.
        An RPC that may have run chooses from all, because only those of one group may drop its repetition.
        """
        if len(self.ready) <= SUBSET_SIZE or rpc.may_have_run:
            return self._best(rpc, self.ready)
        if self.settings.connection_price:
            best = self._best(rpc, self._successive(self.subset_start))
            if best:
                return best
        return self._best(rpc, self._successive(self.context.random(len(self.ready))))

    def _best(self, rpc: Rpc, candidates: list[int]) -> list[int]:
        allowed = [index for index in candidates if self.may_send(rpc, index)]
        healthy = [index for index in allowed if self.is_healthy(self.all[index], rpc.request.method)]
        # Two thirds of a fleet failing at once have a common cause: then no server is blamed, and all are
        # used.
        usable = healthy if 3 * len(healthy) >= len(allowed) else allowed
        with_room = (index for index in usable if self.has_room(self.all[index]))
        return sorted(with_room, key=lambda index: self.cost(self.all[index]))[:2]
