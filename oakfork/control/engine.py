"""Drives a state machine of this package: one task takes events from a queue and executes its commands. Over trio.

The queue is bounded, and so is what one connection can have in it, since its reader waits. Occurrences are counted by a
fixed set of reasons; each is logged whenever its count reaches a power of two.
"""

import signal
import time
from collections import Counter
from typing import Any, Callable, Protocol

import trio
from structlog.stdlib import BoundLogger

from oakfork.control import events
from oakfork.control.connections import FrameConnection, connect
from oakfork.control.database import Database
from oakfork.control.messages import Position, unpack_down, unpack_up
from oakfork.control.vote_file import VoteFile
from oakfork.errors import ConnectionFailedError, DatabaseError, log_fields

MAX_QUEUED_EVENTS = 256
SPARE_CONNECTIONS = 64  # accepted beyond the machine's own bound, so that it can send Goodbye
ACCEPT_RETRY_PAUSE = 0.05  # seconds before the next accept if there are no file descriptors
STORE_RETRY_PAUSE = 0.2  # seconds before a failed database call is tried once more
LEAVE_TIMEOUT = 1.2  # seconds for connections to end on shutdown; a little more than connections.CLOSE_TIMEOUT
LEAVE_POLL = 0.01  # seconds
MAX_REASON_LENGTH = 200  # characters of a database error that are passed on
NEVER = float("inf")


