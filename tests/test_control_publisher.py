"""The publisher's queue, what it hears of others, and what is known of all who follow, spoken to by hand."""

import msgspec
import pytest
from control_network import contradictions, parse, put
from control_peer import P, ScriptedPeer, follows
from control_verifier import filled

from oakfork.control import follower_registry as rosters
from oakfork.control.events import UNKNOWN, Connected, Lost, NotStored, NotUnkept, Stored, TimeCame, Unkept
from oakfork.control.follower_registry import FORGOTTEN, FollowerRegistry
from oakfork.control.follower_server import NAMELESS
from oakfork.control.messages import (
    BEAT,
    EMPTY,
    VERSION,
    Ask,
    Beat,
    Behind,
    Delta,
    Goodbye,
    Kind,
    Report,
    Status,
    Submit,
    Verdict,
    Welcome,
)
from oakfork.control.other_publishers import ASK, OtherPublishers
from oakfork.control.publisher import ASKERS, QUEUED, Publisher
from oakfork.control.relay import REPORT, Relay
from oakfork.control.state import Records, total_digest
from oakfork.errors import DatabaseError

# The publisher


def publisher(stored=EMPTY, term=1, store=None, **more):
    return ScriptedPeer(Publisher("p", term, stored, store or Records(), parse, contradictions, **more))


def submit(hand, link, id, *rows):
    if link not in hand.machine.follower_server.links:
        hand.do(Connected(link))
    hand.hear(link, Submit(id, msgspec.msgpack.encode(rows)))


def test_a_change_set_is_kept_before_it_is_in_force_acknowledged_and_fed():
    hand = publisher()
    follows(hand, 9)
    hand.new(9)
    submit(hand, 1, "one", put("a", b"1"))
    [keep] = hand.kept
    assert (keep.position, keep.id, keep.rows) == (P(1, 1), "one", (put("a", b"1"),))
    assert hand.machine.position == P(1, 0) and not hand.said and hand.machine.store.value(Kind.SERVER, "a") is None
    hand.do(Stored(1))
    assert hand.new(1) == [Verdict("one", P(1, 1), ())] and hand.machine.store.value(Kind.SERVER, "a") == b"1"
    assert total_digest(hand.machine.store.sums) == keep.digest
    assert hand.new(9) == [Delta(P(1, 0), P(1, 1), keep.digest, (put("a", b"1"),), False)]
    hand.do(Stored(1))  # said twice
    assert hand.machine.position == P(1, 1) and not hand.said


def test_the_same_id_again_is_answered_alike_and_has_no_second_effect():
    hand = publisher()
    submit(hand, 1, "one", put("a", b"1"))
    submit(hand, 2, "one", put("a", b"2"))  # while the first is on its way to the disk
    submit(hand, 2, "one", put("a", b"2"))
    hand.do(Stored(1))
    submit(hand, 3, "one", put("a", b"3"))
    assert hand.new(1) == hand.new(2) == hand.new(3) == [Verdict("one", P(1, 1), ())] and len(hand.kept) == 1
    hand = publisher(P(1, 7), 2, ids={"one": P(1, 1)})
    submit(hand, 1, "one", put("a", b"1"))
    assert hand.new(1) == [Verdict("one", P(1, 1), ())] and not hand.kept


def test_faults_refuse_the_whole_set_and_each_is_judged_after_those_before_it():
    hand = publisher()
    hand.do(Connected(1))
    hand.hear(1, Submit("bad", b"\xc1"))
    assert hand.last(1).position is None and hand.last(1).faults[0].startswith("the file")
    submit(hand, 1, "put", put("a", b"1"))
    submit(hand, 2, "drop", put("a", None))
    submit(hand, 3, "again", put("a", None))
    hand.do(Stored(1))
    hand.do(Stored(2))
    assert hand.last(2) == Verdict("drop", P(1, 2), ())
    assert hand.last(3) == Verdict("again", None, ("drop[0]: there is no 'a'",)) and len(hand.kept) == 2


