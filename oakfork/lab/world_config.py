"""What a world is made of, as an experiment file describes it: types only. Times are tenths of a millisecond."""

from dataclasses import dataclass, field

from oakfork.interface import RepeatSafety


@dataclass(frozen=True, slots=True)
class MethodConfig:
    name: str
    share: float
    work: float  # mean, of one core
    spread: str  # how work is distributed: exponential, fixed or lognormal
    soft_deadline: int
    deadline: int
    repeat: RepeatSafety
    group: str
    deduplication_time: int
    utility: float
    late_utility: float


@dataclass(frozen=True, slots=True)
class PlanConfig:
    name: str
    customers: int
    rate: float  # units a second inside the quota; 0: no quota
    burst: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float
    demand: float  # what a customer asks for, as a part of its rate (of one a second without a quota)
    greedy: float  # the share of customers that ask for `greed` times as much
    greed: float
    gateways: int  # that a customer's RPCs come through
    price: float
    beyond_cost: float


@dataclass(frozen=True, slots=True)
class ServerConfig:
    count: int
    cores: int
    waiting: int  # what waits beyond the cores; more is turned away
    connections: int  # that it holds in all
    cold_share: float
    cold_time: int
    fall_multiple: float
    fall_time: int
    cells: int


@dataclass(frozen=True, slots=True)
class ClientConfig:
    retries: int
    wait: int
    heeds_advice: bool  # waits for the retry-after where that is longer
    uneven: float  # 0: a customer's RPCs come evenly through its gateways; 1: strongly uneven


@dataclass(frozen=True, slots=True)
class LinkConfig:
    client: int  # one way
    server: int
    peer: int  # mean; exponential above half of it
    zone: int  # beside those, between zones
    peer_loss: float
    peer_frames_per_s: float
    handshake: int  # a new connection takes so long
    idle: int  # and lasts for so long unused
    connect_patience: int


@dataclass(frozen=True, slots=True)
class DiscoveryConfig:
    late: int  # mean; each gateway is told at its own time
    notice: int  # after which clients no longer come to a gateway that is down


@dataclass(frozen=True, slots=True)
class CounterConfig:
    takes: int  # for a call, one way and back
    patience: int


@dataclass(frozen=True, slots=True)
class Fault:
    kind: str
    at: int
    until: int
    share: float = 0.0
    size: float = 0.0
    zone: int = 0


@dataclass(frozen=True, slots=True)
class WorldConfig:
    seconds: int
    gateways: int
    zones: int
    load: float  # of the servers' capacity by what is asked for inside the quotas; 0: as demand says
    drain_grace: int
    answer_grace: int
    probing: bool
    second_copies: bool
    retry_after: bool
    max_call_outs: int
    probe_price: float
    connection_price: float
    methods: tuple[MethodConfig, ...]
    plans: tuple[PlanConfig, ...]
    servers: ServerConfig
    clients: ClientConfig
    links: LinkConfig
    discovery: DiscoveryConfig
    counter: CounterConfig
    faults: tuple[Fault, ...] = field(default=())
