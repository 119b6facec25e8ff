"""After a detour: back to the first of the relays that one was told, when that is well again."""

from collections import Counter

from control_network import ControlNetwork, put

from oakfork.control.follower import HOME, LONGEST_HOME, Phase

MINUTE = 60_000


def follower(world, name):
    machine = world.nodes[name].machine
    return getattr(machine, "follower", machine)


def follows(world, name):
    machine = follower(world, name)
    return machine.relays[machine.place] if machine.phase is Phase.FOLLOWING else None


def tier(seed, relays=4, each=3):
    """Relays before one publisher, each also another way; gateways with a relay of their own and another one."""
    world = ControlNetwork(seed)
    world.publisher()
    world.operator("p")
    for number in range(relays):
        world.relay(f"r{number}", 0, ["p", f"r{(number + 1) % relays}"])
    for number in range(relays * each):
        world.follower(f"g{number}", 0, [f"r{number % relays}", f"r{(number + 1) % relays}"])
    world.submit(put("a", b"1"))
    world.run(10_000)
    return world


def at_home(world, names):
    return {name: follows(world, name) == follower(world, name).relays[0] for name in names}


def test_after_all_relays_were_restarted_in_turn_each_has_its_gateways_again():
    """Guards against detours that stay: without a way back most gateways followed the relays that were restarted
    last."""
    world = tier(1)
    gateways = [f"g{number}" for number in range(12)]
    for number in range(4):
        world.nodes[f"r{number}"].kill()
        world.run(2_000)
        world.nodes[f"r{number}"].born()
        world.run(10_000)
    assert not all(at_home(world, gateways).values())
    world.run(2 * HOME)
    assert all(at_home(world, gateways).values())
    assert Counter(follows(world, name) for name in gateways) == {f"r{number}": 3 for number in range(4)}
    world.submit(put("a", b"2"))
    world.run(5_000)
    world.agreed()


def test_relays_follow_the_publisher_again_and_not_one_another_in_a_chain():
    for seed in range(4):
        world = tier(seed)
        relays = [f"r{number}" for number in range(4)]
        world.nodes["p"].kill()
        world.run(15_000)
        world.nodes["p"].born()
        world.run(3 * HOME)
        assert all(at_home(world, relays).values()), seed
        world.submit(put("a", b"2"))
        world.run(5_000)
        world.agreed()


def test_a_first_relay_that_is_down_costs_nothing_and_is_tried_seldomer_and_seldomer():
    world = tier(2)
    world.nodes["r0"].kill()
    world.run(10_000)
    tries, connect = [], world.connect

    def counted(low, place, number, life):
        if low.name == "g0" and place == "r0":
            tries.append(world.now)
        connect(low, place, number, life)

    world.connect = counted
    for number in range(60):
        world.submit(put("a", b"%d" % number))
        world.run(MINUTE, most=4_000_000)
        assert world.nodes["g0"].machine.position == world.nodes["p"].machine.position
    assert 3 <= len(tries) <= 8
    waits = [after - before for before, after in zip(tries, tries[1:], strict=False)]
    assert waits == sorted(waits) or max(waits) >= LONGEST_HOME / 2
    world.nodes["r0"].born()
    world.run(2 * LONGEST_HOME + MINUTE, most=8_000_000)
    assert follows(world, "g0") == "r0" and world.nodes["g0"].machine.home_wait == HOME


def test_a_first_relay_that_has_not_heard_of_the_publisher_is_left_at_once():
    world = ControlNetwork(3)
    world.publisher()
    world.operator("p")
    world.relay("apart", 1, ["p"])
    world.relay("well", 0, ["p"])
    world.follower("g", 1, ["apart", "well"])
    world.submit(put("a", b"1"))
    world.run(10_000)
    assert follows(world, "g") == "apart"
    world.is_cut = lambda one, other: {one.name, other.name} == {"apart", "p"}  # from here on, but not from g
    world.run(40_000)
    assert follows(world, "g") == "well"
    for number in range(20):
        world.submit(put("a", b"later %d" % number))
        world.run(10_000)
        assert world.nodes["g"].machine.position == world.nodes["p"].machine.position, number
    assert world.nodes["g"].counts["home"] >= 1 and world.nodes["g"].counts["home is behind"] >= 1
    assert follows(world, "g") == "well"


def test_with_one_relay_there_is_no_other_home():
    world = ControlNetwork(4)
    world.publisher()
    world.operator("p")
    world.follower("g", 0, ["p"])
    world.submit(put("a", b"1"))
    world.run(5 * MINUTE, most=4_000_000)
    assert follows(world, "g") == "p" and not world.nodes["g"].counts
