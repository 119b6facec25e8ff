"""HTTP/1.1 on one connection: h11 parses heads in the buffer that received them, and writes are gathered."""

import contextlib
import errno
import re
import socket
from typing import Iterator, NamedTuple

import h11
import trio

from oakfork.errors import AddressInUseError, ConnectionFailedError
from oakfork.sockets.memory_account import FIELD_COST, MemoryCharge
from oakfork.sockets.outcomes import Outcome

LARGEST_BODY = 64 * 1024  # bytes; the protocol allows 64 KiB, but some servers send more
LARGEST_HEAD = 16 * 1024  # bytes
SEGMENT_SIZE = 16 * 1024  # bytes that are received at a time of what is parsed
PARSE_SIZE = 8 * 1024  # bytes that the parser gets at a time, so that no block of lines is much over LARGEST_HEAD
MAX_WRITE_BUFFERS = 512  # buffers of one gathered write; Linux takes 1,024
MAX_FIELDS = 2048  # lines of a head
MAX_PARSE_EVENTS = 16  # heads, chunks and ends of messages that one call of `parse` handles

Header = tuple[bytes, bytes]
END_OF_HEAD = re.compile(rb"\n\r?\n")


class HttpMessage(NamedTuple):
    """A complete request or response."""

    head: h11.Request | h11.Response
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """The value of the first header with that name, which is given in lower case."""
        return next((value for key, value in self.head.headers if key == name), None)


def request_head(method: str, target: str, address: tuple[str, int]) -> h11.Request:
    """The head of a request that the gateway makes itself, without a body."""
    headers = [("Host", "%s:%d" % address)]
    if method != "GET":
        headers.append(("Content-Length", "0"))
    return h11.Request(method=method, target=target, headers=headers)


def parse_pairs(text: bytes) -> Iterator[tuple[bytes, bytes]]:
    """The names and values of a list such as 'inflight=7,queue=2'."""
    for part in text.split(b","):
        name, _, value = part.strip().partition(b"=")
        yield name, value


def _check_framing(head: h11.Request | h11.Response, max_body: int) -> None:
    """Raises ConnectionFailedError if the length of the body is ambiguous or too large.

    Guards against bodies that hide a second message (a length and chunks in the same head, RFC 9112, 6.3), and against
    bodies whose stated length is over the limit, before any of their bytes are read.
    """
    length = None
    encoding = None
    for name, value in head.headers:
        if name == b"content-length":
            length = int(value)
        elif name == b"transfer-encoding":
            encoding = value
    if encoding is not None and (length is not None or head.http_version < b"1.1"):
        raise ConnectionFailedError(Outcome.MALFORMED)
    if length is not None and length > max_body:
        raise ConnectionFailedError(Outcome.OVERSIZED)


class MessageBody:
    """The body of a message while it is received, in blocks, so that parts of a few bytes cost no object each."""

    def __init__(self) -> None:
        self.size = 0  # bytes
        self.blocks: list[bytearray] = []

    def append(self, data: bytes | bytearray) -> None:
        """Adds what was received next."""
        self.size += len(data)
        if self.blocks and len(self.blocks[-1]) + len(data) <= PARSE_SIZE:
            self.blocks[-1] += data
        else:
            self.blocks.append(bytearray(data))

    def joined(self) -> bytes:
        """The whole body."""
        return b"".join(self.blocks)


