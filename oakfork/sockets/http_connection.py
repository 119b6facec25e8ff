"""HTTP/1.1 on one connection: h11 parses heads where they were received, writes are gathered."""

import contextlib
import errno
import socket
from typing import Iterator, NamedTuple

import h11
import trio

from oakfork.errors import AddressInUseError, ConnectionFailedError
from oakfork.sockets.outcomes import Outcome

LARGEST_BODY = 64 * 1024  # PROTOCOL: a body holds 64 KiB at most; servers have been seen to say more
LARGEST_HEAD = 16 * 1024
READ = 64 * 1024
PIECES = 512  # of a gathered write; Linux takes 1,024

Header = tuple[bytes, bytes]


class HttpMessage(NamedTuple):
    head: h11.Request | h11.Response
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """The first header of that name, in lower case."""
        return next((value for key, value in self.head.headers if key == name), None)


def request_head(method: str, target: str, address: tuple[str, int]) -> h11.Request:
    """A request of the gateway's own, with no body."""
    headers = [("Host", "%s:%d" % address)]
    if method != "GET":
        headers.append(("Content-Length", "0"))
    return h11.Request(method=method, target=target, headers=headers)


def pairs(text: bytes) -> Iterator[tuple[bytes, bytes]]:
    """The names and values of a list such as 'inflight=7,queue=2'."""
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        yield name, value


def _sound(head: h11.Request | h11.Response, largest: int) -> None:
    """Guards against bodies that hide a second message (a length and chunks both told, RFC 9112, 6.3), and against
    those told to be larger than is taken, before any of it is."""
    length = chunks = None
    for name, value in head.headers:
        if name == b"content-length":
            length = int(value)
        elif name == b"transfer-encoding":
            chunks = value
    if chunks is not None and (length is not None or head.http_version < b"1.1"):
        raise ConnectionFailedError(Outcome.MALFORMED)
    if length is not None and length > largest:
        raise ConnectionFailedError(Outcome.OVERSIZED)


