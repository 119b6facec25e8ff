"""Simulated shared counter that the central-bucket policy calls."""

from oakfork import interface
from oakfork.interface import Status
from oakfork.lab.environment import GatewayEnvironment, GatewayHost
from oakfork.lab.event_loop import EventKind


class CounterModel:
    """Adds to totals by name. A call takes half of the configured round trip each way; totals expire."""

    def __init__(self, world: GatewayEnvironment) -> None:
        """Starts available, with no totals."""
        self.world = world
        self.up = True
        self.totals: dict[int, float] = {}  # one for each name that has not expired
        self.expires_at: dict[int, int] = {}  # tenths of a millisecond, by name

    def call(self, gateway: GatewayHost, call: interface.AddToCounter) -> None:
        """Starts a call, which times out if the counter is down when it is sent."""
        config, loop = self.world.config.counter, self.world.loop
        self.world.metrics.add("counter calls", loop.now)
        incarnation = gateway.incarnation
        if self.up:
            loop.after(config.round_trip // 2, EventKind.SERVER, self._add, gateway, call, incarnation)
            return
        loop.after(config.timeout, EventKind.ENDING, self._reply, gateway, call, Status.TIMED_OUT, 0.0, incarnation)

    def _add(self, gateway: GatewayHost, call: interface.AddToCounter, incarnation: int) -> None:
        now = self.world.loop.now
        if self.expires_at.get(call.name, 0) <= now:
            for name in [name for name, until in self.expires_at.items() if until <= now]:
                del self.expires_at[name]
                del self.totals[name]
            self.expires_at[call.name] = now + call.ttl
            self.totals[call.name] = 0.0
        self.totals[call.name] += call.amount
        round_trip = self.world.config.counter.round_trip
        delay = round_trip - round_trip // 2
        total = self.totals[call.name]
        self.world.loop.after(delay, EventKind.ENDING, self._reply, gateway, call, Status.OK, total, incarnation)

    def _reply(
        self, gateway: GatewayHost, call: interface.AddToCounter, status: Status, total: float, incarnation: int
    ) -> None:
        if gateway.up and gateway.incarnation == incarnation:
            gateway.handle(interface.CounterReplied(status, total, call.name))
