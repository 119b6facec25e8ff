"""The laboratory: the model against theory, the checker against bad policies, sweeps, and load on real gateways."""
import copy
import json
import math
import os
import random
import subprocess
import sys
import tomllib
from dataclasses import replace
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner
from test_gateway import settings

from oakfork import format as configuration_format, interface as face
from oakfork.brain import Brain
from oakfork.command import main
from oakfork.interface import SECOND, Repeat
from oakfork.lab import experiment as files
from oakfork.lab.clock import Kind, Loop
from oakfork.lab.compare import compare, interval
from oakfork.lab.load import Generator, Load, LoadError, loopback
from oakfork.lab.loopback import DiscoveryStandIn, ServerStandIn, SocketTier, Work, entry
from oakfork.lab.policies import POLICIES, Baseline
from oakfork.lab.sweep import RESULTS, Sweep, load, play
from oakfork.lab.world import World

ROOT = Path(__file__).parent.parent
SMALL = tomllib.loads((ROOT / "experiments/small.toml").read_text())
QUICK = {"name": "read", "work_ms": 50.0, "soft_ms": 60_000, "deadline_ms": 60_000}


def told(**changes):
    """The small experiment, with parts of its world replaced."""
    document = copy.deepcopy(SMALL) | {"seeds": [1], "policies": ["oakfork"], "faults": changes.pop("faults", [])}
    for path, value in changes.items():
        table = document["world"]
        *parents, last = path.split("__")
        for part in parents:
            table = table.setdefault(part, {})
        table[last] = value
    return document


def world(decide=Brain, seed=1, **changes) -> World:
    return World(files.checked(told(**changes)).runs[0].world, decide, seed)


# Time

def test_events_of_one_instant_come_in_the_stated_order():
    loop, came = Loop(), []
    planned = [(kind, number) for number in range(3) for kind in Kind]
    random.Random(1).shuffle(planned)
    for kind, number in planned:
        loop.at(5, kind, came.append, (kind, number))
    loop.at(7, Kind.FAULT, loop.at, 3, Kind.FAULT, lambda: came.append(loop.now))     # in the past: now
    loop.run(10)
    assert came[:-1] == sorted(planned, key=lambda row: (row[0], planned.index(row))) and came[-1] == 7


# The model against theory

@pytest.mark.parametrize("servers, cores, load", [(1, 1, 0.5), (1, 3, 0.7), (1, 8, 0.8)])
def test_waiting_times_are_those_of_theory(servers, cores, load):
    """M/M/c: the mean wait by Erlang's formula, within a tenth of it or a hundredth of the work, over eight seeds; and
    Little's law."""
    work, waits, busy = 0.05, [], []
    for seed in range(8):
        one = world(POLICIES["random"], seed, seconds=60, load=load, gateways=1, methods=[QUICK],
                    plans=[{"name": "open", "customers": 20, "rate": 0, "gateways": 1}], servers__count=servers,
                    servers__cores=cores, servers__waiting=100_000, clients__retries=0, links__handshake_ms=0,
                    links__client_ms=0, links__server_ms=0)
        result = one.run()
        assert result["sums"]["ok"] == result["sums"]["asked"] and not result["broken"]
        mean = one.tally.latency.get_mean_value() / SECOND
        waits.append(mean - work)
        busy.append(sum(result["server_work_s"]) / 60 / cores)
    erlang = load * cores
    top = erlang**cores / math.factorial(cores) / (1 - load)
    waited = top / (sum(erlang**n / math.factorial(n) for n in range(cores)) + top)
    expected = waited * work / (cores * (1 - load))
    mean, low, high = interval(waits)
    assert abs(mean - expected) < max(0.1 * expected, 0.01 * work) or low < expected < high
    assert abs(sum(busy) / len(busy) - load) < 0.03      # Little: what is in service is arrivals times work


