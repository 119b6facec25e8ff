"""Contract drills on real processes, measured from the clients' side alone.

A tenant asks for somewhat more than its contract reserves, all other customers for three times what the sites can do,
and a fault is injected meanwhile. The result is what the tenant got in each second.
"""

import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import trio

from oakfork.lab.fake_services import FakeDiscovery, FakeServer, ServerWorkload, entry
from oakfork.lab.fault_schedule import ALL_OTHERS, Trouble
from oakfork.lab.gateway_processes import GatewayProcesses
from oakfork.lab.lease_drill import plain_configuration
from oakfork.lab.load_generator import LoadGenerator, LoadSettings

RESERVED = 30.0  # legs per second that the contract reserves for the tenant
CAPACITY = 90.0  # legs per second of each site
OVERLOAD = 3.0  # all other customers ask for this multiple of the capacity
GREED = 1.5  # the tenant asks for this multiple of what is reserved: with less, a shortage would not show
NOTICE = 1.0  # seconds until clients stop using a gateway that is down
AVOIDED = 4.0  # seconds for which clients then avoid it
SERVERS = 6
CORES = 3  # of each server
SPARE_CAPACITY = 1.2  # what the servers can do, over the capacity
FIRST_OTHER_CUSTOMER = 1 << 20  # number of the first customer that is not the tenant
WARM_UP = 6.0  # seconds until leases and loans are in place and the buckets, which start empty, are full
FAULT_SECOND = 5
LOAD = {"connections": 400, "method": "GET", "lane": "read", "tier": "free", "deadline_ms": 1500}
KINDS = ("calm", "allotter killed", "allotter stopped", "a gateway cut off", "a third of the servers gone")
POLICIES = ("contracts", "even parts", "no contracts")


class ContractLoadGenerator(LoadGenerator):
    """Open-loop load that counts RPCs and successes by the second for which an RPC was scheduled."""

    def __init__(self, load: LoadSettings, first_customer: int) -> None:
        """Customers are numbered from `first_customer`; seconds count from now."""
        super().__init__(load)
        self.first_customer = first_customer
        self.start = trio.current_time()
        self.asked: Counter[int] = Counter()
        self.ok: Counter[int] = Counter()
        self.down: set[tuple[str, int]] = set()  # gateways that clients avoid

    async def _rpc(self, target: tuple[str, int], customer: int, rpc: int, scheduled: float) -> None:
        second = int(scheduled - self.start)
        self.asked[second] += 1
        status = "none"
        if target in self.down:
            up = [other for other in dict.fromkeys(self.targets) if other not in self.down]
            target = up[rpc % len(up)]
        with trio.CancelScope(deadline=self._timeout_at(scheduled)):
            async with self.limiter:
                status = await self._exchange(target, self.first_customer + customer, rpc, scheduled)
        self.answers[status] += 1
        self.ok[second] += status == "200"


@dataclass(frozen=True, slots=True)
class ContractDrill:
    """The result of one drill."""

    kind: str
    policy: str
    seed: int
    fault_at: int  # the second in which the fault began; -1: none
    tenant_asked: list[int]  # by second
    tenant_ok: list[int]
    others_ok: list[int]

    def shares(self) -> list[float]:
        """The fraction of what the tenant asked for within its reservation that it got, by second.

        The first two seconds are left out, and so are the one in which the fault began and the next.
        """
        return [
            min(1.0, ok / min(asked, RESERVED))
            for second, (asked, ok) in enumerate(zip(self.tenant_asked, self.tenant_ok, strict=True))
            if second >= 2 and asked and second not in (self.fault_at, self.fault_at + 1)
        ]

    def fraction_kept(self, share: float = 0.99) -> float:
        """The fraction of seconds in which the tenant got at least that share."""
        shares = self.shares()
        return sum(value >= share for value in shares) / len(shares)


def contracts_file(index: int) -> dict[str, Any]:
    """The contracts file of every gateway: two sites, and one contract that is always in force."""
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


def _fleet_file(index: int, addresses: list[str], resource: str) -> dict[str, Any]:
    return {
        "revision": 1,
        "addresses": addresses,
        "leases": {"voters": [0, 1, 2], "length_ms": 1000, "act_ms": 200, "drift_permille": 10},
    }


def contract_drill(
    kind: str,
    policy: str = "contracts",
    seed: int = 1,
    gateways: int = 3,
    seconds: int = 14,
    first_gateway_weight: int = 4,
) -> ContractDrill:
    """Runs one drill with a fault of one of KINDS under one of POLICIES.

    The tenant's RPCs come `first_gateway_weight` times as often through the first gateway as through each other. Raises
    DrillProcessError if the processes do not start.
    """
    drill = _Drill(kind, policy, seed, gateways, seconds, first_gateway_weight)
    with tempfile.TemporaryDirectory(prefix="oakfork-drill-") as name:
        return trio.run(drill.run, Path(name))


