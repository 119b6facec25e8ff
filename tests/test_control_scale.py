"""A small size of the plays of oakfork/lab/scale: real processes over loopback, faults from a seed, a witness apart."""

import random
from array import array

import pytest
import trio

from oakfork.control import change_schema
from oakfork.control.messages import EMPTY, Kind, Position, Row
from oakfork.control.state import record_digest, total_digest
from oakfork.lab.scale import control_costs, fleet_run, generated_state
from oakfork.lab.scale.fleet_verifier import Acked, End, Reached, Seen, digest_of, expected, judge
from oakfork.lab.scale.hollow_gateways import HollowStore, Values
from oakfork.lab.scale.real_gateways import Own

SHAPE = fleet_run.Shape()  # 60 hollow gateways, three relays, 1,500 records
AIM_MS = 16_000  # from acknowledged to in force everywhere
SPAN, HOLDS, EVERY, SETTLED = 3.0, 6.5, 0.25, 40.0  # seconds; one that holds for longer than SILENCE is left


@pytest.mark.parametrize("seed", [1, 2])
def test_through_faults_nothing_acknowledged_is_lost_and_all_are_equal_in_the_end(tmp_path, seed):
    plan = fleet_run.drawn(seed, SHAPE, SPAN, HOLDS)
    assert {fault.kind for fault in plan} == set(fleet_run.KINDS)
    fleet = fleet_run.Fleet(tmp_path, SHAPE, seed)

    async def play(fleet):
        await fleet.faults(plan, generated_state.Changes(SHAPE.sizes, seed, paired=True), EVERY, SETTLED)

    trio.run(fleet.run, play)
    assert fleet.judged() == []
    assert len(fleet.ends) == 60 and len(fleet.acked) >= 3  # those of the publisher's faults, and the last
    assert sum(end.brute is not None for end in fleet.ends.values()) == 2
    assert max(end.position.term for end in fleet.ends.values()) == 4  # the publisher was killed twice
    assert sum(way.torn for way in fleet.ways.values()) > 0
    assert all(process.poll() is not None for process in fleet.processes.values())
    assert "Traceback" not in "".join(path.read_text() for path in tmp_path.glob("*.log"))


def test_with_one_relay_gone_it_is_in_force_everywhere_within_the_aim(tmp_path):
    fleet = fleet_run.Fleet(tmp_path, SHAPE, 3)

    async def play(fleet):
        changes = generated_state.Changes(SHAPE.sizes, 3, paired=True)
        await fleet.kill("relay-1")
        for _ in range(5):
            position = await fleet.publish(changes.some())
        await fleet.everywhere(position, AIM_MS / 1000)

    trio.run(fleet.run, play)
    assert fleet.judged() == []
    spread = fleet.spread(fleet.acked)
    assert spread["values"] == 5 * 60 and spread["last_ms"] <= AIM_MS


def test_the_measured_plays_run_with_bursts_and_a_cold_zone_at_a_small_size():
    told = []
    played = control_costs.Player(control_costs.SMALL, control_costs.SMALL.gateways[-1], told.append).run()
    assert len(played.lasts_s) == len(played.medians_s) == control_costs.SMALL.changes
    assert played.rest.came > 0 and played.changes.came > 0 and played.changes.gateways_s > 0
    zone, back, bunched = (played.more[name] for name in ("zone gone", "zone back", "bunched"))
    assert zone["records"] == back["records"] == 25 and zone["spread"]["values"] == 16
    assert bunched["change_sets"] == control_costs.SMALL.bunched and bunched["spread"]["values"] == 16 * 20
    beside = played.more["beside"]
    assert beside["change_sets"] > 0 and set(beside["added"]) == {"with changes", "without changes"}
    for kind in ("direct", *beside["added"]):
        answers = beside["client"][kind]["answers"]
        assert answers["200"] >= 0.9 * sum(answers.values()) and sum(answers.values()) > 10
    assert (
        played.more["cold"]["ready"] == control_costs.SMALL.cold and played.more["one relay gone"]["values"] == 2 * 16
    )


def test_what_rest_takes_is_taken_off_for_the_time_between_the_marks():
    rest = control_costs.Cost(10, 10, 100, 50, 2.0, 1.0)
    assert control_costs.Cost(1, 2, 70, 10, 1.0, 0.5).beyond(rest) == control_costs.Cost(1, 2, 50, 0, 0.6, 0.3)


def test_a_plan_is_that_of_its_seed():
    assert fleet_run.drawn(7, SHAPE, 3, 6) == fleet_run.drawn(7, SHAPE, 3, 6) != fleet_run.drawn(8, SHAPE, 3, 6)
    for seed in range(50):
        cut = next(one for one in fleet_run.drawn(seed, fleet_run.FULL, 3, 6) if one.kind == "cut region")
        assert 0 <= cut.whom < 5  # of seven regions with twelve relays, these have two