def test_the_bucket_grants_its_bound_and_all_of_it():
    """A customer that asks for far more gets burst + rate x time, within two units, whichever gateway it asks."""
    for seed in range(3):
        one = world(Brain, seed, seconds=20, gateways=3, load=0, probing=False, links__peer_loss=0, methods=[QUICK],
                    plans=[{"name": "tight", "customers": 1, "rate": 2, "burst": 6, "demand": 20, "gateways": 3}])
        result = one.run()
        bound = 6 + 2 * 20
        granted = result["sums"]["ok"]
        assert bound - 8 <= granted <= bound + 2 + result["sums"].get("granted beyond quota", 0)


# Conservation and the rules

@pytest.mark.parametrize("seed", range(6))
def test_the_module_keeps_the_rules_under_random_faults(seed):
    """Every RPC ends once and every call-out is accounted for, whatever happens at once."""
    dice, faults = random.Random(seed), []
    for kind in dice.sample(files.FAULTS, 5):
        at = dice.uniform(0.5, 5)
        size = {"slow": 5, "fail_fast": 0.7, "lose_frames": 0.5, "late_lists": 3, "surge": 2}.get(kind, 0)
        faults.append({"kind": kind, "at_s": at, "until_s": at + dice.uniform(0.5, 3), "share": dice.uniform(0.1, 0.6),
                       "size": size})
    one = world(Brain, seed, seconds=8, zones=2, gateways=6, faults=faults)
    result = one.run()
    assert not result["broken"], result["lines"]
    assert result["taken"] > 200 and not one.checker.rpcs
    live = [gateway for gateway in one.gateways if gateway.up]
    assert not any(gateway.exchanges or any(gateway.door.tickets) for gateway in live), "an RPC was left at a gateway"


def test_an_rpc_whose_client_gives_up_on_the_way_is_not_taken():
    """Guards the checker: nothing is owed for what arrives after its deadline."""
    late = QUICK | {"soft_ms": 150, "deadline_ms": 150}
    result = world(Brain, seconds=4, methods=[late], links__client_ms=120).run()
    assert result["sums"]["given up on the way"] > 20 and result["taken"] > 20 and not result["broken"], result["lines"]


def test_a_killed_gateway_leaves_no_timer_and_no_call_out_behind():
    one = world(Brain, 3, seconds=4, faults=[{"kind": "kill_gateways", "at_s": 2, "until_s": 60, "share": 1.0}])
    came = []
    one.loop.at(SECOND + 2 * SECOND + 1, Kind.LOOK, lambda: [
        setattr(gateway, "handle", lambda *event: came.append(event)) for gateway in one.gateways])
    result = one.run()
    assert not came and result["sums"]["no gateway"] > 0 and not result["broken"]
    assert all(server.held() == 0 for server in one.servers.values())


class Bad(Baseline):
    """A baseline that breaks one rule on purpose."""

    def __init__(self, birth, now, rule):
        super().__init__(birth, now, "random", "none")
        self.rule, self.told = rule, []

    def handle(self, now, event):
        if isinstance(event, face.ServerList):
            self.told += [entry.server for entry in event.entries if entry.state != face.State.READY]
            self.cold = [entry.server for entry in event.entries if entry.up_since] or getattr(self, "cold", [])
        commands = list(super().handle(now, event))
        match self.rule:
            case "silent":
                return [c for c in commands if isinstance(c, face.Wake)]
            case "twice" if isinstance(event, face.CallOutEnded) and event.status == face.Status.OK:
                return [*commands, face.PushBack(event.rpc, 0)]
            case "drains" if self.told:
                return [c._replace(server=self.told[0]) if isinstance(c, face.Send) else c for c in commands]
            case "cold" if self.cold:
                return [c._replace(server=self.cold[0]) if isinstance(c, face.Send) else c for c in commands]
            case "effects":
                return [again for c in commands for again in ([c, c] if isinstance(c, face.Send) else [c])]
        return commands