def test_what_waits_is_bounded_and_those_who_ask_for_one():
    hand = publisher()
    for number in range(QUEUED + 1):
        submit(hand, 1, f"set-{number}", put("a", b"%d" % number))
    assert len(hand.machine.queue) == QUEUED and hand.new(1)[0].faults[0].startswith("too many")
    for link in range(2, ASKERS + 3):
        submit(hand, link, "set-0", put("a", b"0"))
    assert len(hand.machine.queue[0].links) == ASKERS and hand.last(ASKERS + 2).faults[0].startswith("too many")
    hand.do(Lost(1))
    assert 1 not in hand.machine.queue[0].links
    for number in range(QUEUED):
        hand.do(Stored(number + 1))
    assert not hand.machine.queue and hand.machine.position == P(1, QUEUED)


def test_what_could_not_be_stored_is_refused_and_the_next_one_goes_on():
    hand = publisher()
    submit(hand, 1, "one", put("a", b"1"))
    submit(hand, 2, "two", put("b", b"1"))
    hand.do(NotStored(1, "disk full"))
    assert hand.last(1) == Verdict("one", None, ("not stored: disk full",)) and hand.kept[1].position == P(1, 1)
    hand.do(Stored(1))
    assert hand.last(2) == Verdict("two", P(1, 1), ())


def test_one_that_hears_of_a_higher_term_takes_and_serves_nothing_more():
    hand = publisher()
    follows(hand, 1)
    submit(hand, 2, "one", put("a", b"1"))
    submit(hand, 3, "two", put("a", b"2"))
    follows(hand, 4, position=P(5, 1))
    assert hand.closed == {4: "older term", 1: "older term"} and "older term" in hand.notes
    hand.do(Stored(1))  # it was on its way: neither acknowledged nor in force, nor after a restart
    assert hand.taken_back == [P(1, 1)] and 2 not in hand.said and 3 not in hand.said
    hand.do(Unkept(1))
    for link in (2, 3):
        assert hand.last(link).position is None and hand.last(link).faults[0].startswith("older term")
    assert hand.machine.position == P(1, 0)
    submit(hand, 5, "three", put("a", b"3"))
    assert hand.last(5).faults[0].startswith("older term")
    follows(hand, 6)
    assert hand.closed[6] == "older term"
    hand.hear(5, Ask())
    assert msgspec.json.decode(hand.last(5).told)["higher_term"] == 5


def test_what_was_stored_and_is_not_taken_back_gets_no_verdict():
    """Whether it is in force after a restart nobody can say then: nothing is answered, which stands for that."""
    hand = publisher()
    submit(hand, 2, "one", put("a", b"1"))
    submit(hand, 3, "two", put("a", b"2"))
    follows(hand, 4, position=P(5, 1))
    hand.do(Stored(1))
    hand.do(NotUnkept(7, "of another number: no effect"))
    assert 2 not in hand.closed
    hand.do(NotUnkept(1, "disk full"))
    assert hand.closed[2] == "not taken back" and 2 not in hand.said and "not taken back" in hand.notes
    assert hand.last(3).faults[0].startswith("older term") and hand.machine.position == P(1, 0)
    submit(hand, 5, "one", put("a", b"1"))  # asked again: likewise
    assert hand.closed[5] == "not taken back" and 5 not in hand.said


def test_a_new_term_begins_with_no_change_and_the_stored_log_is_known():
    class Stored_:
        def __init__(self, before, position, *rows):
            self.before, self.position, self.rows = before, position, rows

    entries = [Stored_(P(1, 3), P(1, 4), put("a", b"1")), Stored_(P(1, 4), P(2, 5), put("b", b"1"))]
    hand = publisher(P(2, 5), 4, filled([put("a", b"1"), put("b", b"1")]), entries=entries)
    assert hand.machine.position == P(4, 5)
    for link, position, rows in ((1, P(1, 3), 2), (2, P(1, 4), 1), (3, P(2, 5), 0)):
        follows(hand, link, position=position)
        told = hand.last(link)
        assert isinstance(told, Delta) and (told.after, told.position) == (position, P(4, 5)) and len(told.rows) == rows
    with pytest.raises(DatabaseError, match="is not above"):
        publisher(P(2, 5), 2)


