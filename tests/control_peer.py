"""Speaks by hand to those who serve (oakfork/control), link by link."""

from control_verifier import filled

from oakfork.control.events import (
    Close,
    Connect,
    Connected,
    Heard,
    InForce,
    Keep,
    More,
    Note,
    Say,
    Step,
    TimeCame,
    Unkeep,
    Wake,
)
from oakfork.control.follower_server import FollowerServer
from oakfork.control.messages import VERSION, Hello, Position, unpack_down, unpack_up
from oakfork.control.state import as_changes, total_digest, updated_sums

P = Position
AT = P(1, 4)


class ScriptedPeer:
    """Speaks to a machine; `said` is what came on each link, `steps` are done as asked for."""

    def __init__(self, machine):
        self.machine, self.now, self.said, self.closed, self.notes = machine, 0, {}, {}, []
        self.wake, self.kept, self.connects, self.taken_back = None, [], [], []

    def take(self, commands):
        waiting = list(commands)
        while waiting:
            match waiting.pop(0):
                case Say(link, frame):
                    unpack = unpack_down if link > 0 else unpack_up
                    self.said.setdefault(link, []).append(unpack(frame))
                case Close(link, reason):
                    self.closed[link] = reason
                case Note(reason):
                    self.notes.append(reason)
                case Wake(at):
                    self.wake = at
                case Keep() as keep:
                    self.kept.append(keep)
                case Unkeep(position):
                    self.taken_back.append(position)
                case Connect(place, link):
                    self.connects.append((place, link))
                case More():
                    waiting += self.machine.handle(self.now, Step())

    def do(self, event):
        self.take(self.machine.handle(self.now, event))

    def hear(self, link, *told):
        for message in told:
            self.do(Heard(link, message))

    def wait(self, time):
        end = self.now + time
        while self.wake is not None and self.wake <= end:
            self.now, self.wake = max(self.now, self.wake), None
            self.do(TimeCame())
        self.now = end

    def last(self, link):
        return self.said[link][-1]

    def new(self, link):
        """What came on a link since the last look."""
        return self.said.pop(link, [])


def served(rows=(), position=AT, **more):
    store = filled(rows)
    return ScriptedPeer(FollowerServer("it", store, position, lambda now: 7, **more))


def goes_on(hand, *rows):
    """The next change set is in force."""
    machine, changes = hand.machine, as_changes(rows)
    machine.store.commit(changes, updated_sums(machine.store, changes))
    machine.store.compact()
    before, position = machine.position, P(machine.position.term, machine.position.number + 1)
    hand.take(machine.in_force(hand.now, InForce(before, position, changes)))


def follows(hand, link, who=None, position=None, digest=None, relay=False):
    hand.do(Connected(link))
    hand.hear(
        link,
        Hello(
            VERSION,
            who or f"g{link}",
            relay,
            position or hand.machine.position,
            total_digest(hand.machine.store.sums) if digest is None else digest,
        ),
    )
