"""The publisher: accepts change sets, each refused or put in force as a whole, and serves followers. No I/O.

A change set is durable (`StoreChangeSet`, `Stored`) before it is in force, acknowledged or sent to followers. One is
handled at a time, so each is checked against the state that includes all before it. A repeated id gets the same answer
and has no second effect. Between two publishers the higher term decides: one that learns of a higher term refuses all
change sets from then on, and sends its followers elsewhere.
"""

from array import array
from collections import deque
from dataclasses import dataclass, field
from typing import Callable, Iterable, Mapping, NamedTuple, Protocol, Sequence

from oakfork.control.events import (
    Changes,
    Command,
    Connected,
    CountEvent,
    Disconnected,
    Event,
    FrameReceived,
    InForce,
    RevertChangeSet,
    Reverted,
    RevertFailed,
    ScheduleStep,
    SendFrame,
    SetTimer,
    Step,
    StoreChangeSet,
    Stored,
    StoreFailed,
    TimerFired,
)
from oakfork.control.follower_server import EGRESS, MAX_LINKS, FollowerServer
from oakfork.control.history import History
from oakfork.control.messages import (
    MAX_FAULTS,
    Position,
    Row,
    Status,
    StatusRequest,
    Submit,
    SubmitResult,
    pack,
)
from oakfork.control.other_publishers import OtherPublishers
from oakfork.control.state import Store, as_changes, total_digest, updated_sums
from oakfork.control.status import status
from oakfork.errors import DatabaseError

MAX_QUEUED_SETS = 64  # waiting change sets; further ones are refused
MAX_WAITING_LINKS = 16  # links that wait for the result of one change set
MAX_ANSWERED_IDS = 65_536  # ids whose position is remembered; the oldest are dropped

Parse = Callable[[bytes], tuple[Sequence[Row], Sequence[str]]]  # returns rows, or faults by their paths
Contradictions = Callable[[Store, Sequence[Row]], Sequence[str]]


class Entry(Protocol):
    """A stored change set, which led from `before` to `position`."""

    before: Position
    position: Position
    rows: Sequence[Row]


@dataclass(slots=True)
class _Submitted:
    id: str
    change: bytes
    links: list[int] = field(default_factory=list)  # waiting for the result, MAX_WAITING_LINKS at most


class _Storing(NamedTuple):
    """A change set that is being written to the disk."""

    position: Position
    changes: Changes
    sums: array


