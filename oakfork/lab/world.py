"""The world of the model: everything beside the policies, put together, and what goes wrong in it."""

from typing import Any, Callable

import numpy

from oakfork import interface
from oakfork.interface import SECOND, Status
from oakfork.lab.customers import CustomerPopulation
from oakfork.lab.environment import CallOut, Exchange, PolicyFactory
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.lab.gateway_model import EVERYONE, GatewayModel
from oakfork.lab.invariant_checker import InvariantChecker
from oakfork.lab.run_metrics import RunMetrics
from oakfork.lab.server_model import Job, Server
from oakfork.lab.world_config import Fault, WorldConfig

STREAMS = ("clients", "work", "links", "faults", "discovery", "births")  # chance of one does not shift another's
PROBE_WORK = 3  # tenths of a millisecond of a core that a probe costs a server


class CounterModel:
    """Adds to numbers by name; a call takes its time there and back."""

    def __init__(self, world: "World") -> None:
        self.world, self.up = world, True
        self.totals: dict[int, float] = {}  # as many as names; those not kept any more are dropped
        self.kept: dict[int, int] = {}

    def call(self, gateway: GatewayModel, call: interface.AddToCounter) -> None:
        plan, loop = self.world.plan.counter, self.world.loop
        self.world.metrics.add("counter calls", loop.now)
        if self.up:
            loop.after(plan.takes // 2, EventKind.SERVER, self._add, gateway, call, gateway.life)
        else:
            loop.after(
                plan.patience, EventKind.ENDING, self._answer, gateway, call, Status.TIMED_OUT, 0.0, gateway.life
            )

    def _add(self, gateway: GatewayModel, call: interface.AddToCounter, life: int) -> None:
        now = self.world.loop.now
        if self.kept.get(call.name, 0) <= now:
            for name in [name for name, until in self.kept.items() if until <= now]:
                del self.kept[name], self.totals[name]
            self.kept[call.name], self.totals[call.name] = now + call.ttl, 0.0
        self.totals[call.name] += call.amount
        wait = self.world.plan.counter.takes - self.world.plan.counter.takes // 2
        self.world.loop.after(
            wait, EventKind.ENDING, self._answer, gateway, call, Status.OK, self.totals[call.name], life
        )

    def _answer(
        self, gateway: GatewayModel, call: interface.AddToCounter, status: Status, total: float, life: int
    ) -> None:
        if gateway.up and gateway.life == life:
            gateway.handle(interface.CounterReplied(status, total, call.name))


class World:
    def __init__(self, plan: WorldConfig, decide: PolicyFactory, seed: int, loop: EventLoop | None = None) -> None:
        """`decide` and `loop` are replaceable parts: a policy for each gateway, and what plays the events."""
        self.plan, self.decide, self.loop = plan, decide, loop or EventLoop()
        self.loop.now = SECOND  # 0 stands for long ago
        self.checker, self.metrics = InvariantChecker(plan), RunMetrics(plan.seconds + 1, SECOND)
        children = numpy.random.SeedSequence(seed).spawn(len(STREAMS))
        self.dices = {name: numpy.random.default_rng(child) for name, child in zip(STREAMS, children, strict=True)}
        self.surge = 1.0
        self.down_since: dict[int, int] = {}
        self.cut: set[int] = set()  # zones
        self.loss, self.deaf = plan.links.peer_loss, False
        self.late = plan.discovery.late
        self.next_server = 0
        self.servers: dict[int, Server] = {}
        for _ in range(plan.servers.count):
            self._server(0)
        self.press = self._press()
        self.counter = CounterModel(self)
        self.crowd = CustomerPopulation(self)
        self.by_customer = {customer.number: customer for customer in self.crowd.customers}
        self.gateways = [GatewayModel(self, number, number % plan.zones) for number in range(plan.gateways)]

    def chance(self, stream: str) -> numpy.random.Generator:
        return self.dices[stream]

    def _press(self) -> float:
        """What demand is multiplied by, so that use inside the quotas is the stated part of what the fleet can do."""
        plan = self.plan
        if not plan.load:
            return 1.0
        share = sum(method.share for method in plan.methods)
        work = sum(method.share * method.work for method in plan.methods) / share / SECOND
        rate = sum(group.customers * (group.rate or 1.0) * min(1.0, group.demand) for group in plan.plans)
        return plan.load * plan.servers.count * plan.servers.cores / (rate * work)

    def _server(self, since: int) -> Server:
        number, plan = self.next_server, self.plan.servers
        self.next_server += 1
        server = self.servers[number] = Server(
            number, number % self.plan.zones, number % plan.cells, since, plan, self.loop
        )
        return server

    def gateway_settings(self, index: int, zone: int) -> interface.GatewaySettings:
        plan, links = self.plan, self.plan.links
        methods = tuple(
            interface.Method(
                m.soft_deadline, m.deadline, m.repeat, m.group, m.deduplication_time, m.utility, m.late_utility, False
            )
            for m in plan.methods
        )
        plans = tuple(
            interface.Plan(
                p.rate, p.burst, 0, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack, p.price, 0.0, p.beyond_cost
            )
            for p in plan.plans
        )
        return interface.GatewaySettings(
            seed=int(self.chance("births").integers(1 << 63)),
            index=index,
            gateways=plan.gateways,
            zone=zone,
            methods=methods,
            plans=plans,
            peer_frames_per_s=links.peer_frames_per_s,
            max_units=1,
            reports_true_units=False,
            peers=True,
            cancel=True,
            second_copies=plan.second_copies,
            retry_after=plan.retry_after,
            probing=plan.probing,
            max_call_outs=plan.max_call_outs,
            subscribes_to_list=False,
            list_timeout=SECOND,
            load_report_names=(),
            load_report_mode="off",
            drain_grace=plan.drain_grace,
            cold_share=plan.servers.cold_share,
            cold_time=plan.servers.cold_time,
            fall_multiple=plan.servers.fall_multiple,
            fall_time=plan.servers.fall_time,
            probe_price=plan.probe_price,
            connection_price=plan.connection_price,
            idle_timeout=links.idle,
        )

    def run(self) -> dict[str, Any]:
        start = self.loop.now
        for gateway in self.gateways:
            gateway.start()
        for fault in self.plan.faults:
            self.loop.at(start + fault.at, EventKind.FAULT, self._begin, fault)
        self.crowd.start()
        end = start + self.plan.seconds * SECOND
        self.loop.run(end)
        played = self.loop.played
        self.crowd.closed = True  # what is out is answered
        longest = max(method.deadline for method in self.plan.methods)
        self.loop.run(end + 2 * longest + SECOND)
        self.checker.close(self.loop.now)
        for server in self.servers.values():
            self.metrics.server_work[server.number] += server.busy
        return self.metrics.result() | {
            "broken": dict(sorted(self.checker.broken.items())),
            "lines": self.checker.lines,
            "events": played,
            "taken": self.checker.taken,
        }

    # Links

    def distance(self, one: int, other: int) -> int:
        return self.plan.links.server + (self.plan.links.zone if one != other else 0)

    def reachable(self, one: int, other: int) -> bool:
        return one == other or not (one in self.cut or other in self.cut)

    def frame(self, sender: GatewayModel, peer: int, data: bytes) -> None:
        dice, links = self.chance("links"), self.plan.links
        targets = range(self.plan.gateways) if peer == EVERYONE else (peer,)
        for number in targets:
            if number == sender.number or number >= len(self.gateways):
                continue
            self.metrics.add("frames", self.loop.now)
            self.metrics.add("frame bytes", self.loop.now, len(data))
            receiver = self.gateways[number]
            lost = dice.random() < self.loss
            if lost or self.deaf or not self.reachable(sender.zone, receiver.zone) or not receiver.up:
                continue
            wait = links.peer // 2 + round(dice.exponential(links.peer / 2))
            wait += links.zone if sender.zone != receiver.zone else 0
            self.loop.after(max(1, wait), EventKind.NEWS, receiver.frame, sender.number, data, receiver.life)

    # Call-outs at servers

    def reach(self, gateway: GatewayModel, exchange: Exchange, call_out: CallOut, fresh: bool, life: int) -> None:
        """A call-out's last byte comes to its server, or does not."""
        loop, server = self.loop, call_out.server
        if life != gateway.life or call_out.over:
            return
        back = self.distance(gateway.zone, server.zone)

        def ends(status: Status, wait: int) -> None:
            loop.after(wait, EventKind.ENDING, gateway.ended, exchange, call_out, status, life)

        if server.cut or not self.reachable(gateway.zone, server.zone):
            if fresh:
                ends(Status.CONNECT_FAILED, self.plan.links.connect_patience)
            return  # an open connection stays silent
        if not server.up or fresh and server.connections >= self.plan.servers.connections:
            ends(Status.CONNECT_FAILED, back)
            return
        server.connections += fresh
        call_out.reached = True
        customer = self.by_customer[exchange.watched.customer]
        if not exchange.watched.drawn:
            self.checker.reached(exchange.rpc, exchange.watched, exchange.units, loop.now)
            exchange.watched.drawn = True
            self.crowd.sent_on(exchange, customer)
        dice = self.chance("work")
        if server.fails and dice.random() < server.fails:
            ends(Status.ERROR, back + 10)
            return
        method = exchange.watched.method
        work = {
            "exponential": lambda: dice.exponential(method.work),
            "fixed": lambda: method.work,
            "lognormal": lambda: method.work * dice.lognormal(-0.125, 0.5),
        }[method.spread]()
        if server.cold(loop.now):
            could = server.plan.cores * server.warmth(loop.now)
            if self.checker.work_at_cold(server.number, loop.now, work, could):
                self._stop(server)
                ends(Status.RESET, back)
                return
        group = {"all": 0, "zone": server.zone, "cell": server.cell}[method.group]

        def began() -> None:
            self.checker.ran(exchange.rpc, exchange.watched, group, call_out.sent_at, loop.now)

        def done(status: Status) -> None:
            if self.reachable(gateway.zone, server.zone) and not server.cut:
                ends(status, back)

        call_out.job = Job(work, began, done)
        if not server.take(call_out.job):
            call_out.job = None
            ends(Status.FULL, back)

    def probe(self, gateway: GatewayModel, index: int) -> None:
        now, loop = self.loop.now, self.loop
        self.metrics.add("probes", now)
        server = gateway.list[gateway.index_table.server_ids[index]]
        number, life = server.number, gateway.life
        fresh = gateway.connection(server)
        there = self.distance(gateway.zone, server.zone) + (self.plan.links.handshake if fresh else 0)
        silent = server.cut or server.silent or not self.reachable(gateway.zone, server.zone)
        held = 0 if silent else server.held() - server.plan.cores
        took = there + self.distance(gateway.zone, server.zone) + PROBE_WORK * (1 + max(0, held))
        status = Status.OK if server.up else Status.CONNECT_FAILED
        if silent:
            took, status = self.plan.links.connect_patience, Status.TIMED_OUT
        elif status == Status.OK:
            if fresh and server.connections >= self.plan.servers.connections:
                status = Status.CONNECT_FAILED
            else:
                server.connections += fresh

        def told() -> None:
            if gateway.up and gateway.life == life and number in gateway.index_table.servers:
                if status == Status.OK and server.up:
                    gateway.idle.setdefault(number, []).append(loop.now)
                known = gateway.index_table.servers[number]
                gateway.handle(interface.ProbeEnded(known, status, loop.now - now, ()))

        loop.after(max(1, took), EventKind.ENDING, told)

    # Discovery

    def tell(self, changed: list[Server]) -> None:
        """Each gateway is told at its own time."""
        dice = self.chance("discovery")
        for gateway in self.gateways:
            wait = round(self.late * (0.5 + dice.random()))
            self.loop.after(max(1, wait), EventKind.NEWS, gateway.told, changed, False, gateway.life)

    # Faults. Each one's end undoes what its beginning did.

    def _some(self, items: list[Any], share: float) -> list[Any]:
        number = min(len(items), max(1, round(len(items) * share)))
        chosen = self.chance("faults").choice(len(items), number, replace=False) if items else []
        return [items[index] for index in sorted(int(index) for index in chosen)]

    def _begin(self, fault: Fault) -> None:
        undo = getattr(self, "_fault_" + fault.kind)(fault)
        if undo is not None:
            self.loop.after(max(1, fault.until - fault.at), EventKind.FAULT, undo)

    def _live(self) -> list[Server]:
        return [server for server in self.servers.values() if server.up and not server.draining]

    def _fault_kill_gateways(self, fault: Fault) -> Callable[[], None]:
        struck = self._some([gateway for gateway in self.gateways if gateway.up], fault.share)
        for gateway in struck:
            gateway.kill()
            self.down_since[gateway.number] = self.loop.now

        def undo() -> None:
            for gateway in struck:
                gateway.start()

        return undo

    def _fault_roll_gateways(self, fault: Fault) -> None:
        """One tenth after the other is killed and comes back."""
        step = max(1, (fault.until - fault.at) // 10)
        order = [gateway for gateway in self.gateways]
        self.chance("faults").shuffle(order)
        for part in range(10):
            struck = order[part::10]
            self.loop.after(1 + part * step, EventKind.FAULT, self._restart, struck, max(1, step // 2))

    def _restart(self, struck: list[GatewayModel], down: int) -> None:
        for gateway in struck:
            if gateway.up:
                gateway.kill()
                self.down_since[gateway.number] = self.loop.now
                self.loop.after(down, EventKind.FAULT, gateway.start)

    def _stop(self, server: Server) -> None:
        server.up = False
        self.checker.stopped(server.number)
        for gateway in self.gateways:
            for exchange in list(gateway.exchanges.values()):
                for call_out in list(exchange.call_outs.values()):
                    if call_out.server is server and call_out.reached:
                        self.loop.after(
                            self.plan.links.server,
                            EventKind.ENDING,
                            gateway.ended,
                            exchange,
                            call_out,
                            Status.RESET,
                            gateway.life,
                        )
        self.tell([server])

    def _fault_kill_servers(self, fault: Fault) -> Callable[[], None]:
        struck = self._some(self._live(), fault.share)
        for server in struck:
            self._stop(server)

        def undo() -> None:
            for old in struck:
                fresh = Server(old.number, old.zone, old.cell, self.loop.now, old.plan, self.loop)
                self.metrics.server_work[old.number] += old.busy
                self.servers[old.number] = fresh
                self.tell([fresh])

        return undo

    def _fault_replace_servers(self, fault: Fault) -> None:
        """Drains some, stops them a while later, and starts as many new ones in their place, in four steps."""
        struck = self._some(self._live(), fault.share)
        step = max(1, (fault.until - fault.at) // 4)
        for part in range(4):
            self.loop.after(1 + part * step, EventKind.FAULT, self._replace, struck[part::4])

    def _replace(self, struck: list[Server]) -> None:
        fresh = [self._server(self.loop.now) for _ in struck]
        for server in struck:
            server.draining = True
            self.loop.after(3 * SECOND, EventKind.FAULT, self._stop, server)
        self.tell([*struck, *fresh])

    def _toggle(self, fault: Fault, **changes: Any) -> Callable[[], None]:
        struck = self._some(self._live(), fault.share)
        before = [{name: getattr(server, name) for name in changes} for server in struck]
        for server in struck:
            for name, value in changes.items():
                setattr(server, name, value)

        def undo() -> None:
            for server, old in zip(struck, before, strict=True):
                for name, value in old.items():
                    setattr(server, name, value)

        return undo

    def _fault_hang(self, fault: Fault) -> Callable[[], None]:
        return self._toggle(fault, silent=True)

    def _fault_slow(self, fault: Fault) -> Callable[[], None]:
        return self._toggle(fault, slow=fault.size)

    def _fault_fail_fast(self, fault: Fault) -> Callable[[], None]:
        return self._toggle(fault, fails=fault.size)

    def _fault_cut_servers(self, fault: Fault) -> Callable[[], None]:
        return self._toggle(fault, cut=True)

    def _set(self, name: str, value: Any) -> Callable[[], None]:
        before = getattr(self, name)
        setattr(self, name, value)
        return lambda: setattr(self, name, before)

    def _fault_lose_frames(self, fault: Fault) -> Callable[[], None]:
        return self._set("loss", fault.size)

    def _fault_cut_peers(self, fault: Fault) -> Callable[[], None]:
        return self._set("deaf", True)

    def _fault_deafen(self, fault: Fault) -> Callable[[], None]:
        """One-way cuts: some gateways hear nothing, and are heard."""
        struck = self._some(self.gateways, fault.share)
        for gateway in struck:
            gateway.deaf = True

        def undo() -> None:
            for gateway in struck:
                gateway.deaf = False

        return undo

    def _fault_cut_zone(self, fault: Fault) -> Callable[[], None]:
        return self._set("cut", self.cut | {fault.zone})

    def _fault_late_lists(self, fault: Fault) -> Callable[[], None]:
        return self._set("late", round(fault.size * SECOND))

    def _fault_surge(self, fault: Fault) -> Callable[[], None]:
        return self._set("surge", fault.size)

    def _fault_counter_down(self, fault: Fault) -> Callable[[], None]:
        self.counter.up = False

        def undo() -> None:
            self.counter.up = True

        return undo
