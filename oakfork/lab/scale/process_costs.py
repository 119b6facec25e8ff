"""Memory and start of one real process of the program by the size of what it is told: `python -m oakfork` as a child,
on loopback, one at a time, killed at the end. It gets no RPC, and nobody is at the addresses that it is told of."""

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
HELD_SERVERS, HELD_GATEWAYS = 1, 3
VALUES = 3  # children a size
READY = 30.0  # seconds in which a child has to be ready
ANEW = 0.005  # seconds until it is asked again, while it does not listen yet
SETTLED = 1.0  # seconds after that until its memory is read
TICKS = os.sysconf("SC_CLK_TCK")
NOBODY = "127.0.0.1:9"
FIRST_PORT = 1024  # of the servers


class Seen(NamedTuple):
    """Of one child. Bytes and seconds."""

    memory: float  # resident, once settled
    peak: float  # the most until then
    ready: float  # from just before it was made to its first 200
    processor: float  # until then


def configuration(servers: int, gateways: int) -> dict[str, Any]:
    """What the first gateway of a tier is told; nobody listens at any address but its own."""
    listen, datagrams = (text(free_addresses(1, kind)[0]) for kind in (SOCK_STREAM, SOCK_DGRAM))
    known = [row | {"addr": f"127.0.0.1:{FIRST_PORT + number}"} for number, row in enumerate(rows(servers, 1))]
    others = [f"127.1.{number // 256}.{number % 256}:9" for number in range(1, gateways)]
    return {
        "name": "n0",
        "listen": listen,
        "discovery": NOBODY,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
        "peers": [datagrams, *others],
        "peer_listen": datagrams,
        "known": {"version": 1, "full": True, "servers": known},
        "settings": settings(gateways),
    }


def log_of(path: Path) -> Path:
    return path.with_suffix(".log")


@contextmanager
def child(path: Path) -> Iterator[subprocess.Popen]:
    """The program as a process with that configuration and no other LB_ variable; its log is a file beside. It is gone
    at the end."""
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
        process.wait(5)


def wait_ready(process: subprocess.Popen, listen: str, log: Path) -> None:
    """Returns at the child's first 200 to GET /-/ready; raises DrillProcessError where it
    ends or is not ready within READY."""
    host, port = listen.split(":")
    until = time.monotonic() + READY
    while (left := until - time.monotonic()) > 0:
        if process.poll() is not None:
            raise DrillProcessError(f"the gateway ended: {log.read_text()[-400:]}")
        with (
            suppress(OSError, http.client.HTTPException),
            closing(http.client.HTTPConnection(host, int(port), timeout=left)) as link,
        ):
            link.request("GET", "/-/ready")
            if link.getresponse().status == 200:
                return
        time.sleep(ANEW)
    raise DrillProcessError(f"the gateway was not ready within {READY:.0f} s: {log.read_text()[-400:]}")


def processor_seconds(pid: int) -> float:
    """User and system time of a process, in whole ticks of the system's."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory(pid: int) -> tuple[float, float]:
    """Bytes resident now, and at the most so far."""
    lines = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
    now, most = (int(lines[key].split()[0]) * 1024 for key in ("VmRSS", "VmHWM"))
    return now, most


def look(servers: int, gateways: int, settled: float = SETTLED) -> Seen:
    """Starts one child, sees what it takes, ends it; raises DrillProcessError."""
    with tempfile.TemporaryDirectory() as name:
        path, told = Path(name) / "n0.json", configuration(servers, gateways)
        path.write_text(json.dumps(told))
        begun = time.monotonic()
        with child(path) as process:
            wait_ready(process, told["listen"], log_of(path))
            ready, processor = time.monotonic() - begun, processor_seconds(process.pid)
            time.sleep(settled)
            return Seen(*memory(process.pid), ready, processor)


def measure(told: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Sizes in turn, again for each value, so that a slow minute is not one size's alone; raises DrillProcessError."""
    values, settled = (1, 0.1) if small else (VALUES, SETTLED)
    measures = []
    for by, sizes, held in (
        ("servers", SMALL_SERVERS if small else SERVERS, {"gateways": HELD_GATEWAYS}),
        ("gateways", SMALL_GATEWAYS if small else GATEWAYS, {"servers": HELD_SERVERS}),
    ):
        seen: dict[int, list[Seen]] = {size: [] for size in sizes}
        for _ in range(values):
            for size in sizes:
                servers, gateways = (size, HELD_GATEWAYS) if by == "servers" else (HELD_SERVERS, size)
                seen[size].append(look(servers, gateways, settled))
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
                    f"utime and stime in ticks of {1 / TICKS:g} s; {resident}",
                ),
            ]
        for what, unit, key, note in kinds:
            points = [(size, [float(getattr(one, key)) for one in seen[size]]) for size in sizes]
            measures.append(Measure(f"process by {by}: {what}", unit, by, points, held, note))
            told(measures[-1].name)
    return measures, {"python": sys.version.split()[0], "children_a_size": values, "settled_s": settled}
