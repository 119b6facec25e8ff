"""Real gateways under load beside a fleet of hollow ones.

They follow the same relays by their fleet files, hold the same state, and send to the servers of one service that the
publisher announces. One client calls them with and without change sets going out, and calls the servers directly, in
blocks whose order a seed draws.
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
from oakfork.lab.scale.added_latency import DIRECT, SERVER_WORK_S, WITH_CHANGES, WITHOUT_CHANGES
from oakfork.lab.scale.added_latency_backends import Backends, server_entries
from oakfork.lab.scale.added_latency_figures import added_over, client_figures, sum_counts
from oakfork.lab.scale.added_latency_gateways import PROGRAM, Block, GatewayTier, run_block
from oakfork.lab.scale.fleet_run import Fleet

SERVICE = "beside"
LEASES = {"voters": [0], "length_ms": 3000, "act_ms": 250, "drift_permille": 10}
UNUSED_ADDRESS = "127.0.0.1:9"  # of a discovery service: these gateways get their servers from the publisher


class Sizes(NamedTuple):
    """How much is run. Times are seconds.

    `every` is the time between change sets: each changes a record of the generated state, and every other one is
    followed by one of these gateways' own servers. 2,000 change sets bunched into an hour come each 1.8 s.
    """

    gateways: int = 3
    servers: int = 8
    rate: float = 30.0  # RPCs a second a gateway
    aim_ms: float = 1000.0  # soft deadline; the deadline is twice that
    rounds: int = 4  # blocks of each kind
    block: float = 3.0
    warm: float = 1.0
    every: float = 0.5
    ready: float = 120.0  # timeout until the gateways have the state and send to the announced servers


SMALL = Sizes(gateways=2, servers=3, rate=40.0, aim_ms=500.0, rounds=1, block=0.4, warm=0.1, every=0.1, ready=30.0)


class ServiceChanges:
    """The change sets of the service that the real gateways send to.

    No value comes twice, as with generated_state.Changes.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self.serial = 0

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

    def first(self) -> generated_state.Change:
        """The change set that creates the service and all its servers."""
        service = {"name": SERVICE, "methods": [{"name": "read", "aim_ms": 100, "deadline_ms": 400}]}
        servers = [(Kind.SERVER, self._server(number)) for number in range(len(self.addresses))]
        return self._change([(Kind.SERVICE, service)] + servers)

    def next(self) -> generated_state.Change:
        """A change set that changes one server's registered size, which the choice among servers does not notice."""
        self.serial += 1
        item = self._server(self.serial % len(self.addresses))
        return self._change([(Kind.SERVER, item | {"started_ms": 0, "weight": 1 + self.serial % 1000 / 1000})])

    def _change(self, put: list[tuple[Kind, generated_state.Item]]) -> generated_state.Change:
        items = [((kind, item.get("id") or item["name"]), item) for kind, item in put]
        return generated_state.change(f"{SERVICE}-{self.serial}", items, [])


