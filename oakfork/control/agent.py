"""Runs the follower in a gateway, and hands over changes of servers in the form of discovery. Over trio."""

from collections import deque
from itertools import islice
from typing import Any, Callable, Iterable, Sequence

import trio
from structlog.stdlib import BoundLogger

from oakfork.control import events, records
from oakfork.control.engine import Engine, clock
from oakfork.control.follower import Follower
from oakfork.control.messages import EMPTY, Kind, Position
from oakfork.control.state import Records

SLICE = 64  # records examined, and servers handed over, at once
MAX_WAITING_CHANGES = 16  # states that came into force and are not handed over yet

Rows = list[dict[str, Any]]


class Agent:
    """Follows the control part and looks up records.

    `in_force` is called with at most SLICE servers at a time, each as it is in force at that moment; it must not wait.
    With `service`, only servers of that service are handed over, and one that leaves it is "removed". `known` are the
    servers that the gateway has already, from its configuration: with the first state, each is handed over as it is
    there, or "removed" if it is not there or of another service.
    """

    def __init__(
        self,
        name: str,
        relays: Sequence[str],
        seed: int,
        log: BoundLogger,
        in_force: Callable[[Rows], None] | None = None,
        service: str | None = None,
        known: Iterable[str] = (),
    ) -> None:
        self.store = Records()
        self.log = log
        self.hand_over = in_force
        self.service = service
        self.machine = Follower(name, relays, self.store, seed=seed)
        self.engine = Engine(self.machine, log, in_force=self._in_force)
        # Changes in force that are not handed over yet; beyond MAX_WAITING_CHANGES they are merged.
        self.waiting: deque[events.Changes] = deque()
        self.handed_over = set(known)  # servers that the gateway has, and that were not removed since
        self.changes_waiting = trio.Event()

    @property
    def position(self) -> Position:
        """The position of the state in force."""
        return self.machine.position

    def age(self) -> int | None:
        """Milliseconds since the state in force here was the publisher's; None before a publisher was heard of."""
        return self.machine.age(clock())

    @property
    def counts(self) -> dict[str, int]:
        """The engine's counts, by reason."""
        return dict(self.engine.counts)

    def record(self, kind: Kind, name: str) -> Any:
        """Looks up a record, of one of records.TYPES; None if there is none or it can't be decoded.

        Look-ups without waiting in between see one state.
        """
        value = self.store.value(kind, name)
        return None if value is None else records.unpack(kind, value)

    async def run(self) -> None:
        """Runs until it is cancelled or `leave` is called."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._hand_over_changes)
            await self.engine.run()
            nursery.cancel_scope.cancel()

    async def leave(self) -> None:
        """Says goodbye to the relay; takes a little over a second at most."""
        await self.engine.leave()

    def _in_force(self, command: events.InForce) -> None:
        if self.hand_over is None:
            return
        changes = command.changes
        if command.before == EMPTY:  # the first state: what the gateway has and the state has not is gone
            had = [(Kind.SERVER, name) for name in self.handed_over]
            changes = {**changes, **{key: None for key in had if key not in changes}}
        if len(self.waiting) < MAX_WAITING_CHANGES:
            self.waiting.append(changes)
        else:
            self.waiting[-1] = {**self.waiting[-1], **changes}
        self.changes_waiting.set()

    async def _hand_over_changes(self) -> None:
        while True:
            await self.changes_waiting.wait()
            self.changes_waiting = trio.Event()
            while self.waiting:
                remaining_keys = iter(self.waiting.popleft())
                while keys := list(islice(remaining_keys, SLICE)):
                    rows = [self._row(name) for kind, name in keys if kind is Kind.SERVER]
                    known_rows = [row for row in rows if row is not None]
                    if known_rows:
                        self._hand_over_rows(known_rows)
                    await trio.lowlevel.checkpoint()

    def _hand_over_rows(self, rows: Rows) -> None:
        try:
            self.hand_over(rows)
        except Exception:  # an error there costs these rows, not later ones
            self.engine.count_event("servers were not taken")
            self.log.exception("servers were not taken")

    def _row(self, name: str) -> dict[str, Any] | None:
        """A server in the form of discovery; None if it is not to be handed over and never was."""
        server = self.record(Kind.SERVER, name)
        if server is None or self.service not in (None, server.service):
            if name not in self.handed_over:
                return None
            self.handed_over.discard(name)
            return records.discovery_row(name, None)
        self.handed_over.add(name)
        return records.discovery_row(name, self.store.value(Kind.SERVER, name))