ONCE = {"name": "once", "work_ms": 20.0, "soft_ms": 2000, "deadline_ms": 4000, "repeat": "non-idempotent"}
REPLACED = [{"kind": "replace_servers", "at_s": 1, "until_s": 2, "share": 0.9}]


@pytest.mark.parametrize("rule, broken, changes", [
    ("silent", "answers", {}),
    ("effects", "effects", {"methods": [ONCE]}),
    ("drains", "drains", {"faults": REPLACED}),
    ("cold", "cold servers", {"faults": REPLACED, "load": 0.8}),
    ("none", "ceilings", {"plans": [{"name": "full", "customers": 3, "rate": 2, "burst": 3, "ceiling_rate": 3,
                                     "ceiling_burst": 4, "demand": 5}]}),
])
def test_a_policy_that_breaks_a_rule_is_caught(rule, broken, changes):
    result = world(lambda birth, now: Bad(birth, now, rule), seconds=6, **changes).run()
    assert result["broken"].get(broken), result["broken"]
    assert not world(Brain, seconds=6, **changes).run()["broken"].get(broken)


def test_a_second_answer_is_caught():
    one = world()
    one.checker.took(1, watched := _watched(one))
    one.checker.answer(1, 10, "ok")
    one.checker.answer(1, 11, "aborted")
    one.checker.took(2, replace(watched, final=-1))
    one.checker.answer(2, watched.dl + one.plan.answer_grace + 1, "ok")
    one.checker.taken = 3
    one.checker.close(99)
    assert one.checker.broken == {"answers": 2, "conservation": 1}


def _watched(one):
    from oakfork.lab.checker import Watched
    return Watched(one.plan.methods[0], 5, one.plan.plans[0], 0, 0, 1000)


def test_a_repeat_outside_its_group_or_time_is_caught():
    one = world()
    method = replace(one.plan.methods[0], repeat=Repeat.DEDUPLICATED, group="cell", remembered=100)
    for group, sent_at, caught in ((1, 50, False), (2, 50, True), (1, 150, True)):
        one.checker.broken.clear()
        watched = replace(_watched(one), method=method, ran=[])
        one.checker.ran(1, watched, 1, 0, 5)
        one.checker.ran(1, watched, group, sent_at, sent_at)
        assert bool(one.checker.broken) == caught


# Baselines

def test_baselines_do_what_they_are_named_for():
    changes = {"seconds": 4, "plans": [{"name": "p", "customers": 10, "rate": 1, "burst": 3, "demand": 4}], "load": 0.9}
    beyond = {name: play(replace(files.checked(told(**changes)).runs[0], policy=name))["sums"].get(
        "granted beyond quota", 0) for name in POLICIES}
    assert beyond["two choices"] > 3 * beyond["central bucket"] and beyond["two choices"] > 3 * beyond["oakfork"]
    spread = {}
    for name in ("random", "round robin", "least outstanding"):
        one = world(POLICIES[name], seconds=10, gateways=1, methods=[QUICK | {"spread": "fixed"}])
        work = one.run()["server_work_s"]
        spread[name] = max(work) - min(work)
    assert spread["round robin"] < spread["random"]


# Experiments

def _sweep(folder, workers, document=None, player=play):
    document = document or told(sweep=None) | {"seeds": [1, 2], "policies": ["oakfork", "random"],
                                               "sweep": {"world.gateways": [1, 3]}}
    document["world"].pop("sweep", None)
    document["world"]["seconds"] = 2
    return Sweep(files.checked(document, "digest"), folder, workers, player)


def test_the_same_file_and_seeds_give_the_same_bytes_whatever_the_workers(tmp_path):
    for name, workers in (("one", 1), ("three", 3)):
        assert _sweep(tmp_path / name, workers).run() == 0
    one, three = ((tmp_path / name / RESULTS).read_bytes() for name in ("one", "three"))
    assert one == three and one.count(b"\n") == 8
    first = json.loads(one.splitlines()[0])
    assert first["file"] == "digest" and first["code"] and first["seeds"] == [1, 2]


