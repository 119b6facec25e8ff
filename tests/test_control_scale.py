"""Small runs of a publisher, relays and hollow gateways (oakfork/lab/scale): real processes over loopback.

Faults are drawn from a seed; a verifier that shares no code with the control machines checks the reports.
"""

import random
import re
from array import array

import pytest
import trio

from oakfork.control import change_schema
from oakfork.control.messages import EMPTY, Kind, Position, Row
from oakfork.control.state import record_digest, total_digest
from oakfork.lab.scale import fleet_faults, fleet_measurement, fleet_run, generated_state
from oakfork.lab.scale.fleet_verifier import (
    AcknowledgedChange,
    FinalState,
    InForceReport,
    Observations,
    digest_of,
    expected_digests,
    find_violations,
)
from oakfork.lab.scale.hollow_gateways import HollowStore, SharedValues
from oakfork.lab.scale.real_gateways import ServiceChanges

SHAPE = fleet_run.Shape()  # 60 hollow gateways, three relays, 1,500 records
AIM_MS = 16_000  # from acknowledged to in force everywhere
SPAN_S = 3.0  # within which the faults begin
HOLD_S = 6.5  # of a stopped relay or a region that is cut off: longer than SILENCE, so that followers leave it
INTERVAL_S = 0.25  # between change sets
SETTLE_TIMEOUT_S = 40.0  # for the last change set to be in force everywhere


def terms_begun(log):
    """The terms with which a publisher has decided, in their order, over all its starts."""
    return [int(term) for term in re.findall(r'"about": "term (\d+)", "event": "decides"', log)]


@pytest.mark.parametrize("seed", [1, 2])
def test_acknowledged_changes_survive_faults_and_followers_converge(tmp_path, seed):
    """No acknowledged change set is lost and all followers end equal, through one fault of each kind."""
    plan = fleet_faults.draw_faults(seed, SHAPE, SPAN_S, HOLD_S)
    assert {fault.kind for fault in plan} == set(fleet_faults.KINDS)
    fleet = fleet_run.Fleet(tmp_path, SHAPE, seed)

    async def scenario(fleet):
        changes = generated_state.Changes(SHAPE.sizes, seed, paired=True)
        await fleet_faults.FaultInjector(fleet).run(plan, changes, INTERVAL_S, SETTLE_TIMEOUT_S)

    trio.run(fleet.run, scenario)
    assert fleet.verify() == []
    assert len(fleet.final_states) == 60
    assert len(fleet.acknowledged) >= 3  # one for each fault of the publisher, and the last one
    assert sum(state.record_digest is not None for state in fleet.final_states.values()) == 2
    terms = terms_begun((tmp_path / "publisher.log").read_text())
    assert len(terms) == 3 and terms == sorted(set(terms))  # the publisher was killed twice
    assert max(state.position.term for state in fleet.final_states.values()) == terms[-1]
    assert sum(proxy.truncated for proxy in fleet.proxies.values()) > 0
    assert all(process.poll() is not None for process in fleet.processes.values())
    assert "Traceback" not in "".join(path.read_text() for path in tmp_path.glob("*.log"))


def test_changes_reach_every_gateway_in_time_with_one_relay_killed(tmp_path):
    """Change sets are in force everywhere within the stated time although a relay is gone."""
    fleet = fleet_run.Fleet(tmp_path, SHAPE, 3)

    async def scenario(fleet):
        changes = generated_state.Changes(SHAPE.sizes, 3, paired=True)
        await fleet.kill("relay-1")
        for _ in range(5):
            position = await fleet.publish(changes.some())
        await fleet.wait_until_in_force(position, AIM_MS / 1000)

    trio.run(fleet.run, scenario)
    assert fleet.verify() == []
    times = fleet.propagation_times(fleet.acknowledged)
    assert times["values"] == 5 * 60
    assert times["last_ms"] <= AIM_MS


