"""A publisher, relays and agents over real sockets in one loop."""

import json
from contextlib import asynccontextmanager

import structlog
import trio

from oakfork.control import agent as agents, client, status_text
from oakfork.control.config import PublisherFile, RelayFile
from oakfork.control.connections import listen
from oakfork.control.database import Database
from oakfork.control.processes import publisher_engine, relay_engine

LOG = structlog.get_logger()
HERE = ("127.0.0.1", 0)
WAIT = 25  # seconds; nothing waits so long unless it is broken


async def until(done):
    with trio.fail_after(WAIT):
        while not done():
            await trio.sleep(0.005)


def place_of(listener):
    return "{}:{}".format(*listener.socket.getsockname()[:2])


class ControlTier:
    """A publisher, two relays that follow it, and agents that follow the relays, in one loop."""

    def __init__(self, path, nursery):
        self.path, self.nursery, self.scopes = path, nursery, {}
        self.given = []  # slices of servers that the first agent was given

    async def start(self, followers=3):
        file = PublisherFile("p", "here", HERE, "", 4_000_000, 64, 4096, 65_536, 0)
        listener, self.database = listen(HERE), Database(self.path)
        self.publisher, self.publisher_at = publisher_engine(file, self.database, LOG), place_of(listener)
        self.run("p", self.publisher.run, listener)
        self.relays, self.relays_at = [], []
        for name in ("r1", "r2"):
            file = RelayFile(name, "here", HERE, (self.publisher_at,), 4_000_000, 64)
            engine, listener = relay_engine(file, LOG), listen(file.listen)
            self.run(name, engine.run, listener)
            self.relays.append(engine)
            self.relays_at.append(place_of(listener))
        self.agents = [
            agents.Agent(
                f"g{number}",
                self.relays_at if number % 2 else self.relays_at[::-1],
                number,
                LOG,
                None if number else self.given.append,
            )
            for number in range(followers)
        ]
        for agent in self.agents:
            self.run(agent.machine.who, agent.run)

    def run(self, name, work, *told):
        async def scoped():
            with self.scopes[name]:
                await work(*told)

        self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(scoped)

    async def publish(self, change):
        verdict = await client.publish(self.publisher_at, change["id"], json.dumps(change).encode())
        assert verdict.faults == (), verdict.faults
        return verdict.position

    async def everywhere(self, position, followers=3):
        with trio.fail_after(WAIT):
            while not status_text.in_force_everywhere(
                told := await client.status(self.publisher_at), position, followers
            ):
                await trio.sleep(0.02)
        assert all(agent.position >= position for agent in self.agents)
        return told


def play(path, work, **more):
    async def main():
        with trio.fail_after(60):
            async with tier(path, **more) as it:
                await work(it)

    trio.run(main)


@asynccontextmanager
async def tier(path, **more):
    async with trio.open_nursery() as nursery:
        it = ControlTier(path / "db", nursery)
        await it.start(**more)
        yield it
        nursery.cancel_scope.cancel()
    it.database.close()


def servers(numbers, id, service="search", **more):
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
