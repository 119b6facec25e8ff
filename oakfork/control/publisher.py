"""The publisher: takes change sets, each refused whole or in force whole, and feeds those who follow. Pure.

A change set is durable (`Keep`, `Stored`) before it is in force, acknowledged or fed. One is worked on at a time, so
each is judged against the state with all before it. The same id again gets the same answer and has no second effect.
Of two publishers the higher term decides: one that hears of a higher term refuses all change sets from there on, and
sends those who follow elsewhere.
"""

from array import array
from collections import deque
from dataclasses import dataclass, field
from typing import Callable, Iterable, Mapping, NamedTuple, Protocol, Sequence

from oakfork.control.events import (
    Changes,
    Command,
    Connected,
    Event,
    Heard,
    InForce,
    Keep,
    Lost,
    More,
    Note,
    NotStored,
    NotUnkept,
    Say,
    Step,
    Stored,
    TimeCame,
    Unkeep,
    Unkept,
    Wake,
)
from oakfork.control.follower_server import EGRESS, LINKS, FollowerServer
from oakfork.control.history import History
from oakfork.control.messages import Ask, Message, Position, Row, Status, Submit, Verdict, pack
from oakfork.control.other_publishers import OtherPublishers
from oakfork.control.state import Store, as_changes, total_digest, updated_sums
from oakfork.control.status import status
from oakfork.errors import DatabaseError

QUEUED = 64  # change sets that wait; one more is refused
ASKERS = 16  # links that wait for the verdict on one
ANSWERED = 65_536  # ids whose position is known, the oldest go

Parse = Callable[[bytes], tuple[Sequence[Row], Sequence[str]]]  # rows, or faults by their paths
Contradictions = Callable[[Store, Sequence[Row]], Sequence[str]]


class Entry(Protocol):
    """A stored change set: `position` followed on `before`."""

    before: Position
    position: Position
    rows: Sequence[Row]


@dataclass(slots=True)
class _Submitted:
    id: str
    change: bytes
    links: list[int] = field(default_factory=list)  # who waits for the verdict, ASKERS at most


class _Kept(NamedTuple):
    """On its way to the disk."""

    position: Position
    changes: Changes
    sums: array