class _Drill:
    """Services, gateways and load of one drill."""

    def __init__(
        self, kind: str, policy: str, seed: int, gateways: int, seconds: int, first_gateway_weight: int
    ) -> None:
        self.kind = kind
        self.policy = policy
        self.seed = seed
        self.gateways = gateways
        self.seconds = seconds
        self.first_gateway_weight = first_gateway_weight
        self.fault_at = -1 if kind == "calm" else FAULT_SECOND
        self.servers: list[FakeServer] = []
        self.discovery: FakeDiscovery

    async def run(self, folder: Path) -> ContractDrill:
        """Starts services and gateways, sends the load, and ends all of them."""
        mean = SERVERS * CORES / (CAPACITY * SPARE_CAPACITY)
        self.servers = [
            FakeServer(ServerWorkload(mean=mean, cores=CORES, waiting=20, seed=self.seed + number))
            for number in range(SERVERS)
        ]
        self.discovery = FakeDiscovery([entry(number, server.address) for number, server in enumerate(self.servers)])
        extra = {} if self.policy == "no contracts" else {"contracts": contracts_file}
        processes = GatewayProcesses(folder, self.gateways, self.seed, self._configuration, _fleet_file, extra)
        async with trio.open_nursery() as nursery:
            for service in (*self.servers, self.discovery):
                nursery.start_soon(service.run)
            result = await processes.run(self._measure)
            nursery.cancel_scope.cancel()
        return result

    def _configuration(self, index: int, listen: str) -> dict[str, Any]:
        configuration = plain_configuration(index, listen, self.gateways)
        configuration["settings"]["discovery"] = "automatic"
        configuration["limits"]["sockets"] = 1024
        configuration["discovery"] = self.discovery.address
        configuration["known"] = {"version": 1, "full": True, "servers": self.discovery.servers}
        return configuration

    async def _measure(self, processes: GatewayProcesses) -> ContractDrill:
        if self.policy == "even parts":  # without frames between gateways nothing is lent
            for path in processes.relays.ways.values():
                path.cut = True
        await trio.sleep(WARM_UP)
        targets = tuple(processes.listens)
        tenant_targets = (targets[0],) * self.first_gateway_weight + targets[1:]
        tenant = ContractLoadGenerator(self._load(tenant_targets, RESERVED * GREED, 1, self.seed), 0)
        others = ContractLoadGenerator(
            self._load(targets, OVERLOAD * CAPACITY, 500, self.seed + 1000), FIRST_OTHER_CUSTOMER
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tenant.run)
            nursery.start_soon(others.run)
            if self.kind != "calm":
                await trio.sleep(self.fault_at + 0.5)
                await self._inject_fault(processes, nursery, (tenant, others))
        seconds = range(self.seconds)
        return ContractDrill(
            self.kind,
            self.policy,
            self.seed,
            self.fault_at,
            [tenant.asked[second] for second in seconds],
            [tenant.ok[second] for second in seconds],
            [others.ok[second] for second in seconds],
        )

    def _load(self, targets: tuple[str, ...], rate: float, customers: int, seed: int) -> LoadSettings:
        return LoadSettings(targets, rate, self.seconds, customers=customers, seed=seed, **LOAD)

    async def _inject_fault(
        self, processes: GatewayProcesses, nursery: trio.Nursery, clients: tuple[ContractLoadGenerator, ...]
    ) -> None:
        if self.kind in ("allotter killed", "allotter stopped"):
            gateway = self._allotter(processes)
            nursery.start_soon(self._avoid_gateway, processes, gateway, clients)
            kind = "kill" if self.kind == "allotter killed" else "stop"
            nursery.start_soon(processes.inject, Trouble(0.0, kind, gateway, ALL_OTHERS, 4.0, 0.0), gateway)
        elif self.kind == "a gateway cut off":
            nursery.start_soon(processes.inject, Trouble(0.0, "cut", 1, ALL_OTHERS, 5.0, 0.0), 1)
        else:
            await self._remove_servers(len(self.servers) // 3)

    async def _remove_servers(self, count: int) -> None:
        """Makes the first servers vanish, and lets discovery notice it a second later."""
        for server in self.servers[:count]:
            server.gone = True
        await trio.sleep(1.0)
        rows = self.discovery.servers
        self.discovery.change([row | {"state": "removed"} for row in rows[:count]] + rows[count:])

    def _allotter(self, processes: GatewayProcesses) -> int:
        """The gateway whose log last says that it holds the lease on the allotter's task; 0 if none does."""
        latest = (-1, 0)  # term, gateway
        for index in range(self.gateways):
            for line in processes.log_path(index).read_text().splitlines():
                if '"task": "allot"' in line and "holds a lease" in line:
                    term = int(line.split('"term": ')[1].split(",")[0])
                    latest = max(latest, (term, index))
        return latest[1]

    async def _avoid_gateway(
        self, processes: GatewayProcesses, gateway: int, clients: tuple[ContractLoadGenerator, ...]
    ) -> None:
        """Makes clients avoid a gateway from NOTICE seconds on, for AVOIDED seconds."""
        host, port = processes.listens[gateway].split(":")
        await trio.sleep(NOTICE)
        for client in clients:
            client.down.add((host, int(port)))
        await trio.sleep(AVOIDED)
        for client in clients:
            client.down.clear()
