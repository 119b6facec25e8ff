"""The follower server: what is sent to whom and in which order, and which links are closed."""

import msgspec
from control_network import put
from control_peer import ScriptedPeer, follow, put_in_force, served

from oakfork.control import encoded_frames, state_sender
from oakfork.control.events import AGE_UNKNOWN, Connected, Disconnected, ShuttingDown
from oakfork.control.follower_server import ANSWER_TIMEOUT, HELLO_TIMEOUT, FollowerServer
from oakfork.control.messages import (
    HEARTBEAT_INTERVAL,
    RANGES,
    VERSION,
    Ack,
    Delta,
    Digests,
    Goodbye,
    Heartbeat,
    Hello,
    Kind,
    Position,
    Range,
    RangeRequest,
    Report,
    Submit,
    Welcome,
)
from oakfork.control.state import Records, as_changes, range_of, total_digest


def test_an_up_to_date_follower_is_welcomed_and_sent_each_change():
    """A follower that acknowledges late gets the changes since as one Delta, with the last value of each record."""
    peer = served([put("a", b"1")])
    follow(peer, 1)
    assert peer.new(1) == [Welcome(VERSION, "it", Position(1, 4)), Heartbeat(Position(1, 4), 7)]
    put_in_force(peer, put("a", b"2"))
    digest = total_digest(peer.machine.store.sums)
    assert peer.new(1) == [Delta(Position(1, 4), Position(1, 5), digest, (put("a", b"2"),), False)]
    put_in_force(peer, put("a", b"3"), put("b", b"1"))
    put_in_force(peer, put("a", b"4"))
    assert peer.new(1) == []  # awaits its Ack
    peer.send(1, Ack(Position(1, 5), digest))
    [delta] = peer.new(1)
    assert (delta.after, delta.position) == (Position(1, 5), Position(1, 7))
    assert as_changes(delta.rows) == {(Kind.SERVER, "a"): b"4", (Kind.SERVER, "b"): b"1"}


def test_heartbeats_go_to_all_followers_at_all_times():
    """Followers that haven't answered the last frame get heartbeats as well."""
    peer = served()
    follow(peer, 1)
    follow(peer, 2)
    put_in_force(peer, put("a", b"1"))
    peer.new(1)
    peer.wait(3 * HEARTBEAT_INTERVAL)
    assert peer.new(1) == [Heartbeat(Position(1, 5), 7)] * 3 and peer.last(2) == Heartbeat(Position(1, 5), 7)
    peer = ScriptedPeer(FollowerServer("it", Records(), Position(), lambda now: None))
    follow(peer, 1)
    assert peer.last(1) == Heartbeat(Position(), AGE_UNKNOWN)


def test_an_unknown_state_is_brought_up_to_date_by_digests_ranges_and_a_delta():
    """Applies to followers at an unknown position and to those with another digest; changes meanwhile come last."""
    for position, digest in ((Position(1, 3), None), (Position(1, 4), 99), (Position(0, 9), 5)):
        peer = served([put("a", b"1"), put("b", b"2")])
        sums = peer.machine.store.sums
        follow(peer, 1, position=position, digest=digest)
        assert peer.new(1)[2:] == [Digests(Position(1, 4), tuple(sums))]
        number = range_of(Kind.SERVER, "a")
        peer.send(1, RangeRequest((number,)))
        assert peer.new(1) == [Range(number, (put("a", b"1"),), False)]
        put_in_force(peer, put("c", b"3"))
        assert peer.new(1) == []
        peer.send(1, Ack(position, 5))
        new_digest = total_digest(peer.machine.store.sums)
        assert peer.new(1) == [Delta(Position(1, 4), Position(1, 5), new_digest, (put("c", b"3"),), False)]
        peer.send(1, Ack(Position(1, 5), new_digest))
        assert peer.new(1) == []


def test_a_follower_that_needs_no_range_gets_the_delta_at_once():
    """An empty RangeRequest is answered with the Delta after the Digests, which may have no rows."""
    peer = served([put("a", b"1")])
    follow(peer, 1, position=Position(1, 2))
    peer.send(1, RangeRequest(()))
    digest = total_digest(peer.machine.store.sums)
    assert peer.last(1) == Delta(Position(1, 4), Position(1, 4), digest, (), False)


