"""The follower, said to by hand: what it believes, what has no effect, when it turns to another."""

from control_network import put
from control_verifier import filled

from oakfork.control import follower as module
from oakfork.control.events import (
    UNKNOWN,
    Close,
    Connect,
    Connected,
    Heard,
    InForce,
    Left,
    Lost,
    More,
    Note,
    Say,
    Step,
    TimeCame,
    Wake,
)
from oakfork.control.follower import FAILURES, SILENCE, STALE, STUCK, Follower, Phase
from oakfork.control.messages import (
    BEAT,
    EMPTY,
    VERSION,
    Ack,
    Beat,
    Delta,
    Digests,
    Goodbye,
    Hello,
    Kind,
    Position,
    Range,
    Want,
    Welcome,
    unpack_up,
)
from oakfork.control.staging import SLICE
from oakfork.control.state import Records, as_changes, range_of, total_digest, updated_sums

P = Position


class Hand:
    """The other end: says what a test wants, and does the steps that are asked for."""

    def __init__(self, rows=(), position=EMPTY, relays=("one", "two"), **more):
        self.store = filled(rows)
        self.machine, self.now = Follower("me", relays, self.store, position, **more), 0
        self.notes, self.forces, self.places, self.said, self.wake, self.closed = [], [], [], [], None, []
        self.do(TimeCame())

    def do(self, event, steps=True):
        waiting = [event]
        while waiting:
            for command in self.machine.handle(self.now, waiting.pop(0)):
                match command:
                    case Say(link, frame):
                        assert link == self.machine.link
                        self.said.append(unpack_up(frame))
                    case Connect(place, _):
                        self.places.append(place)
                    case Close(link, reason):
                        self.closed.append(reason)
                    case Wake(at):
                        assert at > self.now
                        self.wake = at
                    case More():
                        if steps:
                            waiting.append(Step())
                    case InForce():
                        self.forces.append(command)
                    case Note(reason):
                        self.notes.append(reason)

    def hear(self, *told, steps=True):
        for message in told:
            self.do(Heard(self.machine.link, message), steps)

    def up(self, position, age=0):
        """A connection, welcomed."""
        self.do(Connected(self.machine.link))
        self.hear(Welcome(VERSION, "it", position), Beat(position, age))
        return self

    def wait(self, time):
        end = self.now + time
        while self.wake is not None and self.wake <= end:
            self.now, self.wake = self.wake, None
            self.do(TimeCame())
        self.now = end


def digest(store, *rows):
    return total_digest(updated_sums(store, as_changes(rows)))


def delta(hand, after, position, *rows, more=False, told=None):
    return Delta(after, position, digest(hand.store, *rows) if told is None else told, rows, more)


def test_it_says_what_it_has_and_takes_a_delta_that_follows():
    hand = Hand([put("a", b"1")], P(1, 4)).up(P(1, 5))
    assert hand.said == [Hello(VERSION, "me", False, P(1, 4), total_digest(hand.store.sums))]
    hand.hear(delta(hand, P(1, 4), P(1, 5), put("a", b"2"), put("b", b"3")))
    assert hand.said[1:] == [Ack(P(1, 5), total_digest(hand.store.sums))] and hand.machine.position == P(1, 5)
    assert hand.forces == [InForce(P(1, 4), P(1, 5), {(Kind.SERVER, "a"): b"2", (Kind.SERVER, "b"): b"3"})]
    assert (hand.store.value(Kind.SERVER, "a"), hand.store.value(Kind.SERVER, "b")) == (b"2", b"3")


def test_a_delta_is_in_force_with_its_last_frame_and_never_in_part():
    hand = Hand([], P(1, 4)).up(P(1, 5))
    one, two = put("a", b"1"), put("b", b"2")
    told = digest(hand.store, one, two)
    hand.hear(delta(hand, P(1, 4), P(1, 5), one, more=True, told=told))
    assert hand.said[-1] == Ack(P(1, 4), 0) and hand.store.value(Kind.SERVER, "a") is None and not hand.forces
    hand.hear(delta(hand, P(1, 4), P(1, 5), two, told=told))
    assert len(hand.forces) == 1 and hand.machine.position == P(1, 5)


def test_frames_of_a_lost_connection_are_thrown_away():
    hand = Hand([], P(1, 4)).up(P(1, 5))
    one, two = put("a", b"1"), put("b", b"2")
    told = digest(hand.store, one, two)
    hand.hear(delta(hand, P(1, 4), P(1, 5), one, more=True, told=told))
    hand.do(Lost(hand.machine.link))
    assert hand.machine.staged is None and hand.places == ["one", "two"]
    hand.up(P(1, 5))
    hand.hear(delta(hand, P(1, 4), P(1, 5), two, told=told))  # the rest alone leads nowhere
    assert not hand.forces and "digest differs" in hand.notes and hand.store.value(Kind.SERVER, "b") is None


