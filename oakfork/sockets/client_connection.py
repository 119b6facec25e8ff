"""One connection of a client: reads its RPCs, writes the answers and closes in order."""

import contextlib
import math
import socket
from typing import Any, Awaitable, Callable, Protocol

import h11
import trio

from oakfork.errors import BadRequestError, ConnectionFailedError
from oakfork.sockets.configuration import GatewayConfiguration
from oakfork.sockets.exchange import Answer, Exchange, Waiter
from oakfork.sockets.http_connection import LARGEST_BODY, HttpMessage
from oakfork.sockets.memory_account import MemoryAccount, MemoryCharge, ResourceLog
from oakfork.sockets.messages import ClientLeft, LoopEvent, RpcReceived, enqueue
from oakfork.sockets.outcomes import Outcome
from oakfork.sockets.read_scheduler import ReadScheduler
from oakfork.sockets.request_reader import RequestReader

REQUEST_TIMEOUT = 2.0  # seconds for a whole request, from its first bytes, or from the start of the connection
LINGER_TIMEOUT = 1.0  # seconds that a half-closed connection is read, so that no reset overtakes its last answer
SMALL_HEAD = 1024  # bytes of a head that is quickly parsed, whatever it holds; usual ones are a third of that
METHODS = frozenset((b"GET", b"POST", b"PUT", b"PATCH", b"DELETE"))  # the answers to these have plain bodies
STATUS_OF_FAULT = {Outcome.MALFORMED: 400, Outcome.OVERSIZED: 413, Outcome.SILENT: 408, Outcome.OUT_OF_MEMORY: 503}
FULL_MEMORY_PAUSE = 0.05  # seconds between two looks whether there is memory for more, or the client has left


