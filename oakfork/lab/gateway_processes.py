"""Many real processes of the program on loopback, with relays between all of them, and what is done to them.

Every wait is bounded, each party has a port of its own, and nothing is left running.
"""

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any, Callable

import tomli_w
import trio

from oakfork.errors import DrillProcessError
from oakfork.lab.datagram_relay import DatagramRelays, socket_here
from oakfork.lab.fault_schedule import HOLDER, Trouble
from oakfork.lab.fenced_resource import FencedResource
from oakfork.lab.port_allocator import free_addresses, text

WITNESS = "witness"
READY = 20.0  # seconds in which a process has to be ready


class GatewayProcesses:
    """`configure(index, listen)` gives a gateway's configuration, `fleet(index, addresses, witness)` its fleet file."""

    def __init__(
        self,
        folder: Path,
        gateways: int,
        seed: int,
        configure: Callable[[int, str], dict[str, Any]],
        fleet: Callable[[int, list[str], str], dict[str, Any]],
        extra: dict[str, Callable[[int], dict[str, Any]]] | None = None,
    ) -> None:
        self.folder, self.gateways, self.seed = folder, gateways, seed
        self.configure, self.fleet, self.extra = configure, fleet, extra or {}
        places: dict[Any, tuple[str, int]] = dict(enumerate(free_addresses(gateways, socket.SOCK_DGRAM)))
        sock = socket_here()
        self.witness = FencedResource(sock, seed)
        places[WITNESS] = sock.getsockname()
        self.relays = DatagramRelays(places, seed)
        self.listens = [text(place) for place in free_addresses(gateways, socket.SOCK_STREAM)]
        self.processes: list[subprocess.Popen | None] = [None] * gateways
        self.stopped: set[int] = set()
        self.log: list[str] = []  # what was done, as many lines as troubles

    def _write(self, index: int) -> dict[str, str]:
        addresses = [text(self.relays.seen(index, other)) for other in range(self.gateways)]
        addresses[index] = text(self.relays.places[index])
        configuration, fleet = self.folder / f"n{index}.json", self.folder / f"n{index}.toml"
        configuration.write_text(json.dumps(self.configure(index, self.listens[index])))
        fleet.write_bytes(tomli_w.dumps(self.fleet(index, addresses, text(self.relays.seen(index, WITNESS)))).encode())
        paths = {"LB_CONFIG": str(configuration), "LB_FLEET": str(fleet)}
        for name, make in self.extra.items():
            path = self.folder / f"n{index}-{name}.toml"
            path.write_bytes(tomli_w.dumps(make(index)).encode())
            paths["LB_" + name.upper()] = str(path)
        return paths

    def start(self, index: int) -> None:
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        with open(self.folder / f"n{index}.log", "ab") as log:
            self.processes[index] = subprocess.Popen(
                [sys.executable, "-m", "oakfork"],
                stderr=log,
                stdout=log,
                env=environment | self._write(index),
                cwd=Path(__file__).parent.parent.parent,
            )

    def send(self, index: int, number: int) -> None:
        process = self.processes[index]
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, index: int) -> None:
        self.send(index, signal.SIGKILL)
        if self.processes[index] is not None:
            self.processes[index].wait(5)

    async def ready(self) -> None:
        """All processes are serving, or DrillProcessError."""
        with trio.move_on_after(READY) as scope:
            for index in range(self.gateways):
                while b'"serving"' not in (self.folder / f"n{index}.log").read_bytes():
                    if self.processes[index].poll() is not None:
                        raise DrillProcessError(
                            f"gateway {index} ended: {(self.folder / f'n{index}.log').read_text()[-400:]}"
                        )
                    await trio.sleep(0.02)
        if scope.cancelled_caught:
            raise DrillProcessError(f"not all {self.gateways} gateways were ready within {READY:.0f} s")

    async def run(self, play: Callable[["GatewayProcesses"], Any]) -> Any:
        """Starts all, plays, ends all."""
        result, failed = None, None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.relays.run)
                nursery.start_soon(self.witness.run)
                for index in range(self.gateways):
                    self.start(index)
                try:
                    await self.ready()
                    result = await play(self)
                except DrillProcessError as error:  # by itself, not inside the nursery's group
                    failed = error
                nursery.cancel_scope.cancel()
        finally:
            for index in range(self.gateways):
                with suppress(OSError, subprocess.TimeoutExpired):
                    self.kill(index)
        if failed:
            raise DrillProcessError(str(failed)) from failed
        return result

    # Troubles. Each undoes itself after its time.

    async def play(self, troubles: list[Trouble]) -> None:
        begun = trio.current_time()
        async with trio.open_nursery() as nursery:
            for trouble in troubles:
                await trio.sleep_until(begun + trouble.at)
                whom = trouble.whom if trouble.whom != HOLDER else self.witness.holder()
                if whom is not None:
                    self.log.append(
                        f"{trio.current_time() - begun:.3f} {trouble.kind} {whom} {trouble.other} "
                        f"{trouble.lasts} {trouble.size}"
                    )
                    nursery.start_soon(self.strike, trouble, whom)

    async def strike(self, trouble: Trouble, whom: int) -> None:
        kind = trouble.kind
        if kind in ("kill", "leave"):
            if self.processes[whom].poll() is not None:
                return  # down already
            self.send(whom, signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            await trio.to_thread.run_sync(self._ended, whom)
            await trio.sleep(trouble.lasts / 4)
            self.start(whom)
        elif kind == "stop":
            if whom in self.stopped:
                return
            self.stopped.add(whom)
            self.send(whom, signal.SIGSTOP)
            await trio.sleep(trouble.lasts)
            self.send(whom, signal.SIGCONT)
            self.stopped.discard(whom)
        elif kind == "witness restarts":
            self.witness.restart()
        else:
            changes = {
                "cut": {"cut": True},
                "cut one way": {"cut": True},
                "lose": {"loss": trouble.size},
                "delay": {"delay": trouble.size},
                "double": {"double": trouble.size},
            }[kind]
            others = [
                other
                for other in self.relays.places
                if other != whom and (trouble.other in (-1, other) or other == WITNESS and kind in ("delay", "double"))
            ]
            for other in others:
                self.relays.set(whom, other, kind != "cut one way", **changes)
            await trio.sleep(trouble.lasts)
            for other in others:
                self.relays.set(
                    whom, other, kind != "cut one way", **{name: type(value)(0) for name, value in changes.items()}
                )

    def _ended(self, index: int) -> None:
        try:
            self.processes[index].wait(8)
        except subprocess.TimeoutExpired:
            self.kill(index)
