"""Checks the machines of a simulated network (control_network.py) from outside.

One node is checked after each of its steps, and all in the end. Expected states are computed directly from the change
sets and compared through the stores' look-ups.
"""

from oakfork.control import encoded_frames, state_sender
from oakfork.control.change_queue import MAX_QUEUED_SETS
from oakfork.control.messages import Position, Row
from oakfork.control.publisher import Publisher
from oakfork.control.state import Records, as_changes, total_digest, updated_sums


class VerificationError(AssertionError):
    """A machine violates what the verifier checks."""


def filled(rows):
    """A store with these records."""
    store = Records()
    changes = as_changes(rows)
    store.commit(changes, updated_sums(store, changes))
    store.compact()
    return store


class Verifier:
    """What the network has recorded to compare with.

    `states` is the state in force at each position, from the disks; `acknowledged` has position and rows by id, from
    the operator; `all_keys` are the keys of all records that ever existed.
    """

    def __init__(self):
        self.states = {Position(): {}}
        self.all_keys = set()
        self.acknowledged = {}

    def check_node(self, node):
        """Checks that a node's position never decreases and that its records are those in force at its position.

        The records of a `damaged` node may differ until they agree again.
        """
        machine = node.machine
        if machine.position < node.last_position:
            raise VerificationError(f"{node.name} went back from {node.last_position} to {machine.position}")
        node.last_position = machine.position
        expected = self.states.get(machine.position)
        if expected is None:
            raise VerificationError(f"{node.name} is at {machine.position}, which never was in force")
        differing = [key for key in self.all_keys if machine.store.value(*key) != expected.get(key)]
        if differing and not node.damaged:
            raise VerificationError(f"{node.name} shows at {machine.position} what never was: {differing[:3]}")
        node.damaged = bool(differing)
        if isinstance(machine, Publisher) and len(machine.queue) > MAX_QUEUED_SETS:
            raise VerificationError(f"{node.name}: {len(machine.queue)} change sets wait")
        follower_server = getattr(machine, "follower_server", None)
        if follower_server is not None:
            self.check_bounds(node, follower_server)

    def check_bounds(self, node, follower_server):
        """Checks that everything that a follower server keeps is within its bounds."""
        sessions = follower_server.sessions
        pacer = follower_server.pacer
        history = follower_server.history
        sizes = {
            "sessions": (len(sessions), follower_server.max_links),
            "deltas": (len(follower_server.deltas), state_sender.MAX_LONG_DELTAS),
            "partly sent": (len(follower_server.partly_sent), state_sender.MAX_LONG_DELTAS),
            "blocked": (len(follower_server.blocked), len(sessions)),
            "active": (len(pacer.active), pacer.max_active),
            "ready": (len(pacer.ready), len(pacer.active)),
            "waiting": (len(pacer.waiting), len(sessions)),
            "backlog": (len(follower_server.ranges.backlog), encoded_frames.MAX_BACKLOG),
            "rows": (history.rows, history.max_rows),
            "sets": (len(history.sets), history.max_sets),
            "registry": (len(follower_server.registry.links), len(sessions)),
        }
        exceeded = {what: (size, limit) for what, (size, limit) in sizes.items() if size > limit}
        if exceeded:
            raise VerificationError(f"{node.name}: over their bounds: {exceeded}")

    def check_agreement(self, nodes):
        """Checks that the given nodes have the same state, with everything that was acknowledged."""
        expected = {}
        positions = set()
        for id, (position, rows) in sorted(self.acknowledged.items(), key=lambda each: each[1][0]):
            if position in positions:
                raise VerificationError(f"{id} was acknowledged at {position}, as another was")
            positions.add(position)
            for row in rows:
                expected[row.kind, row.name] = row.value
        rows = [Row(*key, value) for key, value in expected.items() if value is not None]
        for node in nodes:
            lost = [key for key in self.all_keys if node.machine.store.value(*key) != expected.get(key)]
            if lost:
                raise VerificationError(f"{node.name} has lost what was acknowledged: {lost[:3]}")
            if total_digest(node.machine.store.sums) != total_digest(filled(rows).sums):
                raise VerificationError(f"{node.name} has another digest")
        if len({node.machine.position for node in nodes}) != 1:
            raise VerificationError(
                f"nodes are at different positions: {[(node.name, node.machine.position) for node in nodes]}"
            )
