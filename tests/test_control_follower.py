"""The follower's handling of state: which Deltas, digests and ranges it applies, and which have no effect."""

from control_network import put
from control_upstream import ScriptedUpstream, digest_with
from control_verifier import filled

from oakfork.control.events import Disconnected, InForce, Step
from oakfork.control.follower import MAX_DIGEST_FAILURES
from oakfork.control.messages import (
    VERSION,
    Ack,
    Delta,
    Digests,
    Heartbeat,
    Hello,
    Kind,
    Position,
    Range,
    RangeRequest,
)
from oakfork.control.staging import SLICE
from oakfork.control.state import Records, range_of, total_digest, updated_sums


def test_hello_reports_the_state_and_a_consecutive_delta_is_applied():
    """The follower introduces itself with its state, applies a Delta that follows it and acknowledges that."""
    upstream = ScriptedUpstream([put("a", b"1")], Position(1, 4)).welcome(Position(1, 5))
    store = upstream.store
    assert upstream.received == [Hello(VERSION, "me", False, Position(1, 4), total_digest(store.sums))]
    upstream.send(upstream.delta(Position(1, 4), Position(1, 5), put("a", b"2"), put("b", b"3")))
    assert upstream.received[1:] == [Ack(Position(1, 5), total_digest(store.sums))]
    assert upstream.machine.position == Position(1, 5)
    changes = {(Kind.SERVER, "a"): b"2", (Kind.SERVER, "b"): b"3"}
    assert upstream.in_force == [InForce(Position(1, 4), Position(1, 5), changes)]
    assert (store.value(Kind.SERVER, "a"), store.value(Kind.SERVER, "b")) == (b"2", b"3")


def test_a_delta_is_applied_with_its_last_frame_only():
    """A Delta of several frames is never partly in force."""
    upstream = ScriptedUpstream([], Position(1, 4)).welcome(Position(1, 5))
    first = put("a", b"1")
    second = put("b", b"2")
    digest = digest_with(upstream.store, first, second)
    upstream.send(upstream.delta(Position(1, 4), Position(1, 5), first, more=True, digest=digest))
    assert upstream.received[-1] == Ack(Position(1, 4), 0)
    assert upstream.store.value(Kind.SERVER, "a") is None and not upstream.in_force
    upstream.send(upstream.delta(Position(1, 4), Position(1, 5), second, digest=digest))
    assert len(upstream.in_force) == 1 and upstream.machine.position == Position(1, 5)


def test_frames_of_a_lost_connection_are_discarded():
    """The rest of a Delta on another connection isn't combined with its beginning on a lost one."""
    upstream = ScriptedUpstream([], Position(1, 4)).welcome(Position(1, 5))
    first = put("a", b"1")
    second = put("b", b"2")
    digest = digest_with(upstream.store, first, second)
    upstream.send(upstream.delta(Position(1, 4), Position(1, 5), first, more=True, digest=digest))
    upstream.deliver(Disconnected(upstream.machine.link))
    assert upstream.machine.transfer.staged is None and upstream.addresses == ["one", "two"]
    upstream.welcome(Position(1, 5))
    upstream.send(upstream.delta(Position(1, 4), Position(1, 5), second, digest=digest))
    assert not upstream.in_force and "digest differs" in upstream.counted
    assert upstream.store.value(Kind.SERVER, "b") is None


def test_replayed_older_and_foreign_frames_have_no_effect_and_are_counted():
    """Deltas, digests and ranges that don't follow the state leave it as it is."""
    upstream = ScriptedUpstream([put("a", b"1")], Position(2, 4)).welcome(Position(2, 4))
    row = put("a", b"2")
    for after, position in (
        (Position(2, 3), Position(2, 4)),
        (Position(2, 3), Position(2, 5)),
        (Position(2, 5), Position(2, 6)),
        (Position(1, 4), Position(1, 5)),
        (Position(2, 4), Position(2, 4)),
        (Position(2, 4), Position(2, 3)),
        (Position(2, 4), Position(1, 9)),
    ):
        upstream.send(upstream.delta(after, position, row))
    sums = tuple(upstream.store.sums)
    upstream.send(Digests(Position(2, 3), sums), Digests(Position(1, 9), sums), Range(3, (), False))
    assert upstream.counted == ["stale"] * 10 and not upstream.in_force
    assert upstream.store.value(Kind.SERVER, "a") == b"1" and upstream.machine.position == Position(2, 4)
    upstream.send(upstream.delta(Position(2, 4), Position(2, 5), row))
    assert upstream.machine.position == Position(2, 5)


