"""What the gateways of the model see of its world: types only, so that no part of the model needs to know the whole."""

from dataclasses import dataclass, field
from typing import Any, Callable, Mapping, Protocol, Sequence

from oakfork import interface
from oakfork.lab.event_loop import EventLoop
from oakfork.lab.invariant_checker import InvariantChecker, WatchedRpc
from oakfork.lab.run_metrics import RunMetrics
from oakfork.lab.server_model import Job, Server
from oakfork.lab.world_config import WorldConfig


class Policy(Protocol):
    """What decides: the decision module, or a baseline in its place."""

    def handle(self, now: int, event: interface.Event) -> Sequence[interface.Command]: ...


PolicyFactory = Callable[[interface.GatewaySettings, int], Policy]


@dataclass(slots=True)
class CallOut:
    number: int
    server: Server
    sent_at: int
    job: Job | None = None
    over: bool = False
    reached: bool = False


@dataclass(slots=True)
class Exchange:
    """One RPC at its gateway."""

    rpc: int
    watched: WatchedRpc
    units: float
    answered: Callable[[str, int], None]  # called with the answer's word and the advice
    index: int = -1
    over: bool = False
    call_outs: dict[int, CallOut] = field(default_factory=dict)
    sent: int = 0


class GatewayHost(Protocol):
    """A gateway as the world sees it."""

    number: int
    zone: int
    life: int
    up: bool

    def handle(self, event: interface.Event, index: int | None = None) -> None: ...


class CounterService(Protocol):
    def call(self, gateway: Any, call: interface.AddToCounter) -> None: ...


class GatewayEnvironment(Protocol):
    """The world as a gateway of the model sees it."""

    plan: WorldConfig
    loop: EventLoop
    checker: InvariantChecker
    metrics: RunMetrics
    decide: PolicyFactory
    counter: CounterService

    @property
    def servers(self) -> Mapping[int, Server]: ...
    def gateway_settings(self, index: int, zone: int) -> interface.GatewaySettings: ...
    def distance(self, one: int, other: int) -> int: ...
    def frame(self, sender: Any, peer: int, data: bytes) -> None: ...
    def reach(self, gateway: Any, exchange: Exchange, call_out: CallOut, fresh: bool, life: int) -> None: ...
    def probe(self, gateway: Any, index: int) -> None: ...
