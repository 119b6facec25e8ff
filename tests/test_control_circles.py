"""Relays whose upstreams lead round: each finds by a Beat's way that it follows itself, and turns to another."""

import pytest
from control_network import ControlNetwork, put
from control_peer import ScriptedPeer, follows

from oakfork.control.events import Connected, TimeCame
from oakfork.control.messages import BEAT, MOST_WAY, VERSION, Beat, Position, Welcome
from oakfork.control.relay import Relay
from oakfork.control.state import Records

P = Position


def relay(**more):
    hand = ScriptedPeer(Relay("r", ["p", "q"], Records(), **more))
    hand.do(TimeCame())
    hand.do(Connected(hand.connects[-1][1]))
    hand.hear(hand.connects[-1][1], Welcome(VERSION, "p", P()))
    return hand


def test_whom_one_follows_is_passed_on_at_once_and_forgotten_when_it_turns():
    hand = relay()
    follows(hand, 1, relay=True)
    follows(hand, 2)
    assert hand.new(1)[-1].way == ("r",) and hand.new(2)[-1].way == ()  # who serves nobody is told none
    hand.hear(-1, Beat(P(), 0, ("p", "o")))  # another way: not only every half of a beat
    assert hand.new(1) == [Beat(P(), 0, ("r", "p", "o"))]
    hand.hear(-1, Beat(P(), 0, ("p", "o")))
    assert hand.new(1) == []
    hand.wait(BEAT)
    hand.hear(-1, Beat(P(), 0, ("p", *map(str, range(MOST_WAY - 1)))))
    assert len(hand.new(1)[-1].way) == MOST_WAY  # what it has no room for is left out
    hand.wait(4 * BEAT)  # silence
    follows(hand, 3, relay=True)
    assert hand.last(3).way == ("r",)


def test_one_that_follows_itself_round_others_turns_to_the_next():
    hand = relay()
    hand.hear(-1, Beat(P(), 0, ("p", "o")))
    assert not hand.closed
    hand.hear(-1, Beat(P(), 0, ("p", "o", "r")))
    assert hand.closed == {-1: "circle"} and hand.notes == ["circle"] and hand.connects[-1][0] == "q"


@pytest.mark.parametrize("around", (2, 3, 7))
@pytest.mark.parametrize("seed", range(1, 9))
def test_relays_in_a_ring_are_back_within_seconds_when_the_publisher_starts_anew(seed, around):
    world = ControlNetwork(seed)
    world.publisher("p")
    world.operator("p")
    for number in range(around):
        world.relay(f"r{number}", 0, ["p", f"r{(number + 1) % around}"])
        world.follower(f"g{number}", 0, [f"r{number}"])
    world.submit(put("a", b"1"))
    world.run(10_000)
    world.nodes["p"].kill()
    world.run(world.chance.randint(0, 8_000))
    world.nodes["p"].born()
    begun = world.now
    world.submit(put("a", b"2"))
    while any(node.machine.position.number < 2 for node in world.nodes.values() if node.name != "operator"):
        world.run(50)
        assert world.now < begun + 60_000
    # The operator's next try (a second), the longest pause of a relay, and one of its followers'; not STALE, 10 s.
    assert world.now - begun < 9_000
    assert sum(node.counts["circle"] for node in world.nodes.values()) > 0 or world.now - begun < 2_000
    world.agreed()
