"""A simulated network for the machines of oakfork/control; control_verifier.py judges them after each step.

Time is virtual. Links deliver in order, end in the middle, are cut between regions (what is under way then waits for
the healing, as with TCP) and stand still with their node. A disk takes its time, and a kill may come before or after.
"""

import heapq
import itertools
import random
from array import array
from collections import Counter, deque
from types import SimpleNamespace

import msgspec
from control_verifier import VerificationError, Verifier, filled

from oakfork.control import events, messages
from oakfork.control.events import Connected, Heard, Lost, NotStored, Step, Stored, TimeCame, Unkept
from oakfork.control.follower import Follower
from oakfork.control.messages import Kind, Position, Row, Submit, Verdict, pack, unpack_down, unpack_up
from oakfork.control.publisher import Publisher
from oakfork.control.relay import Relay
from oakfork.control.state import Records, as_changes, total_digest, updated_sums

PULLED = (messages.Delta, messages.Digests, messages.Range)
ANSWERS = (messages.Ack, messages.Want)
END = object()
_rows = msgspec.msgpack.Decoder(tuple[Row, ...])


def parse(change):
    try:
        return list(_rows.decode(change)), []
    except msgspec.MsgspecError as error:
        return [], [f"the file: {error}"]


def contradictions(store, rows):
    return [
        f"drop[{number}]: there is no {row.name!r}"
        for number, row in enumerate(rows)
        if row.value is None and store.value(row.kind, row.name) is None
    ]


def put(name, value, kind=Kind.SERVER):
    return Row(kind, name, value)


class Disk:
    """A publisher's, with its whole log; `states` is the reference: what is in force at each position, by brute
    force."""

    def __init__(self, states, other=None):
        self.states = states
        self.term, self.position, self.entries, self.ids, self.state = 0, Position(), [], {}, {}
        if other is not None:  # a copy, from which another publisher begins
            self.term, self.position = other.term, other.position
            self.entries, self.ids, self.state = list(other.entries), dict(other.ids), dict(other.state)

    def begin(self, above=0):
        self.term = max(self.term, above) + 1
        self.states[Position(self.term, self.position.number)] = dict(self.state)
        return self.term

    def commit(self, keep):
        before, self.position = self.position, keep.position
        self.entries.append(SimpleNamespace(before=before, position=keep.position, rows=keep.rows))
        self.ids[keep.id] = keep.position
        for row in keep.rows:
            self.state.pop((row.kind, row.name), None)
            if row.value is not None:
                self.state[row.kind, row.name] = row.value
        self.states[keep.position] = dict(self.state)

    def uncommit(self, position):
        entry = self.entries.pop()
        assert entry.position == position
        self.position, self.ids = entry.before, {id: at for id, at in self.ids.items() if at != position}
        self.state = dict(self.states[entry.before])

    def store(self):
        return filled([Row(*key, value) for key, value in self.state.items()])


class Operator:
    """Submits change sets one by one, and each again under its id until there is a verdict."""

    def __init__(self, places, acknowledged):
        self.places, self.acknowledged = places, acknowledged
        self.sets, self.refused, self.link, self.up, self.wake, self.tries = deque(), [], 0, False, 0, 0

    def handle(self, now, event):
        match event:
            case TimeCame() if self.sets and now >= self.wake:
                said = [events.Close(self.link, "again")] if self.up else []
                self.link, self.up, self.wake = self.link - 1, True, now + 15_000
                place = self.places[self.tries % len(self.places)]
                self.tries += 1
                return [*said, events.Connect(place, self.link), events.Wake(self.wake)]
            case Connected(link) if link == self.link:
                return [events.Say(link, pack(Submit(self.sets[0][0], msgspec.msgpack.encode(self.sets[0][1]))))]
            case Lost(link) if link == self.link:
                self.up, self.wake = False, now + 1_000
                return [events.Wake(self.wake)]
            case Heard(link, Verdict(id, position, faults)) if link == self.link and id == self.sets[0][0]:
                self.up, self.wake = False, now + 500
                if position is not None:
                    self.acknowledged[id] = (position, self.sets.popleft()[1])
                elif not faults[0].startswith("older term"):
                    self.refused.append((*self.sets.popleft(), faults))
                return [events.Close(link, "done"), events.Wake(self.wake)]
        return []


