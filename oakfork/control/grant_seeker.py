"""Has a publisher's term granted and its positions recorded by the voters of its file. No I/O: events in, commands out.

It keeps a connection to each voter, asks on it whenever there is something else to ask, and repeats the question at an
interval, so that a voter that was away catches up and a publisher that lost its majority learns of it.
"""

from dataclasses import dataclass
from typing import Iterator, Sequence

from oakfork.control import grant as grants
from oakfork.control.events import (
    Close,
    Command,
    Connect,
    Connected,
    CountEvent,
    Disconnected,
    Event,
    FrameReceived,
    SendFrame,
    TimerFired,
)
from oakfork.control.grant import Grant
from oakfork.control.messages import GrantRequest, Position, RecordRequest, VoterReport, pack
from oakfork.control.quorum import majority
from oakfork.control.status import GrantStatus

# Durations in milliseconds
ASK_INTERVAL = 1_000  # between questions to a voter that has answered the same already
ANSWER_TIMEOUT = 3_000  # after which a voter's connection is given up, and a majority counts as lost


@dataclass(slots=True)
class _Voter:
    """One voter of the file, and the connection to it."""

    address: str
    link: int | None = None
    connected: bool = False
    asked: GrantRequest | RecordRequest | None = None  # last, on this connection
    waiting_since: int | None = None  # for the answer
    silent_since: int | None = None  # the first question, or loss of the connection, after the last answer


class GrantSeeker:
    """Asks the voters at `addresses`. `link_numbers` is shared with other parts of the publisher that open links."""

    def __init__(self, addresses: Sequence[str], link_numbers: Iterator[int]) -> None:
        self.voters = [_Voter(address) for address in addresses]
        self.link_numbers = link_numbers
        self.grant: Grant | None = None  # None until a term is asked for
        self.timer: int | None = None

    def begin(self, now: int, term: int, mark: int, by_operator: bool) -> list[Command]:
        """Asks all voters for a term. `by_operator`: also those that have lost their memory."""
        self.grant = grants.new_grant(term, mark, by_operator, len(self.voters))
        for voter in self.voters:
            voter.silent_since = now
        return self._ask_all(now)

    def record(self, now: int, position: Position) -> list[Command]:
        """Has a position of the granted term recorded."""
        self.grant = grants.want(self.grant, position)
        return self._ask_changed(now)

    def is_recorded(self, position: Position) -> bool:
        """Whether a majority has recorded that position."""
        return self.grant is not None and grants.is_recorded(self.grant, position)

    def is_answered(self, now: int) -> bool:
        """Whether a majority that grants the term has answered lately."""
        return len(self._answering(now)) >= majority(len(self.voters))

    def stop(self) -> list[Command]:
        """Asks nobody any more."""
        commands = [command for voter in self.voters for command in self._disconnect(voter, "not needed")]
        self.grant = None
        self.timer = None
        return commands

    def status(self, now: int) -> GrantStatus:
        """What operators learn."""
        views = self.grant.views if self.grant is not None else ()
        return GrantStatus(
            len(self.voters),
            len(self._answering(now)),
            sum(view.memory_lost_in > 0 for view in views),
            grants.later_term(self.grant) if self.grant is not None else 0,
        )

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handles a timer event, or an event of one of its links; ignores all others."""
        match event:
            case TimerFired() if self.timer is not None and now >= self.timer:
                return self._ask_all(now)
            case Connected(link) if (number := self._number_of(link)) is not None:
                self.voters[number].connected = True
                return self._ask(now, number)
            case Disconnected(link) if (number := self._number_of(link)) is not None:
                self._disconnect(self.voters[number], "")
                self._unanswered(now, self.voters[number])
            case FrameReceived(link, message) if (number := self._number_of(link)) is not None:
                if isinstance(message, VoterReport):
                    return self._reported(now, number, message)
                return self._disconnect(self.voters[number], "not a voter")
        return []

    def _number_of(self, link: int) -> int | None:
        return next((number for number, voter in enumerate(self.voters) if voter.link == link), None)

    def _answering(self, now: int) -> set[int]:
        """The incarnations of the voters that grant the term, and have not been silent for too long.

        A publisher that was stopped has asked nobody meanwhile: what voters do not know of is no silence.
        """
        if self.grant is None:
            return set()
        return {
            view.incarnation
            for voter, view in zip(self.voters, self.grant.views, strict=True)
            if view.has_granted and (voter.silent_since is None or now - voter.silent_since <= ANSWER_TIMEOUT)
        }

    def _reported(self, now: int, number: int, report: VoterReport) -> list[Command]:
        voter = self.voters[number]
        voter.waiting_since = None
        lost_before = self.grant.views[number].memory_lost_in
        self.grant = grants.on_report(self.grant, number, report)
        view = self.grant.views[number]
        if (report.term, report.mark) == (self.grant.term, self.grant.mark):
            voter.silent_since = None
        commands: list[Command] = []
        if view.memory_lost_in > lost_before:
            commands.append(CountEvent("voter without memory", voter.address))
        return commands + self._ask_changed(now)

    def _ask_changed(self, now: int) -> list[Command]:
        """Asks the voters that were asked something else before."""
        commands: list[Command] = []
        for number, voter in enumerate(self.voters):
            if voter.connected and grants.request(self.grant, number) != voter.asked:
                commands += self._ask(now, number)
        return commands

    def _ask_all(self, now: int) -> list[Command]:
        """Asks all voters, over new connections where one is missing or silent."""
        self.timer = now + ASK_INTERVAL
        commands: list[Command] = []
        for number, voter in enumerate(self.voters):
            if voter.waiting_since is not None and now - voter.waiting_since >= ANSWER_TIMEOUT:
                commands += self._disconnect(voter, "no answer")
            if voter.link is None:
                voter.link = next(self.link_numbers)
                commands.append(Connect(voter.address, voter.link))
            elif voter.connected:
                commands += self._ask(now, number)
        return commands

    def _ask(self, now: int, number: int) -> list[Command]:
        voter = self.voters[number]
        voter.asked = grants.request(self.grant, number)
        if voter.waiting_since is None:
            voter.waiting_since = now
        self._unanswered(now, voter)
        return [SendFrame(voter.link, pack(voter.asked))]

    def _unanswered(self, now: int, voter: _Voter) -> None:
        if voter.silent_since is None:
            voter.silent_since = now

    def _disconnect(self, voter: _Voter, reason: str) -> list[Command]:
        """Forgets a voter's connection; closes it if there is a reason for that."""
        commands: list[Command] = [Close(voter.link, reason)] if voter.link is not None and reason else []
        voter.link = None
        voter.connected = False
        voter.asked = None
        voter.waiting_since = None
        return commands