def test_replayed_older_and_foreign_deltas_have_no_effect_and_are_counted():
    hand = Hand([put("a", b"1")], P(2, 4)).up(P(2, 4))
    row = put("a", b"2")
    for after, position in (
        (P(2, 3), P(2, 4)),
        (P(2, 3), P(2, 5)),
        (P(2, 5), P(2, 6)),
        (P(1, 4), P(1, 5)),
        (P(2, 4), P(2, 4)),
        (P(2, 4), P(2, 3)),
        (P(2, 4), P(1, 9)),
    ):
        hand.hear(delta(hand, after, position, row))
    hand.hear(Digests(P(2, 3), tuple(hand.store.sums)), Digests(P(1, 9), tuple(hand.store.sums)), Range(3, (), False))
    assert hand.notes == ["stale"] * 10 and not hand.forces
    assert hand.store.value(Kind.SERVER, "a") == b"1" and hand.machine.position == P(2, 4)
    hand.hear(delta(hand, P(2, 4), P(2, 5), row))
    assert hand.machine.position == P(2, 5)


def test_a_differing_digest_is_asked_about_and_a_second_one_turns_it_away():
    hand = Hand([put("a", b"1")], P(1, 4)).up(P(1, 5))
    right = total_digest(hand.store.sums)
    for times in range(1, FAILURES + 1):
        hand.hear(delta(hand, P(1, 4), P(1, 5), put("a", b"2"), told=99))
        assert hand.store.value(Kind.SERVER, "a") == b"1" and not hand.forces
        if times < FAILURES:  # a digest that can't be right, so that it is told the ranges'
            assert hand.said[-1].position == P(1, 4) and hand.said[-1].digest not in (right, 99)
    assert hand.places == ["one", "two"] and hand.closed == ["digest differs"]
    hand.up(P(1, 5))
    assert hand.said[-1].digest != right  # nor does it trust itself


def test_ranges_mend_what_differs_and_nothing_else():
    rows = [put(f"s{number}", b"x") for number in range(200)]
    hand, other = Hand(rows, P(1, 4)).up(P(1, 4)), filled([*rows[1:], put("s1", b"y"), put("new", b"z")])
    hand.hear(Digests(P(1, 4), tuple(other.sums)))
    differ = {range_of(Kind.SERVER, name) for name in ("s0", "s1", "new")}
    assert hand.said[-1] == Want(tuple(sorted(differ)))
    for number in sorted(differ):
        hand.hear(
            Range(
                number,
                tuple(put(name, other.value(kind, name)) for _, kind, name in filter(None, other.names({number}))),
                False,
            )
        )
        assert hand.said[-1].position == P(1, 4) and not hand.forces
    hand.hear(Delta(P(1, 4), P(1, 5), digest(other, put("s2", b"w")), (put("s2", b"w"),), False))
    assert hand.machine.position == P(1, 5) and hand.forces[0].changes == {
        (Kind.SERVER, "s0"): None,
        (Kind.SERVER, "s1"): b"y",
        (Kind.SERVER, "new"): b"z",
        (Kind.SERVER, "s2"): b"w",
    }


def test_ranges_that_came_are_kept_where_new_digests_come():
    other = filled([put(f"s{number}", b"x") for number in range(3)])
    hand = Hand().up(P(1, 4))
    hand.hear(Digests(P(1, 4), tuple(other.sums)))
    numbers = hand.said[-1].ranges
    rows = {range_of(Kind.SERVER, f"s{number}"): (put(f"s{number}", b"x"),) for number in range(3)}
    assert set(numbers) == set(rows)
    for number in numbers:
        hand.hear(Range(number, rows[number], False))
    changes = {(Kind.SERVER, "s0"): b"y"}
    other.commit(changes, updated_sums(other, changes))
    hand.hear(Digests(P(1, 9), tuple(other.sums)))
    assert hand.said[-1] == Want((range_of(Kind.SERVER, "s0"),))
    hand.hear(
        Range(range_of(Kind.SERVER, "s0"), (put("s0", b"y"),), False),
        Delta(P(1, 9), P(1, 9), total_digest(other.sums), (), False),
    )
    assert hand.machine.position == P(1, 9) and hand.store.sums == other.sums


def test_one_that_was_mended_where_it_stands_keeps_its_position():
    hand, other = Hand([put("a", b"bad")], P(1, 4)).up(P(1, 4)), filled([put("a", b"good")])
    hand.hear(
        Digests(P(1, 4), tuple(other.sums)),
        Range(range_of(Kind.SERVER, "a"), (put("a", b"good"),), False),
        Delta(P(1, 4), P(1, 4), total_digest(other.sums), (), False),
    )
    assert hand.forces == [InForce(P(1, 4), P(1, 4), {(Kind.SERVER, "a"): b"good"})]


