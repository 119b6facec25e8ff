"""Real gateways under load beside a fleet of hollow ones: they follow the same relays by their fleet files, hold the
same state, and send to the servers of one service that the publisher tells them. The same client asks them with change
sets going on and without, and the servers straight, in blocks whose order a seed draws.
"""

import random
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import trio

from oakfork.control.messages import Kind
from oakfork.errors import DrillProcessError
from oakfork.lab.port_allocator import text
from oakfork.lab.scale import generated_state
from oakfork.lab.scale.added_latency import DIRECT, WITH, WITHOUT, WORK, client_of, over, summed
from oakfork.lab.scale.added_latency_backends import Parties, listed
from oakfork.lab.scale.added_latency_gateways import PROGRAM, Block, Tier, play
from oakfork.lab.scale.fleet_run import Fleet

SERVICE = "beside"
LEASES = {"voters": [0], "length_ms": 3000, "act_ms": 250, "drift_permille": 10}


class Sizes(NamedTuple):
    """Times are seconds. `every`: between change sets, each of a record of the made state and, every other one, of one
    of these gateways' own servers too; 2,000 bunched into an hour come each 1.8 s."""

    gateways: int = 3
    servers: int = 8
    rate: float = 30.0  # RPCs a second a gateway
    aim_ms: float = 1000.0  # soft deadline; the deadline is twice that
    rounds: int = 4  # blocks of each kind
    block: float = 3.0
    warm: float = 1.0
    every: float = 0.5
    ready: float = 120.0  # until they have the state and send where it says


SMALL = Sizes(gateways=2, servers=3, rate=40.0, aim_ms=500.0, rounds=1, block=0.4, warm=0.1, every=0.1, ready=30.0)


