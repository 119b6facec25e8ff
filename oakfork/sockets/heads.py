"""HTTP/1.1 on one connection: h11 parses heads where they were received, writes are gathered."""
import socket
from typing import NamedTuple, Sequence

import h11
import trio

from oakfork.sockets.endings import Break, Ending

LARGEST_BODY = 64 * 1024    # PROTOCOL: a body holds 64 KiB at most
LARGEST_HEAD = 16 * 1024
READ = 16 * 1024

Header = tuple[bytes, bytes]


class Message(NamedTuple):
    head: h11.Request | h11.Response
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """The first header of that name, in lower case."""
        return next((value for key, value in self.head.headers if key == name), None)


class Link:
    """A connection and what h11 knows of it."""

    def __init__(self, sock: trio.socket.SocketType, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.sock = sock
        self.http = h11.Connection(role, max_incomplete_event_size=LARGEST_HEAD)
        self.buffered = 0       # bytes received since the last whole message

    async def fill(self) -> bool:
        """Receives some bytes; False at the end of the other side's sending."""
        try:
            data = await self.sock.recv(READ)
        except OSError:
            raise Break(Ending.BROKEN) from None
        self.buffered += len(data)
        self.http.receive_data(data)
        return bool(data)

    async def read(self) -> Message | None:
        """The next whole message; None where the other side ended between two of them."""
        head, body, size = None, [], 0
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError:
                ended = self.http.trailing_data[1]
                raise Break(Ending.ENDED if ended else Ending.MALFORMED) from None
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    await self.write(h11.InformationalResponse(status_code=100, headers=[]))
                await self.fill()
            elif isinstance(event, (h11.Request, h11.Response)):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > LARGEST_BODY:
                    raise Break(Ending.OVERSIZED)
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self.buffered = 0
                return Message(head, b"".join(body))
            elif isinstance(event, h11.ConnectionClosed):
                return None
            elif event is h11.PAUSED:
                raise Break(Ending.MALFORMED)

    async def write(self, head: h11.Request | h11.Response | h11.InformationalResponse, body: bytes = b"") -> None:
        """Writes a message with one gathered write, and the rest of it with more where the buffer is full."""
        chunks = list(self.http.send_with_data_passthrough(head))
        if not isinstance(head, h11.InformationalResponse):
            if body:
                chunks += self.http.send_with_data_passthrough(h11.Data(data=body))
            chunks += self.http.send_with_data_passthrough(h11.EndOfMessage())
        try:
            await write_gathered(self.sock, chunks)
        except OSError:
            raise Break(Ending.UNSENT) from None

    def renew(self) -> bool:
        """Makes ready for the next exchange; False if the connection must be closed."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    def lively(self) -> bool:
        """Whether the idle connection looks open and nothing unasked has come on it."""
        return not self.sock.is_readable()      # readable: ended, broken, or not in step

    def close(self) -> None:
        self.sock.close()


async def write_gathered(sock: trio.socket.SocketType, chunks: Sequence[bytes]) -> None:
    left = [memoryview(chunk) for chunk in chunks if chunk]
    while left:
        sent = await sock.sendmsg(left)
        while left and sent >= len(left[0]):
            sent -= len(left.pop(0))
        if sent:
            left[0] = left[0][sent:]


async def connect(address: tuple[str, int], patience: float) -> Link:
    """A new connection to an HTTP server."""
    try:
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        raise Break(Ending.NO_ROOM) from None
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with trio.move_on_after(patience) as scope:
            await sock.connect(address)
        if scope.cancelled_caught:
            raise Break(Ending.NEVER_UP)
    except OSError:
        sock.close()
        raise Break(Ending.REFUSED) from None
    except BaseException:
        sock.close()
        raise
    return Link(sock, h11.CLIENT)
