"""Bursts: change sets come faster than those who follow take them, and are merged on the way."""

from control_network import ControlNetwork, put
from control_peer import P, ScriptedPeer, follows, goes_on, served
from control_verifier import filled

from oakfork.control.events import Connected, InForce, TimeCame
from oakfork.control.follower import Follower
from oakfork.control.follower_server import FollowerServer
from oakfork.control.messages import VERSION, Ack, Beat, Delta, Digests, Want, Welcome
from oakfork.control.state import Records, as_changes, total_digest, updated_sums


def jumps(hand, *rows):
    """Several change sets come into force at once, as with a relay that lags."""
    machine, changes = hand.machine, as_changes(rows)
    machine.store.commit(changes, updated_sums(machine.store, changes))
    machine.store.compact()
    hand.take(machine.in_force(hand.now, InForce(machine.position, P(1, machine.position.number + 3), changes)))


def test_one_that_stands_where_several_change_sets_came_at_once_gets_a_delta():
    """Guards against ranges for all who move between relays in a burst: of 2,700 gateways 346 were not up to date 60 s
    after 2,000 change sets in a row (full size); each relay had passed over other positions."""
    hand = served([put("a", b"1"), put("b", b"1")])
    jumps(hand, put("a", b"2"), put("c", b"1"))
    jumps(hand, put("b", b"2"))
    for number, rows in (
        (5, {"a": b"2", "c": b"1", "b": b"2"}),
        (6, {"a": b"2", "c": b"1", "b": b"2"}),
        (8, {"b": b"2"}),
        (9, {"b": b"2"}),
    ):
        follows(hand, number, position=P(1, number), digest=number)
        told = hand.last(number)
        assert isinstance(told, Delta) and told.digest == total_digest(hand.machine.store.sums)
        assert (told.after, told.position) == (P(1, number), P(1, 10))
        assert {row.name: row.value for row in told.rows} == rows
    follows(hand, 1, position=P(1, 3))
    assert isinstance(hand.last(1), Digests)  # before all that is known


def test_one_of_another_lineage_finds_that_out_and_gets_ranges():
    """What it has beyond the position before stays in its state: the digest differs, and it says so."""
    hand = served([put("a", b"1")])
    jumps(hand, put("b", b"2"))
    follows(hand, 1, position=P(1, 6), digest=5)
    assert isinstance(hand.last(1), Delta)
    hand.hear(1, Ack(P(1, 6), 5 ^ 1))
    assert isinstance(hand.last(1), Digests)
    hand.hear(1, Want(()))
    goes_on(hand, put("c", b"1"))
    hand.hear(1, Ack(P(1, 7), 99))  # elsewhere, and damaged there
    assert isinstance(hand.last(1), Digests)


def test_a_whole_state_is_no_step_that_one_may_have_passed():
    hand = ScriptedPeer(FollowerServer("it", Records(), P(), lambda now: 0))
    jumps(hand, put("a", b"1"))  # from nothing to (1, 3)
    follows(hand, 1, position=P(1, 2), digest=7)
    assert isinstance(hand.last(1), Digests)


def test_one_that_goes_on_but_is_never_up_to_date_does_not_turn():
    """Guards against turning in a burst, from relay to relay that are all busy: 1,963 times of 2,700 gateways, while
    2,000 change sets came in a row (full size)."""
    hand = ScriptedPeer(Follower("me", ["one", "two"], filled([]), P(1, 1)))
    hand.do(TimeCame())
    hand.do(Connected(-1))
    hand.hear(-1, Welcome(VERSION, "it", P(1, 1)), Beat(P(1, 1), 0))
    for number in range(2, 62):
        row = put("a", b"%d" % number)
        digest = total_digest(updated_sums(hand.machine.store, as_changes([row])))
        hand.hear(-1, Delta(P(1, number - 1), P(1, number), digest, (row,), False))
        hand.hear(-1, Beat(P(1, number + 5), number * 1_000))
        hand.wait(1_000)
    assert hand.closed == {} and hand.machine.position == P(1, 61)
    for _ in range(25):  # where it is up to date, and the relay has long not heard of the publisher, it does
        hand.hear(-1, Beat(P(1, 61), 90_000))
        hand.wait(1_000)
    assert hand.closed[-1] == "stale"


def test_all_come_to_the_last_of_many_without_ranges_though_some_change_relays_meanwhile():
    world = ControlNetwork(7)
    world.publisher()
    world.operator("p")
    for number in range(3):
        world.relay(f"r{number}", 0, ["p"])
    for number in range(9):
        world.follower(f"g{number}", 0, [f"r{number % 3}", f"r{(number + 1) % 3}"])
    world.submit(put("a", b"0"))
    world.run(10_000)
    for number in range(400):
        world.submit(put(f"s{number % 50}", b"%d" % number))
        if not number % 10:
            world.nodes[f"r{world.chance.randrange(3)}"].stop(world.chance.randint(500, 4_000))  # others go on
        if not number % 2:
            world.nodes[f"g{world.chance.randrange(9)}"].break_links()
        world.run(300)
    world.run(60_000)
    world.agreed()
    assert world.sent["Range"] == world.sent["Digests"] == 0
