"""Judges the machines of a simulated network (control_network.py) from outside: after each step one node's, and all
in the end. What it compares with is made by brute force, through what anyone can look up.
"""

from oakfork.control import encoded_frames, follower_server
from oakfork.control.messages import Position, Row
from oakfork.control.publisher import QUEUED, Publisher
from oakfork.control.state import Records, as_changes, total_digest, updated_sums


class VerificationError(AssertionError):
    """What the witness found."""


def filled(rows):
    """A store with these records."""
    store = Records()
    changes = as_changes(rows)
    store.commit(changes, updated_sums(store, changes))
    store.compact()
    return store


class Verifier:
    """`states`: what is in force at each position, told by the disks; `acknowledged`: by id the position and rows, told
    by the operator; `universe`: all keys that ever were."""

    def __init__(self):
        self.states, self.universe, self.acknowledged = {Position(): {}}, set(), {}

    def judge(self, node):
        """After each step of a node: it never goes back, and shows what is in force at its position. `damaged` ones
        may show something else, until they don't."""
        machine = node.machine
        if machine.position < node.seen:
            raise VerificationError(f"{node.name} went back from {node.seen} to {machine.position}")
        node.seen = machine.position
        expected = self.states.get(machine.position)
        if expected is None:
            raise VerificationError(f"{node.name} is at {machine.position}, which never was")
        other = [key for key in self.universe if machine.store.value(*key) != expected.get(key)]
        if other and not node.damaged:
            raise VerificationError(f"{node.name} shows at {machine.position} what never was: {other[:3]}")
        node.damaged = bool(other)
        if isinstance(machine, Publisher) and len(machine.queue) > QUEUED:
            raise VerificationError(f"{node.name}: {len(machine.queue)} change sets wait")
        if (serving := getattr(machine, "follower_server", None)) is not None:
            self.bounds(node, serving)

    def bounds(self, node, serving):
        links, pace, history = serving.links, serving.pace, serving.history
        sizes = {
            "links": (len(links), serving.most),
            "deltas": (len(serving.deltas), follower_server.DELTAS),
            "held": (len(serving.held), follower_server.DELTAS),
            "blocked": (len(serving.blocked), len(links)),
            "mending": (len(pace.mending), pace.most),
            "ready": (len(pace.ready), len(pace.mending)),
            "waiting": (len(pace.waiting), len(links)),
            "backlog": (len(serving.ranges.behind), encoded_frames.BACKLOG),
            "rows": (history.rows, history.most_rows),
            "sets": (len(history.sets), history.most_sets),
            "roster": (len(serving.registry.links), len(links)),
        }
        over = {what: (size, most) for what, (size, most) in sizes.items() if size > most}
        if over:
            raise VerificationError(f"{node.name}: over their bounds: {over}")

    def agreed(self, nodes):
        """In the end, of those alive: nothing acknowledged is lost, and all have the same."""
        expected, taken = {}, set()
        for id, (position, rows) in sorted(self.acknowledged.items(), key=lambda each: each[1][0]):
            if position in taken:
                raise VerificationError(f"{id} was acknowledged at {position}, as another was")
            taken.add(position)
            for row in rows:
                expected[row.kind, row.name] = row.value
        rows = [Row(*key, value) for key, value in expected.items() if value is not None]
        for node in nodes:
            lost = [key for key in self.universe if node.machine.store.value(*key) != expected.get(key)]
            if lost:
                raise VerificationError(f"{node.name} has lost what was acknowledged: {lost[:3]}")
            if total_digest(node.machine.store.sums) != total_digest(filled(rows).sums):
                raise VerificationError(f"{node.name} has another digest")
        if len({node.machine.position for node in nodes}) != 1:
            raise VerificationError(
                f"not all are where the others are: {[(node.name, node.machine.position) for node in nodes]}"
            )
