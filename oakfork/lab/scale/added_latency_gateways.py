"""A tier of real gateways of group "added", traced or not, and the client that times each RPC of its own."""

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

READY = 60.0  # seconds in which the gateways of a tier have to be ready
LEAVING = 12.0  # seconds in which they have to leave
CUSTOMERS, METHOD, PLAN = 100, "read", "basic"
MAIL_PER_S = 100.0  # frames that a gateway takes in; the module paces those to one peer by it
PROGRAM, TRACED = "oakfork", traced_gateway.__name__


def settings(aim_ms: float) -> dict[str, Any]:
    """One method and one plan whose quota nobody fills; prices, grain and mail as in deployments."""
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


class Tier:
    """Processes of `module`, which have ended when the context is left. With relays, all frames between them go there;
    `troubles` are then the relays' to play. `fleet` gives a gateway's fleet file, of its number and the addresses for
    datagrams of the fleet, which are others than those of its peers."""

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
        self.folder, self.name, self.module, self.gateways = folder, name, module, gateways
        datagrams = free_addresses(2 * gateways if fleet else gateways, socket.SOCK_DGRAM)
        places = dict(enumerate(datagrams[:gateways]))
        self.listens = [text(place) for place in free_addresses(gateways, socket.SOCK_STREAM)]
        self.relays = DatagramRelays(places, seed) if relayed else None
        self.processes: list[subprocess.Popen] = []
        self.fleet = fleet is not None
        if fleet is not None:
            addresses = [text(place) for place in datagrams[gateways:]]
            for index in range(gateways):
                self._path(index, "toml").write_bytes(tomli_w.dumps(fleet(index, addresses)).encode())
        for index in range(gateways):
            peers = [
                text(self.relays.seen(index, other) if self.relays else places[other]) for other in range(gateways)
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
                        "peer_listen": text(places[index]),
                        "known": {"version": 1, "full": True, "servers": servers},
                        "settings": settings(aim_ms) | {"balancers": gateways, "index": index},
                    }
                )
            )

    def _path(self, index: int, kind: str) -> Path:
        return self.folder / f"{self.name}{index}.{kind}"

    def __enter__(self) -> "Tier":
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        try:
            for index in range(self.gateways):
                paths = {
                    "LB_CONFIG": str(self._path(index, "json")),
                    traced_gateway.FILE: str(self._path(index, "trace")),
                }
                if self.fleet:
                    paths["LB_FLEET"] = str(self._path(index, "toml"))
                with open(self._path(index, "log"), "wb") as log:
                    self.processes.append(
                        subprocess.Popen(
                            [sys.executable, "-m", self.module],
                            cwd=ROOT,
                            stdout=log,
                            stderr=log,
                            env=environment | paths,
                        )
                    )
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        for process in self.processes:
            process.kill()  # stopped ones too
            process.wait()

    async def ready(self) -> None:
        """All are serving, or DrillProcessError."""
        with trio.move_on_after(READY) as scope:
            for index, listen in enumerate(self.listens):
                while not await _ready(listen):
                    if self.processes[index].poll() is not None:
                        log = self._path(index, "log").read_text()[-400:]
                        raise DrillProcessError(f"gateway {self.name}{index} ended: {log}")
                    await trio.sleep(0.02)
        if scope.cancelled_caught:
            raise DrillProcessError(f"the gateways of tier {self.name} were not ready within {READY:.0f} s")

    async def stop(self, index: int, seconds: float) -> tuple[int, int]:
        """Stops a gateway for a time, and returns when that was, by perf_counter_ns."""
        begun = perf_counter_ns()
        self.processes[index].send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(seconds)
        finally:
            self.processes[index].send_signal(signal.SIGCONT)
        return begun, perf_counter_ns()

    def leave(self) -> list[dict[str, Any]]:
        """Ends all as SIGTERM does, and returns what those that are traced have noted."""
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        until = monotonic() + LEAVING
        for process in self.processes:
            with suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, until - monotonic()))
        ended = [process.poll() for process in self.processes]
        if any(ended):  # None would be one that has not left; 0 is as it should be
            raise DrillProcessError(f"the gateways of tier {self.name} ended with {ended}")
        if None in ended:
            raise DrillProcessError(f"not all gateways of tier {self.name} left within {LEAVING:.0f} s")
        if self.module == PROGRAM:
            return []
        return [
            json.loads(line)
            for index in range(self.gateways)
            for line in self._path(index, "trace").read_text().splitlines()
        ]


async def _ready(listen: str) -> bool:
    host, port = listen.split(":")
    try:
        link = await connect((host, int(port)), 1.0)
        try:
            await link.write(request_head("GET", "/-/ready", (host, int(port))))
            return (await link.read()).head.status_code == 200
        finally:
            link.close()
    except ConnectionFailedError:
        return False


class Row(NamedTuple):
    """One RPC as its client saw it: nanoseconds from about to be written to its answer read."""

    rpc: str
    target: str
    begun: int
    ended: int
    status: str


class Timed(LoadGenerator):
    """The open-loop generator, which keeps what each RPC took on its connection."""

    def __init__(self, load: LoadSettings) -> None:
        super().__init__(load)
        self.rows: list[Row] = []

    async def _ask(self, link: HttpConnection, target: Any, customer: int, rpc: int, meant: float) -> str:
        begun = perf_counter_ns()
        status = await super()._ask(link, target, customer, rpc, meant)
        self.rows.append(Row(f"{rpc:016x}", text(target), begun, perf_counter_ns(), status))
        return status


class Block(NamedTuple):
    rows: list[Row]
    answers: dict[str, int]  # by status or ending; "none": no answer in time
    behind: int  # RPCs that the client itself sent late


async def play(targets: list[str], rate: float, seconds: float, deadline_ms: float, seed: int) -> Block:
    """Some seconds of RPCs to these, at random; ends with the last answer or deadline."""
    client = Timed(
        LoadSettings(tuple(targets), rate, seconds, 200, CUSTOMERS, "GET", METHOD, PLAN, int(deadline_ms), seed)
    )
    report = await client.run()
    return Block(client.rows, report.answers, report.behind)