class Node:
    def __init__(self, world, name, region, make):
        self.world, self.name, self.region, self.make = world, name, region, make
        self.counts, self.damaged, self.quiet, self.life = Counter(), False, False, 0
        self.born()

    def born(self):
        self.life += 1
        self.machine, self.alive, self.stopped = self.make(), True, False
        self.links, self.last, self.wake, self.inbox, self.seen = {}, 0, None, deque(), Position()
        self.world.at(0, self.tell, TimeCame(), self.life)

    def tell(self, event, life=None):
        if not self.alive or life not in (None, self.life):
            return
        if self.stopped:
            self.inbox.append(event)
            return
        for command in self.machine.handle(self.world.now, event):
            self.do(command)
        self.world.judge(self)

    def do(self, command):
        world = self.world
        match command:
            case events.Say(number, frame) if self.links.get(number) is not None:
                self.links[number].say(self, frame)
            case events.Connect(place, number):
                world.at(world.delay(), world.connect, self, place, number, self.life)
            case events.Close(number, reason):
                self.counts[f"closed: {reason}"] += 1
                if (link := self.links.pop(number, None)) is not None:
                    link.close(self)
                elif number < 0:
                    self.links[number] = None  # not to come about any more
            case events.Wake(at):
                self.wake = at
                world.at(max(0, at - world.now), self.time, at, self.life)
            case events.More():
                world.at(1, self.tell, Step(), self.life)
            case events.Keep():
                world.at(3, world.keep, self, command, self.life)
            case events.Unkeep():
                world.at(3, world.unkeep, self, command, self.life)
            case events.Note(reason):
                self.counts[reason] += 1

    def time(self, at, life):
        if self.wake == at:
            self.tell(TimeCame(), life)

    def kill(self, quietly=False):
        self.alive, self.quiet = False, quietly
        for link in list(self.links.values()):
            if link is not None:
                link.close(self, quietly)
        self.links = {}

    def break_links(self):
        for number, link in list(self.links.items()):
            del self.links[number]
            if link is not None:
                link.close(self)
                self.tell(Lost(number))

    def stop(self, time):
        self.stopped = True
        self.world.at(time, self.resume, self.life)

    def resume(self, life):
        if life == self.life and self.stopped:
            self.stopped = False
            while self.inbox and self.alive:
                self.tell(self.inbox.popleft())
            self.tell(TimeCame())


class Link:
    """`ends`: node -> its number; `under_way`: to whom -> frames in their order."""

    def __init__(self, world, low, low_number, high, high_number):
        self.world, self.ends = world, {low: low_number, high: high_number}
        self.other = {low: high, high: low}
        self.under_way = {low: deque(), high: deque()}
        self.lives = {low: low.life, high: high.life}
        self.unanswered, self.low = 0, low

    def say(self, sender, frame):
        if sender is self.low and isinstance(unpack_up(frame), ANSWERS):
            self.unanswered = 0
        self._under_way(sender, frame)

    def close(self, sender, quietly=False):
        self.under_way[sender].clear()
        if not quietly:
            self._under_way(sender, END)

    def _under_way(self, sender, what):
        to = self.other[sender]
        self.under_way[to].append(what)
        self.world.at(self.world.delay(), self.go_on, to)

    def go_on(self, to):
        """Delivers what came first: each frame has a call of its own, in a time of its own."""
        waiting = self.under_way[to]
        if not waiting or self.world.is_cut(to, self.other[to]):
            return
        frame, number = waiting.popleft(), self.ends[to]
        if to.links.get(number) is not self or to.life != self.lives[to]:
            return
        if frame is END:
            del to.links[number]
            to.tell(Lost(number))
            return
        message = unpack_down(frame) if number < 0 else unpack_up(frame)
        if isinstance(message, PULLED):
            self.world.sent[type(message).__name__] += 1
            self.world.bytes[to.name] += len(frame)
            self.unanswered += 1
            if self.unanswered > 1:
                raise VerificationError(f"{to.name} has {self.unanswered} frames to answer")
        to.tell(Heard(number, message))


