"""Open-loop load on real gateways over loopback. Latency counts from when an RPC was meant to be sent, so that a
gateway that stalls is not spared the RPCs that would have come meanwhile (no coordinated omission)."""

import ipaddress
from collections import Counter, deque
from dataclasses import dataclass, field

import h11
import numpy
import trio
from hdrh.histogram import HdrHistogram

from oakfork.errors import ConfigurationError, ConnectionFailedError, LoadSettingsError
from oakfork.sockets.configuration import Address, parse_address
from oakfork.sockets.http_connection import HttpConnection, connect

MOST_RPCS = 1_000_000
BEHIND = 0.010  # seconds: later than that, the generator itself was late
LONGEST = 600 * 10_000
CONNECT = 1.0  # seconds for a connection to come up


@dataclass(frozen=True, slots=True)
class LoadSettings:
    gateways: tuple[str, ...]
    rate: float
    seconds: float
    connections: int
    customers: int
    method: str
    lane: str
    tier: str
    deadline_ms: int
    seed: int


@dataclass(slots=True)
class Report:
    asked: int
    answers: dict[str, int]  # by status; "none": no answer in time
    latency_ms: dict[str, float]  # of 200s, from the time meant
    service_ms: dict[str, float]  # of 200s, from the time sent
    behind: int  # sent late by the generator's own fault
    worst_behind_ms: float
    waited: int  # for one of the connections, which were all busy
    connections: int
    seconds: float
    bodies_wrong: int = 0
    notes: list[str] = field(default_factory=list)

    def text(self) -> str:
        lines = [
            f"{self.asked} RPCs in {self.seconds:.1f} s: "
            + ", ".join(f"{status}: {n}" for status, n in self.answers.items()),
            "latency from the time meant, ms: " + _words(self.latency_ms),
            "latency from the time sent, ms: " + _words(self.service_ms),
            f"{self.connections} connections, {self.waited} RPCs waited for one",
        ]
        return "\n".join(lines + self.notes)


def _words(quantiles: dict[str, float]) -> str:
    return ", ".join(f"{name} {value:.1f}" for name, value in quantiles.items())


def loopback(text: str) -> Address:
    """The address, if it is one of this machine's loopback; names are not looked up."""
    try:
        host, port = parse_address(text)
        inside = ipaddress.ip_address(host).is_loopback
    except (ConfigurationError, ValueError):
        raise LoadSettingsError(f"not an address of the form 127.0.0.1:8443: {text!r}") from None
    if not inside:
        raise LoadSettingsError(f"only loopback addresses are loaded, not {host}")
    return host, port


class LoadGenerator:
    def __init__(self, load: LoadSettings) -> None:
        self.load, self.targets = load, [loopback(text) for text in load.gateways]
        if load.rate * load.seconds > MOST_RPCS:
            raise LoadSettingsError(f"over {MOST_RPCS} RPCs")
        self.dice = numpy.random.default_rng(load.seed)
        self.answers: Counter[str] = Counter()
        self.latency, self.service = HdrHistogram(1, LONGEST, 3), HdrHistogram(1, LONGEST, 3)
        self.free: dict[Address, deque[HttpConnection]] = {target: deque() for target in self.targets}
        self.room = trio.CapacityLimiter(load.connections)
        self.opened = self.behind = self.waited = self.wrong = 0
        self.worst = 0.0

    async def run(self) -> Report:
        load, dice, sent = self.load, self.dice, 0
        start, meant = trio.current_time(), 0.0
        async with trio.open_nursery() as nursery:
            while (meant := meant + dice.exponential(1 / load.rate)) < load.seconds:
                if (wait := start + meant - trio.current_time()) > 0:
                    await trio.sleep(wait)
                late = trio.current_time() - start - meant
                self.worst = max(self.worst, late)
                self.behind += late > BEHIND
                target = self.targets[int(dice.integers(len(self.targets)))]
                customer, rpc = int(dice.integers(load.customers)), int(dice.integers(1 << 63))
                nursery.start_soon(self._rpc, target, customer, rpc, start + meant)
                sent += 1
                await trio.lowlevel.checkpoint()
        for kept in self.free.values():
            for link in kept:
                link.close()
        return self._report(sent, trio.current_time() - start)

    async def _rpc(self, target: Address, customer: int, rpc: int, meant: float) -> None:
        status = "none"
        with trio.CancelScope(deadline=meant + self.load.deadline_ms / 1000 + 0.1):
            self.waited += self.room.available_tokens == 0
            async with self.room:
                status = await self._exchange(target, customer, rpc, meant)
        self.answers[status] += 1

    async def _exchange(self, target: Address, customer: int, rpc: int, meant: float) -> str:
        """One RPC on a connection; a closing that crosses it lets it be sent once more on a new one."""
        kept = self.free[target]
        for fresh in (False, True):
            link = None
            while kept and not fresh and link is None:
                link = kept.popleft()
                if not link.is_reusable():
                    link.close()
                    link = None
            try:
                if new := link is None:
                    self.opened += 1
                    link = await connect(target, CONNECT)
                try:
                    return await self._ask(link, target, customer, rpc, meant)
                except BaseException:
                    link.close()
                    raise
            except ConnectionFailedError as end:
                if new:
                    return end.outcome.name.lower()
        return "none"

    async def _ask(self, link: HttpConnection, target: Address, customer: int, rpc: int, meant: float) -> str:
        load, sent = self.load, trio.current_time()
        left = max(0, int(load.deadline_ms - (sent - meant) * 1000))
        total = len(set(self.targets))
        headers = [
            ("Host", "%s:%d" % target),
            ("X-Txn", f"{rpc:016x}"),
            ("X-Lane", load.lane),
            ("X-Tier", load.tier),
            ("X-Remaining-Ms", str(left)),
            ("X-Call-Terms", f"units=1,spread={total},first=0"),
            ("Idempotency-Key", f"{rpc:032x}"),
        ]
        if load.method != "GET":
            headers.append(("Content-Length", "0"))
        await link.write(h11.Request(method=load.method, target=f"/api?client={customer:016x}", headers=headers))
        message = await link.read()
        now, status = trio.current_time(), message.head.status_code
        if status == 200:
            self.latency.record_value(max(1, round((now - meant) * 10_000)))
            self.service.record_value(max(1, round((now - sent) * 10_000)))
            self.wrong += f"{rpc:016x}".encode() not in message.body
        if link.renew() and message.header(b"connection") != b"close":
            self.free[target].append(link)
        else:
            link.close()
        return str(status)

    def _report(self, sent: int, took: float) -> Report:
        def quantiles(histogram: HdrHistogram) -> dict[str, float]:
            return {f"p{q}": histogram.get_value_at_percentile(q) / 10 for q in (50, 90, 99, 99.9)}

        notes = []
        if self.behind:
            notes.append(
                f"the generator itself was over {BEHIND * 1000:.0f} ms late for {self.behind} RPCs, at worst "
                f"{self.worst * 1000:.0f} ms: lower the rate, or give it more CPU"
            )
        if self.wrong:
            notes.append(f"{self.wrong} answers did not name their RPC")
        return Report(
            sent,
            dict(sorted(self.answers.items())),
            quantiles(self.latency),
            quantiles(self.service),
            self.behind,
            round(self.worst * 1000, 2),
            self.waited,
            self.opened,
            round(took, 2),
            self.wrong,
            notes,
        )


def run(load: LoadSettings) -> Report:
    return trio.run(LoadGenerator(load).run)
