"""What a gateway has learnt of one server."""

from dataclasses import dataclass, field

from oakfork import interface
from oakfork.interface import SECOND

UNLIMITED = 1e9  # above any number of call-outs and any latency


@dataclass(slots=True)
class Server:
    """What this gateway has learnt of a server since the server's last start; dropped once it is gone.

    Times are on the gateway's clock, in tenths of a millisecond.
    """

    entry: interface.ServerEntry
    open_call_outs: dict[tuple[int, int], int] = field(default_factory=dict)  # (RPC, call-out) -> time sent
    last_answer_at: int = 0
    relative_latency: float = 1.0  # against the method's mean
    method_blocked_until: dict[int, int] = field(default_factory=dict)  # methods that failed there
    limit: float = UNLIMITED  # open call-outs of this gateway, learnt from late answers and refusals
    failure_rate: float = 0.0  # of recent call-outs
    recovery_limit: int = 0  # open call-outs of this gateway after an ejection; 0: recovered
    ejected_until: int = 0
    full_until: int = 0  # it refused a call-out for lack of room
    known_since: int = 0  # when this gateway learnt of this process
    last_sent_at: int = 0  # the last call-out to it; for a cold server, at first a random time
    server_hash: int = 0  # names it to other gateways, whose indices differ; of its id, as ids may be similar
    in_subset: bool = False  # one of those that this gateway keeps to
    pressure: int = 0  # how long the last probe took there beyond the quickest of its zone
    probed_at: int = -SECOND  # when that probe ended, here or at another gateway
    position: int = 0  # its place in Servers.all: kept when it starts anew
