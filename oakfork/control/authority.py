"""Whether a publisher is the one that decides: its claim at the start, its term, and the grant by voters. No I/O.

A publisher that starts claims first (claim.py), then begins a term on its disk. Where its file names voters, a majority
of them has to grant that term and record the position that it starts from (grant.py) before it decides; and each
position that it puts in force afterwards.
"""

from itertools import count
from typing import Sequence

from oakfork.control import grant as grants
from oakfork.control.claim import Claim, Finding
from oakfork.control.events import BeginTerm, Command, CountEvent, Event, TermBegun, TermFailed
from oakfork.control.grant import Grant
from oakfork.control.grant_seeker import GrantSeeker
from oakfork.control.messages import EMPTY, Position
from oakfork.control.other_publishers import OtherPublishers
from oakfork.control.status import GrantStatus

TERMS_PER_START = 1 << 20  # terms that two copies of a database may begin next, at random
TERM_RETRY_INTERVAL = 1_000  # milliseconds before a term is begun again after a failure


class Authority:
    """The claim of a publisher that starts; without one it decides at once, in `term`, and has no voters."""

    def __init__(
        self, others: Sequence[str], term: int | None, claim: Claim | None, voters: Sequence[str] = ()
    ) -> None:
        link_numbers = claim.link_numbers if claim is not None else count(-1, -1)
        self.others = OtherPublishers(others, link_numbers)
        self.claim = claim  # None while this publisher decides, or has heard of a later one since
        self.seeker = GrantSeeker(voters, link_numbers) if claim is not None and voters else None
        self.term = term  # that is begun; None until then
        self.term_requested = False

    @property
    def timer(self) -> int | None:
        """When to deliver the next TimerFired; None if there is nothing to wait for."""
        asking = self.claim if self.claim is not None else self.others
        timers = (asking.timer, self.seeker.timer if self.seeker is not None else None)
        return min((at for at in timers if at is not None), default=None)

    @property
    def decides(self) -> bool:
        """Whether the claim is settled; a later publisher may have become known since."""
        return self.claim is None

    @property
    def is_refused(self) -> bool:
        """Whether the claim is refused for good."""
        return self.claim is not None and self.claim.is_refused

    @property
    def later_copy(self) -> Position | None:
        """The position that was in force and that the database lacks, if that is why the claim is refused."""
        if self.claim is not None and self.claim.finding is Finding.OLDER_COPY:
            return self.claim.latest
        return None

    @property
    def highest_term(self) -> int:
        """The highest term of another publisher that this one, once it decides, has to give way to; 0 if none."""
        lost_to = 0
        if self.seeker is not None and self.seeker.grant is not None and grants.is_lost(self.seeker.grant):
            lost_to = grants.later_term(self.seeker.grant)
        return max(self.others.highest_term, lost_to)

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handles a timer event, an event of one of its links, or one of a term."""
        match event:
            case TermBegun(term):
                self.term = term
                return []
            case TermFailed(reason):
                self.term_requested = False
                if self.claim is not None:
                    self.claim.ask_again(now + TERM_RETRY_INTERVAL)
                return [CountEvent("not stored", reason)]
        asking = self.claim if self.claim is not None else self.others
        commands = asking.handle(now, event)
        if self.seeker is not None:
            commands = commands + self.seeker.handle(now, event)
        return commands

    # The way to the decision

    def advance(self, now: int) -> list[Command]:
        """Goes on with a claim that nobody opposes, up to the point where it is settled."""
        claim = self.claim
        if claim is not None and claim.is_refused:
            return self.give_up()
        if claim is None or claim.finding is not Finding.FREE:
            return []
        if self.seeker is not None and self.seeker.grant is not None:
            return self._advance_grant(now, claim, self.seeker)
        if not claim.is_settled(now):
            claim.ask_again(now)
        elif self.term is None and not self.term_requested:
            self.term_requested = True
            return [BeginTerm(claim.known_term, 1 + claim.mark % TERMS_PER_START)]
        elif self.term is not None and self.seeker is not None:
            return self.seeker.begin(now, self.term, claim.mark, claim.word > 0)
        return []

    def _advance_grant(self, now: int, claim: Claim, seeker: GrantSeeker) -> list[Command]:
        grant = seeker.grant
        if grants.is_lost(grant):
            claim.granted_term = max(claim.granted_term, grants.later_term(grant))
            claim.ask_again(now + TERM_RETRY_INTERVAL)
            self.term = None
            self.term_requested = False
            return seeker.stop()
        if not claim.may_follow(grants.surely_found(grant)):
            return claim.refuse(grants.surely_found(grant)) + self.give_up()
        if grant.wanted == EMPTY and self._may_go_on(claim, grant):
            return seeker.record(now, self._first_position(claim))
        return []

    def _may_go_on(self, claim: Claim, grant: Grant) -> bool:
        """Whether a majority has granted the term, and the database has all that may be in force."""
        found = grants.possibly_found(grant)
        return grants.is_granted(grant) and found is not None and claim.may_follow(found)

    def is_settled(self, now: int) -> bool:
        """Whether this publisher may decide now: the term is begun, and where there are voters, granted."""
        if self.claim is None or self.claim.is_refused or self.term is None:
            return False
        if self.seeker is not None:
            is_recorded = self.seeker.is_recorded(self._first_position(self.claim))
            return is_recorded and self._may_go_on(self.claim, self.seeker.grant)
        return self.claim.is_settled(now)

    def _first_position(self, claim: Claim) -> Position:
        return Position(self.term, claim.stored.number)

    def end_claim(self) -> None:
        """The claim is settled: other publishers are polled from now on."""
        self.claim = None

    # Once it decides

    def has_majority(self, now: int) -> bool:
        """Whether change sets can come into force now, as far as is known."""
        return self.seeker is None or self.seeker.is_answered(now)

    def record(self, now: int, position: Position) -> list[Command]:
        """Has a position recorded, where there are voters."""
        return self.seeker.record(now, position) if self.seeker is not None else []

    def is_recorded(self, position: Position) -> bool:
        """Whether a position may come into force."""
        return self.seeker is None or self.seeker.is_recorded(position)

    def give_up(self) -> list[Command]:
        """Another publisher decides: the voters hear no more of this one."""
        return self.seeker.stop() if self.seeker is not None and self.seeker.grant is not None else []

    def fault(self, own: Position, higher_term: int) -> str:
        """Why change sets are refused. `own` is the position here, `higher_term` that of a later publisher."""
        later = self.later_copy
        if later is not None:
            return f"older copy: the database ends at {own.term}.{own.number}, {later.term}.{later.number} was in force"
        return f"older term: this publisher has term {own.term}, there is one of term {higher_term}"

    def grant_status(self, now: int) -> GrantStatus | None:
        """What operators learn of the voters; None if there are none."""
        return self.seeker.status(now) if self.seeker is not None else None
