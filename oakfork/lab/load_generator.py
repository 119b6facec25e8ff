"""Open-loop load on real gateways over loopback.

Latency counts from the time at which an RPC was scheduled, so that a gateway that stalls is also charged for the RPCs
that would have come meanwhile (no coordinated omission).
"""

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

MAX_RPCS = 1_000_000
LATE_AFTER = 0.010  # seconds: an RPC that is sent later than this is charged to the generator itself
MAX_LATENCY = 600 * 10_000  # tenths of a millisecond
CONNECT_TIMEOUT = 1.0  # seconds
ANSWER_GRACE = 0.1  # seconds beyond its deadline that an RPC may take
QUANTILES = (50, 90, 99, 99.9)  # percent


@dataclass(frozen=True, slots=True)
class LoadSettings:
    """A load: to which gateways, how much, for how long, and as whose RPCs."""

    gateways: tuple[str, ...]  # HOST:PORT; one that is named twice gets twice the load
    rate: float  # RPCs per second
    seconds: float
    connections: int  # open at once, in all
    customers: int
    method: str  # of HTTP
    lane: str  # the method's name
    tier: str  # the plan's name
    deadline_ms: int
    seed: int


@dataclass(slots=True)
class Report:
    """The result of a load."""

    asked: int
    answers: dict[str, int]  # by status; "none": no answer in time
    latency_ms: dict[str, float]  # of answers with status 200, from the scheduled time
    service_ms: dict[str, float]  # of answers with status 200, from the time sent
    behind: int  # RPCs that the generator itself sent late
    worst_behind_ms: float
    waited: int  # RPCs that waited for a connection because all were busy
    connections: int
    seconds: float
    bodies_wrong: int = 0
    notes: list[str] = field(default_factory=list)

    def text(self) -> str:
        """The report as lines for a terminal."""
        answers = ", ".join(f"{status}: {count}" for status, count in self.answers.items())
        lines = [
            f"{self.asked} RPCs in {self.seconds:.1f} s: {answers}",
            "latency from the scheduled time, ms: " + _format_quantiles(self.latency_ms),
            "latency from the time sent, ms: " + _format_quantiles(self.service_ms),
            f"{self.connections} connections, {self.waited} RPCs waited for one",
        ]
        return "\n".join(lines + self.notes)


def _format_quantiles(quantiles: dict[str, float]) -> str:
    return ", ".join(f"{name} {value:.1f}" for name, value in quantiles.items())


def loopback(text: str) -> Address:
    """Parses an address, and raises LoadSettingsError if it is not on loopback; names are not resolved."""
    try:
        host, port = parse_address(text)
        is_loopback = ipaddress.ip_address(host).is_loopback
    except (ConfigurationError, ValueError):
        raise LoadSettingsError(f"not an address of the form 127.0.0.1:8443: {text!r}") from None
    if not is_loopback:
        raise LoadSettingsError(f"only loopback addresses are loaded, not {host}")
    return host, port


