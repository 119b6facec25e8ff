"""What the gateways and the direct calls of group "added" call: servers and discovery, in a process of their own.

The process takes orders as JSON lines on its standard input and ends when that is closed, or after LIFETIME_S. Its
servers record when a request was complete and when they began to answer it, by time.perf_counter_ns.
"""

import json
import os
import random
import subprocess
import sys
from collections import deque
from pathlib import Path
from time import perf_counter_ns
from typing import Any, NamedTuple

import trio

from oakfork.errors import ConnectionFailedError, DrillProcessError
from oakfork.lab.fake_services import FakeDiscovery, FakeServer, ServerWorkload, entry
from oakfork.sockets.http_connection import HttpMessage
from oakfork.sockets.outcomes import Outcome

LIFETIME_S = 900.0
END_TIMEOUT_S = 5.0  # for the process to end by itself
MAX_SERVED = 200_000  # RPCs that are recorded between two readings
KEPT_CHANGES = 64  # changes of the list that a watch may be behind
MAX_HOLD_S = 60.0  # of a watch
POLL_S = 0.05  # for the order to change the list
SERVER_STRIDE = 7919  # a prime, so that changes go through all servers
ROOT = Path(__file__).resolve().parents[3]

Answer = tuple[int, bytes, list[tuple[str, str]]]  # status, body, headers


class ServedRpc(NamedTuple):
    """One RPC at one server: when the request was complete and when the answer began, in nanoseconds."""

    rpc: str
    server: int
    came: int
    answered: int


class SteadyServer(FakeServer):
    """A server whose work takes a fixed time; it may hang, or break the connections of a share of its RPCs."""

    def __init__(self, number: int, seconds: float, served: list[ServedRpc]) -> None:
        super().__init__(ServerWorkload(seconds, 64, 1000, number))
        self.number = number
        self.served = served
        self.hangs = False
        self.breaks = 0.0  # share of RPCs whose connection breaks
        self.random = random.Random(number)

    async def answer(self, message: HttpMessage) -> Answer:
        """Answers a request, and records an RPC."""
        came = perf_counter_ns()
        if self.hangs:
            await trio.sleep_forever()
        rpc = message.header(b"x-txn")
        if rpc is None or message.head.target.startswith(b"/-/"):
            return await super().answer(message)
        if self.random.random() < self.breaks:
            raise ConnectionFailedError(Outcome.GIVEN_UP)
        async with self.cores:
            await trio.sleep(self.work.mean)
        if len(self.served) < MAX_SERVED:
            self.served.append(ServedRpc(rpc.decode("latin-1"), self.number, came, perf_counter_ns()))
        return 200, b"made for " + rpc, []


class ChangingList(FakeDiscovery):
    """Discovery that answers a watch with the entries that have changed since, not with the whole list."""

    def begin(self, servers: list[dict[str, Any]]) -> None:
        """Replaces the list, for gateways that are yet to start."""
        self.version = 1
        self.servers = servers
        self.changes: deque[tuple[int, dict[str, Any]]] = deque(maxlen=KEPT_CHANGES)  # version and entry

    def change_server(self, number: int) -> None:
        """Changes the registered size of one server, which the choice among servers does not notice."""
        row = self.servers[number]
        row["weight"] = 3.0 - row["weight"]
        self.changes.append((self.version + 1, row))
        self.change(self.servers)

    async def answer(self, message: HttpMessage) -> Answer:
        """Answers a watch with its changes, and any other request as FakeDiscovery does."""
        if b"from=" in message.head.target:
            return 200, await self._changes_since(message.head.target), []
        return await super().answer(message)

    async def _changes_since(self, target: bytes) -> bytes:
        query = dict(part.split(b"=") for part in target.partition(b"?")[2].split(b"&"))
        since = int(query[b"from"])
        if self.version <= since:
            with trio.move_on_after(min(MAX_HOLD_S, int(query[b"hold_ms"]) / 1000)):
                await self.changed.wait()
        behind = bool(self.changes) and self.changes[0][0] > since + 1
        rows = self.servers if behind else [row for version, row in self.changes if version > since]
        return json.dumps({"version": self.version, "full": behind, "servers": rows}).encode()


def server_entries(servers: int, addresses: list[str]) -> list[dict[str, Any]]:
    """That many entries of a list, which share the servers at these addresses in turn."""
    return [entry(number, addresses[number % len(addresses)]) for number in range(servers)]