def clock() -> int:
    """Steady time in milliseconds, which continues while the process or the machine is suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Machine(Protocol):
    """A state machine as described in events.py."""

    def handle(self, now: int, event: events.Event) -> list[events.Command]:
        """Handles an event at `now`, in milliseconds; returns the commands to execute."""
        ...


class Engine:
    """Runs a machine with its connections, timer and database.

    `connections` is the machine's own bound on incoming links, beyond which it says goodbye; those beyond
    SPARE_CONNECTIONS more are closed without a message. `in_force` is called with each InForce and must not wait.
    `database` stores change sets, `vote_file` what a voter keeps.
    """

    def __init__(
        self,
        machine: Machine,
        log: BoundLogger,
        connections: int = 0,
        in_force: Callable[[events.InForce], None] | None = None,
        database: Database | None = None,
        vote_file: VoteFile | None = None,
    ) -> None:
        self.machine = machine
        self.log = log
        self.connections = connections
        self.in_force = in_force
        self.database = database
        self.vote_file = vote_file
        self.links: dict[int, FrameConnection | None] = {}  # None: not established yet
        self.connect_scopes: dict[int, trio.CancelScope] = {}  # of links being established
        self.last_incoming_link = 0
        self.incoming_count = 0  # incoming links that have not ended
        self.counts: Counter[str] = Counter()  # by reason
        self.timer = NEVER  # on the clock of clock()
        self.step_scheduled = False
        self.sender, self.receiver = trio.open_memory_channel[events.Event](MAX_QUEUED_EVENTS)
        self.nursery: trio.Nursery | None = None
        self.open_connections: set[FrameConnection] = set()  # including those closed by the machine and not ended yet
        self.change_set_stored = trio.Event()  # the database may need compaction
        self.database_lock = trio.Lock()  # the database takes one call at a time

    async def run(self, listener: trio.SocketListener | None = None) -> None:
        """Runs until it is cancelled or `leave` is called; accepts connections from the listener."""
        async with trio.open_nursery() as self.nursery:
            if listener is not None:
                self.nursery.start_soon(self._accept, listener)
            if self.database is not None:
                self.nursery.start_soon(self._compact_database)
            self.handle(events.TimerFired())
            await self._loop()

    async def leave(self) -> None:
        """Lets the machine say goodbye, and ends once that is written or LEAVE_TIMEOUT has passed."""
        self.handle(events.ShuttingDown())
        for connection in self.open_connections:
            connection.close()
        with trio.move_on_after(LEAVE_TIMEOUT):
            while self.open_connections:
                await trio.sleep(LEAVE_POLL)
        self.nursery.cancel_scope.cancel()

    def count_event(self, reason: str, about: str = "") -> None:
        """Counts an occurrence, and logs it if the count is a power of two now."""
        self.counts[reason] += 1
        count = self.counts[reason]
        if count & (count - 1) == 0:
            details = {"about": about} if about else {}
            self.log.info(reason, count=count, **details)

    async def _loop(self) -> None:
        while True:
            event = await self._next_event()
            if event is not None:
                self.handle(event)
            if clock() >= self.timer:
                self.timer = NEVER
                self.handle(events.TimerFired())
            if self.step_scheduled:
                await trio.lowlevel.checkpoint()
                self.step_scheduled = False
                self.handle(events.Step())

    async def _next_event(self) -> events.Event | None:
        """The next event; None if the timer fires first, or if there is none yet and a step is scheduled."""
        if self.step_scheduled:
            await trio.lowlevel.checkpoint()
            try:
                return self.receiver.receive_nowait()
            except trio.WouldBlock:
                return None
        with trio.move_on_after(max(0.0, self.timer - clock()) / 1000):
            return await self.receiver.receive()
        return None

    def handle(self, event: events.Event) -> None:
        """Passes an event to the machine and executes the commands.

        An exception in the machine costs that event, and the link that it came from.
        """
        try:
            for command in self.machine.handle(clock(), event):
                self._execute(command)
        except Exception:
            self.counts["the machine failed"] += 1
            self.log.exception("the machine failed", event_kind=type(event).__name__)
            connection = self.links.get(getattr(event, "link", 0))
            if connection is not None:
                connection.close()  # the machine gets Disconnected

    def _execute(self, command: events.Command) -> None:
        match command:
            case events.SendFrame(link, frame):
                connection = self.links.get(link)
                if connection is not None:
                    connection.send(frame)
            case events.SetTimer(at):
                self.timer = at
            case events.ScheduleStep():
                self.step_scheduled = True
            case events.InForce():
                if self.in_force is not None:
                    self.in_force(command)
            case events.Close(link):
                self._close(link)
            case events.Connect(address, link):
                self.links[link] = None
                self.nursery.start_soon(self._connect, address, link)
            case events.StoreChangeSet():
                self.nursery.start_soon(self._store, command)
            case events.RevertChangeSet(position):
                self.nursery.start_soon(self._revert, position)
            case events.BeginTerm():
                self.nursery.start_soon(self._begin_term, command)
            case events.StoreVote(state):
                self.nursery.start_soon(self._store_vote, state)
            case events.CountEvent(reason, about):
                self.count_event(reason, about)

    # Connections

    def _close(self, link: int) -> None:
        scope = self.connect_scopes.pop(link, None)
        if scope is not None:
            scope.cancel()
        connection = self.links.pop(link, None)
        if connection is not None:
            connection.close()

    async def _connect(self, address: str, link: int) -> None:
        scope = trio.CancelScope()
        self.connect_scopes[link] = scope
        stream = None
        with scope:
            try:
                stream = await connect(address)
            except ConnectionFailedError as error:
                self.count_event(f"not connected: {error.outcome.name}", address)
        self.connect_scopes.pop(link, None)
        if link not in self.links:  # closed in the meantime
            if stream is not None:
                await trio.aclose_forcefully(stream)
        elif stream is None:
            del self.links[link]
            await self.sender.send(events.Disconnected(link))
        else:
            await self._serve(FrameConnection(stream, NEVER), link, unpack_down)

    async def _accept(self, listener: trio.SocketListener) -> None:
        async with listener:
            while True:
                try:
                    stream = await listener.accept()
                except OSError:  # no file descriptor, or the connection has ended already
                    self.count_event("not accepted")
                    await trio.sleep(ACCEPT_RETRY_PAUSE)
                    continue
                if self.incoming_count >= self.connections + SPARE_CONNECTIONS:
                    self.count_event("refused: no room for a connection")
                    await trio.aclose_forcefully(stream)
                    continue
                self.last_incoming_link += 1
                self.incoming_count += 1
                self.nursery.start_soon(self._serve_incoming, stream, self.last_incoming_link)

    async def _serve_incoming(self, stream: trio.SocketStream, link: int) -> None:
        try:
            await self._serve(FrameConnection(stream), link, unpack_up)
        finally:
            self.incoming_count -= 1

    async def _serve(self, connection: FrameConnection, link: int, unpack: Callable[[bytes], Any]) -> None:
        """Passes the events of a connection to the machine until it ends."""

        async def handle_body(body: bytes) -> None:
            message = unpack(body)
            if link in self.links:
                await self.sender.send(events.FrameReceived(link, message))

        self.links[link] = connection
        self.open_connections.add(connection)
        try:
            await self.sender.send(events.Connected(link))
            ending = await connection.run(handle_body)
        finally:
            self.open_connections.discard(connection)
        self.count_event(f"connection: {ending}")
        if self.links.get(link) is connection:  # not closed by the machine
            del self.links[link]
            await self.sender.send(events.Disconnected(link))

    # The database

    async def _store(self, command: events.StoreChangeSet) -> None:
        number = command.position.number
        reason = await self._call_database("stored", self.database.commit, *command)
        if reason is not None:
            await self.sender.send(events.StoreFailed(number, reason))
            return
        await self.sender.send(events.Stored(number))
        self.change_set_stored.set()

    async def _revert(self, position: Position) -> None:
        number = position.number
        reason = await self._call_database("reverted", self.database.uncommit, position)
        if reason is not None:
            await self.sender.send(events.RevertFailed(number, reason))
        else:
            await self.sender.send(events.Reverted(number))

    async def _begin_term(self, command: events.BeginTerm) -> None:
        try:
            async with self.database_lock:
                term = await trio.to_thread.run_sync(self.database.begin_term, *command)
        except DatabaseError as error:
            self.log.error("no term could be begun", **log_fields(error))
            await self.sender.send(events.TermFailed(str(error)[:MAX_REASON_LENGTH]))
        else:
            await self.sender.send(events.TermBegun(term))

    async def _store_vote(self, state: events.VoterState) -> None:
        try:
            await trio.to_thread.run_sync(self.vote_file.store, state)
        except DatabaseError as error:
            self.log.error("a vote could not be stored", **log_fields(error))
            await self.sender.send(events.VoteFailed(str(error)[:MAX_REASON_LENGTH]))
        else:
            await self.sender.send(events.VoteStored())

    async def _call_database(self, verb: str, call: Callable[..., None], *arguments: Any) -> str | None:
        """Calls the database in a thread, twice if necessary; returns why it failed, None if it succeeded."""
        for pause in (STORE_RETRY_PAUSE, 0.0):
            try:
                async with self.database_lock:
                    return await trio.to_thread.run_sync(call, *arguments)
            except DatabaseError as error:
                self.log.error(f"a change set could not be {verb}", **log_fields(error))
                reason = str(error)[:MAX_REASON_LENGTH]
                await trio.sleep(pause)
        return reason

    async def _compact_database(self) -> None:
        while True:
            await self.change_set_stored.wait()
            self.change_set_stored = trio.Event()
            too_long = True
            try:
                while too_long:
                    async with self.database_lock:
                        too_long = await trio.to_thread.run_sync(self.database.compact)
            except DatabaseError as error:
                self.log.error("the log of change sets could not be compacted", **log_fields(error))


async def serve(engine: Engine, listener: trio.SocketListener | None, log: BoundLogger) -> None:
    """Runs an engine until SIGTERM or SIGINT. Works in the main thread only."""

    async def leave_on_signal() -> None:
        async for _ in signals:
            log.info("leaving")
            await engine.leave()
            return

    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leave_on_signal)
            if listener is not None:
                log.info("serving", listen="{}:{}".format(*listener.socket.getsockname()[:2]))
            await engine.run(listener)
            nursery.cancel_scope.cancel()
    log.info("left", **{reason.replace(" ", "_"): count for reason, count in engine.counts.items()})
