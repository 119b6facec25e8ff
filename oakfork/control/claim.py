"""How a publisher that starts finds out whether it is the one that decides. No I/O: events in, commands out.

It asks the processes of `others`, publishers and relays, for their status, all at once and again until their answers
settle it. It may decide only if nobody who answers decides already, is about to with a better right, or knows of a
later state than its own database has. An operator's word (`above_term`) covers all terms up to the one it names, once:
until the database has a later term. docs/control.md says what this shows, and what only a majority could show.
"""

from enum import Enum
from itertools import count
from typing import Iterator, Sequence

from oakfork.control.events import (
    Close,
    Command,
    Connect,
    Connected,
    Disconnected,
    Event,
    FrameReceived,
    SendFrame,
    TimerFired,
)
from oakfork.control.messages import Position, Status, StatusRequest, pack
from oakfork.control.quorum import majority, possibly_recorded, surely_recorded
from oakfork.control.status import ClaimStatus, ReportedStatus, VoterStatus, reported_status

# Durations in milliseconds
ROUND_TIMEOUT = 2_000  # for the answers to one round of questions
ROUND_INTERVAL = 500  # between the end of a round and the next
MAX_ANSWER_AGE = 2_000  # of the answers that it decides by; a process may be stopped for any time
# For a publisher that decides, and whose term the operator's word covers, to hear of it: it asks every ten seconds.
TAKEOVER_TIME = 12_000
HOLDER_TIMEOUT = 3_000  # since a voter heard the publisher that it granted a term; then that one may be gone


class Finding(Enum):
    """What the answers of one round say."""

    FREE = "nobody else decides"
    WAIT = "another publisher starts too, or decides with an older term"
    SUPERSEDED = "a later publisher"
    OLDER_COPY = "a later state"


