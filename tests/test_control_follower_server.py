"""The feeder, spoken to by hand: who is sent what, in which turn, and who is closed."""

import msgspec
from control_network import put
from control_peer import P, ScriptedPeer, follows, goes_on, served

from oakfork.control import encoded_frames, follower_server as feeding
from oakfork.control.events import UNKNOWN, Connected, Left, Lost
from oakfork.control.follower_server import NAMELESS, SLOW, FollowerServer
from oakfork.control.messages import (
    BEAT,
    VERSION,
    Ack,
    Beat,
    Delta,
    Digests,
    Goodbye,
    Hello,
    Kind,
    Range,
    Report,
    Submit,
    Want,
    Welcome,
)
from oakfork.control.state import Records, as_changes, range_of, total_digest

# The feeder


def test_one_that_is_up_to_date_is_welcomed_and_hears_of_each_change():
    hand = served([put("a", b"1")])
    follows(hand, 1)
    assert hand.new(1) == [Welcome(VERSION, "it", P(1, 4)), Beat(P(1, 4), 7)]
    goes_on(hand, put("a", b"2"))
    digest = total_digest(hand.machine.store.sums)
    assert hand.new(1) == [Delta(P(1, 4), P(1, 5), digest, (put("a", b"2"),), False)]
    goes_on(hand, put("a", b"3"), put("b", b"1"))
    goes_on(hand, put("a", b"4"))
    assert hand.new(1) == []  # its Ack is awaited
    hand.hear(1, Ack(P(1, 5), digest))
    [told] = hand.new(1)
    assert (told.after, told.position) == (P(1, 5), P(1, 7))
    assert as_changes(told.rows) == {(Kind.SERVER, "a"): b"4", (Kind.SERVER, "b"): b"1"}


def test_beats_go_to_all_who_follow_at_all_times():
    hand = served()
    follows(hand, 1)
    follows(hand, 2)
    goes_on(hand, put("a", b"1"))
    hand.new(1)
    hand.wait(3 * BEAT)
    assert hand.new(1) == [Beat(P(1, 5), 7)] * 3 and hand.last(2) == Beat(P(1, 5), 7)
    hand = ScriptedPeer(FollowerServer("it", Records(), P(), lambda now: None))
    follows(hand, 1)
    assert hand.last(1) == Beat(P(), UNKNOWN)


def test_an_unknown_position_or_another_digest_gets_digests_then_ranges_then_what_changed_since():
    for position, digest in ((P(1, 3), None), (P(1, 4), 99), (P(0, 9), 5)):
        hand = served([put("a", b"1"), put("b", b"2")])
        follows(hand, 1, position=position, digest=digest)
        assert hand.new(1)[2:] == [Digests(P(1, 4), tuple(hand.machine.store.sums))]
        number = range_of(Kind.SERVER, "a")
        hand.hear(1, Want((number,)))
        assert hand.new(1) == [Range(number, (put("a", b"1"),), False)]
        goes_on(hand, put("c", b"3"))
        assert hand.new(1) == []
        hand.hear(1, Ack(position, 5))
        assert hand.new(1) == [Delta(P(1, 4), P(1, 5), total_digest(hand.machine.store.sums), (put("c", b"3"),), False)]
        hand.hear(1, Ack(P(1, 5), total_digest(hand.machine.store.sums)))
        assert hand.new(1) == []


def test_one_that_wants_no_range_gets_the_delta_at_once():
    hand = served([put("a", b"1")])
    follows(hand, 1, position=P(1, 2))
    hand.hear(1, Want(()))
    assert hand.last(1) == Delta(P(1, 4), P(1, 4), total_digest(hand.machine.store.sums), (), False)


def test_where_the_history_is_too_short_in_the_end_digests_are_told_again():
    hand = served([put("a", b"1")])
    follows(hand, 1, position=P(1, 2))
    hand.hear(1, Want((range_of(Kind.SERVER, "a"),)))
    hand.machine.history.most_rows = 1
    goes_on(hand, put("b", b"1"), put("c", b"1"))
    hand.new(1)
    hand.hear(1, Ack(P(1, 2), 0))
    assert hand.new(1) == [Digests(P(1, 5), tuple(hand.machine.store.sums))]


def test_a_delta_of_many_frames_goes_one_frame_an_ack(monkeypatch):
    monkeypatch.setattr(encoded_frames, "FRAME_ROWS", 2)
    hand = served()
    follows(hand, 1)
    hand.new(1)
    goes_on(hand, *(put(f"s{number}", b"x") for number in range(5)))
    for more in (True, True, False):
        [told] = hand.new(1)
        assert told.more == more and (told.after, told.position) == (P(1, 4), P(1, 5))
        if more:
            hand.hear(1, Ack(P(1, 4), 0))
    assert not hand.machine.held
    hand.hear(1, Ack(P(1, 5), total_digest(hand.machine.store.sums)))
    assert hand.new(1) == []


