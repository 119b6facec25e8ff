"""The registry of followers: who has which position, who is behind or gone, and what relays report upstream."""

import msgspec
from control_peer import ScriptedPeer, follow

from oakfork.control import follower_registry
from oakfork.control.events import AGE_UNKNOWN, Connected, TimerFired
from oakfork.control.follower_registry import GONE_RETENTION, FollowerRegistry
from oakfork.control.messages import (
    HEARTBEAT_INTERVAL,
    VERSION,
    Heartbeat,
    LaggingFollower,
    Position,
    Report,
    StatusRequest,
    Welcome,
)
from oakfork.control.relay import REPORT_INTERVAL, Relay
from oakfork.control.state import Records


def test_everywhere_is_the_lowest_position_and_relays_count_once_they_have_reported():
    """A position isn't said to be in force everywhere while a relay's followers are unknown."""
    registry = FollowerRegistry()
    assert registry.everywhere(Position(1, 5)) == Position(1, 5)
    registry.connected(0, 1, "g1", False, Position(1, 4))
    registry.connected(0, 2, "r", True, Position(1, 5))
    assert registry.everywhere(Position(1, 5)) == Position()
    lagging = LaggingFollower("g2", Position(1, 3), 50)
    registry.reported(0, 2, Report(("g2",), (), Position(1, 3), (lagging,), 0))
    assert registry.everywhere(Position(1, 5)) == Position(1, 3)
    registry.acked(1, Position(1, 5))
    registry.reported(0, 2, Report((), (), Position(1, 5), (), 0))
    assert registry.everywhere(Position(1, 5)) == Position(1, 5) and set(registry.names) == {"g1", "r", "g2"}


def test_lagging_followers_are_named_furthest_behind_first_with_their_times():
    """Directly connected and reported followers are named together; those not named are counted."""
    registry = FollowerRegistry()
    for number, at in ((1, 100), (2, 200), (3, 300)):
        registry.in_force(at, Position(1, number))
    registry.connected(0, 1, "g1", False, Position(1, 2))
    registry.connected(0, 2, "g2", False, Position(1, 1))
    registry.connected(0, 3, "r", True, Position(1, 3))
    lagging = LaggingFollower("g3", Position(1, 0), 40)
    registry.reported(1_000, 3, Report(("g3", "g4"), (), Position(1, 0), (lagging,), 5))
    named, others = registry.behind(1_100, Position(1, 3))
    assert named == [
        LaggingFollower("g3", Position(1, 0), 140),
        LaggingFollower("g2", Position(1, 1), 900),
        LaggingFollower("g1", Position(1, 2), 800),
    ]
    assert others == 5
    assert registry.behind(1_100, Position(1, 3), 1) == ([LaggingFollower("g3", Position(1, 0), 140)], 7)
    registry.in_force(1_200, Position(1, 4))  # the relay is behind now, and so is everyone below it
    named, others = registry.behind(1_300, Position(1, 4))
    assert {follower.name for follower in named} == {"g1", "g2", "g3", "g4", "r"} and others == 0


def test_a_follower_that_moves_is_not_gone_and_one_that_left_is_for_a_while():
    """A follower may reach its new relay before the old one reports that it left."""
    registry = FollowerRegistry()
    registry.connected(0, 1, "r1", True, Position())
    registry.connected(0, 2, "r2", True, Position())
    registry.reported(0, 1, Report(("g",), (), Position(), (), 0))
    registry.reported(0, 2, Report(("g",), (), Position(), (), 0))
    registry.reported(0, 1, Report((), ("g",), Position(), (), 0))
    assert "g" in registry.names and not registry.gone
    registry.disconnected(50, 2)
    assert set(registry.names) == {"r1"} and set(registry.gone) == {"r2", "g"}
    assert registry.gone["g"] == (50, "r2")
    registry.connected(GONE_RETENTION + 50, 3, "g", False, Position())
    assert not registry.gone


