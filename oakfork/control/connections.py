"""Connections that carry frames (framing.py). Over trio.

Each way in which a connection can end has a reason, which the driver counts. Incoming frames are bounded by
LARGEST_FRAME, queued ones by MAX_QUEUED_BYTES. A connection whose peer doesn't read what is written, or stops in the
middle of a frame, is ended. Silence between frames is left to the state machines; the kernel detects a peer host that
is gone (PEER_TIMEOUT_MS).
"""

import socket
from typing import Awaitable, Callable

import trio

from oakfork.control.framing import COMPRESSED, HEADER_BYTES, decompressed, framed
from oakfork.control.messages import LARGEST_FRAME
from oakfork.errors import AddressInUseError, ConnectionFailedError
from oakfork.sockets.configuration import Address, parse_address
from oakfork.sockets.http_connection import bind_socket
from oakfork.sockets.outcomes import Outcome

READ_SIZE = 65_536  # bytes
MAX_QUEUED_BYTES = 8 * 1024 * 1024  # waiting to be written
LISTEN_BACKLOG = 512  # connections
CONNECT_TIMEOUT = 2.0  # seconds to establish a connection
FIRST_FRAME_TIMEOUT = 5.0  # seconds for the first frame of an incoming connection
FRAME_TIMEOUT = 30.0  # seconds for the rest of a frame that has begun
WRITE_TIMEOUT = 10.0  # seconds for a write to be accepted
CLOSE_TIMEOUT = 1.0  # seconds to write what is still queued on closing
PEER_TIMEOUT_MS = 10_000  # milliseconds without acknowledgement by the peer's kernel
KEEPALIVE_IDLE = PEER_TIMEOUT_MS // 2000  # seconds: half of that timeout
KEEPALIVE_INTERVAL = 2  # seconds

# Reasons for the end of a connection
ENDED = "ended"
IN_FRAME = "ended in a frame"
FOREIGN = "not a frame of ours"
STALLED = "stalled in a frame"
UNTAKEN = "did not take what was written"
FULL = "too much waits to go"
CLOSED = "closed here"

BodyHandler = Callable[[bytes], Awaitable[None]]


class FrameConnection:
    """One connection that carries frames. `ending` is the reason for its end."""

    def __init__(self, stream: trio.SocketStream, first_frame_timeout: float = FIRST_FRAME_TIMEOUT) -> None:
        self.stream = stream
        self.first_frame_timeout = first_frame_timeout
        self.queued: list[bytes] = []  # frames, emptied by the writer
        self.queued_bytes = 0  # MAX_QUEUED_BYTES at most
        self.has_work = trio.Event()  # set if frames are queued or the connection is closing
        self.closing = False
        self.scope = trio.CancelScope()
        self.ending = ""
        prepare(stream.socket)

    def send(self, body: bytes) -> None:
        """Queues a frame; ends the connection if too much is queued already. Does nothing once closing."""
        if self.closing:
            return
        frame = framed(body)
        if self.queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            self.abort(FULL)
            return
        self.queued.append(frame)
        self.queued_bytes += len(frame)
        self.has_work.set()

    def close(self) -> None:
        """Ends the connection once what is queued has been written, or after CLOSE_TIMEOUT."""
        self.closing = True
        self.scope.deadline = min(self.scope.deadline, trio.current_time() + CLOSE_TIMEOUT)
        self.has_work.set()

    def abort(self, ending: str) -> None:
        """Ends the connection at once; the first reason given is kept."""
        self.ending = self.ending or ending
        self.closing = True
        self.scope.cancel()

    async def run(self, handle_body: BodyHandler) -> str:
        """Reads and writes until the connection ends, and returns the reason.

        Each body is passed to `handle_body`; reading pauses until that returns.
        """
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    self.abort(await self._read(handle_body))
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)
            self.queued.clear()
        self.ending = self.ending or CLOSED
        return self.ending

    async def _read(self, handle_body: BodyHandler) -> str:
        buffer = bytearray()
        time_left = self.first_frame_timeout  # seconds, infinite between later frames
        while True:
            while len(buffer) >= HEADER_BYTES:
                header = int.from_bytes(buffer[:HEADER_BYTES], "big")
                size = header & ~COMPRESSED
                if not 0 < size <= LARGEST_FRAME:
                    return FOREIGN
                if len(buffer) < HEADER_BYTES + size:
                    break
                body = bytes(buffer[HEADER_BYTES : HEADER_BYTES + size])
                del buffer[: HEADER_BYTES + size]
                if header & COMPRESSED:
                    body = decompressed(body)
                    if body is None:
                        return FOREIGN
                time_left = float("inf")
                await handle_body(body)
            if buffer and time_left == float("inf"):
                time_left = FRAME_TIMEOUT
            begun_at = trio.current_time()
            try:
                with trio.move_on_after(max(0.0, time_left)) as scope:
                    data = await self.stream.receive_some(READ_SIZE)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if scope.cancelled_caught:
                return STALLED
            if not data:
                return IN_FRAME if buffer else ENDED
            time_left -= trio.current_time() - begun_at
            buffer += data

    async def _write(self) -> None:
        while True:
            await self.has_work.wait()
            self.has_work = trio.Event()
            while self.queued:
                data = b"".join(self.queued)
                self.queued = []
                try:
                    with trio.move_on_after(WRITE_TIMEOUT) as scope:
                        await self.stream.send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    self.abort(ENDED)
                    return
                if scope.cancelled_caught:
                    self.abort(UNTAKEN)
                    return
                self.queued_bytes -= len(data)
            if self.closing:
                self.abort(CLOSED)
                return


def prepare(sock: trio.socket.SocketType) -> None:
    """Sets a socket to send small frames at once and to detect a peer host that is gone."""
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, PEER_TIMEOUT_MS)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    except OSError:  # the connection has ended already
        pass


async def connect(address: str) -> trio.SocketStream:
    """Opens a connection to HOST:PORT; raises ConnectionFailedError."""
    host, port = parse_address(address)
    try:
        with trio.fail_after(CONNECT_TIMEOUT):
            return await trio.open_tcp_stream(host, port)
    except trio.TooSlowError:
        raise ConnectionFailedError(Outcome.NEVER_UP) from None
    except OSError:
        raise ConnectionFailedError(Outcome.REFUSED) from None


def listen(address: Address) -> trio.SocketListener:
    """Listens at an address; raises AddressInUseError."""
    sock = bind_socket(socket.SOCK_STREAM, address)
    try:
        sock.listen(LISTEN_BACKLOG)
    except OSError as error:
        sock.close()
        raise AddressInUseError(f"{address[0]}:{address[1]}: {error}") from error
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))
