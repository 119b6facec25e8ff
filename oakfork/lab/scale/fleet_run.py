"""Runs a publisher, relays and processes of hollow gateways on loopback, and collects what the gateways report.

fleet_faults.py injects faults into a running fleet and fleet_verifier.py checks the reports. Every wait has a timeout,
and no process is left running.
"""

import json
import socket
import subprocess
import sys
from bisect import bisect_left
from contextlib import suppress
from pathlib import Path
from typing import Any, Awaitable, Callable, NamedTuple, Sequence

import numpy
import tomli_w
import trio

from oakfork.control import client
from oakfork.control.follower_server import EGRESS
from oakfork.control.messages import EMPTY, Position
from oakfork.errors import DrillProcessError, PublisherTimeoutError
from oakfork.lab.port_allocator import free_addresses, text
from oakfork.lab.scale import fleet_verifier, generated_state
from oakfork.lab.scale.faulty_connections import ConnectionProxy
from oakfork.lab.scale.fleet_verifier import AcknowledgedChange, FinalState, InForceReport
from oakfork.lab.scale.hollow_gateways import now_ms
from oakfork.lab.scale.process_costs import memory, processor_seconds

START_TIMEOUT_S = 90.0  # until all processes have begun
END_TIMEOUT_S = 15.0  # until all processes have ended
VERDICT_TIMEOUT_S = 60.0  # for an answer to a change set, also where the publisher is killed and started again
KILL_TIMEOUT_S = 5.0
LOG_TAIL = 400  # characters of a process's log that an error quotes
LATE_QUOTED = 5  # names of late followers that an error quotes
PUBLISHER = "publisher"
UPSTREAM_PUBLISHER = -1  # stands for the publisher where relays are numbered


class Shape(NamedTuple):
    """How many processes a fleet has, and how large its state is.

    The publisher's egress is above the default, so that the relays, which begin with nothing, have the state soon.
    """

    sizes: generated_state.Sizes = generated_state.SMALL
    gateways: int = 60
    processes: int = 2
    relays: int = 3
    regions: int = 2
    publisher_egress: int = 50_000_000  # bytes a second
    relay_egress: int = EGRESS  # bytes a second


FULL = Shape(generated_state.FULL, 2_700, 5, 12, 7)


