"""The types that go into the decision module (events) and come out of it (commands); no decision is taken here.

Times are whole tenths of a millisecond on the gateway's own clock. RPCs and servers are named by small indices that
the host gives out (`oakfork.index_table`). The index of an RPC is used again once the RPC is answered and all its
call-outs have ended; the index of a server once the module has sent `ForgetServer`.
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
    """How a call-out, a probe or a call to the counter service ended; the values are those of the simulator's wire."""

    OK = 0
    NEVER_STARTED = 249
    CANCELLED = 250
    RESET = 251
    CONNECT_FAILED = 252
    TIMED_OUT = 253
    FULL = 254
    ERROR = 255


# After these the call-out is known not to have run at the server.
NEVER_RAN = frozenset((Status.NEVER_STARTED, Status.CONNECT_FAILED, Status.FULL))


class ServerState(IntEnum):
    """What the server list says of a server; only one that is ready may get call-outs."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class Method:
    """A method of the API: its deadlines, whether it may run again, and what an answer is worth."""

    soft_deadline: int
    deadline: int
    repeat: RepeatSafety
    group: str  # "all", "zone" or "cell": the servers that recognise a repeated RPC and drop it
    deduplication_time: int  # how long they recognise it
    utility: float
    late_utility: float
    streamed: bool


@dataclass(frozen=True, slots=True)
class Plan:
    """The quotas of a customer's plan, and what RPCs are worth under it."""

    rate: float  # units a second; 0: no such quota
    burst: float  # units
    concurrency: int  # open call-outs; 0: no such quota
    ceiling_rate: float  # units a second; 0: no ceiling
    ceiling_burst: float  # units
    ceiling_slack: float  # units
    price: float
    beyond_utility: float
    beyond_cost: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """All settings that a gateway gets when it starts."""

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
    connection_price: float = 0.0  # of one new connection for each RPC, as a part of all utility
    max_customers: int = 1 << 16  # whose buckets are kept in one table
    idle_timeout: int = 0  # how long an unused connection to a server stays open; 0: not known


# Events


class ServerEntry(NamedTuple):
    """One server of a server list."""

    server: int
    global_id: int  # the same at every gateway
    zone: int
    cell: int
    state: ServerState
    up_since: int  # 0: long ago
    weight: float


class ServerList(NamedTuple):
    """A complete server list, a change of it, or the failure of a call for it."""

    complete: bool
    failed: bool
    entries: tuple[ServerEntry, ...]


class RpcArrived(NamedTuple):
    """A client has sent an RPC."""

    rpc: int
    customer: int  # the id that all gateways know the customer by, not a local index
    method: int
    plan: int
    units: float
    first_gateway: int  # the customer's gateways are `spread` successive ones from here
    spread: int
    time_left: int  # until the client's deadline
    repeated: bool
    reserved: bool = False  # inside capacity that a contract reserves
    may_have_run: bool = False  # an earlier RPC with this id is over, and has run or may run yet


class StreamStarted(NamedTuple):
    """A streamed answer has begun: its RPC stays with this call-out."""

    rpc: int
    call_out: int


class CallOutEnded(NamedTuple):
    """A call-out has ended."""

    rpc: int
    call_out: int
    server: int
    elapsed: int
    status: Status
    final: bool  # the RPC has its final answer with this
    true_units: float  # what the RPC turned out to cost; 0: not reported
    load: tuple[float, ...]


class ClientDisconnected(NamedTuple):
    """The client of an RPC has gone, or its deadline has passed."""

    rpc: int


class TimerFired(NamedTuple):
    """A timer that `SetTimer` set has run out."""

    token: int


class ProbeEnded(NamedTuple):
    """A probe of a server has ended."""

    server: int
    status: Status
    elapsed: int
    load: tuple[float, ...]


class PeerFrame(NamedTuple):
    """A frame from another gateway has come in; `oakfork.peer_codec` reads it."""

    sender: int
    data: bytes


class CounterReplied(NamedTuple):
    """The counter service has replied to `AddToCounter`, or the call has failed."""

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
    """Sends an RPC to a server. The call-outs of an RPC are numbered from 0 in the order in which they are sent."""

    rpc: int
    server: int
    until: int  # on the clock; 0: until the client gives up
    write_deadline: int = 0  # on the clock: never sent if its last byte is not written by then; 0: no such bound


class PushBack(NamedTuple):
    """Answers an RPC with a pushback: a further try is harmless."""

    rpc: int
    retry_after: int


class Abort(NamedTuple):
    """Answers an RPC with an abort, which promises nothing about a further try."""

    rpc: int


class CancelCallOut(NamedTuple):
    """Cancels a call-out, whether it has begun or not."""

    rpc: int
    call_out: int


class CancelIfUnsent(NamedTuple):
    """Cancels a call-out whose first byte is not written yet; it ends as NEVER_STARTED. One that has begun goes on."""

    rpc: int
    call_out: int


class SetTimer(NamedTuple):
    """Asks for `TimerFired` with this token after a time above 0."""

    token: int
    after: int


class ProbeServer(NamedTuple):
    """Sends a probe to a server."""

    server: int


class SendPeerFrame(NamedTuple):
    """Sends a frame to another gateway."""

    peer: int
    data: bytes


class SubscribeToList(NamedTuple):
    """Subscribes to changes of the server list, or ends the subscription."""

    on: bool = True


class ReadServerList(NamedTuple):
    """Asks discovery for the complete server list once."""


class CloseIdleConnections(NamedTuple):
    """Closes the idle connections to a server."""

    server: int


class ForgetServer(NamedTuple):
    """The server is gone and the module has no state of it any more: its index may be used for another server."""

    server: int


class AddToCounter(NamedTuple):
    """Adds to a number that the counter service keeps."""

    name: int
    amount: float
    ttl: int  # of the number, if its name is new


class WriteLog(NamedTuple):
    """Writes a line to the log."""

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
