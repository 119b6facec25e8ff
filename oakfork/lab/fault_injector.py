"""Injects the faults of an experiment into a simulated world, and undoes each one when its time is over."""

from typing import Any, Callable, Protocol, Sequence

from oakfork.interface import SECOND
from oakfork.lab.counter_model import CounterModel
from oakfork.lab.customers import CustomerEnvironment
from oakfork.lab.event_loop import EventKind
from oakfork.lab.gateway_model import GatewayModel
from oakfork.lab.server_model import Server
from oakfork.lab.world_config import Fault

ROLL_STEPS = 10  # batches in which all gateways are restarted
REPLACE_STEPS = 4  # batches in which servers are replaced
DRAIN_TIME = 3 * SECOND  # from the start of a server's draining until it stops

Undo = Callable[[], None]


class FaultEnvironment(CustomerEnvironment, Protocol):
    """The world as the fault injector sees it: besides gateways and servers, the settings that faults change."""

    servers: dict[int, Server]
    counter: CounterModel
    cut_zones: frozenset[int]
    peer_loss: float
    peers_cut: bool
    list_delay: int

    def add_server(self, since: int) -> Server:
        """Adds a server under a new number."""
        ...

    def stop_server(self, server: Server) -> None:
        """Ends a server process and announces it."""
        ...

    def announce(self, changed: Sequence[Server]) -> None:
        """Sends changed entries of the server list to all gateways."""
        ...


class FaultInjector:
    """Starts each fault through the method for its kind, which returns what undoes it, if anything has to be."""

    def __init__(self, world: FaultEnvironment) -> None:
        """Injects nothing until `schedule`."""
        self.world = world
        self.methods: dict[str, Callable[[Fault], Undo | None]] = {
            "kill_gateways": self._kill_gateways,
            "roll_gateways": self._roll_gateways,
            "kill_servers": self._kill_servers,
            "replace_servers": self._replace_servers,
            "hang": lambda fault: self._change_servers(fault, silent=True),
            "slow": lambda fault: self._change_servers(fault, slow=fault.size),
            "fail_fast": lambda fault: self._change_servers(fault, fails=fault.size),
            "cut_servers": lambda fault: self._change_servers(fault, cut=True),
            "lose_frames": lambda fault: self._change_world("peer_loss", fault.size),
            "cut_peers": lambda fault: self._change_world("peers_cut", True),
            "deafen": self._deafen,
            "cut_zone": lambda fault: self._change_world("cut_zones", self.world.cut_zones | {fault.zone}),
            "late_lists": lambda fault: self._change_world("list_delay", round(fault.size * SECOND)),
            "surge": lambda fault: self._change_world("surge", fault.size),
            "counter_down": self._stop_counter,
        }

    def schedule(self, start: int, faults: Sequence[Fault]) -> None:
        """Schedules faults, whose times count from `start`."""
        for fault in faults:
            self.world.loop.at(start + fault.at, EventKind.FAULT, self._begin, fault)

    def _begin(self, fault: Fault) -> None:
        undo = self.methods[fault.kind](fault)
        if undo is not None:
            self.world.loop.after(max(1, fault.until - fault.at), EventKind.FAULT, undo)

    def _choose(self, items: list[Any], share: float) -> list[Any]:
        """At least one of the items, drawn at random, in their order."""
        number = min(len(items), max(1, round(len(items) * share)))
        chosen = self.world.generator("faults").choice(len(items), number, replace=False) if items else []
        return [items[index] for index in sorted(int(index) for index in chosen)]

    # Gateways

    def _kill(self, gateway: GatewayModel) -> None:
        gateway.kill()
        self.world.gateway_down_since[gateway.number] = self.world.loop.now

    def _kill_gateways(self, fault: Fault) -> Undo:
        killed = self._choose([gateway for gateway in self.world.gateways if gateway.up], fault.share)
        for gateway in killed:
            self._kill(gateway)

        def undo() -> None:
            for gateway in killed:
                gateway.start()

        return undo

    def _roll_gateways(self, fault: Fault) -> None:
        """Kills and restarts all gateways, one batch after the other."""
        step = max(1, (fault.until - fault.at) // ROLL_STEPS)
        order = list(self.world.gateways)
        self.world.generator("faults").shuffle(order)
        for number in range(ROLL_STEPS):
            batch = order[number::ROLL_STEPS]
            self.world.loop.after(1 + number * step, EventKind.FAULT, self._restart, batch, max(1, step // 2))

    def _restart(self, batch: list[GatewayModel], downtime: int) -> None:
        for gateway in batch:
            if gateway.up:
                self._kill(gateway)
                self.world.loop.after(downtime, EventKind.FAULT, gateway.start)

    def _deafen(self, fault: Fault) -> Undo:
        """Cuts one way: some gateways receive no frames from peers, and still send them."""
        chosen = self._choose(self.world.gateways, fault.share)
        for gateway in chosen:
            gateway.deaf = True

        def undo() -> None:
            for gateway in chosen:
                gateway.deaf = False

        return undo

    # Servers

    def _live_servers(self) -> list[Server]:
        return [server for server in self.world.servers.values() if server.up and not server.draining]

    def _kill_servers(self, fault: Fault) -> Undo:
        world = self.world
        killed = self._choose(self._live_servers(), fault.share)
        for server in killed:
            world.stop_server(server)

        def undo() -> None:
            for old in killed:
                restarted = Server(old.number, old.zone, old.cell, world.loop.now, old.config, world.loop)
                world.metrics.server_work[old.number] += old.busy
                world.servers[old.number] = restarted
                world.announce([restarted])

        return undo

    def _replace_servers(self, fault: Fault) -> None:
        """Drains some servers, stops them later, and starts as many new ones in their place, batch by batch."""
        chosen = self._choose(self._live_servers(), fault.share)
        step = max(1, (fault.until - fault.at) // REPLACE_STEPS)
        for number in range(REPLACE_STEPS):
            batch = chosen[number::REPLACE_STEPS]
            self.world.loop.after(1 + number * step, EventKind.FAULT, self._replace, batch)

    def _replace(self, batch: list[Server]) -> None:
        world = self.world
        started = [world.add_server(world.loop.now) for _ in batch]
        for server in batch:
            server.draining = True
            world.loop.after(DRAIN_TIME, EventKind.FAULT, world.stop_server, server)
        world.announce([*batch, *started])

    def _change_servers(self, fault: Fault, **changes: Any) -> Undo:
        """Changes attributes of some servers."""
        chosen = self._choose(self._live_servers(), fault.share)
        previous = [{name: getattr(server, name) for name in changes} for server in chosen]
        for server in chosen:
            for name, value in changes.items():
                setattr(server, name, value)

        def undo() -> None:
            for server, values in zip(chosen, previous, strict=True):
                for name, value in values.items():
                    setattr(server, name, value)

        return undo

    # The world

    def _change_world(self, name: str, value: Any) -> Undo:
        """Changes an attribute of the world."""
        previous = getattr(self.world, name)
        setattr(self.world, name, value)
        return lambda: setattr(self.world, name, previous)

    def _stop_counter(self, fault: Fault) -> Undo:
        self.world.counter.up = False

        def undo() -> None:
            self.world.counter.up = True

        return undo
