"""A tier of real gateway processes for group "added", traced or not, and the client that times each of its RPCs."""

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from time import monotonic, perf_counter_ns
from typing import Any, Callable, NamedTuple

import tomli_w
import trio

from oakfork.errors import ConnectionFailedError, DrillProcessError
from oakfork.lab.datagram_relay import DatagramRelays
from oakfork.lab.load_generator import LoadGenerator, LoadSettings
from oakfork.lab.port_allocator import free_addresses, text
from oakfork.lab.scale import traced_gateway
from oakfork.lab.scale.added_latency_backends import ROOT
from oakfork.sockets.http_connection import HttpConnection, connect, request_head

READY_TIMEOUT_S = 60.0  # for all gateways of a tier
LEAVE_TIMEOUT_S = 12.0  # for all gateways of a tier
READY_POLL_S = 0.02
CONNECT_TIMEOUT_S = 1.0
LOG_TAIL = 400  # characters of a gateway's log that an error quotes
CUSTOMERS = 100
CONNECTIONS = 200  # of the client
METHOD = "read"
PLAN = "basic"
MAIL_PER_S = 100.0  # frames that a gateway takes in; the module paces those to one peer by it
PROGRAM = "oakfork"
TRACED = traced_gateway.__name__


def settings(aim_ms: float) -> dict[str, Any]:
    """Settings with one method and one plan whose quota is never used up; prices and limits are as in deployments."""
    return {
        "zones": ["z"],
        "zone": 0,
        "tick-ms": 4.0,
        "discovery": "automatic",
        "classes": [
            {
                "name": METHOD,
                "aim-ms": aim_ms,
                "deadline-ms": 2 * aim_ms,
                "effect": "read_like",
                "group": "all",
                "value": 1.0,
            }
        ],
        "tiers-of-service": [{"name": PLAN, "refill": 50.0, "peak-units": 100.0}],
        "limits": {
            "attempts-cap": 4,
            "cancel": True,
            "parallel-tries": True,
            "peers": True,
            "probing": True,
            "retry-after": True,
            "conn-idle-ms": 15000.0,
            "connect-timeout-ms": 250.0,
        },
        "specifics": {"mail-per-s": MAIL_PER_S, "units-top": 2},
        "tariffs": {"probe": 0.01, "handshake": 0.02},
        "invariants": {"stop-sending-within-ms": 500.0},
        "stats": {"how": "off", "names": []},
    }


