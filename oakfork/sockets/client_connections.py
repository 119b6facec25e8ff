"""Connections of clients: accepts them, reads RPCs, writes answers and closes what is idle, slow or broken."""

import contextlib
import errno
import itertools
import socket
from typing import Any, Awaitable, Callable

import h11
import trio
from structlog.stdlib import BoundLogger

from oakfork.errors import BadRequestError, ConnectionFailedError
from oakfork.sockets.configuration import GatewayConfiguration
from oakfork.sockets.exchange import Answer, Exchange
from oakfork.sockets.http_connection import LARGEST_BODY, HttpConnection, HttpMessage
from oakfork.sockets.messages import ClientLeft, LoopEvent, RpcReceived, enqueue
from oakfork.sockets.outcomes import Outcome

BACKLOG = 512  # connections that the system accepts before the gateway does
ACCEPT_RETRY_PAUSE = 0.02  # seconds between attempts to accept while there is no room or no descriptor
# Seconds that a connection stays open after its start or its last answer, even if others need the room.
KEEP_ALIVE_GRACE = 0.25
REQUEST_TIMEOUT = 2.0  # seconds for a whole request, from its first bytes, or from the start of the connection
IDLE_TIMEOUT = 2.0  # seconds after the last answer; some clients never close their connections
LINGER_TIMEOUT = 1.0  # seconds that a half-closed connection is read, so that no reset overtakes its last answer
DISCARD_PAUSE = 0.01  # seconds between reads of bytes that are discarded: bounds a client to 6 MB/s of them
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))  # the answers to these have plain bodies
STATUS_OF_FAULT = {Outcome.MALFORMED: 400, Outcome.OVERSIZED: 413, Outcome.SILENT: 408}