def test_an_interrupted_sweep_goes_on_where_it_was(tmp_path):
    _sweep(tmp_path, 2).run()
    whole = (tmp_path / RESULTS).read_bytes()
    (tmp_path / "runs/00003.json").unlink()
    (tmp_path / "runs/00005.json").write_text('{"half')       # killed while it was written
    played = []
    _sweep(tmp_path, 1).run(lambda run, result: played.append(run.number))
    assert played == [3, 5] and (tmp_path / RESULTS).read_bytes() == whole


def _crashes(run):
    if run.number == 2:
        raise ZeroDivisionError("on purpose")
    if run.number == 5:
        os._exit(9)     # as if killed for its memory
    return {"played": run.number}


def test_runs_that_crash_are_reported_and_the_others_go_on(tmp_path):
    assert _sweep(tmp_path, 3, player=_crashes).run() == 2
    results = [row["result"] for row in load(tmp_path)]
    assert results[2] == {"failed": "ZeroDivisionError: on purpose"} and results[5] == {"failed": "its process died"}
    assert [row.get("played") for row in results] == [0, 1, None, 3, 4, None, 6, 7]


@pytest.mark.parametrize("change, place", [
    ({"world": None}, "world: None is not of type"), ({"seeds": []}, "seeds: "), ({"nonsense": 1}, "'nonsense'"),
    ({"policies": ["best"]}, "policies[0]"), ({"name": "Über"}, "name: "), ({"seeds": [1.5]}, "seeds[0]"),
    ({"sweep": {"world.gatways": [1]}}, "sweep.world.gatways"),
    ({"sweep": {"world.gateways": [0]}}, "world.gateways: 0"),
    ({"sweep": {"world.seconds": list(range(1, 101)), "world.gateways": list(range(1, 101))}}, "sweep: "),
    ({"faults": [{"kind": "slow", "at_s": 3, "until_s": 2}]}, "faults[0].until_s"),
    ({"faults": [{"kind": "slow", "at_s": 1, "until_s": 2}]}, "faults[0].size"),
    ({"faults": [{"kind": "cut_zone", "at_s": 1, "until_s": 2, "zone": 4}]}, "faults[0].zone"),
])
def test_files_that_are_not_usable_are_refused_with_the_place(change, place):
    with pytest.raises(files.ExperimentError) as error:
        files.checked(copy.deepcopy(SMALL) | change)
    assert any(place in fault for fault in error.value.faults), error.value.faults


@pytest.mark.parametrize("path, value, place", [
    ("seconds", 1e9, "world.seconds"), ("methods__0__soft_ms", 9e5, "soft_ms"),
    ("plans__1__ceiling_rate", 1, "ceiling"),
    ("seconds", 3600, "larger than can be run"), ("servers__cold_share", float("nan"), "world.servers.cold_share"),
    ("links__peer_loss", float("inf"), "world.links.peer_loss")])
def test_contradictory_and_enormous_worlds_are_refused(path, value, place):
    document = copy.deepcopy(SMALL)
    where = document["world"] | {"gateways": 1000}
    document["world"] = where
    *parents, last = path.split("__")
    for part in parents:
        where = where[int(part)] if isinstance(where, list) else where.setdefault(part, {})
    where[last] = value
    with pytest.raises(files.ExperimentError) as error:
        files.checked(document)
    assert any(place in fault for fault in error.value.faults)