def test_half_sent_deltas_are_few_and_the_others_wait_for_them(monkeypatch):
    monkeypatch.setattr(encoded_frames, "FRAME_ROWS", 1)
    monkeypatch.setattr(feeding, "DELTAS", 1)
    hand = served()
    for link in (1, 2, 3):
        follows(hand, link)
    goes_on(hand, put("a", b"1"), put("b", b"1"))  # one Delta for all, half sent
    assert len(hand.machine.held) == 1 and not hand.machine.blocked
    goes_on(hand, put("c", b"1"), put("d", b"1"))
    follows(hand, 4, position=P(1, 5), digest=hand.machine.history.digest(P(1, 5)))
    assert list(hand.machine.blocked) == [4]
    hand.new(4)
    for link in (1, 2):
        hand.hear(link, Ack(P(1, 4), 0))  # the last frame of the first goes out
    assert hand.new(4) == [] and len(hand.machine.held) == 1
    hand.do(Lost(3))
    assert hand.new(4)[0].after == P(1, 5) and not hand.machine.blocked and len(hand.machine.held) == 1


def test_a_store_of_the_past_or_the_future_is_waited_for_or_left():
    hand = served(position=P(2, 4))
    follows(hand, 1, position=P(2, 9), digest=5)  # ahead: this one may be catching up
    assert len(hand.new(1)) == 2 and not hand.closed
    follows(hand, 2, position=P(3, 1), digest=5)
    assert hand.last(2) == Goodbye("older term", P(2, 4)) and hand.closed == {2: "older term"}
    assert hand.machine.higher == 3 and 2 not in hand.machine.registry.links
    hand.hear(1, Ack(P(3, 9), 5))
    assert hand.closed[1] == "older term"
    hand = ScriptedPeer(FollowerServer("it", Records(), P(), lambda now: None))
    follows(hand, 1, position=P(3, 1), digest=5)  # this one has nothing yet
    assert not hand.closed and not hand.machine.higher


def test_what_is_out_of_turn_malformed_or_of_another_version_is_closed_and_said_why():
    hello = Hello(VERSION, "g", False, P(1, 4), 0)
    for told, reason, goodbye in (
        (None, "malformed", "malformed"),
        (hello, "out of turn", "malformed"),
        (Want((1,)), "out of turn", "malformed"),
        (Report((), (), P(), (), 0), "out of turn", "malformed"),
        (Submit("x", b""), "out of turn", "malformed"),
        (Beat(P(), 0), "out of turn", "malformed"),
    ):
        hand = served()
        follows(hand, 1, who="g")
        hand.hear(1, told)
        assert hand.closed == {1: reason} and hand.last(1) == Goodbye(goodbye, P(1, 4)) and reason in hand.notes
        assert not hand.machine.links and not hand.machine.registry.links
    hand = served()
    for link, told, reason in ((1, Ack(P(), 0), "out of turn"), (2, Hello(9, "g", False, P(), 0), "version")):
        hand.do(Connected(link))
        hand.hear(link, told)
        assert hand.closed[link] == reason
    hand.hear(1, hello)  # of a link that is closed
    assert not hand.machine.links


def test_those_without_a_name_and_those_who_do_not_answer_are_closed_in_time():
    hand = served()
    hand.do(Connected(1))
    follows(hand, 2)
    goes_on(hand, put("a", b"1"))
    hand.wait(NAMELESS + BEAT)
    assert hand.closed == {1: "no hello"}
    hand.wait(SLOW - NAMELESS - 2 * BEAT)
    assert 2 not in hand.closed
    hand.wait(2 * BEAT)
    assert hand.closed[2] == "slow" and hand.machine.registry.gone
    assert hand.machine.beat_at is None  # nobody is left


def test_links_are_bounded_and_told_when_it_leaves():
    hand = served(most=2)
    for link in (1, 2, 3):
        hand.do(Connected(link))
    assert hand.closed == {3: "full"} and hand.last(3) == Goodbye("full", P(1, 4))
    hand.do(Left())
    hand.do(Connected(4))
    assert hand.last(1) == hand.last(2) == hand.last(4) == Goodbye("leaving", P(1, 4)) and not hand.machine.links


def test_a_link_that_gets_ranges_and_does_not_answer_gives_its_place_to_the_next():
    hand = served([put(f"s{number}", b"x") for number in range(50)], mends=1)
    for link in (1, 2):
        follows(hand, link, position=P(0, 0), digest=0)
        hand.new(link)
        hand.hear(link, Want((1, 2)))
    assert isinstance(hand.last(1), Range) and 2 not in hand.said
    hand.new(1)
    hand.wait(BEAT + 100)
    assert any(isinstance(told, Range) for told in hand.new(2))
    hand.new(1)
    hand.hear(1, Ack(P(), 0))
    assert hand.new(1) == [] and list(hand.machine.pace.waiting) == [1]
    hand.hear(2, Ack(P(), 0))
    hand.hear(2, Ack(P(), 0))  # its last range is out, the Delta goes
    assert isinstance(hand.last(2), Delta)
    hand.wait(5)  # the pace
    assert isinstance(hand.last(1), Range)


def test_ranges_go_no_faster_than_the_egress_allows():
    hand = served([put(f"s{number}", bytes(50)) for number in range(400)], egress=1_000)
    follows(hand, 1, position=P(0, 0), digest=0)
    hand.new(1)
    hand.hear(1, Want(tuple(range(256))))
    size = 0
    for second in range(1, 31):
        for _ in range(10):
            for told in hand.new(1):
                if isinstance(told, Range):
                    size += len(msgspec.msgpack.encode(told))
                    hand.hear(1, Ack(P(), 0))
            hand.wait(100)
        assert size <= 1_000 * second + 600
    assert size > 20_000