class ClientConnections:
    """All connections of clients, lingering ones included: `max_open` at a time. Others wait to be accepted.

    When more than three quarters of that are open, a new connection closes a lingering and an idle one. When all are
    open, each answer is the last of its connection.
    """

    def __init__(
        self,
        configuration: GatewayConfiguration,
        sock: socket.socket,
        max_open: int,
        queue: trio.MemorySendChannel[LoopEvent],
        nursery: trio.Nursery,
        log: BoundLogger,
    ) -> None:
        self.configuration = configuration
        self.max_open = max_open
        self.crowded_above = max_open * 3 // 4
        self.queue = queue
        self.nursery = nursery
        self.log = log
        self.leaving = False  # the gateway shuts down: each answer is the last of its connection
        self.limit_reached = False  # and logged
        self.listener_closed = False
        self.open: set[ClientConnection] = set()
        # Open connections on which nothing has begun, and since when; the longest idle one first.
        self.idle: dict[ClientConnection, float] = {}
        # Open connections that this side has half-closed, in that order; a dict used as an ordered set.
        self.lingering: dict[ClientConnection, None] = {}
        self.unanswered: dict[bytes, Exchange] = {}  # by the id of the RPC
        self.empty = trio.Event()  # set once the listener and all connections are closed
        self.accepting = trio.CancelScope()
        self.sock = sock
        self.sock.listen(BACKLOG)

    async def run(self) -> None:
        """Accepts connections until `accepting` is cancelled, then closes the listener."""
        with self.accepting:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                if len(self.open) >= self.max_open:
                    await self._wait_for_room()
                if self._accept() in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS):
                    await trio.sleep(ACCEPT_RETRY_PAUSE)  # until other connections have closed
        # Guards against connections that the system has accepted and that closing the listener would reset.
        self._accept()
        self.sock.close()
        self.listener_closed = True
        self.remove(None)

    async def _wait_for_room(self) -> None:
        if not self.limit_reached:  # logged once, until enough connections have closed
            self.log.warning("connection limit reached", connections=len(self.open))
        self.limit_reached = True
        while len(self.open) >= self.max_open:
            self._make_room(1 + self.max_open // 16)
            await trio.sleep(ACCEPT_RETRY_PAUSE)

    def _accept(self) -> int | None:
        """Accepts all waiting connections, as far as there is room; the number of the error that ended it."""
        try:
            while len(self.open) < self.max_open:
                self._add(self.sock.accept()[0])
        except OSError as error:
            return error.errno
        return None

    def _add(self, sock: socket.socket) -> None:
        try:
            client = ClientConnection(self, sock)
        except OSError:  # the client has closed it already
            sock.close()
            return
        self.open.add(client)
        self.idle[client] = client.active_at
        if len(self.open) > self.crowded_above:
            self._make_room(1)
        self.start(client.serve)

    def _make_room(self, count: int) -> None:
        """Closes the connections that have lingered longest, and half-closes those that have been idle longest."""
        for client in list(itertools.islice(self.lingering, count)):
            del self.lingering[client]
            client.scope.cancel()
        self._close_idle(KEEP_ALIVE_GRACE, count)

    def start(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Starts a task of one connection, whose failure ends that connection only."""
        self.nursery.start_soon(self._guarded, task, *args)

    async def _guarded(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        try:
            await task(*args)
        except Exception:
            self.log.exception("client connection failed")

    def _close_idle(self, min_idle: float, count: int) -> None:
        """Closes at most `count` connections that have been idle for `min_idle` seconds.

        Guards against idle clients that leave no descriptors to others. A connection that was just opened or answered
        stays: its next request may be on its way, and a client repeats a request on a new connection only once. Each
        connection is examined once: one with unread bytes is idle no more.
        """
        idle_since = trio.current_time() - min_idle
        while self.idle and count:
            client, since = next(iter(self.idle.items()))
            if since > idle_since:
                return
            del self.idle[client]
            count -= client.close_if_idle()

    async def sweep(self) -> None:
        """Closes idle connections from time to time, so that memory and descriptors don't grow with the clients."""
        while True:
            await trio.sleep(KEEP_ALIVE_GRACE)
            self._close_idle(KEEP_ALIVE_GRACE if self.leaving else IDLE_TIMEOUT, self.max_open)

    def leave(self) -> None:
        """Begins to shut down: each answer is the last of its connection from now on, and idle connections close.

        Connections whose first or next request may be on its way have KEEP_ALIVE_GRACE; the sweep closes them.
        """
        self.leaving = True
        self._close_idle(KEEP_ALIVE_GRACE, self.max_open)

    def remove(self, client: "ClientConnection | None") -> None:
        """Forgets a closed connection; None after the listener was closed."""
        self.open.discard(client)
        self.idle.pop(client, None)
        self.lingering.pop(client, None)
        self.limit_reached = self.limit_reached and len(self.open) >= self.crowded_above
        # Guards against ending while RPCs are open that came after a moment without any connection, which is the
        # rule at a gateway that few clients use: `empty` is set only once the listener is closed.
        if self.listener_closed and not self.open:
            self.empty.set()


class ClientConnection:
    """One connection of a client. Its task only receives; the task that has an answer writes it at once."""

    def __init__(self, connections: ClientConnections, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections = connections
        self.link = HttpConnection(sock, h11.SERVER)
        self.scope = trio.CancelScope()  # cancelled to close the connection, or to end its lingering
        self.is_new = True  # no complete request has come yet
        self.exchange: Exchange | None = None  # not answered yet
        self.active_at = trio.current_time()  # its start or its last answer
        self.writing = False  # the rest of an answer is still being written
        self.written = trio.Event()  # set when that ends, or when the exchange is answered
        self.flooded = False  # so much was sent behind an RPC that the rest is discarded

    async def serve(self) -> None:
        """Receives requests until the client or this side ends the connection, and closes it."""
        client_left = False
        try:
            while not client_left:
                with self.scope:
                    await self._receive()
                    client_left = True
                if not client_left and (self.scope.deadline > trio.current_time() or not self._receive_at_timeout()):
                    break
        except ConnectionFailedError:
            client_left = True
        finally:
            self.connections.idle.pop(self, None)
            if self.exchange:  # the exchange must know of it before anything else is done
                self._leave_exchange()
            try:
                if not client_left:
                    await self._linger()
            finally:
                trio.lowlevel.notify_closing(self.link.sock)
                self.link.close()
                self.connections.remove(self)

    def _leave_exchange(self) -> None:
        self.exchange.waiting.remove(self._answer)
        if not self.exchange.waiting:
            del self.connections.unanswered[self.exchange.id]
            enqueue(self.connections.queue, ClientLeft(self.exchange))
        self.exchange = None

    async def _receive(self) -> None:
        """Reads requests until the client ends its sending: by the protocol it has left then, even in mid-request."""
        while True:
            if self.link.buffered > LARGEST_BODY and self.exchange:
                # Guards against not seeing the end of a client that has sent much: its RPC would be sent on.
                self.flooded = True
                if not await self.link.discard(DISCARD_PAUSE):
                    return
                continue
            if self.link.buffered > LARGEST_BODY and self.writing:
                self.written = trio.Event()  # the client sends and does not read: nothing more is received for now
                await self.written.wait()
            if not await self.link.fill():
                return
            self._process_received()

    def _receive_at_timeout(self) -> bool:
        """Ends a request that has begun and is not complete in time, with status 408.

        Bytes that came in the same instant still count. Returns whether to go on receiving.
        """
        self.scope = trio.CancelScope()
        if self.link.receive_available():
            self._process_received()
        if self.scope.cancel_called:
            return False
        if self.link.buffered and not self._busy():
            self._write(Answer(STATUS_OF_FAULT[Outcome.SILENT], last=True))
            return False
        return True

    async def _linger(self) -> None:
        """Lingering close (RFC 9112, 9.6): half-closes, then discards what comes until the client ends its side too.

        Guards against the reset that a close over unread bytes sends, which can destroy the answer written just before.
        What is read here is never sent on: for the client the close crossed its request, which it sends again.
        """
        if self.writing:  # that has a timeout of its own
            self.written = trio.Event()
            await self.written.wait()
        self.link.shut_down_sending()
        self.scope = trio.CancelScope(deadline=trio.current_time() + LINGER_TIMEOUT)
        self.connections.lingering[self] = None
        with self.scope, contextlib.suppress(ConnectionFailedError):
            while await self.link.discard(DISCARD_PAUSE):
                pass

    def _busy(self) -> bool:
        return self.exchange is not None or self.writing

    def close_if_idle(self) -> bool:
        """Closes the connection unless something has come that is not answered, read or not; returns whether."""
        idle = not self._busy() and not self.link.buffered and self.link.is_reusable()
        if idle:
            self.scope.cancel()
        return idle

    def _process_received(self) -> None:
        """Handles the complete requests that were received, one at a time."""
        try:
            while not self._busy() and (message := self.link.parse()):
                self.connections.idle.pop(self, None)
                self.is_new = False
                if self.scope.deadline != float("inf"):
                    self.scope.deadline = float("inf")
                self._take(message)
        except ConnectionFailedError as error:
            if error.outcome in STATUS_OF_FAULT:
                self._write(Answer(STATUS_OF_FAULT[error.outcome]))
            self.scope.cancel()
            return
        if self.link.buffered and not self._busy():
            self._expect_rest()

    def _expect_rest(self) -> None:
        """Starts the timeout of a request that has begun, and asks for its body if the client waits for that."""
        if self.scope.deadline == float("inf"):
            self.connections.idle.pop(self, None)
            self.scope.deadline = (self.active_at if self.is_new else trio.current_time()) + REQUEST_TIMEOUT
        if self.link.http.they_are_waiting_for_100_continue:
            self.link.put(h11.InformationalResponse(status_code=100, headers=[]))

    def _take(self, message: HttpMessage) -> None:
        path = message.head.target.partition(b"?")[0]
        if message.head.method not in METHODS:
            self._write(Answer(405))
        elif path == b"/-/ready":
            self._write(Answer(503 if self.connections.leaving else 200))
        elif path.startswith(b"/-/"):
            self._write(Answer(404))
        else:
            self._take_rpc(message)

    def _take_rpc(self, message: HttpMessage) -> None:
        configuration = self.connections.configuration
        try:
            exchange = Exchange(message, configuration.names, configuration.settings, self._answer)
        except BadRequestError as error:
            # Guards against bad requests by the hundred: one is answered, and what comes after it is never read.
            self._write(Answer(400, str(error).encode() + b"\n", b"text/plain", last=True))
            return
        self.exchange = self.connections.unanswered.setdefault(exchange.id, exchange)
        if self.exchange is exchange:
            enqueue(self.connections.queue, RpcReceived(exchange))
        elif self.exchange.same(exchange):
            # Guards against a close that crossed the request: the client sends it again while the first one is still
            # open here. It runs once, and its answer goes to each connection that still waits.
            self.exchange.waiting.append(self._answer)
        else:  # a different request with that id: a server would take it for a second copy
            self.exchange = None
            self._write(Answer(409, last=True))

    def _answer(self, answer: Answer) -> None:
        self.connections.unanswered.pop(self.exchange.id, None)
        self.exchange = None
        self.written.set()
        try:
            self._write(answer)
            if self.link.buffered and not self.writing:  # the next request came before this answer
                self._process_received()
        except ConnectionFailedError:
            self.scope.cancel()

    def _write(self, answer: Answer) -> None:
        """Writes an answer; what the socket has no room for is written by another task."""
        if self.link.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        last = self._is_last(answer)
        headers = _answer_headers(answer, last)
        self.active_at = trio.current_time()
        unsent = self.link.put(h11.Response(status_code=answer.status, headers=headers), answer.body)
        last = not self.link.renew() or last
        if unsent:
            self.writing = True
            self.connections.start(self._write_rest, unsent, last)
        elif last:
            self.scope.cancel()
        elif not self.link.buffered:
            self.connections.idle[self] = self.active_at

    def _is_last(self, answer: Answer) -> bool:
        connections = self.connections
        return answer.last or self.flooded or connections.leaving or len(connections.open) >= connections.max_open

    async def _write_rest(self, unsent: list[memoryview], last: bool) -> None:
        timeout = self.connections.configuration.longest_deadline
        with trio.CancelScope(deadline=trio.current_time() + timeout) as scope:
            try:
                await self.link.drain(unsent)
            except (ConnectionFailedError, OSError, trio.ClosedResourceError):
                last = True
        self.writing = False
        self.written.set()
        if last or scope.cancelled_caught or self.connections.leaving:
            self.scope.cancel()
        elif self.link.buffered:
            with contextlib.suppress(ConnectionFailedError):
                self._process_received()
        else:
            self.connections.idle[self] = trio.current_time()


def _answer_headers(answer: Answer, last: bool) -> list[tuple[bytes, bytes]]:
    headers = [(b"content-length", b"%d" % len(answer.body))]
    if answer.content_type:
        headers.append((b"content-type", answer.content_type))
    if answer.retry_after:
        is_integer = answer.retry_after == int(answer.retry_after)  # RFC 9110 has integers; decimals only where needed
        headers.append((b"retry-after", (b"%d" if is_integer else b"%.3f") % answer.retry_after))
    if last:
        headers.append((b"connection", b"close"))
    return headers
