"""FrameConnection: each way in which one ends, and which frames are compressed."""

import random
import socket
import zlib

import pytest
import trio
import trio.testing

from oakfork.control import connections
from oakfork.control.connections import FrameConnection, framed

TIMEOUT = 25  # seconds; nothing takes so long unless it is broken


def run_connection(act, monkeypatch, **constants):
    """The reason for the end of a connection, and the bodies received, if `act` plays the other end.

    `constants` replace constants of the connections module.
    """
    for name, value in constants.items():
        monkeypatch.setattr(connections, name, value)
    received = []

    async def handle_body(body):
        received.append(body)

    async def main():
        ours, theirs = socket.socketpair()
        connection = FrameConnection(
            trio.SocketStream(trio.socket.from_stdlib_socket(ours)),
            constants.get("FIRST_FRAME_TIMEOUT", connections.FIRST_FRAME_TIMEOUT),
        )
        async with trio.SocketStream(trio.socket.from_stdlib_socket(theirs)) as other, trio.open_nursery() as nursery:
            nursery.start_soon(act, connection, other)
            with trio.fail_after(TIMEOUT):
                ending = await connection.run(handle_body)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        return ending

    return trio.run(main), received


def sends(*parts):
    """The other end sends some bytes, each part by itself, and then no more."""

    async def act(connection, other):
        for part in parts:
            await other.send_all(part)
        await other.send_eof()

    return act


async def stalls_in_a_frame(connection, other):
    """The other end sends a frame and half of the next one's length."""
    await other.send_all(framed(b"one") + b"\0\0")
    await trio.sleep_forever()


NOISE = random.Random(1).randbytes(4_000_000)


async def never_reads(connection, other):
    """The other end reads nothing of what is sent to it."""
    connection.send(NOISE)
    await trio.sleep_forever()


async def queues_too_much(connection, other):
    """This end queues more than the bound."""
    for _ in range(40):
        connection.send(NOISE[:256_000])
    await trio.sleep_forever()


async def closes(connection, other):
    """This end closes after a last frame, which the other end receives."""
    connection.send(b"last")
    connection.close()
    assert await other.receive_some() == framed(b"last")


def compressed_frame(data):
    """A frame that is marked as compressed, with any bytes for its body."""
    return (len(data) | connections.COMPRESSED).to_bytes(4, "big") + data


LONG = b"word" * 50_000


@pytest.mark.parametrize(
    "act, constants, ending, bodies",
    [
        (sends(framed(b"one") + framed(b"two")[:2], framed(b"two")[2:]), {}, connections.ENDED, [b"one", b"two"]),
        (sends(framed(b"one") + b"\0\0\0\5abc"), {}, connections.IN_FRAME, [b"one"]),
        (sends(), {}, connections.ENDED, []),
        (sends(b"\0\0\0\0"), {}, connections.FOREIGN, []),
        (sends(b"\xff\xff\xff\xff"), {}, connections.FOREIGN, []),
        (stalls_in_a_frame, {"FRAME_TIMEOUT": 0.02}, connections.STALLED, [b"one"]),
        (lambda *_: trio.sleep_forever(), {"FIRST_FRAME_TIMEOUT": 0.02}, connections.STALLED, []),
        (sends(framed(LONG), framed(NOISE[:200_000])), {}, connections.ENDED, [LONG, NOISE[:200_000]]),
        (
            sends(compressed_frame(zlib.compress(bytes(connections.LARGEST_FRAME)))),
            {},
            connections.ENDED,
            [bytes(connections.LARGEST_FRAME)],
        ),
        (sends(compressed_frame(zlib.compress(bytes(connections.LARGEST_FRAME + 1)))), {}, connections.FOREIGN, []),
        (sends(compressed_frame(zlib.compress(bytes(10_000_000)))), {}, connections.FOREIGN, []),
        (sends(compressed_frame(zlib.compress(LONG)[:-1])), {}, connections.FOREIGN, []),
        (sends(compressed_frame(zlib.compress(LONG) + b"more")), {}, connections.FOREIGN, []),
        (sends(compressed_frame(b"not by zlib")), {}, connections.FOREIGN, []),
        (sends(compressed_frame(b"")), {}, connections.FOREIGN, []),
        (never_reads, {"WRITE_TIMEOUT": 0.02}, connections.UNTAKEN, []),
        (queues_too_much, {}, connections.FULL, []),
        (closes, {}, connections.CLOSED, []),
    ],
)
def test_each_way_to_end_has_its_reason(monkeypatch, act, constants, ending, bodies):
    """A connection receives all valid frames before its end, and names the reason for it."""
    assert run_connection(act, monkeypatch, **constants) == (ending, bodies)


def test_only_bodies_that_get_shorter_are_compressed():
    """Small and incompressible bodies are sent as they are."""
    assert framed(b"x" * 10) == b"\0\0\0\x0a" + b"x" * 10
    assert len(framed(LONG)) < len(LONG) // 50 and framed(LONG)[0] & 0x80
    assert framed(NOISE[:1000]) == b"\0\0\x03\xe8" + NOISE[:1000]
