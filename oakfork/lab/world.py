"""The simulated world: builds gateways, customers, servers and links from a configuration, and runs them."""

from typing import Any, Sequence

import numpy

from oakfork import interface
from oakfork.interface import SECOND, Status
from oakfork.lab.counter_model import CounterModel
from oakfork.lab.customers import CustomerPopulation
from oakfork.lab.environment import PolicyFactory
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.lab.fault_injector import FaultInjector
from oakfork.lab.gateway_model import EVERYONE, GatewayModel
from oakfork.lab.invariant_checker import InvariantChecker
from oakfork.lab.run_metrics import RunMetrics
from oakfork.lab.server_access import ServerAccess
from oakfork.lab.server_model import Server
from oakfork.lab.world_config import WorldConfig

# Each concern has a random stream of its own, so that more draws in one do not change another. The seeds of the
# streams follow this order.
STREAMS = ("clients", "work", "links", "faults", "discovery", "gateway seeds")


class World:
    """One run of the simulation: a configuration, a policy for the gateways, and a seed."""

    def __init__(
        self, config: WorldConfig, policy_factory: PolicyFactory, seed: int, loop: EventLoop | None = None
    ) -> None:
        """Builds the world. `policy_factory` makes a policy for each start of a gateway; `loop` runs the events."""
        self.config = config
        self.policy_factory = policy_factory
        self.loop = loop or EventLoop()
        self.loop.now = SECOND  # 0 means long ago
        self.checker = InvariantChecker(config)
        self.metrics = RunMetrics(config.seconds + 1, SECOND)
        sequences = numpy.random.SeedSequence(seed).spawn(len(STREAMS))
        self.generators = {
            name: numpy.random.default_rng(sequence) for name, sequence in zip(STREAMS, sequences, strict=True)
        }
        self.surge = 1.0  # factor on demand
        self.gateway_down_since: dict[int, int] = {}
        self.cut_zones: frozenset[int] = frozenset()
        self.peer_loss = config.links.peer_loss
        self.peers_cut = False
        self.list_delay = config.discovery.list_delay
        self.next_server = 0
        self.servers: dict[int, Server] = {}
        for _ in range(config.servers.count):
            self.add_server(0)
        self.demand_scale = self._demand_scale()
        self.counter = CounterModel(self)
        self.population = CustomerPopulation(self)
        self.customers_by_number = {customer.number: customer for customer in self.population.customers}
        self.server_access = ServerAccess(self)
        self.faults = FaultInjector(self)
        self.gateways = [GatewayModel(self, number, number % config.zones) for number in range(config.gateways)]

    def generator(self, stream: str) -> numpy.random.Generator:
        """The random generator of one of STREAMS."""
        return self.generators[stream]

    def _demand_scale(self) -> float:
        """Factor on demand that makes use inside the quotas the configured fraction of the servers' capacity."""
        config = self.config
        if not config.load:
            return 1.0
        total_share = sum(method.share for method in config.methods)
        mean_work = sum(method.share * method.work for method in config.methods) / total_share / SECOND
        rate = sum(plan.customers * (plan.rate or 1.0) * min(1.0, plan.demand) for plan in config.plans)
        return config.load * config.servers.count * config.servers.cores / (rate * mean_work)

    def add_server(self, since: int) -> Server:
        """Adds a server under a new number; `since` is its start time, 0 for one that is warm."""
        number, config = self.next_server, self.config.servers
        self.next_server += 1
        server = Server(number, number % self.config.zones, number % config.cells, since, config, self.loop)
        self.servers[number] = server
        return server

    def gateway_settings(self, index: int, zone: int) -> interface.GatewaySettings:
        """Settings for a gateway that starts, with a seed drawn for it."""
        config, links = self.config, self.config.links
        methods = tuple(
            interface.Method(
                method.soft_deadline,
                method.deadline,
                method.repeat,
                method.group,
                method.deduplication_time,
                method.utility,
                method.late_utility,
                False,
            )
            for method in config.methods
        )
        plans = tuple(
            interface.Plan(
                plan.rate,
                plan.burst,
                0,
                plan.ceiling_rate,
                plan.ceiling_burst,
                plan.ceiling_slack,
                plan.price,
                0.0,
                plan.beyond_cost,
            )
            for plan in config.plans
        )
        return interface.GatewaySettings(
            seed=int(self.generator("gateway seeds").integers(1 << 63)),
            index=index,
            gateways=config.gateways,
            zone=zone,
            methods=methods,
            plans=plans,
            peer_frames_per_s=links.peer_frames_per_s,
            max_units=1,
            reports_true_units=False,
            peers=True,
            cancel=True,
            second_copies=config.second_copies,
            retry_after=config.retry_after,
            probing=config.probing,
            max_call_outs=config.max_call_outs,
            subscribes_to_list=False,
            list_timeout=SECOND,
            load_report_names=(),
            load_report_mode="off",
            drain_grace=config.drain_grace,
            cold_share=config.servers.cold_share,
            cold_time=config.servers.cold_time,
            fall_multiple=config.servers.fall_multiple,
            fall_time=config.servers.fall_time,
            probe_price=config.probe_price,
            connection_price=config.connection_price,
            idle_timeout=links.idle_timeout,
        )

    def run(self) -> dict[str, Any]:
        """Runs the configured time and what is then still open, and returns metrics and violations."""
        start = self.loop.now
        for gateway in self.gateways:
            gateway.start()
        self.faults.schedule(start, self.config.faults)
        self.population.start()
        end = start + self.config.seconds * SECOND
        self.loop.run(end)
        events = self.loop.played
        self.population.closed = True  # RPCs that are open still get their answers
        longest_deadline = max(method.deadline for method in self.config.methods)
        self.loop.run(end + 2 * longest_deadline + SECOND)
        self.checker.close(self.loop.now)
        for server in self.servers.values():
            self.metrics.server_work[server.number] += server.busy
        return self.metrics.result() | {
            "broken": dict(sorted(self.checker.broken.items())),
            "lines": self.checker.lines,
            "events": events,
            "taken": self.checker.accepted,
        }

    # Links

    def distance(self, zone: int, other_zone: int) -> int:
        """One-way delay between a gateway and a server in these zones, in tenths of a millisecond."""
        between_zones = self.config.links.zone_delay if zone != other_zone else 0
        return self.config.links.server_delay + between_zones

    def reachable(self, zone: int, other_zone: int) -> bool:
        """Whether two zones are connected; a zone that is cut reaches only itself."""
        return zone == other_zone or not (zone in self.cut_zones or other_zone in self.cut_zones)

    def send_peer_frame(self, sender: GatewayModel, peer: int, data: bytes) -> None:
        """Sends a frame to one peer, or to all with EVERYONE; it may be lost."""
        targets = range(self.config.gateways) if peer == EVERYONE else (peer,)
        for number in targets:
            if number != sender.number and number < len(self.gateways):
                self._send_frame(sender, self.gateways[number], data)

    def _send_frame(self, sender: GatewayModel, receiver: GatewayModel, data: bytes) -> None:
        rng, links = self.generator("links"), self.config.links
        self.metrics.add("frames", self.loop.now)
        self.metrics.add("frame bytes", self.loop.now, len(data))
        lost = rng.random() < self.peer_loss
        if lost or self.peers_cut or not self.reachable(sender.zone, receiver.zone) or not receiver.up:
            return
        delay = links.peer_delay // 2 + round(rng.exponential(links.peer_delay / 2))
        if sender.zone != receiver.zone:
            delay += links.zone_delay
        self.loop.after(
            max(1, delay), EventKind.NEWS, receiver.receive_peer_frame, sender.number, data, receiver.incarnation
        )

    # Servers and discovery

    def stop_server(self, server: Server) -> None:
        """Ends a server process: its open call-outs are reset, and the gateways get a list without it."""
        server.up = False
        self.checker.server_stopped(server.number)
        for gateway in self.gateways:
            for exchange in list(gateway.exchanges.values()):
                for call_out in list(exchange.call_outs.values()):
                    if call_out.server is server and call_out.reached:
                        self.loop.after(
                            self.config.links.server_delay,
                            EventKind.ENDING,
                            gateway.call_out_ended,
                            exchange,
                            call_out,
                            Status.RESET,
                            gateway.incarnation,
                        )
        self.announce([server])

    def announce(self, changed: Sequence[Server]) -> None:
        """Sends changed entries of the server list to each gateway, after a delay of its own."""
        rng = self.generator("discovery")
        for gateway in self.gateways:
            delay = max(1, round(self.list_delay * (0.5 + rng.random())))
            self.loop.after(delay, EventKind.NEWS, gateway.receive_list, changed, False, gateway.incarnation)
