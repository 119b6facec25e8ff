"""Drills on real processes of the program: leases under schedules drawn from a seed, and what a witness saw of them."""

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
from oakfork.lab.fault_schedule import HOLDER, Trouble
from oakfork.lab.fenced_resource import AcceptedAct, faults, gap
from oakfork.lab.lease_drill import lease_drill, plain_configuration
from oakfork.leases import fence
from oakfork.leases.durations import LeaseDurations


@pytest.mark.timeout(90)
@pytest.mark.parametrize("seed", range(1, 11))
def test_no_two_gateways_act_at_once_whatever_is_killed_stopped_or_cut(seed, tmp_path):
    drill = lease_drill(seed, keep=tmp_path)
    assert not drill.faults
    assert drill.acts > 20 and drill.done, "a drill in which nobody acts shows nothing"
    drawn, told = fault_schedule.read(tmp_path / f"leases-{seed}.json")
    assert drawn == fault_schedule.draw(seed, 3, 5.0, 0.4, range(3)) and told["played"] == drill.done


@pytest.mark.timeout(90)
def test_a_holder_that_leaves_hands_over_at_once_and_one_that_is_stopped_does_not_act_late():
    # The one that left is back, and has abstained for a lease, before the other is stopped: three voters of three are
    # up, or the wait would be that for a process to start.
    troubles = [Trouble(0.5, "leave", HOLDER, -1, 0.4, 0.0), Trouble(5.5, "stop", HOLDER, -1, 3.0, 0.0)]
    drill = lease_drill(1, length_ms=1000, seconds=9.5, troubles=troubles)
    assert not drill.faults and drill.terms >= 3
    waited = dict(drill.without)
    assert waited["leave"] < 0.5 < waited["stop"] < 3.0  # not a lease's length, and not until it goes on


def test_the_witness_finds_what_it_is_there_for():
    """Guards against a judge that sees nothing."""
    good = [AcceptedAct(10, 20, 0, 7, 1), AcceptedAct(15, 30, 0, 7, 1), AcceptedAct(31, 40, 1, 8, 2)]
    assert not faults(good)
    assert "overlap" in faults([*good, AcceptedAct(35, 50, 2, 9, 3)])[0]
    assert "after one of term" in faults([*good, AcceptedAct(45, 50, 0, 7, 1)])[0]
    assert "is held by" in faults([*good, AcceptedAct(45, 50, 2, 9, 2)])[0]
    assert gap(good, 16, 4) == 16 and gap(good, 40, 9) is None


def test_the_same_seed_draws_the_same_schedule():
    assert (
        fault_schedule.draw(5, 3, 9.0, 0.4)
        == fault_schedule.draw(5, 3, 9.0, 0.4)
        != fault_schedule.draw(6, 3, 9.0, 0.4)
    )
    kinds = {trouble.kind for seed in range(30) for trouble in fault_schedule.draw(seed, 3, 9.0, 0.4)}
    assert kinds == set(fault_schedule.KINDS)


def modules_of(*words, **more):
    """What a gateway has loaded once it serves, its resident memory, and the time that this took."""
    environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")} | more
    program = (
        "import sys, runpy, threading, time, os, signal\n"
        "def look():\n"
        "    time.sleep(0.8)\n"
        "    kb = [l for l in open('/proc/self/status') if l.startswith('VmRSS')][0].split()[1]\n"
        "    print(kb, *sorted(sys.modules), flush=True)\n"
        "    os.kill(os.getpid(), signal.SIGKILL)\n"
        "threading.Thread(target=look, daemon=True).start()\n"
        "sys.argv = ['oakfork']\n"
        "runpy.run_module('oakfork', run_name='__main__')\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], env=environment, capture_output=True, text=True, cwd=ROOT, timeout=20
    )
    memory, *modules = done.stdout.split()
    return int(memory), set(modules)


def test_nothing_of_the_fleet_is_loaded_where_no_file_is_named(tmp_path):
    """`run` names none: no module, no memory, no time, no frame of it."""
    configuration = plain_configuration(0, "127.0.0.1:0", 1)
    (tmp_path / "n0.json").write_text(json.dumps(configuration))
    memory, modules = modules_of(LB_CONFIG=str(tmp_path / "n0.json"))
    assert "oakfork.sockets.gateway" in modules
    apart = ("oakfork.fleet", "oakfork.leases", "oakfork.contracts", "oakfork.lab", "msgspec", "jsonschema", "tomllib")
    assert not {name for name in modules if name.startswith(apart)}
    assert memory < 32 * 1024


