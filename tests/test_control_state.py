"""State, staging, history, frames and pacing, compared with plain dictionaries."""

from array import array

import pytest
from control_network import put
from control_verifier import filled
from hypothesis import given, settings, strategies as st

from oakfork.control import encoded_frames, messages, state
from oakfork.control.encoded_frames import EncodedChange, EncodedRanges, frame_end
from oakfork.control.history import History
from oakfork.control.messages import RANGES, Delta, Kind, Position, Range, Row, pack, unpack_down, unpack_up
from oakfork.control.pacing import RangePacer
from oakfork.control.staging import SLICE, Staged
from oakfork.control.state import Records, as_changes, range_of, record_digest, updated_sums

REPRODUCIBLE = settings(derandomize=True, max_examples=60, deadline=None)
NAMES = [f"n{number}" for number in range(12)]
KEYS = st.tuples(st.sampled_from([Kind.SERVER, Kind.ROUTE]), st.sampled_from(NAMES))
CHANGES = st.dictionaries(KEYS, st.none() | st.binary(max_size=3), max_size=8)


def run_slices(work):
    """The result of sliced work, and how many slices it took."""
    count = 1
    while True:
        try:
            next(work)
            count += 1
        except StopIteration as end:
            return end.value, count


def as_rows(changes):
    """Rows that make these changes."""
    return [Row(*key, value) for key, value in changes.items()]


def records_of(store):
    """All records of a store, as a dictionary."""
    return {(kind, name): store.value(kind, name) for kind in Kind for name in store.all_names(kind)}


def apply(records, changes):
    """A dictionary of records after some changes."""
    return {key: value for key, value in {**records, **changes}.items() if value is not None}


def sums_of(records):
    """The digests by range of a dictionary of records."""
    sums = array("Q", bytes(8 * RANGES))
    for (kind, name), value in records.items():
        number = range_of(kind, name)
        sums[number] = (sums[number] + record_digest(kind, name, value)) & state.DIGEST_MASK
    return sums


# The store


@REPRODUCIBLE
@given(st.lists(st.tuples(CHANGES, st.integers(0, 9)), max_size=6))
def test_commits_and_compactions_match_a_dictionary(commits):
    """Look-ups and digests are right after each commit, before and after a partial compaction."""
    store = Records()
    expected = {}
    for changes, compacted in commits:
        store.commit(changes, updated_sums(store, changes))
        expected = apply(expected, changes)
        for limit in (compacted, None):
            assert records_of(store) == expected and len(store) == len(expected)
            assert store.sums == sums_of(expected)
            located = list(store.names(range(RANGES)))
            assert sorted(each[1:] for each in located) == sorted(expected)
            if limit:
                store.compact(limit)


def test_names_of_some_ranges_come_with_a_none_for_each_other_record():
    """The iteration has one item for each record, so that callers can count them."""
    store = filled([put(f"s{number}", b"x") for number in range(500)])
    ranges = {range_of(Kind.SERVER, "s0"), range_of(Kind.SERVER, "s1")}
    located = list(store.names(ranges))
    assert len(located) == 500
    assert {name for _, _, name in filter(None, located)} == {
        f"s{number}" for number in range(500) if range_of(Kind.SERVER, f"s{number}") in ranges
    }


def test_a_partial_compaction_says_whether_records_are_left():
    """Compaction by slices ends, and can be repeated afterwards."""
    store = Records()
    changes = {(Kind.SERVER, name): b"v" for name in NAMES}
    store.commit(changes, updated_sums(store, changes))
    assert [store.compact(5), store.compact(5), store.compact(5), store.compact(5)] == [True, True, False, False]


# Staged changes


@REPRODUCIBLE
@given(CHANGES, st.lists(CHANGES, max_size=3))
def test_staged_changes_lead_to_exactly_the_expected_state(first, frames):
    """The store doesn't change while rows are staged, and the difference has only real changes."""
    store = filled(as_rows(apply({}, first)))
    before = records_of(store)
    staged = Staged(store)
    expected = records_of(store)
    for changes in frames:
        assert run_slices(staged.take(as_rows(changes)))[0]
        expected = apply(expected, changes)
    assert records_of(store) == before
    assert staged.sums == sums_of(expected)
    difference, _ = run_slices(staged.difference())
    assert apply(before, difference) == expected
    assert all(before.get(key) != value for key, value in difference.items())


