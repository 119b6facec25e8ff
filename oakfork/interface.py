"""What goes into the decision module and what comes out of it: types only, no decision.

Times are whole tenths of a millisecond on the gateway's own clock. RPCs and servers are small indices given
out at the door; an RPC's index is used again once it is answered and all its call-outs have ended.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

SECOND = 10_000  # tenths of a millisecond


class RepeatSafety(IntEnum):
    """Whether a method may run again."""

    IDEMPOTENT = 0
    DEDUPLICATED = 1
    NON_IDEMPOTENT = 2


class Status(IntEnum):
    """How a call-out ended."""

    OK = 0
    NEVER_STARTED = 249
    CANCELLED = 250
    RESET = 251
    CONNECT_FAILED = 252
    TIMED_OUT = 253
    FULL = 254
    ERROR = 255


NEVER_RAN = frozenset((Status.NEVER_STARTED, Status.CONNECT_FAILED, Status.FULL))


class ServerState(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class Method:
    soft_deadline: int
    deadline: int
    repeat: RepeatSafety
    group: str  # "all", "zone" or "cell": the servers that drop a repeat
    deduplication_time: int  # for how long they drop it
    utility: float
    late_utility: float
    streamed: bool


@dataclass(frozen=True, slots=True)
class Plan:
    rate: float  # units a second; 0: no such quota
    burst: float
    concurrency: int  # call-outs out at once; 0: no such quota
    ceiling_rate: float  # units a second; 0: no ceiling
    ceiling_burst: float
    ceiling_slack: float
    price: float
    beyond_utility: float
    beyond_cost: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All that a gateway is told when it starts."""

    seed: int
    index: int
    gateways: int
    zone: int
    methods: tuple[Method, ...]
    plans: tuple[Plan, ...]
    peer_frames_per_s: float
    max_units: float
    reports_true_units: bool
    peers: bool
    cancel: bool
    second_copies: bool
    retry_after: bool
    probing: bool
    max_call_outs: int
    subscribes_to_list: bool  # changes of the server list come only after a subscription
    list_timeout: int
    load_report_names: tuple[str, ...]
    load_report_mode: str
    drain_grace: int
    cold_share: float
    cold_time: int
    fall_multiple: float
    fall_time: int
    probe_price: float = 0.0  # of one probe for each RPC, as a part of all utility
    connection_price: float = 0.0  # of one new connection for each RPC, likewise
    idle_timeout: int = 0  # connections to servers last for so long unused; 0: not known


# Events


class ServerEntry(NamedTuple):
    server: int
    global_id: int  # the same at every gateway
    zone: int
    cell: int
    state: ServerState
    up_since: int  # 0: long ago
    weight: float


class ServerList(NamedTuple):
    complete: bool
    failed: bool
    entries: tuple[ServerEntry, ...]


class RpcArrived(NamedTuple):
    rpc: int
    customer: int  # the true id
    method: int
    plan: int
    units: float
    first_gateway: int
    spread: int
    time_left: int
    repeated: bool
    reserved: bool = False  # inside capacity that a contract reserves


class StreamStarted(NamedTuple):
    rpc: int
    call_out: int


class CallOutEnded(NamedTuple):
    rpc: int
    call_out: int
    server: int
    elapsed: int
    status: Status
    final: bool
    true_units: float
    load: tuple[float, ...]


class ClientDisconnected(NamedTuple):
    rpc: int


class TimerFired(NamedTuple):
    token: int


class ProbeEnded(NamedTuple):
    server: int
    status: Status
    elapsed: int
    load: tuple[float, ...]


class PeerFrame(NamedTuple):
    sender: int
    data: bytes


class CounterReplied(NamedTuple):
    status: Status
    total: float
    name: int


Event = (
    ServerList
    | RpcArrived
    | StreamStarted
    | CallOutEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | PeerFrame
    | CounterReplied
)


# Commands


class SendCallOut(NamedTuple):
    rpc: int
    server: int
    until: int  # on the clock; 0: until the client gives up
    write_deadline: int = 0  # on the clock: if its last byte is not written then, it is never sent; 0: any time


class PushBack(NamedTuple):
    rpc: int
    retry_after: int


class Abort(NamedTuple):
    rpc: int


class CancelCallOut(NamedTuple):
    rpc: int
    call_out: int


class CancelIfUnsent(NamedTuple):
    """Has a call-out never begin if its first byte is not written yet; it ends as moot. One that has begun goes on."""

    rpc: int
    call_out: int


class SetTimer(NamedTuple):
    token: int
    after: int


class ProbeServer(NamedTuple):
    server: int


class SendPeerFrame(NamedTuple):
    peer: int
    data: bytes


class SubscribeToList(NamedTuple):
    on: bool = True


class ReadServerList(NamedTuple):
    pass


class CloseIdleConnections(NamedTuple):
    """Closes the idle connections to a server."""

    server: int


class ForgetServer(NamedTuple):
    """The server is gone and nothing is known of it any more: its index may be used for another."""

    server: int


class AddToCounter(NamedTuple):
    """Adds to a number that the counter service keeps."""

    name: int
    amount: float
    ttl: int  # if the name is new


class WriteLog(NamedTuple):
    text: str


Command = (
    SendCallOut
    | PushBack
    | Abort
    | CancelCallOut
    | CancelIfUnsent
    | SetTimer
    | ProbeServer
    | SendPeerFrame
    | SubscribeToList
    | ReadServerList
    | CloseIdleConnections
    | ForgetServer
    | AddToCounter
    | WriteLog
)
