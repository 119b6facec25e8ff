"""Frames between the gateways of a fleet, by msgspec: typed, bounded, and refused as a whole if any part is malformed.

experiments/fleet_codec.py compares msgspec with `struct` on lease messages; docs/fleet.md has the result.
"""

from typing import Any, Sequence

import msgspec

from oakfork.contracts.messages import AllocationUpdate, DemandReport, LoanGrant, LoanRequest
from oakfork.fleet.config import FleetRevision
from oakfork.leases.messages import (
    ActReply,
    ActRequest,
    Ask,
    ClockReply,
    ClockRequest,
    Grant,
    Refusal,
    Release,
    UInt16,
    UInt63,
    VoteFreed,
)

LARGEST = 1200  # bytes of a frame: small enough that no path fragments it
MAX_MESSAGES = 32  # in one frame
VERSION = 1  # of the format; frames of any other are refused

LeaseMessage = Ask | Grant | Refusal | Release | VoteFreed | ClockRequest | ClockReply | ActRequest | ActReply


class Frame(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """One datagram. It is packed as an array: the order of the fields is the wire format."""

    version: UInt16
    sender: UInt16
    revision: UInt63
    digest: int
    previous_digest: int
    messages: list[LeaseMessage | AllocationUpdate | DemandReport | LoanRequest | LoanGrant]

    @property
    def edition(self) -> FleetRevision:
        """The sender's revision of the fleet file."""
        return FleetRevision(self.revision, self.digest, self.previous_digest)


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def pack(sender: int, edition: FleetRevision, messages: Sequence[Any]) -> bytes:
    """Encodes a frame; the caller keeps it within `LARGEST` and `MAX_MESSAGES`."""
    return _encoder.encode(Frame(VERSION, sender, *edition, list(messages)))


def unpack(data: bytes) -> Frame | None:
    """Decodes a frame; None if it is too long, malformed, of another version, or has too many messages."""
    if len(data) > LARGEST:
        return None
    try:
        frame = _decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None
    if frame.version != VERSION or len(frame.messages) > MAX_MESSAGES:
        return None
    return frame
