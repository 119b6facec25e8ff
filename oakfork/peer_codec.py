"""Packing of the messages between gateways: items coalesced into frames of at most 256 bytes.

A frame: version (an older gateway drops those of 3) and whether the sender knew the receiver in an earlier life,
the sender's life, the life it believes the receiver to be in (0: unknown), the frame's number, the sender's clock
in milliseconds; then items of a fixed length a kind. No decision is taken here.
"""

import struct
from collections import deque
from typing import Iterable, NamedTuple

LARGEST = 256
OLDEST, VERSION, AGAIN = 2, 3, 0x80  # frames with readings are of version 3, others of either
HEADER = struct.Struct("<BHHHH")
UNIT = 16  # units travel in sixteenths
PAUSE = 100  # waits travel in hundredths of a second (of tenths of a millisecond)


class Ask(NamedTuple):
    serial: int
    customer: int
    plan: int
    units: float


class Answer(NamedTuple):
    serial: int
    wait: int  # 0: yes; otherwise the time until the deficit is filled


class Return(NamedTuple):
    customer: int
    plan: int
    units: float  # below 0 where the true units were more


class Release(NamedTuple):
    serial: int
    customer: int


class Reading(NamedTuple):
    mark: int  # of a server
    seen: int
    age: int


class Frame(NamedTuple):
    version: int
    life: int
    to_life: int
    number: int
    clock: int
    again: bool  # the sender knew the receiver in an earlier life
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
    if isinstance(item, Ask):
        kind, values = (
            ASK,
            (
                item.serial,
                item.customer & 0xFFFFFFFF,
                item.customer >> 32,
                item.plan,
                min(0xFFFF, max(0, round(item.units * UNIT))),
            ),
        )
    elif isinstance(item, Answer):
        kind, values = ANSWER, (item.serial, min(0xFFFF, -(-item.wait // PAUSE)))
    elif isinstance(item, Return):
        kind, values = (
            RETURN,
            (
                item.customer & 0xFFFFFFFF,
                item.customer >> 32,
                item.plan,
                min(0x7FFF, max(-0x7FFF, round(item.units * UNIT))),
            ),
        )
    elif isinstance(item, Reading):
        kind, values = READING, (item.mark, min(0xFFFF, max(0, item.seen)), min(0xFF, max(0, item.age) // PAUSE))
    else:
        kind, values = RELEASE, (item.serial, item.customer & 0xFFFFFFFF, item.customer >> 32)
    return bytes((kind,)) + LAYOUT[kind].pack(*values)


def pack(
    life: int, to_life: int, number: int, clock: int, packed: list[bytes], again: bool = False, version: int = OLDEST
) -> bytes:
    return HEADER.pack(version | AGAIN * again, life, to_life, number, clock & 0xFFFF) + b"".join(packed)


def fill(queue: deque[bytes], more: Iterable[bytes] = ()) -> list[bytes]:
    """Takes from the queue what one frame holds, and what there is room for besides."""
    packed, size = [], HEADER.size
    while queue and size + len(queue[0]) <= LARGEST:
        size += len(queue[0])
        packed.append(queue.popleft())
    for item in more:
        if not queue and size + len(item) <= LARGEST:
            size += len(item)
            packed.append(item)
    return packed


class Window:
    """Tells doubled frames by their numbers, of which the 64 before the latest are remembered, and late ones by their
    clocks."""

    def __init__(self) -> None:
        self.latest: int | None = None
        self.seen = 0
        self.skew: int | None = None  # the least difference of clocks seen: a frame without delay

    def fresh(self, number: int) -> bool:
        if self.latest is None:
            self.latest = number
            return True
        ahead = (number - self.latest + 0x8000 & 0xFFFF) - 0x8000
        if ahead > 0:
            self.seen, self.latest = (self.seen << ahead | 1 << ahead - 1) & (1 << 64) - 1, number
            return True
        if not -64 <= ahead < 0:
            return False
        bit = 1 << -ahead - 1
        fresh = not self.seen & bit
        self.seen |= bit
        return fresh

    def delay(self, now: int, clock: int) -> int:
        """Milliseconds by which a frame is later than the quickest so far; both clocks in milliseconds, of 16 bits."""
        late = (now - clock) & 0xFFFF
        if self.skew is None or (late - self.skew + 0x8000 & 0xFFFF) < 0x8000:
            self.skew = late
        return late - self.skew & 0xFFFF


def unpack(data: bytes) -> Frame | None:
    """The frame, or None where it is truncated, too long or not ours."""
    if not HEADER.size <= len(data) <= LARGEST or not OLDEST <= data[0] & ~AGAIN <= VERSION:
        return None
    version, life, to_life, number, clock = HEADER.unpack_from(data)
    items: list[Item] = []
    at = HEADER.size
    while at < len(data):
        layout = LAYOUT.get(data[at])
        if layout is None or at + 1 + layout.size > len(data) or data[at] == READING and version & ~AGAIN < VERSION:
            return None
        kind, values = data[at], layout.unpack_from(data, at + 1)
        at += 1 + layout.size
        if kind == ASK:
            serial, low, high, plan, units = values
            items.append(Ask(serial, low | high << 32, plan, units / UNIT))
        elif kind == ANSWER:
            items.append(Answer(values[0], values[1] * PAUSE))
        elif kind == RETURN:
            low, high, plan, units = values
            items.append(Return(low | high << 32, plan, units / UNIT))
        elif kind == READING:
            items.append(Reading(values[0], values[1], values[2] * PAUSE))
        else:
            items.append(Release(values[0], values[1] | values[2] << 32))
    return Frame(version & ~AGAIN, life, to_life, number, clock, version & AGAIN > 0, tuple(items))