def test_an_operator_has_time_as_long_as_something_is_asked():
    hand = publisher()
    hand.do(Connected(1))
    for _ in range(5):
        hand.wait(NAMELESS - BEAT)
        hand.hear(1, Ask())
        assert isinstance(hand.last(1), Status) and not hand.closed
    hand.wait(NAMELESS + BEAT)
    assert hand.closed == {1: "no hello"}


def test_other_publishers_are_asked_for_their_term_time_and_again():
    hand = ScriptedPeer(OtherPublishers(("q", "r")))
    hand.do(TimeCame())
    assert hand.connects == [("q", -1), ("r", -2)]
    hand.do(Connected(-1))
    assert hand.new(-1) == [Ask()]
    hand.hear(-1, Status(b'{"position": [3, 1], "who": "q"}'))
    assert hand.machine.highest == 3 and hand.closed == {-1: "answered"}
    hand.now = ASK
    hand.do(TimeCame())
    assert hand.closed[-2] == "no answer" and hand.connects[2:] == [("q", -3), ("r", -4)]
    for link, told in ((-3, Status(b"no json")), (-4, Goodbye("full", P(9, 9)))):
        hand.do(Connected(link))
        hand.hear(link, told)
    assert hand.machine.highest == 3 and not hand.machine.open


# The roster


def test_everywhere_is_what_all_have_and_a_relay_counts_when_it_has_reported():
    registry = FollowerRegistry()
    assert registry.everywhere(P(1, 5)) == P(1, 5)
    registry.came(0, 1, "g1", False, P(1, 4))
    registry.came(0, 2, "r", True, P(1, 5))
    assert registry.everywhere(P(1, 5)) == P()
    registry.reported(0, 2, Report(("g2",), (), P(1, 3), (Behind("g2", P(1, 3), 50),), 0))
    assert registry.everywhere(P(1, 5)) == P(1, 3)
    registry.acked(1, P(1, 5))
    registry.reported(0, 2, Report((), (), P(1, 5), (), 0))
    assert registry.everywhere(P(1, 5)) == P(1, 5) and set(registry.names) == {"g1", "r", "g2"}


def test_those_behind_are_named_the_worst_first_and_since_when():
    registry = FollowerRegistry()
    for number, at in ((1, 100), (2, 200), (3, 300)):
        registry.in_force(at, P(1, number))
    registry.came(0, 1, "g1", False, P(1, 2))
    registry.came(0, 2, "g2", False, P(1, 1))
    registry.came(0, 3, "r", True, P(1, 3))
    registry.reported(1_000, 3, Report(("g3", "g4"), (), P(1, 0), (Behind("g3", P(1, 0), 40),), 5))
    named, others = registry.behind(1_100, P(1, 3))
    assert named == [Behind("g3", P(1, 0), 140), Behind("g2", P(1, 1), 900), Behind("g1", P(1, 2), 800)]
    assert others == 5
    assert registry.behind(1_100, P(1, 3), 1) == ([Behind("g3", P(1, 0), 140)], 7)
    registry.in_force(1_200, P(1, 4))  # the relay is behind itself, and so all below it
    named, others = registry.behind(1_300, P(1, 4))
    assert {one.who for one in named} == {"g1", "g2", "g3", "g4", "r"} and others == 0


def test_one_that_moves_is_not_gone_and_one_that_left_is_until_it_is_forgotten():
    registry = FollowerRegistry()
    registry.came(0, 1, "r1", True, P())
    registry.came(0, 2, "r2", True, P())
    registry.reported(0, 1, Report(("g",), (), P(), (), 0))
    registry.reported(0, 2, Report(("g",), (), P(), (), 0))  # there already, before it is known to have left
    registry.reported(0, 1, Report((), ("g",), P(), (), 0))
    assert "g" in registry.names and not registry.gone
    registry.lost(50, 2)
    assert set(registry.names) == {"r1"} and set(registry.gone) == {"r2", "g"} and registry.gone["g"] == (50, "r2")
    registry.came(FORGOTTEN + 50, 3, "g", False, P())
    assert not registry.gone


