"""What gateways and the bare calls of group "added" stand before: servers and discovery, in a process of their own.

The process takes orders as JSON lines on its standard input and ends at its end, or after LIFE. Its servers note when
they had a request whole and when they began to answer it, by time.perf_counter_ns.
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

LIFE = 900.0  # seconds
MOST_SERVED = 200_000
KEPT = 64  # changes of the list that a watch may be behind
ROOT = Path(__file__).resolve().parents[3]


class Served(NamedTuple):
    """One RPC at one server: nanoseconds."""

    rpc: str
    server: int
    came: int
    answered: int


class SteadyServer(FakeServer):
    """Work of a fixed length; may hang, or break a part of its connections over a request that it has taken."""

    def __init__(self, number: int, seconds: float, served: list[Served]) -> None:
        super().__init__(ServerWorkload(seconds, 64, 1000, number))
        self.number, self.served = number, served
        self.hangs, self.breaks, self.luck = False, 0.0, random.Random(number)

    async def answer(self, message: HttpMessage) -> tuple[int, bytes, list[tuple[str, str]]]:
        came = perf_counter_ns()
        if self.hangs:
            await trio.sleep_forever()
        rpc = message.header(b"x-txn")
        if rpc is None or message.head.target.startswith(b"/-/"):
            return await super().answer(message)
        if self.luck.random() < self.breaks:
            raise ConnectionFailedError(Outcome.GIVEN_UP)
        async with self.cores:
            await trio.sleep(self.work.mean)
        if len(self.served) < MOST_SERVED:
            self.served.append(Served(rpc.decode("latin-1"), self.number, came, perf_counter_ns()))
        return 200, b"made for " + rpc, []


class ChangingList(FakeDiscovery):
    """Tells those who watch the entries that have changed since, not the whole list."""

    def begin(self, servers: list[dict[str, Any]]) -> None:
        """Another list, for gateways that are yet to start."""
        self.version, self.servers, self.changes = 1, servers, deque(maxlen=KEPT)

    def turn(self, number: int) -> None:
        """The registered size of one server changes: nothing that the choice among servers would notice."""
        row = self.servers[number]
        row["weight"] = 3.0 - row["weight"]
        self.changes.append((self.version + 1, row))
        self.change(self.servers)

    async def answer(self, message: HttpMessage) -> tuple[int, bytes, list[tuple[str, str]]]:
        status, body, headers = (
            await super().answer(message)
            if b"from=" not in message.head.target
            else (200, await self._news(message.head.target), [])
        )
        return status, body, headers

    async def _news(self, target: bytes) -> bytes:
        asked = dict(part.split(b"=") for part in target.partition(b"?")[2].split(b"&"))
        since = int(asked[b"from"])
        if self.version <= since:
            with trio.move_on_after(min(60.0, int(asked[b"hold_ms"]) / 1000)):
                await self.changed.wait()
        behind = bool(self.changes) and self.changes[0][0] > since + 1
        rows = self.servers if behind else [row for version, row in self.changes if version > since]
        return json.dumps({"version": self.version, "full": behind, "servers": rows}).encode()


def listed(servers: int, addresses: list[str]) -> list[dict[str, Any]]:
    """So many entries, which stand for the servers at these addresses in turn."""
    return [entry(number, addresses[number % len(addresses)]) for number in range(servers)]


class Play:
    """The process's side."""

    def __init__(self, servers: int, work_s: float) -> None:
        self.served: list[Served] = []
        self.servers = [SteadyServer(number, work_s, self.served) for number in range(servers)]
        self.discovery = ChangingList([])
        self.discovery.begin([])
        self.every = 0.0  # seconds between changes of the list; 0: none

    async def run(self) -> None:
        self._say({"servers": [server.address for server in self.servers], "discovery": self.discovery.address})
        with trio.move_on_after(LIFE):
            async with trio.open_nursery() as nursery:
                for party in (*self.servers, self.discovery):
                    nursery.start_soon(party.run)
                nursery.start_soon(self._change)
                await self._obey()
                nursery.cancel_scope.cancel()

    async def _obey(self) -> None:
        left = b""
        async with trio.lowlevel.FdStream(os.dup(sys.stdin.fileno())) as orders:
            async for data in orders:
                *lines, left = (left + data).split(b"\n")
                for line in lines:
                    self._say(self._do(**json.loads(line)))

    def _do(self, do: str, **told: Any) -> dict[str, Any]:
        if do == "list":  # of so many entries, at the first `among` servers
            addresses = [server.address for server in self.servers][: told["among"]]
            self.discovery.begin(listed(told["servers"], addresses))
        elif do == "changes":
            self.every = told["every_s"]
        elif do == "server":
            server = self.servers[told["number"]]
            server.work.mean, server.hangs, server.breaks = told["work_s"], told["hangs"], told["breaks"]
        elif do == "served":  # since the last time
            served = list(self.served)
            self.served.clear()
            return {"served": served}
        return {}

    def _say(self, told: dict[str, Any]) -> None:
        sys.stdout.write(json.dumps(told) + "\n")
        sys.stdout.flush()

    async def _change(self) -> None:
        turn = 0
        while True:
            await trio.sleep(self.every or 0.05)
            if self.every and self.discovery.servers:
                turn += 1
                self.discovery.turn(turn * 7919 % len(self.discovery.servers))


class Parties:
    """The other side: starts the process and gives it orders. Raises DrillProcessError where it does not answer."""

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
        self.addresses: list[str] = []
        self.discovery = ""

    def __enter__(self) -> "Parties":
        try:
            told = self._heard()
        except BaseException:
            self.__exit__()
            raise
        self.addresses, self.discovery = told["servers"], told["discovery"]
        return self

    def __exit__(self, *error: object) -> None:
        self.process.stdin.close()
        try:
            self.process.wait(5)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()

    def _heard(self) -> dict[str, Any]:
        if not (line := self.process.stdout.readline()):
            raise DrillProcessError("the process of stand-in servers ended")
        return json.loads(line)

    def do(self, order: str, **told: Any) -> dict[str, Any]:
        """Waits until it is done: at once, or the process has ended."""
        try:
            self.process.stdin.write(json.dumps({"do": order} | told).encode() + b"\n")
            self.process.stdin.flush()
        except OSError:
            raise DrillProcessError("the process of stand-in servers ended") from None
        return self._heard()

    def sound(self) -> None:
        """Every server does its work."""
        for number in range(len(self.addresses)):
            self.server(number)

    def server(self, number: int, work_s: float | None = None, hangs: bool = False, breaks: float = 0.0) -> None:
        self.do("server", number=number, work_s=self.work_s if work_s is None else work_s, hangs=hangs, breaks=breaks)

    def served(self) -> dict[str, list[Served]]:
        """What was served since the last time, by RPC, in the order of the answers."""
        found: dict[str, list[Served]] = {}
        for row in self.do("served")["served"]:
            found.setdefault(row[0], []).append(Served(*row))
        return found


if __name__ == "__main__":
    trio.run(Play(int(sys.argv[1]), float(sys.argv[2])).run)
