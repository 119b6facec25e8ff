"""What the socket code tells the keeper through its queue. What needs no id at the door goes as the module's event."""
from typing import Any, Mapping, NamedTuple, Sequence

import trio

from oakfork import interface as face
from oakfork.sockets.endings import Ending
from oakfork.sockets.exchange import CallOut, Exchange
from oakfork.sockets.heads import Message


class Came(NamedTuple):
    exchange: Exchange


class Left(NamedTuple):
    """The client has gone away."""
    exchange: Exchange


class CallOutOver(NamedTuple):
    exchange: Exchange
    call_out: CallOut
    ending: Ending
    message: Message | None


class Listed(NamedTuple):
    complete: bool
    failed: bool
    servers: Sequence[Mapping[str, Any]]    # as discovery words them


# None: a timer of the keeper's is due.
Told = Came | Left | CallOutOver | Listed | face.ProbeEnded | face.PeerFrame | face.CounterAnswered | None


async def tell(queue: trio.MemorySendChannel[Told], told: Told) -> None:
    """Sends without a checkpoint where there is room."""
    try:
        queue.send_nowait(told)
    except trio.WouldBlock:
        await queue.send(told)
