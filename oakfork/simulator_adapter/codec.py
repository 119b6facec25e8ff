"""The simulator's wire in bytes. The only file that knows its names and codes; no decision is taken here."""

import json
import struct
from typing import BinaryIO, Iterator, NamedTuple

from oakfork.errors import SimulatorProtocolError
from oakfork.interface import GatewaySettings
from oakfork.settings import read_settings, tenths

BATCH_HEADER = struct.Struct("<IdI")
REPLY_HEADER = struct.Struct("<I")
ENTRY = struct.Struct("<BH6sHBdf")
U32, U64 = struct.Struct("<I"), struct.Struct("<Q")

DISCOVERY, CONTEXT, ACCEPT, LAUNCH, COUNTER_REPLY, EXPIRED, ENDED = 10, 20, 30, 40, 50, 60, 70
EXIT, CHECK_RESULT, ESTABLISHED, MESSAGE, MANIFEST, TIMEOUT_FIRED = 80, 90, 100, 110, 120, 130

# The fixed part of each event; what follows it is a counted field, whose count is the last value.
EVENTS = {
    DISCOVERY: ("Discovery", struct.Struct("<BII")),
    CONTEXT: ("Context", U32),
    ACCEPT: ("Accept", struct.Struct("<QQBfdfHHf")),
    LAUNCH: ("Launch", struct.Struct("<QI")),
    COUNTER_REPLY: ("CounterReply", struct.Struct("<BfQd")),
    EXPIRED: ("Expired", U64),
    ENDED: ("Ended", struct.Struct("<QH6sdHBBHB")),
    EXIT: ("Exit", struct.Struct("<")),
    CHECK_RESULT: ("CheckResult", struct.Struct("<6sBdB")),
    ESTABLISHED: ("Established", struct.Struct("<Qd6sH")),
    MESSAGE: ("Message", struct.Struct("<HH")),
    MANIFEST: ("Manifest", struct.Struct("<II")),
    TIMEOUT_FIRED: ("TimeoutFired", U64),
}
COUNTED = {LAUNCH: 1, ENDED: 4, CHECK_RESULT: 4, MESSAGE: 1, MANIFEST: ENTRY.size}  # bytes of one element


class Record(NamedTuple):
    code: int
    values: tuple
    tail: bytes


def read_batch(stream: BinaryIO) -> tuple[int, list[Record]] | None:
    """The next batch: its clock and records; None at the end of input between frames."""
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise SimulatorProtocolError(f"truncated header: {len(header)} of {BATCH_HEADER.size} bytes")
    length, clock, count = BATCH_HEADER.unpack(header)
    body = stream.read(length)
    if len(body) < length:
        raise SimulatorProtocolError(f"truncated frame: {len(body)} of {length} bytes")
    if clock != clock or abs(clock) > 1e15:
        raise SimulatorProtocolError(f"malformed frame: the clock is {clock}")
    return tenths(clock), list(_records(body, count))


def _records(body: bytes, count: int) -> Iterator[Record]:
    at = 0
    for number in range(count):
        if at >= len(body):
            raise SimulatorProtocolError(f"malformed frame: record {number} of {count} missing at byte {at}")
        code = body[at]
        if code not in EVENTS:
            raise SimulatorProtocolError(f"malformed frame: unknown event code {code} at byte {at}")
        name, layout = EVENTS[code]
        end = at + 1 + layout.size
        if end > len(body):
            raise SimulatorProtocolError(f"malformed frame: {name} at byte {at} runs past the end")
        values = layout.unpack_from(body, at + 1)
        extra = values[-1] * COUNTED[code] if code in COUNTED else 0
        if end + extra > len(body):
            raise SimulatorProtocolError(f"malformed frame: {name} at byte {at} runs past the end")
        yield Record(code, values, body[end : end + extra])
        at = end + extra
    if at != len(body):
        raise SimulatorProtocolError(f"malformed frame: {len(body) - at} bytes left over at byte {at}")


def floats(tail: bytes) -> tuple[float, ...]:
    return struct.unpack(f"<{len(tail) // 4}f", tail)


def parse_settings(seed: int, text: bytes) -> GatewaySettings:
    """The settings in the project's words; unknown keys are ignored, missing ones take a harmless value."""
    try:
        return read_settings(seed, json.loads(text))
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise SimulatorProtocolError(f"malformed frame: boot-info is not usable: {error!r}") from error


def _action(code: int, layout: str):
    packer = struct.Struct("<B" + layout)
    return lambda *values: packer.pack(code, *values)


by = _action(20, "I")
read_list = _action(10, "")
tail = _action(50, "B")
check = _action(30, "6s")
disconnect = _action(40, "6s")
enter = _action(130, "Qfd")
transmit = _action(70, "Q6sd")
deny = _action(80, "Qd")
abort = _action(90, "Q")
retract = _action(120, "QH")
remind = _action(100, "Qd")
_signal = _action(140, "HH")
_note_down = _action(60, "H")
_bail_out = _action(110, "H")


def signal(peer: int, data: bytes) -> bytes:
    return _signal(peer, len(data)) + data


def _said(packer, text: str) -> bytes:
    data = text.encode()[:0xFFFF]
    return packer(len(data)) + data


def note_down(text: str) -> bytes:
    return _said(_note_down, text)


def bail_out(text: str) -> bytes:
    return _said(_bail_out, text)


def reply(body: bytes) -> bytes:
    return REPLY_HEADER.pack(len(body)) + body