class Own:
    """The change sets of the service that the real gateways serve. Each value is another one, as made.Changes' are."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses, self.serial = addresses, 0

    def _server(self, number: int) -> generated_state.Item:
        return {
            "id": f"{SERVICE}-{number}",
            "addr": self.addresses[number],
            "zone": "z",
            "kind": "k",
            "cell": 0,
            "state": "up",
            "weight": 1,
            "started_ms": self.serial,
            "service": SERVICE,
        }

    def begin(self) -> generated_state.Change:
        service = {"name": SERVICE, "methods": [{"name": "read", "aim_ms": 100, "deadline_ms": 400}]}
        return self._change(
            [(Kind.SERVICE, service)] + [(Kind.SERVER, self._server(number)) for number in range(len(self.addresses))]
        )

    def turn(self) -> generated_state.Change:
        """The registered size of one changes: nothing that the choice among servers would notice."""
        self.serial += 1
        item = self._server(self.serial % len(self.addresses))
        return self._change([(Kind.SERVER, item | {"started_ms": 0, "weight": 1 + self.serial % 1000 / 1000})])

    def _change(self, put: list[tuple[Kind, generated_state.Item]]) -> generated_state.Change:
        return generated_state.change(
            f"{SERVICE}-{self.serial}", [((kind, item.get("id") or item["name"]), item) for kind, item in put], []
        )


class Beside:
    def __init__(self, fleet: Fleet, changes: generated_state.Changes, sizes: Sizes, seed: int) -> None:
        self.fleet, self.changes, self.sizes, self.dice = fleet, changes, sizes, random.Random(seed)
        self.published = 0  # times that change sets went out beside the load
        self.failed: DrillProcessError | None = None

    async def run(self) -> dict[str, Any]:
        """What the client saw; raises DrillProcessError where
        the gateways do not start, or do not send where they are told."""
        sizes = self.sizes
        with tempfile.TemporaryDirectory(prefix="oakfork-beside-") as folder, Parties(sizes.servers, WORK) as parties:
            own = Own(parties.addresses)
            await self.fleet.publish(own.begin())
            with Tier(  # whose configurations know the first server alone
                Path(folder),
                "beside",
                PROGRAM,
                sizes.gateways,
                "127.0.0.1:9",
                listed(1, parties.addresses),
                sizes.aim_ms,
                fleet=self._file,
            ) as tier:
                await tier.ready()
                await self._told(tier, parties)
                blocks = await self._blocks(tier, parties, own)
                tier.leave()
            return self._figures(blocks, parties)

    def _file(self, index: int, addresses: list[str]) -> dict[str, Any]:
        relays = [text(self.fleet.relays[relay]) for relay in self.fleet.relays_of(index)]
        return {
            "revision": 1,
            "addresses": addresses,
            "control": {"relays": relays, "service": SERVICE},
            "leases": LEASES,
        }

    def _load(self, seconds: float) -> tuple[float, float, float]:
        return self.sizes.rate * self.sizes.gateways, seconds, 2 * self.sizes.aim_ms

    async def _told(self, tier: Tier, parties: Parties) -> None:
        """Until each gateway sends to a server that its configuration did not know."""
        with trio.move_on_after(self.sizes.ready) as scope:
            for listen in tier.listens:
                others: set[int] = set()
                while not others - {0}:
                    await play([listen], *self._load(self.sizes.warm), self.dice.getrandbits(32))
                    others = {row.server for rows in parties.served().values() for row in rows}
        if scope.cancelled_caught:
            raise DrillProcessError(
                f"the gateways beside the fleet were not told their servers within {self.sizes.ready:g} s"
            )

    async def _blocks(self, tier: Tier, parties: Parties, own: Own) -> dict[str, list[Block]]:
        sizes, kinds = self.sizes, (DIRECT, WITH, WITHOUT)
        blocks: dict[str, list[Block]] = {kind: [] for kind in kinds}
        for kind in [kind for _ in range(sizes.rounds) for kind in self.dice.sample(kinds, len(kinds))]:
            async with trio.open_nursery() as nursery:
                if kind == WITH:
                    nursery.start_soon(self._publish, own)
                await trio.sleep(sizes.warm / 2)
                targets = parties.addresses if kind == DIRECT else tier.listens
                blocks[kind].append(await play(targets, *self._load(sizes.block), self.dice.getrandbits(32)))
                nursery.cancel_scope.cancel()
            if self.failed is not None:
                raise DrillProcessError(str(self.failed)) from self.failed
            await self.fleet.everywhere(self.fleet.acked[-1].position, sizes.ready)
        return blocks

    async def _publish(self, own: Own) -> None:
        """Until it is cancelled; a change set that is under way then is waited for, or its answer would be lost."""
        try:
            while True:
                with trio.CancelScope(shield=True):
                    await self.fleet.publish(self.changes.some())
                    if self.published % 2 == 0:
                        await self.fleet.publish(own.turn())
                    self.published += 1
                await trio.sleep(self.sizes.every)
        except DrillProcessError as error:  # told by itself, not inside the nursery's group
            self.failed = error

    def _figures(self, blocks: dict[str, list[Block]], parties: Parties) -> dict[str, Any]:
        served, found = parties.served(), {}
        for kind, played in blocks.items():
            rows = [row for block in played for row in block.rows if row.status == "200"]
            found[kind] = client_of(rows, served, kind)
            found[kind]["answers"] = summed(block.answers for block in played)
            found[kind]["sent late by the client"] = sum(block.behind for block in played)
        straight = found[DIRECT]["beside the server"]
        added = {kind: over(straight, found[kind]["beside the server"]) for kind in (WITH, WITHOUT)}
        ratio = {
            quantile: round(added[WITH][quantile] / added[WITHOUT][quantile], 3)
            for quantile in ("p50_ms", "p99_ms")
            if added[WITHOUT][quantile] > 0
        }
        return {
            "sizes": self.sizes._asdict(),
            "change_sets": self.published,
            "client": found,
            "added": added,
            "with changes over without": ratio,
        }
