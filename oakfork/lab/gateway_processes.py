"""Real gateway processes on loopback with relays between all of them, and faults injected into them.

Every wait is bounded, each endpoint has a port of its own, and no process outlives the drill.
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
from oakfork.lab.datagram_relay import DatagramRelays, bound_socket
from oakfork.lab.fault_schedule import ALL_OTHERS, HOLDER, Trouble
from oakfork.lab.fenced_resource import FencedResource
from oakfork.lab.port_allocator import free_addresses, text

RESOURCE = "witness"  # the fenced resource among the endpoints of the relays
READY_TIMEOUT = 20.0  # seconds for all processes to serve
READY_POLL = 0.02  # seconds
KILL_TIMEOUT = 5  # seconds for a process to end after SIGKILL
LEAVE_TIMEOUT = 8  # seconds for a process to end by itself
LOG_TAIL = 400  # characters of a log that an error shows


class GatewayProcesses:
    """Processes of the program, the relays between them, and a fenced resource that they act on."""

    def __init__(
        self,
        folder: Path,
        gateways: int,
        seed: int,
        configure: Callable[[int, str], dict[str, Any]],
        fleet: Callable[[int, list[str], str], dict[str, Any]],
        extra: dict[str, Callable[[int], dict[str, Any]]] | None = None,
    ) -> None:
        """Reserves addresses; `run` starts the processes.

        `configure(index, listen)` makes the configuration of a gateway, `fleet(index, addresses, resource)` its fleet
        file. `extra` makes further TOML files by name; the environment variable LB_NAME holds the path of each.
        """
        self.folder = folder
        self.gateways = gateways
        self.seed = seed
        self.configure = configure
        self.fleet = fleet
        self.extra = extra or {}
        places: dict[Any, tuple[str, int]] = dict(enumerate(free_addresses(gateways, socket.SOCK_DGRAM)))
        sock = bound_socket()
        self.resource = FencedResource(sock, seed)
        places[RESOURCE] = sock.getsockname()
        self.relays = DatagramRelays(places, seed)
        self.listens = [text(address) for address in free_addresses(gateways, socket.SOCK_STREAM)]
        self.processes: list[subprocess.Popen | None] = [None] * gateways
        self.stopped: set[int] = set()  # by SIGSTOP
        self.log: list[str] = []  # one line for each fault that was injected

    def log_path(self, index: int) -> Path:
        """The log of a gateway, over all its restarts."""
        return self.folder / f"n{index}.log"

    def _write_files(self, index: int) -> dict[str, str]:
        """Writes a gateway's files, and returns the environment variables that name them."""
        addresses = [text(self.relays.seen(index, other)) for other in range(self.gateways)]
        addresses[index] = text(self.relays.places[index])
        resource = text(self.relays.seen(index, RESOURCE))
        configuration_path = self.folder / f"n{index}.json"
        fleet_path = self.folder / f"n{index}.toml"
        configuration_path.write_text(json.dumps(self.configure(index, self.listens[index])))
        fleet_path.write_bytes(tomli_w.dumps(self.fleet(index, addresses, resource)).encode())
        variables = {"LB_CONFIG": str(configuration_path), "LB_FLEET": str(fleet_path)}
        for name, make in self.extra.items():
            path = self.folder / f"n{index}-{name}.toml"
            path.write_bytes(tomli_w.dumps(make(index)).encode())
            variables["LB_" + name.upper()] = str(path)
        return variables

    def start(self, index: int) -> None:
        """Starts a gateway's process."""
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        with open(self.log_path(index), "ab") as log:
            self.processes[index] = subprocess.Popen(
                [sys.executable, "-m", "oakfork"],
                stderr=log,
                stdout=log,
                env=environment | self._write_files(index),
                cwd=Path(__file__).parent.parent.parent,
            )

    def send_signal(self, index: int, number: int) -> None:
        """Sends a signal to a gateway's process if it is running."""
        process = self.processes[index]
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, index: int) -> None:
        """Kills a gateway's process and waits for its end; raises subprocess.TimeoutExpired after KILL_TIMEOUT."""
        self.send_signal(index, signal.SIGKILL)
        if self.processes[index] is not None:
            self.processes[index].wait(KILL_TIMEOUT)

    async def ready(self) -> None:
        """Waits until all processes serve; raises DrillProcessError if one ends or READY_TIMEOUT passes."""
        with trio.move_on_after(READY_TIMEOUT) as scope:
            for index in range(self.gateways):
                log = self.log_path(index)
                while b'"serving"' not in log.read_bytes():
                    if self.processes[index].poll() is not None:
                        raise DrillProcessError(f"gateway {index} ended: {log.read_text()[-LOG_TAIL:]}")
                    await trio.sleep(READY_POLL)
        if scope.cancelled_caught:
            raise DrillProcessError(f"not all {self.gateways} gateways were ready within {READY_TIMEOUT:.0f} s")

    async def run(self, drill: Callable[["GatewayProcesses"], Any]) -> Any:
        """Starts all processes, awaits `drill(self)` and returns its result; ends all processes in any case."""
        result, failure = None, None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.relays.run)
                nursery.start_soon(self.resource.run)
                for index in range(self.gateways):
                    self.start(index)
                try:
                    await self.ready()
                    result = await drill(self)
                except DrillProcessError as error:  # raised below, so that it is not part of an exception group
                    failure = error
                nursery.cancel_scope.cancel()
        finally:
            for index in range(self.gateways):
                with suppress(OSError, subprocess.TimeoutExpired):
                    self.kill(index)
        if failure:
            raise DrillProcessError(str(failure)) from failure
        return result

    # Faults. Each is undone after its time.

    async def play(self, troubles: list[Trouble]) -> None:
        """Injects the faults of a schedule at their times, which count from now."""
        begun = trio.current_time()
        async with trio.open_nursery() as nursery:
            for trouble in troubles:
                await trio.sleep_until(begun + trouble.at)
                gateway = trouble.whom if trouble.whom != HOLDER else self.resource.holder()
                if gateway is not None:
                    elapsed = trio.current_time() - begun
                    self.log.append(
                        f"{elapsed:.3f} {trouble.kind} {gateway} {trouble.other} {trouble.lasts} {trouble.size}"
                    )
                    nursery.start_soon(self.inject, trouble, gateway)

    async def inject(self, trouble: Trouble, gateway: int) -> None:
        """Injects one fault at a gateway, and returns when it is undone."""
        if trouble.kind in ("kill", "leave"):
            await self._restart(trouble, gateway)
        elif trouble.kind == "stop":
            await self._stop(trouble, gateway)
        elif trouble.kind == "witness restarts":
            self.resource.restart()
        else:
            await self._disturb(trouble, gateway)

    async def _restart(self, trouble: Trouble, gateway: int) -> None:
        if self.processes[gateway].poll() is not None:
            return  # another fault has ended it
        self.send_signal(gateway, signal.SIGKILL if trouble.kind == "kill" else signal.SIGTERM)
        await trio.to_thread.run_sync(self._wait_for_end, gateway)
        await trio.sleep(trouble.lasts / 4)
        self.start(gateway)

    async def _stop(self, trouble: Trouble, gateway: int) -> None:
        if gateway in self.stopped:
            return
        self.stopped.add(gateway)
        self.send_signal(gateway, signal.SIGSTOP)
        await trio.sleep(trouble.lasts)
        self.send_signal(gateway, signal.SIGCONT)
        self.stopped.discard(gateway)

    async def _disturb(self, trouble: Trouble, gateway: int) -> None:
        """Changes the paths between a gateway and the other side of a fault."""
        changes = {
            "cut": {"cut": True},
            "cut one way": {"cut": True},
            "lose": {"loss": trouble.size},
            "delay": {"delay": trouble.size},
            "double": {"double": trouble.size},
        }[trouble.kind]
        unchanged = {name: type(value)(0) for name, value in changes.items()}
        both = trouble.kind != "cut one way"
        others = [other for other in self.relays.places if other != gateway and _concerns(trouble, other)]
        for other in others:
            self.relays.set(gateway, other, both, **changes)
        await trio.sleep(trouble.lasts)
        for other in others:
            self.relays.set(gateway, other, both, **unchanged)

    def _wait_for_end(self, index: int) -> None:
        """Waits until a process ends by itself, and kills it after LEAVE_TIMEOUT."""
        try:
            self.processes[index].wait(LEAVE_TIMEOUT)
        except subprocess.TimeoutExpired:
            self.kill(index)


def _concerns(trouble: Trouble, other: Any) -> bool:
    """Whether a endpoint is on the other side; delayed and doubled frames always concern the fenced resource too."""
    if trouble.other in (ALL_OTHERS, other):
        return True
    return other == RESOURCE and trouble.kind in ("delay", "double")