def test_digests_are_sent_again_if_the_history_is_too_short_after_the_ranges():
    """If too much changes during the transfer of ranges, the follower requests the ranges that differ now."""
    peer = served([put("a", b"1")])
    follow(peer, 1, position=Position(1, 2))
    peer.send(1, RangeRequest((range_of(Kind.SERVER, "a"),)))
    peer.machine.history.max_rows = 1
    put_in_force(peer, put("b", b"1"), put("c", b"1"))
    peer.new(1)
    peer.send(1, Ack(Position(1, 2), 0))
    assert peer.new(1) == [Digests(Position(1, 5), tuple(peer.machine.store.sums))]


def test_a_long_delta_is_sent_one_frame_for_each_ack(monkeypatch):
    """A follower has one frame outstanding, also within a Delta of several frames."""
    monkeypatch.setattr(encoded_frames, "FRAME_ROWS", 2)
    peer = served()
    follow(peer, 1)
    peer.new(1)
    put_in_force(peer, *(put(f"s{number}", b"x") for number in range(5)))
    for more in (True, True, False):
        [delta] = peer.new(1)
        assert delta.more == more and (delta.after, delta.position) == (Position(1, 4), Position(1, 5))
        if more:
            peer.send(1, Ack(Position(1, 4), 0))
    assert not peer.machine.partly_sent
    peer.send(1, Ack(Position(1, 5), total_digest(peer.machine.store.sums)))
    assert peer.new(1) == []


def test_partly_sent_deltas_are_bounded_and_other_followers_wait(monkeypatch):
    """Long Deltas from many positions don't take unbounded memory; a lost link releases its Delta."""
    monkeypatch.setattr(encoded_frames, "FRAME_ROWS", 1)
    monkeypatch.setattr(state_sender, "MAX_LONG_DELTAS", 1)
    peer = served()
    for link in (1, 2, 3):
        follow(peer, link)
    put_in_force(peer, put("a", b"1"), put("b", b"1"))  # one Delta, partly sent to all
    assert len(peer.machine.partly_sent) == 1 and not peer.machine.blocked
    put_in_force(peer, put("c", b"1"), put("d", b"1"))
    follow(peer, 4, position=Position(1, 5), digest=peer.machine.history.digest(Position(1, 5)))
    assert list(peer.machine.blocked) == [4]
    peer.new(4)
    for link in (1, 2):
        peer.send(link, Ack(Position(1, 4), 0))  # the last frame of the first Delta goes out
    assert peer.new(4) == [] and len(peer.machine.partly_sent) == 1
    peer.deliver(Disconnected(3))
    assert peer.new(4)[0].after == Position(1, 5)
    assert not peer.machine.blocked and len(peer.machine.partly_sent) == 1


def test_a_follower_that_is_ahead_is_served_later_or_refused():
    """One of the same term is waited for; one of a later term is sent elsewhere, unless there is no state here yet."""
    peer = served(position=Position(2, 4))
    follow(peer, 1, position=Position(2, 9), digest=5)  # this server may be catching up
    assert len(peer.new(1)) == 2 and not peer.closed
    follow(peer, 2, position=Position(3, 1), digest=5)
    assert peer.last(2) == Goodbye("older term", Position(2, 4)) and peer.closed == {2: "older term"}
    assert peer.machine.higher_term == 3 and 2 not in peer.machine.registry.links
    peer.send(1, Ack(Position(3, 9), 5))
    assert peer.closed[1] == "older term"
    peer = ScriptedPeer(FollowerServer("it", Records(), Position(), lambda now: None))
    follow(peer, 1, position=Position(3, 1), digest=5)  # this server has no state yet
    assert not peer.closed and not peer.machine.higher_term


