"""The state that all gateways share, and what its changes are kept in on their way: against brute force."""

from array import array

import pytest
from control_network import put
from control_verifier import filled
from hypothesis import given, settings, strategies as st

from oakfork.control import encoded_frames, messages, state
from oakfork.control.encoded_frames import EncodedChange, EncodedRanges, cut
from oakfork.control.history import History
from oakfork.control.messages import RANGES, Delta, Kind, Position, Range, Row, pack, unpack_down, unpack_up
from oakfork.control.pacing import RangePacer
from oakfork.control.staging import SLICE, Staged
from oakfork.control.state import Records, as_changes, range_of, record_digest, updated_sums

STRICT = settings(derandomize=True, max_examples=60, deadline=None)
NAMES = [f"n{number}" for number in range(12)]
KEYS = st.tuples(st.sampled_from([Kind.SERVER, Kind.ROUTE]), st.sampled_from(NAMES))
CHANGES = st.dictionaries(KEYS, st.none() | st.binary(max_size=3), max_size=8)


def result(slices):
    """What a sliced work gives in the end, and how many slices it took."""
    count = 1
    while True:
        try:
            next(slices)
            count += 1
        except StopIteration as end:
            return end.value, count


def plain(store):
    return {(kind, name): store.value(kind, name) for kind in Kind for name in store.all_names(kind)}


def afterwards(before, changes):
    return {key: value for key, value in {**before, **changes}.items() if value is not None}


def sums_of(records):
    sums = array("Q", bytes(8 * RANGES))
    for (kind, name), value in records.items():
        number = range_of(kind, name)
        sums[number] = (sums[number] + record_digest(kind, name, value)) & state.MASK
    return sums


# The store


@STRICT
@given(st.lists(st.tuples(CHANGES, st.integers(0, 9)), max_size=6))
def test_commits_and_folds_against_a_dictionary(commits):
    store, expected = Records(), {}
    for changes, folded in commits:
        store.commit(changes, updated_sums(store, changes))
        expected = afterwards(expected, changes)
        for most in (folded, None):
            assert plain(store) == expected and len(store) == len(expected)
            assert store.sums == sums_of(expected)
            named = [told for told in store.names(range(RANGES))]
            assert sorted(told[1:] for told in named) == sorted(expected)
            if most:
                store.compact(most)


def test_names_of_ranges_are_told_among_marks_for_the_others():
    store = filled([put(f"s{number}", b"x") for number in range(500)])
    some = {range_of(Kind.SERVER, "s0"), range_of(Kind.SERVER, "s1")}
    told = list(store.names(some))
    assert len(told) == 500
    assert {name for _, _, name in filter(None, told)} == {
        f"s{number}" for number in range(500) if range_of(Kind.SERVER, f"s{number}") in some
    }


def test_a_fold_in_parts_says_whether_some_are_left():
    store, changes = Records(), {(Kind.SERVER, name): b"v" for name in NAMES}
    store.commit(changes, updated_sums(store, changes))
    assert [store.compact(5), store.compact(5), store.compact(5), store.compact(5)] == [True, True, False, False]


# Staged changes


@STRICT
@given(CHANGES, st.lists(CHANGES, max_size=3))
def test_staged_changes_become_what_they_say_and_no_more(first, frames_of_rows):
    store = filled([Row(*key, value) for key, value in first.items() if value is not None])
    before, staged, expected = plain(store), Staged(store), plain(store)
    for changes in frames_of_rows:
        assert result(staged.take([Row(*key, value) for key, value in changes.items()]))[0]
        expected = afterwards(expected, changes)
    assert plain(store) == before
    assert staged.sums == sums_of(expected)
    difference, _ = result(staged.difference())
    assert afterwards(before, difference) == expected
    assert all(before.get(key) != value for key, value in difference.items())


