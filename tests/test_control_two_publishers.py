"""Two publishers as processes: one decides, whatever is started again, copied or started at once."""

import itertools
import time

import pytest
from publisher_fleet import SETTLE_TIME, PublisherFleet, is_accepted

from oakfork.control.messages import Position


@pytest.fixture
def fleet(tmp_path):
    """Processes that end with the test."""
    fleet = PublisherFleet(tmp_path)
    yield fleet
    fleet.close()


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


@pytest.mark.timeout(90)
def test_a_publisher_that_is_started_again_and_again_without_a_change_set_decides(fleet):
    """Guards against a publisher that is refused for good by its own last term, which the relay has heard of."""
    fleet.start("one", ["relay"])
    fleet.start_relay()
    last = fleet.publish_when_it_decides("one", "a")
    for _ in range(3):
        fleet.processes.kill("one")
        fleet.start("one", ["relay"])
        fleet.wait_for("relay", lambda status, last=last: status["position"][0] > last.term)
        last = Position(*fleet.status("relay")["position"])
    assert last.number == 1
    accepted = fleet.publish_when_it_decides("one", "b")
    assert accepted.number == 2