def test_names_are_bounded_and_the_follower_gone_longest_is_dropped_first(monkeypatch):
    """Connected followers beyond the bound are counted but not named, and their loss does no harm."""
    monkeypatch.setattr(follower_registry, "MAX_NAMES", 4)
    registry = FollowerRegistry()
    for link in range(1, 5):
        registry.connected(0, link, f"g{link}", False, Position())
    registry.disconnected(1, 2)
    registry.disconnected(2, 1)
    registry.connected(3, 5, "g5", False, Position())
    assert set(registry.gone) == {"g1"} and set(registry.names) == {"g3", "g4", "g5"}
    registry.connected(4, 6, "g6", False, Position())
    registry.connected(4, 7, "g7", False, Position())
    assert not registry.gone and set(registry.names) == {"g3", "g4", "g5", "g6"} and registry.left_out == 1
    registry.disconnected(5, 7)
    registry.disconnected(5, 6)
    assert registry.everywhere(Position(1, 1)) == Position() and set(registry.gone) == {"g6"}


def test_reports_have_a_bounded_number_of_names_and_only_changes(monkeypatch):
    """Names beyond the bound follow in the next report; on a new connection all are reported again."""
    monkeypatch.setattr(follower_registry, "REPORTED_NAMES", 3)
    registry = FollowerRegistry()
    for link in range(1, 8):
        registry.connected(0, link, f"g{link}", False, Position(1, 1))
    reports = []
    while registry.changed:
        reports.append(registry.report(0, Position(1, 1)))
    assert [len(report.came) for report in reports] == [3, 3, 1]
    assert {report.lowest for report in reports} == {Position(1, 1)}
    registry.disconnected(0, 1)
    assert registry.report(0, Position(1, 1)).went == ("g1",)
    registry.report_all()
    came = registry.report(0, Position(1, 1)).came + registry.report(0, Position(1, 1)).came
    assert set(came) == {f"g{link}" for link in range(2, 8)}


def test_a_relay_reports_at_once_then_once_a_second_and_only_changes():
    """Reports don't grow with the number of followers that come at once, and stop when nothing changes."""
    peer = ScriptedPeer(Relay("r", ["p"], Records()))
    peer.deliver(TimerFired())
    link = peer.connects[-1][1]
    peer.deliver(Connected(link))
    peer.send(link, Welcome(VERSION, "p", Position()), Heartbeat(Position(), 0))
    assert peer.new(link)[1:] == [Report((), (), Position(), (), 0)]
    for number in range(1, 4):
        follow(peer, number)
    assert link not in peer.sent
    peer.wait(REPORT_INTERVAL)
    assert peer.new(link) == [Report(("g1", "g2", "g3"), (), Position(), (), 0)]
    for _ in range(5):
        peer.send(link, Heartbeat(Position(), 0))
        peer.wait(REPORT_INTERVAL)
    assert link not in peer.sent
    peer.send(1, StatusRequest())
    status = msgspec.json.decode(peer.last(1).document)
    assert status["follows"] == "p" and status["phase"] == "following" and status["connected"] == 3


def test_a_relay_forwards_heartbeats_and_sends_its_own_if_none_arrive():
    """The age known downstream doesn't grow with each relay, and a silent upstream doesn't silence the relay."""
    peer = ScriptedPeer(Relay("r", ["p"], Records()))
    peer.deliver(TimerFired())
    link = peer.connects[-1][1]
    peer.deliver(Connected(link))
    peer.send(link, Welcome(VERSION, "p", Position()))
    follow(peer, 1)
    peer.new(1)
    peer.wait(HEARTBEAT_INTERVAL)
    peer.send(link, Heartbeat(Position(), 5))  # its own heartbeat has just been sent
    assert peer.new(1) == [Heartbeat(Position(), AGE_UNKNOWN)]
    for _ in range(4):
        peer.wait(HEARTBEAT_INTERVAL)
        peer.send(link, Heartbeat(Position(), 5))
        assert peer.new(1) == [Heartbeat(Position(), 5)]
    peer.send(link, Heartbeat(Position(), 5))  # too soon
    assert peer.new(1) == []
    peer.wait(2 * HEARTBEAT_INTERVAL)
    assert peer.new(1) == [Heartbeat(Position(), 5 + HEARTBEAT_INTERVAL // 2 * 3)]
