"""All orders of events of publishers that ask three voters for their terms, breadth first.

Requests and reports are lost, doubled, and arrive at any later time while their connection lasts: until the voter or
the publisher restarts. Voters restart with their disk and without it; publishers are killed, start again, and get a
copy of the other's disk. No claim holds a publisher back: each that starts asks at once, whoever else decides.
"""

import random
from collections.abc import Iterator

from grant_states import (
    INCARNATION_STEP,
    Disk,
    Letter,
    PublisherState,
    State,
    canonical,
    replaced,
    start_state,
    with_publisher,
)

from oakfork.control import grant as grants, voter as voters
from oakfork.control.claim import Claim
from oakfork.control.events import VoterState
from oakfork.control.grant import Grant
from oakfork.control.messages import EMPTY, GrantRequest, Position, RecordRequest, VoterReport

MARK_STEP = 10  # from one start of a publisher to the next


class TwoDecideError(Exception):
    """A publisher puts a change set in force that one of a later term began without."""


class ChangeSetLostError(Exception):
    """An acknowledged change set is undone without an operator's word."""


class Search:
    """A search with the functions of a voter and of a publisher's grant, which may be broken variants."""

    def __init__(self) -> None:
        self.decisions = 0
        self.acknowledgements = 0
        self.readmissions = 0

    def publishing_state(self, accepted: int, copied_at: int, **budget: int) -> State:
        """Publisher 0 decides and has put change sets in force; publisher 1 is down, with a copy of its disk.

        The copy was made when `copied_at` of the sets were in force. The operator's words are spent.
        """
        state = start_state(words=(1, 0), starts=1, sets=accepted)
        state = self._played(next(self._starts(state, 0)), 0)
        copied = state.publishers[0].disk
        for number in range(accepted):
            state = self._played(self._stores(state, 0), 0)
            if number + 1 == copied_at:
                copied = state.publishers[0].disk
        if not copied_at:
            copied = Disk()
        publishers = (state.publishers[0]._replace(word=0), PublisherState(copied))
        return state._replace(publishers=publishers, **budget)

    def copies_state(self, **budget: int) -> State:
        """As publishing_state with an equal copy, but nobody runs."""
        return _killed(self.publishing_state(1, 1, **budget), 0)

    def overtaken_state(self, **budget: int) -> State:
        """Publisher 0 takes itself for the one that decides; another has put a later change set in force and is gone.

        Voters 0 and 1 know of that. Publisher 1 is down, with a copy of the first one's disk.
        """
        state = self.publishing_state(1, 1, starts=1, sets=1)
        copy = PublisherState(state.publishers[1].disk, starts=1)
        state = self._played(next(self._starts(state, 1)), 1, voters=(0, 1))
        state = self._played(self._stores(state, 1), 1, voters=(0, 1))
        return state._replace(publishers=(state.publishers[0], copy), **budget)

    def _played(self, state: State, index: int, voters: tuple[int, ...] = (0, 1, 2)) -> State:
        """The state once a publisher has asked these voters all that it has to ask."""
        for _ in range(6):  # it is without memory, grants, is seen to grant still twice, records, is seen to have it
            for voter in voters:
                letter = Letter(index, voter, self.request(state.publishers[index].grant, voter))
                state = next(self._deliver(state, letter))
        return state

    # What a variant may replace

    def on_grant_request(self, state: VoterState, request: GrantRequest) -> VoterState:
        """As voter.on_grant_request."""
        return voters.on_grant_request(state, request)

    def on_record_request(self, state: VoterState, request: RecordRequest) -> VoterState:
        """As voter.on_record_request."""
        return voters.on_record_request(state, request)

    def request(self, grant: Grant, voter: int) -> GrantRequest | RecordRequest:
        """As grant.request."""
        return grants.request(grant, voter)

    def is_granted(self, grant: Grant) -> bool:
        """As grant.is_granted."""
        return grants.is_granted(grant)

    def possibly_found(self, grant: Grant) -> Position | None:
        """As grant.possibly_found."""
        return grants.possibly_found(grant)

    def is_recorded(self, grant: Grant, position: Position) -> bool:
        """As grant.is_recorded."""
        return grants.is_recorded(grant, position)

    def may_follow(self, publisher: PublisherState, position: Position | None) -> bool:
        """Whether the publisher may go on although a majority may have recorded that position."""
        if position is None:
            return False
        claim = Claim((), publisher.disk.stored, publisher.word, 1, publisher.begun_before)
        return claim.may_follow(position)

    # The search

    def run(self, start: State, most: int) -> tuple[int, bool]:
        """The number of states seen, and whether these are all; raises TwoDecideError or ChangeSetLostError.

        States that differ by the numbers of the voters alone count once. The search ends once it has seen `most`.
        """
        seen = {canonical(start)}
        frontier = [start]
        while frontier and len(seen) < most:
            following = []
            for state in frontier:
                for after in self._successors(state):
                    key = canonical(after)
                    if key not in seen:
                        seen.add(key)
                        following.append(after)
            frontier = following
        return len(seen), not frontier

    def walk(self, start: State, rng: random.Random, steps: int) -> State:
        """Takes events drawn at random, `steps` at the most; raises as `run` does."""
        state = start
        for _ in range(steps):
            following = [after for after in self._successors(state) if after != state]
            if not following:
                break
            state = rng.choice(following)
        return state

    def _successors(self, state: State) -> Iterator[State]:
        for index, publisher in enumerate(state.publishers):
            if publisher.grant is None:
                yield from self._starts(state, index)
            else:
                yield from self._steps(state, index)
        for letter in state.letters:
            yield state._replace(letters=state.letters - {letter})
            yield from self._deliver(state._replace(letters=state.letters - {letter}), letter)
            if state.delays:
                yield from self._deliver(state._replace(delays=state.delays - 1), letter)  # and once more later
        if state.losses:
            for voter in range(len(state.voters)):
                yield _loses_disk(state, voter)

    def _starts(self, state: State, index: int) -> Iterator[State]:
        """A publisher starts and begins a term, or gets a copy of another's disk first."""
        publisher = state.publishers[index]
        if state.starts:
            mark = 1 + index + MARK_STEP * publisher.starts
            known = max(*publisher.disk.begun_terms, publisher.disk.stored.term, publisher.word)
            known = max(known, *(voter.term for voter in state.voters))
            yield with_publisher(
                state._replace(starts=state.starts - 1), index, _started(publisher, known + 1, mark, state)
            )
        if state.copies:
            for source in state.publishers:
                if source.disk != publisher.disk:
                    copy = publisher._replace(disk=source.disk, word=0)
                    yield with_publisher(state._replace(copies=state.copies - 1), index, copy)

    def _steps(self, state: State, index: int) -> Iterator[State]:
        """It is killed, stores a change set, or asks a voter."""
        publisher = state.publishers[index]
        yield _killed(state, index)
        if publisher.decides and state.sets and publisher.acknowledged == len(publisher.disk.log):
            yield self._stores(state, index)
        for voter in range(len(state.voters)):
            letter = Letter(index, voter, self.request(publisher.grant, voter))
            yield from self._deliver(state, letter)
            if state.delays and letter not in state.letters:
                yield state._replace(delays=state.delays - 1, letters=state.letters | {letter})

    def _stores(self, state: State, index: int) -> State:
        """It has a change set on its disk, and wants it recorded."""
        publisher = state.publishers[index]
        disk = publisher.disk
        position = Position(publisher.grant.term, disk.stored.number + 1)
        log = (*disk.log, f"{publisher.grant.mark}:{position.number}")
        after = publisher._replace(
            disk=Disk(log, position, (position.term,)), grant=grants.want(publisher.grant, position)
        )
        return self._settled(with_publisher(state._replace(sets=state.sets - 1), index, after), index)

    def _deliver(self, state: State, letter: Letter) -> Iterator[State]:
        """A letter arrives; the answer to a request is lost, arrives at once or is on its way."""
        if isinstance(letter.message, VoterReport):
            yield self._reported(state, letter)
            return
        voter = state.voters[letter.voter]
        is_grant = isinstance(letter.message, GrantRequest)
        after = (
            self.on_grant_request(voter, letter.message) if is_grant else self.on_record_request(voter, letter.message)
        )
        self.readmissions += after.has_memory and not voter.has_memory and not is_grant and letter.message.readmits
        answered = state._replace(voters=replaced(state.voters, letter.voter, after))
        answer = Letter(letter.publisher, letter.voter, voters.report(after, letter.message))
        grant = state.publishers[letter.publisher].grant
        if grant is None or (grant.term, grant.mark) != (letter.message.term, letter.message.mark):
            yield answered  # the connection is of a process that has ended
            return
        yield self._reported(answered, answer)
        if state.delays and answer not in state.letters:
            yield answered._replace(delays=state.delays - 1, letters=state.letters | {answer})

    def _reported(self, state: State, letter: Letter) -> State:
        """A publisher takes a report into account, and does what follows from it."""
        publisher = state.publishers[letter.publisher]
        grant = grants.on_report(publisher.grant, letter.voter, letter.message)
        if grant == publisher.grant:
            return state
        return self._settled(with_publisher(state, letter.publisher, publisher._replace(grant=grant)), letter.publisher)

    def _settled(self, state: State, index: int) -> State:
        """What follows from what a publisher knows: it refuses, goes on to its first record, decides, acknowledges."""
        publisher = state.publishers[index]
        grant = publisher.grant
        if grants.is_lost(grant):
            return _killed(state, index)
        if not publisher.decides and not self.may_follow(publisher, self.possibly_found(grant)):
            is_hopeless = not self.may_follow(publisher, grants.surely_found(grant))
            return _killed(state, index) if is_hopeless else state
        if grant.wanted == EMPTY and self.is_granted(grant):
            position = Position(grant.term, publisher.disk.stored.number)
            publisher = publisher._replace(grant=grants.want(grant, position))
            state = with_publisher(state, index, publisher)
        if not publisher.decides and self._is_recorded(publisher):
            state = self._decides(state, index)
        elif publisher.decides and publisher.acknowledged < len(publisher.disk.log) and self._is_recorded(publisher):
            state = self._acknowledges(state, index)
        return state

    def _is_recorded(self, publisher: PublisherState) -> bool:
        return publisher.grant.wanted != EMPTY and self.is_recorded(publisher.grant, publisher.grant.wanted)

    def _decides(self, state: State, index: int) -> State:
        """It decides from now on; all that is in force is in its log, or given up by the operator."""
        self.decisions += 1
        publisher = state.publishers[index]
        log = publisher.disk.log
        state = with_publisher(state, index, publisher._replace(decides=True, acknowledged=len(log)))
        if publisher.word and publisher.word >= state.in_force_term:  # the operator has given up the rest
            return state._replace(in_force=log)
        is_late = any(term > publisher.grant.term for term, _ in state.begun)
        if not (is_late and _is_prefix(log, state.in_force)):  # a late one can't accept anything that is not in force
            _check(state, log)
        return state._replace(begun=(*state.begun, (publisher.grant.term, log)))

    def _acknowledges(self, state: State, index: int) -> State:
        """A change set is in force."""
        self.acknowledgements += 1
        publisher = state.publishers[index]
        log = publisher.disk.log
        for term, begun_with in state.begun:
            if term > publisher.grant.term and not _is_prefix(log, begun_with):
                raise TwoDecideError(f"publisher {index} of term {publisher.grant.term} accepts, {term} decides")
        state = with_publisher(state, index, publisher._replace(acknowledged=len(log)))
        if _is_prefix(log, state.in_force):  # a later publisher began with it, and went on
            return state
        _check(state, log)
        return state._replace(in_force=log, in_force_term=publisher.grant.term)