class HttpConnection:
    """A connection and what h11 knows of it. The socket doesn't block: a task waits only where there is nothing to
    read or no room to write, which spares the checkpoint after each call that trio's own sockets have."""

    def __init__(
        self, sock: socket.socket, role: type[h11.CLIENT] | type[h11.SERVER], largest: int = LARGEST_BODY
    ) -> None:
        self.sock = sock
        self.largest = largest  # body
        self.http = h11.Connection(role, max_incomplete_event_size=LARGEST_HEAD)
        self.buffered = 0  # bytes received that are not of a whole message yet
        self.head: h11.Request | h11.Response | None = None  # of the message being read
        self.body: list[bytes] = []
        self.size = 0

    async def fill(self) -> bool:
        """Receives some bytes; False at the end of the other side's sending."""
        while True:
            await trio.lowlevel.wait_readable(self.sock)
            try:
                data = self.sock.recv(READ)
            except BlockingIOError:
                continue
            except OSError:
                raise ConnectionFailedError(Outcome.BROKEN) from None
            self.buffered += len(data)
            self.http.receive_data(data)
            return bool(data)

    def receive_available(self) -> bool:
        """Receives what is there without waiting; whether there was something."""
        try:
            data = self.sock.recv(READ)
        except OSError:  # nothing there, or broken, which the next wait tells
            return False
        self.buffered += len(data)
        self.http.receive_data(data)
        return bool(data)

    async def discard(self, pause: float) -> bool:
        """Waits for bytes and throws them away; False at the end of the other side's sending. After some it rests, so
        that one who sends without end costs little."""
        await trio.lowlevel.wait_readable(self.sock)
        try:
            data = self.sock.recv(READ)
        except BlockingIOError:
            return True
        except OSError:
            raise ConnectionFailedError(Outcome.BROKEN) from None
        if data:
            await trio.sleep(pause)
        return bool(data)

    def shut_down_sending(self) -> None:
        """Half-closes: the other side sees the end behind all that was written."""
        with contextlib.suppress(OSError):  # it is gone already
            self.sock.shutdown(socket.SHUT_WR)

    def parse(self) -> HttpMessage | None:
        """The next whole message; None where more must be received."""
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError:
                ended = self.http.trailing_data[1]
                raise ConnectionFailedError(Outcome.ENDED if ended else Outcome.MALFORMED) from None
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, (h11.Request, h11.Response)):
                self.head = event
                _sound(event, self.largest)
            elif isinstance(event, h11.Data):
                self.size += len(event.data)
                if self.size > self.largest:
                    raise ConnectionFailedError(Outcome.OVERSIZED)
                self.body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                message = HttpMessage(self.head, b"".join(self.body))
                self.head, self.body, self.size = None, [], 0
                self.buffered = len(self.http.trailing_data[0])
                return message
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionFailedError(Outcome.ENDED)
            elif event is h11.PAUSED:
                raise ConnectionFailedError(Outcome.MALFORMED)

    async def read(self, patience: float = float("inf")) -> HttpMessage:
        """The next whole message. Guards against answers that stop half-way: one that has begun may pause for so long
        and no longer."""
        while (message := self.parse()) is None:
            if self.head is None and not self.http.trailing_data[0]:
                await self.fill()
                continue
            with trio.move_on_after(patience) as scope:
                await self.fill()
            if scope.cancelled_caught:
                raise ConnectionFailedError(Outcome.STALLED)
        return message

    def put(self, head: h11.Request | h11.Response | h11.InformationalResponse, body: bytes = b"") -> list[memoryview]:
        """Writes a message with one gathered write; what the socket had no room for is left to drain."""
        try:
            chunks = list(self.http.send_with_data_passthrough(head))
            if not isinstance(head, h11.InformationalResponse):
                if body:
                    chunks += self.http.send_with_data_passthrough(h11.Data(data=body))
                chunks += self.http.send_with_data_passthrough(h11.EndOfMessage())
        except h11.LocalProtocolError:  # not to be said on this connection, as it stands
            raise ConnectionFailedError(Outcome.UNSENT) from None
        return self._push([memoryview(chunk) for chunk in chunks if chunk])

    async def drain(self, left: list[memoryview]) -> None:
        while left:
            if self.sock.fileno() < 0:  # closed before this task had its turn
                raise ConnectionFailedError(Outcome.UNSENT)
            await trio.lowlevel.wait_writable(self.sock)
            left = self._push(left)

    async def write(self, head: h11.Request | h11.Response, body: bytes = b"") -> None:
        left = self.put(head, body)
        if left:
            await self.drain(left)

    def _push(self, left: list[memoryview]) -> list[memoryview]:
        try:
            sent = self.sock.sendmsg(left[:PIECES])
        except BlockingIOError:
            return left
        except OSError:
            raise ConnectionFailedError(Outcome.UNSENT) from None
        while left and sent >= len(left[0]):
            sent -= len(left.pop(0))
        if sent:
            left[0] = left[0][sent:]
        return left

    def renew(self) -> bool:
        """Makes ready for the next exchange; False if the connection must be closed. Guards against servers that say
        more than was asked: what stands behind an answer would be taken for the next one."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.buffered and self.http.our_role is h11.CLIENT:
            return False
        self.http.start_next_cycle()
        return True

    def is_reusable(self) -> bool:
        """Whether the idle connection looks open and nothing unasked has come on it."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def close(self) -> None:
        self.sock.close()


def bind_socket(kind: socket.SocketKind, address: tuple[str, int]) -> socket.socket:
    """A socket of ours at an address; raises AddressInUseError."""
    sock = socket.socket(socket.AF_INET, kind)
    sock.setblocking(False)
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
    except OSError as error:
        sock.close()
        raise AddressInUseError(f"{address[0]}:{address[1]}: {error}") from error
    return sock


async def connect(address: tuple[str, int], patience: float, largest: int = LARGEST_BODY) -> HttpConnection:
    """A new connection to an HTTP server."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        raise ConnectionFailedError(Outcome.NO_ROOM) from None
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            with trio.CancelScope(deadline=trio.current_time() + patience) as scope:
                await trio.lowlevel.wait_writable(sock)
            if scope.cancelled_caught:
                raise ConnectionFailedError(Outcome.NEVER_UP)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise ConnectionFailedError(Outcome.REFUSED)
    except OSError:
        sock.close()
        raise ConnectionFailedError(Outcome.REFUSED) from None
    except BaseException:
        sock.close()
        raise
    return HttpConnection(sock, h11.CLIENT, largest)
