"""Publishers that are cut off from most voters, as processes: they accept nothing, a copy on the other side does."""

import signal

import pytest
import tcp_forwarder
from fake_services import free_port, until
from publisher_fleet import VOTERS, PublisherFleet, is_accepted


@pytest.fixture
def fleet(tmp_path):
    """Processes that end with the test."""
    fleet = PublisherFleet(tmp_path)
    yield fleet
    fleet.close()


@pytest.fixture
def forwarders(fleet):
    """The network between the first publisher and two of the three voters."""
    processes = []
    for voter in VOTERS[1:]:
        fleet.addresses[f"{voter} from one"] = free_port()
        processes.append(tcp_forwarder.start(fleet.addresses[f"{voter} from one"], fleet.addresses[voter]))
    yield processes
    for process in processes:
        process.kill()
        process.wait()


def send_all(processes, number):
    """Sends a signal to processes."""
    for process in processes:
        process.send_signal(number)


@pytest.mark.timeout(90)
def test_a_publisher_that_is_cut_off_from_most_voters_accepts_nothing_beside_a_copy(fleet, forwarders):
    """Guards against two that accept: neither names the other, and the old one goes on with its relay on its side."""
    for voter in VOTERS:
        fleet.start_relay(voter)
    fleet.start("one", [], [VOTERS[0], *(f"{voter} from one" for voter in VOTERS[1:])], above_term=1)
    fleet.start_relay()
    first = fleet.publish_when_it_decides("one", "a")
    fleet.wait_for("relay", lambda status: tuple(status["position"]) == tuple(first))

    send_all(forwarders, signal.SIGSTOP)
    one = fleet.processes.all["one"]
    one.send_signal(signal.SIGSTOP)  # so that the copy is of one moment
    fleet.copy("one", "two")
    one.send_signal(signal.SIGCONT)
    cut = [fleet.publish("one", f"cut-{attempt}", 1.0) for attempt in range(5)]
    assert not any(is_accepted(result) for result in cut) and cut[-1][0].startswith("no majority")
    assert not fleet.status("one")["deciding"] and fleet.status("relay")["follows"] == fleet.addresses["one"]

    fleet.start("two", [], VOTERS)
    second = fleet.publish_when_it_decides("two", "b")
    assert second.term > first.term and second.number == 2
    assert not is_accepted(fleet.publish("one", "c", 1.0))

    send_all(forwarders, signal.SIGCONT)
    assert until(lambda: fleet.status("one")["higher_term"] == second.term)
    assert fleet.publish("one", "d")[0].startswith("older term")
    fleet.wait_for("relay", lambda status: tuple(status["position"]) >= tuple(second))
    assert fleet.publish("two", "e") == (second.term, 3)


@pytest.mark.timeout(90)
def test_a_copy_that_lacks_the_latest_change_set_is_refused_though_nobody_else_runs(fleet):
    """Guards against a start that undoes what was accepted: only the voters remember it."""
    for voter in VOTERS:
        fleet.start_relay(voter)
    fleet.start("one", [], VOTERS, above_term=1)
    fleet.publish_when_it_decides("one", "a")
    fleet.processes.kill("one")
    fleet.copy("one", "two")
    fleet.start("one", [], VOTERS)
    latest = fleet.publish_when_it_decides("one", "b")
    fleet.processes.kill("one")
    for voter in VOTERS:  # their state in memory is gone, too
        fleet.processes.kill(voter)
        fleet.start_relay(voter)
    fleet.start("two", [], VOTERS)
    fleet.wait_for("two", lambda status: status["claim"] is None)
    refused = fleet.publish("two", "c")
    assert not is_accepted(refused) and str(latest.term) in refused[0]
    fleet.processes.kill("two")
    fleet.start("one", [], VOTERS)
    assert fleet.publish_when_it_decides("one", "d").number == 3