def _is_prefix(log: tuple[str, ...], of: tuple[str, ...]) -> bool:
    return of[: len(log)] == log


def _check(state: State, log: tuple[str, ...]) -> None:
    """All that is in force is in a log."""
    if not _is_prefix(state.in_force, log):
        raise ChangeSetLostError(f"{state.in_force} was in force, the log is {log}")


def _started(publisher: PublisherState, term: int, mark: int, state: State) -> PublisherState:
    disk = publisher.disk
    by_operator = publisher.word > 0 and publisher.word >= disk.stored.term
    return publisher._replace(
        disk=disk._replace(begun_terms=(*disk.begun_terms, term)),
        starts=publisher.starts + 1,
        begun_before=disk.begun_terms,
        word=publisher.word if by_operator else 0,
        grant=grants.new_grant(term, mark, by_operator, len(state.voters)),
        decides=False,
        acknowledged=0,
    )


def _killed(state: State, index: int) -> State:
    """A publisher ends, and its connections with it: requests that were written still arrive, reports do not."""
    letters = frozenset(
        letter for letter in state.letters if letter.publisher != index or not isinstance(letter.message, VoterReport)
    )
    killed = state.publishers[index]._replace(grant=None, decides=False, acknowledged=0)
    return with_publisher(state._replace(letters=letters), index, killed)


def _loses_disk(state: State, voter: int) -> State:
    """A voter restarts with a new file; requests that were written to it are lost, reports still arrive."""
    new = VoterState(state.voters[voter].incarnation + INCARNATION_STEP)
    letters = frozenset(
        letter for letter in state.letters if letter.voter != voter or isinstance(letter.message, VoterReport)
    )
    after = state._replace(losses=state.losses - 1, letters=letters)
    return after._replace(voters=replaced(state.voters, voter, new))