def test_random_damage_to_a_file_is_named_and_never_a_crash(tmp_path):
    text, path, refused = (ROOT / "experiments/small.toml").read_bytes(), tmp_path / "damaged.toml", 0
    for seed in range(60):
        dice, damaged = random.Random(seed), bytearray(text)
        for _ in range(3):
            at = dice.randrange(len(damaged))
            damaged[at:at + dice.randrange(3)] = dice.randbytes(dice.randrange(3))
        path.write_bytes(damaged)
        try:
            files.read(path)
        except files.ExperimentError as error:
            refused += 1
            assert all(error.faults)
    assert refused > 30
    path.write_bytes(b"#" * (files.LARGEST_FILE + 1))
    with pytest.raises(files.ExperimentError, match="over"):
        files.read(path)


def test_differences_are_told_from_noise_only_where_they_can_be():
    def row(policy, seed, ok):
        return {"run": {"policy": policy, "seed": seed, "point": {}},
                "result": {"sums": {"ok": ok, "asked": 100.0}, "latency_ms": {"p50": 1, "p99": 2}, "broken": {},
                           "to_first_call_out_ms": {"p50": 1}}}
    dice = random.Random(4)
    rows = [row("a", seed, 50 + seed) for seed in range(8)]
    rows += [row("b", seed, 55 + seed + dice.uniform(-1, 1)) for seed in range(8)]  # seeds differ more
    rows += [row("c", seed, 50 + seed + dice.uniform(-9, 9)) for seed in range(8)]
    rows += [{"run": {"policy": "a", "seed": 99, "point": {}}, "result": {"failed": "x"}}]
    goodput = {other: next(d for d in compare(rows, "a", other) if d.figure == "goodput share") for other in "bc"}
    assert goodput["b"].told_apart and goodput["b"].low < 0.05 < goodput["b"].high and goodput["b"].pairs == 8
    assert not goodput["c"].told_apart


# The command line

@pytest.mark.parametrize("words, status, said", [
    (["check", str(ROOT / "deploy/example.json")], 0, "usable"), (["check", "/nowhere"], 2, "No such file"),
    (["lab", "run", str(ROOT / "README.md")], 2, "the file: "), (["lab", "run"], 2, "Missing argument"),
    (["lab", "compare", "/nowhere"], 2, "no results"), (["nonsense"], 2, "No such command"),
    (["lab", "load", "10.1.2.3:80"], 2, "only loopback"), (["lab", "load", "example.org:80"], 2, "not an address"),
    (["lab", "load", "127.0.0.1:9", "--rate", "-3"], 2, "--rate"), (["--version"], 0, "."),
])
def test_exit_codes_and_errors_on_one_line(words, status, said):
    done = CliRunner().invoke(main, words)
    assert done.exit_code == status and said in done.output and "Traceback" not in done.output
    assert status == 0 or len(done.output.strip().splitlines()) == 1


def test_check_names_each_fault_by_its_path(tmp_path):
    good = json.loads((ROOT / "deploy/example.json").read_text())
    bad = copy.deepcopy(good) | {"listen": 7, "seed": "xyz"}
    bad["settings"]["classes"][1]["aim-ms"] = "soon"
    bad["settings"]["classes"][0]["value"] = float("nan")
    bad["known"]["servers"][0]["state"] = "asleep"
    (tmp_path / "bad.json").write_text(json.dumps(bad))
    done = CliRunner().invoke(main, ["check", "--json", str(tmp_path / "bad.json")])
    faults = json.loads(done.output)["faults"]
    places = {fault.split(": ")[0] for fault in faults}
    assert places == {"listen", "seed", "settings.classes[1].aim-ms", "settings.classes[0].value",
                      "known.servers[0].state"} and done.exit_code == 2
    good["settings"]["classes"][0]["aim-ms"], good["peers"] = 9e9, ["127.0.0.1:1"] * 3
    assert {fault.split(": ")[0] for fault in configuration_format.faults_in(good)} == {
        "settings.classes[0].aim-ms", "peers"}


