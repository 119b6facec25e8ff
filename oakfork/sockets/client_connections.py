"""All connections of clients: accepts them, makes room for new ones and closes what is idle."""

import errno
import itertools
import math
import socket
from typing import Any, Awaitable, Callable

import trio
from structlog.stdlib import BoundLogger

from oakfork.interface import RepeatSafety
from oakfork.sockets.client_connection import ClientConnection
from oakfork.sockets.configuration import GatewayConfiguration
from oakfork.sockets.exchange import Answer, Exchange, RecentIds
from oakfork.sockets.memory_account import MemoryAccount, ResourceLog
from oakfork.sockets.messages import ClientLeft, LoopEvent, enqueue
from oakfork.sockets.pass_monitor import PassMonitor
from oakfork.sockets.read_scheduler import ReadScheduler
from oakfork.sockets.shutdown import Shutdown

BACKLOG = 512  # connections that the system accepts before the gateway does
ACCEPT_RETRY_PAUSE = 0.02  # seconds between attempts to accept while there is no room or no descriptor
# Seconds that a connection stays open after its start or its last answer, even if others need the room.
KEEP_ALIVE_GRACE = 0.25
IDLE_TIMEOUT = 2.0  # seconds after the last answer; some clients never close their connections
# How much of what clients have sent is handled in one pass of the event loop: requests that come by themselves, and
# steps of the rest (ClientConnection has the sizes). A step may take some milliseconds.
SMALL_REQUESTS_PER_PASS = 16
BULK_STEPS_PER_PASS = 2


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
        memory: MemoryAccount,
        resource_log: ResourceLog,
    ) -> None:
        self.configuration = configuration
        self.max_open = max_open
        self.crowded_above = max_open * 3 // 4
        self.queue = queue
        self.nursery = nursery
        self.log = log
        self.memory = memory
        self.resource_log = resource_log
        self.scheduler = ReadScheduler(nursery, SMALL_REQUESTS_PER_PASS)
        self.bulk_scheduler = ReadScheduler(nursery, BULK_STEPS_PER_PASS)
        self.pass_monitor = PassMonitor((self.scheduler, self.bulk_scheduler), log)
        self.shutdown: Shutdown | None = None
        self.limit_reached = False  # and logged
        self.listener_closed = False
        self.open: set[ClientConnection] = set()
        # Open connections on which nothing has begun, and since when; the longest idle one first.
        self.idle: dict[ClientConnection, float] = {}
        # Open connections whose request has begun and is incomplete, and since when; the oldest one first.
        self.incomplete: dict[ClientConnection, float] = {}
        # Open connections that this side has half-closed, in that order; a dict used as an ordered set.
        self.lingering: dict[ClientConnection, None] = {}
        self.unanswered: dict[bytes, Exchange] = {}  # by the id of the RPC
        self.recent_ids = RecentIds(configuration.settings.max_customers)
        self.empty = trio.Event()  # set once the listener and all connections are closed
        self.accepting = trio.CancelScope()
        self.sock = sock
        self.sock.listen(BACKLOG)

    def count_open(self) -> int:
        """The number of connections, lingering ones included."""
        return len(self.open)

    @property
    def leaving(self) -> bool:
        """Whether the gateway shuts down: each answer is the last of its connection then."""
        return self.shutdown is not None

    def latest_answer(self) -> float:
        """Until when an RPC that is read now has to be answered, on trio's clock, apart from its own deadline."""
        return self.shutdown.latest_answer() if self.shutdown else math.inf

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
        """Closes the connections that have lingered longest, and half-closes those that have been idle longest.

        If these are too few, requests that have been incomplete for KEEP_ALIVE_GRACE are refused.
        """
        for client in list(itertools.islice(self.lingering, count)):
            del self.lingering[client]
            client.scope.cancel()
        count -= self._close_idle(KEEP_ALIVE_GRACE, count)
        if len(self.open) >= self.max_open:
            self._refuse_incomplete(count)

    def _refuse_incomplete(self, count: int) -> None:
        """Guards against clients that write slowly and leave no connection to others."""
        begun_before = trio.current_time() - KEEP_ALIVE_GRACE
        for client, begun_at in list(itertools.islice(self.incomplete.items(), count)):
            if begun_at <= begun_before:
                client.evict()

    def start(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Starts a task of one connection, whose failure ends that connection only."""
        self.nursery.start_soon(self._guarded, task, *args)

    async def _guarded(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        try:
            await task(*args)
        except Exception:
            self.log.exception("client connection failed")

    def _close_idle(self, min_idle: float, count: int) -> int:
        """Closes at most `count` connections that have been idle for `min_idle` seconds; returns how many.

        Guards against idle clients that leave no descriptors to others. A connection that was just opened or answered
        stays: its next request may be on its way, and a client repeats a request on a new connection only once. Each
        connection is examined once: one with unread bytes is idle no more.
        """
        idle_since = trio.current_time() - min_idle
        closed = 0
        while self.idle and closed < count:
            client, since = next(iter(self.idle.items()))
            if since > idle_since:
                break
            del self.idle[client]
            closed += client.close_if_idle()
        return closed

    async def sweep(self) -> None:
        """Closes idle connections from time to time, so that memory and descriptors don't grow with the clients."""
        while True:
            await trio.sleep(KEEP_ALIVE_GRACE)
            self._close_idle(KEEP_ALIVE_GRACE if self.leaving else IDLE_TIMEOUT, self.max_open)

    def leave(self, shutdown: Shutdown) -> None:
        """Begins to shut down: each answer is the last of its connection from now on, and idle connections close.

        Connections whose first or next request may be on its way have KEEP_ALIVE_GRACE; the sweep closes them.
        """
        self.shutdown = shutdown
        self._close_idle(KEEP_ALIVE_GRACE, self.max_open)

    def finish(self, exchange: Exchange) -> None:
        """Forgets an RPC that is over, but for its id if it has had an effect that must not come again."""
        repeat = self.configuration.settings.methods[exchange.method].repeat
        may_repeat = repeat == RepeatSafety.IDEMPOTENT
        if self.unanswered.pop(exchange.id, None) and not may_repeat and exchange.has_run():
            self.recent_ids.add(exchange.id, trio.current_time())

    def has_run(self, exchange: Exchange) -> bool:
        """Whether an RPC with the same id is over and may have run."""
        return self.recent_ids.contains(exchange.id, trio.current_time())

    def abort_unanswered(self) -> None:
        """Answers all open RPCs with 502, which promises nothing, and has nothing more sent for them.

        Guards against a process that ends before RPCs whose decisions come late.
        """
        for exchange in list(self.unanswered.values()):
            exchange.answer(Answer(502))
            enqueue(self.queue, ClientLeft(exchange))

    def remove(self, client: ClientConnection | None) -> None:
        """Forgets a closed connection; None after the listener was closed."""
        self.open.discard(client)
        self.idle.pop(client, None)
        self.incomplete.pop(client, None)
        self.lingering.pop(client, None)
        self.limit_reached = self.limit_reached and len(self.open) >= self.crowded_above
        # Guards against ending while RPCs are open that came after a moment without any connection, which is the
        # rule at a gateway that few clients use: `empty` is set only once the listener is closed.
        if self.listener_closed and not self.open:
            self.empty.set()
