"""The decision module's entry point, and the process of each RPC from its arrival to its final answer.

The process is a generator, `DecisionModule._answer`. It yields until when it waits and is sent the event that
ends the wait, or None when the time has come; last it yields the command with the RPC's final answer.
"""

import itertools
from typing import Generator

from oakfork import interface, peer_codec as wire
from oakfork.decision.context import DecisionContext, Rpc
from oakfork.decision.peer_links import PeerLinks
from oakfork.decision.quotas import Quotas
from oakfork.decision.servers import Server, Servers
from oakfork.interface import NEVER_RAN, SECOND, RepeatSafety, Status

ROUNDS_OF_PROBES = 3
RECENTLY = SECOND  # an answer within this time makes a probe unnecessary
PROBE_LIFETIME = SECOND // 2  # how long a probe's result counts where probes are expensive
PROBE_OVERHEAD = 4  # tenths of a millisecond: the work of a probe itself


class DecisionModule:
    """Decides for one gateway; see `oakfork.decision` for how it is called."""

    def __init__(self, settings: interface.GatewaySettings, now: int) -> None:
        self.settings = settings
        self.context = DecisionContext(settings, now)
        self.servers = Servers(settings, self.context)
        self.links = PeerLinks(settings, self.context, self.servers.readings)
        self.quotas = Quotas(settings, self.context, self.links, self.servers)
        self.rpcs: dict[int, Rpc] = {}  # emptied as RPCs end
        self.steps = itertools.count(1)  # of all RPCs, since their indices are used again
        self.shortest_soft_deadline = min(
            (method.soft_deadline for method in settings.methods), default=SECOND
        )
        self.admitted_share = 1.0  # of the RPCs, learnt from answers; over 1 it leaves some headroom

    def handle(self, now: int, event: interface.Event) -> list[interface.Command]:
        """Takes up an event at a time on the gateway's clock; returns the commands to carry out, in order."""
        self.context.begin(now, event)
        match event:
            case interface.RpcArrived():
                self._rpc_arrived(event)
            case interface.CallOutEnded():
                self._call_out_ended(event)
            case interface.ServerList():
                self.servers.update_list(event)
            case interface.PeerFrame():
                self._frame_received(event)
            case interface.ProbeEnded():
                self.servers.record_probe(event)
                for rpc in self.servers.waiting_for_probe.pop(event.server, ()):
                    self._resume(rpc, event)
            case interface.ClientDisconnected(rpc) if rpc in self.rpcs:
                self._close(self.rpcs[rpc])
            case interface.StreamStarted(rpc) if rpc in self.rpcs:
                self.rpcs[rpc].step = next(self.steps)  # so that no timer resumes it any more
        return self.context.finish()

    def _rpc_arrived(self, request: interface.RpcArrived) -> None:
        deadline = self.context.now + request.time_left
        rpc = Rpc(request, self.servers.methods[request.method], deadline)
        self.rpcs[request.rpc] = rpc
        rpc.process = self._answer(rpc)
        self._resume(rpc, None)

    def _frame_received(self, event: interface.PeerFrame) -> None:
        items = self.links.received(event.sender, event.data)
        self.quotas.fill()
        for item in items:
            if isinstance(item, wire.Reading):
                self.servers.record_reading(item)
            elif rpc := self.quotas.received(event.sender, item):
                self._resume(rpc, item)

    def _answer(self, rpc: Rpc) -> Generator[object, object, None]:
        """The process of an RPC: admission, then call-outs until one is answered or no more may be sent.

        Guards against a second run of an RPC whose client came back with the same id after it had left.
        """
        soft_deadline = self.context.now + rpc.method_state.method.soft_deadline
        if rpc.request.may_have_run and rpc.method_state.method.repeat != RepeatSafety.IDEMPOTENT:
            yield interface.Abort(rpc.request.rpc)
        if self._sheds(rpc) or not self.servers.choose(rpc):
            self.admitted_share = min(1.15, self.admitted_share * 1.01)
            yield self._give_up(rpc)  # overload: refused before it costs an ask
        wait = yield from self.quotas.admit(rpc)
        if wait and not self._goes_beyond_quota(rpc):
            # Rounded up to whole seconds.
            retry_after = -(-wait // SECOND) * SECOND if self.settings.retry_after else 0
            yield interface.PushBack(rpc.request.rpc, retry_after)
        yield from self._call_out(rpc, soft_deadline)
        yield self._give_up(rpc)

    def _sheds(self, rpc: Rpc) -> bool:
        """Whether the RPC is refused because of overload.

        Guards against too little CPU as well: while timers come late by more than a sixteenth of the shortest
        soft deadline, the gateway admits less.
        """
        relative_lag = 4 * self.context.timer_lag / self.shortest_soft_deadline
        share = min(self.admitted_share, max(0.1, 1.25 - relative_lag))
        return self.context.random(1000) >= 1000 * share and not rpc.request.reserved

    def _goes_beyond_quota(self, rpc: Rpc) -> bool:
        """Whether the RPC is sent beyond its quota: only where the plan says that this earns more."""
        plan = self.settings.plans[rpc.request.plan]
        return not plan.ceiling_rate and plan.beyond_utility > plan.beyond_cost

    def _call_out(self, rpc: Rpc, soft_deadline: int) -> Generator[object, object, None]:
        """Sends call-outs, with second copies where the settings allow them, until the deadline."""
        context, settings = self.context, self.settings
        copy_at = 0
        counted_late = False
        server = None
        while context.now < rpc.deadline:
            may_copy = settings.second_copies and settings.probing and context.now < soft_deadline
            if not rpc.open_call_outs or may_copy and context.now >= copy_at:
                chosen = yield from self._probe_and_choose(rpc, min(soft_deadline, rpc.deadline))
                if chosen is not None:
                    server = self._send(rpc, chosen)
                    # A copy comes later where probes are expensive.
                    halves = 3 if self.servers.probes_expensive else 2
                    copy_at = context.now + rpc.method_state.late_after * halves // 2
                elif not rpc.open_call_outs:
                    break
            yield min(copy_at, rpc.deadline) if copy_at > context.now else rpc.deadline
            if not counted_late and context.now >= copy_at and len(server.open_call_outs) == 1:
                # Guards against queues that no gateway fills alone: a late call-out counts although it is the
                # only one of this gateway there. In balance where two in five such call-outs are late.
                counted_late = True
                self.admitted_share = max(0.02, self.admitted_share * 0.8)

    def _give_up(self, rpc: Rpc) -> interface.Command:
        """A pushback where a further try is harmless, otherwise an abort, which promises nothing."""
        method = rpc.method_state.method
        all_drop_repeats = method.repeat == RepeatSafety.DEDUPLICATED and method.group == "all"
        if not rpc.may_have_run or method.repeat == RepeatSafety.IDEMPOTENT or all_drop_repeats:
            return interface.PushBack(rpc.request.rpc, SECOND if self.settings.retry_after else 0)
        return interface.Abort(rpc.request.rpc)

    def _resume_at_timer(self, index: int, step: int) -> None:
        """Goes on with an RPC unless it has gone on since its timer was set, in that step.

        A timer holds numbers alone, so that an RPC that is over is not kept until its timer runs out.
        """
        rpc = self.rpcs.get(index)
        if rpc is not None and rpc.step == step:
            self._resume(rpc, None)

    def _resume(self, rpc: Rpc, value: object) -> None:
        """Goes on with the process of an RPC."""
        if rpc.answered:
            return
        rpc.step = next(self.steps)
        result = rpc.process.send(value)
        if isinstance(result, int):
            self.context.at(result, self._resume_at_timer, rpc.request.rpc, rpc.step)
        else:
            self.context.commands.append(result)
            self._close(rpc)

    def _send(self, rpc: Rpc, index: int) -> Server:
        server = self.servers.all[index]
        now = self.context.now
        number = rpc.call_outs_sent
        rpc.call_outs_sent += 1
        write_deadline = self._write_deadline(rpc, server)
        self.context.commands.append(interface.SendCallOut(rpc.request.rpc, index, 0, write_deadline))
        rpc.open_call_outs[number] = index
        rpc.may_have_run[number] = (index, now)
        server.open_call_outs[rpc.request.rpc, number] = now
        server.last_sent_at = now
        return server

    def _write_deadline(self, rpc: Rpc, server: Server) -> int:
        """Until when a call-out must be written; 0: no bound.

        Guards against connections that come up late: by then the servers may no longer recognise a repeated
        RPC, or this gateway's turn at a cold server may be over.
        """
        now = self.context.now
        method = rpc.method_state.method
        bounds = []
        if method.repeat == RepeatSafety.DEDUPLICATED and method.deduplication_time:
            first_sent_at = min((sent_at for _, sent_at in rpc.may_have_run.values()), default=now)
            bounds.append(first_sent_at + method.deduplication_time)
        turn = self.servers.cold_pause(server) // 4
        if turn:
            bounds.append(now + turn)
        return min(bounds, default=0)

    def _call_out_ended(self, event: interface.CallOutEnded) -> None:
        server = self.servers.all[event.server]
        rpc = self.rpcs.get(event.rpc)
        sent_at = server.open_call_outs.pop((event.rpc, event.call_out), None)
        if rpc is None or sent_at is None:
            return
        rpc.open_call_outs.pop(event.call_out, None)
        elapsed = max(0, self.context.now - sent_at - int(self.context.timer_lag))
        # What an earlier process did says nothing of the one that runs there now.
        counts = event.status != Status.NEVER_STARTED and sent_at >= server.known_since
        if counts and self.servers.record_result(server, rpc.request.method, event.status, elapsed):
            self.admitted_share = min(1.15, self.admitted_share * 1.15)
        if event.status in NEVER_RAN:
            rpc.may_have_run.pop(event.call_out, None)
        if event.status == Status.OK and event.true_units and self.settings.reports_true_units:
            self.quotas.return_units(rpc, rpc.request.units - event.true_units)
        if rpc.answered or event.final:
            self._close(rpc)
        else:
            self._resume(rpc, event)

    def _close(self, rpc: Rpc) -> None:
        """Ends an RPC that has its final answer.

        Call-outs still open are cancelled: where that is not allowed, only those that have not begun. What
        the RPC holds of its quota's concurrency goes back when the last of them has ended.
        """
        if not rpc.answered:
            rpc.answered = True
            rpc.process.close()
            self.quotas.return_units(rpc, 0 if rpc.call_outs_sent else rpc.request.units)
            cancel = interface.CancelCallOut if self.settings.cancel else interface.CancelIfUnsent
            self.context.commands.extend(cancel(rpc.request.rpc, call_out) for call_out in rpc.open_call_outs)
        if not rpc.open_call_outs:
            self.quotas.release(rpc)
            del self.rpcs[rpc.request.rpc]

    def _probe_and_choose(self, rpc: Rpc, answer_by: int) -> Generator[int, object, int | None]:
        """Chooses the server for the next call-out; None where there is none.

        Probes the best two servers where there is trouble and one of them has not answered for a second, and
        two more while all seem slow; chooses the one with the least pressure. Guards against deciding by what
        a gateway has learnt of servers that it uses too seldom.
        """
        servers, context = self.servers, self.context
        results: dict[int, int] = {}  # server -> pressure
        asked: set[int] = set()
        for _ in range(1 if servers.probes_expensive else ROUNDS_OF_PROBES):
            best = servers.choose(rpc)
            if not self.settings.probing or not asked and not rpc.open_call_outs and self._is_calm(best):
                return next(iter(best), None)
            for index in best:
                self._probe(rpc, index, results, asked)
            until = min(rpc.deadline, context.now + max(1, self.shortest_soft_deadline // 15))
            while context.now < until and len(results) < len(asked):
                event = yield until
                is_probe = isinstance(event, interface.ProbeEnded) and event.server in asked
                if is_probe and event.status == Status.OK:
                    results[event.server] = servers.all[event.server].pressure
            for index in sorted(results, key=results.get):
                if self._accepts(rpc, index, results[index], answer_by):
                    state = rpc.method_state
                    state.usual_pressure += (results[index] - state.usual_pressure) * 0.05
                    return index
        return None

    def _is_calm(self, best: list[int]) -> bool:
        """Whether the best servers can be used without probes."""
        servers, now = self.servers, self.context.now
        if all(now < servers.all[index].last_answer_at + RECENTLY for index in best):
            return True
        if servers.trouble_rate < servers.probing_pays_above:
            return True
        # While this gateway itself is behind, latencies say more of it than of the servers.
        return self.context.timer_lag > self.shortest_soft_deadline / 32

    def _probe(self, rpc: Rpc, index: int, results: dict[int, int], asked: set[int]) -> None:
        """Has an RPC wait for a probe of a server, unless a recent result can be used.

        One probe serves all RPCs that wait for it.
        """
        servers, server = self.servers, self.servers.all[index]
        if servers.probes_expensive and self.context.now < server.probed_at + PROBE_LIFETIME:
            results[index] = server.pressure
        elif index not in asked:
            if index not in servers.waiting_for_probe:
                self.context.commands.append(interface.ProbeServer(index))
            servers.waiting_for_probe.setdefault(index, []).append(rpc)
        asked.add(index)

    def _accepts(self, rpc: Rpc, index: int, pressure: int, answer_by: int) -> bool:
        """Whether a probed server gets the call-out: it is expected to answer in time and may have it.

        Latency is taken to grow with pressure. Half of the time left is kept for what arrives between probe
        and call-out. A second copy goes only where the pressure is no more than usual.
        """
        state = rpc.method_state
        latency = state.mean_latency * (pressure + PROBE_OVERHEAD) / (state.usual_pressure + PROBE_OVERHEAD)
        share = 0.8 if self.servers.probes_expensive else 0.4  # of the time left
        if latency >= share * (answer_by - self.context.now):
            return False
        if rpc.open_call_outs and pressure > state.usual_pressure:
            return False
        return self.servers.may_send(rpc, index) and self.servers.has_room(self.servers.all[index])
