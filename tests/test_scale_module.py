"""Costs of the decision module: what is counted, that counts are reproducible, and what the units do."""

import gc
import sys

import pytest

from oakfork import interface
from oakfork.lab.scale import module_costs, module_driver, reference_cost
from oakfork.lab.scale.module_driver import ModuleDriver, Replay, Sizes
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
    """One small measurement: measures by name, what holds of the run, and the reported lines."""
    lines = []
    measures, run_facts = module_costs.measure(lines.append, small=True)
    return {measure.name: measure for measure in measures}, run_facts, lines


def turns(times):
    """A function that runs an empty loop."""

    def call():
        for _ in range(times):
            pass

    return call


def test_instruction_counts_are_reproducible_and_linear():
    """The same call always counts the same, and each turn of a loop adds the same."""
    few, more, most = (operations(turns(times)) for times in (10, 20, 30))
    assert few == operations(turns(10))
    assert 0 < more - few == most - more


def test_instructions_of_python_callees_count_but_not_work_in_c():
    """Nested Python calls are counted; sorting a longer list in C adds nothing."""
    one = turns(10)
    two = turns(1000)
    assert operations(lambda: (one(), two())) > operations(one) + operations(two)
    short = [3, 1, 2]
    long = [3, 1, 2] * 1000
    assert operations(lambda: sorted(short)) == operations(lambda: sorted(long))


def test_generator_begun_before_counts_from_its_current_state():
    """A generator that was started without the tracer is still counted when it is resumed."""
    counted = (sum(range(3)) for _ in range(100))
    next(counted)
    assert operations(lambda: next(counted)) == operations(lambda: next(counted)) > 0


def test_previous_tracer_is_restored():
    """Also after an exception; otherwise coverage or a debugger would be lost."""

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
    """One value for each call, and the reference loop takes time, so that dividing by it is safe."""
    calls = []
    seconds = processor_seconds(lambda: calls.append(1), 4)
    assert len(calls) == len(seconds) == 4
    assert min(seconds) >= 0
    assert reference_seconds() > 0


def test_garbage_collection_settings_are_restored():
    """The serving thresholds apply inside the context only, also after an exception."""
    before = gc.get_threshold()
    with pytest.raises(KeyError), module_driver.collect_garbage_as_served():
        assert gc.get_threshold() == (7_000, 10, 10) != before
        assert gc.get_freeze_count()
        raise KeyError
    assert gc.get_threshold() == before
    assert not gc.get_freeze_count()


def test_driven_module_is_at_rest():
    """Measuring starts with all servers ready, all peers heard, all buckets created and none of them in use."""
    module = ModuleDriver(FEW).module
    assert len(module.servers.ready) == 24
    assert len(module.quotas.buckets) == 20
    assert not module.quotas.answers
    assert [peer.life for peer in module.links.peers.values()] == [module_driver.PEER_LIFE] * 3
    assert module.links.first_life()
    assert all(not bucket.leases for bucket in module.quotas.buckets.values())


@pytest.mark.parametrize(
    "unit, events, frames",
    [
        (ModuleDriver.rpc_at_owner, {interface.RpcArrived: 30, interface.CallOutEnded: 30}, 0),
        (
            ModuleDriver.rpc_that_asks,
            {interface.RpcArrived: 30, interface.CallOutEnded: 30, interface.PeerFrame: 30},
            60,
        ),
        (ModuleDriver.ask_served, {interface.PeerFrame: 60}, 30),
        (ModuleDriver.server_changed, {interface.ServerList: 30}, 0),
        (ModuleDriver.whole_list_again, {interface.ServerList: 30}, 0),
    ],
)
def test_unit_consists_of_its_events_and_frames(unit, events, frames):
    """Thirty units have exactly these events and frames, and leave no bucket or RPC behind."""
    driver = ModuleDriver(FEW, recorded=True)
    driver.run_units(ModuleDriver.rpc_at_owner, 30)  # after that the module sends no more probes
    first, *_, last = driver.run_units(unit, 30)
    replay = Replay(FEW, driver.script)
    replay.advance(first)
    commands = [command for handled in replay.commands for command in handled]
    kinds = [type(event) for _, event in driver.script[first:last] if not isinstance(event, interface.TimerFired)]
    assert {kind: kinds.count(kind) for kind in set(kinds)} == events
    sent = [type(command) for command in commands if not isinstance(command, interface.SetTimer)]
    assert sent.count(interface.SendPeerFrame) == frames
    assert sent.count(interface.SendCallOut) == events.get(interface.CallOutEnded, 0)
    assert set(sent) <= {interface.SendPeerFrame, interface.SendCallOut}
    assert len(driver.module.quotas.buckets) == 20
    assert not driver.module.quotas.slices
    assert not driver.module.rpcs