class Claim:
    """The claim of one publisher that starts, whose database ends at `stored` and has begun `begun_terms` since.

    `mark` is a random number of this start, above 0. Deliver a `TimerFired` when `timer` is due, at first at once.
    `link_numbers` is shared with the other parts of the publisher that open links. `voters` is how many of `others`
    vote.
    """

    def __init__(
        self,
        others: Sequence[str],
        stored: Position,
        above_term: int,
        mark: int,
        begun_terms: Sequence[int] = (),
        link_numbers: Iterator[int] | None = None,
        voters: int = 0,
    ) -> None:
        self.others = others
        self.voters = voters
        self.stored = stored
        self.begun_terms = frozenset(begun_terms)
        self.link_numbers = link_numbers or count(-1, -1)
        self.word = above_term if above_term >= stored.term else 0  # the operator's; 0 if there is none or it is spent
        self.mark = mark
        self.yields_to = 0  # the mark of a publisher that starts too and goes first
        self.finding = Finding.WAIT
        self.latest = stored  # the latest position that an answer shows
        self.answered_at = 0  # the end of the last round
        self.first_asked_at: int | None = None
        self.links: dict[int, str] = {}  # without an answer yet, of the round that is open; address by link
        self.answers: list[ReportedStatus] = []  # of that round
        self.granted_term = 0  # the highest that a voter is known to have granted
        self.timer: int | None = 0  # None once nothing more is asked

    @property
    def known_term(self) -> int:
        """The highest term that the database or an answer shows, or that the operator's word names."""
        return max(self.stored.term, *self.begun_terms, self.latest.term, self.granted_term, self.word)

    def is_settled(self, now: int) -> bool:
        """Whether this publisher may decide at `now`."""
        return self.finding is Finding.FREE and now - self.answered_at <= MAX_ANSWER_AGE

    @property
    def is_refused(self) -> bool:
        """Whether this publisher must not decide, now or later."""
        return self.finding in (Finding.SUPERSEDED, Finding.OLDER_COPY)

    def status(self) -> ClaimStatus:
        """What others learn of this claim."""
        return ClaimStatus(self.word, self.mark, self.yields_to)

    def refuse(self, position: Position) -> list[Command]:
        """A position was seen that this publisher may not take over from: nothing more is asked."""
        self.finding = self._compare_position(position)
        self.latest = max(self.latest, position)
        self.timer = None
        return self._close_links("not needed")

    def ask_again(self, at: int) -> None:
        """Has a new round begin at that time: the last answers are too old to decide by, or could not be used."""
        self.finding = Finding.WAIT
        self.timer = at

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handles a timer event, or an event of one of its links; ignores all others."""
        match event:
            case TimerFired() if self.timer is not None and now >= self.timer:
                return self._time_out(now) if self.links else self._begin_round(now)
            case Connected(link) if link in self.links:
                return [SendFrame(link, pack(StatusRequest()))]
            case Disconnected(link) if link in self.links:
                self._answered(now, link, None)
            case FrameReceived(link, message) if link in self.links:
                self._answered(now, link, reported_status(message.document) if isinstance(message, Status) else None)
                return [Close(link, "answered")]
        return []

    # Rounds of questions

    def _begin_round(self, now: int) -> list[Command]:
        if self.first_asked_at is None:
            self.first_asked_at = now
        self.answers = []
        self.yields_to = 0  # else the other might decide by that, and this one because the other does not answer
        for address in self.others:
            self.links[next(self.link_numbers)] = address
        self.timer = now + ROUND_TIMEOUT
        if not self.links:
            self.end_round(now)
        return [Connect(address, link) for link, address in self.links.items()]

    def _answered(self, now: int, link: int, status: ReportedStatus | None) -> None:
        del self.links[link]
        if status is not None:
            self.answers.append(status)
        if not self.links:
            self.end_round(now)

    def _time_out(self, now: int) -> list[Command]:
        """Ends a round in which somebody has not answered; it counts as absent."""
        commands = self._close_links("no answer")
        self.end_round(now)
        return commands

    def _close_links(self, reason: str) -> list[Command]:
        commands: list[Command] = [Close(link, reason) for link in self.links]
        self.links.clear()
        return commands

    def end_round(self, now: int) -> None:
        """All answers of a round are there: finds what they say."""
        self.answered_at = now
        self.yields_to = 0
        self.latest = max((self.latest, *(status.position for status in self.answers)))
        findings = {self.compare(now, status) for status in self.answers}
        if self.voters:
            findings.add(self._compare_votes())
        self.finding = next(
            (one for one in (Finding.SUPERSEDED, Finding.OLDER_COPY, Finding.WAIT) if one in findings), Finding.FREE
        )
        self.timer = now + ROUND_INTERVAL if self.finding is Finding.WAIT else None

    # What an answer means

    def compare(self, now: int, status: ReportedStatus) -> Finding:
        """What the answer of one process says."""
        if status.claim is not None:
            return self.compare_claim(status.position, status.claim)
        if self._is_covered(status):
            waits = status.is_deciding and now < self.first_asked_at + TAKEOVER_TIME
            return Finding.WAIT if waits else Finding.FREE
        if self._is_later(status.known_term):
            return Finding.SUPERSEDED
        if status.is_deciding:
            return Finding.WAIT if status.known_term < self.stored.term else Finding.SUPERSEDED
        return Finding.FREE if self.has(status.position) else Finding.OLDER_COPY

    def _compare_votes(self) -> Finding:
        """What the voters show: a later position that they recorded, or a publisher that they have heard lately."""
        votes = {status.voter.incarnation: status.voter for status in self.answers if status.voter is not None}
        recorded = [voter.recorded for voter in votes.values()]
        surely = surely_recorded(recorded, self.voters)
        possibly = possibly_recorded(recorded, self.voters)
        self.granted_term = max((self.granted_term, *(voter.term for voter in votes.values())))
        if not self.may_follow(surely):
            self.latest = max(self.latest, surely)
            return self._compare_position(surely)
        hearing = sum(self._hears_another(voter) for voter in votes.values())
        is_open = possibly is None or not self.may_follow(possibly)
        return Finding.WAIT if is_open or hearing >= majority(self.voters) else Finding.FREE

    def _hears_another(self, voter: VoterStatus) -> bool:
        """Whether a voter has heard another publisher lately, one that the operator's word does not cover."""
        is_heard = voter.heard_ms is not None and voter.heard_ms < HOLDER_TIMEOUT
        return is_heard and voter.mark != self.mark and voter.term > self.word

    def may_follow(self, recorded: Position) -> bool:
        """Whether this publisher may decide after a position that voters have recorded."""
        return recorded.term <= self.word or self.has(recorded)

    def _compare_position(self, position: Position) -> Finding:
        """What a position means that the database does not have."""
        return Finding.SUPERSEDED if self._is_later(position.term) else Finding.OLDER_COPY

    def is_superseded_by(self, term: int) -> bool:
        """Whether a term that somebody has is that of a later publisher, and not covered by the operator's word."""
        return term > self.word and self._is_later(term)

    def _is_later(self, term: int) -> bool:
        """Whether a term is above that of the database's state, and not one that the database began itself."""
        return term > self.stored.term and term not in self.begun_terms

    def has(self, position: Position) -> bool:
        """Whether the database has all that was in force at a position.

        The terms that it began since its last change set have none yet: their first position is the state as it is.
        """
        is_begun = position.term in self.begun_terms and position.number == self.stored.number
        return position <= self.stored or is_begun

    def _is_covered(self, status: ReportedStatus) -> bool:
        """Whether the operator's word lets this publisher take over from all that an answer shows.

        A publisher that hears of the word takes it for a term just above it.
        """
        return 0 < self.word >= status.position.term and (status.higher_term or 0) <= self.word + 1

    def compare_claim(self, position: Position, claim: ClaimStatus) -> Finding:
        """Of publishers that start at the same time, the one with the better right goes first.

        The other one says that it yields, and the first waits for that: it may have been taken for absent.
        """
        if claim.mark == self.mark or claim.yields_to == self.mark:
            return Finding.FREE
        if (claim.word, position, claim.mark) > (self.word, self.stored, self.mark):
            self.yields_to = max(self.yields_to, claim.mark)
        return Finding.WAIT
