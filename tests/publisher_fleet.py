"""Publishers and a relay as processes, and change sets for them."""

import json
import shutil
import time

import trio
from fake_services import free_port

from oakfork.control import client, trial
from oakfork.errors import PublisherTimeoutError

SETTLE_TIME = 20.0  # seconds for one of two publishers to decide
ANSWER_TIME = 2.0  # seconds to wait for an answer to a change set


VOTERS = ("voter-1", "voter-2", "voter-3")


class PublisherFleet:
    """Publishers, each with a file and a database of its own name, a relay that follows them, and relays that vote."""

    def __init__(self, folder):
        self.processes = trial.Processes(folder)
        self.folder = folder
        self.addresses = {name: free_port() for name in ("one", "two", "relay", *VOTERS)}

    def start(self, name, others, voters=(), **keys):
        """Starts a publisher, whose file names the others and the voters and has further keys."""
        addresses = [self.addresses[other] for other in others]
        voter_addresses = [self.addresses[voter] for voter in voters]
        lines = [
            f'name = "{name}"',
            'region = "here"',
            f'listen = "{self.addresses[name]}"',
            f"database = {json.dumps(str(self.folder / name))}",
            f"others = {json.dumps(addresses)}",
            f"voters = {json.dumps(voter_addresses)}",
            *(f"{key} = {value}" for key, value in keys.items()),
        ]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        self.processes.start(name, "publisher", str(path))
        self.processes.address_of(name)

    def start_relay(self, name="relay"):
        """Starts a relay, which follows either publisher; one of VOTERS votes, too."""
        path = self.folder / f"{name}.toml"
        upstreams = [self.addresses["one"], self.addresses["two"]]
        text = trial.CONFIG.format(name).replace("127.0.0.1:0", self.addresses[name])
        text += f"upstreams = {json.dumps(upstreams)}\n"
        if name in VOTERS:
            text += f"votes = {json.dumps(str(self.votes_of(name)))}\n"
        path.write_text(text)
        self.processes.start(name, "relay", str(path))
        self.processes.address_of(name)

    def votes_of(self, name):
        """The file of a voter."""
        return self.folder / f"{name}.votes"

    def lose_votes(self, name):
        """Removes the file of a voter that is down."""
        for path in self.folder.glob(f"{name}.votes*"):
            path.unlink()

    def copy(self, name, to):
        """Copies the files of a publisher's database while it is down."""
        for path in self.folder.glob(f"{name}*"):
            if path.name in (name, f"{name}-wal"):
                shutil.copy(path, self.folder / path.name.replace(name, to))

    def publish(self, name, tenant, seconds=ANSWER_TIME):
        """Submits a change set that adds a tenant: its position, or the faults, or nothing without an answer."""
        quota = {"id": tenant, "plan": "basic", "rate": 2, "burst": 6, "first": 0, "spread": 1}
        change = json.dumps({"id": tenant, "put": {"tenants": [quota]}}).encode()
        try:
            result = trio.run(client.publish, self.addresses[name], tenant, change, seconds)
        except PublisherTimeoutError:
            return None
        return result.position or result.faults

    def publish_when_it_decides(self, name, tenant):
        """Submits a change set until it is accepted."""
        end = time.monotonic() + SETTLE_TIME
        while not is_accepted(result := self.publish(name, tenant)):
            assert time.monotonic() < end, result
        return result

    def status(self, name):
        """The status of a process."""
        return trio.run(client.status, self.addresses[name])

    def close(self):
        """Ends all processes; none of them may have failed."""
        self.processes.close()
        assert "Traceback" not in "".join(path.read_text() for path in self.folder.glob("*.log"))

    def wait_for(self, name, done):
        """Waits until the status of a process fulfils `done`."""
        return trial.wait_for_status(self.addresses[name], done)


def is_accepted(result):
    """Whether a change set was said to be in force."""
    return hasattr(result, "term")
