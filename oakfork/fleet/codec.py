"""Frames between the gateways of a fleet, by msgspec: typed, bounded, and refused as a whole where anything is off.

Measured against `struct` on the messages of leases (experiments/fleet_codec.py): docs/fleet.md.
"""

from typing import Any, Sequence

import msgspec

from oakfork.contracts.messages import Borrow, Dealt, Demand, Lent
from oakfork.fleet.config import FleetRevision
from oakfork.leases.messages import (
    ActReply,
    ActRequest,
    Ask,
    ClockReply,
    ClockRequest,
    Grant,
    Number,
    Refusal,
    Release,
    Small,
    VoteFreed,
)

LARGEST = 1200  # bytes of a frame: under what any path carries whole
MOST = 32  # messages in one
VERSION = 1

Lease = Ask | Grant | Refusal | Release | VoteFreed | ClockRequest | ClockReply | ActRequest | ActReply


class Frame(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    version: Small
    sender: Small
    revision: Number
    digest: int
    before: int
    messages: list[Lease | Dealt | Demand | Borrow | Lent]

    @property
    def edition(self) -> FleetRevision:
        return FleetRevision(self.revision, self.digest, self.before)


_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Frame)


def pack(sender: int, edition: FleetRevision, messages: Sequence[Any]) -> bytes:
    return _encoder.encode(Frame(VERSION, sender, *edition, list(messages)))


def unpack(data: bytes) -> Frame | None:
    """The frame; None where it is too long, not ours, or not whole."""
    if len(data) > LARGEST:
        return None
    try:
        frame = _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return frame if frame.version == VERSION and len(frame.messages) <= MOST else None