class Publisher:
    """A publisher of `term`, which is durable already and above the term of `stored`.

    `store` holds the state of position `stored`. `entries` are the change sets that led there and `ids` the positions
    of change sets, both oldest first. `on_change` is called with the changes of each change set as soon as the store
    has them, so that `contradictions` can keep an index of the state. Raises DatabaseError if the term is too low.
    """

    def __init__(
        self,
        name: str,
        term: int,
        stored: Position,
        store: Store,
        parse: Parse,
        contradictions: Contradictions,
        *,
        entries: Iterable[Entry] = (),
        ids: Mapping[str, Position] | None = None,
        on_change: Callable[[Changes], None] | None = None,
        egress: int = EGRESS,
        max_links: int = MAX_LINKS,
        others: Sequence[str] = (),
    ) -> None:
        if term <= stored.term:
            raise DatabaseError(f"term {term} is not above the stored term {stored.term}")
        self.store = store
        self.parse = parse
        self.contradictions = contradictions
        self.on_change = on_change
        position = Position(term, stored.number)
        digest = total_digest(store.sums)
        history = _stored_history(entries, stored, digest)
        history.add(stored, position, {}, digest)  # nothing but the term has changed
        self.follower_server = FollowerServer(
            name, store, position, lambda now: 0, history, egress, max_links=max_links
        )
        self.answered: dict[str, Position] = dict(ids or {})
        self.queue: deque[_Submitted] = deque()  # the first one is being handled
        self.storing: _Storing | None = None
        # The id of a change set that was stored and could not be reverted; it is never answered.
        self.undecided_id: str | None = None
        self.others = OtherPublishers(others)
        self.timer: int | None = None
        self.step_scheduled = False

    @property
    def position(self) -> Position:
        """The position in force."""
        return self.follower_server.position

    @property
    def term(self) -> int:
        """The publisher's term."""
        return self.position.term

    def age(self, now: int) -> int:
        """Milliseconds since the publisher was last heard of: always 0, as this is the publisher."""
        return 0

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handles an event of any link, the database, a timer, a step or the shutdown."""
        commands: list[Command] = []
        if isinstance(event, Step):
            self.step_scheduled = False
        if isinstance(event, TimerFired):
            self.timer = None  # set again below if it fired too early
        self._dispatch(now, event, commands)
        self._check_term(now, commands)
        if isinstance(event, Step) and self.queue and self.storing is None:
            self._process_next(commands)
        if self.queue and self.storing is None:
            self._schedule_step(commands)
        self._set_timer(commands)
        return commands

    def _dispatch(self, now: int, event: Event, commands: list[Command]) -> None:
        match event:
            case FrameReceived(link, Submit() | StatusRequest() as request):
                if link in self.follower_server.sessions:
                    self.follower_server.restart_timeout(now, link)
                    self._requested(now, link, request, commands)
            case Stored(number):
                self._stored(now, number, commands)
            case StoreFailed(number, reason):
                if self._is_storing(number):
                    self.storing = None
                    commands.append(CountEvent("not stored", reason))
                    self._answer(None, (f"not stored: {reason}",), commands)
            case Reverted(number) | RevertFailed(number):
                self._reverted(now, number, event, commands)
            case Connected(link) | Disconnected(link) | FrameReceived(link) if link < 0:
                self._add(self.others.handle(now, event), commands)
            case _:
                self._add(self.follower_server.handle(now, event), commands)
                if isinstance(event, TimerFired):
                    self._add(self.others.handle(now, event), commands)
                if isinstance(event, Disconnected):
                    for submitted in self.queue:
                        submitted.links = [link for link in submitted.links if link != event.link]

    def _set_timer(self, commands: list[Command]) -> None:
        timers = (self.follower_server.timer, self.others.timer)
        timer = min((at for at in timers if at is not None), default=None)
        if timer is not None and timer != self.timer:
            commands.append(SetTimer(timer))
        self.timer = timer

    def status(self, now: int) -> bytes:
        """The status for operators, as JSON (docs/control.md)."""
        return status(now, self.follower_server, queued=len(self.queue))

    def _check_term(self, now: int, commands: list[Command]) -> None:
        """Once a higher term is known, from a follower or another publisher, refuses all change sets."""
        higher = max(self.follower_server.higher_term, self.others.highest_term)
        if higher > self.term and not self.follower_server.outdated:
            self.follower_server.higher_term = higher
            commands.append(CountEvent("older term", f"term {self.term}, there is a publisher of term {higher}"))
            self._add(self.follower_server.outdate(now), commands)
        while self.follower_server.outdated and self.queue and self.storing is None:
            self._answer(None, self._outdated_faults(), commands)

    def _outdated_faults(self) -> tuple[str, ...]:
        higher = self.follower_server.higher_term
        return (f"older term: this publisher has term {self.term}, there is one of term {higher}",)

    def _add(self, new_commands: list[Command], commands: list[Command]) -> None:
        """Adds the commands of a component, with one ScheduleStep for all of them; `_set_timer` combines the timers."""
        for command in new_commands:
            match command:
                case SetTimer():
                    pass
                case ScheduleStep():
                    self._schedule_step(commands)
                case _:
                    commands.append(command)

    def _schedule_step(self, commands: list[Command]) -> None:
        if not self.step_scheduled:
            self.step_scheduled = True
            commands.append(ScheduleStep())

    # Change sets

    def _requested(self, now: int, link: int, request: Submit | StatusRequest, commands: list[Command]) -> None:
        if isinstance(request, StatusRequest):
            commands.append(SendFrame(link, pack(Status(self.status(now)))))
        elif request.id == self.undecided_id:
            self._add(self.follower_server.close_link(now, link, "not taken back"), commands)
        else:
            result = self._submit(link, request)
            if result is not None:
                commands.append(SendFrame(link, pack(result)))

    def _submit(self, link: int, request: Submit) -> SubmitResult | None:
        """The result if it is known at once; otherwise the change set is queued, with the link waiting for it."""
        position = self.answered.get(request.id)
        if position is not None:
            return SubmitResult(request.id, position, ())
        if self.follower_server.outdated:
            return SubmitResult(request.id, None, self._outdated_faults())
        submitted = next((queued for queued in self.queue if queued.id == request.id), None)
        if submitted is None:
            full = len(self.queue) >= MAX_QUEUED_SETS
        else:
            full = len(submitted.links) >= MAX_WAITING_LINKS
        if full:
            return SubmitResult(request.id, None, ("too many change sets are waiting: submit it again later",))
        if submitted is None:
            submitted = _Submitted(request.id, request.change)
            self.queue.append(submitted)
        if link not in submitted.links:
            submitted.links.append(link)
        return None

    def _process_next(self, commands: list[Command]) -> None:
        """Checks the first change set in the queue, and refuses it or has it stored."""
        submitted = self.queue[0]
        rows, faults = self.parse(submitted.change)
        faults = faults or self.contradictions(self.store, rows)
        if faults:
            commands.append(CountEvent("refused", submitted.id))
            self._answer(None, tuple(faults[:MAX_FAULTS]), commands)
            return
        changes = {key: value for key, value in as_changes(rows).items() if self.store.value(*key) != value}
        sums = updated_sums(self.store, changes)
        position = Position(self.term, self.position.number + 1)
        self.storing = _Storing(position, changes, sums)
        commands.append(StoreChangeSet(position, submitted.id, tuple(rows), total_digest(sums)))

    def _is_storing(self, number: int) -> bool:
        return self.storing is not None and self.storing.position.number == number

    def _stored(self, now: int, number: int, commands: list[Command]) -> None:
        """The change set is durable: puts it in force, sends it to followers and acknowledges it."""
        if not self._is_storing(number):
            return
        if self.follower_server.outdated:
            # A later publisher became known in the meantime. A change set answered as refused must not be in force
            # after a restart, so it is reverted before the answer.
            commands.append(RevertChangeSet(self.storing.position))
            return
        position, changes, sums = self.storing
        self.storing = None
        before = self.position
        self.store.commit(changes, sums)
        self.store.compact()
        if self.on_change is not None:
            self.on_change(changes)
        self.answered[self.queue[0].id] = position
        if len(self.answered) > MAX_ANSWERED_IDS:
            del self.answered[next(iter(self.answered))]
        in_force = InForce(before, position, changes)
        commands.append(in_force)
        self._add(self.follower_server.in_force(now, in_force), commands)
        self._answer(position, (), commands)

    def _reverted(self, now: int, number: int, event: Reverted | RevertFailed, commands: list[Command]) -> None:
        """Refuses the change set if it was reverted. Otherwise its fate is unknown, so the links that wait for it are
        closed without a result."""
        if not self._is_storing(number):
            return
        self.storing = None
        if isinstance(event, RevertFailed):
            commands.append(CountEvent("not taken back", event.reason))
            submitted = self.queue.popleft()
            self.undecided_id = submitted.id
            for link in submitted.links:
                self._add(self.follower_server.close_link(now, link, "not taken back"), commands)
        else:
            self._answer(None, self._outdated_faults(), commands)

    def _answer(self, position: Position | None, faults: tuple[str, ...], commands: list[Command]) -> None:
        """Sends the result of the first change set in the queue to the links that wait for it."""
        submitted = self.queue.popleft()
        frame = pack(SubmitResult(submitted.id, position, faults))
        commands += [SendFrame(link, frame) for link in submitted.links if link in self.follower_server.sessions]


def _stored_history(entries: Iterable[Entry], stored: Position, digest: int) -> History:
    """The history of the stored change sets; only the digest at `stored` is known."""
    history = None
    for entry in entries:
        if history is None:
            history = History(entry.before, None)
        entry_digest = digest if entry.position == stored else None
        history.add(entry.before, entry.position, as_changes(entry.rows), entry_digest)
    if history is None or history.newest != stored:
        return History(stored, digest)
    return history