def test_serve_refuses_what_the_schema_refuses_and_serves_the_rest(tmp_path):
    document = json.loads((ROOT / "deploy/example.json").read_text()) | {"listen": "127.0.0.1:0"}
    path = tmp_path / "n0.json"
    path.write_text(json.dumps(document | {"limits": {"sockets": 3}}))
    done = CliRunner().invoke(main, ["serve", "--config", str(path)])
    assert done.exit_code == 2 and "limits.sockets: 3 is less than" in done.output
    path.write_text(json.dumps(document))
    process = subprocess.Popen([sys.executable, "-m", "oakfork", "serve", "--config", str(path)],
                               stderr=subprocess.PIPE, text=True)
    try:
        assert json.loads(process.stderr.readline())["event"] == "serving"
        process.terminate()
        assert process.wait(10) == 0
    finally:
        process.kill()


def test_docs_have_the_formats_as_the_checks_know_them():
    for page, rows in (("configuration.md", configuration_format.table()),
                       ("lab.md", configuration_format.table(files.SCHEMA))):
        text = (ROOT / "docs" / page).read_text()
        for path, kind, meaning in rows:
            assert f"| `{path}` | {kind} | {meaning} |" in text, (page, path)


def test_serving_imports_nothing_of_the_laboratory():
    heavy = "numpy", "click", "jsonschema", "hdrh", "scipy", "matplotlib", "oakfork.lab", "oakfork.command"
    code = f"import sys, oakfork.serving; print([name for name in {heavy!r} if name in sys.modules])"
    with os.popen(f'{sys.executable} -c "{code}"') as said:
        assert said.read().strip() == "[]"


# Load on sockets

def test_latency_counts_from_the_time_meant(tmp_path):
    """A server that stops for half a second: an open loop sees it in many RPCs, not in one."""
    async def act():
        server = ServerStandIn(Work(mean=0.001, cores=50))
        gone = trio.Event()

        async def stop():
            await trio.sleep(0.5)
            cores, server.cores = server.cores, trio.CapacityLimiter(1)
            async with server.cores:
                await trio.sleep(0.5)
            server.cores = cores
            gone.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            nursery.start_soon(stop)
            report = await Generator(Load((server.address,), 200, 1.5, 100, 10, "GET", "read", "free", 3000, 1)).run()
            await gone.wait()
            nursery.cancel_scope.cancel()
        return report

    report = trio.run(act)
    assert report.latency_ms["p90"] > 100 and report.bodies_wrong == 0 and report.answers.get("200", 0) > 200


def test_two_real_gateways_under_load_answer_all(tmp_path):
    async def act():
        servers = [ServerStandIn(Work(0.01, 3, 30, seed)) for seed in range(4)]
        listed = [entry(number, server.address) for number, server in enumerate(servers)]
        discovery = DiscoveryStandIn(listed)
        tier = SocketTier(tmp_path, 2, discovery.address, listed, settings())
        async with trio.open_nursery() as nursery:
            for party in (*servers, discovery):
                nursery.start_soon(party.run)
            with tier.started():
                await tier.ready()
                load = Load(tuple(tier.listens), 60, 2, 32, 500, "GET", "read", "free", 2000, 1)
                report = await Generator(load).run()
            nursery.cancel_scope.cancel()
        return report, servers

    report, servers = trio.run(act)
    assert report.answers == {"200": report.asked} and report.bodies_wrong == 0
    assert sum(len(server.ran) for server in servers) == report.asked
    assert report.latency_ms["p50"] >= report.service_ms["p50"]


def test_a_gateway_that_is_not_there_is_reported_and_load_is_bounded():
    report = trio.run(Generator(Load(("127.0.0.1:9",), 50, 0.3, 4, 10, "GET", "read", "free", 500, 1)).run)
    assert set(report.answers) == {"refused"}
    with pytest.raises(LoadError, match="RPCs"):
        Generator(Load(("127.0.0.1:9",), 20_000, 600, 4, 10, "GET", "read", "free", 500, 1))
    assert loopback("127.0.0.7:80") == ("127.0.0.7", 80)
