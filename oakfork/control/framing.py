"""The wire format of frames: four bytes of length, big-endian, then a body of messages.pack. No I/O.

The topmost bit of the length marks a body that is compressed with zlib, which is done if the body isn't small and gets
shorter by it (experiments/control_codec.py has the sizes). A body has LARGEST_FRAME bytes at most, before and after
compression.
"""

import zlib
from functools import lru_cache

from oakfork.control.messages import LARGEST_FRAME

HEADER_BYTES = 4  # of a frame's length
COMPRESSED = 1 << 31  # bit in the length
MIN_COMPRESSED_BYTES = 256  # smaller bodies are sent uncompressed
# Compressed frames cached for followers that receive the same body: one for each range, and some more.
CACHED_FRAMES = 320


@lru_cache(CACHED_FRAMES)
def _compressed_frame(body: bytes) -> bytes:
    data = zlib.compress(body)
    if len(data) >= len(body):
        return _plain_frame(body)
    return (len(data) | COMPRESSED).to_bytes(HEADER_BYTES, "big") + data


def _plain_frame(body: bytes) -> bytes:
    return len(body).to_bytes(HEADER_BYTES, "big") + body


def framed(body: bytes) -> bytes:
    """A frame as it is sent: the length and the body, compressed if that is shorter."""
    if len(body) < MIN_COMPRESSED_BYTES:
        return _plain_frame(body)
    return _compressed_frame(body)


def decompressed(data: bytes) -> bytes | None:
    """Decompresses a body; None if the data is malformed or decompresses to more than LARGEST_FRAME bytes.

    Never decompresses more than a frame may hold.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, LARGEST_FRAME + 1)
    except zlib.error:
        return None
    complete = decompressor.eof and not decompressor.unused_data
    return body if complete and len(body) <= LARGEST_FRAME else None
