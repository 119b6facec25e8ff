"""Stand-ins for what a real gateway stands before, and a small tier of real gateways, all on loopback."""

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

MOST_CONNECTIONS = 2000


class FakeService(ABC):
    """A party that answers HTTP/1.1 requests, in a trio nursery."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(256)
        self.sock.setblocking(False)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        self.open = 0
        self.gone = False  # its machine vanished: connections stay silent, new ones are refused

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                with suppress(OSError):
                    sock = self.sock.accept()[0]
                    if self.open < MOST_CONNECTIONS and not self.gone:
                        nursery.start_soon(self._serve, sock)
                    else:
                        sock.close()

    async def _serve(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = HttpConnection(sock, h11.SERVER)
        self.open += 1
        try:
            while True:
                status, body, headers = await self.answer(await link.read())
                headers = [("Content-Length", str(len(body))), *headers]
                left = link.put(h11.Response(status_code=status, headers=headers), body)
                await link.drain(left)
                if not link.renew():
                    return
        except ConnectionFailedError:
            pass
        finally:
            self.open -= 1
            trio.lowlevel.notify_closing(sock)
            link.close()

    @abstractmethod
    async def answer(self, message: HttpMessage) -> tuple[int, bytes, list[tuple[str, str]]]:
        """Status, body and headers of the answer to one request."""


@dataclass
class ServerWorkload:
    """What a stand-in server does with RPCs, in seconds."""

    mean: float = 0.02
    cores: int = 3
    waiting: int = 30
    seed: int = 1


class FakeServer(FakeService):
    """Cores, a queue, and work drawn as in the model; `ran` counts effects by RPC."""

    def __init__(self, work: ServerWorkload) -> None:
        super().__init__()
        self.work, self.dice = work, numpy.random.default_rng(work.seed)
        self.cores = trio.CapacityLimiter(work.cores)
        self.ran: dict[bytes, int] = {}  # as many as RPCs of a bounded run
        self.probes = 0

    async def answer(self, message: HttpMessage) -> tuple[int, bytes, list[tuple[str, str]]]:
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
            await trio.sleep(self.dice.exponential(self.work.mean))
        return 200, b"made for " + rpc, []


class FakeDiscovery(FakeService):
    """An agent that tells one list, and changes of it to those who watch."""

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        super().__init__()
        self.version, self.servers, self.changed = 1, servers, trio.Event()

    def change(self, servers: list[dict[str, Any]]) -> None:
        self.version, self.servers = self.version + 1, servers
        self.changed.set()
        self.changed = trio.Event()

    async def answer(self, message: HttpMessage) -> tuple[int, bytes, list[tuple[str, str]]]:
        asked = re.search(rb"from=(\d+)&hold_ms=(\d+)", message.head.target)
        if asked and self.version <= int(asked[1]):
            with trio.move_on_after(min(60.0, int(asked[2]) / 1000)):
                await self.changed.wait()
        new = not asked or self.version > int(asked[1])
        told = {"version": self.version, "full": not asked, "servers": self.servers if new else []}
        return 200, json.dumps(told).encode(), []


def entry(number: int, address: str) -> dict[str, Any]:
    return {
        "id": f"s-{number:08x}",
        "addr": address,
        "zone": "z",
        "kind": "k",
        "cell": number % 4,
        "state": "up",
        "weight": 1.0,
        "started_ms": 0,
    }


def free_address(kind: socket.SocketKind) -> str:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


@dataclass
class SocketTier:
    """Real gateways as processes, told of stand-ins."""

    folder: Path
    gateways: int
    discovery: str
    servers: list[dict[str, Any]]
    settings: dict[str, Any]
    listens: list[str] = field(default_factory=list)

    @contextmanager
    def started(self) -> Iterator["SocketTier"]:
        self.listens = [free_address(socket.SOCK_STREAM) for _ in range(self.gateways)]
        peers = [free_address(socket.SOCK_DGRAM) for _ in range(self.gateways)]
        with ExitStack() as stack:
            for number in range(self.gateways):
                told = {
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
                path = self.folder / f"n{number}.json"
                path.write_text(json.dumps(told))
                environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
                process = subprocess.Popen(
                    [sys.executable, "-m", "oakfork"],
                    stderr=subprocess.DEVNULL,
                    env=environment | {"LB_CONFIG": str(path)},
                )
                stack.callback(process.wait)
                stack.callback(process.kill)
            yield self

    async def ready(self) -> None:
        """Waits until all take connections; ten seconds at most."""
        with trio.fail_after(10):
            for text in self.listens:
                host, port = text.split(":")
                while True:
                    with suppress(OSError):
                        stream = await trio.open_tcp_stream(host, int(port))
                        await stream.aclose()
                        break
                    await trio.sleep(0.02)