def test_no_step_takes_more_than_a_slice():
    hand = Hand([], P(1, 4)).up(P(1, 5))
    rows = tuple(put(f"s{number}", b"x") for number in range(10 * SLICE))
    hand.hear(delta(hand, P(1, 4), P(1, 5), *rows), steps=False)
    steps = 0
    while hand.machine.job is not None or hand.machine.folding:
        taken, folded = hand.machine.staged and len(hand.machine.staged.changes), len(hand.store.records[Kind.SERVER])
        hand.do(Step(), steps=False)
        steps += 1
        if hand.machine.staged is not None:
            assert len(hand.machine.staged.changes) - taken <= SLICE
        assert len(hand.store.records[Kind.SERVER]) - folded <= SLICE
    assert steps >= 28 and hand.machine.position == P(1, 5) and len(hand.store.records[Kind.SERVER]) == 10 * SLICE


def test_a_delta_that_comes_while_the_last_one_is_folded_waits_for_that():
    hand = Hand([], P(1, 4)).up(P(1, 5))
    rows = [put(f"s{number}", b"x") for number in range(3 * SLICE)]
    hand.hear(delta(hand, P(1, 4), P(1, 5), *rows), steps=False)
    while hand.machine.position == P(1, 4):
        hand.do(Step(), steps=False)
    hand.hear(delta(hand, P(1, 5), P(1, 6), put("s0", b"y")), steps=False)
    assert hand.machine.folding and hand.machine.position == P(1, 5)
    hand.do(Step())  # of the More that was said before; the others follow
    assert hand.machine.position == P(1, 6) and hand.store.value(Kind.SERVER, "s0") == b"y"
    assert len(hand.store) == 3 * SLICE and not hand.store.overlay


def test_frames_out_of_turn_malformed_or_of_another_version_turn_it_away():
    for told in (
        None,
        Welcome(VERSION, "it", P(1, 4)),
        Goodbye("full", P(1, 4)),
        Hello(1, "x", False, P(), 0),
        Ack(P(), 0),
    ):
        hand = Hand([], P(1, 4)).up(P(1, 4))
        hand.hear(told)
        assert hand.places == ["one", "two"] and len(hand.closed) == 1
    hand = Hand([], P(1, 4))
    hand.do(Connected(-1))
    hand.hear(Welcome(VERSION + 1, "it", P(1, 4)))
    assert hand.closed == ["version"]
    hand = Hand([], P(1, 4))
    hand.do(Connected(-1))
    hand.hear(Beat(P(1, 4), 0))  # before the Welcome
    assert hand.closed == ["out of turn"]


def test_a_frame_while_there_is_work_on_the_last_one_is_out_of_turn():
    hand = Hand([], P(1, 4)).up(P(1, 5))
    rows = [put(f"s{number}", b"x") for number in range(3 * SLICE)]
    told = delta(hand, P(1, 4), P(1, 5), *rows)
    hand.hear(told, Beat(P(1, 5), 0), steps=False)
    assert not hand.closed
    hand.hear(told, steps=False)
    assert hand.closed == ["out of turn"] and hand.machine.staged is None


def test_an_older_term_is_turned_away_from_and_one_with_nothing_yet_is_waited_for():
    for position, closed in ((P(1, 99), ["older term"]), (P(0, 0), []), (P(2, 1), []), (P(3, 0), [])):
        hand = Hand([], P(2, 4))
        hand.do(Connected(-1))
        hand.hear(Welcome(VERSION, "it", position))
        assert hand.closed == closed
    hand = Hand([], P(2, 4)).up(P(2, 4))
    hand.hear(Beat(P(1, 99), 0))
    assert hand.closed == ["older term"]


def test_silence_ends_a_connection_and_the_state_stays_with_its_age():
    hand = Hand([put("a", b"1")], P(1, 4)).up(P(1, 4), age=300)
    assert hand.machine.age(hand.now) == 300
    hand.wait(SILENCE - 1)
    assert not hand.closed
    hand.wait(1)
    assert hand.closed == ["silent"] and hand.places == ["one", "two"]
    hand.wait(3_600_000)
    assert hand.machine.age(hand.now) == 3_600_300 + SILENCE and hand.store.value(Kind.SERVER, "a") == b"1"
    assert 3_600_000 // 10_000 < len(hand.places) < 3_600_000 // 4_000  # five seconds for each, and the pauses


