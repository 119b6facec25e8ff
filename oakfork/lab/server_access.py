"""Simulated way between gateways and servers: deliveries of call-outs, and probes."""

from typing import Callable, Protocol

from numpy.random import Generator

from oakfork import interface
from oakfork.interface import Status
from oakfork.lab.customers import Customer, CustomerEnvironment, CustomerPopulation
from oakfork.lab.environment import CallOut, Exchange
from oakfork.lab.event_loop import EventKind
from oakfork.lab.gateway_model import GatewayModel
from oakfork.lab.server_model import Job, Server
from oakfork.lab.world_config import MethodConfig

PROBE_WORK = 3  # tenths of a millisecond of one core that a probe costs a server
ERROR_DELAY = 10  # tenths of a millisecond that a failing server takes to answer with an error


class ServerEnvironment(CustomerEnvironment, Protocol):
    """The world as the way to the servers sees it."""

    population: CustomerPopulation
    customers_by_number: dict[int, Customer]

    def reachable(self, zone: int, other_zone: int) -> bool:
        """Whether two zones are connected."""
        ...

    def stop_server(self, server: Server) -> None:
        """Ends a server process and announces it."""
        ...


class ServerAccess:
    """Decides what becomes of a call-out or a probe when it arrives at its server."""

    def __init__(self, world: ServerEnvironment) -> None:
        """Keeps no state of its own."""
        self.world = world

    def deliver(
        self, gateway: GatewayModel, exchange: Exchange, call_out: CallOut, fresh: bool, incarnation: int
    ) -> None:
        """Handles the arrival of a call-out's last byte at its server; `fresh` means on a new connection."""
        world, server = self.world, call_out.server
        loop = world.loop
        if incarnation != gateway.incarnation or call_out.over:
            return
        return_delay = world.distance(gateway.zone, server.zone)

        def end(status: Status, delay: int) -> None:
            loop.after(delay, EventKind.ENDING, gateway.call_out_ended, exchange, call_out, status, incarnation)

        if not self._connected(gateway, server):
            if fresh:
                end(Status.CONNECT_FAILED, world.config.links.connect_timeout)
            return  # on an open connection nothing comes back
        if not server.up or fresh and server.connections >= world.config.servers.connections:
            end(Status.CONNECT_FAILED, return_delay)
            return
        server.connections += fresh
        call_out.reached = True
        self._draw_units(exchange)
        rng = world.generator("work")
        if server.fails and rng.random() < server.fails:
            end(Status.ERROR, return_delay + ERROR_DELAY)
            return
        method = exchange.watched.method
        work = _draw_work(method, rng)
        if server.is_cold(loop.now):
            capacity = server.config.cores * server.warmth(loop.now)
            if world.checker.overloads_cold_server(server.number, loop.now, work, capacity):
                world.stop_server(server)
                end(Status.RESET, return_delay)
                return
        group = {"all": 0, "zone": server.zone, "cell": server.cell}[method.group]
        call_out.job = self._job(gateway, exchange, call_out, work, group, end)
        if not server.submit(call_out.job):
            call_out.job = None
            end(Status.FULL, return_delay)

    def _connected(self, gateway: GatewayModel, server: Server) -> bool:
        return not server.cut and self.world.reachable(gateway.zone, server.zone)

    def _draw_units(self, exchange: Exchange) -> None:
        """Draws an RPC's units from quota and ceiling, once."""
        world, watched = self.world, exchange.watched
        customer = world.customers_by_number[watched.customer]
        if not watched.units_drawn:
            world.checker.server_reached(exchange.rpc, watched, exchange.units, world.loop.now)
            watched.units_drawn = True
            world.population.sent_on(exchange, customer)

    def _job(
        self,
        gateway: GatewayModel,
        exchange: Exchange,
        call_out: CallOut,
        work: float,
        group: int,
        end: Callable[[Status, int], None],
    ) -> Job:
        world, server = self.world, call_out.server
        return_delay = world.distance(gateway.zone, server.zone)

        def began() -> None:
            world.checker.rpc_ran(exchange.rpc, exchange.watched, group, call_out.sent_at, world.loop.now)

        def done(status: Status) -> None:
            if self._connected(gateway, server):
                end(status, return_delay)

        return Job(work, began, done)

    def probe(self, gateway: GatewayModel, index: int) -> None:
        """Sends a probe from a gateway to the server with that index in its table, and reports its end."""
        world, loop = self.world, self.world.loop
        sent_at = loop.now
        world.metrics.add("probes", sent_at)
        server = gateway.list[gateway.index_table.server_ids[index]]
        number, incarnation = server.number, gateway.incarnation
        fresh = gateway.take_connection(server)
        duration, status = self._probe_outcome(gateway, server, fresh)

        def report() -> None:
            if gateway.up and gateway.incarnation == incarnation and number in gateway.index_table.servers:
                if status == Status.OK and server.up:
                    gateway.idle.setdefault(number, []).append(loop.now)
                known_index = gateway.index_table.servers[number]
                gateway.handle(interface.ProbeEnded(known_index, status, loop.now - sent_at, ()))

        loop.after(max(1, duration), EventKind.ENDING, report)

    def _probe_outcome(self, gateway: GatewayModel, server: Server, fresh: bool) -> tuple[int, Status]:
        """How long a probe takes, in tenths of a millisecond, and how it ends. Opens the connection it needs."""
        world = self.world
        links = world.config.links
        if server.silent or not self._connected(gateway, server):
            return links.connect_timeout, Status.TIMED_OUT
        distance = world.distance(gateway.zone, server.zone)
        handshake = links.handshake_time if fresh else 0
        jobs_beyond_cores = max(0, server.jobs() - server.config.cores)
        duration = handshake + 2 * distance + PROBE_WORK * (1 + jobs_beyond_cores)
        if not server.up or fresh and server.connections >= world.config.servers.connections:
            return duration, Status.CONNECT_FAILED
        server.connections += fresh
        return duration, Status.OK


def _draw_work(method: MethodConfig, rng: Generator) -> float:
    """Work of one call-out, in tenths of a millisecond of one core."""
    draw = {
        "exponential": lambda: rng.exponential(method.work),
        "fixed": lambda: method.work,
        "lognormal": lambda: method.work * rng.lognormal(-0.125, 0.5),  # -0.125 makes the mean of the factor 1
    }[method.spread]
    return draw()
