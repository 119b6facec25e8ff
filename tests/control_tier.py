"""A publisher, relays and agents over real sockets in one event loop."""

import json
from contextlib import asynccontextmanager

import structlog
import trio

from oakfork.control import agent as agents, client, status_text
from oakfork.control.config import PublisherConfig, RelayConfig
from oakfork.control.connections import listen
from oakfork.control.database import Database
from oakfork.control.processes import publisher_engine, relay_engine

LOG = structlog.get_logger()
LOOPBACK = ("127.0.0.1", 0)
TIMEOUT = 25  # seconds; nothing takes so long unless it is broken
TEST_TIMEOUT = 60  # seconds
EGRESS = 4_000_000  # bytes per second
MAX_LINKS = 64
LOG_SETS = 4096  # of the publisher's database
IDS = 65_536  # of the publisher's database


async def until(done):
    """Waits until a condition holds."""
    with trio.fail_after(TIMEOUT):
        while not done():
            await trio.sleep(0.005)


def address_of(listener):
    """HOST:PORT of a listener."""
    return "{}:{}".format(*listener.socket.getsockname()[:2])


def publisher_config(name, above_term=0, others=()):
    """The configuration of a publisher; its database is passed separately."""
    return PublisherConfig(name, "here", LOOPBACK, "", EGRESS, MAX_LINKS, LOG_SETS, IDS, above_term, others)


class ControlTier:
    """A publisher, two relays that follow it, and agents that follow the relays, in one event loop."""

    def __init__(self, path, nursery):
        self.path = path
        self.nursery = nursery
        self.scopes = {}  # cancel scopes by name
        self.handed_over = []  # slices of servers that the first agent handed over

    async def start(self, followers=3):
        """Starts the publisher, the relays and so many agents."""
        listener = listen(LOOPBACK)
        self.database = Database(self.path)
        self.publisher = publisher_engine(publisher_config("p"), self.database, LOG)
        self.publisher_address = address_of(listener)
        self.run("p", self.publisher.run, listener)
        self.relays = []
        self.relay_addresses = []
        for name in ("r1", "r2"):
            self._start_relay(name)
        self.agents = [self._agent(number) for number in range(followers)]
        for agent in self.agents:
            self.run(agent.machine.name, agent.run)

    def _start_relay(self, name):
        config = RelayConfig(name, "here", LOOPBACK, (self.publisher_address,), EGRESS, MAX_LINKS)
        engine = relay_engine(config, LOG)
        listener = listen(config.listen)
        self.run(name, engine.run, listener)
        self.relays.append(engine)
        self.relay_addresses.append(address_of(listener))

    def _agent(self, number):
        relays = self.relay_addresses if number % 2 else self.relay_addresses[::-1]
        return agents.Agent(f"g{number}", relays, number, LOG, None if number else self.handed_over.append)

    def run(self, name, task, *arguments):
        """Runs a task that `self.scopes[name]` cancels."""

        async def scoped():
            with self.scopes[name]:
                await task(*arguments)

        self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(scoped)

    async def publish(self, change):
        """Publishes a change set that must be accepted; returns its position."""
        result = await client.publish(self.publisher_address, change["id"], json.dumps(change).encode())
        assert result.faults == (), result.faults
        return result.position

    async def wait_everywhere(self, position, followers=3):
        """Waits until a position is in force everywhere according to the status; returns the status."""
        with trio.fail_after(TIMEOUT):
            while not status_text.in_force_everywhere(
                status := await client.status(self.publisher_address), position, followers
            ):
                await trio.sleep(0.02)
        assert all(agent.position >= position for agent in self.agents)
        return status


def run_with_tier(path, test, **more):
    """Runs an asynchronous test with a ControlTier."""

    async def main():
        with trio.fail_after(TEST_TIMEOUT):
            async with running_tier(path, **more) as tier:
                await test(tier)

    trio.run(main)


@asynccontextmanager
async def running_tier(path, **more):
    """A ControlTier that is running, with its database in a folder."""
    async with trio.open_nursery() as nursery:
        tier = ControlTier(path / "db", nursery)
        await tier.start(**more)
        yield tier
        nursery.cancel_scope.cancel()
    tier.database.close()


def servers(numbers, id, service="search", **more):
    """A change set that puts servers, all with the same values except for id and address."""
    return {
        "id": id,
        "put": {
            "servers": [
                {
                    "id": f"s{number}",
                    "addr": f"10.1.{number // 250}.{number % 250}:80",
                    "zone": "east",
                    "kind": "",
                    "cell": 1,
                    "state": "up",
                    "weight": 1,
                    "started_ms": 0,
                    "service": service,
                }
                | more
                for number in numbers
            ]
        },
    }
