"""All orders of events of two publishers that start, are killed, stopped, restarted and copied, and of a relay.

Nobody is cut off: a question gets the answer of its moment, or none from a process that does not run. The one who asked
acts on its answers at any later time, but after a stop they are too old. A publisher that decides is not stopped, and
the relay runs on: what would come of these is in docs/control.md. The relay may or may not hear of a term before the
first change set in it.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from oakfork.control.claim import Claim, Finding
from oakfork.control.messages import EMPTY, Position
from oakfork.control.status import ReportedStatus

PUBLISHERS = (0, 1)
FIRST_MARKS = (5, 9)  # of the publishers' starts
MARK_STEP = 10  # from one start of a publisher to the next
NOW = 0  # no claim is so old that it overrides the one that it takes over from


class TwoDecideError(Exception):
    """Two publishers accept change sets at one time."""


class ChangeSetLostError(Exception):
    """An accepted change set was undone without an operator's word."""


class PublisherState(NamedTuple):
    """One publisher: its disk and file, and its process if that runs."""

    stored: Position = EMPTY  # the last change set on its disk
    begun_terms: tuple[int, ...] = (0,)  # on its disk since the last change set
    word: int = 0  # the operator's, in its file
    starts: int = 0
    up: bool = False
    stopped: bool = False
    deciding: int = 0  # the term in which it decides; 0: it does not
    yields_to: int = 0
    finding: Finding = Finding.WAIT
    higher_term: int = 0  # that it has heard of
    answers: tuple[ReportedStatus | None, ...] | None = None  # that it has not acted on; None: it has not asked


class State(NamedTuple):
    """Both publishers, the relay, and how many steps of each kind may still happen."""

    starts: int
    sets: int = 0
    copies: int = 0
    stops: int = 0
    publishers: tuple[PublisherState, PublisherState] = (PublisherState(), PublisherState())
    relay: Position = EMPTY
    accepted: Position = EMPTY  # the last change set that was said to be in force


