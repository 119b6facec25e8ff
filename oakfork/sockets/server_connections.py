"""Connections to the servers, for call-outs and probes; each exchange has a connection to itself while it lasts."""

import math
from typing import Callable, Sequence

import h11
import trio

from oakfork.errors import ConnectionFailedError
from oakfork.sockets.configuration import Address
from oakfork.sockets.exchange import CallOut
from oakfork.sockets.http_connection import HttpConnection, HttpMessage, connect, parse_pairs, request_head
from oakfork.sockets.memory_account import MemoryAccount, MemoryCharge, ResourceLog
from oakfork.sockets.outcomes import Outcome

# Seconds that a connection rests after an answer before it is used again: a surplus second answer may come some
# milliseconds late, and would be taken for the answer to the next request.
REST = 0.05
IDLE_MARGIN = 1.0  # seconds before the other side's idle limit at which a connection is no longer used
SWEEP_INTERVAL = 1.0  # seconds between sweeps of idle connections
FADE = 0.9  # what a sweep leaves of the counts of IdleAges


class IdleAges:
    """How often reused connections broke, by how long they had been idle.

    The classes of idle time begin at a sixteenth of a second, and each is twice as long as the one before. Guards
    against networks and machines that drop idle connections silently and sooner than their stated limit: the request
    written to such a connection is lost, and its server is taken to be faulty.
    """

    def __init__(self) -> None:
        # Connections used and, of those, broken, for each class of idle time; lowered by fade.
        self.rows = [[0.0, 0.0] for _ in range(10)]

    def _row(self, idle_time: float) -> list[float]:
        return self.rows[min(len(self.rows) - 1, int(idle_time * 16).bit_length())]

    def is_usable(self, idle_time: float) -> bool:
        """Whether a connection that has been idle for so many seconds is likely to work."""
        used, broken = self._row(idle_time)
        return broken < 2 or broken < used / 4  # one or two may have broken by chance

    def record(self, idle_time: float, broken: bool) -> None:
        """Counts the use of a connection that had been idle for so many seconds."""
        row = self._row(idle_time)
        row[0] += 1
        row[1] += broken

    def fade(self) -> None:
        """Lowers the counts; called once a second. After some ten seconds a class that broke is tried again."""
        for row in self.rows:
            row[:] = row[0] * FADE, row[1] * FADE


