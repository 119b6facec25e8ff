"""msgspec against struct for the messages of leases: bytes of a frame, time to pack and unpack it. Seven plays each."""

import struct
import timeit
from functools import partial

from oakfork.fleet import codec
from oakfork.fleet.config import FleetRevision
from oakfork.leases.messages import Ask, Grant

EDITION = FleetRevision(3, 0x1234567890ABCDEF, 0xFEDCBA0987654321)
HEAD, ASK, GRANT = struct.Struct("<BHIQQB"), struct.Struct("<BHHQQQI"), struct.Struct("<BHHQQQ")
CASES = {"ask": Ask(1, 2, 1 << 61, 1_796_000_000_000, 12, 30_000), "grant": Grant(1, 2, 1 << 61, 1_796_000_000_000, 12)}


def packed(message: Ask | Grant) -> bytes:
    head = HEAD.pack(1, 2, *EDITION, 1)
    if isinstance(message, Ask):
        return head + ASK.pack(
            1, message.task, message.gateway, message.life, message.term, message.round, message.length
        )
    return head + GRANT.pack(2, message.task, message.voter, message.life, message.term, message.round)


def unpacked(data: bytes) -> Ask | Grant | None:
    version, _, *edition, _ = HEAD.unpack_from(data)
    if version != 1:
        return None
    layout, kind = (ASK, Ask) if data[HEAD.size] == 1 else (GRANT, Grant)
    return kind(*layout.unpack_from(data, HEAD.size)[1:])


def microseconds(work) -> str:
    times = sorted(time / 20_000 * 1e6 for time in timeit.repeat(work, number=20_000, repeat=7))
    return f"{times[3]:.2f} ({times[0]:.2f} to {times[-1]:.2f})"


def main() -> None:
    for name, message in CASES.items():
        ours, plain = codec.pack(2, EDITION, [message]), packed(message)
        assert codec.unpack(ours).messages == [message] == [unpacked(plain)]
        print(
            f"{name}: msgspec {len(ours)} bytes, pack {microseconds(partial(codec.pack, 2, EDITION, [message]))} us, "
            f"unpack {microseconds(partial(codec.unpack, ours))} us; struct {len(plain)} bytes, "
            f"pack {microseconds(partial(packed, message))} us, unpack {microseconds(partial(unpacked, plain))} us"
        )


if __name__ == "__main__":
    main()