class ConnectionRegistry(Protocol):
    """What the connections of clients share; ClientConnections provides it."""

    configuration: GatewayConfiguration
    queue: trio.MemorySendChannel[LoopEvent]
    scheduler: ReadScheduler  # of requests with small heads that come by themselves
    bulk_scheduler: ReadScheduler  # of all else that clients send
    memory: MemoryAccount  # of what is received
    resource_log: ResourceLog
    max_open: int
    open: "set[ClientConnection]"
    # Open connections on which nothing has begun, and since when; the longest idle one first.
    idle: "dict[ClientConnection, float]"
    # Open connections whose request has begun and is incomplete, and since when; the oldest one first.
    incomplete: "dict[ClientConnection, float]"
    # Open connections that this side has half-closed, in that order; a dict used as an ordered set.
    lingering: "dict[ClientConnection, None]"
    unanswered: dict[bytes, Exchange]  # by the id of the RPC

    @property
    def leaving(self) -> bool:
        """Whether the gateway shuts down: each answer is the last of its connection then."""

    def latest_answer(self) -> float:
        """Until when an RPC that is read now has to be answered, on trio's clock, apart from its own deadline."""

    def start(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Starts a task of one connection, whose failure ends that connection only."""

    def finish(self, exchange: Exchange) -> None:
        """Forgets an RPC that is over, but for its id if it may have run."""

    def has_run(self, exchange: Exchange) -> bool:
        """Whether an RPC with the same id is over and may have run."""

    def remove(self, client: "ClientConnection | None") -> None:
        """Forgets a closed connection."""


class ClientConnection:
    """One connection of a client. Its task receives requests; the task that has an answer writes it at once.

    One request, or a part of one in many chunks, is handled in each turn that a scheduler gives. Those that wait behind
    an answer are handled by a task of their own, while the connection's task goes on receiving, so that it sees the end
    of the client.
    """

    def __init__(self, connections: ConnectionRegistry, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections = connections
        charge = MemoryCharge(connections.memory, self.evict)
        self.link = RequestReader(sock, connections.bulk_scheduler, charge)
        self.scope = trio.CancelScope()  # cancelled to close the connection, or to end its lingering
        self.is_new = True  # no complete request has come yet
        self.exchange: Exchange | None = None  # not answered yet
        self.active_at = trio.current_time()  # its start or its last answer
        self.writing = False  # the rest of an answer is still being written
        self.processing = False  # a task handles the requests that were received, in turns
        self.closing = False  # nothing that comes is handled any more
        self.progress = trio.Event()  # set when the exchange is answered, and when writing or processing ends

    def _waiter(self) -> Waiter:
        """This connection as one that waits for an answer; equal each time. Kept here it would be a reference cycle."""
        return Waiter(self._answer, self.link.client_has_left)

    async def serve(self) -> None:
        """Receives requests until the client or this side ends the connection, and closes it."""
        client_left = False
        try:
            while not client_left:
                with self.scope:
                    await self._receive()
                    client_left = True
                if self.closing:
                    break
                if not client_left and (self.scope.deadline > trio.current_time() or not self._receive_at_timeout()):
                    break
        except ConnectionFailedError:
            client_left = True
        finally:
            self.closing = True
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
        self.exchange.waiting.remove(self._waiter())
        if not self.exchange.waiting:
            self.connections.finish(self.exchange)
            enqueue(self.connections.queue, ClientLeft(self.exchange))
            self.connections.resource_log.count("client left")
        self.exchange = None

    async def _receive(self) -> None:
        """Reads requests until the client ends its sending: by the protocol it has left then, even in mid-request."""
        while True:
            if self._has_unprocessed():
                await self._process_all()
            if self.link.buffered > LARGEST_BODY and self.exchange:
                # Guards against not seeing the end of a client that has sent much: its RPC would be sent on.
                self.link.flooded = True
                if not await self.link.discard():
                    return
                continue
            if self.link.buffered > LARGEST_BODY and (self.writing or self.processing):
                # The client sends faster than it reads or than it is served: nothing more is received for now.
                self.progress = trio.Event()
                await self.progress.wait()
                continue
            if self.link.buffered and self._busy() and not self.link.may_receive():
                if await self._leaves_without_memory():
                    return
                continue
            if not await self._fill():
                return

    async def _fill(self) -> bool:
        """Receives some bytes; False if the client has ended its sending. Ends the connection if they don't fit."""
        try:
            return await self.link.fill()
        except ConnectionFailedError as error:
            if error.outcome is not Outcome.OUT_OF_MEMORY:
                raise
            self._refuse(error.outcome)
            await trio.lowlevel.checkpoint()
            return True

    async def _leaves_without_memory(self) -> bool:
        """Waits a moment while there is no memory for what the client has sent; whether it has left meanwhile."""
        self.progress = trio.Event()
        with trio.move_on_after(FULL_MEMORY_PAUSE):
            await self.progress.wait()
        return self.link.client_has_left()

    def _refuse(self, outcome: Outcome) -> None:
        """Ends the connection with the answer that is due for a fault of what was received."""
        if outcome in STATUS_OF_FAULT:
            with contextlib.suppress(ConnectionFailedError):
                self._write(Answer(STATUS_OF_FAULT[outcome], last=True))
        self.scope.cancel()

    def evict(self) -> bool:
        """Refuses an incomplete request, so that others have the room; returns whether there was one."""
        if self._busy() or self.closing or self.scope.cancel_called:
            return False
        self._refuse(Outcome.OUT_OF_MEMORY)
        self.closing = True
        self.connections.incomplete.pop(self, None)
        self.link.drop_received()
        return True

    def _receive_at_timeout(self) -> bool:
        """Ends a request that has begun and is not complete in time, with status 408.

        Bytes that came in the same instant still count. Returns whether to go on receiving.
        """
        self.scope = trio.CancelScope()
        try:
            self.link.receive_available()
        except ConnectionFailedError as error:
            self._refuse(error.outcome)
            return False
        if self._process_received() and not self.link.interrupted:
            return True
        self.scope.deadline = math.inf  # a request that is still not complete has had its time
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
        while self.writing:  # that has a timeout of its own
            self.progress = trio.Event()
            await self.progress.wait()
        self.link.shut_down_sending()
        self.link.drop_received()
        self.scope = trio.CancelScope(deadline=trio.current_time() + LINGER_TIMEOUT)
        self.connections.lingering[self] = None
        with self.scope, contextlib.suppress(ConnectionFailedError):
            while await self.link.discard():
                pass

    def _busy(self) -> bool:
        return self.exchange is not None or self.writing

    def close_if_idle(self) -> bool:
        """Closes the connection unless something has come that is not answered, read or not; returns whether."""
        idle = not self._busy() and not self.link.buffered and self.link.is_reusable()
        if idle:
            self.scope.cancel()
        return idle

    def _process_received(self) -> bool:
        """Handles at most one request; returns whether the bytes that were received may hold another."""
        if not self.link.buffered or self._busy() or self.closing or self.scope.cancel_called:
            return False
        try:
            if message := self.link.parse():
                self.connections.idle.pop(self, None)
                self.connections.incomplete.pop(self, None)
                self.is_new = False
                if self.scope.deadline != math.inf:
                    self.scope.deadline = math.inf
                self._take(message)
                return self.link.buffered > 0
            self._expect_rest()
            return self.link.interrupted
        except ConnectionFailedError as error:
            self._refuse(error.outcome)
            return False

    def _has_unprocessed(self) -> bool:
        """Whether bytes were received that may hold a request, and no task handles them."""
        return self.link.buffered > 0 and not self._busy() and not self.processing

    async def _process_all(self) -> None:
        """Handles the requests that were received, one in each turn."""
        self.processing = True
        is_small = self.link.next_head_size() <= SMALL_HEAD
        scheduler = self.connections.scheduler if is_small else self.connections.bulk_scheduler
        try:
            await scheduler.wait_turn()
            while self._process_received():
                await self.connections.bulk_scheduler.wait_turn()
        except Exception:
            self.scope.cancel()
            raise
        finally:
            self.processing = False
            self.progress.set()

    def _resume(self) -> None:
        """Has the requests handled that came before the answer to the one before them."""
        if self._has_unprocessed():
            self.processing = True
            self.connections.start(self._process_all)

    def _expect_rest(self) -> None:
        """Starts the timeout of a request that has begun, and asks for its body if the client waits for that."""
        if self.scope.deadline == math.inf:
            self.connections.idle.pop(self, None)
            # What waited to be accepted has had its time from the first byte on.
            begun_at = min(self.active_at, self.link.begun_at()) if self.is_new else trio.current_time()
            self.scope.deadline = begun_at + REQUEST_TIMEOUT
            self.connections.incomplete[self] = begun_at
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
            received = self.link.completed_at()
            exchange = Exchange(message, configuration.names, configuration.settings, self._waiter(), received)
        except BadRequestError as error:
            # Guards against bad requests by the hundred: one is answered, and what comes after it is never read.
            self._write(Answer(400, str(error).encode() + b"\n", b"text/plain", last=True))
            return
        # Guards against RPCs that waited, with the end of their client behind them, until the gateway came to read.
        if self.link.client_has_left():
            raise ConnectionFailedError(Outcome.ENDED)
        exchange.limit(self.connections.latest_answer())
        self.exchange = self.connections.unanswered.setdefault(exchange.id, exchange)
        if self.exchange is exchange:
            exchange.repeats_run = self.connections.has_run(exchange)
            enqueue(self.connections.queue, RpcReceived(exchange))
        elif self.exchange.same(exchange):
            # Guards against a close that crossed the request: the client sends it again while the first one is still
            # open here. It runs once, and its answer goes to each connection that still waits.
            self.exchange.waiting.append(self._waiter())
        else:  # a different request with that id: a server would take it for a second copy
            self.exchange = None
            self._write(Answer(409, last=True))

    def _answer(self, answer: Answer) -> None:
        self.connections.finish(self.exchange)
        self.exchange = None
        self.progress.set()
        try:
            self._write(answer)
        except ConnectionFailedError:
            self.scope.cancel()
        self._resume()

    def _write(self, answer: Answer) -> None:
        """Writes an answer; what the socket has no room for is written by another task."""
        if self.link.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        last = self._is_last(answer)
        if answer.status != 200:
            self.connections.resource_log.count(f"status {answer.status}")
        headers = answer.headers(last)
        self.active_at = trio.current_time()
        unsent = self.link.put(h11.Response(status_code=answer.status, headers=headers), answer.body)
        last = not self.link.renew() or last
        if unsent:
            self.link.keep_unsent(sum(map(len, unsent)))
            self.writing = True
            self.connections.start(self._write_rest, unsent, last)
        elif last:
            self.scope.cancel()
        elif not self.link.buffered:
            self.connections.idle[self] = self.active_at

    def _is_last(self, answer: Answer) -> bool:
        connections = self.connections
        return answer.last or self.link.flooded or connections.leaving or len(connections.open) >= connections.max_open

    async def _write_rest(self, unsent: list[memoryview], last: bool) -> None:
        timeout = self.connections.configuration.longest_deadline
        with trio.CancelScope(deadline=trio.current_time() + timeout) as scope:
            try:
                await self.link.drain(unsent)
            except (ConnectionFailedError, OSError, trio.ClosedResourceError):
                last = True
        self.link.keep_unsent(0)
        self.writing = False
        self.progress.set()
        if last or scope.cancelled_caught or self.connections.leaving:
            self.scope.cancel()
        elif self.link.buffered:
            self._resume()
        else:
            self.connections.idle[self] = trio.current_time()