class Fleet:
    """The processes of one run, the connections between them, and the reports of the hollow gateways."""

    def __init__(self, folder: Path, shape: Shape, seed: int) -> None:
        self.folder = folder
        self.shape = shape
        self.seed = seed
        self.processes: dict[str, subprocess.Popen] = {}
        self.report_files: dict[str, tuple[Any, bytes]] = {}  # by process: its output, and the incomplete last line
        self.followers: dict[str, list[str]] = {}  # by process, in the order of its configuration
        self.in_force_reports: dict[str, list[InForceReport]] = {}  # by follower
        self.positions: dict[str, Position] = {}  # by follower
        self.marks: dict[str, list[dict[str, float]]] = {}  # by process
        self.started_ms: dict[str, int] = {}  # by process, as now_ms()
        self.final_states: dict[str, FinalState] = {}  # by follower
        self.final_reports: list[dict[str, Any]] = []  # the last line of each process
        self.counts: dict[str, int] = {}  # of the followers, by reason; filled by `verify`
        self.acknowledged: list[AcknowledgedChange] = []
        self.during_next_publish: list[Callable[[], Awaitable[None]]] = []  # one runs beside each `publish`
        self.start_position = EMPTY
        addresses = free_addresses(1 + shape.relays, socket.SOCK_STREAM)
        self.publisher_address = addresses[0]
        self.relay_addresses = addresses[1:]
        self.proxies: dict[tuple[int, int], ConnectionProxy] = {}  # by relay and upstream, as `_upstreams` numbers it
        self.operator_proxy: ConnectionProxy | None = None
        self.nursery: trio.Nursery | None = None

    async def run(self, scenario: Callable[["Fleet"], Awaitable[Any]]) -> Any:
        """Starts all processes, runs the scenario, ends all processes, and returns the scenario's result.

        Raises DrillProcessError where a process does not start or the scenario fails.
        """
        result = None
        failure = None
        try:
            async with trio.open_nursery() as self.nursery:
                try:
                    await self._start_all()
                    result = await scenario(self)
                    await self.end()
                except (DrillProcessError, PublisherTimeoutError) as error:  # raised below, outside an exception group
                    failure = error
                self.nursery.cancel_scope.cancel()
        finally:
            self._release()
        if failure is not None:
            raise DrillProcessError(str(failure)) from failure
        return result

    def _release(self) -> None:
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            with suppress(subprocess.TimeoutExpired):
                process.wait(END_TIMEOUT_S)
        for file, _ in self.report_files.values():
            file.close()

    # Starting and ending processes

    async def _start_all(self) -> None:
        shape = self.shape
        database = self.folder / "control.sqlite"
        self.start_position = await trio.to_thread.run_sync(generated_state.preload, database, shape.sizes)
        await self._start_proxies()
        self._write_config(PUBLISHER, "here", self.publisher_address, shape.publisher_egress, database=str(database))
        self.start_process(PUBLISHER)
        status = await client.status(text(self.publisher_address), START_TIMEOUT_S)
        position = Position(*status["position"])
        await self._start_relays(position)
        for process in range(shape.processes):
            self.start_hollow(f"hollow-{process}", range(process, shape.gateways, shape.processes))
        await self.wait_until_in_force(position, START_TIMEOUT_S)

    async def _start_proxies(self) -> None:
        self.operator_proxy = await self._start_proxy(self.publisher_address)
        for relay in range(self.shape.relays):
            for upstream in self._upstreams(relay):
                address = self.publisher_address
                if upstream != UPSTREAM_PUBLISHER:
                    address = self.relay_addresses[upstream]
                self.proxies[relay, upstream] = await self._start_proxy(address)

    async def _start_proxy(self, target: tuple[str, int]) -> ConnectionProxy:
        proxy = await ConnectionProxy.listen(target)
        self.nursery.start_soon(proxy.run)
        return proxy

    async def _start_relays(self, position: Position) -> None:
        """Starts the relays and waits until each of them has the state of `position`."""
        shape = self.shape
        for number, address in enumerate(self.relay_addresses):
            upstreams = [self.proxies[number, upstream].address for upstream in self._upstreams(number)]
            region = f"r{number % shape.regions}"
            self._write_config(f"relay-{number}", region, address, shape.relay_egress, upstreams=upstreams)
            self.start_process(f"relay-{number}")
        with trio.move_on_after(START_TIMEOUT_S) as scope:
            for address in self.relay_addresses:
                while Position(*(await client.status(text(address), START_TIMEOUT_S))["position"]) < position:
                    await trio.sleep(0.1)
        if scope.cancelled_caught:
            raise DrillProcessError(
                f"not all of the {shape.relays} relays reached {tuple(position)} within {START_TIMEOUT_S:g} s"
            )

    def _upstreams(self, relay: int) -> list[int]:
        """Numbers of the relays that a relay follows, the preferred one first; -1 is the publisher.

        The first relay of a region follows the publisher, or else the first relay of the next region. The others follow
        the first relay of their region, or else the publisher.
        """
        regions = self.shape.regions
        region = relay % regions
        if relay != region:
            return [region, UPSTREAM_PUBLISHER]
        if regions > 1:
            return [UPSTREAM_PUBLISHER, (region + 1) % regions]
        return [UPSTREAM_PUBLISHER]

    def _write_config(self, name: str, region: str, listen: tuple[str, int], egress: int, **more: Any) -> None:
        config = {
            "name": name,
            "region": region,
            "listen": text(listen),
            **more,
            "bounds": {"egress_bytes_per_s": egress},
        }
        (self.folder / f"{name}.toml").write_bytes(tomli_w.dumps(config).encode())

    def start_process(self, name: str) -> None:
        """Starts the publisher, or the relay of that name, with its configuration file."""
        kind = "relay" if name.startswith("relay") else "publisher"
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "oakfork.control.cli", kind, str(self.folder / f"{name}.toml")],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def relays_of(self, gateway: int) -> list[int]:
        """Numbers of the two relays that a gateway follows: its own, and another one.

        The other one is of the same region where that has two relays.
        """
        shape = self.shape
        home = gateway % shape.relays
        others = [relay for relay in range(shape.relays) if relay != home and (relay - home) % shape.regions == 0]
        if not others:
            others = [(home + 1) % shape.relays]
        return [home, others[gateway // shape.relays % len(others)]]

    def start_hollow(self, name: str, gateways: Sequence[int], cold: bool = False) -> None:
        """Starts a process of hollow gateways that follow the relays of `relays_of`.

        Its first gateway keeps complete records. A cold gateway begins without the state.
        """
        kind = "cold" if cold else "gateway"
        names = [f"{kind}-{gateway}" for gateway in gateways]
        config = {
            "sizes": self.shape.sizes,
            "start": self.start_position,
            "followers": [
                {
                    "who": follower,
                    "relays": [text(self.relay_addresses[relay]) for relay in self.relays_of(gateway)],
                    "seed": self.seed * 10_000 + gateway,
                    "cold": cold,
                    "full": number == 0,
                }
                for number, (follower, gateway) in enumerate(zip(names, gateways, strict=True))
            ],
        }
        path = self.folder / f"{name}.json"
        reports = path.with_suffix(".reports")
        path.write_text(json.dumps(config))
        with open(reports, "wb") as output, open(path.with_suffix(".log"), "wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "oakfork.lab.scale.hollow_gateways", str(path)],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=log,
            )
        self.report_files[name] = (open(reports, "rb"), b"")
        self.followers[name] = names
        self.positions |= dict.fromkeys(names, EMPTY)

    async def end(self) -> None:
        """Ends the processes of hollow gateways and reads their final reports."""
        for name in self.report_files:
            self.processes[name].terminate()
        with trio.move_on_after(END_TIMEOUT_S):
            while any(self.processes[name].poll() is None for name in self.report_files):
                await trio.sleep(0.05)
        self.read_reports()

    async def kill(self, name: str) -> None:
        """Kills a process and waits until it has ended."""
        self.processes[name].kill()
        await trio.to_thread.run_sync(self.processes[name].wait, KILL_TIMEOUT_S)

    # Publishing

    async def publish(self, change: generated_state.Change) -> Position:
        """Publishes a change set and returns its position once it is acknowledged.

        Also waits for the first action of `during_next_publish`, which runs beside it. Raises DrillProcessError where
        the change set is rejected or not answered.
        """
        verdict = None
        failure = None
        answered_ms = 0
        async with trio.open_nursery() as nursery:
            if self.during_next_publish:
                nursery.start_soon(self.during_next_publish.pop(0))
                await trio.lowlevel.checkpoint()
            try:
                verdict = await client.publish(self.operator_proxy.address, change.id, change.file, VERDICT_TIMEOUT_S)
                answered_ms = now_ms()
            except PublisherTimeoutError as error:  # raised below, outside an exception group
                failure = error
        if failure is not None or verdict.position is None:
            raise DrillProcessError(f"change set {change.id} was not accepted: {failure or verdict.faults[:3]}")
        self.acknowledged.append(AcknowledgedChange(change.id, verdict.position, answered_ms, change.rows))
        return verdict.position

    async def wait_until_in_force(self, position: Position, timeout: float) -> None:
        """Waits until all hollow gateways have the position in force; raises DrillProcessError after `timeout` s."""
        with trio.move_on_after(timeout):
            while True:
                self.read_reports()
                if not any(reached < position for reached in self.positions.values()):
                    return
                for name in self.report_files:
                    if self.processes[name].poll() is not None:
                        raise DrillProcessError(
                            f"process {name} ended early, its log ends with: {self._log_tail(name)}"
                        )
                await trio.sleep(0.1)
        late = [follower for follower, reached in self.positions.items() if reached < position]
        raise DrillProcessError(
            f"{len(late)} of {len(self.positions)} hollow gateways have not reached {tuple(position)} "
            f"after {timeout:g} s: {late[:LATE_QUOTED]}"
        )

    def _log_tail(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()[-LOG_TAIL:]

    # Reports of the hollow gateways

    def read_reports(self) -> None:
        """Reads what the processes of hollow gateways have written since the last call."""
        for name, (file, rest) in self.report_files.items():
            *lines, rest = (rest + file.read()).split(b"\n")
            self.report_files[name] = (file, rest)
            for line in lines:
                self._read_line(name, json.loads(line))

    def _read_line(self, name: str, report: dict[str, Any]) -> None:
        followers = self.followers[name]
        if "mark" in report:
            self.marks.setdefault(name, []).append(report)
        elif "in_force" in report:
            for number, term, count, ms, digest in report["in_force"]:
                position = Position(term, count)
                self.in_force_reports.setdefault(followers[number], []).append(InForceReport(position, ms, digest))
                self.positions[followers[number]] = position
        elif "serving" in report:
            self.started_ms[name] = report["ms"]
        elif "end" in report:
            self.final_reports.append(report)
            for follower, (term, count, digest, record_digest) in zip(followers, report["end"], strict=True):
                self.final_states[follower] = FinalState(Position(term, count), digest, record_digest)

    def verify(self) -> list[str]:
        """The verifier's violations, none where all is well; also adds up `counts`."""
        self.counts = {}
        for report in self.final_reports:
            for reason, count in report["counts"].items():
                self.counts[reason] = self.counts.get(reason, 0) + count
        return fleet_verifier.find_violations(
            fleet_verifier.Observations(
                generated_state.base(self.shape.sizes),
                self.start_position.number,
                self.acknowledged,
                self.in_force_reports,
                {follower: state for follower, state in self.final_states.items() if follower in self.positions},
                list(self.positions),
                sum(report["half"] for report in self.final_reports),
                sum(report["conflicts"] for report in self.final_reports),
            )
        )

    def propagation_times(
        self, acknowledged: Sequence[AcknowledgedChange], followers: Sequence[str] | None = None
    ) -> dict[str, float]:
        """Milliseconds from acknowledged to in force, over the change sets and the followers (all by default).

        The median, the 99th percentile, the maximum and the number of values; empty where nothing is in force.
        """
        delays_ms = []
        for follower in self.positions if followers is None else followers:
            reports = self.in_force_reports.get(follower, [])
            positions = [report.position for report in reports]
            for change in acknowledged:
                index = bisect_left(positions, change.position)
                if index < len(reports):
                    delays_ms.append(max(0, reports[index].ms - change.ms))
        if not delays_ms:
            return {}
        return {
            "median_ms": float(numpy.median(delays_ms)),
            "p99_ms": float(numpy.percentile(delays_ms, 99)),
            "last_ms": float(max(delays_ms)),
            "values": len(delays_ms),
        }

    def resource_use(self) -> dict[str, dict[str, float]]:
        """Processor seconds so far and bytes of memory, of the publisher and each relay that is running."""
        return {
            name: {"processor_s": processor_seconds(process.pid), "memory_bytes": memory(process.pid)[0]}
            for name, process in self.processes.items()
            if name not in self.report_files and process.poll() is None
        }
