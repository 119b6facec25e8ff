"""`oakfork control try`: runs the control part on one machine.

Starts a publisher, two relays and three followers as processes on loopback, publishes an example and shows the status.
"""

import json
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Callable

import trio

from oakfork.control import client, status_text
from oakfork.errors import DrillProcessError, PublisherTimeoutError

START_TIMEOUT = 15.0  # seconds for a process to serve
IN_FORCE_TIMEOUT = 20.0  # seconds for a change set to be in force everywhere
END_TIMEOUT = 5.0  # seconds for a process to end
LOG_POLL = 0.02  # seconds
STATUS_POLL = 0.1  # seconds
LOG_TAIL = 3  # lines of a log that an error message quotes
STATUS_EXCERPT = 2000  # characters of a status that an error message quotes
FOLLOWERS = 3
CONFIG = 'name = "{}"\nregion = "here"\nlisten = "127.0.0.1:0"\n'
EXAMPLE = {
    "id": "example-1",
    "put": {
        "services": [
            {
                "name": "search",
                "methods": [
                    {"name": "read", "aim_ms": 100, "deadline_ms": 400},
                    {"name": "write", "aim_ms": 250, "deadline_ms": 1000, "effect": "idempotency_key"},
                ],
            }
        ],
        "servers": [
            {
                "id": f"search-{number}",
                "addr": f"10.0.0.{number}:8080",
                "zone": "east",
                "kind": "large",
                "cell": number % 2,
                "state": "up",
                "weight": 1,
                "started_ms": 0,
                "service": "search",
            }
            for number in range(1, 5)
        ],
        "routes": [
            {"name": "search-all", "host": "example.org", "prefix": "/search/", "method": "", "service": "search"}
        ],
        "tenants": [{"id": "00000000b4d65521", "plan": "basic", "rate": 20, "burst": 40, "first": 0, "spread": 2}],
    },
}


class Processes:
    """Processes with a log each in a folder; `close` ends them, and kills those that don't end in time."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.all: dict[str, subprocess.Popen] = {}

    def start(self, name: str, *arguments: str) -> None:
        """Starts `oakfork control` with these arguments."""
        with open(self.folder / f"{name}.log", "wb") as log:
            self.all[name] = subprocess.Popen(
                [sys.executable, "-m", "oakfork.control.cli", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def address_of(self, name: str) -> str:
        """The address at which a process listens, once its log says so; raises DrillProcessError."""
        end = time.monotonic() + START_TIMEOUT
        while time.monotonic() < end and self.all[name].poll() is None:
            for line in (self.folder / f"{name}.log").read_text().splitlines():
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                if isinstance(entry, dict) and entry.get("event") == "serving":
                    return entry["listen"]
            time.sleep(LOG_POLL)
        raise DrillProcessError(f"{name} does not serve; end of its log: {self.log_tail(name)}")

    def log_tail(self, name: str) -> str:
        """The last lines of a process's log."""
        return " | ".join((self.folder / f"{name}.log").read_text().splitlines()[-LOG_TAIL:])

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self.all[name].kill()
        self.all[name].wait(END_TIMEOUT)

    def close(self) -> None:
        """Ends all processes."""
        for process in self.all.values():
            process.terminate()
        for process in self.all.values():
            try:
                process.wait(END_TIMEOUT)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait(END_TIMEOUT)


def start_all(processes: Processes) -> str:
    """Starts a publisher, two relays and followers gateway-1 to gateway-3; returns the publisher's address."""
    folder = processes.folder
    (folder / "publisher.toml").write_text(
        CONFIG.format("publisher") + f"database = {json.dumps(str(folder / 'control.sqlite'))}\n"
    )
    processes.start("publisher", "publisher", str(folder / "publisher.toml"))
    addresses = [processes.address_of("publisher")]
    for name in ("relay-1", "relay-2"):
        # The second relay may also follow the first.
        (folder / f"{name}.toml").write_text(CONFIG.format(name) + f"upstreams = {json.dumps(addresses)}\n")
        processes.start(name, "relay", str(folder / f"{name}.toml"))
        addresses.append(processes.address_of(name))
    for number in range(1, FOLLOWERS + 1):
        relays = addresses[1:] if number % 2 else addresses[:0:-1]
        processes.start(f"gateway-{number}", "follow", "--name", f"gateway-{number}", "--seed", str(number), *relays)
    return addresses[0]


def wait_for_status(publisher: str, done: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """Waits until the publisher's status fulfils `done`, and returns it; raises DrillProcessError."""

    async def poll() -> dict[str, Any]:
        status: dict[str, Any] = {}
        with trio.move_on_after(IN_FORCE_TIMEOUT):
            while not (status := await client.status(publisher)) or not done(status):
                await trio.sleep(STATUS_POLL)
            return status
        excerpt = json.dumps(status)[:STATUS_EXCERPT]
        raise DrillProcessError(f"not in force everywhere after {IN_FORCE_TIMEOUT:g} s, last status: {excerpt}")

    try:
        return trio.run(poll)
    except PublisherTimeoutError as error:
        raise DrillProcessError(f"no status: {error}") from None


def run(keep: Path | None, report: Callable[[str], None]) -> None:
    """Runs the trial; `keep` is a folder for its files, `report` is called with lines of text.

    Raises DrillProcessError, or PublisherTimeoutError if the publisher doesn't answer.
    """
    with ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="oakfork-control-")))
        folder.mkdir(parents=True, exist_ok=True)
        processes = Processes(folder)
        stack.callback(processes.close)
        publisher = start_all(processes)
        report(f"a publisher at {publisher}, two relays and {FOLLOWERS} followers started")
        change = json.dumps(EXAMPLE, indent=1).encode()
        (folder / "change.json").write_bytes(change)
        result = trio.run(client.publish, publisher, EXAMPLE["id"], change)
        if result.position is None:
            raise DrillProcessError("the example was refused: " + "; ".join(result.faults))
        report(f"published: position {result.position.term}.{result.position.number}")
        status = wait_for_status(
            publisher, lambda status: status_text.in_force_everywhere(status, result.position, FOLLOWERS)
        )
        report(status_text.text(status))
