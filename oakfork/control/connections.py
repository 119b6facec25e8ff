"""Connections that carry frames (framing.py). Over trio.

Every way in which one can end has a reason, counted by who drives it. What comes is bounded by LARGEST_FRAME, what
waits to go by OUTBOX; one that doesn't take what is written, or stops in the middle of a frame, is ended. The other
end's silence between frames is the machines' to judge; that its machine is gone is seen by the kernel (GONE).
"""

import socket
from typing import Awaitable, Callable

import trio

from oakfork.control.framing import HEAD, ZIPPED, framed, unzipped
from oakfork.control.messages import LARGEST_FRAME
from oakfork.errors import AddressInUseError, ConnectionFailedError
from oakfork.sockets.configuration import Address, parse_address
from oakfork.sockets.http_connection import bind_socket
from oakfork.sockets.outcomes import Outcome

AT_ONCE = 65_536  # bytes read at once
OUTBOX = 8 * 1024 * 1024  # bytes that wait to go
PATIENCE = 2.0  # seconds for a connection
FIRST = 5.0  # for the first frame of one that came in
WHOLE = 30.0  # for the rest of a frame that has begun
TAKEN = 10.0  # for a write to be taken
LAST = 1.0  # for what is left to go when it is closed
GONE = 10_000  # milliseconds until what the other end's kernel doesn't acknowledge counts as lost

ENDED, IN_FRAME, FOREIGN, STALLED, UNTAKEN, FULL, CLOSED = (
    "ended",
    "ended in a frame",
    "not a frame of ours",
    "stalled in a frame",
    "did not take what was written",
    "too much waits to go",
    "closed here",
)
Taker = Callable[[bytes], Awaitable[None]]


class FrameConnection:
    """One connection. `ending` says why it is over."""

    def __init__(self, stream: trio.SocketStream, first: float = FIRST) -> None:
        self.stream, self.first = stream, first
        self.outbox: list[bytes] = []  # emptied by the writer; OUTBOX bytes at most
        self.waiting = 0  # bytes in it
        self.news = trio.Event()  # set when the outbox has something, or it is closed
        self.closing = False
        self.scope = trio.CancelScope()
        self.ending = ""
        prepare(stream.socket)

    def say(self, body: bytes) -> None:
        """Sends it when those before it are taken."""
        if self.closing:
            return
        frame = framed(body)
        if self.waiting + len(frame) > OUTBOX:
            self.over(FULL)
            return
        self.outbox.append(frame)
        self.waiting += len(frame)
        self.news.set()

    def close(self) -> None:
        """When what has been said is taken, or LAST has passed."""
        self.closing = True
        self.scope.deadline = min(self.scope.deadline, trio.current_time() + LAST)
        self.news.set()

    def over(self, ending: str) -> None:
        """At once."""
        self.ending = self.ending or ending
        self.closing = True
        self.scope.cancel()

    async def run(self, taker: Taker) -> str:
        """Until it is over: gives each body to `taker`, which holds up further reading as long as it takes. Returns the
        ending."""
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    self.over(await self._read(taker))
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)
            self.outbox.clear()
        self.ending = self.ending or CLOSED
        return self.ending

    async def _read(self, taker: Taker) -> str:
        buffer, patience = bytearray(), self.first
        while True:
            while len(buffer) >= HEAD:
                told = int.from_bytes(buffer[:HEAD], "big")
                size = told & ~ZIPPED
                if not 0 < size <= LARGEST_FRAME:
                    return FOREIGN
                if len(buffer) < HEAD + size:
                    break
                body = bytes(buffer[HEAD : HEAD + size])
                del buffer[: HEAD + size]
                if told & ZIPPED and (body := unzipped(body)) is None:
                    return FOREIGN
                patience = float("inf")
                await taker(body)
            if buffer and patience == float("inf"):
                patience = WHOLE
            begun = trio.current_time()
            try:
                with trio.move_on_after(max(0.0, patience)) as scope:
                    data = await self.stream.receive_some(AT_ONCE)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if scope.cancelled_caught:
                return STALLED
            if not data:
                return IN_FRAME if buffer else ENDED
            patience -= trio.current_time() - begun
            buffer += data

    async def _write(self) -> None:
        while True:
            await self.news.wait()
            self.news = trio.Event()
            while self.outbox:
                data, self.outbox = b"".join(self.outbox), []
                try:
                    with trio.move_on_after(TAKEN) as scope:
                        await self.stream.send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return self.over(ENDED)
                if scope.cancelled_caught:
                    return self.over(UNTAKEN)
                self.waiting -= len(data)
            if self.closing:
                return self.over(CLOSED)


def prepare(sock: trio.socket.SocketType) -> None:
    """Small frames go at once; a machine that is gone is noticed."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, GONE)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, GONE // 2000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 2)
    except OSError:  # it has ended already
        pass


async def connect(place: str) -> trio.SocketStream:
    """A connection to HOST:PORT; raises Break."""
    host, port = parse_address(place)
    try:
        with trio.fail_after(PATIENCE):
            return await trio.open_tcp_stream(host, port)
    except trio.TooSlowError:
        raise ConnectionFailedError(Outcome.NEVER_UP) from None
    except OSError:
        raise ConnectionFailedError(Outcome.REFUSED) from None


def listen(place: Address) -> trio.SocketListener:
    """Raises AddressInUseError."""
    sock = bind_socket(socket.SOCK_STREAM, place)
    try:
        sock.listen(512)
    except OSError as error:
        sock.close()
        raise AddressInUseError(f"{place[0]}:{place[1]}: {error}") from error
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))