def test_a_differing_digest_requests_ranges_and_a_second_one_switches_relays():
    """A Delta with a wrong digest isn't applied; the follower then reports a wrong digest itself, to be sent ranges."""
    upstream = ScriptedUpstream([put("a", b"1")], Position(1, 4)).welcome(Position(1, 5))
    right = total_digest(upstream.store.sums)
    for failures in range(1, MAX_DIGEST_FAILURES + 1):
        upstream.send(upstream.delta(Position(1, 4), Position(1, 5), put("a", b"2"), digest=99))
        assert upstream.store.value(Kind.SERVER, "a") == b"1" and not upstream.in_force
        if failures < MAX_DIGEST_FAILURES:
            assert upstream.received[-1].position == Position(1, 4)
            assert upstream.received[-1].digest not in (right, 99)
    assert upstream.addresses == ["one", "two"] and upstream.closed == ["digest differs"]
    upstream.welcome(Position(1, 5))
    assert upstream.received[-1].digest != right  # the damage may be its own


def test_ranges_repair_exactly_what_differs():
    """Ranges and the Delta after them lead to the upstream's state, and only real differences count as changes."""
    rows = [put(f"s{number}", b"x") for number in range(200)]
    upstream = ScriptedUpstream(rows, Position(1, 4)).welcome(Position(1, 4))
    other = filled([*rows[1:], put("s1", b"y"), put("new", b"z")])
    upstream.send(Digests(Position(1, 4), tuple(other.sums)))
    differing = {range_of(Kind.SERVER, name) for name in ("s0", "s1", "new")}
    assert upstream.received[-1] == RangeRequest(tuple(sorted(differing)))
    for number in sorted(differing):
        located = filter(None, other.names({number}))
        range_rows = tuple(put(name, other.value(kind, name)) for _, kind, name in located)
        upstream.send(Range(number, range_rows, False))
        assert upstream.received[-1].position == Position(1, 4) and not upstream.in_force
    row = put("s2", b"w")
    upstream.send(Delta(Position(1, 4), Position(1, 5), digest_with(other, row), (row,), False))
    assert upstream.machine.position == Position(1, 5) and upstream.in_force[0].changes == {
        (Kind.SERVER, "s0"): None,
        (Kind.SERVER, "s1"): b"y",
        (Kind.SERVER, "new"): b"z",
        (Kind.SERVER, "s2"): b"w",
    }


def test_received_ranges_are_kept_when_new_digests_arrive():
    """New Digests during a transfer lead to a request for only those ranges that differ from the staged ones."""
    other = filled([put(f"s{number}", b"x") for number in range(3)])
    upstream = ScriptedUpstream().welcome(Position(1, 4))
    upstream.send(Digests(Position(1, 4), tuple(other.sums)))
    numbers = upstream.received[-1].ranges
    rows = {range_of(Kind.SERVER, f"s{number}"): (put(f"s{number}", b"x"),) for number in range(3)}
    assert set(numbers) == set(rows)
    for number in numbers:
        upstream.send(Range(number, rows[number], False))
    changes = {(Kind.SERVER, "s0"): b"y"}
    other.commit(changes, updated_sums(other, changes))
    upstream.send(Digests(Position(1, 9), tuple(other.sums)))
    changed_range = range_of(Kind.SERVER, "s0")
    assert upstream.received[-1] == RangeRequest((changed_range,))
    upstream.send(
        Range(changed_range, (put("s0", b"y"),), False),
        Delta(Position(1, 9), Position(1, 9), total_digest(other.sums), (), False),
    )
    assert upstream.machine.position == Position(1, 9) and upstream.store.sums == other.sums


def test_a_repair_at_the_same_position_keeps_the_position():
    """A damaged record is replaced, and reported as a change, without a new position."""
    upstream = ScriptedUpstream([put("a", b"bad")], Position(1, 4)).welcome(Position(1, 4))
    other = filled([put("a", b"good")])
    upstream.send(
        Digests(Position(1, 4), tuple(other.sums)),
        Range(range_of(Kind.SERVER, "a"), (put("a", b"good"),), False),
        Delta(Position(1, 4), Position(1, 4), total_digest(other.sums), (), False),
    )
    assert upstream.in_force == [InForce(Position(1, 4), Position(1, 4), {(Kind.SERVER, "a"): b"good"})]


