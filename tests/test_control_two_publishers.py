"""Two publishers as processes: one decides, whatever is started again, copied or started at once."""

import itertools
import json
import shutil
import time

import pytest
import trio
from fake_services import free_port

from oakfork.control import client, trial
from oakfork.errors import PublisherTimeoutError

SETTLE_TIME = 20.0  # seconds for one of two publishers to decide
ANSWER_TIME = 2.0  # seconds to wait for an answer to a change set


class Fleet:
    """Publishers, each with a file and a database of its own name, and a relay that follows them."""

    def __init__(self, folder):
        self.processes = trial.Processes(folder)
        self.folder = folder
        self.addresses = {name: free_port() for name in ("one", "two", "relay")}

    def start(self, name, others, **keys):
        """Starts a publisher, whose file names the others and has further keys."""
        addresses = [self.addresses[other] for other in others]
        lines = [
            f'name = "{name}"',
            'region = "here"',
            f'listen = "{self.addresses[name]}"',
            f"database = {json.dumps(str(self.folder / name))}",
            f"others = {json.dumps(addresses)}",
            *(f"{key} = {value}" for key, value in keys.items()),
        ]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        self.processes.start(name, "publisher", str(path))
        self.processes.address_of(name)

    def start_relay(self):
        """Starts the relay, which follows either publisher."""
        path = self.folder / "relay.toml"
        upstreams = [self.addresses["one"], self.addresses["two"]]
        text = trial.CONFIG.format("relay").replace("127.0.0.1:0", self.addresses["relay"])
        path.write_text(text + f"upstreams = {json.dumps(upstreams)}\n")
        self.processes.start("relay", "relay", str(path))
        self.processes.address_of("relay")

    def copy(self, name, to):
        """Copies the files of a publisher's database while it is down."""
        for path in self.folder.glob(f"{name}*"):
            if path.name in (name, f"{name}-wal"):
                shutil.copy(path, self.folder / path.name.replace(name, to))

    def publish(self, name, tenant):
        """Submits a change set that adds a tenant: its position, or the faults, or nothing without an answer."""
        quota = {"id": tenant, "plan": "basic", "rate": 2, "burst": 6, "first": 0, "spread": 1}
        change = json.dumps({"id": tenant, "put": {"tenants": [quota]}}).encode()
        try:
            result = trio.run(client.publish, self.addresses[name], tenant, change, ANSWER_TIME)
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

    def wait_for(self, name, done):
        """Waits until the status of a process fulfils `done`."""
        return trial.wait_for_status(self.addresses[name], done)


def is_accepted(result):
    """Whether a change set was said to be in force."""
    return hasattr(result, "term")


@pytest.fixture
def fleet(tmp_path):
    """Processes that end with the test."""
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.processes.close()
    assert "Traceback" not in "".join(path.read_text() for path in tmp_path.glob("*.log"))


@pytest.mark.timeout(90)
def test_an_old_publisher_that_starts_again_accepts_nothing_beside_its_copy(fleet):
    """Guards against two that accept in one term, and against a start that takes the fleet back to an old state."""
    fleet.start("one", ["two"])
    fleet.start_relay()
    before = fleet.publish_when_it_decides("one", "a")
    fleet.wait_for("relay", lambda status: tuple(status["position"]) == tuple(before))
    fleet.processes.kill("one")
    fleet.copy("one", "two")
    fleet.start("two", ["one"], above_term=before.term)
    after = fleet.publish_when_it_decides("two", "b")
    assert after.term > before.term and after.number == 2
    for start in range(3):
        fleet.start("one", ["two"])
        refused = fleet.publish("one", f"c{start}")
        assert refused[0].startswith("older term") and str(after.term) in refused[0]
        assert fleet.status("one")["higher_term"] == after.term
        fleet.processes.kill("one")
    fleet.start("one", ["two"])
    last = fleet.publish("two", "d")
    assert last == (after.term, 3)
    fleet.wait_for("relay", lambda status: tuple(status["position"]) == tuple(last))


@pytest.mark.timeout(90)
def test_of_two_publishers_that_start_at_once_one_decides(fleet):
    """Guards against two that both begin, each with an empty database."""
    for name in ("one", "two"):
        other = {"one": "two", "two": "one"}[name]
        fleet.start(name, [other])
    end = time.monotonic() + SETTLE_TIME
    accepted = []
    for attempt in itertools.count():
        results = {name: fleet.publish(name, f"{name}-{attempt}") for name in ("one", "two")}
        accepted.append({name for name, result in results.items() if is_accepted(result)})
        if accepted[-1]:
            break
        assert time.monotonic() < end
    results = {name: fleet.publish(name, f"{name}-last") for name in ("one", "two")}
    accepted.append({name for name, result in results.items() if is_accepted(result)})
    assert accepted[-1] == accepted[-2] and len(accepted[-1]) == 1


@pytest.mark.timeout(90)
def test_an_older_copy_is_refused_where_a_relay_knows_more(fleet):
    """Guards against a copy that undoes what was accepted after it was made; an operator may still want that."""
    fleet.start("one", ["relay"])
    fleet.start_relay()
    fleet.publish_when_it_decides("one", "a")
    fleet.processes.kill("one")
    fleet.copy("one", "two")
    fleet.start("one", ["relay"])
    # The relay follows again, and has what the copy lacks.
    latest = fleet.publish_when_it_decides("one", "b")
    fleet.wait_for("relay", lambda status: tuple(status["position"]) == tuple(latest))
    fleet.processes.kill("one")
    fleet.start("two", ["one", "relay"])
    refused = fleet.publish("two", "c")
    assert not is_accepted(refused) and str(latest.term) in refused[0]
    fleet.processes.kill("two")
    fleet.start("two", ["one", "relay"], above_term=latest.term)
    accepted = fleet.publish_when_it_decides("two", "c")
    assert accepted.number == 2 and accepted.term > latest.term
    fleet.wait_for("relay", lambda status: tuple(status["position"]) == tuple(accepted))