def test_pauses_grow_and_end_with_something_gained():
    hand, times = Hand(relays=("one", "two")), []
    for _ in range(40):
        count = len(hand.places)
        hand.do(Lost(hand.machine.link))
        while len(hand.places) == count:
            begun = hand.now
            hand.wait(hand.wake - hand.now)
            times.append(hand.now - begun)
    assert len(times) == 20 and all(time <= module.LONGEST_PAUSE for time in times) and times[0] <= module.PAUSE
    assert times[-1] >= module.LONGEST_PAUSE // 2 and hand.places[:4] == ["one", "two", "one", "two"]
    hand.up(P(1, 1))
    hand.hear(delta(hand, P(0, 0), P(1, 1), put("a", b"1")))
    count = len(hand.places)
    hand.do(Lost(hand.machine.link))
    assert len(hand.places) == count + 1  # at once


def test_pauses_are_the_same_for_the_same_seed_and_others_for_another():
    def pauses(seed):
        hand, found = Hand(relays=("one",), seed=seed), []
        for _ in range(8):
            hand.do(Lost(hand.machine.link))
            found.append(hand.wake - hand.now)
            hand.wait(found[-1])
        return found

    assert pauses(5) == pauses(5) != pauses(6)


def test_a_sender_that_has_more_and_sends_nothing_is_left():
    hand = Hand([], P(1, 4)).up(P(1, 9))
    for _ in range(STUCK // BEAT + 1):
        hand.hear(Beat(P(1, 9), 0))
        hand.wait(BEAT)
    assert hand.closed == ["no progress"]


def test_one_that_waits_for_its_ranges_is_patient_as_long_as_the_sender_lives():
    hand, other = Hand().up(P(1, 9)), filled([put("a", b"1")])
    hand.hear(Digests(P(1, 9), tuple(other.sums)))
    for _ in range(100):
        hand.hear(Beat(P(1, 9), 0))
        hand.wait(BEAT)
    assert not hand.closed
    hand.wait(SILENCE)
    assert hand.closed == ["silent"]


def test_a_sender_that_has_not_heard_of_the_publisher_is_left_for_another_and_seldomer_each_time():
    hand, left = Hand([], P(1, 4), relays=("one", "two")).up(P(1, 4), age=0), []
    for second in range(0, 600, 2):
        count = len(hand.closed)
        hand.wait(BEAT)
        if len(hand.closed) > count:
            left.append(second)
            hand.do(Connected(hand.machine.link))
            hand.hear(Welcome(VERSION, "it", P(1, 4)))
        hand.hear(Beat(P(1, 4), 1000 * (second + 2)))
    assert set(hand.closed) == {"stale"} and 4 <= len(left) <= 15
    assert left[0] * 1000 >= STALE and left[-1] - left[-2] >= 60


def test_age_is_of_what_is_in_force_and_not_of_what_the_sender_has():
    hand = Hand([], P(1, 4))
    assert hand.machine.age(0) is None
    hand.up(P(1, 4), age=UNKNOWN)
    assert hand.machine.age(5_000) is None
    hand.hear(Beat(P(1, 4), 40))
    hand.now = 1_000
    hand.hear(Beat(P(1, 5), 0))
    assert hand.machine.age(1_000) == 1_040
    hand.hear(delta(hand, P(1, 4), P(1, 5), put("a", b"1")))
    assert hand.machine.age(1_500) == 500


def test_events_of_a_link_that_is_gone_have_no_effect():
    hand = Hand([], P(1, 4)).up(P(1, 4))
    hand.hear(None)
    assert hand.machine.phase is Phase.CONNECTING and hand.machine.link == -2
    for event in (Lost(-1), Connected(-1), Heard(-1, Goodbye("full", P())), Heard(-1, None)):
        hand.do(event)
    assert hand.places == ["one", "two"] and hand.machine.phase is Phase.CONNECTING


def test_one_that_has_left_does_nothing_more():
    hand = Hand([], P(1, 4)).up(P(1, 4))
    hand.do(Left())
    assert hand.closed == ["left"]
    assert hand.machine.handle(10**9, TimeCame()) == [] == hand.machine.handle(10**9, Connected(-2))


def test_rows_without_end_turn_it_away(monkeypatch):
    monkeypatch.setattr("oakfork.control.staging.MOST_STAGED", 50)
    hand = Hand([], P(1, 4)).up(P(1, 5))
    for frame in range(3):
        hand.hear(
            delta(hand, P(1, 4), P(1, 5), *(put(f"{frame}-{number}", b"x") for number in range(20)), more=True, told=1)
        )
    assert hand.closed == ["too much"] and hand.machine.staged is None


def test_a_store_of_others_is_enough():
    """What the machine asks of a store is what the protocol says."""

    class Shared:
        def __init__(self):
            self.inner = Records()

        def __getattr__(self, name):
            assert name in ("sums", "value", "digest_of", "names", "commit", "compact")
            return getattr(self.inner, name)

    hand = Hand()
    hand.store = hand.machine.store = Shared()
    hand.up(P(1, 1))
    hand.hear(Delta(P(0, 0), P(1, 1), digest(hand.store, put("a", b"1")), (put("a", b"1"),), False))
    assert hand.machine.position == P(1, 1)