def test_no_step_handles_more_than_a_slice():
    """A large Delta is staged, committed and compacted in steps of SLICE records."""
    upstream = ScriptedUpstream([], Position(1, 4)).welcome(Position(1, 5))
    machine = upstream.machine
    records = upstream.store.records[Kind.SERVER]
    rows = tuple(put(f"s{number}", b"x") for number in range(10 * SLICE))
    upstream.send(upstream.delta(Position(1, 4), Position(1, 5), *rows), steps=False)
    steps = 0
    while machine.work is not None or machine.compacting:
        staged_before = machine.transfer.staged and len(machine.transfer.staged.changes)
        compacted_before = len(records)
        upstream.deliver(Step(), steps=False)
        steps += 1
        if machine.transfer.staged is not None:
            assert len(machine.transfer.staged.changes) - staged_before <= SLICE
        assert len(records) - compacted_before <= SLICE
    assert steps >= 28 and machine.position == Position(1, 5) and len(records) == 10 * SLICE


def test_a_delta_waits_until_the_previous_one_is_compacted():
    """A Delta received during compaction is applied afterwards, and nothing of either is lost."""
    upstream = ScriptedUpstream([], Position(1, 4)).welcome(Position(1, 5))
    rows = [put(f"s{number}", b"x") for number in range(3 * SLICE)]
    upstream.send(upstream.delta(Position(1, 4), Position(1, 5), *rows), steps=False)
    while upstream.machine.position == Position(1, 4):
        upstream.deliver(Step(), steps=False)
    upstream.send(upstream.delta(Position(1, 5), Position(1, 6), put("s0", b"y")), steps=False)
    assert upstream.machine.compacting and upstream.machine.position == Position(1, 5)
    upstream.deliver(Step())  # scheduled before; the others follow from it
    assert upstream.machine.position == Position(1, 6) and upstream.store.value(Kind.SERVER, "s0") == b"y"
    assert len(upstream.store) == 3 * SLICE and not upstream.store.overlay


def test_a_frame_during_work_on_the_previous_one_ends_the_connection():
    """Heartbeats may come at any time, but a frame of the state only after the previous one was answered."""
    upstream = ScriptedUpstream([], Position(1, 4)).welcome(Position(1, 5))
    rows = [put(f"s{number}", b"x") for number in range(3 * SLICE)]
    delta = upstream.delta(Position(1, 4), Position(1, 5), *rows)
    upstream.send(delta, Heartbeat(Position(1, 5), 0), steps=False)
    assert not upstream.closed
    upstream.send(delta, steps=False)
    assert upstream.closed == ["out of turn"] and upstream.machine.transfer.staged is None


def test_endless_rows_end_the_connection(monkeypatch):
    """A Delta that never ends doesn't take unbounded memory."""
    monkeypatch.setattr("oakfork.control.staging.MAX_STAGED_ROWS", 50)
    upstream = ScriptedUpstream([], Position(1, 4)).welcome(Position(1, 5))
    for frame in range(3):
        rows = (put(f"{frame}-{number}", b"x") for number in range(20))
        upstream.send(upstream.delta(Position(1, 4), Position(1, 5), *rows, more=True, digest=1))
    assert upstream.closed == ["too much"] and upstream.machine.transfer.staged is None


def test_the_follower_uses_only_the_store_protocol():
    """Hollow gateways implement only the methods of state.Store, so the follower must not use others."""

    class ProtocolOnly:
        """A store that refuses everything that is not in the protocol."""

        def __init__(self):
            self.inner = Records()

        def __getattr__(self, name):
            assert name in ("sums", "value", "digest_of", "names", "commit", "compact")
            return getattr(self.inner, name)

    upstream = ScriptedUpstream()
    upstream.store = upstream.machine.store = ProtocolOnly()
    upstream.welcome(Position(1, 1))
    row = put("a", b"1")
    upstream.send(Delta(Position(0, 0), Position(1, 1), digest_with(upstream.store, row), (row,), False))
    assert upstream.machine.position == Position(1, 1)