class LoadGenerator:
    """Sends RPCs as a Poisson process to gateways drawn at random, and reports what came of them."""

    def __init__(self, load: LoadSettings) -> None:
        """Raises LoadSettingsError for an address that is not on loopback and for more than MAX_RPCS RPCs."""
        self.load = load
        self.targets = [loopback(text) for text in load.gateways]
        if load.rate * load.seconds > MAX_RPCS:
            raise LoadSettingsError(f"over {MAX_RPCS} RPCs: {load.rate:g} a second for {load.seconds:g} s")
        self.rng = numpy.random.default_rng(load.seed)
        self.answers: Counter[str] = Counter()
        self.latency = HdrHistogram(1, MAX_LATENCY, 3)  # tenths of a millisecond
        self.service = HdrHistogram(1, MAX_LATENCY, 3)
        self.idle: dict[Address, deque[HttpConnection]] = {target: deque() for target in self.targets}
        self.limiter = trio.CapacityLimiter(load.connections)
        self.opened = 0
        self.late = 0
        self.waited = 0
        self.wrong_bodies = 0
        self.worst_lateness = 0.0  # seconds

    async def run(self) -> Report:
        """Sends the load, and returns after the last answer or deadline."""
        load, rng, sent = self.load, self.rng, 0
        start = trio.current_time()
        offset = rng.exponential(1 / load.rate)  # seconds from the start to the next RPC's scheduled time
        async with trio.open_nursery() as nursery:
            while offset < load.seconds:
                await self._wait_until(start + offset)
                target = self.targets[int(rng.integers(len(self.targets)))]
                customer = int(rng.integers(load.customers))
                rpc = int(rng.integers(1 << 63))
                nursery.start_soon(self._rpc, target, customer, rpc, start + offset)
                sent += 1
                await trio.lowlevel.checkpoint()
                offset += rng.exponential(1 / load.rate)
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        return self._report(sent, trio.current_time() - start)

    async def _wait_until(self, scheduled: float) -> None:
        """Sleeps until an RPC is due, and records by how much the generator is late."""
        wait = scheduled - trio.current_time()
        if wait > 0:
            await trio.sleep(wait)
        lateness = trio.current_time() - scheduled
        self.worst_lateness = max(self.worst_lateness, lateness)
        self.late += lateness > LATE_AFTER

    def _timeout_at(self, scheduled: float) -> float:
        """The time at which an RPC without an answer is given up."""
        return scheduled + self.load.deadline_ms / 1000 + ANSWER_GRACE

    async def _rpc(self, target: Address, customer: int, rpc: int, scheduled: float) -> None:
        """Sends one RPC, and counts its answer."""
        status = "none"
        with trio.CancelScope(deadline=self._timeout_at(scheduled)):
            self.waited += self.limiter.available_tokens == 0
            async with self.limiter:
                status = await self._exchange(target, customer, rpc, scheduled)
        self.answers[status] += 1

    async def _exchange(self, target: Address, customer: int, rpc: int, scheduled: float) -> str:
        """Sends one RPC on an idle connection, and once more on a new one if the peer closed that one meanwhile.

        Returns the status, or the name of the outcome on a new connection that failed.
        """
        connection = self._take_idle(target)
        if connection is not None:
            try:
                return await self._ask_or_close(connection, target, customer, rpc, scheduled)
            except ConnectionFailedError:
                pass
        self.opened += 1
        try:
            connection = await connect(target, CONNECT_TIMEOUT)
            return await self._ask_or_close(connection, target, customer, rpc, scheduled)
        except ConnectionFailedError as error:
            return error.outcome.name.lower()

    def _take_idle(self, target: Address) -> HttpConnection | None:
        """A connection that can be used again, if there is one; those that cannot are closed."""
        idle = self.idle[target]
        while idle:
            connection = idle.popleft()
            if connection.is_reusable():
                return connection
            connection.close()
        return None

    async def _ask_or_close(
        self, connection: HttpConnection, target: Address, customer: int, rpc: int, scheduled: float
    ) -> str:
        """Sends one RPC on a connection, which is closed if that fails."""
        try:
            return await self._ask(connection, target, customer, rpc, scheduled)
        except BaseException:
            connection.close()
            raise

    async def _ask(self, connection: HttpConnection, target: Address, customer: int, rpc: int, scheduled: float) -> str:
        """Sends one RPC on a connection, records its answer, and returns its status."""
        sent = trio.current_time()
        await connection.write(self._request(target, customer, rpc, sent - scheduled))
        message = await connection.read()
        now, status = trio.current_time(), message.head.status_code
        if status == 200:
            self.latency.record_value(max(1, round((now - scheduled) * 10_000)))
            self.service.record_value(max(1, round((now - sent) * 10_000)))
            self.wrong_bodies += f"{rpc:016x}".encode() not in message.body
        if connection.renew() and message.header(b"connection") != b"close":
            self.idle[target].append(connection)
        else:
            connection.close()
        return str(status)

    def _request(self, target: Address, customer: int, rpc: int, lateness: float) -> h11.Request:
        load = self.load
        remaining_ms = max(0, int(load.deadline_ms - lateness * 1000))
        gateways = len(set(self.targets))
        headers = [
            ("Host", "%s:%d" % target),
            ("X-Txn", f"{rpc:016x}"),
            ("X-Lane", load.lane),
            ("X-Tier", load.tier),
            ("X-Remaining-Ms", str(remaining_ms)),
            ("X-Call-Terms", f"units=1,spread={gateways},first=0"),
            ("Idempotency-Key", f"{rpc:032x}"),
        ]
        if load.method != "GET":
            headers.append(("Content-Length", "0"))
        return h11.Request(method=load.method, target=f"/api?client={customer:016x}", headers=headers)

    def _report(self, sent: int, duration: float) -> Report:
        notes = []
        if self.late:
            notes.append(
                f"the generator itself was over {LATE_AFTER * 1000:.0f} ms late for {self.late} RPCs, at worst "
                f"{self.worst_lateness * 1000:.0f} ms: lower the rate, or give it more CPU"
            )
        if self.wrong_bodies:
            notes.append(f"{self.wrong_bodies} answers did not name their RPC")
        return Report(
            asked=sent,
            answers=dict(sorted(self.answers.items())),
            latency_ms=_quantiles(self.latency),
            service_ms=_quantiles(self.service),
            behind=self.late,
            worst_behind_ms=round(self.worst_lateness * 1000, 2),
            waited=self.waited,
            connections=self.opened,
            seconds=round(duration, 2),
            bodies_wrong=self.wrong_bodies,
            notes=notes,
        )


def _quantiles(histogram: HdrHistogram) -> dict[str, float]:
    """Milliseconds by the name of the quantile."""
    return {f"p{q}": histogram.get_value_at_percentile(q) / 10 for q in QUANTILES}


def run(load: LoadSettings) -> Report:
    """Sends a load in an event loop of its own; raises LoadSettingsError as LoadGenerator does."""
    return trio.run(LoadGenerator(load).run)