def test_measurement_runs_all_steps_at_a_small_size():
    """Each step of the measurement, bursts and a cold zone included, runs and stores its figures."""
    lines = []
    sizes = fleet_measurement.SMALL
    result = fleet_measurement.FleetMeasurement(sizes, sizes.gateways[-1], lines.append).run()
    assert len(result.last_s) == len(result.median_s) == sizes.changes
    assert result.rest.received > 0
    assert result.changes.received > 0
    assert result.changes.gateways_s > 0
    zone, back, bunched = (result.details[name] for name in ("zone gone", "zone back", "bunched"))
    assert zone["records"] == back["records"] == 25
    assert zone["spread"]["values"] == 16
    assert bunched["change_sets"] == sizes.bunched
    assert bunched["spread"]["values"] == 16 * 20
    beside = result.details["beside"]
    assert beside["change_sets"] > 0
    assert set(beside["added"]) == {"with changes", "without changes"}
    for kind in ("direct", *beside["added"]):
        answers = beside["client"][kind]["answers"]
        assert answers["200"] >= 0.9 * sum(answers.values())
        assert sum(answers.values()) > 10
    assert result.details["cold"]["ready"] == sizes.cold
    assert result.details["one relay gone"]["values"] == 2 * 16


def test_cost_beyond_rest_subtracts_rest_for_the_time_between_the_marks():
    """What a fleet at rest takes is scaled to the time between the marks, not to the time of the work."""
    rest = fleet_measurement.Cost(10, 10, 100, 50, 2.0, 1.0)
    assert fleet_measurement.Cost(1, 2, 70, 10, 1.0, 0.5).beyond(rest) == fleet_measurement.Cost(1, 2, 50, 0, 0.6, 0.3)


def test_faults_are_reproducible_and_only_regions_with_two_relays_are_cut():
    """A seed always draws the same faults, and a region that is cut off keeps a relay for its gateways."""
    drawn = fleet_faults.draw_faults(7, SHAPE, 3, 6)
    assert drawn == fleet_faults.draw_faults(7, SHAPE, 3, 6) != fleet_faults.draw_faults(8, SHAPE, 3, 6)
    for seed in range(50):
        faults = fleet_faults.draw_faults(seed, fleet_run.FULL, 3, 6)
        cut = next(fault for fault in faults if fault.kind == "cut region")
        assert 0 <= cut.whom < 5  # of seven regions with twelve relays, these have two


def test_change_files_parse_to_the_generated_rows():
    """The publisher reads from a generated file exactly the rows that the verifier counts on."""
    changes = generated_state.Changes(generated_state.SMALL, 1, paired=True)
    sets = [changes.some(6) for _ in range(40)] + changes.zone_gone(3) + changes.zone_back(3)
    for change in sets:
        rows, faults = change_schema.parse(change.file)
        assert not faults
        assert tuple(rows) == change.rows
        assert change_schema.id_of(change.file) == change.id
    assert len(list(generated_state.base(generated_state.SMALL))) == sum(generated_state.SMALL) == 1_500
    service_changes = ServiceChanges(["127.0.0.1:1", "127.0.0.1:2"])
    for change in (service_changes.first(), service_changes.next(), service_changes.next()):
        rows, faults = change_schema.parse(change.file)
        assert tuple(rows) == change.rows
        assert not faults
    full = generated_state.Changes(generated_state.FULL, 1)
    assert [len(change.rows) for change in full.zone_gone(0)] == [2_560]
    back = full.zone_back(0)
    assert sum(len(change.rows) for change in back) == 2_560
    assert all(not change_schema.parse(change.file)[1] for change in back)


def test_hollow_store_reads_values_in_force_at_its_own_position():
    """Followers at different positions share values without reading each other's; contradictions are counted."""
    key = (Kind.TENANT, "a")
    values = SharedValues({key: b"0"}, Position(1, 4))
    values.put(key, Position(1, 9), b"9")  # by a follower that went from 4 to 9 at once
    values.put(key, Position(1, 6), b"6")  # by a slower follower
    values.put(key, Position(1, 7), None)
    at = {number: values.value(key, Position(1, number)) for number in (3, 4, 5, 6, 7, 8, 9, 10)}
    assert at == {3: None, 4: b"0", 5: b"0", 6: b"6", 7: None, 8: None, 9: b"9", 10: b"9"}
    assert values.conflicts == 0
    values.put(key, Position(1, 9), b"another")
    assert values.conflicts == 1
    values.put(key, Position(1, 4), b"another")  # the position at which all began
    assert values.conflicts == 2
    cold = SharedValues({}, Position(1, 4))
    assert cold.begin({key: b"0", (Kind.TENANT, "b"): None}, Position(1, 8))
    assert not cold.begin({}, Position(1, 9))
    assert (cold.value(key, Position(1, 7)), cold.value(key, Position(1, 8))) == (None, b"0")
    store = HollowStore(values, array("Q", bytes(8 * 256)), Position(1, 6))
    assert store.digest_of(*key) == record_digest(*key, b"6")
    assert store.value(Kind.SERVER, "a") is None
    assert [entry[1:] for entry in store.names(range(256)) if entry] == [key]
    assert not list(HollowStore(values, store.sums, EMPTY).names(range(256)))