@STRICT
@given(CHANGES, CHANGES, CHANGES)
def test_ranges_and_what_changed_since_become_the_senders_state(mine, theirs, since):
    store = filled([Row(*key, value) for key, value in mine.items() if value is not None])
    other = afterwards({}, theirs)
    later = afterwards(other, since)
    staged, wanted = Staged(store), [n for n in range(RANGES) if store.sums[n] != sums_of(other)[n]]
    for place, number in enumerate(wanted):
        now = later if place % 2 else other  # a range may be told before or after the change
        rows = [Row(*key, value) for key, value in now.items() if range_of(*key) == number]
        assert result(staged.take_range(number, rows[:1], True))[0]
        assert result(staged.take_range(number, rows[1:], False))[0]
    assert result(staged.take([Row(*key, value) for key, value in since.items()]))[0]
    assert staged.sums == sums_of(later)
    difference, _ = result(staged.difference())
    assert afterwards(plain(store), difference) == later
    assert all(plain(store).get(key) != value for key, value in difference.items())


def test_work_on_many_records_is_cut_into_slices():
    store = filled([put(f"s{number}", b"x") for number in range(10 * SLICE)])
    staged = Staged(store)
    _, count = result(staged.take([put(f"s{number}", b"y") for number in range(4 * SLICE)]))
    assert count > 4
    difference, count = result(staged.difference())
    assert count > 4 and len(difference) == 4 * SLICE
    staged = Staged(store)
    assert result(staged.take_range(0, [], False))[0]
    assert result(staged.difference())[1] > 10


def test_a_range_with_records_of_another_or_twice_or_none_is_not_taken():
    name = next(name for name in (f"s{number}" for number in range(999)) if range_of(Kind.SERVER, name) == 7)
    for number, rows in ((8, [put(name, b"x")]), (7, [put(name, b"x")] * 2), (7, [put(name, None)])):
        staged = Staged(Records())
        assert not result(staged.take_range(number, rows, False))[0]


def test_rows_without_end_are_not_taken(monkeypatch):
    monkeypatch.setattr("oakfork.control.staging.MOST_STAGED", 100)
    staged = Staged(Records())
    taken = [result(staged.take([put(f"s{frame}-{number}", b"x") for number in range(30)]))[0] for frame in range(4)]
    assert taken == [True, True, True, False]


# The history


@STRICT
@given(st.lists(CHANGES, max_size=12), st.integers(1, 30), st.integers(2, 8))
def test_merged_history_leads_from_every_position_it_knows_to_the_newest(sets, most_rows, most_sets):
    history, states = History(Position(1, 0), 0, most_rows, most_sets), [{}]
    for number, changes in enumerate(sets, 1):
        history.add(Position(1, number - 1), Position(1, number), changes, number)
        states.append(afterwards(states[-1], changes))
        assert history.rows <= most_rows and len(history.sets) <= most_sets
        assert history.rows == sum(len(each.changes) for each in history.sets)
        assert len(history.digests) == len(history.sets)
    assert history.newest == Position(1, len(sets)) and history.knows(history.newest)
    for number, before in enumerate(states):
        merged = history.merged(Position(1, number))
        assert (merged is not None) == history.knows(Position(1, number)) == (Position(1, number) >= history.oldest)
        if merged is not None:
            assert afterwards(before, merged) == states[-1]
            assert history.digest(Position(1, number)) == number


def test_a_set_that_does_not_follow_begins_a_new_history():
    history = History(Position(1, 0), 0)
    history.add(Position(1, 0), Position(1, 1), {(Kind.SERVER, "a"): b"1"}, 1)
    history.add(Position(1, 3), Position(2, 4), {(Kind.SERVER, "b"): b"1"}, 4)
    assert history.oldest == history.newest == Position(2, 4)
    assert history.merged(Position(1, 1)) is None and history.merged(Position(2, 4)) == {} and history.rows == 0
    history.add(Position(2, 4), Position(2, 4), {(Kind.SERVER, "b"): b"2"}, 5)  # mended where it was
    assert history.digest(Position(2, 4)) == 5 and history.merged(Position(2, 4)) == {}


# Frames


