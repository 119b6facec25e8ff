"""msgspec against struct for the messages of leases: bytes of a frame, and microseconds to encode and decode it.

    python experiments/fleet_codec.py

Prints the median and the range of seven repetitions.
"""

import struct
import timeit
from collections.abc import Callable
from functools import partial

from oakfork.fleet import codec
from oakfork.fleet.config import FleetRevision
from oakfork.leases.messages import Ask, Grant

REVISION = FleetRevision(3, 0x1234567890ABCDEF, 0xFEDCBA0987654321)
HEADER = struct.Struct("<BHIQQB")
ASK = struct.Struct("<BHHQQQI")
GRANT = struct.Struct("<BHHQQQ")
CASES = {"ask": Ask(1, 2, 1 << 61, 1_796_000_000_000, 12, 30_000), "grant": Grant(1, 2, 1 << 61, 1_796_000_000_000, 12)}
CALLS = 20_000
REPETITIONS = 7


def encode_struct(message: Ask | Grant) -> bytes:
    """A frame with one message, in a fixed layout."""
    header = HEADER.pack(1, 2, *REVISION, 1)
    if isinstance(message, Ask):
        return header + ASK.pack(
            1, message.task, message.gateway, message.life, message.term, message.round, message.length
        )
    return header + GRANT.pack(2, message.task, message.voter, message.life, message.term, message.round)


def decode_struct(data: bytes) -> Ask | Grant | None:
    """The message of a frame; None for an unknown version."""
    version, _, *_revision, _ = HEADER.unpack_from(data)
    if version != 1:
        return None
    layout, message_type = (ASK, Ask) if data[HEADER.size] == 1 else (GRANT, Grant)
    return message_type(*layout.unpack_from(data, HEADER.size)[1:])


def microseconds(call: Callable[[], object]) -> str:
    """Time per call: the median, and the range in brackets."""
    times = sorted(time / CALLS * 1e6 for time in timeit.repeat(call, number=CALLS, repeat=REPETITIONS))
    return f"{times[REPETITIONS // 2]:.2f} ({times[0]:.2f} to {times[-1]:.2f})"


def main() -> None:
    """Prints one line for each message."""
    for name, message in CASES.items():
        msgspec_frame = codec.pack(2, REVISION, [message])
        struct_frame = encode_struct(message)
        assert codec.unpack(msgspec_frame).messages == [message] == [decode_struct(struct_frame)]
        print(
            f"{name}: msgspec {len(msgspec_frame)} bytes, "
            f"pack {microseconds(partial(codec.pack, 2, REVISION, [message]))} us, "
            f"unpack {microseconds(partial(codec.unpack, msgspec_frame))} us; "
            f"struct {len(struct_frame)} bytes, "
            f"pack {microseconds(partial(encode_struct, message))} us, "
            f"unpack {microseconds(partial(decode_struct, struct_frame))} us"
        )


if __name__ == "__main__":
    main()