class Publisher:
    """`stored`: the position that `store` holds the state of; `entries` led there, `ids` are the positions of change
    sets, both the oldest first. `term` is above all of that, and durable already. `told` hears of all changes, as soon
    as the store has them, for what `contradictions` knows of the state."""

    def __init__(
        self,
        who: str,
        term: int,
        stored: Position,
        store: Store,
        parse: Parse,
        contradictions: Contradictions,
        *,
        entries: Iterable[Entry] = (),
        ids: Mapping[str, Position] | None = None,
        told: Callable[[Changes], None] | None = None,
        egress: int = EGRESS,
        most: int = LINKS,
        others: Sequence[str] = (),
    ) -> None:
        if term <= stored.term:
            raise DatabaseError(f"term {term} is not above {stored.term}, which is stored")
        self.store, self.parse, self.contradictions, self.told = store, parse, contradictions, told
        position, digest = Position(term, stored.number), total_digest(store.sums)
        history = None
        for entry in entries:
            history = history or History(entry.before, None)
            history.add(
                entry.before, entry.position, as_changes(entry.rows), digest if entry.position == stored else None
            )
        if history is None or history.newest != stored:
            history = History(stored, digest)
        history.add(stored, position, {}, digest)  # nothing has changed but the term
        self.follower_server = FollowerServer(who, store, position, lambda now: 0, history, egress, most=most)
        self.answered: dict[str, Position] = dict(ids or {})
        self.queue: deque[_Submitted] = deque()  # the first one is worked on; emptied by verdicts
        self.kept: _Kept | None = None
        self.unsettled: str | None = None  # the id of one that was stored and could not be taken back: never answered
        self.others = OtherPublishers(others)
        self.wake: int | None = None
        self.asked = False

    @property
    def position(self) -> Position:
        return self.follower_server.position

    @property
    def term(self) -> int:
        return self.position.term

    def age(self, now: int) -> int:
        return 0

    def handle(self, now: int, event: Event) -> list[Command]:
        commands: list[Command] = []
        if isinstance(event, Step):
            self.asked = False
        if isinstance(event, TimeCame):
            self.wake = None  # it is told anew, should this have come too early
        match event:
            case Heard(link, Submit() | Ask() as message):
                if link in self.follower_server.links:
                    self.follower_server.awaited(now, link)
                    self._asked(now, link, message, commands)
            case Stored(number):
                self._stored(now, number, commands)
            case NotStored(number, reason):
                if self.kept is not None and self.kept.position.number == number:
                    self.kept = None
                    commands.append(Note("not stored", reason))
                    self._verdict(None, (f"not stored: {reason}",), commands)
            case Unkept(number) | NotUnkept(number):
                self._unkept(now, number, event, commands)
            case Connected(link) | Lost(link) | Heard(link) if link < 0:
                self._take(self.others.handle(now, event), commands)
            case _:
                self._take(self.follower_server.handle(now, event), commands)
                self._take(self.others.handle(now, event) if isinstance(event, TimeCame) else [], commands)
                if isinstance(event, Lost):
                    for one in self.queue:
                        one.links = [link for link in one.links if link != event.link]
        self._older_term(now, commands)
        if isinstance(event, Step) and self.queue and self.kept is None:
            self._judge(commands)
        if self.queue and self.kept is None:
            self._more(commands)
        wake = min((at for at in (self.follower_server.wake, self.others.wake) if at is not None), default=None)
        if wake is not None and wake != self.wake:
            commands.append(Wake(wake))
        self.wake = wake
        return commands

    def status(self, now: int) -> bytes:
        return status(now, self.follower_server, queued=len(self.queue))

    def _older_term(self, now: int, commands: list[Command]) -> None:
        """Once a higher term is heard of, from below or from another publisher: nothing is taken any more."""
        higher = max(self.follower_server.higher, self.others.highest)
        if higher > self.term and not self.follower_server.outdated:
            self.follower_server.higher = higher
            commands.append(Note("older term", f"{self.term}: there is {higher}"))
            self._take(self.follower_server.outdate(now), commands)
        while self.follower_server.outdated and self.queue and self.kept is None:
            self._verdict(None, self._older(), commands)

    def _older(self) -> tuple[str, ...]:
        return (f"older term: this publisher has term {self.term}, there is one of term {self.follower_server.higher}",)

    def _take(self, told: list[Command], commands: list[Command]) -> None:
        """The commands of a part, with one `More` for all; its time is asked for when all is done."""
        for command in told:
            match command:
                case Wake():
                    pass
                case More():
                    self._more(commands)
                case _:
                    commands.append(command)

    def _more(self, commands: list[Command]) -> None:
        if not self.asked:
            self.asked = True
            commands.append(More())

    def _asked(self, now: int, link: int, message: Message, commands: list[Command]) -> None:
        if isinstance(message, Ask):
            commands.append(Say(link, pack(Status(self.status(now)))))
            return
        if message.id == self.unsettled:
            return self._take(self.follower_server.dismiss(now, link, "not taken back"), commands)
        waiting = next((one for one in self.queue if one.id == message.id), None)
        if (position := self.answered.get(message.id)) is not None:
            verdict = Verdict(message.id, position, ())
        elif self.follower_server.outdated:
            verdict = Verdict(message.id, None, self._older())
        elif len(self.queue if waiting is None else waiting.links) >= (QUEUED if waiting is None else ASKERS):
            verdict = Verdict(message.id, None, ("too many change sets wait: send it again later",))
        else:
            if waiting is None:
                waiting = _Submitted(message.id, message.change)
                self.queue.append(waiting)
            if link not in waiting.links:
                waiting.links.append(link)
            return
        commands.append(Say(link, pack(verdict)))

    def _judge(self, commands: list[Command]) -> None:
        """The first in the queue: refused, or sent to the disk."""
        rows, faults = self.parse(self.queue[0].change)
        faults = faults or self.contradictions(self.store, rows)
        if faults:
            commands.append(Note("refused", self.queue[0].id))
            return self._verdict(None, tuple(faults[:64]), commands)
        changes = {key: value for key, value in as_changes(rows).items() if self.store.value(*key) != value}
        sums = updated_sums(self.store, changes)
        position = Position(self.term, self.position.number + 1)
        self.kept = _Kept(position, changes, sums)
        commands.append(Keep(position, self.queue[0].id, tuple(rows), total_digest(sums)))

    def _stored(self, now: int, number: int, commands: list[Command]) -> None:
        """It is durable, so it is in force, then acknowledged and fed."""
        if self.kept is None or self.kept.position.number != number:
            return
        if self.follower_server.outdated:
            # Meanwhile a later publisher was heard of. What is said to be refused must not be in force after a restart,
            # so it is taken back before the verdict.
            return commands.append(Unkeep(self.kept.position))
        (position, changes, sums), self.kept = self.kept, None
        before = self.position
        self.store.commit(changes, sums)
        self.store.compact()
        if self.told is not None:
            self.told(changes)
        self.answered[self.queue[0].id] = position
        if len(self.answered) > ANSWERED:
            del self.answered[next(iter(self.answered))]
        in_force = InForce(before, position, changes)
        commands.append(in_force)
        self._take(self.follower_server.in_force(now, in_force), commands)
        self._verdict(position, (), commands)

    def _unkept(self, now: int, number: int, event: Unkept | NotUnkept, commands: list[Command]) -> None:
        """Refused; or, where the disk did not take it back, nobody can say: those who wait get no verdict."""
        if self.kept is None or self.kept.position.number != number:
            return
        self.kept = None
        if isinstance(event, NotUnkept):
            commands.append(Note("not taken back", event.reason))
            one = self.queue.popleft()
            self.unsettled = one.id
            for link in one.links:
                self._take(self.follower_server.dismiss(now, link, "not taken back"), commands)
        else:
            self._verdict(None, self._older(), commands)

    def _verdict(self, position: Position | None, faults: tuple[str, ...], commands: list[Command]) -> None:
        one = self.queue.popleft()
        frame = pack(Verdict(one.id, position, faults))
        commands += [Say(link, frame) for link in one.links if link in self.follower_server.links]
