"""Drills on real processes: leases and contracts under injected faults, checked from outside, and fleet files."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest
from decision_modules import gateway, kinds
from fake_services import free_port, until
from gateway_network import arrival
from lab_worlds import ROOT

from oakfork import interface
from oakfork.lab import fault_schedule
from oakfork.lab.contract_drill import CAPACITY, RESERVED, contract_drill
from oakfork.lab.fault_schedule import ALL_OTHERS, HOLDER, Trouble
from oakfork.lab.fenced_resource import AcceptedAct, faults, gap
from oakfork.lab.lease_drill import lease_drill, plain_configuration
from oakfork.leases import fence
from oakfork.leases.durations import LeaseDurations


@pytest.mark.timeout(90)
@pytest.mark.parametrize("seed", range(1, 11))
def test_no_two_gateways_act_at_once_under_drawn_faults(seed, tmp_path):
    """Gateways are killed, stopped and cut off; the record of the drill has the schedule that was drawn."""
    drill = lease_drill(seed, keep=tmp_path)
    assert not drill.faults
    assert drill.acts > 20 and drill.done, "a drill without acts or faults shows nothing"
    drawn, record = fault_schedule.read(tmp_path / f"leases-{seed}.json")
    assert drawn == fault_schedule.draw(seed, 3, 5.0, 0.4, range(3)) and record["played"] == drill.done


@pytest.mark.timeout(90)
def test_a_holder_that_leaves_hands_over_at_once_and_a_stopped_one_does_not_act_late():
    """The gap after a leave is shorter than a lease; the one after a stop ends before the holder continues."""
    # The gateway that left is back, and has abstained for a lease, before the other is stopped. With only two of the
    # three voters up, the gap would include the start of a process.
    troubles = [
        Trouble(0.5, "leave", HOLDER, ALL_OTHERS, 0.4, 0.0),
        Trouble(5.5, "stop", HOLDER, ALL_OTHERS, 3.0, 0.0),
    ]
    drill = lease_drill(1, length_ms=1000, seconds=9.5, troubles=troubles)
    assert not drill.faults and drill.terms >= 3
    waits = dict(drill.waits)
    assert waits["leave"] < 0.5 < waits["stop"] < 3.0


def test_the_check_of_acts_finds_each_kind_of_fault():
    """A check that finds nothing would pass every drill."""
    good = [AcceptedAct(10, 20, 0, 7, 1), AcceptedAct(15, 30, 0, 7, 1), AcceptedAct(31, 40, 1, 8, 2)]
    assert not faults(good)
    assert "overlap" in faults([*good, AcceptedAct(35, 50, 2, 9, 3)])[0]
    assert "after one of term" in faults([*good, AcceptedAct(45, 50, 0, 7, 1)])[0]
    assert "is held by" in faults([*good, AcceptedAct(45, 50, 2, 9, 2)])[0]
    assert gap(good, 16, 4) == 16 and gap(good, 40, 9) is None


def test_a_seed_determines_its_schedule():
    """Drills are replayed from their seeds; all kinds of faults are drawn."""
    assert (
        fault_schedule.draw(5, 3, 9.0, 0.4)
        == fault_schedule.draw(5, 3, 9.0, 0.4)
        != fault_schedule.draw(6, 3, 9.0, 0.4)
    )
    drawn_kinds = {trouble.kind for seed in range(30) for trouble in fault_schedule.draw(seed, 3, 9.0, 0.4)}
    assert drawn_kinds == set(fault_schedule.KINDS)


def memory_and_modules(**variables):
    """Resident memory in kilobytes, and loaded modules, of a gateway that serves with these variables."""
    environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")} | variables
    program = (
        "import sys, runpy, threading, time, os, signal\n"
        "def report():\n"
        "    time.sleep(0.8)\n"
        "    kb = [l for l in open('/proc/self/status') if l.startswith('VmRSS')][0].split()[1]\n"
        "    print(kb, *sorted(sys.modules), flush=True)\n"
        "    os.kill(os.getpid(), signal.SIGKILL)\n"
        "threading.Thread(target=report, daemon=True).start()\n"
        "sys.argv = ['oakfork']\n"
        "runpy.run_module('oakfork', run_name='__main__')\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", program], env=environment, capture_output=True, text=True, cwd=ROOT, timeout=20
    )
    memory, *modules = process.stdout.split()
    return int(memory), set(modules)


def test_without_a_fleet_file_nothing_of_the_fleet_is_loaded(tmp_path):
    """A gateway that is configured for no fleet must not pay for it in memory."""
    configuration = plain_configuration(0, "127.0.0.1:0", 1)
    (tmp_path / "n0.json").write_text(json.dumps(configuration))
    memory, modules = memory_and_modules(LB_CONFIG=str(tmp_path / "n0.json"))
    assert "oakfork.sockets.gateway" in modules
    absent = ("oakfork.fleet", "oakfork.leases", "oakfork.contracts", "oakfork.lab", "msgspec", "jsonschema", "tomllib")
    assert not {name for name in modules if name.startswith(absent)}
    assert memory < 32 * 1024


def test_an_invalid_fleet_file_ends_the_start_and_names_its_faults(tmp_path):
    """The process exits with 2 within seconds, and its log line says what is missing and how to check the file."""
    (tmp_path / "n0.json").write_text(json.dumps(plain_configuration(0, "127.0.0.1:0", 1)))
    (tmp_path / "fleet.toml").write_text("revision = 1\n")
    environment = {"LB_CONFIG": str(tmp_path / "n0.json"), "LB_FLEET": str(tmp_path / "fleet.toml")}
    begun = time.monotonic()
    process = subprocess.run(
        [sys.executable, "-m", "oakfork"], env=environment, capture_output=True, text=True, cwd=ROOT, timeout=20
    )
    line = json.loads(process.stderr.splitlines()[0])
    assert process.returncode == 2 and "addresses" in line["error"] and "fleet check" in line["todo"]
    assert time.monotonic() - begun < 10


def test_a_clock_reading_grows_stale_before_it_makes_acts_late():
    """The older a reading of another's clock, the earlier an act's end is counted there, until every act is late.

    Contracts showed it: no allocation was accepted ten seconds after the first.
    """
    durations = LeaseDurations(lease=10_000, drift=10, act=2_000, longest=10_000)
    view = fence.ClockView(1, 0, 0)
    for age in range(0, durations.stale + 1, 100):
        assert fence.end_on_their_clock(view, age + durations.act, durations) > age + durations.act * 3 // 4
    assert fence.end_on_their_clock(view, 120_000 + durations.act, durations) < 120_000  # with a reading that is kept
    drill = lease_drill(3, seconds=6.0, troubles=[])
    assert not drill.faults and drill.refused.get("late", 0) < 0.02 * drill.acts


@pytest.mark.timeout(90)
def test_a_tenant_gets_its_reservation_while_others_ask_for_three_times_the_capacity():
    """Without a contract the tenant gets half of it. Bounds on single seconds are wide, for a busy machine."""
    drill = contract_drill("a third of the servers gone", gateways=3, seconds=12)
    got = drill.tenant_ok[4:]
    assert sum(got) / len(got) > 0.7 * RESERVED and min(got) > 0.2 * RESERVED
    assert sum(drill.others_ok[4:]) / len(got) < CAPACITY  # so that others did not get all that they asked for


def test_an_rpc_inside_reserved_capacity_is_not_shed_and_still_counts_in_the_quota():
    """Reservation lifts the shedding of load, and nothing else that the decision module does."""
    plain, reserved = gateway(servers=9), gateway(servers=9)
    plain.admitted_share = reserved.admitted_share = 0.0
    assert kinds(plain.handle(0, arrival(1, 1))) == [interface.PushBack]
    assert kinds(reserved.handle(0, arrival(1, 1)._replace(reserved=True))) == [interface.SendCallOut]
    assert plain.context.random_state != reserved.context.random_state  # only the latter drew a server
    quota = gateway()
    sent = [
        interface.SendCallOut in kinds(quota.handle(100, arrival(rpc)._replace(reserved=True))) for rpc in range(12)
    ]
    assert sent == [True] * 8 + [False] * 4  # the burst of the customer's quota


def test_an_invalid_contracts_file_ends_the_start_and_is_ignored_on_sighup(tmp_path):
    """On SIGHUP the contracts in force must stay until a valid file replaces them."""

    def lines():
        return [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]

    good = (ROOT / "deploy/contracts.example.toml").read_text()
    overbooked = good.replace("legs_per_s = 250", "legs_per_s = 601")
    (tmp_path / "n0.json").write_text(json.dumps(plain_configuration(0, free_port(), 1)))
    fleet = (ROOT / "deploy/fleet.example.toml").read_text().replace("127.0.0.1:7950", free_port(socket.SOCK_DGRAM))
    (tmp_path / "fleet.toml").write_text(fleet)
    contracts = tmp_path / "contracts.toml"
    environment = {
        "LB_CONFIG": str(tmp_path / "n0.json"),
        "LB_FLEET": str(tmp_path / "fleet.toml"),
        "LB_CONTRACTS": str(contracts),
    }
    contracts.write_text(overbooked)
    refused = subprocess.run(
        [sys.executable, "-m", "oakfork"], env=environment, capture_output=True, text=True, cwd=ROOT, timeout=20
    )
    assert refused.returncode == 2 and "have 601 legs a second reserved" in refused.stderr
    contracts.write_text(good)
    with open(tmp_path / "log", "wb") as log:
        process = subprocess.Popen([sys.executable, "-m", "oakfork"], env=environment, stderr=log, cwd=ROOT)
    try:
        assert until(lambda: any(line["event"] == "serving" for line in lines()))
        contracts.write_text(overbooked)
        process.send_signal(signal.SIGHUP)
        assert until(lambda: any("the previous one stays in force" in line["event"] for line in lines()))
        contracts.write_text(good.replace("legs_per_s = 250", "legs_per_s = 260"))
        process.send_signal(signal.SIGHUP)
        assert until(lambda: any(line["event"] == "contracts file reloaded" for line in lines()))
        process.terminate()
        assert process.wait(10) == 0 and lines()[-1]["event"] == "left"
    finally:
        process.kill()
        process.wait()
