"""Frames as they go over the wire: four bytes of length, big-endian, then a body of messages.pack. Pure.

The topmost bit of the length says that the body goes by zlib, as it does where that makes it shorter and it is not
small (experiments/control_codec.py has the bytes). A body is LARGEST_FRAME bytes at most, before and after.
"""

import zlib
from functools import lru_cache

from oakfork.control.messages import LARGEST_FRAME

HEAD = 4  # bytes of a frame's length
ZIPPED = 1 << 31  # in it
SMALL = 256  # bytes; smaller ones go as they are
FRAMED = 320  # zipped bodies kept for all who are sent the same, as many as ranges and some; the oldest go


@lru_cache(FRAMED)
def _zipped(body: bytes) -> bytes:
    data = zlib.compress(body)
    return (len(data) | ZIPPED).to_bytes(HEAD, "big") + data if len(data) < len(body) else _plain(body)


def _plain(body: bytes) -> bytes:
    return len(body).to_bytes(HEAD, "big") + body


def framed(body: bytes) -> bytes:
    """As it goes over the wire."""
    return _plain(body) if len(body) < SMALL else _zipped(body)


def unzipped(data: bytes) -> bytes | None:
    """None where that is not whole, or more than a frame holds: no more than that is ever unpacked."""
    work = zlib.decompressobj()
    try:
        body = work.decompress(data, LARGEST_FRAME + 1)
    except zlib.error:
        return None
    return body if work.eof and not work.unused_data and len(body) <= LARGEST_FRAME else None