class RealGatewayLoad:
    """Runs the real gateways and the client that calls them, beside a running fleet."""

    def __init__(self, fleet: Fleet, changes: generated_state.Changes, sizes: Sizes, seed: int) -> None:
        self.fleet = fleet
        self.changes = changes
        self.sizes = sizes
        self.random = random.Random(seed)
        self.published = 0  # times that change sets went out beside the load
        self.failure: DrillProcessError | None = None

    async def run(self) -> dict[str, Any]:
        """Returns what the client saw.

        Raises DrillProcessError where the gateways do not start, or do not send to the servers that are announced.
        """
        sizes = self.sizes
        with (
            tempfile.TemporaryDirectory(prefix="oakfork-beside-") as folder,
            Backends(sizes.servers, SERVER_WORK_S) as backends,
        ):
            service_changes = ServiceChanges(backends.addresses)
            await self.fleet.publish(service_changes.first())
            with GatewayTier(  # whose configurations name the first server only
                Path(folder),
                "beside",
                PROGRAM,
                sizes.gateways,
                UNUSED_ADDRESS,
                server_entries(1, backends.addresses),
                sizes.aim_ms,
                fleet=self._fleet_file,
            ) as tier:
                await tier.ready()
                await self._wait_for_servers(tier, backends)
                blocks = await self._blocks(tier, backends, service_changes)
                tier.leave()
            return self._figures(blocks, backends)

    def _fleet_file(self, index: int, addresses: list[str]) -> dict[str, Any]:
        relays = [text(self.fleet.relay_addresses[relay]) for relay in self.fleet.relays_of(index)]
        return {
            "revision": 1,
            "addresses": addresses,
            "control": {"relays": relays, "service": SERVICE},
            "leases": LEASES,
        }

    def _load(self, seconds: float) -> tuple[float, float, float]:
        """RPCs a second, seconds, and the deadline in milliseconds."""
        return self.sizes.rate * self.sizes.gateways, seconds, 2 * self.sizes.aim_ms

    async def _wait_for_servers(self, tier: GatewayTier, backends: Backends) -> None:
        """Calls each gateway until it sends to a server that its configuration does not name."""
        with trio.move_on_after(self.sizes.ready) as scope:
            for listen in tier.listens:
                servers: set[int] = set()
                while not servers - {0}:
                    await run_block([listen], *self._load(self.sizes.warm), self.random.getrandbits(32))
                    servers = {rpc.server for rpcs in backends.served().values() for rpc in rpcs}
        if scope.cancelled_caught:
            raise DrillProcessError(
                f"the real gateways did not send to the announced servers within {self.sizes.ready:g} s"
            )

    async def _blocks(
        self, tier: GatewayTier, backends: Backends, service_changes: ServiceChanges
    ) -> dict[str, list[Block]]:
        sizes = self.sizes
        kinds = (DIRECT, WITH_CHANGES, WITHOUT_CHANGES)
        blocks: dict[str, list[Block]] = {kind: [] for kind in kinds}
        order = [kind for _ in range(sizes.rounds) for kind in self.random.sample(kinds, len(kinds))]
        for kind in order:
            async with trio.open_nursery() as nursery:
                if kind == WITH_CHANGES:
                    nursery.start_soon(self._publish, service_changes)
                await trio.sleep(sizes.warm / 2)
                targets = backends.addresses if kind == DIRECT else tier.listens
                blocks[kind].append(await run_block(targets, *self._load(sizes.block), self.random.getrandbits(32)))
                nursery.cancel_scope.cancel()
            if self.failure is not None:
                raise DrillProcessError(str(self.failure)) from self.failure
            await self.fleet.wait_until_in_force(self.fleet.acknowledged[-1].position, sizes.ready)
        return blocks

    async def _publish(self, service_changes: ServiceChanges) -> None:
        """Publishes change sets until it is cancelled; one in flight is waited for, or its answer would be lost."""
        try:
            while True:
                with trio.CancelScope(shield=True):
                    await self.fleet.publish(self.changes.some())
                    if self.published % 2 == 0:
                        await self.fleet.publish(service_changes.next())
                    self.published += 1
                await trio.sleep(self.sizes.every)
        except DrillProcessError as error:  # raised by `_blocks`, outside an exception group
            self.failure = error

    def _figures(self, blocks: dict[str, list[Block]], backends: Backends) -> dict[str, Any]:
        served = backends.served()
        client: dict[str, Any] = {}
        for kind, of_kind in blocks.items():
            timings = [timing for block in of_kind for timing in block.timings if timing.status == "200"]
            client[kind] = client_figures(timings, served, kind)
            client[kind]["answers"] = sum_counts(block.answers for block in of_kind)
            client[kind]["sent late by the client"] = sum(block.behind for block in of_kind)
        direct = client[DIRECT]["beside the server"]
        added = {
            kind: added_over(direct, client[kind]["beside the server"]) for kind in (WITH_CHANGES, WITHOUT_CHANGES)
        }
        ratio = {
            quantile: round(added[WITH_CHANGES][quantile] / added[WITHOUT_CHANGES][quantile], 3)
            for quantile in ("p50_ms", "p99_ms")
            if added[WITHOUT_CHANGES][quantile] > 0
        }
        return {
            "sizes": self.sizes._asdict(),
            "change_sets": self.published,
            "client": client,
            "added": added,
            "with changes over without": ratio,
        }
