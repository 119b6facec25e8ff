"""Networks of control_network.py that several test files use."""

import msgspec
from control_network import ControlNetwork, put

from oakfork.control.follower import Follower
from oakfork.control.messages import Kind
from oakfork.control.publisher import Publisher
from oakfork.control.relay import Relay

SETTLED = 120_000  # milliseconds: the longest that any process waits for another, and a round of pauses


def fleet(seed=1, regions=2, each=3, follower=Follower, relay=Relay, publisher=Publisher, **more):
    """A publisher in region 0, two relays in each region, and `each` followers of every two relays."""
    network = ControlNetwork(seed)
    network.publisher(kind=publisher, **more)
    for region in range(regions):
        other_relays = [f"r{(region + 1) % regions}a"] if regions > 1 else []
        network.relay(f"r{region}a", region, ["p", *other_relays], relay)
        network.relay(f"r{region}b", region, [f"r{region}a", "p"], relay)
        for number in range(each):
            pair = [f"r{region}a", f"r{region}b"]
            network.follower(f"g{region}{number}", region, pair[::-1] if number % 2 else pair, follower)
    network.operator("p")
    return network


def random_rows(random):
    """One to six rows of a few keys, some of them removals."""
    return [
        put(
            f"s{number}",
            None if random.random() < 0.15 else random.randbytes(4),
            random.choice((Kind.SERVER, Kind.ROUTE)),
        )
        for number in random.sample(range(40), random.randint(1, 6))
    ]


def gateways(network):
    """The nodes of followers that serve no one."""
    return [node for name, node in network.nodes.items() if name.startswith("g")]


def shorten_histories(network, rows):
    """Bounds the histories of all publishers and relays that run now."""
    for node in network.nodes.values():
        if hasattr(node.machine, "follower_server"):
            node.machine.follower_server.history.max_rows = rows
            node.machine.follower_server.history.trim()


def status(network, name="p"):
    """The status of a publisher or relay."""
    return msgspec.json.decode(network.nodes[name].machine.status(network.now))


def with_follower_server(kind, base=Relay):
    """A relay or publisher class with another class of follower server."""

    class Modified(base):
        """The base class with that follower server."""

        def __init__(self, *arguments, **more):
            super().__init__(*arguments, **more)
            self.follower_server.__class__ = kind

    return Modified
