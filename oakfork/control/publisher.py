"""The publisher: accepts change sets, each refused or put in force as a whole, and serves followers. No I/O.

A change set is durable (`StoreChangeSet`, `Stored`) before it is in force, acknowledged or sent to followers. One is
handled at a time, so each is checked against the state that includes all before it. A repeated id gets the same answer
and has no second effect. One that starts accepts and serves nothing until its claim is settled (claim.py); it begins a
term then. Between two publishers the higher term decides: one that learns of a higher term refuses all change sets from
then on, and sends its followers elsewhere.
"""

import itertools
from array import array
from collections import deque
from dataclasses import dataclass, field
from typing import Callable, Iterable, Mapping, NamedTuple, Sequence

from oakfork.control.claim import Claim, Finding
from oakfork.control.events import (
    BeginTerm,
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
    TermBegun,
    TermFailed,
    TimerFired,
)
from oakfork.control.follower_server import EGRESS, MAX_LINKS, FollowerServer
from oakfork.control.history import Entry, stored_history
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
TERMS_PER_START = 1 << 20  # terms that two copies of a database may begin next, at random
TERM_RETRY_INTERVAL = 1_000  # milliseconds before a term is begun again after the disk has failed

Parse = Callable[[bytes], tuple[Sequence[Row], Sequence[str]]]  # returns rows, or faults by their paths
Contradictions = Callable[[Store, Sequence[Row]], Sequence[str]]


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
    """A publisher of `term`, which is durable already and above the term of `stored`; or of none yet, with a `claim`.

    `store` holds the state of position `stored`. `entries` are the change sets that led there and `ids` the positions
    of change sets, both oldest first. `on_change` is called with the changes of each change set as soon as the store
    has them, so that `contradictions` can keep an index of the state. Raises DatabaseError if the term is too low.
    """

    def __init__(
        self,
        name: str,
        term: int | None,
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
        claim: Claim | None = None,
    ) -> None:
        if term is not None and term <= stored.term:
            raise DatabaseError(f"term {term} is not above the stored term {stored.term}")
        self.store = store
        self.parse = parse
        self.contradictions = contradictions
        self.on_change = on_change
        history = stored_history(entries, stored, total_digest(store.sums))
        self.follower_server = FollowerServer(name, store, stored, lambda now: 0, history, egress, max_links=max_links)
        self.claim = claim  # None once it is settled
        self.begun_term: int | None = term  # None until one is begun
        self.term_requested = False
        if term is not None:
            self.follower_server.in_force(0, InForce(stored, Position(term, stored.number), {}))
        else:
            self.follower_server.outdated = True
            self.follower_server.refusal = "claiming"
        self.answered: dict[str, Position] = dict(ids or {})
        self.queue: deque[_Submitted] = deque()  # the first one is being handled
        self.storing: _Storing | None = None
        # The id of a change set that was stored and could not be reverted; it is never answered.
        self.undecided_id: str | None = None
        self.link_numbers = claim.link_numbers if claim else itertools.count(-1, -1)
        self.others = OtherPublishers(others, self.link_numbers)
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
        if self.claim is not None:
            self._check_claim(now, self.claim, commands)
        self._check_term(now, commands)
        if self.claim is None and self.queue and self.storing is None:
            if isinstance(event, Step):
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
            case TermBegun(term):
                self.begun_term = term
            case TermFailed(reason):
                self.term_requested = False
                commands.append(CountEvent("not stored", reason))
                if self.claim is not None:
                    self.claim.ask_again(now + TERM_RETRY_INTERVAL)
            case Connected(link) | Disconnected(link) | FrameReceived(link) if link < 0:
                self._add(self._asking.handle(now, event), commands)
            case _:
                self._add(self.follower_server.handle(now, event), commands)
                if isinstance(event, TimerFired):
                    self._add(self._asking.handle(now, event), commands)
                if isinstance(event, Disconnected):
                    for submitted in self.queue:
                        submitted.links = [link for link in submitted.links if link != event.link]

    @property
    def _asking(self) -> Claim | OtherPublishers:
        """What asks other processes: the claim while there is one."""
        return self.claim if self.claim is not None else self.others

    def _set_timer(self, commands: list[Command]) -> None:
        timers = (self.follower_server.timer, self._asking.timer)
        timer = min((at for at in timers if at is not None), default=None)
        if timer is not None and timer != self.timer:
            commands.append(SetTimer(timer))
        self.timer = timer

    def status(self, now: int) -> bytes:
        """The status for operators, as JSON (docs/control.md)."""
        claim = self.claim
        return status(
            now,
            self.follower_server,
            queued=len(self.queue),
            deciding=claim is None and not self.follower_server.outdated,
            claim=claim.status() if claim is not None and not claim.is_refused else None,
            later_copy=claim.latest if claim is not None and claim.finding is Finding.OLDER_COPY else None,
        )

    # The claim of a publisher that starts

    def _check_claim(self, now: int, claim: Claim, commands: list[Command]) -> None:
        """Begins a term and decides once the claim is settled; refuses all change sets once it is refused."""
        seen_term = self.follower_server.higher_term  # of a follower that came meanwhile
        if claim.is_superseded_by(seen_term):
            commands += claim.refuse(Position(seen_term))
        if claim.is_refused:
            self._refuse_claim(claim, commands)
        elif claim.finding is Finding.FREE:
            if not claim.is_settled(now):
                claim.ask_again(now)
            elif self.begun_term is not None:
                self._decide(now, self.begun_term, commands)
            elif not self.term_requested:
                self.term_requested = True
                commands.append(BeginTerm(claim.known_term, 1 + claim.mark % TERMS_PER_START))

    def _refuse_claim(self, claim: Claim, commands: list[Command]) -> None:
        server = self.follower_server
        if server.refusal == "claiming":  # not said yet
            server.refusal = "older term"
            server.higher_term = max(server.higher_term, claim.latest.term)
            commands.append(CountEvent("older term", self._outdated_faults()[0]))
        self._refuse_queue(commands)

    def _decide(self, now: int, term: int, commands: list[Command]) -> None:
        """From now on this publisher decides."""
        server = self.follower_server
        self.claim = None
        server.outdated = False
        server.refusal = "older term"
        server.higher_term = 0
        position = Position(term, server.position.number)
        self._add(server.in_force(now, InForce(server.position, position, {})), commands)
        commands.append(CountEvent("decides", f"term {term}"))

    def _check_term(self, now: int, commands: list[Command]) -> None:
        """Once a higher term is known, from a follower or another publisher, refuses all change sets."""
        higher = max(self.follower_server.higher_term, self.others.highest_term)
        if higher > self.term and not self.follower_server.outdated:
            self.follower_server.higher_term = higher
            commands.append(CountEvent("older term", f"term {self.term}, there is a publisher of term {higher}"))
            self._add(self.follower_server.outdate(now), commands)
        if self.refuses_changes:
            self._refuse_queue(commands)

    @property
    def refuses_changes(self) -> bool:
        """Whether it is known that another publisher decides, or that this one must not."""
        return self.follower_server.outdated and (self.claim is None or self.claim.is_refused)

    def _refuse_queue(self, commands: list[Command]) -> None:
        while self.queue and self.storing is None:
            self._answer(None, self._outdated_faults(), commands)

    def _outdated_faults(self) -> tuple[str, ...]:
        if self.claim is not None and self.claim.finding is Finding.OLDER_COPY:
            own, later = self.position, self.claim.latest
            return (
                f"older copy: the database ends at {own.term}.{own.number}, {later.term}.{later.number} was in force",
            )
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
        if self.refuses_changes:
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
