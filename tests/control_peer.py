"""Plays the peers of a machine of oakfork/control, link by link, as a test says."""

from control_verifier import filled

from oakfork.control.events import (
    Close,
    Connect,
    Connected,
    CountEvent,
    FrameReceived,
    InForce,
    RevertChangeSet,
    ScheduleStep,
    SendFrame,
    SetTimer,
    Step,
    StoreChangeSet,
    TimerFired,
)
from oakfork.control.follower_server import FollowerServer
from oakfork.control.messages import VERSION, Hello, Position, unpack_down, unpack_up
from oakfork.control.state import as_changes, total_digest, updated_sums

START = Position(1, 4)
SERVER_AGE = 7  # milliseconds since the publisher was heard of, as `served` reports it


class ScriptedPeer:
    """Delivers events to a machine and records its commands. Steps are run as soon as the machine schedules them."""

    def __init__(self, machine):
        self.machine = machine
        self.now = 0
        self.sent = {}  # messages from the machine, by link
        self.closed = {}  # reasons, by link
        self.counted = []  # reasons of counted events
        self.timer = None
        self.stored = []
        self.reverted = []  # positions
        self.connects = []  # (address, link)

    def execute(self, commands):
        """Records commands, and those that follow from steps."""
        waiting = list(commands)
        while waiting:
            match waiting.pop(0):
                case SendFrame(link, frame):
                    unpack = unpack_down if link > 0 else unpack_up
                    self.sent.setdefault(link, []).append(unpack(frame))
                case Close(link, reason):
                    self.closed[link] = reason
                case CountEvent(reason):
                    self.counted.append(reason)
                case SetTimer(at):
                    self.timer = at
                case StoreChangeSet() as command:
                    self.stored.append(command)
                case RevertChangeSet(position):
                    self.reverted.append(position)
                case Connect(address, link):
                    self.connects.append((address, link))
                case ScheduleStep():
                    waiting += self.machine.handle(self.now, Step())

    def deliver(self, event):
        """Passes an event to the machine."""
        self.execute(self.machine.handle(self.now, event))

    def send(self, link, *messages):
        """Sends messages to the machine."""
        for message in messages:
            self.deliver(FrameReceived(link, message))

    def wait(self, duration):
        """Lets milliseconds pass, with the machine's timer."""
        end = self.now + duration
        while self.timer is not None and self.timer <= end:
            self.now = max(self.now, self.timer)
            self.timer = None
            self.deliver(TimerFired())
        self.now = end

    def last(self, link):
        """The last message from the machine on a link."""
        return self.sent[link][-1]

    def new(self, link):
        """The messages from the machine on a link since the last call."""
        return self.sent.pop(link, [])


def served(rows=(), position=START, **more):
    """The peer of a FollowerServer with a state."""
    store = filled(rows)
    return ScriptedPeer(FollowerServer("it", store, position, lambda now: SERVER_AGE, **more))


def put_in_force(peer, *rows, count=1, term=None):
    """Puts rows in force at the server, as `count` change sets that arrive as one; `term` changes the term."""
    machine = peer.machine
    changes = as_changes(rows)
    machine.store.commit(changes, updated_sums(machine.store, changes))
    machine.store.compact()
    before = machine.position
    position = Position(before.term if term is None else term, before.number + count)
    peer.execute(machine.in_force(peer.now, InForce(before, position, changes)))


def follow(peer, link, name=None, position=None, digest=None, relay=False):
    """Connects a follower; without position and digest it has the machine's."""
    machine = peer.machine
    peer.deliver(Connected(link))
    if digest is None:
        digest = total_digest(machine.store.sums)
    peer.send(link, Hello(VERSION, name or f"g{link}", relay, position or machine.position, digest))