class HttpConnection:
    """A connected socket and its h11 state.

    The socket doesn't block: a task waits only where there is nothing to read or no room to write. This saves the
    checkpoint that trio's own sockets have after each call.
    """

    def __init__(
        self,
        sock: socket.socket,
        role: type[h11.CLIENT] | type[h11.SERVER],
        max_body: int = LARGEST_BODY,
        charge: MemoryCharge | None = None,
    ) -> None:
        self.sock = sock
        self.max_body = max_body  # bytes
        self.charge = charge  # None: what this connection holds is bounded elsewhere
        self.http = h11.Connection(role, max_incomplete_event_size=LARGEST_HEAD)
        self.buffered = 0  # bytes received that belong to no complete message yet
        self.head: h11.Request | h11.Response | None = None  # of the message that is being read
        self.body = MessageBody()
        self.unparsed = bytearray()  # received, and not given to the parser yet
        self.ended = False  # the other side has ended its sending
        self.field_cost = 0  # bytes that the fields of the head take as objects
        self.message_cost = 0  # bytes of the last complete message, until `renew`
        self.interrupted = False  # the last call of `parse` ended before all bytes that were received

    async def fill(self) -> bool:
        """Receives some bytes; False if the other side has ended its sending."""
        data = None
        while data is None:
            await trio.lowlevel.wait_readable(self.sock)
            data = self.receive()
        self.received(data)
        return bool(data)

    def receive(self) -> bytes | None:
        """Bytes that are there; None if there are none yet, and no bytes if the other side has ended its sending."""
        try:
            return self.sock.recv(SEGMENT_SIZE)
        except BlockingIOError:
            return None
        except OSError:
            raise ConnectionFailedError(Outcome.BROKEN) from None

    def received(self, data: bytes) -> None:
        """Adds bytes to what is parsed next; no bytes stand for the end of the other side's sending.

        Raises ConnectionFailedError if there is no memory for them.
        """
        self.ended = self.ended or not data
        self.buffered += len(data)
        self.unparsed += data
        self.update_charge()

    def cost(self) -> int:
        """The bytes of memory that this connection takes for what it has received."""
        return self.buffered + self.field_cost + self.message_cost

    def update_charge(self) -> None:
        """Charges what the connection holds now; raises ConnectionFailedError if there is no memory for it."""
        if self.charge is not None and not self.charge.resize(self.cost()):
            raise ConnectionFailedError(Outcome.OUT_OF_MEMORY)

    def drop_received(self) -> None:
        """Drops all that was received: nothing more is parsed on this connection."""
        self.http = h11.Connection(self.http.our_role)
        self.head = None
        self.body = MessageBody()
        self.unparsed = bytearray()
        self.buffered = self.field_cost = self.message_cost = 0
        self.update_charge()

    def receive_available(self) -> bool:
        """Receives what is there without waiting; returns whether there was something."""
        try:
            data = self.sock.recv(SEGMENT_SIZE)
        except OSError:  # nothing to read, or a broken connection, which the next wait reports
            return False
        self.received(data)
        return bool(data)

    def shut_down_sending(self) -> None:
        """Half-closes the connection: the other side sees the end after all that was written."""
        with contextlib.suppress(OSError):  # already closed by the other side
            self.sock.shutdown(socket.SHUT_WR)

    def parse(self) -> HttpMessage | None:
        """The next complete message; None if more bytes must be received first, or if the call was `interrupted`.

        Guards against messages of many small chunks, which would hold up all other tasks: a call that has handled
        MAX_PARSE_EVENTS events ends, and the next one continues.
        """
        self.interrupted = False
        for _ in range(MAX_PARSE_EVENTS):
            event = self._next_event()
            if event is h11.NEED_DATA:
                if not self._feed_parser():
                    return None
            elif isinstance(event, (h11.Request, h11.Response)):
                self.head = event
                _check_framing(event, self.max_body)
            elif isinstance(event, h11.InformationalResponse):
                self.buffered = self._unparsed_size()
            elif isinstance(event, h11.Data):
                self.body.append(event.data)
                if self.body.size > self.max_body:
                    raise ConnectionFailedError(Outcome.OVERSIZED)
            elif isinstance(event, h11.EndOfMessage):
                return self._complete_message()
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionFailedError(Outcome.ENDED)
            elif event is h11.PAUSED:
                raise ConnectionFailedError(Outcome.MALFORMED)
        self.interrupted = True
        return None

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """The next part of a message, as far as the parser has its bytes."""
        data = self.http.trailing_data[0]
        if not data and self.unparsed:
            self._feed_parser()
            data = self.http.trailing_data[0]
        if self.head is None:
            self._check_fields(data)
        try:
            return self.http.next_event()
        except h11.RemoteProtocolError:
            raise ConnectionFailedError(Outcome.ENDED if self.ended else Outcome.MALFORMED) from None

    def _feed_parser(self) -> bool:
        """Gives the parser some more bytes, or the end of them; False if there is nothing to give."""
        if self.unparsed:
            self.http.receive_data(self.unparsed[:PARSE_SIZE])
            del self.unparsed[:PARSE_SIZE]
            return True
        if self.ended and not self.http.trailing_data[1]:
            self.http.receive_data(b"")
            return True
        return False

    def _check_fields(self, data: bytes) -> None:
        """Charges the fields of the head that begins `data`, once it is complete; raises ConnectionFailedError.

        Guards against heads of very short fields, each of which costs many times its bytes.
        """
        end = END_OF_HEAD.search(data)
        fields = data.count(b"\n", 0, end.end()) if end else 0
        if fields > MAX_FIELDS:
            raise ConnectionFailedError(Outcome.MALFORMED)
        self.field_cost = fields * FIELD_COST
        self.update_charge()

    def _unparsed_size(self) -> int:
        """Bytes that were received behind all that was parsed."""
        return len(self.unparsed) + len(self.http.trailing_data[0])

    def _complete_message(self) -> HttpMessage:
        message = HttpMessage(self.head, self.body.joined())
        left = self._unparsed_size()
        self.message_cost = self.buffered - left + self.field_cost
        self.field_cost = 0
        self.head = None
        self.body = MessageBody()
        self.buffered = left
        return message

    async def read(self, stall_timeout: float = float("inf")) -> HttpMessage:
        """The next complete message.

        Guards against answers that stop half-way: a message that has begun may pause for `stall_timeout` seconds at
        most, after which ConnectionFailedError is raised.
        """
        while (message := self.parse()) is None:
            if self.interrupted:
                await trio.lowlevel.checkpoint()
                continue
            if self.head is None and not self.http.trailing_data[0]:
                await self.fill()
                continue
            with trio.move_on_after(stall_timeout) as scope:
                await self.fill()
            if scope.cancelled_caught:
                raise ConnectionFailedError(Outcome.STALLED)
        return message

    def put(self, head: h11.Request | h11.Response | h11.InformationalResponse, body: bytes = b"") -> list[memoryview]:
        """Writes a message with one gathered write; returns what the socket had no room for, for `drain`."""
        try:
            chunks = list(self.http.send_with_data_passthrough(head))
            if not isinstance(head, h11.InformationalResponse):
                if body:
                    chunks += self.http.send_with_data_passthrough(h11.Data(data=body))
                chunks += self.http.send_with_data_passthrough(h11.EndOfMessage())
        except h11.LocalProtocolError:  # the state of this connection does not allow this message
            raise ConnectionFailedError(Outcome.UNSENT) from None
        return self._push([memoryview(chunk) for chunk in chunks if chunk])

    async def drain(self, unsent: list[memoryview]) -> None:
        """Writes what `put` left over, and waits for room where there is none."""
        while unsent:
            if self.sock.fileno() < 0:  # closed before this task ran
                raise ConnectionFailedError(Outcome.UNSENT)
            await trio.lowlevel.wait_writable(self.sock)
            unsent = self._push(unsent)

    async def write(self, head: h11.Request | h11.Response, body: bytes = b"") -> None:
        """Writes a complete message."""
        unsent = self.put(head, body)
        if unsent:
            await self.drain(unsent)

    def _push(self, unsent: list[memoryview]) -> list[memoryview]:
        try:
            sent = self.sock.sendmsg(unsent[:MAX_WRITE_BUFFERS])
        except BlockingIOError:
            return unsent
        except OSError:
            raise ConnectionFailedError(Outcome.UNSENT) from None
        while unsent and sent >= len(unsent[0]):
            sent -= len(unsent.pop(0))
        if sent:
            unsent[0] = unsent[0][sent:]
        return unsent

    def renew(self) -> bool:
        """Prepares the connection for the next exchange; False if it must be closed.

        Guards against servers that send more than was asked for: bytes behind an answer would be taken for the next
        answer.
        """
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        if self.ended or self.buffered and self.http.our_role is h11.CLIENT:
            return False
        self.http.start_next_cycle()
        self.message_cost = 0
        self.update_charge()
        return True

    def is_reusable(self) -> bool:
        """Whether the idle connection is still open and nothing has been received on it."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def close(self) -> None:
        """Closes the socket."""
        self.sock.close()
        if self.charge is not None:
            self.charge.close()


def bind_socket(kind: socket.SocketKind, address: tuple[str, int]) -> socket.socket:
    """A non-blocking IPv4 socket bound to an address; raises AddressInUseError."""
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


async def connect(address: tuple[str, int], timeout: float, max_body: int = LARGEST_BODY) -> HttpConnection:
    """A new connection to an HTTP server, established within `timeout` seconds; raises ConnectionFailedError."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        raise ConnectionFailedError(Outcome.NO_ROOM) from None
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex(address)
        if code == errno.EINPROGRESS:
            with trio.CancelScope(deadline=trio.current_time() + timeout) as scope:
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
    return HttpConnection(sock, h11.CLIENT, max_body)
