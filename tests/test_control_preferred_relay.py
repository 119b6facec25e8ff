"""Followers return to the first of their relays after a detour, once it is usable again."""

from collections import Counter

from control_network import ControlNetwork, put

from oakfork.control.follower import Phase
from oakfork.control.relay_selection import MAX_PREFERRED_RETRY, PREFERRED_RETRY

MINUTE = 60_000  # milliseconds


def follower_of(network, name):
    """The follower of a gateway or in a relay."""
    machine = network.nodes[name].machine
    return getattr(machine, "follower", machine)


def followed_by(network, name):
    """The relay that a node follows; None if it follows none now."""
    follower = follower_of(network, name)
    return follower.selection.current if follower.phase is Phase.FOLLOWING else None


def tier(seed, relays=4, followers_per_relay=3):
    """Relays that prefer the publisher over their neighbour, and gateways that prefer one relay over the next one."""
    network = ControlNetwork(seed)
    network.publisher()
    network.operator("p")
    for number in range(relays):
        network.relay(f"r{number}", 0, ["p", f"r{(number + 1) % relays}"])
    for number in range(relays * followers_per_relay):
        network.follower(f"g{number}", 0, [f"r{number % relays}", f"r{(number + 1) % relays}"])
    network.submit(put("a", b"1"))
    network.run(10_000)
    return network


def follow_preferred(network, names):
    """Whether each of some nodes follows the relay that it prefers."""
    return {name: followed_by(network, name) == follower_of(network, name).selection.relays[0] for name in names}


def test_gateways_return_to_their_relays_after_all_were_restarted_in_turn():
    """Guards against detours that stay: most gateways followed the relays that were restarted last."""
    network = tier(1)
    gateways = [f"g{number}" for number in range(12)]
    for number in range(4):
        network.nodes[f"r{number}"].kill()
        network.run(2_000)
        network.nodes[f"r{number}"].start()
        network.run(10_000)
    assert not all(follow_preferred(network, gateways).values())
    network.run(2 * PREFERRED_RETRY)
    assert all(follow_preferred(network, gateways).values())
    followed = Counter(followed_by(network, name) for name in gateways)
    assert followed == {f"r{number}": 3 for number in range(4)}
    network.submit(put("a", b"2"))
    network.run(5_000)
    network.check_agreement()


def test_relays_return_to_the_publisher_from_a_chain_of_relays():
    """Relays that followed one another while the publisher was down follow it directly again."""
    for seed in range(4):
        network = tier(seed)
        relays = [f"r{number}" for number in range(4)]
        network.nodes["p"].kill()
        network.run(15_000)
        network.nodes["p"].start()
        network.run(3 * PREFERRED_RETRY)
        assert all(follow_preferred(network, relays).values()), seed
        network.submit(put("a", b"2"))
        network.run(5_000)
        network.check_agreement()


def test_a_preferred_relay_that_is_down_is_tried_less_and_less_often():
    """Trying it costs its followers no change set, and they return when it is back."""
    network = tier(2)
    network.nodes["r0"].kill()
    network.run(10_000)
    tries = []
    connect = network.connect

    def recording_connect(low, address, number, life):
        if low.name == "g0" and address == "r0":
            tries.append(network.now)
        connect(low, address, number, life)

    network.connect = recording_connect
    for number in range(60):
        network.submit(put("a", b"%d" % number))
        network.run(MINUTE, max_steps=4_000_000)
        assert network.nodes["g0"].machine.position == network.nodes["p"].machine.position
    assert 3 <= len(tries) <= 8
    waits = [after - before for before, after in zip(tries, tries[1:], strict=False)]
    assert waits == sorted(waits) or max(waits) >= MAX_PREFERRED_RETRY / 2
    network.nodes["r0"].start()
    network.run(2 * MAX_PREFERRED_RETRY + MINUTE, max_steps=8_000_000)
    assert followed_by(network, "g0") == "r0"
    assert network.nodes["g0"].machine.selection.preferred_wait == PREFERRED_RETRY


def test_a_preferred_relay_that_has_not_heard_of_the_publisher_is_left_at_once():
    """Returning to a relay that is cut off from the publisher doesn't delay change sets."""
    network = ControlNetwork(3)
    network.publisher()
    network.operator("p")
    network.relay("apart", 1, ["p"])
    network.relay("well", 0, ["p"])
    network.follower("g", 1, ["apart", "well"])
    network.submit(put("a", b"1"))
    network.run(10_000)
    assert followed_by(network, "g") == "apart"
    network.is_cut = lambda one, other: {one.name, other.name} == {"apart", "p"}  # but not from the gateway
    network.run(40_000)
    assert followed_by(network, "g") == "well"
    for number in range(20):
        network.submit(put("a", b"later %d" % number))
        network.run(10_000)
        assert network.nodes["g"].machine.position == network.nodes["p"].machine.position, number
    assert network.nodes["g"].counts["home"] >= 1 and network.nodes["g"].counts["home is behind"] >= 1
    assert followed_by(network, "g") == "well"


def test_a_single_relay_is_never_left_for_the_preferred_one():
    """With one relay there is nothing to return to, so its connection stays."""
    network = ControlNetwork(4)
    network.publisher()
    network.operator("p")
    network.follower("g", 0, ["p"])
    network.submit(put("a", b"1"))
    network.run(5 * MINUTE, max_steps=4_000_000)
    assert followed_by(network, "g") == "p" and not network.nodes["g"].counts
