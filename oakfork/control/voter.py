"""A voter: a relay that grants terms to publishers, and records on its disk what they put in force. No I/O.

A voter grants each term once, and only above those that it granted before. It records positions only for the publisher
whose term it granted last. So of two publishers at most one has what it puts in force recorded by a majority, and one
that is granted a later term by a majority learns of all that was recorded so. docs/control.md has the argument.
"""

from collections import deque
from typing import NamedTuple

from oakfork.control.events import (
    Command,
    CountEvent,
    Event,
    SendFrame,
    StoreVote,
    VoteFailed,
    VoterState,
    VoteStored,
)
from oakfork.control.messages import GrantRequest, RecordRequest, VoterReport, pack
from oakfork.control.status import VoterStatus

MAX_WAITING_REQUESTS = 64  # while the disk is written; publishers repeat the others


def on_grant_request(state: VoterState, request: GrantRequest) -> VoterState:
    """Grants a term above all that were granted; without memory on an operator's word only."""
    is_word_for_this = request.by_operator and request.incarnation == state.incarnation
    if request.term <= state.term or not (state.has_memory or is_word_for_this):
        return state
    return state._replace(term=request.term, mark=request.mark)


def on_record_request(state: VoterState, request: RecordRequest) -> VoterState:
    """Records a position for the publisher of the term that was granted last; that gives a voter its memory back."""
    if request.incarnation != state.incarnation:  # meant for a file that was lost
        return state
    is_readmitted = request.readmits and not state.has_memory and request.term >= state.term
    if not is_readmitted and not has_granted(state, request):
        return state
    recorded = max(state.recorded, request.position)
    return VoterState(state.incarnation, request.term, request.mark, recorded, has_memory=True)


def has_granted(state: VoterState, request: GrantRequest | RecordRequest) -> bool:
    """Whether the voter's last grant is that of the one who asks."""
    return (state.term, state.mark) == (request.term, request.mark)


class _Waiting(NamedTuple):
    link: int
    request: GrantRequest | RecordRequest


class Voter:
    """The voter of a relay that has `state` on its disk. Answers come only once the disk has what they say."""

    def __init__(self, state: VoterState) -> None:
        self.state = state
        self.storing: VoterState | None = None
        self.waiting: deque[_Waiting] = deque()  # the first one is being stored
        self.heard_at: int | None = None  # the last request of the publisher that has the term

    def request(self, now: int, link: int, request: GrantRequest | RecordRequest) -> list[Command]:
        """Handles a publisher's request."""
        if len(self.waiting) >= MAX_WAITING_REQUESTS:
            return [CountEvent("too many votes wait", str(link))]
        self.waiting.append(_Waiting(link, request))
        return self._advance(now)

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handles the outcome of a StoreVote."""
        match event:
            case VoteStored() if self.storing is not None:
                self.state, self.storing = self.storing, None
                return [*self._answer(now), *self._advance(now)]
            case VoteFailed(reason) if self.storing is not None:
                self.storing = None
                self.waiting.popleft()  # without an answer: the publisher asks again
                return [CountEvent("vote not stored", reason), *self._advance(now)]
        return []

    def status(self, now: int) -> VoterStatus:
        """What operators and publishers that start learn."""
        heard_ms = None if self.heard_at is None else now - self.heard_at
        state = self.state
        return VoterStatus(state.incarnation, state.has_memory, state.term, state.mark, state.recorded, heard_ms)

    def _advance(self, now: int) -> list[Command]:
        """Answers what needs no writing, and has the first other request stored."""
        commands: list[Command] = []
        while self.waiting and self.storing is None:
            request = self.waiting[0].request
            is_grant = isinstance(request, GrantRequest)
            after = on_grant_request(self.state, request) if is_grant else on_record_request(self.state, request)
            if after == self.state:
                commands += self._answer(now)
            else:
                self.storing = after
                commands.append(StoreVote(after))
        return commands

    def _answer(self, now: int) -> list[Command]:
        """Answers the first request by what is on the disk now."""
        link, request = self.waiting.popleft()
        if has_granted(self.state, request):
            self.heard_at = now
        return [SendFrame(link, pack(report(self.state, request)))]


def report(state: VoterState, request: GrantRequest | RecordRequest) -> VoterReport:
    """The answer to a request, after which the voter is in that state."""
    is_for_this_file = isinstance(request, GrantRequest) or request.incarnation == state.incarnation
    round = request.round if is_for_this_file and has_granted(state, request) else 0
    return VoterReport(state.incarnation, state.has_memory, state.term, state.mark, state.recorded, round)