class BackendProcess:
    """The process of servers and discovery."""

    def __init__(self, servers: int, work_s: float) -> None:
        self.served: list[ServedRpc] = []
        self.servers = [SteadyServer(number, work_s, self.served) for number in range(servers)]
        self.discovery = ChangingList([])
        self.discovery.begin([])
        self.change_interval_s = 0.0  # between changes of the list; 0: none

    async def run(self) -> None:
        """Serves and carries out orders until the standard input is closed."""
        self._write({"servers": [server.address for server in self.servers], "discovery": self.discovery.address})
        with trio.move_on_after(LIFETIME_S):
            async with trio.open_nursery() as nursery:
                for service in (*self.servers, self.discovery):
                    nursery.start_soon(service.run)
                nursery.start_soon(self._change_list)
                await self._carry_out_orders()
                nursery.cancel_scope.cancel()

    async def _carry_out_orders(self) -> None:
        rest = b""
        async with trio.lowlevel.FdStream(os.dup(sys.stdin.fileno())) as orders:
            async for data in orders:
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    self._write(self._do(**json.loads(line)))

    def _do(self, do: str, **arguments: Any) -> dict[str, Any]:
        if do == "list":  # of that many entries, at the first `among` servers
            addresses = [server.address for server in self.servers][: arguments["among"]]
            self.discovery.begin(server_entries(arguments["servers"], addresses))
        elif do == "changes":
            self.change_interval_s = arguments["every_s"]
        elif do == "server":
            server = self.servers[arguments["number"]]
            server.work.mean = arguments["work_s"]
            server.hangs = arguments["hangs"]
            server.breaks = arguments["breaks"]
        elif do == "served":  # since the last such order
            served = list(self.served)
            self.served.clear()
            return {"served": served}
        return {}

    def _write(self, reply: dict[str, Any]) -> None:
        sys.stdout.write(json.dumps(reply) + "\n")
        sys.stdout.flush()

    async def _change_list(self) -> None:
        count = 0
        while True:
            await trio.sleep(self.change_interval_s or POLL_S)
            if self.change_interval_s and self.discovery.servers:
                count += 1
                self.discovery.change_server(count * SERVER_STRIDE % len(self.discovery.servers))


class Backends:
    """Starts the process of servers and discovery and gives it orders.

    Raises DrillProcessError where the process has ended.
    """

    def __init__(self, servers: int, work_s: float) -> None:
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        self.process = subprocess.Popen(
            [sys.executable, "-m", __name__, str(servers), str(work_s)],
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        self.work_s = work_s
        self.addresses: list[str] = []  # of the servers
        self.discovery = ""  # address

    def __enter__(self) -> "Backends":
        try:
            started = self._read()
        except BaseException:
            self.__exit__()
            raise
        self.addresses = started["servers"]
        self.discovery = started["discovery"]
        return self

    def __exit__(self, *error: object) -> None:
        self.process.stdin.close()
        try:
            self.process.wait(END_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()

    def _read(self) -> dict[str, Any]:
        line = self.process.stdout.readline()
        if not line:
            raise DrillProcessError("the process of fake servers has ended")
        return json.loads(line)

    def do(self, order: str, **arguments: Any) -> dict[str, Any]:
        """Gives an order and returns the reply; the process carries out each order at once."""
        try:
            self.process.stdin.write(json.dumps({"do": order} | arguments).encode() + b"\n")
            self.process.stdin.flush()
        except OSError:
            raise DrillProcessError("the process of fake servers has ended") from None
        return self._read()

    def reset_servers(self) -> None:
        """Has every server work without faults again."""
        for number in range(len(self.addresses)):
            self.set_server(number)

    def set_server(self, number: int, work_s: float | None = None, hangs: bool = False, breaks: float = 0.0) -> None:
        """Sets a server's seconds of work for an RPC, and its faults."""
        self.do("server", number=number, work_s=self.work_s if work_s is None else work_s, hangs=hangs, breaks=breaks)

    def served(self) -> dict[str, list[ServedRpc]]:
        """What was served since the last call, by RPC, in the order of the answers."""
        by_rpc: dict[str, list[ServedRpc]] = {}
        for row in self.do("served")["served"]:
            by_rpc.setdefault(row[0], []).append(ServedRpc(*row))
        return by_rpc


if __name__ == "__main__":
    trio.run(BackendProcess(int(sys.argv[1]), float(sys.argv[2])).run)
