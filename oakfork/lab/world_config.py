"""Configuration of a simulated world, as an experiment file describes it: types only.

Times and durations are tenths of a millisecond unless a name or comment says otherwise.
"""

from dataclasses import dataclass, field

from oakfork.interface import RepeatSafety


@dataclass(frozen=True, slots=True)
class MethodConfig:
    """One method of the API: its work, deadlines and repeat safety."""

    name: str
    share: float  # weight among the methods
    work: float  # mean, on one core
    spread: str  # distribution of work: exponential, fixed or lognormal
    soft_deadline: int
    deadline: int
    repeat: RepeatSafety
    group: str  # servers that recognize a repeat: all, zone or cell
    deduplication_time: int
    utility: float
    late_utility: float  # fraction of the utility left between the soft deadline and the deadline


@dataclass(frozen=True, slots=True)
class PlanConfig:
    """One plan, and the customers that have it."""

    name: str
    customers: int
    rate: float  # units per second inside the quota; 0: no quota
    burst: float  # units
    ceiling_rate: float  # units per second; 0: no ceiling
    ceiling_burst: float  # units
    ceiling_slack: float  # units
    demand: float  # what a customer asks for, as a fraction of its rate (of one per second without a quota)
    greedy: float  # fraction of customers that ask for `greed` times as much
    greed: float
    gateways: int  # gateways through which a customer's RPCs come
    price: float  # factor on utility
    beyond_cost: float  # fraction of its utility that an RPC beyond the quota costs


@dataclass(frozen=True, slots=True)
class ServerConfig:
    """What every server can do."""

    count: int
    cores: int
    queue_length: int  # beyond the cores; further work is rejected
    connections: int  # at most, in all
    cold_share: float  # fraction of its capacity that a server has when it starts
    cold_time: int  # until a server is warm
    fall_multiple: float  # a cold server fails when it is sent more than this multiple of its capacity
    fall_time: int  # window over which that work is summed
    cells: int


@dataclass(frozen=True, slots=True)
class ClientConfig:
    """How clients retry and choose gateways."""

    retries: int
    retry_delay: int
    honors_retry_after: bool  # waits for the retry-after where that is longer
    unevenness: float  # 0: a customer's RPCs are spread evenly over its gateways; 1: strongly unevenly


@dataclass(frozen=True, slots=True)
class LinkConfig:
    """Delays and losses between clients, gateways and servers."""

    client_delay: int  # one way
    server_delay: int  # one way
    peer_delay: int  # mean, one way: half of it is fixed, the rest exponential
    zone_delay: int  # added between zones
    peer_loss: float  # fraction of frames
    peer_frames_per_s: float  # that a gateway accepts
    handshake_time: int  # of a new connection
    idle_timeout: int  # lifetime of an unused connection
    connect_timeout: int  # timeout for a new connection


@dataclass(frozen=True, slots=True)
class DiscoveryConfig:
    """How soon changes of the server list and failed gateways are noticed."""

    list_delay: int  # mean delay of a list; each gateway has its own
    notice_time: int  # until clients stop using a gateway that is down


@dataclass(frozen=True, slots=True)
class CounterConfig:
    """The shared counter of the central-bucket policy."""

    round_trip: int
    timeout: int


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault to inject between two times from the start of the run."""

    kind: str
    at: int
    until: int
    share: float = 0.0  # fraction of the gateways or servers
    size: float = 0.0  # magnitude; its unit depends on the kind
    zone: int = 0


@dataclass(frozen=True, slots=True)
class WorldConfig:
    """Everything that a run of the simulation needs besides the policy and the seed."""

    seconds: int  # simulated time in which clients send RPCs
    gateways: int
    zones: int
    load: float  # demand inside the quotas as a fraction of the servers' capacity; 0: as each plan's demand says
    drain_grace: int
    answer_grace: int
    probing: bool
    second_copies: bool
    retry_after: bool
    max_call_outs: int
    probe_price: float  # probes per RPC
    connection_price: float  # new connections per RPC
    methods: tuple[MethodConfig, ...]
    plans: tuple[PlanConfig, ...]
    servers: ServerConfig
    clients: ClientConfig
    links: LinkConfig
    discovery: DiscoveryConfig
    counter: CounterConfig
    faults: tuple[Fault, ...] = field(default=())
