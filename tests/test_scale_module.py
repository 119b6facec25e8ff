"""The costs of the decision module: what is counted, that counts are the same each time, and what the units do."""

import gc
import sys

import pytest

from oakfork import interface
from oakfork.lab.scale import module_costs, module_driver as rig, reference_cost
from oakfork.lab.scale.module_driver import Driven, Replay, Sizes
from oakfork.lab.scale.reference_cost import (
    operations,
    processor_seconds,
    reference_seconds,
    seconds_and_references,
)

RPCS = ("rpc at its owner", "rpc that asks", "ask served")
LISTS = ("change of one server", "whole list")
FEW = Sizes(servers=24, peers=3, customers=20, plans=3)


@pytest.fixture(scope="module")
def run():
    lines = []
    measures, more = module_costs.measure(lines.append, small=True)
    return {measure.name: measure for measure in measures}, more, lines


def turns(times):
    def call():
        for _ in range(times):
            pass

    return call


def test_instructions_are_counted_and_the_same_each_time():
    few, more, most = (operations(turns(times)) for times in (10, 20, 30))
    assert few == operations(turns(10)) and 0 < more - few == most - more


def test_instructions_of_what_is_called_count_but_not_those_of_c():
    one, two = turns(10), turns(1000)
    assert operations(lambda: (one(), two())) > operations(one) + operations(two)
    short, long = [3, 1, 2], [3, 1, 2] * 1000
    assert operations(lambda: sorted(short)) == operations(lambda: sorted(long))


def test_a_generator_begun_before_counts_from_there():
    counted = (sum(range(3)) for _ in range(100))
    next(counted)
    assert operations(lambda: next(counted)) == operations(lambda: next(counted)) > 0


def test_the_tracer_that_was_set_is_set_again():
    def tracer(frame, event, arg):
        return None

    before = sys.gettrace()
    sys.settrace(tracer)
    try:
        operations(turns(1))
        with pytest.raises(ZeroDivisionError):
            operations(lambda: 1 / 0)
        assert sys.gettrace() is tracer
    finally:
        sys.settrace(before)


def test_processor_time_is_taken_of_each_call():
    calls = []
    taken = processor_seconds(lambda: calls.append(1), 4)
    assert len(calls) == len(taken) == 4 and min(taken) >= 0 and reference_seconds() > 0


def test_garbage_is_collected_as_served_only_inside():
    before = gc.get_threshold()
    with pytest.raises(KeyError), rig.collected_as_served():
        assert gc.get_threshold() == (7_000, 10, 10) != before and gc.get_freeze_count()
        raise KeyError
    assert gc.get_threshold() == before and not gc.get_freeze_count()


def test_a_driven_module_is_at_rest():
    driven = Driven(FEW)
    module = driven.module
    assert len(module.servers.ready) == 24 and len(module.quotas.buckets) == 20 and not module.quotas.answers
    assert [peer.life for peer in module.links.peers.values()] == [rig.LIFE] * 3 and module.links.first_life()
    assert all(not bucket.leases for bucket in module.quotas.buckets.values())


@pytest.mark.parametrize(
    "act, events, tells",
    [
        (Driven.rpc_at_owner, {interface.RpcArrived: 30, interface.CallOutEnded: 30}, 0),
        (Driven.rpc_that_asks, {interface.RpcArrived: 30, interface.CallOutEnded: 30, interface.PeerFrame: 30}, 60),
        (Driven.ask_served, {interface.PeerFrame: 60}, 30),
        (Driven.server_changed, {interface.ServerList: 30}, 0),
        (Driven.list_again, {interface.ServerList: 30}, 0),
    ],
)
def test_a_unit_is_what_it_says(act, events, tells):
    """The events of thirty units, the frames sent, and that no bucket or RPC is left over."""
    driven = Driven(FEW, kept=True)
    driven.play(Driven.rpc_at_owner, 30)  # the module is calm after that: no more looks
    first, *_, last = driven.play(act, 30)
    replay = Replay(FEW, driven.script)
    replay.advance(first)
    commands = [command for told in replay.told for command in told]
    kinds = [type(event) for _, event in driven.script[first:last] if not isinstance(event, interface.TimerFired)]
    assert {kind: kinds.count(kind) for kind in set(kinds)} == events
    sent = [type(command) for command in commands if not isinstance(command, interface.SetTimer)]
    assert sent.count(interface.SendPeerFrame) == tells and sent.count(interface.SendCallOut) == events.get(
        interface.CallOutEnded, 0
    )
    assert set(sent) <= {interface.SendPeerFrame, interface.SendCallOut}
    assert len(driven.module.quotas.buckets) == 20 and not driven.module.quotas.slices and not driven.module.rpcs