class ControlNetwork:
    def __init__(self, seed=1):
        self.chance, self.now, self.order, self.serial = random.Random(seed), 0, itertools.count(), itertools.count(1)
        self.todo, self.nodes, self.cuts = [], {}, set()
        self.witness = Verifier()
        self.states, self.universe = self.witness.states, self.witness.universe
        self.acknowledged = self.witness.acknowledged
        self.sent, self.bytes, self.steps = Counter(), Counter(), 0
        self.disks = {}
        self.kill_at_keep = None  # "before" or "after" the next commit

    # Building

    def add(self, name, region, make):
        self.nodes[name] = Node(self, name, region, make)
        return self.nodes[name]

    def publisher(self, name="p", region=0, kind=Publisher, above=0, disk=None, **more):
        self.disks[name] = disk or Disk(self.states)

        def make():
            disk = self.disks[name]
            term = disk.begin(above)
            return kind(
                name,
                term,
                disk.position,
                disk.store(),
                parse,
                contradictions,
                entries=disk.entries,
                ids=disk.ids,
                **more,
            )

        return self.add(name, region, make)

    def relay(self, name, region, relays, kind=Relay, **more):
        return self.add(name, region, lambda: kind(name, relays, Records(), seed=self.chance.getrandbits(64), **more))

    def follower(self, name, region, relays, kind=Follower):
        return self.add(name, region, lambda: kind(name, relays, Records(), seed=self.chance.getrandbits(64)))

    def operator(self, *places):
        return self.add("operator", 0, lambda: Operator(places, self.acknowledged))

    def submit(self, *rows):
        machine = self.nodes["operator"].machine
        self.universe.update((row.kind, row.name) for row in rows)
        machine.sets.append((f"set-{next(self.serial)}", rows))
        self.nodes["operator"].tell(TimeCame())

    # Time

    def at(self, delay, act, *args):
        heapq.heappush(self.todo, (self.now + delay, next(self.order), act, args))

    def delay(self):
        return self.chance.randint(1, 25)

    def run(self, time, most=400_000):
        end = self.now + time
        while self.todo and self.todo[0][0] <= end:
            self.now, _, act, args = heapq.heappop(self.todo)
            act(*args)
            self.steps += 1
            assert (most := most - 1) > 0, "more steps than any run should have"
        self.now = end

    # The network

    def is_cut(self, one, other):
        return one.region != other.region and not self.cuts.isdisjoint((one.region, other.region))

    def cut(self, region):
        self.cuts.add(region)

    def heal(self):
        self.cuts.clear()
        links = {id(link): link for node in self.nodes.values() for link in node.links.values() if link is not None}
        for link in links.values():
            for end, waiting in link.under_way.items():
                for _ in waiting:
                    self.at(self.delay(), link.go_on, end)

    def connect(self, low, place, number, life):
        high = self.nodes.get(place)
        if not low.alive or life != low.life or low.links.pop(number, self) is None:
            return
        if high is None or not high.alive or self.is_cut(low, high):
            known = high is not None and not high.quiet and not self.is_cut(low, high)  # or nothing answers
            self.at(self.delay() if known else 2_000, low.tell, Lost(number), life)
            return
        high.last += 1
        link = Link(self, low, number, high, high.last)
        low.links[number], high.links[high.last] = link, link
        high.tell(Connected(high.last))
        low.tell(Connected(number))

    def keep(self, node, command, life):
        if not node.alive or life != node.life:
            return
        when, self.kill_at_keep = self.kill_at_keep, None
        if when == "fails":
            return node.tell(NotStored(command.position.number, "disk full"))
        if when != "before":
            if command.digest != total_digest(updated_sums(node.machine.store, as_changes(command.rows))):
                raise VerificationError(f"the digest of {command.position} is not that of its state")
            self.disks[node.name].commit(command)
        if when is not None:
            return node.kill()
        node.tell(Stored(command.position.number))

    def unkeep(self, node, command, life):
        if node.alive and life == node.life:
            self.disks[node.name].uncommit(command.position)
            node.tell(Unkept(command.position.number))

    # The witness

    def judge(self, node):
        if not isinstance(node.machine, Operator):
            self.witness.judge(node)

    def agreed(self):
        self.witness.agreed(
            [node for node in self.nodes.values() if node.alive and not isinstance(node.machine, Operator)]
        )

    def damage(self, node, name, value):
        """A record changes where it should not, and its digest with it."""
        store = node.machine.store
        store.compact()
        changes = {(Kind.SERVER, name): value}
        self.universe.update(changes)
        store.commit(changes, array("Q", updated_sums(store, changes)))
        store.compact()
        node.damaged = True
