"""Contracts on real processes: a tenant asks for what is reserved, all others for three times what the sites can
do, and things go wrong meanwhile. Measured from the clients' side alone: what the tenant got in each second."""

import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio

from oakfork.lab.fake_services import FakeDiscovery, FakeServer, ServerWorkload, entry
from oakfork.lab.fault_schedule import Trouble
from oakfork.lab.gateway_processes import GatewayProcesses
from oakfork.lab.lease_drill import plain_configuration
from oakfork.lab.load_generator import LoadGenerator, LoadSettings

RESERVED, CAPACITY, PRESS = 30.0, 90.0, 3.0  # legs a second; all others ask for PRESS times the capacity
GREED = 1.5  # the tenant asks for more than is reserved, or nothing shows a lack
NOTICE = 1.0  # seconds until clients leave a gateway that is down
SERVERS = 6  # each can do a fifth more than its share of the capacity
FIRST_ID = 1 << 20  # customers of all others begin there
KINDS = ("calm", "allotter killed", "allotter stopped", "a gateway cut off", "a third of the servers gone")
POLICIES = ("contracts", "even parts", "no contracts")


class ContractLoadGenerator(LoadGenerator):
    """Open-loop load that keeps by second of meaning what came of it."""

    def __init__(self, load: LoadSettings, first: int) -> None:
        super().__init__(load)
        self.first, self.start = first, trio.current_time()
        self.asked: Counter[int] = Counter()
        self.ok: Counter[int] = Counter()
        self.down: set[tuple[str, int]] = set()  # gateways that the clients' front has noticed to be down

    async def _rpc(self, target: tuple[str, int], customer: int, rpc: int, meant: float) -> None:
        second = int(meant - self.start)
        self.asked[second] += 1
        status = "none"
        up = [other for other in dict.fromkeys(self.targets) if other not in self.down]
        target = target if target not in self.down else up[rpc % len(up)]
        with trio.CancelScope(deadline=meant + self.load.deadline_ms / 1000 + 0.1):
            async with self.room:
                status = await self._exchange(target, self.first + customer, rpc, meant)
        self.answers[status] += 1
        self.ok[second] += status == "200"


@dataclass(frozen=True, slots=True)
class ContractDrill:
    kind: str
    policy: str
    seed: int
    fault_at: int  # the second in which it began; -1: none
    tenant_asked: list[int]  # by second
    tenant_ok: list[int]
    others_ok: list[int]

    def shares(self) -> list[float]:
        """What the tenant got in each second of what it asked for inside what is reserved, without the first
        seconds and the first one after the fault."""
        return [
            min(1.0, ok / min(asked, RESERVED))
            for second, (asked, ok) in enumerate(zip(self.tenant_asked, self.tenant_ok, strict=True))
            if second >= 2 and asked and second not in (self.fault_at, self.fault_at + 1)
        ]

    def kept(self, part: float = 0.99) -> float:
        shares = self.shares()
        return sum(share >= part for share in shares) / len(shares)


def book(index: int) -> dict[str, Any]:
    return {
        "site": [{"name": "here", "legs_per_s": CAPACITY, "home": True}, {"name": "there", "legs_per_s": CAPACITY}],
        "contract": [
            {
                "tenant": "tenant",
                "customers": [f"{0:016x}"],
                "legs_per_s": RESERVED,
                "burst": 24,
                "open": 60,
                "goes": 0,
                "window": [{"from": "2020-01-01T00:00:00Z", "until": "2099-01-01T00:00:00Z"}],
            }
        ],
    }