def test_asks_go_to_all_peers_in_turn():
    """The cost by peers is spread over all links, not taken from one that is always in use."""
    driver = ModuleDriver(FEW, recorded=True)
    first = driver.run_units(ModuleDriver.rpc_that_asks, 30)[0]
    senders = [event.sender for _, event in driver.script[first:] if isinstance(event, interface.PeerFrame)]
    assert {senders.count(peer) for peer in (1, 2, 3)} == {10}


def test_two_measurements_give_the_same_operations():
    """Counts of operations must not depend on the run, or stored ones cannot be compared."""
    with module_driver.collect_garbage_as_served():
        one, two = (module_costs.costs(FEW, (*RPCS, *LISTS), small=True) for _ in range(2))
        created = [module_costs.birth_costs(FEW, True).operations for _ in range(2)]
    counts = [{name: cost.operations for name, cost in by_name.items()} for by_name in (one, two)]
    assert counts[0] == counts[1]
    assert len(one) == 5
    assert all(cost.operations[0] > 0 for cost in one.values())
    assert created[0] == created[1]


def test_cost_grows_with_the_list_for_a_whole_list_but_not_for_one_change(run):
    """Guards against a change of one server that goes through the whole list."""
    for variant in ("", " without connection price"):
        whole, change = (
            run[0][f"{name} by servers{variant}: operations"] for name in ("whole list", "change of one server")
        )
        (shortest, _), *_, (longest, _) = whole.points
        assert longest == 8 * shortest
        assert whole.at(longest).value > 4 * whole.at(shortest).value
        assert change.at(longest).value < 1.2 * change.at(shortest).value


def test_measures_have_the_names_that_the_capacity_page_reads(run):
    """A renamed measure would show as not measured on the page."""
    every = ("servers", "peers", "customers", "plans")
    some = ("servers", "peers")
    pairs = [(name, by) for name in RPCS for by in every] + [(name, by) for name in LISTS for by in some]
    pairs += [("birth", by) for by in ("servers", "peers", "plans")]
    names = {f"{name} by {by}: {unit}" for name, by in pairs for unit in ("operations", "seconds", "references")}
    names |= {f"memory of the module by {by}: bytes" for by in every}
    names |= {f"{name} by servers without connection price: operations" for name in LISTS}
    assert set(run[0]) == names
    assert len(run[2]) == len(names)


def test_measure_records_what_was_held(run):
    """The other sizes and the connection price are stored with each measure."""
    for measure in run[0].values():
        assert measure.by not in measure.held
        assert measure.note
        others = {"servers": 40, "peers": 2, "customers": 200, "plans": 4}
        assert {size: measure.held[size] for size in others if size != measure.by}.items() <= others.items()
        assert measure.held["connection_price"] == (0.0 if "without connection price" in measure.name else 0.02)
    assert run[1]["reference_seconds"] > 0


def test_references_are_seconds_divided_by_the_reference_loop(monkeypatch):
    """On a clock that a call moves by 6 s, and the loop by 1 s before the call and by 3 s after it."""
    clock = [0.0]
    loops = iter((1.0, 3.0, 1.0, 3.0))
    monkeypatch.setattr(reference_cost, "process_time", lambda: clock[0])
    monkeypatch.setattr(reference_cost, "_loop", lambda: clock.append(clock.pop() + next(loops)))
    assert seconds_and_references(lambda: clock.append(clock.pop() + 6.0), 2) == ([6.0, 6.0], [3.0, 3.0])


def test_each_point_has_seconds_and_references(run):
    """Every unit of a measure has a positive value at each size."""
    for unit in ("seconds", "references", "operations"):
        points = run[0][f"whole list by servers: {unit}"].points
        assert [size for size, _ in points] == list(module_costs.SMALL["servers"])
        assert all(len(values) == 1 for _, values in points)
        assert all(values[0] > 0 for _, values in points)


def test_sizes_end_at_the_planned_fleet_and_plans_fit_their_byte():
    """The capacity page needs the planned sizes, and a frame names a plan by one byte."""
    assert [module_costs.SIZES[by][-1] for by in ("servers", "peers", "customers")] == [41_000, 2700, 59_000]
    assert max(module_costs.SIZES["plans"]) < 256
    assert all(len(sizes) >= 4 for sizes in module_costs.SIZES.values())
    assert min(module_costs.SMALL["servers"]) > 16, "a gateway keeps to sixteen of more servers only"


def test_memory_is_that_of_a_fresh_process():
    """Memory of the measuring process must not be counted."""
    ballast = bytearray(64 << 20)  # of this process
    few = module_costs.memory(Sizes(servers=20))
    many = module_costs.memory(Sizes(servers=6000))
    assert few < many
    assert few < len(ballast)
