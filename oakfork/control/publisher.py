"""The publisher: accepts change sets, each refused or put in force as a whole, and serves followers. No I/O.

A change set is durable (`StoreChangeSet`, `Stored`) before it is in force, acknowledged or sent to followers. One is
handled at a time, so each is checked against the state that includes all before it. A repeated id gets the same answer
and has no second effect. One that starts accepts and serves nothing until its claim is settled (claim.py); it begins a
term then (authority.py). Where there are voters, a majority of them records each change set before it is in force.
Between two publishers the higher term decides: one that learns of a higher term refuses all change sets from then on,
and sends its followers elsewhere.
"""

from typing import Callable, Iterable, Mapping, Sequence

from oakfork.control.authority import Authority
from oakfork.control.change_queue import ChangeQueue, StoringChangeSet, Submitted
from oakfork.control.claim import Claim
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
from oakfork.control.state import Store, as_changes, total_digest, updated_sums
from oakfork.control.status import status
from oakfork.errors import DatabaseError

NO_MAJORITY = "no majority: too few voters answer; submit it again later"

Parse = Callable[[bytes], tuple[Sequence[Row], Sequence[str]]]  # returns rows, or faults by their paths
Contradictions = Callable[[Store, Sequence[Row]], Sequence[str]]


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
        voters: Sequence[str] = (),
    ) -> None:
        if term is not None and term <= stored.term:
            raise DatabaseError(f"term {term} is not above the stored term {stored.term}")
        self.store = store
        self.parse = parse
        self.contradictions = contradictions
        self.on_change = on_change
        history = stored_history(entries, stored, total_digest(store.sums))
        self.follower_server = FollowerServer(name, store, stored, lambda now: 0, history, egress, max_links=max_links)
        self.authority = Authority(others, term, claim, voters)
        if term is not None:
            self.follower_server.in_force(0, InForce(stored, Position(term, stored.number), {}))
        else:
            self.follower_server.outdated = True
            self.follower_server.refusal = "claiming"
        self.queue = ChangeQueue(ids or {})
        self.storing: StoringChangeSet | None = None
        # The id of a change set that was stored and may be in force later; it is never answered.
        self.undecided_id: str | None = None
        self.recording = False  # the change set that is on the disk is being recorded by the voters
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
        if self.authority.claim is not None:
            self._check_claim(now, self.authority.claim, commands)
        if self.recording and self.authority.is_recorded(self.storing.position):
            self._accept(now, commands)
        self._check_term(now, commands)
        if self.recording and not self.authority.has_majority(now):
            self._refuse_others(commands)
        if self.authority.decides and self.queue and self.storing is None:
            if isinstance(event, Step):
                self._process_next(now, commands)
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
            case TermBegun() | TermFailed():
                self._add(self.authority.handle(now, event), commands)
            case Connected(link) | Disconnected(link) | FrameReceived(link) if link < 0:
                self._add(self.authority.handle(now, event), commands)
            case _:
                self._add(self.follower_server.handle(now, event), commands)
                if isinstance(event, TimerFired):
                    self._add(self.authority.handle(now, event), commands)
                if isinstance(event, Disconnected):
                    self.queue.forget_link(event.link)

    def _set_timer(self, commands: list[Command]) -> None:
        timers = (self.follower_server.timer, self.authority.timer)
        timer = min((at for at in timers if at is not None), default=None)
        if timer is not None and timer != self.timer:
            commands.append(SetTimer(timer))
        self.timer = timer

    def status(self, now: int) -> bytes:
        """The status for operators, as JSON (docs/control.md)."""
        authority = self.authority
        is_claiming = authority.claim is not None and not authority.is_refused
        may_accept = authority.decides and not self.follower_server.outdated
        return status(
            now,
            self.follower_server,
            queued=len(self.queue),
            deciding=may_accept and authority.has_majority(now),
            claim=authority.claim.status() if is_claiming else None,
            later_copy=authority.later_copy,
            grant=authority.grant_status(now),
        )

    # The claim of a publisher that starts

    def _check_claim(self, now: int, claim: Claim, commands: list[Command]) -> None:
        """Begins a term and decides once the claim is settled; refuses all change sets once it is refused."""
        seen_term = self.follower_server.higher_term  # of a follower that came meanwhile
        if claim.is_superseded_by(seen_term):
            commands += claim.refuse(Position(seen_term))
        self._add(self.authority.advance(now), commands)
        if claim.is_refused:
            self._refuse_claim(now, claim, commands)
        elif self.authority.is_settled(now):
            self._decide(now, self.authority.term, commands)

    def _refuse_claim(self, now: int, claim: Claim, commands: list[Command]) -> None:
        server = self.follower_server
        if server.refusal == "claiming":  # not said yet
            server.refusal = "older term"
            server.higher_term = max(server.higher_term, claim.latest.term)
            commands.append(CountEvent("older term", self._outdated_faults()[0]))
        self._refuse_queue(now, commands)

    def _decide(self, now: int, term: int, commands: list[Command]) -> None:
        """From now on this publisher decides."""
        server = self.follower_server
        self.authority.end_claim()
        server.outdated = False
        server.refusal = "older term"
        server.higher_term = 0
        position = Position(term, server.position.number)
        self._add(server.in_force(now, InForce(server.position, position, {})), commands)
        commands.append(CountEvent("decides", f"term {term}"))

    def _check_term(self, now: int, commands: list[Command]) -> None:
        """Once a higher term is known, from a follower or another publisher, refuses all change sets."""
        higher = max(self.follower_server.higher_term, self.authority.highest_term)
        if higher > self.term and not self.follower_server.outdated:
            self.follower_server.higher_term = higher
            commands.append(CountEvent("older term", f"term {self.term}, there is a publisher of term {higher}"))
            self._add(self.follower_server.outdate(now) + self.authority.give_up(), commands)
        if self.recording and self.follower_server.outdated:
            # Some voters may have recorded it, so it may come into force: it is neither accepted nor refused.
            self._abandon(now, "not known", "outdated while it was recorded", commands)
        if self.refuses_changes:
            self._refuse_queue(now, commands)

    @property
    def refuses_changes(self) -> bool:
        """Whether it is known that another publisher decides, or that this one must not."""
        return self.follower_server.outdated and (self.authority.decides or self.authority.is_refused)

    def _refuse_queue(self, now: int, commands: list[Command]) -> None:
        while self.queue and self.storing is None:
            if self.queue.position_of(self.queue.first.id) is None:
                self._answer(None, self._outdated_faults(), commands)
            else:  # the database has it, so it may be in force
                self._close_waiting(now, "not known", commands)

    def _outdated_faults(self) -> tuple[str, ...]:
        return (self.authority.fault(self.position, self.follower_server.higher_term),)

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
            self._submit(now, link, request, commands)

    def _submit(self, now: int, link: int, request: Submit, commands: list[Command]) -> None:
        """Answers at once if the result is known; otherwise queues the change set, with the link waiting for it.

        What the database has may not be in force while this publisher does not decide.
        """
        position = self.queue.position_of(request.id)
        result = None
        if position is not None and self.authority.decides:
            result = SubmitResult(request.id, position, ())
        elif position is not None and self.refuses_changes:
            self._add(self.follower_server.close_link(now, link, "not known"), commands)
        elif self.refuses_changes:
            result = SubmitResult(request.id, None, self._outdated_faults())
        else:
            result = self.queue.add(link, request)
        if result is not None:
            commands.append(SendFrame(link, pack(result)))

    def _process_next(self, now: int, commands: list[Command]) -> None:
        """Checks the first change set in the queue, and refuses it or has it stored."""
        submitted = self.queue.first
        position = self.queue.position_of(submitted.id)
        if position is not None:
            self._answer(position, (), commands)
            return
        if not self.authority.has_majority(now):
            commands.append(CountEvent("no majority", submitted.id))
            self._answer(None, (NO_MAJORITY,), commands)
            return
        rows, faults = self.parse(submitted.change)
        faults = faults or self.contradictions(self.store, rows)
        if faults:
            commands.append(CountEvent("refused", submitted.id))
            self._answer(None, tuple(faults[:MAX_FAULTS]), commands)
            return
        changes = {key: value for key, value in as_changes(rows).items() if self.store.value(*key) != value}
        sums = updated_sums(self.store, changes)
        position = Position(self.term, self.position.number + 1)
        self.storing = StoringChangeSet(position, changes, sums)
        commands.append(StoreChangeSet(position, submitted.id, tuple(rows), total_digest(sums)))

    def _is_storing(self, number: int) -> bool:
        return self.storing is not None and self.storing.position.number == number

    def _stored(self, now: int, number: int, commands: list[Command]) -> None:
        """The change set is durable: has it recorded, if there are voters, and accepts it."""
        if not self._is_storing(number):
            return
        if self.follower_server.outdated:
            # A later publisher became known in the meantime. A change set answered as refused must not be in force
            # after a restart, so it is reverted before the answer.
            commands.append(RevertChangeSet(self.storing.position))
            return
        self.recording = True
        commands += self.authority.record(now, self.storing.position)
        if self.authority.is_recorded(self.storing.position):
            self._accept(now, commands)

    def _accept(self, now: int, commands: list[Command]) -> None:
        """Puts the change set that was stored in force, sends it to followers and acknowledges it."""
        position, changes, sums = self.storing
        self.storing = None
        self.recording = False
        before = self.position
        self.store.commit(changes, sums)
        self.store.compact()
        if self.on_change is not None:
            self.on_change(changes)
        self.queue.accept(position)
        in_force = InForce(before, position, changes)
        commands.append(in_force)
        self._add(self.follower_server.in_force(now, in_force), commands)
        self._answer(position, (), commands)

    def _reverted(self, now: int, number: int, event: Reverted | RevertFailed, commands: list[Command]) -> None:
        """Refuses the change set if it was reverted. Otherwise its fate is unknown, so the links that wait for it are
        closed without a result."""
        if not self._is_storing(number):
            return
        if isinstance(event, RevertFailed):
            self._abandon(now, "not taken back", event.reason, commands)
        else:
            self.storing = None
            self._answer(None, self._outdated_faults(), commands)

    def _abandon(self, now: int, reason: str, about: str, commands: list[Command]) -> None:
        """Closes the links that wait for the change set without a result, since its fate is unknown."""
        self.storing = None
        self.recording = False
        self.undecided_id = self.queue.first.id
        commands.append(CountEvent(reason, about))
        self._close_waiting(now, reason, commands)

    def _close_waiting(self, now: int, reason: str, commands: list[Command]) -> None:
        """Closes the links that wait for the first change set in the queue."""
        for link in self.queue.remove_first().links:
            self._add(self.follower_server.close_link(now, link, reason), commands)

    def _answer(self, position: Position | None, faults: tuple[str, ...], commands: list[Command]) -> None:
        """Sends the result of the first change set in the queue to the links that wait for it."""
        self._answer_removed(self.queue.remove_first(), position, faults, commands)

    def _answer_removed(
        self, submitted: Submitted, position: Position | None, faults: tuple[str, ...], commands: list[Command]
    ) -> None:
        frame = pack(SubmitResult(submitted.id, position, faults))
        commands += [SendFrame(link, frame) for link in submitted.links if link in self.follower_server.sessions]

    def _refuse_others(self, commands: list[Command]) -> None:
        """Refuses what waits behind a change set that the voters do not record: it may take any time."""
        for submitted in self.queue.remove_others():
            commands.append(CountEvent("no majority", submitted.id))
            self._answer_removed(submitted, None, (NO_MAJORITY,), commands)
