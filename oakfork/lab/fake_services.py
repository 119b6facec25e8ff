"""Fake servers and a fake discovery service for real gateways, and a small tier of real gateways, all on loopback."""

import json
import os
import re
import socket
import subprocess
import sys
from abc import ABC, abstractmethod
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Iterator

import h11
import numpy
import trio

from oakfork.errors import ConnectionFailedError
from oakfork.sockets.http_connection import HttpConnection, HttpMessage

MAX_CONNECTIONS = 2000
BACKLOG = 256  # connections that wait to be accepted
MAX_HOLD = 60.0  # seconds that a watch of the server list is held
READY_TIMEOUT = 10  # seconds for all gateways to take connections
READY_POLL = 0.02  # seconds
CELLS = 4  # cells that the entries of a list are spread over

Answer = tuple[int, bytes, list[tuple[str, str]]]  # status, body, headers


class FakeService(ABC):
    """A service that answers HTTP/1.1 requests on a loopback port of its own."""

    def __init__(self) -> None:
        """Listens at once; `run` accepts."""
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(BACKLOG)
        self.sock.setblocking(False)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        self.open = 0  # connections
        self.gone = False  # the machine has vanished: connections stay silent, new ones are closed

    async def run(self) -> None:
        """Accepts and serves connections until it is cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                with suppress(OSError):
                    sock = self.sock.accept()[0]
                    if self.open < MAX_CONNECTIONS and not self.gone:
                        nursery.start_soon(self._serve, sock)
                    else:
                        sock.close()

    async def _serve(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = HttpConnection(sock, h11.SERVER)
        self.open += 1
        try:
            while True:
                status, body, headers = await self.answer(await connection.read())
                headers = [("Content-Length", str(len(body))), *headers]
                unsent = connection.put(h11.Response(status_code=status, headers=headers), body)
                await connection.drain(unsent)
                if not connection.renew():
                    return
        except ConnectionFailedError:
            pass
        finally:
            self.open -= 1
            trio.lowlevel.notify_closing(sock)
            connection.close()

    @abstractmethod
    async def answer(self, message: HttpMessage) -> Answer:
        """Status, body and headers of the answer to one request."""


@dataclass
class ServerWorkload:
    """What a fake server does with RPCs."""

    mean: float = 0.02  # seconds of work, exponentially distributed
    cores: int = 3
    waiting: int = 30  # RPCs beyond the cores; further ones are rejected
    seed: int = 1


class FakeServer(FakeService):
    """Cores, a queue, and work drawn as in the simulation; `ran` counts executions by RPC."""

    def __init__(self, work: ServerWorkload) -> None:
        """Starts idle."""
        super().__init__()
        self.work = work
        self.rng = numpy.random.default_rng(work.seed)
        self.cores = trio.CapacityLimiter(work.cores)
        self.ran: dict[bytes, int] = {}  # grows with the RPCs of a run, which is bounded
        self.probes = 0

    async def answer(self, message: HttpMessage) -> Answer:
        """Answers a probe at once, and an RPC after its work, or with 503 where the queue is full."""
        if message.head.target.startswith(b"/-/"):
            self.probes += 1
            return 200, b"", []
        if self.gone:
            await trio.sleep_forever()
        rpc = message.header(b"x-txn")
        if rpc is None:
            return 404, b"", []
        if self.cores.statistics().tasks_waiting >= self.work.waiting:
            return 503, b"", [("X-Turned-Away", "1")]
        async with self.cores:
            self.ran[rpc] = self.ran.get(rpc, 0) + 1
            await trio.sleep(self.rng.exponential(self.work.mean))
        return 200, b"made for " + rpc, []


class FakeDiscovery(FakeService):
    """Discovery agent with one list: answers it whole, and holds a watch until it has changed."""

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        """`servers` are entries as `entry` makes them."""
        super().__init__()
        self.version = 1
        self.servers = servers
        self.changed = trio.Event()

    def change(self, servers: list[dict[str, Any]]) -> None:
        """Replaces the list under a new version, and answers the watches."""
        self.version += 1
        self.servers = servers
        self.changed.set()
        self.changed = trio.Event()

    async def answer(self, message: HttpMessage) -> Answer:
        """The list, or for a watch what is newer than its version, with no entries after the hold time."""
        watch = re.search(rb"from=(\d+)&hold_ms=(\d+)", message.head.target)
        if watch and self.version <= int(watch[1]):
            with trio.move_on_after(min(MAX_HOLD, int(watch[2]) / 1000)):
                await self.changed.wait()
        is_new = not watch or self.version > int(watch[1])
        document = {"version": self.version, "full": not watch, "servers": self.servers if is_new else []}
        return 200, json.dumps(document).encode(), []


def entry(number: int, address: str) -> dict[str, Any]:
    """An entry of a server list for a server that is up and warm."""
    return {
        "id": f"s-{number:08x}",
        "addr": address,
        "zone": "z",
        "kind": "k",
        "cell": number % CELLS,
        "state": "up",
        "weight": 1.0,
        "started_ms": 0,
    }


def free_address(kind: socket.SocketKind) -> str:
    """A loopback address whose port was free a moment ago; it is not reserved."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


@dataclass
class SocketTier:
    """Real gateways as processes, configured with fake services."""

    folder: Path  # for their configuration files
    gateways: int
    discovery: str
    servers: list[dict[str, Any]]
    settings: dict[str, Any]
    listens: list[str] = field(default_factory=list)

    @contextmanager
    def started(self) -> Iterator["SocketTier"]:
        """Starts the gateways, and kills them at the end of the context."""
        self.listens = [free_address(socket.SOCK_STREAM) for _ in range(self.gateways)]
        peers = [free_address(socket.SOCK_DGRAM) for _ in range(self.gateways)]
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        with ExitStack() as stack:
            for number in range(self.gateways):
                path = self.folder / f"n{number}.json"
                path.write_text(json.dumps(self._configuration(number, peers)))
                process = subprocess.Popen(
                    [sys.executable, "-m", "oakfork"],
                    stderr=subprocess.DEVNULL,
                    env=environment | {"LB_CONFIG": str(path)},
                )
                stack.callback(process.wait)
                stack.callback(process.kill)
            yield self

    def _configuration(self, number: int, peers: list[str]) -> dict[str, Any]:
        return {
            "name": f"n{number}",
            "listen": self.listens[number],
            "discovery": self.discovery,
            "seed": f"{number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": peers,
            "peer_listen": peers[number],
            "known": {"version": 1, "full": True, "servers": self.servers},
            "settings": self.settings | {"balancers": self.gateways, "index": number},
        }

    async def ready(self) -> None:
        """Waits until all gateways take connections; raises trio.TooSlowError after READY_TIMEOUT."""
        with trio.fail_after(READY_TIMEOUT):
            for listen in self.listens:
                host, port = listen.split(":")
                while True:
                    with suppress(OSError):
                        stream = await trio.open_tcp_stream(host, int(port))
                        await stream.aclose()
                        break
                    await trio.sleep(READY_POLL)
