"""Drives a machine of this package: one task owns it, takes events from a queue and does its commands. Over trio.

The queue is bounded, and so is what one connection can have in it: its reader waits. Counts are by reasons of a fixed
set; each is logged at every doubling.
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
from oakfork.errors import ConnectionFailedError, DatabaseError, log_fields

QUEUE = 256  # events that wait
SPARE = 64  # connections
BUSY = 0.05  # seconds before the next accept where there are no descriptors
AGAIN = 0.2  # seconds before a change set that could not be stored is tried once more
NEVER = float("inf")


def clock() -> int:
    """Steady milliseconds, which go on while the process or the machine stands still."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Machine(Protocol):
    def handle(self, now: int, event: events.Event) -> list[events.Command]: ...


class Engine:
    """`in_force` is told of each InForce and must not wait; `database` stores what Keep says. `connections`: as the
    machine's own bound, beyond which it says goodbye; SPARE more are closed without a word."""

    def __init__(
        self,
        machine: Machine,
        log: BoundLogger,
        connections: int = 0,
        in_force: Callable[[events.InForce], None] | None = None,
        database: Database | None = None,
    ) -> None:
        self.machine, self.log, self.connections = machine, log, connections
        self.in_force, self.database = in_force, database
        self.links: dict[int, FrameConnection | None] = {}  # None: not up yet; emptied when a link ends
        self.scopes: dict[int, trio.CancelScope] = {}  # of links that are being made
        self.last = 0  # link that came in
        self.coming = 0  # links that came in and have not ended
        self.counts: Counter[str] = Counter()  # as many as reasons
        self.wake = NEVER  # as clock()
        self.more = False
        self.sender, self.receiver = trio.open_memory_channel[events.Event](QUEUE)
        self.nursery: trio.Nursery | None = None
        self.open: set[FrameConnection] = set()  # those that are up, or closed and not yet over
        self.stored = trio.Event()  # there may be change sets to fold
        self.disk = trio.Lock()  # the database takes one call at a time

    async def run(self, listener: trio.SocketListener | None = None) -> None:
        async with trio.open_nursery() as self.nursery:
            if listener is not None:
                self.nursery.start_soon(self._accept, listener)
            if self.database is not None:
                self.nursery.start_soon(self._fold_log)
            self.handle(events.TimeCame())
            await self._loop()

    async def leave(self) -> None:
        """Says goodbye, and ends when that is taken or a second has passed."""
        self.handle(events.Left())
        for link in self.open:
            link.close()
        with trio.move_on_after(1.2):
            while self.open:
                await trio.sleep(0.01)
        self.nursery.cancel_scope.cancel()

    def note(self, reason: str, about: str = "") -> None:
        self.counts[reason] += 1
        if (count := self.counts[reason]) & (count - 1) == 0:
            self.log.info(reason, count=count, **({"about": about} if about else {}))

    async def _loop(self) -> None:
        while True:
            event = None
            if self.more:
                await trio.lowlevel.checkpoint()
                try:
                    event = self.receiver.receive_nowait()
                except trio.WouldBlock:
                    pass
            else:
                with trio.move_on_after(max(0.0, self.wake - clock()) / 1000):
                    event = await self.receiver.receive()
            if event is not None:
                self.handle(event)
            if clock() >= self.wake:
                self.wake = NEVER
                self.handle(events.TimeCame())
            if self.more:
                await trio.lowlevel.checkpoint()
                self.more = False
                self.handle(events.Step())

    def handle(self, event: events.Event) -> None:
        """A fault in the machine costs that event, and the link that it came by."""
        try:
            for command in self.machine.handle(clock(), event):
                self._do(command)
        except Exception:
            self.counts["the machine failed"] += 1
            self.log.exception("the machine failed", event_kind=type(event).__name__)
            if (link := self.links.get(getattr(event, "link", 0))) is not None:
                link.close()  # it is told of the loss

    def _do(self, command: events.Command) -> None:
        match command:
            case events.Say(number, frame):
                if (link := self.links.get(number)) is not None:
                    link.say(frame)
            case events.Wake(at):
                self.wake = at
            case events.More():
                self.more = True
            case events.InForce():
                if self.in_force is not None:
                    self.in_force(command)
            case events.Close(number):
                if (scope := self.scopes.pop(number, None)) is not None:
                    scope.cancel()
                if (link := self.links.pop(number, None)) is not None:
                    link.close()
            case events.Connect(place, number):
                self.links[number] = None
                self.nursery.start_soon(self._connect, place, number)
            case events.Keep():
                self.nursery.start_soon(self._keep, command)
            case events.Unkeep(position):
                self.nursery.start_soon(self._unkeep, position)
            case events.Note(reason, about):
                self.note(reason, about)

    # Connections

    async def _connect(self, place: str, number: int) -> None:
        self.scopes[number] = scope = trio.CancelScope()
        stream = None
        with scope:
            try:
                stream = await connect(place)
            except ConnectionFailedError as end:
                self.note(f"not connected: {end.outcome.name}", place)
        self.scopes.pop(number, None)
        if number not in self.links:  # closed meanwhile
            if stream is not None:
                await trio.aclose_forcefully(stream)
        elif stream is None:
            del self.links[number]
            await self.sender.send(events.Lost(number))
        else:
            await self._serve(FrameConnection(stream, NEVER), number, unpack_down)

    async def _accept(self, listener: trio.SocketListener) -> None:
        async with listener:
            while True:
                try:
                    stream = await listener.accept()
                except OSError:  # no descriptor, or one that ended before it was taken
                    self.note("not accepted")
                    await trio.sleep(BUSY)
                    continue
                if self.coming >= self.connections + SPARE:
                    self.note("refused: no room for a connection")
                    await trio.aclose_forcefully(stream)
                    continue
                self.last += 1
                self.coming += 1
                self.nursery.start_soon(self._came, stream, self.last)

    async def _came(self, stream: trio.SocketStream, number: int) -> None:
        try:
            await self._serve(FrameConnection(stream), number, unpack_up)
        finally:
            self.coming -= 1

    async def _serve(self, link: FrameConnection, number: int, unpack: Callable[[bytes], Any]) -> None:
        async def take(body: bytes) -> None:
            message = unpack(body)
            if number in self.links:
                await self.sender.send(events.Heard(number, message))

        self.links[number] = link
        self.open.add(link)
        try:
            await self.sender.send(events.Connected(number))
            ending = await link.run(take)
        finally:
            self.open.discard(link)
        self.note(f"connection: {ending}")
        if self.links.get(number) is link:  # not closed by the machine
            del self.links[number]
            await self.sender.send(events.Lost(number))

    # The database

    async def _keep(self, command: events.Keep) -> None:
        number, reason = command.position.number, await self._on_disk("stored", self.database.commit, *command)
        await self.sender.send(events.Stored(number) if reason is None else events.NotStored(number, reason))
        if reason is None:
            self.stored.set()

    async def _unkeep(self, position: Position) -> None:
        number, reason = position.number, await self._on_disk("taken back", self.database.uncommit, position)
        await self.sender.send(events.Unkept(number) if reason is None else events.NotUnkept(number, reason))

    async def _on_disk(self, what: str, act: Callable[..., None], *told_of: Any) -> str | None:
        """Tried twice; why it failed, None: it did not."""
        for pause in (AGAIN, 0.0):
            try:
                async with self.disk:
                    return await trio.to_thread.run_sync(act, *told_of)
            except DatabaseError as error:
                self.log.error(f"a change set could not be {what}", **log_fields(error))
                reason = str(error)[:200]
                await trio.sleep(pause)
        return reason

    async def _fold_log(self) -> None:
        while True:
            await self.stored.wait()
            self.stored, more = trio.Event(), True
            try:
                while more:
                    async with self.disk:
                        more = await trio.to_thread.run_sync(self.database.compact)
            except DatabaseError as error:
                self.log.error("the log could not be folded", **log_fields(error))


async def serve(engine: Engine, listener: trio.SocketListener | None, log: BoundLogger) -> None:
    """Until SIGTERM or SIGINT. Needs the main thread."""

    async def heed() -> None:
        async for _ in signals:
            log.info("leaving")
            await engine.leave()
            return

    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(heed)
            if listener is not None:
                log.info("serving", listen="{}:{}".format(*listener.socket.getsockname()[:2]))
            await engine.run(listener)
            nursery.cancel_scope.cancel()
    log.info("left", **{reason.replace(" ", "_"): count for reason, count in engine.counts.items()})
