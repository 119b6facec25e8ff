"""What the socket code tells the keeper through its queue. What needs no id at the door goes as the module's event."""

from typing import Any, Mapping, NamedTuple, Sequence

import trio

from oakfork import interface
from oakfork.sockets.exchange import CallOut, Exchange
from oakfork.sockets.http_connection import HttpMessage
from oakfork.sockets.outcomes import Outcome


class RpcReceived(NamedTuple):
    exchange: Exchange


class ClientLeft(NamedTuple):
    """The client has gone away."""

    exchange: Exchange


class CallOutFinished(NamedTuple):
    exchange: Exchange
    call_out: CallOut
    outcome: Outcome
    message: HttpMessage | None


class ServersListed(NamedTuple):
    complete: bool
    failed: bool
    servers: Sequence[Mapping[str, Any]]  # as discovery words them


# None: a timer of the keeper's is due.
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


# Datagrams that the keeper has not yet taken; more are lost, as datagrams may be.
MAX_QUEUED_DATAGRAMS = 1024


def enqueue(queue: trio.MemorySendChannel[LoopEvent], told: LoopEvent) -> None:
    """Sends at once, in the order of the calls. Guards against what is told late or out of order: a task that waited
    for room could be overtaken (ClientLeft before RpcReceived, and an RPC went on for a client that had gone) or
    cancelled (a list whose version counted as read was never told). The queue so takes any number, and its length is
    bounded by who tells: one RPC a connection, one end a call-out or probe, one list a call, and the decision loop has
    its turn after each turn of theirs. Datagrams, which nothing else bounds, are told by enqueue_datagram."""
    queue.send_nowait(told)


def enqueue_datagram(queue: trio.MemorySendChannel[LoopEvent], told: interface.PeerFrame) -> None:
    if queue.statistics().current_buffer_used < MAX_QUEUED_DATAGRAMS:
        queue.send_nowait(told)
