"""Experiment files, sweeps and comparisons."""

import copy
import json
import os
import random

import pytest
from lab_worlds import ROOT, SMALL, small_experiment

from oakfork.errors import ExperimentError
from oakfork.lab import experiment
from oakfork.lab.compare import compare
from oakfork.lab.sweep import RESULTS, Sweep, load, play


def _sweep(folder, workers, player=play):
    """A sweep of eight short runs: two sizes, two seeds, two policies."""
    document = small_experiment() | {
        "seeds": [1, 2],
        "policies": ["oakfork", "random"],
        "sweep": {"world.gateways": [1, 3]},
    }
    document["world"]["seconds"] = 2
    return Sweep(experiment.checked(document, "digest"), folder, workers, player)


def test_the_same_file_and_seeds_give_the_same_bytes_for_any_number_of_workers(tmp_path):
    """Results must not depend on the order in which runs end."""
    for name, workers in (("one", 1), ("three", 3)):
        assert _sweep(tmp_path / name, workers).run() == 0
    one, three = ((tmp_path / name / RESULTS).read_bytes() for name in ("one", "three"))
    assert one == three and one.count(b"\n") == 8
    first = json.loads(one.splitlines()[0])
    assert first["file"] == "digest" and first["code"] and first["seeds"] == [1, 2]


def test_an_interrupted_sweep_repeats_only_missing_and_damaged_results(tmp_path):
    """A result that was half written when the sweep was killed is run again; all others are kept."""
    _sweep(tmp_path, 2).run()
    complete = (tmp_path / RESULTS).read_bytes()
    (tmp_path / "runs/00003.json").unlink()
    (tmp_path / "runs/00005.json").write_text('{"half')
    played = []
    _sweep(tmp_path, 1).run(lambda run, result: played.append(run.number))
    assert played == [3, 5] and (tmp_path / RESULTS).read_bytes() == complete


def _crashing_player(run):
    if run.number == 2:
        raise ZeroDivisionError("on purpose")
    if run.number == 5:
        os._exit(9)  # as if the kernel had killed it for its memory
    return {"played": run.number}


def test_runs_that_crash_are_reported_and_the_others_continue(tmp_path):
    """Neither an exception nor the death of a worker process loses another run."""
    assert _sweep(tmp_path, 3, player=_crashing_player).run() == 2
    results = [row["result"] for row in load(tmp_path)]
    assert results[2] == {"failed": "ZeroDivisionError: on purpose"} and results[5] == {"failed": "its process died"}
    assert [row.get("played") for row in results] == [0, 1, None, 3, 4, None, 6, 7]


@pytest.mark.parametrize(
    "change, place",
    [
        ({"world": None}, "world: None is not of type"),
        ({"seeds": []}, "seeds: "),
        ({"nonsense": 1}, "'nonsense'"),
        ({"policies": ["best"]}, "policies[0]"),
        ({"name": "Über"}, "name: "),
        ({"seeds": [1.5]}, "seeds[0]"),
        ({"sweep": {"world.gatways": [1]}}, "sweep.world.gatways"),
        ({"sweep": {"world.gateways": [0]}}, "world.gateways: 0"),
        ({"sweep": {"world.seconds": list(range(1, 101)), "world.gateways": list(range(1, 101))}}, "sweep: "),
        ({"faults": [{"kind": "slow", "at_s": 3, "until_s": 2}]}, "faults[0].until_s"),
        ({"faults": [{"kind": "slow", "at_s": 1, "until_s": 2}]}, "faults[0].size"),
        ({"faults": [{"kind": "cut_zone", "at_s": 1, "until_s": 2, "zone": 4}]}, "faults[0].zone"),
    ],
)
def test_an_invalid_file_is_refused_with_the_place_of_its_fault(change, place):
    """Every kind of fault must be found before anything runs."""
    with pytest.raises(ExperimentError) as error:
        experiment.checked(copy.deepcopy(SMALL) | change)
    assert any(place in fault for fault in error.value.faults), error.value.faults


@pytest.mark.parametrize(
    "path, value, place",
    [
        ("seconds", 1e9, "world.seconds"),
        ("methods__0__soft_ms", 9e5, "soft_ms"),
        ("plans__1__ceiling_rate", 1, "ceiling"),
        ("seconds", 3600, "larger than can be run"),
        ("servers__cold_share", float("nan"), "world.servers.cold_share"),
        ("links__peer_loss", float("inf"), "world.links.peer_loss"),
    ],
)
def test_contradictory_and_enormous_worlds_are_refused(path, value, place):
    """Values that are valid alone, and numbers that compare with nothing, must not reach a run."""
    document = copy.deepcopy(SMALL)
    document["world"] = document["world"] | {"gateways": 1000}
    table = document["world"]
    *parents, last = path.split("__")
    for part in parents:
        table = table[int(part)] if isinstance(table, list) else table.setdefault(part, {})
    table[last] = value
    with pytest.raises(ExperimentError) as error:
        experiment.checked(document)
    assert any(place in fault for fault in error.value.faults)


def test_random_damage_to_a_file_is_reported_and_never_a_crash(tmp_path):
    """A damaged file raises ExperimentError with a text for each fault, or is still valid."""
    text = (ROOT / "experiments/small.toml").read_bytes()
    path = tmp_path / "damaged.toml"
    refused = 0
    for seed in range(60):
        rng, damaged = random.Random(seed), bytearray(text)
        for _ in range(3):
            at = rng.randrange(len(damaged))
            damaged[at : at + rng.randrange(3)] = rng.randbytes(rng.randrange(3))
        path.write_bytes(damaged)
        try:
            experiment.read(path)
        except ExperimentError as error:
            refused += 1
            assert all(error.faults)
    assert refused > 30
    path.write_bytes(b"#" * (experiment.LARGEST_FILE + 1))
    with pytest.raises(ExperimentError, match="over"):
        experiment.read(path)


def test_a_difference_counts_only_if_its_confidence_interval_excludes_zero():
    """Pairing by seed must find a difference that is smaller than that between seeds, and must not find noise."""

    def row(policy, seed, ok):
        return {
            "run": {"policy": policy, "seed": seed, "point": {}},
            "result": {
                "sums": {"ok": ok, "asked": 100.0},
                "latency_ms": {"p50": 1, "p99": 2},
                "broken": {},
                "to_first_call_out_ms": {"p50": 1},
            },
        }

    rng = random.Random(4)
    rows = [row("a", seed, 50 + seed) for seed in range(8)]
    rows += [row("b", seed, 55 + seed + rng.uniform(-1, 1)) for seed in range(8)]  # seeds differ by more
    rows += [row("c", seed, 50 + seed + rng.uniform(-9, 9)) for seed in range(8)]
    rows += [{"run": {"policy": "a", "seed": 99, "point": {}}, "result": {"failed": "x"}}]
    goodput = {other: next(d for d in compare(rows, "a", other) if d.figure == "goodput share") for other in "bc"}
    assert goodput["b"].told_apart and goodput["b"].low < 0.05 < goodput["b"].high and goodput["b"].pairs == 8
    assert not goodput["c"].told_apart