def contract_drill(
    kind: str, policy: str = "contracts", seed: int = 1, gateways: int = 3, seconds: int = 14, uneven: int = 4
) -> ContractDrill:
    """One drill. The tenant's legs come `uneven` times as often through the first gateway as through each other."""
    fault_at = -1 if kind == "calm" else 5

    def fleet(index: int, addresses: list[str], witness: str) -> dict[str, Any]:
        return {
            "revision": 1,
            "addresses": addresses,
            "leases": {"voters": [0, 1, 2], "length_ms": 1000, "act_ms": 200, "drift_permille": 10},
        }

    async def play(rig: GatewayProcesses, discovery: FakeDiscovery, servers: list[FakeServer]) -> ContractDrill:
        if policy == "even parts":
            for pair in rig.relays.ways:
                rig.relays.ways[pair].cut = True
        await trio.sleep(6.0)  # leases, loans, and what begins empty is full
        told = {
            "customers": 1,
            "connections": 400,
            "method": "GET",
            "lane": "read",
            "tier": "free",
            "deadline_ms": 1500,
        }
        targets = tuple(rig.listens)
        tenant = ContractLoadGenerator(
            LoadSettings((targets[0],) * uneven + targets[1:], RESERVED * GREED, seconds, seed=seed, **told), 0
        )
        told["customers"] = 500
        others = ContractLoadGenerator(
            LoadSettings(targets, PRESS * CAPACITY, seconds, seed=seed + 1000, **told), FIRST_ID
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tenant.run)
            nursery.start_soon(others.run)
            if kind != "calm":
                await trio.sleep(fault_at + 0.5)
                await fault(rig, discovery, servers, nursery, (tenant, others))
        return ContractDrill(
            kind,
            policy,
            seed,
            fault_at,
            [tenant.asked[s] for s in range(seconds)],
            [tenant.ok[s] for s in range(seconds)],
            [others.ok[s] for s in range(seconds)],
        )

    def allotter(rig: GatewayProcesses) -> int:
        """Who said last that it holds that lease."""
        latest = (-1, 0)
        for index in range(gateways):
            for line in (rig.folder / f"n{index}.log").read_text().splitlines():
                if '"task": "allot"' in line and "holds a lease" in line:
                    latest = max(latest, (int(line.split('"term": ')[1].split(",")[0]), index))
        return latest[1]

    async def noticed(rig: GatewayProcesses, whom: int, clients: tuple[ContractLoadGenerator, ...]) -> None:
        host, port = rig.listens[whom].split(":")
        await trio.sleep(NOTICE)
        for client in clients:
            client.down.add((host, int(port)))
        await trio.sleep(4.0)
        for client in clients:
            client.down.clear()

    async def fault(
        rig: GatewayProcesses,
        discovery: FakeDiscovery,
        servers: list[FakeServer],
        nursery: trio.Nursery,
        clients: tuple[ContractLoadGenerator, ...],
    ) -> None:
        if kind in ("allotter killed", "allotter stopped"):
            whom = allotter(rig)
            nursery.start_soon(noticed, rig, whom, clients)
            trouble = Trouble(0.0, "kill" if kind == "allotter killed" else "stop", whom, -1, 4.0, 0.0)
            nursery.start_soon(rig.strike, trouble, whom)
        elif kind == "a gateway cut off":
            nursery.start_soon(rig.strike, Trouble(0.0, "cut", 1, -1, 5.0, 0.0), 1)
        else:
            for server in servers[: len(servers) // 3]:
                server.gone = True
            await trio.sleep(1.0)  # told late
            discovery.change(
                [
                    row | {"state": "removed"} if n < len(servers) // 3 else row
                    for n, row in enumerate(discovery.servers)
                ]
            )

    async def all_of_it(folder: Path) -> ContractDrill:
        mean = SERVERS * 3 / (CAPACITY * 1.2)
        servers = [FakeServer(ServerWorkload(mean=mean, cores=3, waiting=20, seed=seed + n)) for n in range(SERVERS)]
        discovery = FakeDiscovery([entry(n, server.address) for n, server in enumerate(servers)])

        def configure(index: int, listen: str) -> dict[str, Any]:
            told = plain_configuration(index, listen, gateways)
            told["settings"]["discovery"] = "automatic"
            told["limits"]["sockets"] = 1024
            return told | {
                "discovery": discovery.address,
                "known": {"version": 1, "full": True, "servers": discovery.servers},
            }

        extra = {} if policy == "no contracts" else {"contracts": book}
        rig = GatewayProcesses(folder, gateways, seed, configure, fleet, extra)
        async with trio.open_nursery() as nursery:
            for party in (*servers, discovery):
                nursery.start_soon(party.run)
            result = await rig.run(lambda rig: play(rig, discovery, servers))
            nursery.cancel_scope.cancel()
        return result

    with tempfile.TemporaryDirectory(prefix="oakfork-drill-") as name:
        return trio.run(all_of_it, Path(name))