def test_a_delta_is_cut_by_rows_and_by_bytes_and_comes_whole():
    for changes in (
        {(Kind.SERVER, f"s{number}"): b"v" for number in range(2 * encoded_frames.FRAME_ROWS + 1)},
        {(Kind.ROUTE, f"é{number}"): bytes(4000) for number in range(50)},
        {},
    ):
        delta, rows, number = EncodedChange(Position(1, 1), Position(1, 2), 7, changes), [], 0
        while True:
            frame = delta.frame(number)
            told = unpack_down(frame)
            assert len(frame) < encoded_frames.FRAME_BYTES + 5000 < messages.LARGEST_FRAME
            assert (told.after, told.position, told.digest) == (Position(1, 1), Position(1, 2), 7)
            assert told.more != delta.last(number)
            rows += told.rows
            number += 1
            if not told.more:
                break
        assert as_changes(rows) == changes and len(rows) == len(changes)
        assert delta.long == (number > 1) == bool(changes)


def test_one_row_is_always_taken_into_a_frame():
    rows = [put("a" * 128, bytes(4096))] * 40
    assert 1 <= cut(rows, 0) < 40 and cut(rows, 39) == 40 and cut([], 0) == 0


def test_ranges_are_encoded_once_and_anew_after_a_change():
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
    told = {}
    for each in range(RANGES):
        for frame in ranges.frames(each):
            message = unpack_down(frame)
            assert isinstance(message, Range) and message.range == each
            told |= as_changes(message.rows)
    assert told == plain(store)


def test_change_sets_that_wait_for_the_index_are_bounded():
    store = Records()
    ranges = EncodedRanges(store)
    for number in range(3 * encoded_frames.BACKLOG):
        changes = {(Kind.SERVER, f"s{number}-{each}"): b"x" for each in range(2 * SLICE)}
        store.commit(changes, updated_sums(store, changes))
        ranges.changed(changes)
        assert len(ranges.behind) <= encoded_frames.BACKLOG
    while not ranges.ready:
        ranges.work()
    assert sum(len(keys) for keys in ranges.keys.values()) == len(store)


# Messages


def test_frames_of_the_other_direction_too_long_or_broken_are_none():
    up, down = pack(messages.Ack(Position(1, 2), 3)), pack(messages.Beat(Position(1, 2), 3))
    assert unpack_up(up) == messages.Ack(Position(1, 2), 3) and unpack_down(down) == messages.Beat(Position(1, 2), 3)
    assert unpack_up(down) is None and unpack_down(up) is None
    assert unpack_up(up[:-1]) is None and unpack_up(b"") is None and unpack_up(up + b"\0") is None
    assert unpack_down(b"\x91" * messages.LARGEST_FRAME) is None
    assert unpack_down(pack(messages.Status(bytes(messages.LARGEST_FRAME)))) is None


@STRICT
@given(st.binary(max_size=60), st.integers(0, 40), st.integers(0, 255))
def test_any_bytes_are_read_or_none(data, place, byte):
    frame = bytearray(pack(Delta(Position(1, 1), Position(1, 2), 5, (put("a", b"b"), put("c", None)), False)))
    frame[place % len(frame)] = byte
    for each in (data, bytes(frame)):
        for told in (unpack_up(each), unpack_down(each)):
            assert told is None or isinstance(told, messages.Message)


# The pace


def test_ranges_go_by_turns_to_a_few_and_no_faster_than_the_pace():
    pace = RangePacer(1_000, 2)
    for link in (1, 2, 3, 4):
        pace.ask(link)
    order = []
    for now in range(0, 100_000, 100):
        while (link := pace.next(now)) is not None:
            order.append((now, link))
            pace.sent(now, 500)
            if len([each for each in order if each[1] == link]) < 3:
                pace.ask(link)
            else:
                pace.drop(link)
    assert [now for now, _ in order] == [500 * number for number in range(12)]
    assert [link for _, link in order] == [1, 2, 1, 2, 1, 2, 3, 4, 3, 4, 3, 4]
    assert pace.due is None and not pace.mending


@pytest.mark.parametrize("table", ["waiting", "mending", "ready"])
def test_a_link_that_is_gone_is_in_no_table(table):
    pace = RangePacer(1_000, 1)
    pace.ask(1)
    pace.ask(2)
    if table == "mending":
        pace.next(0)
    pace.drop(2 if table == "waiting" else 1)
    assert (list(pace.waiting), pace.mending) == ([], {1 if table == "waiting" else 2})
