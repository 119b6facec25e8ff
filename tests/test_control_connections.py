"""One connection that carries frames: each way in which it ends, and what goes by zlib."""

import random
import socket
import zlib

import pytest
import trio
import trio.testing

from oakfork.control import connections
from oakfork.control.connections import FrameConnection, framed

WAIT = 25  # seconds; nothing waits so long unless it is broken


def ending_of(act, monkeypatch, **bounds):
    """How a link ends whose other end acts so, and what it took."""
    for name, value in bounds.items():
        monkeypatch.setattr(connections, name, value)
    taken = []

    async def take(body):
        taken.append(body)

    async def main():
        ours, theirs = socket.socketpair()
        link = FrameConnection(
            trio.SocketStream(trio.socket.from_stdlib_socket(ours)), bounds.get("FIRST", connections.FIRST)
        )
        async with trio.SocketStream(trio.socket.from_stdlib_socket(theirs)) as other, trio.open_nursery() as nursery:
            nursery.start_soon(act, link, other)
            with trio.fail_after(WAIT):
                ending = await link.run(take)
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        return ending

    return trio.run(main), taken


def sends(*parts):
    async def act(link, other):
        for part in parts:
            await other.send_all(part)
        await other.send_eof()

    return act


async def waits(link, other):
    await other.send_all(framed(b"one") + b"\0\0")
    await trio.sleep_forever()


NOISE = random.Random(1).randbytes(4_000_000)


async def never_reads(link, other):
    link.say(NOISE)
    await trio.sleep_forever()


async def too_much(link, other):
    for _ in range(40):
        link.say(NOISE[:256_000])
    await trio.sleep_forever()


async def closes(link, other):
    link.say(b"last")
    link.close()
    assert await other.receive_some() == framed(b"last")


def zipped(data):
    return (len(data) | connections.ZIPPED).to_bytes(4, "big") + data


LONG = b"word" * 50_000


@pytest.mark.parametrize(
    "act, bounds, ending, taken",
    [
        (sends(framed(b"one") + framed(b"two")[:2], framed(b"two")[2:]), {}, connections.ENDED, [b"one", b"two"]),
        (sends(framed(b"one") + b"\0\0\0\5abc"), {}, connections.IN_FRAME, [b"one"]),
        (sends(), {}, connections.ENDED, []),
        (sends(b"\0\0\0\0"), {}, connections.FOREIGN, []),
        (sends(b"\xff\xff\xff\xff"), {}, connections.FOREIGN, []),
        (waits, {"WHOLE": 0.02}, connections.STALLED, [b"one"]),
        (lambda *_: trio.sleep_forever(), {"FIRST": 0.02}, connections.STALLED, []),
        (sends(framed(LONG), framed(NOISE[:200_000])), {}, connections.ENDED, [LONG, NOISE[:200_000]]),
        (
            sends(zipped(zlib.compress(bytes(connections.LARGEST_FRAME)))),
            {},
            connections.ENDED,
            [bytes(connections.LARGEST_FRAME)],
        ),
        (sends(zipped(zlib.compress(bytes(connections.LARGEST_FRAME + 1)))), {}, connections.FOREIGN, []),
        (sends(zipped(zlib.compress(bytes(10_000_000)))), {}, connections.FOREIGN, []),
        (sends(zipped(zlib.compress(LONG)[:-1])), {}, connections.FOREIGN, []),
        (sends(zipped(zlib.compress(LONG) + b"more")), {}, connections.FOREIGN, []),
        (sends(zipped(b"not by zlib")), {}, connections.FOREIGN, []),
        (sends(zipped(b"")), {}, connections.FOREIGN, []),
        (never_reads, {"TAKEN": 0.02}, connections.UNTAKEN, []),
        (too_much, {}, connections.FULL, []),
        (closes, {}, connections.CLOSED, []),
    ],
)
def test_every_way_in_which_one_ends_has_its_name(monkeypatch, act, bounds, ending, taken):
    assert ending_of(act, monkeypatch, **bounds) == (ending, taken)


def test_only_what_gets_shorter_goes_by_zlib():
    assert framed(b"x" * 10) == b"\0\0\0\x0a" + b"x" * 10
    assert len(framed(LONG)) < len(LONG) // 50 and framed(LONG)[0] & 0x80
    assert framed(NOISE[:1000]) == b"\0\0\x03\xe8" + NOISE[:1000]
