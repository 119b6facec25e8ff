"""The follower as a gateway runs it: its state, how old that is, and the servers' changes handed over as discovery
would tell them. Over trio.
"""

from collections import deque
from itertools import islice
from typing import Any, Callable, Sequence

import trio
from structlog.stdlib import BoundLogger

from oakfork.control import events, records
from oakfork.control.engine import Engine, clock
from oakfork.control.follower import Follower
from oakfork.control.messages import Kind, Position
from oakfork.control.state import Records

SLICE = 64  # records looked at, servers handed over at once
MOST_WAITING = 16  # changes of state

Rows = list[dict[str, Any]]


class Agent:
    """`in_force` is given at most SLICE servers at a time, of each one what is in force when it is given; it must not
    wait. `service`: only that one's servers, a server that leaves it is "removed"."""

    def __init__(
        self,
        who: str,
        relays: Sequence[str],
        seed: int,
        log: BoundLogger,
        in_force: Callable[[Rows], None] | None = None,
        service: str | None = None,
    ) -> None:
        self.store, self.log, self.hand_over, self.service = Records(), log, in_force, service
        self.machine = Follower(who, relays, self.store, seed=seed)
        self.engine = Engine(self.machine, log, in_force=self._in_force)
        # What came into force and was not handed over: MOST_WAITING at most, then they coalesce; emptied by `run`.
        self.waiting: deque[events.Changes] = deque()
        self.given: set[str] = set()  # servers handed over and not taken back
        self.news = trio.Event()

    @property
    def position(self) -> Position:
        """Of the state in force."""
        return self.machine.position

    def age(self) -> int | None:
        """Milliseconds since what is in force here was what the publisher had; None before it was ever heard of."""
        return self.machine.age(clock())

    @property
    def counts(self) -> dict[str, int]:
        return dict(self.engine.counts)

    # Look-ups, of what is in force; those made without a wait between them are of one state

    def record(self, kind: Kind, name: str) -> Any:
        """A record of records.TYPES; None where there is none, or none that can be read."""
        value = self.store.value(kind, name)
        return None if value is None else records.unpack(kind, value)

    async def run(self) -> None:
        """Until it is cancelled, or `leave` is called."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._give)
            await self.engine.run()
            nursery.cancel_scope.cancel()

    async def leave(self) -> None:
        """Says goodbye to its relay, within a bit over a second."""
        await self.engine.leave()

    def _in_force(self, command: events.InForce) -> None:
        if self.hand_over is None:
            return
        if len(self.waiting) < MOST_WAITING:
            self.waiting.append(command.changes)
        else:
            self.waiting[-1] = {**self.waiting[-1], **command.changes}
        self.news.set()

    async def _give(self) -> None:
        while True:
            await self.news.wait()
            self.news = trio.Event()
            while self.waiting:
                names = iter(self.waiting.popleft())
                while keys := list(islice(names, SLICE)):
                    rows = [self._row(name) for kind, name in keys if kind is Kind.SERVER]
                    if rows := [row for row in rows if row is not None]:
                        self._hand(rows)
                    await trio.lowlevel.checkpoint()

    def _hand(self, rows: Rows) -> None:
        try:
            self.hand_over(rows)
        except Exception:  # a fault there costs these rows, not what follows
            self.engine.note("servers were not taken")
            self.log.exception("servers were not taken")

    def _row(self, name: str) -> dict[str, Any] | None:
        server = self.record(Kind.SERVER, name)
        if server is None or self.service not in (None, server.service):
            if name not in self.given:
                return None  # nothing is known of it there
            self.given.discard(name)
            return records.discovery_row(name, None)
        self.given.add(name)
        return records.discovery_row(name, self.store.value(Kind.SERVER, name))
