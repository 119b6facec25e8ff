"""Connections to the servers: call-outs and probes, each on a connection of its own while it lasts."""

import math
from typing import Callable, Sequence

import h11
import trio

from oakfork.errors import ConnectionFailedError
from oakfork.sockets.configuration import Address
from oakfork.sockets.exchange import CallOut
from oakfork.sockets.http_connection import HttpConnection, HttpMessage, connect, pairs, request_head
from oakfork.sockets.outcomes import Outcome

# Seconds that a connection rests after an answer before it is used again: a second answer may come some milliseconds
# late, and would be taken for the next one's.
REST = 0.05
EARLY = 1.0  # seconds before the other side's idle limit at which a connection is no longer used


class Ages:
    """How connections fared that were used again, by how long they had been idle: each row twice as long as the one
    before, from a sixteenth of a second. Guards against networks and machines that drop idle connections without a
    word, and sooner than they say: the request written to one is lost, and its server is held to be ill."""

    def __init__(self) -> None:
        self.rows = [[0.0, 0.0] for _ in range(10)]  # used, broken; emptied by fade

    def _row(self, age: float) -> list[float]:
        return self.rows[min(len(self.rows) - 1, int(age * 16).bit_length())]

    def fit(self, age: float) -> bool:
        used, broken = self._row(age)
        return broken < 2 or broken < used / 4  # one or two may have broken by chance

    def note(self, age: float, broken: bool) -> None:
        row = self._row(age)
        row[0] += 1
        row[1] += broken

    def fade(self) -> None:
        """Once a second: after some ten, what did not fare well is tried again."""
        for row in self.rows:
            row[:] = row[0] * 0.9, row[1] * 0.9


class ServerConnections:
    """Idle connections by server, the last used first, and the number of all connections."""

    def __init__(
        self, most: int, largest: int, connect_patience: float, idle_patience: float, names: Sequence[str]
    ) -> None:
        self.most, self.largest = most, largest
        self.connect_patience = connect_patience
        self.usable = max(0.0, idle_patience - EARLY)
        self.names = [name.encode() for name in names]
        self.open = 0
        self.ages = Ages()
        self.eras: dict[int, int] = {}  # by the server's index: how often what runs there changed; no larger than
        # the keeper's table of servers
        self.idle: dict[int, list[tuple[float, HttpConnection]]] = {}  # by the server's index; emptied by run

    async def call(
        self,
        server: int,
        address: Address,
        head: Callable[[], h11.Request],
        body: bytes = b"",
        call_out: CallOut | None = None,
    ) -> tuple[Outcome, HttpMessage | None]:
        """One exchange with a server. Sends it once and never again; the connection is kept if it stays usable. A
        call-out begins only while what was decided holds, and is written whole in its time or never. `head` makes the
        request's head for its first byte."""
        link, age, outcome, era = None, None, Outcome.GIVEN_UP, self.eras.get(server, 0)
        try:
            with trio.CancelScope(deadline=call_out.write_deadline if call_out else math.inf) as scope:
                link, age = self._kept(server)
                link = link or await self._new(address)
                # Guards against a head that tells of time spent waiting for its connection: made now, not before.
                request = _made(head)
                # Guards against connections that come up late: they may lead to what runs there no more.
                if era != self.eras.get(server, 0) or call_out and not call_out.begin():
                    raise ConnectionFailedError(Outcome.TOO_LATE)
                await link.write(request, body)
            if scope.cancelled_caught:
                raise ConnectionFailedError(Outcome.UNSENT if link else Outcome.NEVER_UP)
            message = await link.read(self.connect_patience)
            # Guards against keeping a connection, in use when what runs there changed, under an index that stands for
            # something else by now.
            if link.renew() and era == self.eras.get(server, 0):
                self.idle.setdefault(server, []).append((trio.current_time(), link))
                link = None
            outcome = _ending(message)
            return outcome, message
        except ConnectionFailedError as end:
            outcome = end.outcome
            return outcome, None
        finally:
            if age is not None and outcome is not Outcome.GIVEN_UP:
                self.ages.note(age, outcome in (Outcome.UNSENT, Outcome.BROKEN, Outcome.ENDED))
            if link is not None:
                self._drop(link)

    async def probe(self, server: int, address: Address, with_load: bool) -> tuple[Outcome, HttpMessage | None]:
        """A look at a server; it waits as long as for a connection."""
        request = request_head("GET", "/-/load" if with_load else "/-/healthy", address)
        with trio.CancelScope(deadline=trio.current_time() + self.connect_patience):
            return await self.call(server, address, lambda: request)
        return Outcome.SILENT, None

    def _kept(self, server: int) -> tuple[HttpConnection | None, float | None]:
        """A connection, and how long it has been idle: the last used of those that have rested."""
        kept, now, found = self.idle.get(server, []), trio.current_time(), (None, None)
        resting = [pair for pair in kept if now - pair[0] < REST]
        del kept[len(kept) - len(resting) :]
        while kept and found[0] is None:
            since, link = kept.pop()
            if now - since < self.usable and self.ages.fit(now - since) and link.is_reusable():
                found = link, now - since
            else:
                self._drop(link)
        kept += resting
        return found

    async def _new(self, address: Address) -> HttpConnection:
        if self.open >= self.most and not self._drop_oldest():
            raise ConnectionFailedError(Outcome.NO_ROOM)
        self.open += 1
        try:
            return await connect(address, self.connect_patience, self.largest)
        except BaseException:
            self.open -= 1
            raise

    def _drop(self, link: HttpConnection) -> None:
        self.open -= 1
        link.close()

    def _drop_oldest(self) -> bool:
        lists = [kept for kept in self.idle.values() if kept]
        if lists:
            self._drop(min(lists, key=lambda kept: kept[0][0]).pop(0)[1])
        return bool(lists)

    def close_idle(self, server: int) -> None:
        """What runs there has changed or is gone: no connection to it is used any more, those in use for no other."""
        self.eras[server] = self.eras.get(server, 0) + 1
        for _, link in self.idle.pop(server, ()):
            self._drop(link)

    async def run(self) -> None:
        """Closes what has stood idle too long to be used again."""
        while True:
            await trio.sleep(EARLY)
            self.ages.fade()
            last = trio.current_time() - self.usable
            for server, kept in list(self.idle.items()):
                while kept and kept[0][0] < last:
                    self._drop(kept.pop(0)[1])
                if not kept:
                    del self.idle[server]

    def load(self, message: HttpMessage | None, probe: bool = False) -> tuple[float, ...]:
        """The load report, in the settings' order; empty if there is none. A probe may have it as its body."""
        if message is None or not self.names:
            return ()
        text = message.header(b"x-pressure") or (message.body if probe else b"")
        if not text:
            return ()
        try:
            values = {name: float(value) for name, value in pairs(text)}
        except ValueError:
            return ()
        if not all(name in values for name in self.names):
            return ()
        return tuple(values[name] for name in self.names)


def _made(head: Callable[[], h11.Request]) -> h11.Request:
    try:
        return head()
    except h11.LocalProtocolError:  # not to be said to any server: none is to blame
        raise ConnectionFailedError(Outcome.TOO_LATE) from None


def _ending(message: HttpMessage) -> Outcome:
    status = message.head.status_code
    if status == 200:
        return Outcome.ANSWERED
    if status in (503, 504) and message.header(b"x-turned-away") == b"1":
        return Outcome.TURNED_AWAY
    return Outcome.ERROR