class Search:
    """A search with `claim_class`, which may be a broken variant.

    `yields_while_asking`: a broken variant that goes on saying that it yields while it asks anew.
    """

    def __init__(self, claim_class: type[Claim] = Claim, yields_while_asking: bool = False) -> None:
        self.claim_class = claim_class
        self.yields_while_asking = yields_while_asking
        self.decisions = 0  # steps by which a publisher began to decide

    def run(self, start: State, depth: int = 99) -> int:
        """The number of states seen, breadth first; raises TwoDecideError or ChangeSetLostError."""
        frontier = [start]
        seen = {start}
        for _ in range(depth):
            following = []
            for state in frontier:
                for after in self._successors(state):
                    if after not in seen:
                        seen.add(after)
                        following.append(after)
            frontier = following
        return len(seen)

    def _successors(self, state: State) -> Iterator[State]:
        """The states that one event leads to."""
        for index, publisher in enumerate(state.publishers):
            if publisher.stopped:
                yield _replaced(state, index, stopped=False, answers=None)
            elif publisher.up:
                yield _replaced(state, index, up=False, deciding=0, answers=None)
                if publisher.deciding:
                    yield from self._decider_steps(state, index)
                elif not _is_refused(publisher):
                    yield from self._claim_steps(state, index)
            else:
                yield from self._starts(state, index)

    def _starts(self, state: State, index: int) -> Iterator[State]:
        """A publisher that does not run starts, or gets a copy of the other's disk first."""
        publisher = state.publishers[index]
        if state.starts:
            started = publisher._replace(
                starts=publisher.starts + 1, up=True, yields_to=0, finding=Finding.WAIT, higher_term=0
            )
            yield _with(state._replace(starts=state.starts - 1), index, started)
        if state.copies:
            source = state.publishers[1 - index]
            stored = source.stored
            after = state._replace(copies=state.copies - 1)
            copy = PublisherState(stored, source.begun_terms, starts=publisher.starts)
            yield _with(after, index, copy)
            yield _with(after, index, copy._replace(word=state.relay.term))  # by the page's steps
            if stored.number:
                earlier = Position(stored.term, stored.number - 1)
                yield _with(after, index, copy._replace(stored=earlier, begun_terms=(stored.term,)))

    def _claim_steps(self, state: State, index: int) -> Iterator[State]:
        """It asks, or acts on its answers; or it is stopped."""
        publisher = state.publishers[index]
        if state.stops:
            yield _replaced(state._replace(stops=state.stops - 1), index, stopped=True)
        if publisher.answers is None:
            answers = (self._reported(state, 1 - index), ReportedStatus(state.relay, phase="following"))
            yields_to = publisher.yields_to if self.yields_while_asking else 0
            yield _replaced(state, index, answers=answers, yields_to=yields_to)
            return
        claim = self._claim(publisher, index)
        claim.answers = [status for status in publisher.answers if status is not None]
        claim.end_round(NOW)
        after = _replaced(state, index, finding=claim.finding, yields_to=claim.yields_to, answers=None)
        if claim.finding is Finding.FREE:
            self.decisions += 1
            term = claim.known_term + 1 + claim.mark
            begun = _replaced(after, index, begun_terms=(*publisher.begun_terms, term))
            yield _replaced(begun, index, up=False)  # killed in between
            decided = _decides(begun, index, term)
            yield decided
            yield decided._replace(relay=max(state.relay, Position(term, publisher.stored.number)))
        else:
            yield _replaced(after, index, higher_term=max(status.known_term for status in claim.answers))

    def _claim(self, publisher: PublisherState, index: int) -> Claim:
        mark = FIRST_MARKS[index] + MARK_STEP * publisher.starts
        claim = self.claim_class(("other", "relay"), publisher.stored, publisher.word, mark, publisher.begun_terms)
        claim.yields_to = publisher.yields_to
        claim.first_asked_at = NOW
        return claim

    def _reported(self, state: State, index: int) -> ReportedStatus | None:
        """What a publisher answers now; None if it does not run."""
        publisher = state.publishers[index]
        if not publisher.up or publisher.stopped:
            return None
        if publisher.deciding:
            return ReportedStatus(Position(publisher.deciding, publisher.stored.number), deciding=True)
        if _is_refused(publisher):
            return ReportedStatus(publisher.stored, higher_term=publisher.higher_term, deciding=False)
        return ReportedStatus(publisher.stored, deciding=False, claim=self._claim(publisher, index).status())

    def _decider_steps(self, state: State, index: int) -> Iterator[State]:
        """It accepts a change set, or asks the other publisher, and decides no more if that has a higher term."""
        publisher = state.publishers[index]
        if state.sets:
            position = Position(publisher.deciding, publisher.stored.number + 1)
            after = _replaced(state._replace(sets=state.sets - 1), index, stored=position, begun_terms=(position.term,))
            yield after._replace(relay=max(state.relay, position), accepted=max(state.accepted, position))
        status = self._reported(state, 1 - index)
        if status is not None:
            word = status.claim.word + 1 if status.claim and status.claim.word else 0
            higher = max(status.position.term, word)
            if higher > publisher.deciding:
                yield _replaced(state, index, deciding=0, finding=Finding.SUPERSEDED, higher_term=higher)


def _is_refused(publisher: PublisherState) -> bool:
    return publisher.finding in (Finding.SUPERSEDED, Finding.OLDER_COPY)


def _with(state: State, index: int, publisher: PublisherState) -> State:
    publishers = list(state.publishers)
    publishers[index] = publisher
    return state._replace(publishers=tuple(publishers))


def _replaced(state: State, index: int, **changes: Any) -> State:
    return _with(state, index, state.publishers[index]._replace(**changes))


def _decides(state: State, index: int, term: int) -> State:
    """The state once a publisher decides; raises an error if it must not."""
    publisher, other = state.publishers[index], state.publishers[1 - index]
    if other.deciding:
        raise TwoDecideError(f"publisher {index} decides beside the other, which has term {other.deciding}")
    if publisher.stored < state.accepted:
        if state.accepted.term > publisher.word:
            raise ChangeSetLostError(f"{state.accepted} is undone by a publisher whose disk ends at {publisher.stored}")
        state = state._replace(accepted=publisher.stored)  # the operator has given up the rest
    return _replaced(state, index, deciding=term)