def test_a_fleet_file_that_is_not_usable_ends_the_start_with_its_faults(tmp_path):
    (tmp_path / "n0.json").write_text(json.dumps(plain_configuration(0, "127.0.0.1:0", 1)))
    (tmp_path / "fleet.toml").write_text("revision = 1\n")
    environment = {"LB_CONFIG": str(tmp_path / "n0.json"), "LB_FLEET": str(tmp_path / "fleet.toml")}
    begun = time.monotonic()
    done = subprocess.run(
        [sys.executable, "-m", "oakfork"], env=environment, capture_output=True, text=True, cwd=ROOT, timeout=20
    )
    line = json.loads(done.stderr.splitlines()[0])
    assert done.returncode == 2 and "addresses" in line["error"] and "fleet check" in line["todo"]
    assert time.monotonic() - begun < 10


def test_a_clock_learnt_long_ago_does_not_end_acts_before_they_come():
    """Guards against a view of another's clock that is kept: with each second an act's end there comes earlier, until
    every act is late. Seen on contracts: no deal was taken ten seconds after the first."""
    durations = LeaseDurations(lease=10_000, drift=10, act=2_000, longest=10_000)
    view = fence.ClockView(1, 0, 0)
    for age in range(0, durations.stale + 1, 100):
        assert fence.end_on_their_clock(view, age + durations.act, durations) > age + durations.act * 3 // 4
    assert fence.end_on_their_clock(view, 120_000 + durations.act, durations) < 120_000  # what an old one would do
    drill = lease_drill(3, seconds=6.0, troubles=[])
    assert not drill.faults and drill.refused.get("late", 0) < 0.02 * drill.acts


@pytest.mark.timeout(90)
def test_a_tenant_gets_what_is_reserved_on_real_processes_while_others_ask_for_three_times_all_there_is():
    drill = contract_drill("a third of the servers gone", gateways=3, seconds=12)
    got = drill.tenant_ok[4:]
    # Without a contract it gets half of it. On a machine that other things run on single seconds say little.
    assert sum(got) / len(got) > 0.7 * RESERVED and min(got) > 0.2 * RESERVED
    assert sum(drill.others_ok[4:]) / len(got) < CAPACITY  # and they were pressed for it


def test_an_rpc_inside_reserved_capacity_is_not_shed_and_all_else_is_as_before():
    """The module learns that one thing; what it draws by chance and all its tables are the same."""
    plain, told = gateway(servers=9), gateway(servers=9)
    plain.admitted_share = told.admitted_share = 0.0
    assert kinds(plain.handle(0, arrival(1, 1))) == [interface.PushBack]
    assert kinds(told.handle(0, arrival(1, 1)._replace(reserved=True))) == [interface.SendCallOut]
    assert plain.context.random_state != told.context.random_state  # it went on, to a choice of server
    quota = gateway()
    sent = [
        interface.SendCallOut in kinds(quota.handle(100, arrival(rpc)._replace(reserved=True))) for rpc in range(12)
    ]
    assert sent == [True] * 8 + [False] * 4  # the customer's quota holds as ever


def test_a_book_that_is_not_usable_is_refused_at_the_start_and_the_old_one_holds_on_sighup(tmp_path):
    def lines():
        return [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]

    good = (ROOT / "deploy/contracts.example.toml").read_text()
    overbooked = good.replace("legs_per_s = 250", "legs_per_s = 601")
    (tmp_path / "n0.json").write_text(json.dumps(plain_configuration(0, free_port(), 1)))
    fleet = (ROOT / "deploy/fleet.example.toml").read_text().replace("127.0.0.1:7950", free_port(socket.SOCK_DGRAM))
    (tmp_path / "fleet.toml").write_text(fleet)
    environment = {
        f"LB_{name.upper()}": str(tmp_path / file)
        for name, file in (("config", "n0.json"), ("fleet", "fleet.toml"), ("contracts", "book.toml"))
    }
    (tmp_path / "book.toml").write_text(overbooked)
    done = subprocess.run(
        [sys.executable, "-m", "oakfork"], env=environment, capture_output=True, text=True, cwd=ROOT, timeout=20
    )
    assert done.returncode == 2 and "have 601 legs a second reserved" in done.stderr
    (tmp_path / "book.toml").write_text(good)
    with open(tmp_path / "log", "wb") as log:
        process = subprocess.Popen([sys.executable, "-m", "oakfork"], env=environment, stderr=log, cwd=ROOT)
    try:
        assert until(lambda: any(line["event"] == "serving" for line in lines()))
        (tmp_path / "book.toml").write_text(overbooked)
        process.send_signal(signal.SIGHUP)
        assert until(lambda: any("the old one holds" in line["event"] for line in lines()))
        (tmp_path / "book.toml").write_text(good.replace("legs_per_s = 250", "legs_per_s = 260"))
        process.send_signal(signal.SIGHUP)
        assert until(lambda: any(line["event"] == "book read anew" for line in lines()))
        process.terminate()
        assert process.wait(10) == 0 and lines()[-1]["event"] == "left"
    finally:
        process.kill()
        process.wait()