def test_asks_go_to_all_peers_in_turn():
    driven = Driven(FEW, kept=True)
    first = driven.play(Driven.rpc_that_asks, 30)[0]
    senders = [event.sender for _, event in driven.script[first:] if isinstance(event, interface.PeerFrame)]
    assert {senders.count(peer) for peer in (1, 2, 3)} == {10}


def test_two_measurements_give_the_same_operations():
    with rig.collected_as_served():
        one, two = (module_costs.costs(FEW, (*RPCS, *LISTS), small=True) for _ in range(2))
        born = [module_costs.birth_costs(FEW, True).operations for _ in range(2)]
    counts = [{name: cost.operations for name, cost in found.items()} for found in (one, two)]
    assert counts[0] == counts[1]
    assert len(one) == 5 and all(cost.operations[0] > 0 for cost in one.values())
    assert born[0] == born[1]


def test_a_longer_list_costs_more_when_it_is_told_whole_and_not_when_one_server_changes(run):
    for more in ("", " without connection price"):
        whole, change = (
            run[0][f"{name} by servers{more}: operations"] for name in ("whole list", "change of one server")
        )
        (shortest, _), *_, (longest, _) = whole.points
        assert longest == 8 * shortest and whole.at(longest).value > 4 * whole.at(shortest).value
        assert change.at(longest).value < 1.2 * change.at(shortest).value


def test_all_measures_have_the_names_that_the_page_reads(run):
    every, some = ("servers", "peers", "customers", "plans"), ("servers", "peers")
    pairs = [(name, by) for name in RPCS for by in every] + [(name, by) for name in LISTS for by in some]
    pairs += [("birth", by) for by in ("servers", "peers", "plans")]
    names = {f"{name} by {by}: {unit}" for name, by in pairs for unit in ("operations", "seconds", "references")}
    names |= {f"memory of the module by {by}: bytes" for by in every}
    names |= {f"{name} by servers without connection price: operations" for name in LISTS}
    assert set(run[0]) == names and len(run[2]) == len(names)


def test_a_measure_says_what_was_held(run):
    for measure in run[0].values():
        assert measure.by not in measure.held and measure.note
        others = {"servers": 40, "peers": 2, "customers": 200, "plans": 4}
        assert {size: measure.held[size] for size in others if size != measure.by}.items() <= others.items()
        assert measure.held["connection_price"] == (0.0 if "without connection price" in measure.name else 0.02)
    assert run[1]["reference_seconds"] > 0


def test_references_are_seconds_by_the_reference_loop(monkeypatch):
    """By a clock that a call moves by 6 s, and the loop by 1 s before it and by 3 s after it."""
    clock, loops = [0.0], iter((1.0, 3.0, 1.0, 3.0))
    monkeypatch.setattr(reference_cost, "process_time", lambda: clock[0])
    monkeypatch.setattr(reference_cost, "_loop", lambda: clock.append(clock.pop() + next(loops)))
    assert seconds_and_references(lambda: clock.append(clock.pop() + 6.0), 2) == ([6.0, 6.0], [3.0, 3.0])


def test_each_point_has_seconds_and_references(run):
    for unit in ("seconds", "references", "operations"):
        points = run[0][f"whole list by servers: {unit}"].points
        assert [size for size, _ in points] == list(module_costs.SMALL["servers"])
        assert all(len(values) == 1 and values[0] > 0 for _, values in points)


def test_the_sizes_end_at_what_is_planned_and_plans_fit_their_byte():
    assert [module_costs.SIZES[by][-1] for by in ("servers", "peers", "customers")] == [41_000, 2700, 59_000]
    assert max(module_costs.SIZES["plans"]) < 256 and all(len(sizes) >= 4 for sizes in module_costs.SIZES.values())
    assert min(module_costs.SMALL["servers"]) > 16, "a gateway keeps to sixteen of more servers only"


def test_memory_is_that_of_a_fresh_process():
    ballast = bytearray(64 << 20)  # of this process, which is not counted
    few, many = module_costs.memory(Sizes(servers=20)), module_costs.memory(Sizes(servers=6000))
    assert few < many and few < len(ballast)
