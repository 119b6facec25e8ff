"""How soon many gateways that start at once on a part of the machine are ready.

    python experiments/readiness.py [NUMBER [CORES]]

NUMBER processes (30) share CORES cores (3: a tenth of one each) and start together. Prints when the first, nine in ten
and the last of them answered GET /-/ready with 200. All are ended after sixty seconds at most.
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

from oakfork.lab.port_allocator import free_addresses, text

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT = 60  # seconds
POLL = 0.05  # seconds


def start(configuration: dict, path: Path) -> subprocess.Popen:
    """Starts a gateway with a configuration, which is written to the path."""
    path.write_text(json.dumps(configuration))
    return subprocess.Popen(
        [sys.executable, "-m", "oakfork"],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
        env=os.environ | {"LB_CONFIG": str(path)},
    )


def is_ready(listen: str) -> bool:
    """Whether the gateway at an address answers that it is ready."""
    try:
        urllib.request.urlopen(f"http://{listen}/-/ready", timeout=1).close()
    except (OSError, urllib.error.URLError):
        return False
    return True


def wait_until_ready(listens: list[str], begun: float) -> list[float]:
    """Seconds from `begun` until each gateway was ready, in rising order, without those that were not in time."""
    ready: dict[str, float] = {}
    while len(ready) < len(listens) and time.monotonic() < begun + TIMEOUT:
        for listen in set(listens) - ready.keys():
            if is_ready(listen):
                ready[listen] = time.monotonic() - begun
        time.sleep(POLL)
    return sorted(ready.values())


def main(number: int = 30, cores: int = 3) -> None:
    """Starts the gateways, prints how long they took, and ends them."""
    example = json.loads((ROOT / "deploy/example.json").read_text())
    os.sched_setaffinity(0, sorted(os.sched_getaffinity(0))[:cores])
    listens = [text(address) for address in free_addresses(number, socket.SOCK_STREAM)]
    processes: list[subprocess.Popen] = []
    with tempfile.TemporaryDirectory() as folder:
        begun = time.monotonic()
        try:
            for index, listen in enumerate(listens):
                configuration = example | {"listen": listen, "peer_listen": None}
                processes.append(start(configuration, Path(folder) / f"{index}.json"))
            times = wait_until_ready(listens, begun)
        finally:
            for process in processes:
                process.kill()
                process.wait()
    print(
        f"{len(times)} of {number} ready on {cores} cores; first {times[0]:.1f} s, nine in ten "
        f"{times[min(len(times) - 1, number * 9 // 10 - 1)]:.1f} s, last {times[-1]:.1f} s"
    )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