class ServerConnections:
    """The idle connections to each server, and the number of all connections to servers.

    `max_open` bounds the connections and `max_body` the bytes of an answer's body; the timeouts are seconds.
    `load_report_names` are the values of a load report, in the order in which the decision module wants them.
    """

    def __init__(
        self,
        max_open: int,
        max_body: int,
        connect_timeout: float,
        idle_timeout: float,
        load_report_names: Sequence[str],
        resource_log: ResourceLog | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        self.max_open = max_open
        self.max_body = max_body
        self.connect_timeout = connect_timeout
        self.max_idle = max(0.0, idle_timeout - IDLE_MARGIN)
        self.load_report_names = [name.encode() for name in load_report_names]
        self.resource_log = resource_log  # None: the outcomes of call-outs are not logged
        self.memory = memory  # None: answers are bounded one by one only
        self.open = 0
        self.idle_ages = IdleAges()
        # By the server's index: how often the process that runs there has changed. It grows no larger than the
        # decision loop's table of servers.
        self.generations: dict[int, int] = {}
        # By the server's index: since when each connection has been idle; the last used one is last. Swept by run.
        self.idle: dict[int, list[tuple[float, HttpConnection]]] = {}

    async def call(
        self,
        server: int,
        address: Address,
        make_head: Callable[[], h11.Request],
        body: bytes = b"",
        call_out: CallOut | None = None,
    ) -> tuple[Outcome, HttpMessage | None]:
        """One exchange with a server: how it ended, and the answer if there is one.

        Sends the request once and never again, and keeps the connection if it can be reused. A call-out begins only
        while its decision is valid, and is written completely by its write deadline or never. `make_head` makes the
        head just before its first byte is written.
        """
        connection = None
        idle_time = None
        outcome = Outcome.GIVEN_UP
        generation = self.generations.get(server, 0)
        try:
            with trio.CancelScope(deadline=call_out.write_deadline if call_out else math.inf) as scope:
                connection, idle_time = self._reuse(server)
                connection = connection or await self._new(address)
                # Guards against a head that counts the wait for the connection as time left: it is made only now.
                head = _make_head(make_head)
                # Guards against connections that come up late: they may lead to a process that has been replaced.
                if generation != self.generations.get(server, 0) or call_out and not call_out.begin():
                    raise ConnectionFailedError(Outcome.TOO_LATE)
                await connection.write(head, body)
            if scope.cancelled_caught:
                raise ConnectionFailedError(Outcome.UNSENT if connection else Outcome.NEVER_UP)
            message = await connection.read(self.connect_timeout)
            # Guards against keeping a connection to a process that was replaced while it was in use, under an index
            # that stands for something else by now.
            if connection.renew() and generation == self.generations.get(server, 0):
                self.idle.setdefault(server, []).append((trio.current_time(), connection))
                connection = None
            outcome = _outcome_of(message)
            return outcome, message
        except ConnectionFailedError as error:
            outcome = error.outcome
            return outcome, None
        finally:
            if idle_time is not None and outcome is not Outcome.GIVEN_UP:
                self.idle_ages.record(idle_time, outcome in (Outcome.UNSENT, Outcome.BROKEN, Outcome.ENDED))
            if connection is not None:
                self._close(connection)
            if self.resource_log and call_out and outcome is not Outcome.ANSWERED:
                self.resource_log.count(f"call-out {outcome.name}")

    async def probe(self, server: int, address: Address, with_load: bool) -> tuple[Outcome, HttpMessage | None]:
        """Asks a server for its health or its load report, within the timeout of a connection."""
        head = request_head("GET", "/-/load" if with_load else "/-/healthy", address)
        with trio.CancelScope(deadline=trio.current_time() + self.connect_timeout):
            return await self.call(server, address, lambda: head)
        return Outcome.SILENT, None

    def _reuse(self, server: int) -> tuple[HttpConnection | None, float | None]:
        """An idle connection and how long it has been idle, in seconds: the last used of those that have rested."""
        kept = self.idle.get(server, [])
        now = trio.current_time()
        found = (None, None)
        resting = [pair for pair in kept if now - pair[0] < REST]
        del kept[len(kept) - len(resting) :]
        while kept and found[0] is None:
            since, connection = kept.pop()
            idle_time = now - since
            if idle_time < self.max_idle and self.idle_ages.is_usable(idle_time) and connection.is_reusable():
                found = connection, idle_time
            else:
                self._close(connection)
        kept += resting
        return found

    async def _new(self, address: Address) -> HttpConnection:
        if self.open >= self.max_open and not self._close_oldest():
            raise ConnectionFailedError(Outcome.NO_ROOM)
        self.open += 1
        try:
            connection = await connect(address, self.connect_timeout, self.max_body)
        except BaseException:
            self.open -= 1
            raise
        if self.memory is not None:
            connection.charge = MemoryCharge(self.memory)
        return connection

    def _close(self, connection: HttpConnection) -> None:
        self.open -= 1
        connection.close()

    def _close_oldest(self) -> bool:
        """Closes the connection that has been idle longest; False if none is idle."""
        lists = [kept for kept in self.idle.values() if kept]
        if lists:
            self._close(min(lists, key=lambda kept: kept[0][0]).pop(0)[1])
        return bool(lists)

    def close_idle(self, server: int) -> None:
        """Closes the idle connections to a server whose process has changed or is gone.

        Connections to it that are in use end with their exchange.
        """
        self.generations[server] = self.generations.get(server, 0) + 1
        for _, connection in self.idle.pop(server, ()):
            self._close(connection)

    async def run(self) -> None:
        """Closes connections that have been idle for too long to be used again."""
        while True:
            await trio.sleep(SWEEP_INTERVAL)
            self.idle_ages.fade()
            idle_since = trio.current_time() - self.max_idle
            for server, kept in list(self.idle.items()):
                while kept and kept[0][0] < idle_since:
                    self._close(kept.pop(0)[1])
                if not kept:
                    del self.idle[server]

    def load(self, message: HttpMessage | None, probe: bool = False) -> tuple[float, ...]:
        """The load report of an answer, in the order of the settings; empty if there is none or it is incomplete.

        The answer to a probe may have it as its body.
        """
        if message is None or not self.load_report_names:
            return ()
        text = message.header(b"x-pressure") or (message.body if probe else b"")
        if not text:
            return ()
        try:
            values = {name: float(value) for name, value in parse_pairs(text)}
        except ValueError:
            return ()
        if not all(name in values for name in self.load_report_names):
            return ()
        return tuple(values[name] for name in self.load_report_names)


def _make_head(make_head: Callable[[], h11.Request]) -> h11.Request:
    try:
        return make_head()
    except h11.LocalProtocolError:  # it can't be sent to any server, so that no server is at fault
        raise ConnectionFailedError(Outcome.TOO_LATE) from None


def _outcome_of(message: HttpMessage) -> Outcome:
    status = message.head.status_code
    if status == 200:
        return Outcome.ANSWERED
    if status in (503, 504) and message.header(b"x-turned-away") == b"1":
        return Outcome.TURNED_AWAY
    return Outcome.ERROR
