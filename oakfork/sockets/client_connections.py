"""The clients' side: takes connections in, reads RPCs, writes answers."""

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

BACKLOG = 512
SPARED = 0.25  # seconds that a connection stays open after its start or last answer, if there is room or not
PATIENCE = 2.0  # seconds for a whole request once begun or connected
IDLE = 2.0  # seconds that a connection stays open after its last answer: some clients hold theirs for good
LINGERING = 1.0  # seconds that a half-closed connection is still read, so that no reset overtakes its last answer
LULL = 0.01  # seconds between reads of what is thrown away: 6 MB/s of it at most from one client
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))  # whose answers have plain bodies
PLAIN_STATUS = {Outcome.MALFORMED: 400, Outcome.OVERSIZED: 413, Outcome.SILENT: 408}


class ClientConnections:
    """All connections of clients, `most` at a time, those that linger at their close among them; others wait to be
    accepted. Over three quarters of that lingering and idle ones make room, and at the bound an answer is its
    connection's last."""

    def __init__(
        self,
        here: GatewayConfiguration,
        sock: socket.socket,
        most: int,
        queue: trio.MemorySendChannel[LoopEvent],
        nursery: trio.Nursery,
        log: BoundLogger,
    ) -> None:
        self.here, self.most, self.queue, self.nursery, self.log = here, most, queue, nursery, log
        self.many = most * 3 // 4
        self.leaving = self.full = self.shut = False  # shut: no connection is taken any more
        self.open: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, float] = {}  # of those, with nothing begun: since when, the longest first
        self.lingering: dict[ClientConnection, None] = {}  # of those, half-closed by us, the first one first
        self.ids: dict[bytes, Exchange] = {}  # the RPCs that are not answered yet
        self.empty = trio.Event()  # set once it is shut and all connections are closed
        self.accepting = trio.CancelScope()
        self.sock = sock
        self.sock.listen(BACKLOG)

    async def run(self) -> None:
        with self.accepting:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                if len(self.open) >= self.most:
                    if not self.full:  # said once, until there is some room again
                        self.log.warning("no room for a client", connections=len(self.open))
                    self.full = True
                    while len(self.open) >= self.most:
                        self._make_room(1 + self.most // 16)
                        await trio.sleep(0.02)
                if self._accept() in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS):
                    await trio.sleep(0.02)  # until others have closed theirs
        # Guards against connections that the system has accepted and the close of the listener would reset.
        self._accept()
        self.sock.close()
        self.shut = True
        self.left(None)

    def _accept(self) -> int | None:
        """Takes in all that wait, as far as there is room; the number of the error that ended it."""
        try:
            while len(self.open) < self.most:
                self._take_in(self.sock.accept()[0])
        except OSError as error:
            return error.errno
        return None

    def _take_in(self, sock: socket.socket) -> None:
        try:
            client = ClientConnection(self, sock)
        except OSError:  # gone already
            sock.close()
            return
        self.open.add(client)
        self.idle[client] = client.since
        if len(self.open) > self.many:
            self._make_room(1)
        self.start(client.serve)

    def _make_room(self, most: int) -> None:
        """Ends those that linger longest, and has those that are idle longest linger."""
        for client in list(itertools.islice(self.lingering, most)):
            del self.lingering[client]
            client.scope.cancel()
        self._close_idle(SPARED, most)

    def start(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        self.nursery.start_soon(self._guarded, task, *args)

    async def _guarded(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """What fails at one client costs that client's connection, not all that this gateway holds."""
        try:
            await task(*args)
        except Exception:
            self.log.exception("a client's connection failed")

    def _close_idle(self, spared: float, most: int) -> None:
        """Guards against idle clients that leave no descriptor to others. One that has just come or been answered is
        spared: its next request may be on its way, and the client would send it on another new connection only once.
        Each is looked at once: what has bytes unread is idle no more."""
        last = trio.current_time() - spared
        while self.idle and most:
            client, since = next(iter(self.idle.items()))
            if since > last:
                return
            del self.idle[client]
            most -= client.leave_if_idle()

    async def sweep(self) -> None:
        """Guards against memory and descriptors that grow with the clients ever seen."""
        while True:
            await trio.sleep(SPARED)
            self._close_idle(SPARED if self.leaving else IDLE, self.most)

    def leave(self) -> None:
        """From now on each answer is its connection's last, and idle connections close, but for those of which the
        first or next request may be on its way: these have SPARED, and the sweep closes them."""
        self.leaving = True
        self._close_idle(SPARED, self.most)

    def left(self, client: "ClientConnection | None") -> None:
        self.open.discard(client)
        self.idle.pop(client, None)
        self.lingering.pop(client, None)
        self.full = self.full and len(self.open) >= self.many
        # Guards against leaving while RPCs are out that came after a moment without any connection: at a gateway
        # that few clients use, that is the rule.
        if self.shut and not self.open:
            self.empty.set()


class ClientConnection:
    """One connection. Its task only receives; an answer is written at once by the task that has it."""

    def __init__(self, all_clients: ClientConnections, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.all = all_clients
        self.link = HttpConnection(sock, h11.SERVER)
        self.scope = trio.CancelScope()  # cancelled when the connection is to be closed, or is to linger no more
        self.fresh = True  # nothing whole has come on it
        self.exchange: Exchange | None = None  # not answered yet
        self.since = trio.current_time()  # its start or last answer
        self.behind = False  # the end of an answer is still being written
        self.caught_up = trio.Event()
        self.flooded = False  # it sent so much behind an RPC that the rest is thrown away

    async def serve(self) -> None:
        gone = False
        try:
            while not gone:
                with self.scope:
                    await self._receive()
                    gone = True
                if not gone and (self.scope.deadline > trio.current_time() or not self._last_look()):
                    break
        except ConnectionFailedError:
            gone = True
        finally:
            self.all.idle.pop(self, None)
            if self.exchange:  # it has gone from here on, before anything else is done
                self.exchange.waiting.remove(self._answer)
                if not self.exchange.waiting:
                    del self.all.ids[self.exchange.id]
                    enqueue(self.all.queue, ClientLeft(self.exchange))
                self.exchange = None
            try:
                if not gone:
                    await self._linger()
            finally:
                trio.lowlevel.notify_closing(self.link.sock)
                self.link.close()
                self.all.left(self)

    async def _receive(self) -> None:
        """Takes requests until the client ends its sending: it has gone then (PROTOCOL), whatever is half there."""
        while True:
            if self.link.buffered > LARGEST_BODY and self.exchange:
                # Guards against not seeing a client that sends much at once go: its RPC would be sent on.
                self.flooded = True
                if not await self.link.discard(LULL):
                    return
                continue
            if self.link.buffered > LARGEST_BODY and self.behind:
                self.caught_up = trio.Event()  # it sends on and does not read: no more is taken for now
                await self.caught_up.wait()
            if not await self.link.fill():
                return
            self._go_on()

    def _last_look(self) -> bool:
        """A request was begun and did not come whole in time. Unless its last bytes came in this very instant it gets
        408. Whether there is more to receive."""
        self.scope = trio.CancelScope()
        if self.link.receive_available():
            self._go_on()
        if self.scope.cancel_called:
            return False
        if self.link.buffered and not self._busy():
            self._write(Answer(PLAIN_STATUS[Outcome.SILENT], last=True))
            return False
        return True

    async def _linger(self) -> None:
        """Lingering close (RFC 9112, 9.6): half-closes, and reads and throws away until the client ends its side too.
        Guards against the reset that a close over unread bytes sends: it can destroy the answer written just before.
        What is read here is never sent on: for the client the close crossed its request, which it sends anew."""
        if self.behind:  # an answer is still being written, within a time of its own
            self.caught_up = trio.Event()
            await self.caught_up.wait()
        self.link.shut_down_sending()
        self.scope = trio.CancelScope(deadline=trio.current_time() + LINGERING)
        self.all.lingering[self] = None
        with self.scope, contextlib.suppress(ConnectionFailedError):
            while await self.link.discard(LULL):
                pass

    def _busy(self) -> bool:
        return self.exchange is not None or self.behind

    def leave_if_idle(self) -> bool:
        """Has the connection close unless something has come that is not answered, read or not."""
        idle = not self._busy() and not self.link.buffered and self.link.is_reusable()
        if idle:
            self.scope.cancel()
        return idle

    def _go_on(self) -> None:
        """Takes what has come whole, one request at a time."""
        try:
            while not self._busy() and (message := self.link.parse()):
                self.all.idle.pop(self, None)
                self.fresh = False
                if self.scope.deadline != float("inf"):
                    self.scope.deadline = float("inf")
                self._take(message)
        except ConnectionFailedError as end:
            if end.outcome in PLAIN_STATUS:
                self._write(Answer(PLAIN_STATUS[end.outcome]))
            self.scope.cancel()
            return
        if self.link.buffered and not self._busy():
            if self.scope.deadline == float("inf"):
                self.all.idle.pop(self, None)
                self.scope.deadline = (self.since if self.fresh else trio.current_time()) + PATIENCE
            if self.link.http.they_are_waiting_for_100_continue:
                self.link.put(h11.InformationalResponse(status_code=100, headers=[]))

    def _take(self, message: HttpMessage) -> None:
        path = message.head.target.partition(b"?")[0]
        if message.head.method not in METHODS:
            self._write(Answer(405))
        elif path == b"/-/ready":
            self._write(Answer(503 if self.all.leaving else 200))
        elif path.startswith(b"/-/"):
            self._write(Answer(404))
        else:
            try:
                exchange = Exchange(message, self.all.here.names, self.all.here.settings, self._answer)
            except BadRequestError as error:
                # Guards against bad requests by the hundred: one is answered, what stands behind it is never read.
                self._write(Answer(400, str(error).encode() + b"\n", b"text/plain", last=True))
                return
            self.exchange = self.all.ids.setdefault(exchange.id, exchange)
            if self.exchange is exchange:
                enqueue(self.all.queue, RpcReceived(exchange))
            elif self.exchange.same(exchange):
                # Guards against a close that crossed the request: the client sends it anew while it is still held
                # here. It runs once, and its answer goes to each connection that still waits.
                self.exchange.waiting.append(self._answer)
            else:  # another request under that id: a server would take it for a second copy
                self.exchange = None
                self._write(Answer(409, last=True))

    def _answer(self, answer: Answer) -> None:
        self.all.ids.pop(self.exchange.id, None)
        self.exchange = None
        self.caught_up.set()
        try:
            self._write(answer)
            if self.link.buffered and not self.behind:  # the next request came before this answer
                self._go_on()
        except ConnectionFailedError:
            self.scope.cancel()

    def _write(self, answer: Answer) -> None:
        """Writes an answer; what the socket has no room for is written by a task of its own."""
        if self.link.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"content-length", b"%d" % len(answer.body))]
        if answer.content_type:
            headers.append((b"content-type", answer.content_type))
        if answer.retry_after:
            whole = answer.retry_after == int(answer.retry_after)  # as RFC 9110 has it; decimals only where needed
            headers.append((b"retry-after", (b"%d" if whole else b"%.3f") % answer.retry_after))
        last = answer.last or self.flooded or self.all.leaving or len(self.all.open) >= self.all.most
        if last:
            headers.append((b"connection", b"close"))
        self.since = trio.current_time()
        left = self.link.put(h11.Response(status_code=answer.status, headers=headers), answer.body)
        last = not self.link.renew() or last
        if left:
            self.behind = True
            self.all.start(self._write_rest, left, last)
        elif last:
            self.scope.cancel()
        elif not self.link.buffered:
            self.all.idle[self] = self.since

    async def _write_rest(self, left: list[memoryview], last: bool) -> None:
        with trio.CancelScope(deadline=trio.current_time() + self.all.here.longest_deadline) as scope:
            try:
                await self.link.drain(left)
            except (ConnectionFailedError, OSError, trio.ClosedResourceError):
                last = True
        self.behind = False
        self.caught_up.set()
        if last or scope.cancelled_caught or self.all.leaving:
            self.scope.cancel()
        elif self.link.buffered:
            with contextlib.suppress(ConnectionFailedError):
                self._go_on()
        else:
            self.all.idle[self] = trio.current_time()
