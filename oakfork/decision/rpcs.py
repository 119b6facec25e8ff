"""Each RPC is a generator, DecisionModule._answer: yields until when it waits, last its answer.

It gets what came."""

from typing import Generator

from oakfork import interface, peer_codec as wire
from oakfork.decision.context import DecisionContext, Rpc
from oakfork.decision.peer_links import PeerLinks
from oakfork.decision.quotas import Quotas
from oakfork.decision.servers import Server, Servers
from oakfork.interface import NEVER_RAN, SECOND, RepeatSafety, Status


class DecisionModule:
    def __init__(self, settings: interface.GatewaySettings, now: int) -> None:
        self.settings, self.context = settings, DecisionContext(settings, now)
        self.servers = Servers(settings, self.context)
        self.links = PeerLinks(settings, self.context, self.servers.readings)
        self.quotas = Quotas(settings, self.context, self.links, self.servers)
        self.rpcs: dict[int, Rpc] = {}  # emptied as RPCs end
        self.shortest = min((method.soft_deadline for method in settings.methods), default=SECOND)
        self.let_in = 1.0  # share of the RPCs let in, learnt from answers

    def handle(self, now: int, event: interface.Event) -> list[interface.Command]:
        self.context.begin(now, event)
        match event:
            case interface.RpcArrived(index):
                rpc = self.rpcs[index] = Rpc(event, self.servers.methods[event.method], now + event.time_left)
                rpc.run = self._answer(rpc)
                self._resume(rpc, None)
            case interface.CallOutEnded():
                self._ended(event)
            case interface.ServerList():
                self.servers.told(event)
            case interface.PeerFrame(sender, data):
                items = self.links.received(sender, data)
                self.quotas.fill()
                for item in items:
                    if isinstance(item, wire.Reading):
                        self.servers.heard_of(item)
                    elif rpc := self.quotas.received(sender, item):
                        self._resume(rpc, item)
            case interface.ProbeEnded(server):
                self.servers.seen(event)
                for looking in self.servers.looks.pop(server, ()):
                    self._resume(looking, event)
            case interface.ClientDisconnected(rpc) if rpc in self.rpcs:
                self._close(self.rpcs[rpc])
            case interface.StreamStarted(rpc) if rpc in self.rpcs:
                self.rpcs[rpc].step += 1  # no alarm wakes it any more
        return self.context.finish()

    def _answer(self, rpc: Rpc) -> Generator[object, object, None]:
        soft = self.context.now + rpc.row.method.soft_deadline
        # Guards against too little CPU: a sixteenth of the shortest soft deadline behind, it lets in less.
        share = min(self.let_in, max(0.1, 1.25 - 4 * self.context.lag / self.shortest))
        if self.context.random(1000) >= 1000 * share and not rpc.ask.reserved or not self.servers.choose(rpc):
            self.let_in = min(1.15, self.let_in * 1.01)
            yield self._give_up(rpc)  # overload: refused before it costs an ask
        wait = yield from self.quotas.admit(rpc)
        plan = self.settings.plans[rpc.ask.plan]  # beyond the quota only where it says that this earns more
        if wait and (plan.ceiling_rate or plan.beyond_utility <= plan.beyond_cost):
            yield interface.PushBack(
                rpc.ask.rpc, -(-wait // SECOND) * SECOND if self.settings.retry_after else 0
            )
        copy_at, slow, server = 0, False, None
        while self.context.now < rpc.dl:
            copy = self.settings.second_copies and self.settings.probing and self.context.now < soft
            if not rpc.out or copy and self.context.now >= copy_at:
                chosen = yield from self._look(rpc, min(soft, rpc.dl))
                if chosen is not None:
                    server = self._send(rpc, chosen)  # a copy comes later where looks are dear
                    copy_at = self.context.now + rpc.row.late * (3 if self.servers.dear else 2) // 2
                elif not rpc.out:
                    break
            yield min(copy_at, rpc.dl) if copy_at > self.context.now else rpc.dl
            if not slow and self.context.now >= copy_at and len(server.open) == 1:
                # Guards against queues that no gateway fills alone; held where two lone ones of five are late
                slow, self.let_in = True, max(0.02, self.let_in * 0.8)
        yield self._give_up(rpc)

    def _give_up(self, rpc: Rpc) -> interface.Command:
        """A pushback says that a further try is harmless; an abort promises nothing."""
        repeat, known = rpc.row.method.repeat, rpc.row.method.group == "all"
        if (
            not rpc.maybe
            or repeat == RepeatSafety.IDEMPOTENT
            or repeat == RepeatSafety.DEDUPLICATED
            and known
        ):
            return interface.PushBack(rpc.ask.rpc, SECOND if self.settings.retry_after else 0)
        return interface.Abort(rpc.ask.rpc)

    def _resume(self, rpc: Rpc, value: object, step: int | None = None) -> None:
        """Goes on with an RPC; an alarm names the step it was set in."""
        if not rpc.over and step in (None, rpc.step):
            rpc.step += 1
            then = rpc.run.send(value)
            if isinstance(then, int):
                self.context.at(then, self._resume, rpc, None, rpc.step)
            else:
                self.context.commands.append(then)
                self._close(rpc)

    def _send(self, rpc: Rpc, index: int) -> Server:
        server, now, number, rpc.sent = self.servers.all[index], self.context.now, rpc.sent, rpc.sent + 1
        # Guards against connections that come up late: when a mark is forgotten, or a cold one's turn over.
        first, rule = min((at for _, at in rpc.maybe.values()), default=now), rpc.row.method
        mark, turn = (
            rule.deduplication_time * (rule.repeat == RepeatSafety.DEDUPLICATED),
            self.servers.pause(server) // 4,
        )
        ends = [first + mark] * bool(mark) + [now + turn] * bool(turn)
        self.context.commands.append(interface.SendCallOut(rpc.ask.rpc, index, 0, min(ends, default=0)))
        rpc.out[number], rpc.maybe[number] = index, (index, now)
        server.open[rpc.ask.rpc, number] = server.sent_at = now
        return server

    def _ended(self, event: interface.CallOutEnded) -> None:
        server, rpc = self.servers.all[event.server], self.rpcs.get(event.rpc)
        sent_at = server.open.pop((event.rpc, event.call_out), None)
        if rpc is None or sent_at is None:
            return
        rpc.out.pop(event.call_out, None)
        elapsed = max(0, self.context.now - sent_at - int(self.context.lag))
        blame = (
            event.status != Status.NEVER_STARTED and sent_at >= server.since
        )  # not what an earlier process did
        if blame and self.servers.judge(server, rpc.ask.method, event.status, elapsed):
            self.let_in = min(1.15, self.let_in * 1.15)
        if event.status in NEVER_RAN:
            rpc.maybe.pop(event.call_out, None)
        if event.status == Status.OK and event.true_units and self.settings.reports_true_units:
            self.quotas.give_back(rpc, rpc.ask.units - event.true_units)
        if rpc.over or event.final:
            self._close(rpc)
        else:
            self._resume(rpc, event)

    def _close(self, rpc: Rpc) -> None:
        """It has its final answer: call-outs still out are cancelled, what it holds goes back at the end."""
        if not rpc.over:
            rpc.over = True
            rpc.run.close()
            self.quotas.give_back(rpc, 0 if rpc.sent else rpc.ask.units)
            stop = (
                interface.CancelCallOut if self.settings.cancel else interface.CancelIfUnsent
            )  # what has not begun never does
            self.context.commands.extend(stop(rpc.ask.rpc, call_out) for call_out in rpc.out)
        if not rpc.out:
            self.quotas.release(rpc)
            del self.rpcs[rpc.ask.rpc]

    def _look(self, rpc: Rpc, by: int) -> Generator[int, object, int | None]:
        """Probes the best two where there is trouble and one was not heard for a second, two more while all
        are slow; takes the least pressed. Guards against what a gateway sees too seldom."""
        row, servers, context, seen, asked = rpc.row, self.servers, self.context, {}, set()
        for _ in range(1 if servers.dear else 3):
            picks = servers.choose(rpc)
            heard = all(context.now < servers.all[index].heard + SECOND for index in picks)
            calm = heard or servers.trouble < servers.pays or context.lag > self.shortest / 32  # its stalls
            if not self.settings.probing or calm and not asked and not rpc.out:
                return next(iter(picks), None)
            for index in picks:
                if servers.dear and context.now < servers.all[index].seen_at + SECOND // 2:  # by whichever
                    seen[index] = servers.all[index].seen
                elif index not in asked:
                    context.commands += [interface.ProbeServer(index)] * (
                        index not in servers.looks
                    )  # one tells all
                    servers.looks.setdefault(index, []).append(rpc)
                asked.add(index)
            until = min(rpc.dl, context.now + max(1, self.shortest // 15))
            while context.now < until and len(seen) < len(asked):
                probe = yield until
                if (
                    isinstance(probe, interface.ProbeEnded)
                    and probe.server in asked
                    and probe.status == Status.OK
                ):
                    seen[probe.server] = servers.all[probe.server].seen
            for index in sorted(seen, key=seen.get):
                # Latency goes with pressure (four: a probe's own work); half is for what comes between.
                slow = row.mean * (seen[index] + 4) / (row.pressure + 4)
                fits = slow < (0.8 if servers.dear else 0.4) * (by - context.now)
                fits = fits and (not rpc.out or seen[index] <= row.pressure)  # a copy: where less is held
                if fits and servers.may(rpc, index) and servers.room(servers.all[index]):
                    row.pressure += (seen[index] - row.pressure) * 0.05
                    return index
        return None
