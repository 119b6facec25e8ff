"""Fleets of control_network.py that several files of tests use."""

import msgspec
from control_network import ControlNetwork, put

from oakfork.control.follower import Follower
from oakfork.control.messages import Kind
from oakfork.control.publisher import Publisher
from oakfork.control.relay import Relay

SETTLED = 120_000  # milliseconds: the longest that any of them waits for another, and a round of pauses


def fleet(seed=1, regions=2, each=3, follower=Follower, relay=Relay, publisher=Publisher, **more):
    """A publisher in region 0, two relays a region, some followers at each pair."""
    world = ControlNetwork(seed)
    world.publisher(kind=publisher, **more)
    for region in range(regions):
        others = [f"r{(region + 1) % regions}a"] if regions > 1 else []
        world.relay(f"r{region}a", region, ["p", *others], relay)
        world.relay(f"r{region}b", region, [f"r{region}a", "p"], relay)
        for number in range(each):
            pair = [f"r{region}a", f"r{region}b"]
            world.follower(f"g{region}{number}", region, pair[::-1] if number % 2 else pair, follower)
    world.operator("p")
    return world


def some_rows(chance):
    return [
        put(
            f"s{number}",
            None if chance.random() < 0.15 else chance.randbytes(4),
            chance.choice((Kind.SERVER, Kind.ROUTE)),
        )
        for number in chance.sample(range(40), chance.randint(1, 6))
    ]


def gateways(world):
    return [node for name, node in world.nodes.items() if name.startswith("g")]


def short_histories(world, rows):
    """For all who serve, as long as they live."""
    for node in world.nodes.values():
        if hasattr(node.machine, "follower_server"):
            node.machine.follower_server.history.most_rows = rows
            node.machine.follower_server.history.trim()


def status(world, name="p"):
    return msgspec.json.decode(world.nodes[name].machine.status(world.now))


def with_feeder(kind, base=Relay):
    """The same with another feeder inside."""

    class Made(base):
        def __init__(self, *args, **more):
            super().__init__(*args, **more)
            self.follower_server.__class__ = kind

    return Made