def test_change_files_are_read_as_the_rows_that_were_made():
    changes = generated_state.Changes(generated_state.SMALL, 1, paired=True)
    sets = [changes.some(6) for _ in range(40)] + changes.zone_gone(3) + changes.zone_back(3)
    for one in sets:
        rows, faults = change_schema.parse(one.file)
        assert not faults and tuple(rows) == one.rows and change_schema.id_of(one.file) == one.id
    assert len(list(generated_state.base(generated_state.SMALL))) == sum(generated_state.SMALL) == 1_500
    own = Own(["127.0.0.1:1", "127.0.0.1:2"])
    for one in (own.begin(), own.turn(), own.turn()):
        assert tuple(change_schema.parse(one.file)[0]) == one.rows and not change_schema.parse(one.file)[1]
    big = generated_state.Changes(generated_state.FULL, 1)
    assert [len(one.rows) for one in big.zone_gone(0)] == [2_560]
    back = big.zone_back(0)
    assert sum(len(one.rows) for one in back) == 2_560
    assert all(not change_schema.parse(one.file)[1] for one in back)


def test_a_hollow_store_looks_up_what_was_in_force_at_its_own_position():
    key = (Kind.TENANT, "a")
    values = Values({key: b"0"}, Position(1, 4))
    values.put(key, Position(1, 9), b"9")  # by one that went from 4 to 9 at once
    values.put(key, Position(1, 6), b"6")  # by one that comes after it
    values.put(key, Position(1, 7), None)
    at = {number: values.value(key, Position(1, number)) for number in (3, 4, 5, 6, 7, 8, 9, 10)}
    assert at == {3: None, 4: b"0", 5: b"0", 6: b"6", 7: None, 8: None, 9: b"9", 10: b"9"}
    assert values.conflicts == 0
    values.put(key, Position(1, 9), b"another")
    assert values.conflicts == 1
    values.put(key, Position(1, 4), b"another")  # where the state stood that all began with
    assert values.conflicts == 2
    cold = Values({}, Position(1, 4))
    assert cold.begin({key: b"0", (Kind.TENANT, "b"): None}, Position(1, 8)) and not cold.begin({}, Position(1, 9))
    assert (cold.value(key, Position(1, 7)), cold.value(key, Position(1, 8))) == (None, b"0")
    store = HollowStore(values, array("Q", bytes(8 * 256)), Position(1, 6))
    assert store.digest_of(*key) == record_digest(*key, b"6") and store.value(Kind.SERVER, "a") is None
    assert [told[1:] for told in store.names(range(256)) if told] == [key]
    assert not list(HollowStore(values, store.sums, EMPTY).names(range(256)))


def seen():
    """A play of three followers in which all is well, and what a witness is to find where it isn't."""
    chance, base = random.Random(5), list(generated_state.base(generated_state.Sizes(4, 2, 3, 4)))
    acked, changes = [], generated_state.Changes(generated_state.Sizes(4, 2, 3, 4), 5)
    for number in range(6, 9):
        acked.append(Acked(f"set-{number}", Position(2, number), 100 * number, changes.some(2).rows))
    right = expected(base, 5, acked)
    reached = {
        who: [Reached(Position(2, number), chance.randrange(9_999), right[number]) for number in (5, 6, 8)]
        for who in "abc"
    }
    ends = {who: End(Position(2, 8), right[8], right[8] if who == "a" else None) for who in "abc"}
    return Seen(base, 5, acked, reached, ends, list("abc"))


def test_the_witness_reckons_digests_as_the_state_does_by_itself():
    store = generated_state.store(generated_state.SMALL)
    assert sum(digest_of(row) for row in generated_state.base(generated_state.SMALL)) % (1 << 64) == total_digest(
        store.sums
    )
    assert judge(seen()) == []


@pytest.mark.parametrize(
    "spoil, said",
    [
        (lambda it: it.reached["b"].reverse(), "b went from"),
        (lambda it: it.reached["b"].__setitem__(1, it.reached["b"][1]._replace(digest=1)), "not the state there"),
        (lambda it: it.reached["b"].append(Reached(Position(2, 9), 1, 1)), "which nobody was acknowledged"),
        (lambda it: it.ends.pop("c"), "c told no end"),
        (lambda it: it.ends.__setitem__("c", it.ends["c"]._replace(position=Position(2, 7))), "c ended at (2, 7)"),
        (lambda it: it.ends.__setitem__("c", it.ends["c"]._replace(digest=3)), "another state"),
        (lambda it: it.ends.__setitem__("c", it.ends["c"]._replace(position=Position(3, 8))), "not all ended at one"),
        (lambda it: it.ends.__setitem__("a", it.ends["a"]._replace(brute=4)), "a has records that are not those"),
        (lambda it: it.acked.append(it.acked[-1]), "an id was acknowledged twice"),
        (lambda it: it.acked.append(Acked("x", Position(2, 8), 1, [Row(Kind.TENANT, "x", b"x")])), "one after another"),
        (lambda it: it.acked.pop(1), "one after another"),
    ],
)
def test_the_witness_finds(spoil, said):
    it = seen()
    spoil(it)
    assert any(said in fault for fault in judge(it))


def test_the_witness_finds_what_was_seen_in_half_or_told_in_two_ways():
    it = seen()
    assert "in half 2 times" in judge(it._replace(half=2))[0]
    assert "different values at one position 1 times" in judge(it._replace(conflicts=1))[0]
