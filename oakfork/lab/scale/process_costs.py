"""Group "process": memory and start-up of one real gateway process by the size of its configuration.

Each `python -m oakfork` runs as a child process on loopback, one at a time, and is killed at the end. It gets no RPC,
and nothing listens at the addresses of its configuration.
"""

import http.client
import json
import os
import subprocess
import sys
import tempfile
import time
from contextlib import closing, contextmanager, suppress
from pathlib import Path
from socket import SOCK_DGRAM, SOCK_STREAM
from typing import Any, Callable, Iterator, NamedTuple

from oakfork.errors import DrillProcessError
from oakfork.lab.port_allocator import free_addresses, text
from oakfork.lab.scale.peer_frames import MAIL_PER_S, settings
from oakfork.lab.scale.server_lists import rows
from oakfork.lab.scale.slopes import Measure

GROUP = "process"
SERVERS = (1, 1000, 4000, 10_000, 41_000)
GATEWAYS = (3, 30, 300, 1000, 2700)
SMALL_SERVERS = (1, 1000, 2000, 4000)
SMALL_GATEWAYS = (3, 300, 1000, 2700)
HELD_SERVERS = 1
HELD_GATEWAYS = 3
PROCESSES_PER_SIZE = 3
READY_TIMEOUT_S = 30.0  # for a child to be ready
READY_POLL_S = 0.005  # between readiness requests, while the child does not listen yet
SETTLE_S = 1.0  # from ready until the memory is read
SMALL_SETTLE_S = 0.1
END_TIMEOUT_S = 5.0  # for a killed child
LOG_TAIL = 400  # characters of a child's log that an error quotes
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
UNUSED_ADDRESS = "127.0.0.1:9"
FIRST_PORT = 1024  # of the servers


class ProcessCost(NamedTuple):
    """What one child took, in bytes and seconds."""

    memory: float  # resident, once settled
    peak: float  # the largest resident size until then
    ready: float  # from just before it was created to its first 200
    processor: float  # user and system time until it was ready


def configuration(servers: int, gateways: int) -> dict[str, Any]:
    """The configuration of the first gateway of a tier; nothing listens at any address but its own."""
    listen = text(free_addresses(1, SOCK_STREAM)[0])
    datagrams = text(free_addresses(1, SOCK_DGRAM)[0])
    known = [row | {"addr": f"127.0.0.1:{FIRST_PORT + number}"} for number, row in enumerate(rows(servers, 1))]
    others = [f"127.1.{number // 256}.{number % 256}:9" for number in range(1, gateways)]
    return {
        "name": "n0",
        "listen": listen,
        "discovery": UNUSED_ADDRESS,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
        "peers": [datagrams, *others],
        "peer_listen": datagrams,
        "known": {"version": 1, "full": True, "servers": known},
        "settings": settings(gateways),
    }


def log_of(path: Path) -> Path:
    """The log file of the child with that configuration file."""
    return path.with_suffix(".log")


@contextmanager
def child(path: Path) -> Iterator[subprocess.Popen]:
    """Runs the program as a child with that configuration file and no other LB_ variable; kills it at the end.

    Its log goes to `log_of(path)`.
    """
    environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
    with open(log_of(path), "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-m", "oakfork"],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env=environment | {"LB_CONFIG": str(path)},
            cwd=Path(__file__).parents[3],
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait(END_TIMEOUT_S)


def wait_ready(process: subprocess.Popen, listen: str, log: Path) -> None:
    """Waits for the child's first 200 to GET /-/ready.

    Raises DrillProcessError where the child ends, or is not ready within READY_TIMEOUT_S.
    """
    host, port = listen.split(":")
    deadline = time.monotonic() + READY_TIMEOUT_S
    while (remaining := deadline - time.monotonic()) > 0:
        if process.poll() is not None:
            raise DrillProcessError(f"the gateway process ended before it was ready: {log.read_text()[-LOG_TAIL:]}")
        with (
            suppress(OSError, http.client.HTTPException),
            closing(http.client.HTTPConnection(host, int(port), timeout=remaining)) as connection,
        ):
            connection.request("GET", "/-/ready")
            if connection.getresponse().status == 200:
                return
        time.sleep(READY_POLL_S)
    raise DrillProcessError(f"the gateway was not ready within {READY_TIMEOUT_S:.0f} s: {log.read_text()[-LOG_TAIL:]}")


def processor_seconds(pid: int) -> float:
    """User and system time of a process in seconds, to whole clock ticks."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory(pid: int) -> tuple[float, float]:
    """Resident bytes of a process, now and at the peak so far."""
    lines = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    now, peak = (int(lines[key].split()[0]) * 1024 for key in ("VmRSS", "VmHWM"))
    return now, peak


def measure_process(servers: int, gateways: int, settle: float = SETTLE_S) -> ProcessCost:
    """Starts one child, measures it `settle` seconds after it is ready, and ends it; raises DrillProcessError."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "n0.json"
        document = configuration(servers, gateways)
        path.write_text(json.dumps(document))
        begun = time.monotonic()
        with child(path) as process:
            wait_ready(process, document["listen"], log_of(path))
            ready = time.monotonic() - begun
            processor = processor_seconds(process.pid)
            time.sleep(settle)
            return ProcessCost(*memory(process.pid), ready, processor)


def measure(report: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Measures all sizes in turn, once for each value, so that a slow minute does not affect one size only.

    Raises DrillProcessError where a child does not start.
    """
    values = 1 if small else PROCESSES_PER_SIZE
    settled = SMALL_SETTLE_S if small else SETTLE_S
    measures = []
    for by, sizes, held in (
        ("servers", SMALL_SERVERS if small else SERVERS, {"gateways": HELD_GATEWAYS}),
        ("gateways", SMALL_GATEWAYS if small else GATEWAYS, {"servers": HELD_SERVERS}),
    ):
        costs: dict[int, list[ProcessCost]] = {size: [] for size in sizes}
        for _ in range(values):
            for size in sizes:
                servers, gateways = (size, HELD_GATEWAYS) if by == "servers" else (HELD_SERVERS, size)
                costs[size].append(measure_process(servers, gateways, settled))
        held = held | {"rpcs": 0, "customers": 0, "mail_per_s": MAIL_PER_S}
        resident = "a fresh process told of them by its configuration, no RPC, nobody at the other addresses"
        kinds = [
            ("bytes of memory", "bytes", "memory", f"VmRSS {settled} s after it was ready; {resident}"),
            ("bytes of memory at the peak", "bytes", "peak", f"VmHWM, the start included; {resident}"),
        ]
        if by == "servers":
            kinds += [
                ("seconds to ready", "seconds", "ready", f"to the first 200 of GET /-/ready; {resident}"),
                (
                    "processor seconds to ready",
                    "seconds",
                    "processor",
                    f"utime and stime in ticks of {1 / TICKS_PER_S:g} s; {resident}",
                ),
            ]
        for what, unit, key, note in kinds:
            points = [(size, [float(getattr(cost, key)) for cost in costs[size]]) for size in sizes]
            measures.append(Measure(f"process by {by}: {what}", unit, by, points, held, note))
            report(measures[-1].name)
    return measures, {"python": sys.version.split()[0], "children_a_size": values, "settled_s": settled}