def test_names_are_bounded_and_the_one_gone_for_the_longest_goes_first(monkeypatch):
    monkeypatch.setattr(rosters, "MOST_NAMES", 4)
    registry = FollowerRegistry()
    for link in range(1, 5):
        registry.came(0, link, f"g{link}", False, P())
    registry.lost(1, 2)
    registry.lost(2, 1)
    registry.came(3, 5, "g5", False, P())
    assert set(registry.gone) == {"g1"} and set(registry.names) == {"g3", "g4", "g5"}
    registry.came(4, 6, "g6", False, P())
    registry.came(4, 7, "g7", False, P())
    assert not registry.gone and set(registry.names) == {"g3", "g4", "g5", "g6"} and registry.left_out == 1
    registry.lost(5, 7)
    registry.lost(5, 6)
    assert registry.everywhere(P(1, 1)) == P() and set(registry.gone) == {"g6"}


def test_reports_tell_names_in_parts_and_what_changed_since(monkeypatch):
    monkeypatch.setattr(rosters, "REPORTED", 3)
    registry = FollowerRegistry()
    for link in range(1, 8):
        registry.came(0, link, f"g{link}", False, P(1, 1))
    told = []
    while registry.changed:
        told.append(registry.report(0, P(1, 1)))
    assert [len(each.came) for each in told] == [3, 3, 1] and {each.lowest for each in told} == {P(1, 1)}
    registry.lost(0, 1)
    assert registry.report(0, P(1, 1)).went == ("g1",)
    registry.afresh()
    assert set(registry.report(0, P(1, 1)).came + registry.report(0, P(1, 1)).came) == {
        f"g{link}" for link in range(2, 8)
    }


def test_a_relay_reports_at_once_then_once_a_second_and_only_what_changed():
    hand = ScriptedPeer(Relay("r", ["p"], Records()))
    hand.do(TimeCame())
    link = hand.connects[-1][1]
    hand.do(Connected(link))
    hand.hear(link, Welcome(VERSION, "p", P()), Beat(P(), 0))
    assert hand.new(link)[1:] == [Report((), (), P(), (), 0)]
    for number in range(1, 4):
        follows(hand, number)
    assert link not in hand.said
    hand.wait(REPORT)
    assert hand.new(link) == [Report(("g1", "g2", "g3"), (), P(), (), 0)]
    for _ in range(5):
        hand.hear(link, Beat(P(), 0))
        hand.wait(REPORT)
    assert link not in hand.said
    hand.hear(1, Ask())
    told = msgspec.json.decode(hand.last(1).told)
    assert told["follows"] == "p" and told["phase"] == "following" and told["connected"] == 3


def test_a_relay_passes_beats_on_and_says_its_own_where_none_come():
    hand = ScriptedPeer(Relay("r", ["p"], Records()))
    hand.do(TimeCame())
    link = hand.connects[-1][1]
    hand.do(Connected(link))
    hand.hear(link, Welcome(VERSION, "p", P()))
    follows(hand, 1)
    hand.new(1)
    hand.wait(BEAT)
    hand.hear(link, Beat(P(), 5))  # its own has just gone
    assert hand.new(1) == [Beat(P(), UNKNOWN)]
    for _ in range(4):
        hand.wait(BEAT)
        hand.hear(link, Beat(P(), 5))
        assert hand.new(1) == [Beat(P(), 5)]
    hand.hear(link, Beat(P(), 5))  # too soon
    assert hand.new(1) == []
    hand.wait(2 * BEAT)
    assert hand.new(1) == [Beat(P(), 5 + BEAT // 2 * 3)]
