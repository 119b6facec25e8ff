"""Plays the upstream of a Follower, as a test says."""

from control_verifier import filled

from oakfork.control.events import (
    Close,
    Connect,
    Connected,
    CountEvent,
    FrameReceived,
    InForce,
    ScheduleStep,
    SendFrame,
    SetTimer,
    Step,
    TimerFired,
)
from oakfork.control.follower import Follower
from oakfork.control.messages import EMPTY, VERSION, Delta, Heartbeat, Welcome, unpack_up
from oakfork.control.state import as_changes, total_digest, updated_sums


class ScriptedUpstream:
    """Delivers events to a follower and records its commands.

    The follower has the given rows, position and relays. Steps are run as soon as it schedules them, unless a call says
    otherwise.
    """

    def __init__(self, rows=(), position=EMPTY, relays=("one", "two"), **more):
        self.store = filled(rows)
        self.machine = Follower("me", relays, self.store, position, **more)
        self.now = 0
        self.counted = []  # reasons of counted events
        self.in_force = []
        self.addresses = []  # that it connected to
        self.received = []  # messages from the follower
        self.timer = None
        self.closed = []  # reasons
        self.deliver(TimerFired())

    def deliver(self, event, steps=True):
        """Passes an event to the follower, then the steps that it schedules if `steps`."""
        waiting = [event]
        while waiting:
            for command in self.machine.handle(self.now, waiting.pop(0)):
                match command:
                    case SendFrame(link, frame):
                        assert link == self.machine.link
                        self.received.append(unpack_up(frame))
                    case Connect(address, _):
                        self.addresses.append(address)
                    case Close(_, reason):
                        self.closed.append(reason)
                    case SetTimer(at):
                        assert at > self.now
                        self.timer = at
                    case ScheduleStep():
                        if steps:
                            waiting.append(Step())
                    case InForce():
                        self.in_force.append(command)
                    case CountEvent(reason):
                        self.counted.append(reason)

    def send(self, *messages, steps=True):
        """Sends messages to the follower on its current link."""
        for message in messages:
            self.deliver(FrameReceived(self.machine.link, message), steps)

    def welcome(self, position, age=0):
        """Establishes the follower's link and welcomes it, as an upstream at `position`."""
        self.deliver(Connected(self.machine.link))
        self.send(Welcome(VERSION, "it", position), Heartbeat(position, age))
        return self

    def wait(self, duration):
        """Lets milliseconds pass, with the follower's timer."""
        end = self.now + duration
        while self.timer is not None and self.timer <= end:
            self.now = self.timer
            self.timer = None
            self.deliver(TimerFired())
        self.now = end

    def delta(self, after, position, *rows, more=False, digest=None):
        """A Delta; its digest is that of the follower's state with the rows, unless one is given."""
        if digest is None:
            digest = digest_with(self.store, *rows)
        return Delta(after, position, digest, rows, more)


def digest_with(store, *rows):
    """The digest of a store's state with some rows applied."""
    return total_digest(updated_sums(store, as_changes(rows)))
