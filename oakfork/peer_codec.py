"""Encodes and decodes the messages between gateways: items, coalesced into frames of at most 256 bytes.

A frame has a header and items of a fixed length for each kind. The header holds:

- one byte with the version (gateways that understand no version 3 drop such frames) and, as its highest bit, whether
  the sender knew an earlier life of the receiver;
- the sender's life and the life it believes the receiver to be in (0: unknown). A life is a number that a gateway
  draws at each start, so that its peers notice a restart;
- the frame's number and the sender's clock in milliseconds, both of 16 bits.

No decision is taken here.
"""

import struct
from collections import deque
from typing import Iterable, NamedTuple

LARGEST = 256  # bytes in a frame
OLDEST, VERSION = 2, 3  # frames with readings are of version 3, others of either
KNEW_RECEIVER_FLAG = 0x80  # of the version byte
HEADER = struct.Struct("<BHHHH")
UNITS_SCALE = 16  # units are sent in sixteenths
WAIT_STEP = 100  # tenths of a millisecond: waits and ages are sent in hundredths of a second
WINDOW_SIZE = 64  # frames before the latest that a ReceiveWindow remembers


class Ask(NamedTuple):
    """Asks the owner of a customer to take units from the customer's bucket."""

    serial: int
    customer: int
    plan: int
    units: float


class Answer(NamedTuple):
    """The owner's answer to an ask."""

    serial: int
    wait: int  # tenths of a millisecond until the units could be granted; 0: granted


class Return(NamedTuple):
    """Gives units back to the owner's bucket, or takes them from it."""

    customer: int
    plan: int
    units: float  # below 0 where more was spent than the owner granted


class Release(NamedTuple):
    """Tells the owner that the call-out granted under a serial is no longer open."""

    serial: int
    customer: int


class Reading(NamedTuple):
    """What the sender's last probe of a server showed."""

    server_hash: int
    pressure: int  # tenths of a millisecond that the probe took beyond the quickest of its zone
    age: int  # tenths of a millisecond since the probe


class Frame(NamedTuple):
    """A decoded frame."""

    version: int
    life: int
    to_life: int
    number: int
    clock: int  # milliseconds, 16 bits
    knew_receiver: bool  # the sender knew the receiver in an earlier life
    items: tuple


Item = Ask | Answer | Return | Release | Reading
ASK, ANSWER, RETURN, RELEASE, READING = 1, 2, 3, 4, 5
LAYOUT = {
    ASK: struct.Struct("<HIBHH"),
    ANSWER: struct.Struct("<HH"),
    RETURN: struct.Struct("<IBHh"),
    RELEASE: struct.Struct("<HIB"),
    READING: struct.Struct("<IHB"),
}


