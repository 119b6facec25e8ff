"""Each RPC is a generator, Brain._answer: yields until when it waits, last its answer; it gets what came."""

from typing import Generator

from oakfork import interface as face, peer_codec as wire
from oakfork.decision.context import Desk, Rpc
from oakfork.decision.peer_links import Links
from oakfork.decision.quotas import Quotas
from oakfork.decision.servers import Server, Servers
from oakfork.interface import NEVER_RAN, SECOND, Repeat, Status


class Brain:
    def __init__(self, birth: face.Birth, now: int) -> None:
        self.birth, self.desk = birth, Desk(birth, now)
        self.servers = Servers(birth, self.desk)
        self.links = Links(birth, self.desk, self.servers.readings)
        self.quotas = Quotas(birth, self.desk, self.links, self.servers)
        self.rpcs: dict[int, Rpc] = {}  # emptied as RPCs end
        self.shortest = min((method.soft_deadline for method in birth.methods), default=SECOND)
        self.let_in = 1.0  # share of the RPCs let in, learnt from answers

    def handle(self, now: int, event: face.Event) -> list[face.Command]:
        self.desk.begin(now, event)
        match event:
            case face.Arrival(index):
                rpc = self.rpcs[index] = Rpc(event, self.servers.methods[event.method], now + event.time_left)
                rpc.run = self._answer(rpc)
                self._resume(rpc, None)
            case face.CallOutEnded():
                self._ended(event)
            case face.ServerList():
                self.servers.told(event)
            case face.PeerFrame(sender, data):
                items = self.links.received(sender, data)
                self.quotas.fill()
                for item in items:
                    if isinstance(item, wire.Reading):
                        self.servers.heard_of(item)
                    elif rpc := self.quotas.received(sender, item):
                        self._resume(rpc, item)
            case face.ProbeEnded(server):
                self.servers.seen(event)
                for looking in self.servers.looks.pop(server, ()):
                    self._resume(looking, event)
            case face.ClientGone(rpc) if rpc in self.rpcs:
                self._close(self.rpcs[rpc])
            case face.StreamStarted(rpc) if rpc in self.rpcs:
                self.rpcs[rpc].step += 1  # no alarm wakes it any more
        return self.desk.finish()

    def _answer(self, rpc: Rpc) -> Generator[object, object, None]:
        soft = self.desk.now + rpc.row.method.soft_deadline
        # Guards against too little CPU: a sixteenth of the shortest soft deadline behind, it lets in less.
        share = min(self.let_in, max(0.1, 1.25 - 4 * self.desk.lag / self.shortest))
        if self.desk.random(1000) >= 1000 * share and not rpc.ask.reserved or not self.servers.choose(rpc):
            self.let_in = min(1.15, self.let_in * 1.01)
            yield self._give_up(rpc)  # overload: refused before it costs an ask
        wait = yield from self.quotas.admit(rpc)
        plan = self.birth.plans[rpc.ask.plan]  # beyond the quota only where it says that this earns more
        if wait and (plan.ceiling_rate or plan.beyond_utility <= plan.beyond_cost):
            yield face.PushBack(rpc.ask.rpc, -(-wait // SECOND) * SECOND if self.birth.retry_after else 0)
        copy_at, slow, server = 0, False, None
        while self.desk.now < rpc.dl:
            copy = self.birth.second_copies and self.birth.probing and self.desk.now < soft
            if not rpc.out or copy and self.desk.now >= copy_at:
                chosen = yield from self._look(rpc, min(soft, rpc.dl))
                if chosen is not None:
                    server = self._send(rpc, chosen)  # a copy comes later where looks are dear
                    copy_at = self.desk.now + rpc.row.late * (3 if self.servers.dear else 2) // 2
                elif not rpc.out:
                    break
            yield min(copy_at, rpc.dl) if copy_at > self.desk.now else rpc.dl
            if not slow and self.desk.now >= copy_at and len(server.open) == 1:
                # Guards against queues that no gateway fills alone; held where two lone ones of five are late
                slow, self.let_in = True, max(0.02, self.let_in * 0.8)
        yield self._give_up(rpc)

    def _give_up(self, rpc: Rpc) -> face.Command:
        """A pushback says that a further try is harmless; an abort promises nothing."""
        repeat, known = rpc.row.method.repeat, rpc.row.method.group == "all"
        if not rpc.maybe or repeat == Repeat.IDEMPOTENT or repeat == Repeat.DEDUPLICATED and known:
            return face.PushBack(rpc.ask.rpc, SECOND if self.birth.retry_after else 0)
        return face.Abort(rpc.ask.rpc)

    def _resume(self, rpc: Rpc, value: object, step: int | None = None) -> None:
        """Goes on with an RPC; an alarm names the step it was set in."""
        if not rpc.over and step in (None, rpc.step):
            rpc.step += 1
            then = rpc.run.send(value)
            if isinstance(then, int):
                self.desk.at(then, self._resume, rpc, None, rpc.step)
            else:
                self.desk.commands.append(then)
                self._close(rpc)

    def _send(self, rpc: Rpc, index: int) -> Server:
        server, now, number, rpc.sent = self.servers.all[index], self.desk.now, rpc.sent, rpc.sent + 1
        # Guards against connections that come up late: when a mark is forgotten, or a cold one's turn over.
        first, rule = min((at for _, at in rpc.maybe.values()), default=now), rpc.row.method
        mark, turn = rule.remembered * (rule.repeat == Repeat.DEDUPLICATED), self.servers.pause(server) // 4
        ends = [first + mark] * bool(mark) + [now + turn] * bool(turn)
        self.desk.commands.append(face.Send(rpc.ask.rpc, index, 0, min(ends, default=0)))
        rpc.out[number], rpc.maybe[number] = index, (index, now)
        server.open[rpc.ask.rpc, number] = server.sent_at = now
        return server

    def _ended(self, event: face.CallOutEnded) -> None:
        server, rpc = self.servers.all[event.server], self.rpcs.get(event.rpc)
        sent_at = server.open.pop((event.rpc, event.call_out), None)
        if rpc is None or sent_at is None:
            return
        rpc.out.pop(event.call_out, None)
        elapsed = max(0, self.desk.now - sent_at - int(self.desk.lag))
        blame = event.status != Status.MOOT and sent_at >= server.since  # not what an earlier process did
        if blame and self.servers.judge(server, rpc.ask.method, event.status, elapsed):
            self.let_in = min(1.15, self.let_in * 1.15)
        if event.status in NEVER_RAN:
            rpc.maybe.pop(event.call_out, None)
        if event.status == Status.OK and event.true_units and self.birth.settles:
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
            stop = face.Cancel if self.birth.cancel else face.Recall  # what has not begun never does
            self.desk.commands.extend(stop(rpc.ask.rpc, call_out) for call_out in rpc.out)
        if not rpc.out:
            self.quotas.release(rpc)
            del self.rpcs[rpc.ask.rpc]

    def _look(self, rpc: Rpc, by: int) -> Generator[int, object, int | None]:
        """Probes the best two where there is trouble and one was not heard for a second, two more while all
        are slow; takes the least pressed. Guards against what a gateway sees too seldom."""
        row, servers, desk, seen, asked = rpc.row, self.servers, self.desk, {}, set()
        for _ in range(1 if servers.dear else 3):
            picks = servers.choose(rpc)
            heard = all(desk.now < servers.all[index].heard + SECOND for index in picks)
            calm = heard or servers.trouble < servers.pays or desk.lag > self.shortest / 32  # its stalls
            if not self.birth.probing or calm and not asked and not rpc.out:
                return next(iter(picks), None)
            for index in picks:
                if servers.dear and desk.now < servers.all[index].seen_at + SECOND // 2:  # by whichever
                    seen[index] = servers.all[index].seen
                elif index not in asked:
                    desk.commands += [face.Probe(index)] * (index not in servers.looks)  # one tells all
                    servers.looks.setdefault(index, []).append(rpc)
                asked.add(index)
            until = min(rpc.dl, desk.now + max(1, self.shortest // 15))
            while desk.now < until and len(seen) < len(asked):
                probe = yield until
                if isinstance(probe, face.ProbeEnded) and probe.server in asked and probe.status == Status.OK:
                    seen[probe.server] = servers.all[probe.server].seen
            for index in sorted(seen, key=seen.get):
                # Latency goes with pressure (four: a probe's own work); half is for what comes between.
                slow = row.mean * (seen[index] + 4) / (row.pressure + 4)
                fits = slow < (0.8 if servers.dear else 0.4) * (by - desk.now)
                fits = fits and (not rpc.out or seen[index] <= row.pressure)  # a copy: where less is held
                if fits and servers.may(rpc, index) and servers.room(servers.all[index]):
                    row.pressure += (seen[index] - row.pressure) * 0.05
                    return index
        return None