@REPRODUCIBLE
@given(CHANGES, CHANGES, CHANGES)
def test_ranges_and_later_changes_lead_to_the_senders_state(mine, theirs, since):
    """Ranges may be sent before or after a change that the Delta after them repeats."""
    store = filled(as_rows(apply({}, mine)))
    at_digests = apply({}, theirs)
    later = apply(at_digests, since)
    staged = Staged(store)
    wanted = [number for number in range(RANGES) if store.sums[number] != sums_of(at_digests)[number]]
    for index, number in enumerate(wanted):
        records = later if index % 2 else at_digests
        rows = [row for row in as_rows(records) if range_of(row.kind, row.name) == number]
        assert run_slices(staged.take_range(number, rows[:1], True))[0]
        assert run_slices(staged.take_range(number, rows[1:], False))[0]
    assert run_slices(staged.take(as_rows(since)))[0]
    assert staged.sums == sums_of(later)
    difference, _ = run_slices(staged.difference())
    assert apply(records_of(store), difference) == later
    assert all(records_of(store).get(key) != value for key, value in difference.items())


def test_work_on_many_records_is_sliced():
    """Staging many rows, and finding the difference to a large store, pauses after each slice."""
    store = filled([put(f"s{number}", b"x") for number in range(10 * SLICE)])
    staged = Staged(store)
    _, count = run_slices(staged.take([put(f"s{number}", b"y") for number in range(4 * SLICE)]))
    assert count > 4
    difference, count = run_slices(staged.difference())
    assert count > 4 and len(difference) == 4 * SLICE
    staged = Staged(store)
    assert run_slices(staged.take_range(0, [], False))[0]
    assert run_slices(staged.difference())[1] > 10


def test_a_range_with_foreign_repeated_or_removed_records_is_refused():
    """A range has each of its own records once, with a value."""
    name = next(name for name in (f"s{number}" for number in range(999)) if range_of(Kind.SERVER, name) == 7)
    for number, rows in ((8, [put(name, b"x")]), (7, [put(name, b"x")] * 2), (7, [put(name, None)])):
        staged = Staged(Records())
        assert not run_slices(staged.take_range(number, rows, False))[0]


def test_staged_rows_are_bounded(monkeypatch):
    """Frames without end don't take unbounded memory."""
    monkeypatch.setattr("oakfork.control.staging.MAX_STAGED_ROWS", 100)
    staged = Staged(Records())
    taken = [
        run_slices(staged.take([put(f"s{frame}-{number}", b"x") for number in range(30)]))[0] for frame in range(4)
    ]
    assert taken == [True, True, True, False]


# The history


@REPRODUCIBLE
@given(st.lists(CHANGES, max_size=12), st.integers(1, 30), st.integers(2, 8))
def test_merged_changes_lead_from_each_known_position_to_the_newest(change_sets, max_rows, max_sets):
    """The history stays within its bounds and knows exactly the positions from the oldest on."""
    history = History(Position(1, 0), 0, max_rows, max_sets)
    states = [{}]
    for number, changes in enumerate(change_sets, 1):
        history.add(Position(1, number - 1), Position(1, number), changes, number)
        states.append(apply(states[-1], changes))
        assert history.rows <= max_rows and len(history.sets) <= max_sets
        assert history.rows == sum(len(each.changes) for each in history.sets)
        assert len(history.digests) == len(history.sets)
    assert history.newest == Position(1, len(change_sets)) and history.knows(history.newest)
    for number, before in enumerate(states):
        position = Position(1, number)
        merged = history.merged(position)
        assert (merged is not None) == history.knows(position) == (position >= history.oldest)
        if merged is not None:
            assert apply(before, merged) == states[-1]
            assert history.digest(position) == number


def test_a_change_set_that_does_not_follow_starts_a_new_history():
    """Changes after a gap or a repair in place can't be merged with those before."""
    history = History(Position(1, 0), 0)
    history.add(Position(1, 0), Position(1, 1), {(Kind.SERVER, "a"): b"1"}, 1)
    history.add(Position(1, 3), Position(2, 4), {(Kind.SERVER, "b"): b"1"}, 4)
    assert history.oldest == history.newest == Position(2, 4)
    assert history.merged(Position(1, 1)) is None and history.merged(Position(2, 4)) == {} and history.rows == 0
    history.add(Position(2, 4), Position(2, 4), {(Kind.SERVER, "b"): b"2"}, 5)  # a repair in place
    assert history.digest(Position(2, 4)) == 5 and history.merged(Position(2, 4)) == {}


# Frames


def test_a_delta_is_split_by_rows_and_bytes_and_is_complete():
    """Frames stay below the bounds, and together have every change once."""
    for changes in (
        {(Kind.SERVER, f"s{number}"): b"v" for number in range(2 * encoded_frames.FRAME_ROWS + 1)},
        {(Kind.ROUTE, f"é{number}"): bytes(4000) for number in range(50)},
        {},
    ):
        encoded = EncodedChange(Position(1, 1), Position(1, 2), 7, changes)
        rows = []
        number = 0
        while True:
            frame = encoded.frame(number)
            delta = unpack_down(frame)
            assert len(frame) < encoded_frames.FRAME_BYTES + 5000 < messages.LARGEST_FRAME
            assert (delta.after, delta.position, delta.digest) == (Position(1, 1), Position(1, 2), 7)
            assert delta.more != encoded.last(number)
            rows += delta.rows
            number += 1
            if not delta.more:
                break
        assert as_changes(rows) == changes and len(rows) == len(changes)
        assert encoded.long == (number > 1) == bool(changes)