def pack_item(item: Item) -> bytes:
    """An item in bytes: its kind, then its values. Values beyond what their field holds are clamped."""
    if isinstance(item, Ask):
        kind = ASK
        units = min(0xFFFF, max(0, round(item.units * UNITS_SCALE)))
        values = (item.serial, item.customer & 0xFFFFFFFF, item.customer >> 32, item.plan, units)
    elif isinstance(item, Answer):
        kind = ANSWER
        values = (item.serial, min(0xFFFF, -(-item.wait // WAIT_STEP)))  # rounded up
    elif isinstance(item, Return):
        kind = RETURN
        units = min(0x7FFF, max(-0x7FFF, round(item.units * UNITS_SCALE)))
        values = (item.customer & 0xFFFFFFFF, item.customer >> 32, item.plan, units)
    elif isinstance(item, Reading):
        kind = READING
        pressure = min(0xFFFF, max(0, item.pressure))
        values = (item.server_hash, pressure, min(0xFF, max(0, item.age) // WAIT_STEP))
    else:
        kind = RELEASE
        values = (item.serial, item.customer & 0xFFFFFFFF, item.customer >> 32)
    return bytes((kind,)) + LAYOUT[kind].pack(*values)


def pack(
    life: int,
    to_life: int,
    number: int,
    clock: int,
    packed: list[bytes],
    knew_receiver: bool = False,
    version: int = OLDEST,
) -> bytes:
    """A frame of packed items; `clock` is in milliseconds, of which 16 bits are sent."""
    version_byte = version | KNEW_RECEIVER_FLAG * knew_receiver
    return HEADER.pack(version_byte, life, to_life, number, clock & 0xFFFF) + b"".join(packed)


def fill_frame(queue: deque[bytes], optional: Iterable[bytes] = ()) -> list[bytes]:
    """Takes from the queue what one frame holds; if that empties it, adds the optional items for which room is left."""
    packed = []
    size = HEADER.size
    while queue and size + len(queue[0]) <= LARGEST:
        size += len(queue[0])
        packed.append(queue.popleft())
    for item in optional:
        if not queue and size + len(item) <= LARGEST:
            size += len(item)
            packed.append(item)
    return packed


class ReceiveWindow:
    """Detects repeated frames of a peer by their numbers and delayed ones by their clocks.

    It remembers which of the 64 numbers before the latest have come in; an older frame counts as repeated.
    """

    def __init__(self) -> None:
        self.latest: int | None = None
        self.received_bits = 0  # bit n: the frame numbered n + 1 below the latest has come in
        self.least_difference: int | None = None  # of the clocks: that of a frame without delay

    def accept(self, number: int) -> bool:
        """Whether a frame's number is new; it is remembered."""
        if self.latest is None:
            self.latest = number
            return True
        ahead = ((number - self.latest + 0x8000) & 0xFFFF) - 0x8000  # numbers wrap around
        if ahead > 0:
            shifted = (self.received_bits << ahead) | (1 << (ahead - 1))
            self.received_bits = shifted & ((1 << WINDOW_SIZE) - 1)
            self.latest = number
            return True
        if not -WINDOW_SIZE <= ahead < 0:
            return False
        bit = 1 << (-ahead - 1)
        is_new = not self.received_bits & bit
        self.received_bits |= bit
        return is_new

    def delay(self, now: int, clock: int) -> int:
        """Milliseconds by which a frame is later than the quickest so far; both clocks in milliseconds, of 16 bits."""
        difference = (now - clock) & 0xFFFF
        if self.least_difference is None or ((difference - self.least_difference + 0x8000) & 0xFFFF) < 0x8000:
            self.least_difference = difference
        return (difference - self.least_difference) & 0xFFFF


def unpack(data: bytes) -> Frame | None:
    """The frame, or None where it is truncated, too long, of another version or has an unknown kind of item."""
    if not HEADER.size <= len(data) <= LARGEST:
        return None
    if not OLDEST <= data[0] & ~KNEW_RECEIVER_FLAG <= VERSION:
        return None
    version_byte, life, to_life, number, clock = HEADER.unpack_from(data)
    version = version_byte & ~KNEW_RECEIVER_FLAG
    items: list[Item] = []
    at = HEADER.size
    while at < len(data):
        kind = data[at]
        layout = LAYOUT.get(kind)
        if layout is None or at + 1 + layout.size > len(data):
            return None
        if kind == READING and version < VERSION:
            return None
        items.append(_item(kind, layout.unpack_from(data, at + 1)))
        at += 1 + layout.size
    return Frame(version, life, to_life, number, clock, version_byte & KNEW_RECEIVER_FLAG > 0, tuple(items))


def _item(kind: int, values: tuple) -> Item:
    if kind == ASK:
        serial, low, high, plan, units = values
        return Ask(serial, low | high << 32, plan, units / UNITS_SCALE)
    if kind == ANSWER:
        serial, wait = values
        return Answer(serial, wait * WAIT_STEP)
    if kind == RETURN:
        low, high, plan, units = values
        return Return(low | high << 32, plan, units / UNITS_SCALE)
    if kind == READING:
        server_hash, pressure, age = values
        return Reading(server_hash, pressure, age * WAIT_STEP)
    serial, low, high = values
    return Release(serial, low | high << 32)
