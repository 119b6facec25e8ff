"""Encodes and decodes the simulator's wire. Only this file knows its names and codes; no decision is taken here.

A batch is a header (length, clock in milliseconds, number of records) and that many records: a code, a fixed part, and
for some codes a counted tail. Functions that encode a record are named as the wire names it.
"""

import json
import struct
from typing import BinaryIO, Callable, Iterator, NamedTuple

from oakfork.errors import SimulatorProtocolError
from oakfork.interface import GatewaySettings
from oakfork.settings import read_settings, tenths

BATCH_HEADER = struct.Struct("<IdI")
REPLY_HEADER = struct.Struct("<I")
ENTRY = struct.Struct("<BH6sHBdf")
U32, U64 = struct.Struct("<I"), struct.Struct("<Q")
MAX_CLOCK = 1e15  # milliseconds
MAX_TEXT = 0xFFFF  # bytes

DISCOVERY, CONTEXT, ACCEPT, LAUNCH, COUNTER_REPLY, EXPIRED, ENDED = 10, 20, 30, 40, 50, 60, 70
EXIT, CHECK_RESULT, ESTABLISHED, MESSAGE, MANIFEST, TIMEOUT_FIRED = 80, 90, 100, 110, 120, 130

# The fixed part of each event. Where a counted tail follows it, the count is the last value.
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
    """One event on the wire: its code, the values of its fixed part, and its tail."""

    code: int
    values: tuple
    tail: bytes


def read_batch(stream: BinaryIO) -> tuple[int, list[Record]] | None:
    """The next batch: its clock in tenths of a millisecond and its records; None at the end of input between batches.

    Raises SimulatorProtocolError where the input is truncated or malformed.
    """
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise SimulatorProtocolError(f"truncated header: {len(header)} of {BATCH_HEADER.size} bytes")
    length, clock, count = BATCH_HEADER.unpack(header)
    body = stream.read(length)
    if len(body) < length:
        raise SimulatorProtocolError(f"truncated frame: {len(body)} of {length} bytes")
    is_number = clock == clock  # false for NaN alone
    if not is_number or abs(clock) > MAX_CLOCK:
        raise SimulatorProtocolError(f"malformed frame: the clock is {clock}")
    return tenths(clock), list(_records(body, count))


def _records(body: bytes, count: int) -> Iterator[Record]:
    at = 0
    for number in range(count):
        if at >= len(body):
            raise SimulatorProtocolError(f"malformed frame: record {number} of {count} is missing at byte {at}")
        code = body[at]
        if code not in EVENTS:
            raise SimulatorProtocolError(f"malformed frame: unknown event code {code} at byte {at}")
        name, layout = EVENTS[code]
        end = at + 1 + layout.size
        if end > len(body):
            raise SimulatorProtocolError(f"malformed frame: {name} at byte {at} runs past the end")
        values = layout.unpack_from(body, at + 1)
        tail_length = values[-1] * COUNTED[code] if code in COUNTED else 0
        if end + tail_length > len(body):
            raise SimulatorProtocolError(f"malformed frame: the tail of {name} at byte {at} runs past the end")
        yield Record(code, values, body[end : end + tail_length])
        at = end + tail_length
    if at != len(body):
        raise SimulatorProtocolError(f"malformed frame: {len(body) - at} bytes left over at byte {at}")


def floats(tail: bytes) -> tuple[float, ...]:
    """The tail of a record as 32-bit floats."""
    return struct.unpack(f"<{len(tail) // 4}f", tail)


def parse_settings(seed: int, text: bytes) -> GatewaySettings:
    """The settings in the tail of a Launch record; SimulatorProtocolError where they can't be used."""
    try:
        return read_settings(seed, json.loads(text))
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise SimulatorProtocolError(f"malformed frame: boot-info is not usable: {error!r}") from error


def _encoder(code: int, layout: str) -> Callable[..., bytes]:
    packer = struct.Struct("<B" + layout)
    return lambda *values: packer.pack(code, *values)


by = _encoder(20, "I")  # the instance that the records after it come from
read_list = _encoder(10, "")
tail = _encoder(50, "B")  # subscribes to the server list
check = _encoder(30, "6s")  # probes a server
disconnect = _encoder(40, "6s")  # closes idle connections
enter = _encoder(130, "Qfd")  # adds to a counter
transmit = _encoder(70, "Q6sd")  # sends a call-out
deny = _encoder(80, "Qd")  # pushes back
abort = _encoder(90, "Q")
retract = _encoder(120, "QH")  # cancels a call-out
remind = _encoder(100, "Qd")  # sets a timer
_signal = _encoder(140, "HH")
_note_down = _encoder(60, "H")
_bail_out = _encoder(110, "H")


def signal(peer: int, data: bytes) -> bytes:
    """Sends a frame to another gateway."""
    return _signal(peer, len(data)) + data


def _with_text(encoder: Callable[..., bytes], text: str) -> bytes:
    data = text.encode()[:MAX_TEXT]
    return encoder(len(data)) + data


def note_down(text: str) -> bytes:
    """Writes a line to the log; longer texts are cut to 65,535 bytes."""
    return _with_text(_note_down, text)


def bail_out(text: str) -> bytes:
    """Reports the failure of an instance; longer texts are cut to 65,535 bytes."""
    return _with_text(_bail_out, text)


def reply(body: bytes) -> bytes:
    """The reply to a batch, with its length in front."""
    return REPLY_HEADER.pack(len(body)) + body