def correct_run():
    """Observations of a run of three followers in which everything is right."""
    random_source = random.Random(5)
    base = list(generated_state.base(generated_state.Sizes(4, 2, 3, 4)))
    changes = generated_state.Changes(generated_state.Sizes(4, 2, 3, 4), 5)
    acknowledged = []
    for number in range(6, 9):
        rows = changes.some(2).rows
        acknowledged.append(AcknowledgedChange(f"set-{number}", Position(2, number), 100 * number, rows))
    digests = expected_digests(base, 5, acknowledged)
    reports = {
        follower: [
            InForceReport(Position(2, number), random_source.randrange(9_999), digests[number]) for number in (5, 6, 8)
        ]
        for follower in "abc"
    }
    final_states = {
        follower: FinalState(Position(2, 8), digests[8], digests[8] if follower == "a" else None) for follower in "abc"
    }
    return Observations(base, 5, acknowledged, reports, final_states, list("abc"))


def test_verifier_computes_the_digest_of_the_state_by_itself():
    """The verifier's digest of the generated state equals the store's, and a correct run has no violation."""
    store = generated_state.store(generated_state.SMALL)
    digests = [digest_of(row) for row in generated_state.base(generated_state.SMALL)]
    assert sum(digests) % (1 << 64) == total_digest(store.sums)
    assert find_violations(correct_run()) == []


def set_report(follower, index, **changes):
    """Replaces fields of one report of a follower."""

    def spoil(seen):
        reports = seen.in_force_reports[follower]
        reports[index] = reports[index]._replace(**changes)

    return spoil


def set_final_state(follower, **changes):
    """Replaces fields of a follower's final state."""

    def spoil(seen):
        seen.final_states[follower] = seen.final_states[follower]._replace(**changes)

    return spoil


@pytest.mark.parametrize(
    "spoil, message",
    [
        (lambda seen: seen.in_force_reports["b"].reverse(), "b went back from"),
        (set_report("b", 1, digest=1), "differs from the expected one"),
        (
            lambda seen: seen.in_force_reports["b"].append(InForceReport(Position(2, 9), 1, 1)),
            "which was never acknowledged",
        ),
        (lambda seen: seen.final_states.pop("c"), "c reported no final state"),
        (set_final_state("c", position=Position(2, 7)), "c ended at (2, 7)"),
        (set_final_state("c", digest=3), "a different state"),
        (set_final_state("c", position=Position(3, 8)), "followers ended at different positions"),
        (set_final_state("a", record_digest=4), "a has records that do not match"),
        (lambda seen: seen.acknowledged.append(seen.acknowledged[-1]), "an id was acknowledged twice"),
        (
            lambda seen: seen.acknowledged.append(
                AcknowledgedChange("x", Position(2, 8), 1, [Row(Kind.TENANT, "x", b"x")])
            ),
            "not consecutive",
        ),
        (lambda seen: seen.acknowledged.pop(1), "not consecutive"),
    ],
)
def test_verifier_reports_each_violation(spoil, message):
    """A single error in an otherwise correct run is found and named."""
    seen = correct_run()
    spoil(seen)
    assert any(message in violation for violation in find_violations(seen))


def test_verifier_reports_half_applied_changes_and_conflicting_values():
    """Counts of half-visible change sets and of contradicting values are violations too."""
    seen = correct_run()
    assert "in half 2 times" in find_violations(seen._replace(half=2))[0]
    assert "different values at one position 1 times" in find_violations(seen._replace(conflicts=1))[0]