def test_a_frame_has_at_least_one_row():
    """Rows of any size get into a frame, so that splitting ends."""
    rows = [put("a" * 128, bytes(4096))] * 40
    assert 1 <= frame_end(rows, 0) < 40 and frame_end(rows, 39) == 40 and frame_end([], 0) == 0


def test_ranges_are_encoded_once_and_again_after_a_change():
    """Frames of ranges are shared by followers, and never outdated once the index is ready."""
    store = filled([put(f"s{number}", b"x") for number in range(300)])
    ranges = EncodedRanges(store)
    number = range_of(Kind.SERVER, "s5")
    first = ranges.frames(number)
    assert ranges.frames(number) is first
    changes = {(Kind.SERVER, "s5"): None, (Kind.SERVER, "new"): b"y"}
    store.commit(changes, updated_sums(store, changes))
    ranges.changed(changes)
    assert not ranges.ready
    while not ranges.ready:
        ranges.work()
    records = {}
    for each in range(RANGES):
        for frame in ranges.frames(each):
            message = unpack_down(frame)
            assert isinstance(message, Range) and message.range == each
            records |= as_changes(message.rows)
    assert records == records_of(store)


def test_the_backlog_of_the_range_index_is_bounded():
    """Change sets that come faster than they are indexed don't accumulate, and none is left out."""
    store = Records()
    ranges = EncodedRanges(store)
    for number in range(3 * encoded_frames.MAX_BACKLOG):
        changes = {(Kind.SERVER, f"s{number}-{each}"): b"x" for each in range(2 * SLICE)}
        store.commit(changes, updated_sums(store, changes))
        ranges.changed(changes)
        assert len(ranges.backlog) <= encoded_frames.MAX_BACKLOG
    while not ranges.ready:
        ranges.work()
    assert sum(len(keys) for keys in ranges.keys.values()) == len(store)


# Messages


def test_frames_of_the_other_direction_too_long_or_malformed_are_refused():
    """Messages are decoded only in their own direction, completely, and up to LARGEST_FRAME bytes."""
    up = pack(messages.Ack(Position(1, 2), 3))
    down = pack(messages.Heartbeat(Position(1, 2), 3))
    assert unpack_up(up) == messages.Ack(Position(1, 2), 3)
    assert unpack_down(down) == messages.Heartbeat(Position(1, 2), 3)
    assert unpack_up(down) is None and unpack_down(up) is None
    assert unpack_up(up[:-1]) is None and unpack_up(b"") is None and unpack_up(up + b"\0") is None
    assert unpack_down(b"\x91" * messages.LARGEST_FRAME) is None
    assert unpack_down(pack(messages.Status(bytes(messages.LARGEST_FRAME)))) is None


@REPRODUCIBLE
@given(st.binary(max_size=60), st.integers(0, 40), st.integers(0, 255))
def test_arbitrary_bytes_are_decoded_or_refused(data, place, byte):
    """Decoding raises no exception, for random bytes and for a frame with one byte changed."""
    frame = bytearray(pack(Delta(Position(1, 1), Position(1, 2), 5, (put("a", b"b"), put("c", None)), False)))
    frame[place % len(frame)] = byte
    for each in (data, bytes(frame)):
        for message in (unpack_up(each), unpack_down(each)):
            assert message is None or isinstance(message, messages.Message)


# Pacing


def test_ranges_go_in_rotation_to_a_few_links_at_the_bounded_rate():
    """Two links alternate at 1,000 bytes per second until they are finished, then the next two."""
    pacer = RangePacer(1_000, 2)
    for link in (1, 2, 3, 4):
        pacer.enqueue(link)
    order = []
    for now in range(0, 100_000, 100):
        while (link := pacer.next_link(now)) is not None:
            order.append((now, link))
            pacer.sent(now, 500)
            if len([each for each in order if each[1] == link]) < 3:
                pacer.enqueue(link)
            else:
                pacer.remove(link)
    assert [now for now, _ in order] == [500 * number for number in range(12)]
    assert [link for _, link in order] == [1, 2, 1, 2, 1, 2, 3, 4, 3, 4, 3, 4]
    assert pacer.due is None and not pacer.active


@pytest.mark.parametrize("table", ["waiting", "active", "ready"])
def test_a_removed_link_is_not_served_again(table):
    """A link can be removed while it waits, while it is active and while it is ready."""
    pacer = RangePacer(1_000, 1)
    pacer.enqueue(1)
    pacer.enqueue(2)
    if table == "active":
        pacer.next_link(0)
    pacer.remove(2 if table == "waiting" else 1)
    assert (list(pacer.waiting), pacer.active) == ([], {1 if table == "waiting" else 2})