class GatewayTier:
    """Gateway processes that run `module`, and have ended when the context is left.

    With `relayed`, all frames between the gateways go through relays, which can lose and delay them. `fleet` returns a
    gateway's fleet file, given its number and the fleet's datagram addresses, which differ from those of its peers.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        module: str,
        gateways: int,
        discovery: str,
        servers: list[dict[str, Any]],
        aim_ms: float,
        relayed: bool = False,
        seed: int = 1,
        fleet: Callable[[int, list[str]], dict[str, Any]] | None = None,
    ) -> None:
        self.folder = folder
        self.name = name
        self.module = module
        self.gateways = gateways
        datagrams = free_addresses(2 * gateways if fleet else gateways, socket.SOCK_DGRAM)
        peer_addresses = dict(enumerate(datagrams[:gateways]))
        self.listens = [text(address) for address in free_addresses(gateways, socket.SOCK_STREAM)]
        self.relays = DatagramRelays(peer_addresses, seed) if relayed else None
        self.processes: list[subprocess.Popen] = []
        self.has_fleet_files = fleet is not None
        if fleet is not None:
            addresses = [text(address) for address in datagrams[gateways:]]
            for index in range(gateways):
                self._path(index, "toml").write_bytes(tomli_w.dumps(fleet(index, addresses)).encode())
        for index in range(gateways):
            peers = [
                text(self.relays.seen(index, other) if self.relays else peer_addresses[other])
                for other in range(gateways)
            ]
            self._path(index, "json").write_text(
                json.dumps(
                    {
                        "name": f"{name}{index}",
                        "listen": self.listens[index],
                        "discovery": discovery,
                        "seed": f"{seed * 100 + index:x}",
                        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
                        "peers": peers,
                        "peer_listen": text(peer_addresses[index]),
                        "known": {"version": 1, "full": True, "servers": servers},
                        "settings": settings(aim_ms) | {"balancers": gateways, "index": index},
                    }
                )
            )

    def _path(self, index: int, kind: str) -> Path:
        return self.folder / f"{self.name}{index}.{kind}"

    def __enter__(self) -> "GatewayTier":
        try:
            for index in range(self.gateways):
                self._start(index)
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start(self, index: int) -> None:
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environment["LB_CONFIG"] = str(self._path(index, "json"))
        environment[traced_gateway.FILE_VARIABLE] = str(self._path(index, "trace"))
        if self.has_fleet_files:
            environment["LB_FLEET"] = str(self._path(index, "toml"))
        with open(self._path(index, "log"), "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", self.module], cwd=ROOT, stdout=log, stderr=log, env=environment
            )
        self.processes.append(process)

    def __exit__(self, *error: object) -> None:
        for process in self.processes:
            process.kill()  # stopped ones too
            process.wait()

    async def ready(self) -> None:
        """Waits until all gateways serve; raises DrillProcessError where one ends or is not ready in time."""
        with trio.move_on_after(READY_TIMEOUT_S) as scope:
            for index, listen in enumerate(self.listens):
                while not await _is_ready(listen):
                    if self.processes[index].poll() is not None:
                        log = self._path(index, "log").read_text()[-LOG_TAIL:]
                        raise DrillProcessError(f"gateway {self.name}{index} ended before it was ready: {log}")
                    await trio.sleep(READY_POLL_S)
        if scope.cancelled_caught:
            raise DrillProcessError(f"the gateways of tier {self.name} were not ready within {READY_TIMEOUT_S:.0f} s")

    async def stop(self, index: int, seconds: float) -> tuple[int, int]:
        """Stops a gateway for some seconds; returns when that began and ended, by perf_counter_ns."""
        begun = perf_counter_ns()
        self.processes[index].send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(seconds)
        finally:
            self.processes[index].send_signal(signal.SIGCONT)
        return begun, perf_counter_ns()

    def leave(self) -> list[dict[str, Any]]:
        """Ends all gateways with SIGTERM, and returns the records of those that are traced.

        Raises DrillProcessError where a gateway does not end in time, or not with status 0.
        """
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        deadline = monotonic() + LEAVE_TIMEOUT_S
        for process in self.processes:
            with suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, deadline - monotonic()))
        statuses = [process.poll() for process in self.processes]
        if any(statuses):  # 0 is success, None is a gateway that still runs
            raise DrillProcessError(f"the gateways of tier {self.name} ended with statuses {statuses}")
        if None in statuses:
            raise DrillProcessError(f"not all gateways of tier {self.name} left within {LEAVE_TIMEOUT_S:.0f} s")
        if self.module == PROGRAM:
            return []
        return [
            json.loads(line)
            for index in range(self.gateways)
            for line in self._path(index, "trace").read_text().splitlines()
        ]


async def _is_ready(listen: str) -> bool:
    host, port = listen.split(":")
    try:
        connection = await connect((host, int(port)), CONNECT_TIMEOUT_S)
        try:
            await connection.write(request_head("GET", "/-/ready", (host, int(port))))
            return (await connection.read()).head.status_code == 200
        finally:
            connection.close()
    except ConnectionFailedError:
        return False


class RpcTiming(NamedTuple):
    """One RPC as its client saw it, from just before it is written until its answer is read, in nanoseconds."""

    rpc: str
    target: str
    begun: int
    ended: int
    status: str


class TimingClient(LoadGenerator):
    """The open-loop load generator, which also records when each RPC began and ended on its connection."""

    def __init__(self, load: LoadSettings) -> None:
        super().__init__(load)
        self.timings: list[RpcTiming] = []

    async def _ask(self, link: HttpConnection, target: Any, customer: int, rpc: int, meant: float) -> str:
        begun = perf_counter_ns()
        status = await super()._ask(link, target, customer, rpc, meant)
        self.timings.append(RpcTiming(f"{rpc:016x}", text(target), begun, perf_counter_ns(), status))
        return status


class Block(NamedTuple):
    """What a client saw in some seconds of load."""

    timings: list[RpcTiming]
    answers: dict[str, int]  # by status or outcome; "none": no answer in time
    behind: int  # RPCs that the client itself sent late


async def run_block(targets: list[str], rate: float, seconds: float, deadline_ms: float, seed: int) -> Block:
    """Sends RPCs to random targets for some seconds, at `rate` a second; ends with the last answer or deadline."""
    settings = LoadSettings(
        tuple(targets), rate, seconds, CONNECTIONS, CUSTOMERS, "GET", METHOD, PLAN, int(deadline_ms), seed
    )
    client = TimingClient(settings)
    report = await client.run()
    return Block(client.timings, report.answers, report.behind)
