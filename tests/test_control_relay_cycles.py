"""Relays whose upstreams form a cycle: each finds itself in the path of a heartbeat, and switches to another relay."""

import pytest
from control_network import ControlNetwork, put
from control_peer import ScriptedPeer, follow

from oakfork.control.events import Connected, TimerFired
from oakfork.control.messages import HEARTBEAT_INTERVAL, MAX_PATH_NAMES, VERSION, Heartbeat, Position, Welcome
from oakfork.control.relay import Relay
from oakfork.control.state import Records


def relay_following_p():
    """A relay "r" that p has welcomed; q is its other upstream."""
    peer = ScriptedPeer(Relay("r", ["p", "q"], Records()))
    peer.deliver(TimerFired())
    peer.deliver(Connected(peer.connects[-1][1]))
    peer.send(peer.connects[-1][1], Welcome(VERSION, "p", Position()))
    return peer


def test_a_changed_path_is_forwarded_at_once_and_dropped_on_switching():
    """Relays learn the path of their upstream without waiting for the next heartbeat, cut to its maximum length."""
    peer = relay_following_p()
    follow(peer, 1, relay=True)
    follow(peer, 2)
    assert peer.new(1)[-1].path == ("r",) and peer.new(2)[-1].path == ()  # a gateway needs no path
    peer.send(-1, Heartbeat(Position(), 0, ("p", "o")))  # sooner than half a heartbeat interval
    assert peer.new(1) == [Heartbeat(Position(), 0, ("r", "p", "o"))]
    peer.send(-1, Heartbeat(Position(), 0, ("p", "o")))
    assert peer.new(1) == []
    peer.wait(HEARTBEAT_INTERVAL)
    peer.send(-1, Heartbeat(Position(), 0, ("p", *map(str, range(MAX_PATH_NAMES - 1)))))
    assert len(peer.new(1)[-1].path) == MAX_PATH_NAMES
    peer.wait(4 * HEARTBEAT_INTERVAL)  # without any heartbeat
    follow(peer, 3, relay=True)
    assert peer.last(3).path == ("r",)


def test_a_relay_that_follows_itself_through_others_switches_upstream():
    """A relay that finds its own name in the path leaves its upstream for the next one."""
    peer = relay_following_p()
    peer.send(-1, Heartbeat(Position(), 0, ("p", "o")))
    assert not peer.closed
    peer.send(-1, Heartbeat(Position(), 0, ("p", "o", "r")))
    assert peer.closed == {-1: "circle"} and peer.counted == ["circle"] and peer.connects[-1][0] == "q"


@pytest.mark.parametrize("relays", (2, 3, 7))
@pytest.mark.parametrize("seed", range(1, 9))
def test_relays_leave_a_cycle_within_seconds_of_the_publishers_restart(seed, relays):
    """Relays that follow one another while the publisher is down find it again without waiting for STALE_AGE."""
    network = ControlNetwork(seed)
    network.publisher("p")
    network.operator("p")
    for number in range(relays):
        network.relay(f"r{number}", 0, ["p", f"r{(number + 1) % relays}"])
        network.follower(f"g{number}", 0, [f"r{number}"])
    network.submit(put("a", b"1"))
    network.run(10_000)
    network.nodes["p"].kill()
    network.run(network.random.randint(0, 8_000))
    network.nodes["p"].start()
    started_at = network.now
    network.submit(put("a", b"2"))
    while any(node.machine.position.number < 2 for node in network.nodes.values() if node.name != "operator"):
        network.run(50)
        assert network.now < started_at + 60_000
    # The operator's next try (1 s), and the longest pauses of a relay and of one of its followers; not STALE_AGE, 10 s.
    assert network.now - started_at < 9_000
    cycles_left = sum(node.counts["circle"] for node in network.nodes.values())
    assert cycles_left > 0 or network.now - started_at < 2_000
    network.check_agreement()
