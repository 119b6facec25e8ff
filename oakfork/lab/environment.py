"""Interfaces between a simulated gateway and the world around it: types only, so that modules do not import `world`."""

from dataclasses import dataclass, field
from typing import Any, Callable, Mapping, Protocol, Sequence

from oakfork import interface
from oakfork.lab.event_loop import EventLoop
from oakfork.lab.invariant_checker import InvariantChecker, WatchedRpc
from oakfork.lab.run_metrics import RunMetrics
from oakfork.lab.server_model import Job, Server
from oakfork.lab.world_config import WorldConfig


class Policy(Protocol):
    """The decision module, or a baseline in its place."""

    def handle(self, now: int, event: interface.Event) -> Sequence[interface.Command]:
        """Returns the commands that an event leads to."""
        ...


PolicyFactory = Callable[[interface.GatewaySettings, int], Policy]


@dataclass(slots=True)
class CallOut:
    """One call-out of an RPC to a server."""

    number: int
    server: Server
    sent_at: int  # tenths of a millisecond
    job: Job | None = None
    over: bool = False
    reached: bool = False


@dataclass(slots=True)
class Exchange:
    """One RPC at its gateway."""

    rpc: int
    watched: WatchedRpc
    units: float
    on_answer: Callable[[str, int], None]  # called with the answer's name and the advised wait
    index: int = -1
    over: bool = False
    call_outs: dict[int, CallOut] = field(default_factory=dict)
    sent: int = 0  # call-outs


class GatewayHost(Protocol):
    """A gateway as the world sees it."""

    number: int
    zone: int
    incarnation: int
    up: bool

    def handle(self, event: interface.Event, index: int | None = None) -> None:
        """Passes an event to the gateway's policy; `index` is the RPC that the event may end."""
        ...


class CounterService(Protocol):
    """The shared counter as a gateway sees it."""

    def call(self, gateway: Any, call: interface.AddToCounter) -> None:
        """Starts a call; the gateway gets a CounterReplied event."""
        ...


class ServerAccessService(Protocol):
    """The way from gateways to servers."""

    def deliver(self, gateway: Any, exchange: Exchange, call_out: CallOut, fresh: bool, incarnation: int) -> None:
        """Handles the arrival of a call-out's last byte at its server; `fresh` means on a new connection."""
        ...

    def probe(self, gateway: Any, index: int) -> None:
        """Sends a probe; the gateway gets a ProbeEnded event."""
        ...


class GatewayEnvironment(Protocol):
    """The world as a simulated gateway sees it."""

    config: WorldConfig
    loop: EventLoop
    checker: InvariantChecker
    metrics: RunMetrics
    policy_factory: PolicyFactory
    counter: CounterService
    server_access: ServerAccessService

    @property
    def servers(self) -> Mapping[int, Server]:
        """All servers by number."""
        ...

    def gateway_settings(self, index: int, zone: int) -> interface.GatewaySettings:
        """Settings for a gateway that starts; each call draws a new seed."""
        ...

    def distance(self, zone: int, other_zone: int) -> int:
        """One-way delay between a gateway and a server, in tenths of a millisecond."""
        ...

    def send_peer_frame(self, sender: Any, peer: int, data: bytes) -> None:
        """Sends a frame to one peer or to all."""
        ...
