"""Messages that the network tasks send to the decision loop through its queue.

Events of the decision module that name no RPC or server by an index are queued as they are.
"""

from typing import Any, Mapping, NamedTuple, Sequence

import trio

from oakfork import interface
from oakfork.sockets.exchange import CallOut, Exchange
from oakfork.sockets.http_connection import HttpMessage
from oakfork.sockets.outcomes import Outcome


class RpcReceived(NamedTuple):
    """A client sent a complete RPC."""

    exchange: Exchange


class ClientLeft(NamedTuple):
    """No connection waits for the answer of an RPC any more."""

    exchange: Exchange


class CallOutFinished(NamedTuple):
    """A call-out ended; `message` is the server's answer if it was received completely."""

    exchange: Exchange
    call_out: CallOut
    outcome: Outcome
    message: HttpMessage | None


class ServersListed(NamedTuple):
    """Servers or changes of servers, in the format of discovery; `failed` if a list that was asked for did not come."""

    complete: bool
    failed: bool
    servers: Sequence[Mapping[str, Any]]


# None: a timer of the decision loop is due.
LoopEvent = (
    RpcReceived
    | ClientLeft
    | CallOutFinished
    | ServersListed
    | interface.ProbeEnded
    | interface.PeerFrame
    | interface.CounterReplied
    | None
)


# Queue length from which on datagrams are dropped, as a network may drop them.
MAX_QUEUED_DATAGRAMS = 1024


def enqueue(queue: trio.MemorySendChannel[LoopEvent], message: LoopEvent) -> None:
    """Queues a message at once, in the order of the calls.

    Guards against messages that come late or out of order: a task that waited for room in the queue could be overtaken
    (ClientLeft before RpcReceived, so that an RPC was sent on for a client that had left) or cancelled (a list whose
    version counted as read was never queued). The queue is therefore unbounded. Its length is bounded by the senders:
    one RPC for each connection, one end for each call-out or probe, one list for each call, and the decision loop runs
    after each of their turns. Only datagrams have no such bound; they go through `enqueue_datagram`.
    """
    queue.send_nowait(message)


def enqueue_datagram(queue: trio.MemorySendChannel[LoopEvent], frame: interface.PeerFrame) -> None:
    """Queues a frame of a peer, or drops it if the queue holds MAX_QUEUED_DATAGRAMS messages already."""
    if queue.statistics().current_buffer_used < MAX_QUEUED_DATAGRAMS:
        queue.send_nowait(frame)
