"""A publisher with voters, link by link: a test says which voters can be reached, and what they have on their disks."""

import msgspec
from control_network import contradictions, parse
from control_peer import ScriptedPeer

from oakfork.control import voter as voters
from oakfork.control.claim import Claim
from oakfork.control.events import BeginTerm, Connected, Disconnected, FrameReceived, TermBegun, TimerFired, VoterState
from oakfork.control.grant_seeker import ASK_INTERVAL
from oakfork.control.messages import (
    GrantRequest,
    Position,
    RecordRequest,
    Status,
    StatusRequest,
)
from oakfork.control.publisher import Publisher
from oakfork.control.state import Records
from oakfork.control.status import VoterStatus

STORED = Position(7, 3)
MARK = 40
ADDRESSES = ("v0", "v1", "v2")


class VotedPublisher(ScriptedPeer):
    """A publisher that starts; its voters answer while they are in `reachable`."""

    def __init__(self, stored=STORED, above_term=0, states=None, begun_terms=(), addresses=ADDRESSES, **more):
        claim = Claim(addresses, stored, above_term, MARK, begun_terms, voters=len(addresses))
        machine = Publisher(
            "p", None, stored, Records(), parse, contradictions, claim=claim, voters=addresses, others=(), **more
        )
        super().__init__(machine)
        self.addresses = addresses
        self.states = states or [VoterState(number + 1, has_memory=True) for number in range(3)]
        self.heard_ms = None  # as the voters' status says
        self.reachable = set(addresses)
        self.voting = set(addresses)  # of these, the ones that answer more than questions for their status
        self.begun = []
        self.deliver(TimerFired())

    def execute(self, commands):
        """Begins the terms that are asked for at once, each the lowest that is allowed."""
        for command in commands:
            if isinstance(command, BeginTerm):
                self.begun.append(command)
        super().execute(commands)
        if any(isinstance(command, BeginTerm) for command in commands):
            self.deliver(TermBegun(self.begun[-1].above + 1))

    def play(self):
        """Lets the voters that can be reached answer, until nothing more is said."""
        while self.connects or any(link < 0 and self.sent[link] for link in self.sent):
            for address, link in self._take_connects():
                self.address_of[link] = address
                self.deliver(Connected(link) if address in self.reachable else Disconnected(link))
            for link in [link for link in self.sent if link < 0]:
                for message in self.new(link):
                    self._answer(link, message)

    def play_for(self, duration):
        """Lets milliseconds pass, and the voters answer."""
        for _ in range(0, duration, ASK_INTERVAL):
            self.play()
            self.wait(ASK_INTERVAL)
        self.play()

    @property
    def address_of(self):
        """The voters' addresses by link."""
        return self.__dict__.setdefault("_address_of", {})

    def _take_connects(self):
        connects, self.connects = self.connects, []
        return connects

    def _answer(self, link, message):
        address = self.address_of[link]
        if address not in self.reachable or link in self.closed:
            return
        number = int(address[1:]) % len(self.states)
        state = self.states[number]
        match message:
            case StatusRequest():
                status = VoterStatus(
                    state.incarnation, state.has_memory, state.term, state.mark, state.recorded, self.heard_ms
                )
                document = {"position": (0, 0), "phase": "connecting", "voter": status}
                self.deliver(FrameReceived(link, Status(msgspec.json.encode(document))))
            case GrantRequest() | RecordRequest() if address in self.voting:
                is_grant = isinstance(message, GrantRequest)
                handle = voters.on_grant_request if is_grant else voters.on_record_request
                self.states[number] = handle(state, message)
                self.deliver(FrameReceived(link, voters.report(self.states[number], message)))

    def status(self):
        """What it tells an operator."""
        self.deliver(Connected(90))
        self.send(90, StatusRequest())
        return msgspec.json.decode(self.last(90).document)
