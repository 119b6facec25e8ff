"""All of it on one machine: a publisher, two relays and three followers as processes on loopback, an example published,
and the status shown. `oakfork control try`.
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

START, SPREAD, END = 15.0, 20.0, 5.0  # seconds to start one, to be in force everywhere, to end
FOLLOWERS = 3
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
    """Each with a log in the folder; ended, at the latest killed, when this is closed."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.all = folder, {}

    def start(self, name: str, *words: str) -> None:
        with open(self.folder / f"{name}.log", "wb") as log:
            self.all[name] = subprocess.Popen(
                [sys.executable, "-m", "oakfork.control.cli", *words],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def listens(self, name: str) -> str:
        """Where it does, once its log says so; raises DrillProcessError."""
        end = time.monotonic() + START
        while time.monotonic() < end and self.all[name].poll() is None:
            for line in (self.folder / f"{name}.log").read_text().splitlines():
                try:
                    told = json.loads(line)
                except ValueError:
                    continue
                if isinstance(told, dict) and told.get("event") == "serving":
                    return told["listen"]
            time.sleep(0.02)
        raise DrillProcessError(f"{name} does not serve: {self.last(name)}")

    def last(self, name: str) -> str:
        return " | ".join((self.folder / f"{name}.log").read_text().splitlines()[-3:])

    def kill(self, name: str) -> None:
        self.all[name].kill()
        self.all[name].wait(END)

    def close(self) -> None:
        for process in self.all.values():
            process.terminate()
        for process in self.all.values():
            try:
                process.wait(END)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait(END)


def started(processes: Processes) -> str:
    """A publisher, two relays, and followers named gateway-1 and on; where the publisher listens."""
    folder = processes.folder
    common = 'name = "{}"\nregion = "here"\nlisten = "127.0.0.1:0"\n'
    (folder / "publisher.toml").write_text(
        common.format("publisher") + f"database = {json.dumps(str(folder / 'control.sqlite'))}\n"
    )
    processes.start("publisher", "publisher", str(folder / "publisher.toml"))
    places = [processes.listens("publisher")]
    for name in ("relay-1", "relay-2"):
        # The second one may follow the first.
        (folder / f"{name}.toml").write_text(common.format(name) + f"upstreams = {json.dumps(places)}\n")
        processes.start(name, "relay", str(folder / f"{name}.toml"))
        places.append(processes.listens(name))
    for number in range(1, FOLLOWERS + 1):
        relays = places[1:] if number % 2 else places[:0:-1]
        processes.start(f"gateway-{number}", "follow", "--name", f"gateway-{number}", "--seed", str(number), *relays)
    return places[0]


def everywhere(publisher: str, done: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """The status, as soon as it is as wanted; raises DrillProcessError."""

    async def ask() -> dict[str, Any]:
        told: dict[str, Any] = {}
        with trio.move_on_after(SPREAD):
            while not (told := await client.status(publisher)) or not done(told):
                await trio.sleep(0.1)
            return told
        raise DrillProcessError(f"not in force everywhere after {SPREAD:g} s: {json.dumps(told)[:2000]}")

    try:
        return trio.run(ask)
    except PublisherTimeoutError as error:
        raise DrillProcessError(f"no status: {error}") from None


def run(keep: Path | None, say: Callable[[str], None]) -> None:
    """Raises DrillProcessError, or what the publisher's answers mean."""
    with ExitStack() as stack:
        folder = keep or Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="oakfork-control-")))
        folder.mkdir(parents=True, exist_ok=True)
        processes = Processes(folder)
        stack.callback(processes.close)
        publisher = started(processes)
        say(f"a publisher at {publisher}, two relays and {FOLLOWERS} followers started")
        change = json.dumps(EXAMPLE, indent=1).encode()
        (folder / "change.json").write_bytes(change)
        verdict = trio.run(client.publish, publisher, EXAMPLE["id"], change)
        if verdict.position is None:
            raise DrillProcessError("the example was refused: " + "; ".join(verdict.faults))
        say(f"published: position {verdict.position.term}.{verdict.position.number}")
        say(
            status_text.text(
                everywhere(publisher, lambda told: status_text.in_force_everywhere(told, verdict.position, FOLLOWERS))
            )
        )