def test_invalid_messages_end_the_link_with_a_reason():
    """Messages that are malformed, out of turn or of another version end their link, and are counted."""
    hello = Hello(VERSION, "g", False, Position(1, 4), 0)
    for message, reason, goodbye in (
        (None, "malformed", "malformed"),
        (hello, "out of turn", "malformed"),
        (RangeRequest((1,)), "out of turn", "malformed"),
        (Report((), (), Position(), (), 0), "out of turn", "malformed"),
        (Submit("x", b""), "out of turn", "malformed"),
        (Heartbeat(Position(), 0), "out of turn", "malformed"),
    ):
        peer = served()
        follow(peer, 1, name="g")
        peer.send(1, message)
        assert peer.closed == {1: reason} and peer.last(1) == Goodbye(goodbye, Position(1, 4))
        assert reason in peer.counted
        assert not peer.machine.sessions and not peer.machine.registry.links
    peer = served()
    for link, message, reason in (
        (1, Ack(Position(), 0), "out of turn"),
        (2, Hello(9, "g", False, Position(), 0), "version"),
    ):
        peer.deliver(Connected(link))
        peer.send(link, message)
        assert peer.closed[link] == reason
    peer.send(1, hello)  # on a closed link
    assert not peer.machine.sessions


def test_links_without_hello_or_answer_are_closed_in_time():
    """Neither silent connections nor paused followers keep their links for ever."""
    peer = served()
    peer.deliver(Connected(1))
    follow(peer, 2)
    put_in_force(peer, put("a", b"1"))
    peer.wait(HELLO_TIMEOUT + HEARTBEAT_INTERVAL)
    assert peer.closed == {1: "no hello"}
    peer.wait(ANSWER_TIMEOUT - HELLO_TIMEOUT - 2 * HEARTBEAT_INTERVAL)
    assert 2 not in peer.closed
    peer.wait(2 * HEARTBEAT_INTERVAL)
    assert peer.closed[2] == "slow" and peer.machine.registry.gone
    assert peer.machine.heartbeat_at is None  # no links are left


def test_links_are_bounded_and_get_a_goodbye_on_shutdown():
    """A link beyond the bound is refused; on shutdown all links end, and new ones are refused."""
    peer = served(max_links=2)
    for link in (1, 2, 3):
        peer.deliver(Connected(link))
    assert peer.closed == {3: "full"} and peer.last(3) == Goodbye("full", Position(1, 4))
    peer.deliver(ShuttingDown())
    peer.deliver(Connected(4))
    assert peer.last(1) == peer.last(2) == peer.last(4) == Goodbye("leaving", Position(1, 4))
    assert not peer.machine.sessions


def test_a_link_that_does_not_answer_a_range_gives_up_its_turn():
    """A paused follower doesn't delay others that wait for ranges, and queues again with its Ack."""
    peer = served([put(f"s{number}", b"x") for number in range(50)], max_range_links=1)
    for link in (1, 2):
        follow(peer, link, position=Position(0, 0), digest=0)
        peer.new(link)
        peer.send(link, RangeRequest((1, 2)))
    assert isinstance(peer.last(1), Range) and 2 not in peer.sent
    peer.new(1)
    peer.wait(HEARTBEAT_INTERVAL + 100)
    assert any(isinstance(message, Range) for message in peer.new(2))
    peer.new(1)
    peer.send(1, Ack(Position(), 0))
    assert peer.new(1) == [] and list(peer.machine.pacer.waiting) == [1]
    peer.send(2, Ack(Position(), 0))
    peer.send(2, Ack(Position(), 0))  # of its last range, so the Delta follows
    assert isinstance(peer.last(2), Delta)
    peer.wait(5)  # until the pacer allows the next frame
    assert isinstance(peer.last(1), Range)


def test_ranges_go_no_faster_than_the_egress_allows():
    """The bytes of ranges per second stay within the bound, and use it."""
    peer = served([put(f"s{number}", bytes(50)) for number in range(400)], egress=1_000)
    follow(peer, 1, position=Position(0, 0), digest=0)
    peer.new(1)
    peer.send(1, RangeRequest(tuple(range(RANGES))))
    size = 0
    for second in range(1, 31):
        for _ in range(10):
            for message in peer.new(1):
                if isinstance(message, Range):
                    size += len(msgspec.msgpack.encode(message))
                    peer.send(1, Ack(Position(), 0))
            peer.wait(100)
        assert size <= 1_000 * second + 600
    assert size > 20_000
