"""A simulated network for the machines of oakfork/control; control_verifier.py checks them after each step.

Time is virtual. Links deliver frames in order, can end in the middle, can be cut between regions (frames under way
then wait until the cut heals, as with TCP) and stand still while a node is paused. Disk writes take time, and a kill
may come before or after one.
"""

import heapq
import itertools
import random
from array import array
from collections import Counter

import msgspec
from control_nodes import Disk, Link, Node, Operator
from control_verifier import VerificationError, Verifier

from oakfork.control.events import Connected, Disconnected, Reverted, Stored, StoreFailed, TimerFired
from oakfork.control.follower import Follower
from oakfork.control.messages import Kind, Row
from oakfork.control.publisher import Publisher
from oakfork.control.relay import Relay
from oakfork.control.state import Records, as_changes, total_digest, updated_sums

MAX_LINK_DELAY = 25  # milliseconds
CONNECT_TIMEOUT = 2_000  # milliseconds until connecting to a silent host fails
MAX_STEPS = 400_000  # of one run, far more than any should have
_rows_decoder = msgspec.msgpack.Decoder(tuple[Row, ...])


def parse(change):
    """Stands in for change_schema.parse: a change file here is a msgpack array of rows."""
    try:
        return list(_rows_decoder.decode(change)), []
    except msgspec.MsgspecError as error:
        return [], [f"the file: {error}"]


def contradictions(store, rows):
    """Stands in for state_index.contradictions: removed records must exist."""
    return [
        f"drop[{number}]: {row.name!r} does not exist"
        for number, row in enumerate(rows)
        if row.value is None and store.value(row.kind, row.name) is None
    ]


def put(name, value, kind=Kind.SERVER):
    """A row; value None removes the record."""
    return Row(kind, name, value)


class ControlNetwork:
    """The nodes, the links between them, and a clock in milliseconds."""

    def __init__(self, seed=1):
        self.random = random.Random(seed)
        self.now = 0
        self.order = itertools.count()
        self.serial = itertools.count(1)
        self.scheduled = []  # a heap of (time, order, function, arguments)
        self.nodes = {}
        self.cut_regions = set()
        self.verifier = Verifier()
        self.states = self.verifier.states
        self.all_keys = self.verifier.all_keys
        self.acknowledged = self.verifier.acknowledged
        self.sent = Counter()  # state frames by message type
        self.bytes = Counter()  # of state frames, by receiver
        self.disks = {}
        self.fault_at_store = None  # for the next commit: "fails", or a kill "before" or "after" it

    # Nodes

    def add(self, name, region, make):
        """Adds a node whose machine `make` creates, now and after each restart."""
        self.nodes[name] = Node(self, name, region, make)
        return self.nodes[name]

    def publisher(self, name="p", region=0, kind=Publisher, above=0, disk=None, **more):
        """Adds a publisher with a disk that survives restarts."""
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
        """Adds a relay that follows `relays`."""
        return self.add(name, region, lambda: kind(name, relays, Records(), seed=self.random.getrandbits(64), **more))

    def follower(self, name, region, relays, kind=Follower):
        """Adds a follower of `relays`."""
        return self.add(name, region, lambda: kind(name, relays, Records(), seed=self.random.getrandbits(64)))

    def operator(self, *addresses):
        """Adds the operator, who submits to these publishers in turn."""
        return self.add("operator", 0, lambda: Operator(addresses, self.acknowledged))

    def submit(self, *rows):
        """Has the operator submit a change set."""
        machine = self.nodes["operator"].machine
        self.all_keys.update((row.kind, row.name) for row in rows)
        machine.change_sets.append((f"set-{next(self.serial)}", rows))
        self.nodes["operator"].deliver(TimerFired())

    # Time

    def schedule(self, delay, function, *arguments):
        """Calls a function after a delay."""
        heapq.heappush(self.scheduled, (self.now + delay, next(self.order), function, arguments))

    def delay(self):
        """A random link delay."""
        return self.random.randint(1, MAX_LINK_DELAY)

    def run(self, duration, max_steps=MAX_STEPS):
        """Lets time pass."""
        end = self.now + duration
        steps = 0
        while self.scheduled and self.scheduled[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.scheduled)
            function(*arguments)
            steps += 1
            assert steps < max_steps, "more steps than any run should have"
        self.now = end

    # Links

    def is_cut(self, one, other):
        """Whether nothing passes between two nodes."""
        return one.region != other.region and not self.cut_regions.isdisjoint((one.region, other.region))

    def cut(self, region):
        """Cuts a region off from all others."""
        self.cut_regions.add(region)

    def heal(self):
        """Ends all cuts; frames under way go on."""
        self.cut_regions.clear()
        links = {id(link): link for node in self.nodes.values() for link in node.links.values() if link is not None}
        for link in links.values():
            for receiver, waiting in link.under_way.items():
                for _ in waiting:
                    self.schedule(self.delay(), link.deliver_next, receiver)

    def connect(self, low, address, number, life):
        """Connects a node to the one named `address`, or tells it that this failed."""
        high = self.nodes.get(address)
        if not low.alive or life != low.life or low.links.pop(number, self) is None:
            return
        if high is None or not high.alive or self.is_cut(low, high):
            refused = high is not None and not high.silent and not self.is_cut(low, high)
            delay = self.delay() if refused else CONNECT_TIMEOUT
            self.schedule(delay, low.deliver, Disconnected(number), life)
            return
        high.last_link += 1
        link = Link(self, low, number, high, high.last_link)
        low.links[number] = link
        high.links[high.last_link] = link
        high.deliver(Connected(high.last_link))
        low.deliver(Connected(number))

    # Disks

    def store_change_set(self, node, command, life):
        """Commits a change set to a publisher's disk, or does what `fault_at_store` says."""
        if not node.alive or life != node.life:
            return
        fault = self.fault_at_store
        self.fault_at_store = None
        if fault == "fails":
            node.deliver(StoreFailed(command.position.number, "disk full"))
            return
        if fault != "before":
            if command.digest != total_digest(updated_sums(node.machine.store, as_changes(command.rows))):
                raise VerificationError(f"the digest of {command.position} is not that of its state")
            self.disks[node.name].commit(command)
        if fault is not None:
            node.kill()
            return
        node.deliver(Stored(command.position.number))

    def revert_change_set(self, node, command, life):
        """Removes the last change set from a publisher's disk."""
        if node.alive and life == node.life:
            self.disks[node.name].uncommit(command.position)
            node.deliver(Reverted(command.position.number))

    # Checks

    def check_node(self, node):
        """Has the verifier check a node."""
        if not isinstance(node.machine, Operator):
            self.verifier.check_node(node)

    def check_agreement(self):
        """Has the verifier compare all nodes that are alive."""
        self.verifier.check_agreement(
            [node for node in self.nodes.values() if node.alive and not isinstance(node.machine, Operator)]
        )

    def damage(self, node, name, value):
        """Changes a record of a node, and its digest with it, without a change set."""
        store = node.machine.store
        store.compact()
        changes = {(Kind.SERVER, name): value}
        self.all_keys.update(changes)
        store.commit(changes, array("Q", updated_sums(store, changes)))
        store.compact()
        node.damaged = True
