"""The simulation against theory, and the invariant checker against policies that break each rule."""

import math
import random
from dataclasses import replace

import pytest
from lab_worlds import QUICK, small_experiment, small_world

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, RepeatSafety
from oakfork.lab import experiment
from oakfork.lab.baseline_policies import POLICIES, Baseline
from oakfork.lab.compare import interval
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.lab.experiment_schema import FAULT_KINDS
from oakfork.lab.invariant_checker import WatchedRpc
from oakfork.lab.sweep import play


def test_events_of_one_instant_run_in_the_order_of_their_kinds():
    """Within a kind they run in the order of scheduling, and an event in the past runs now."""
    loop, ran = EventLoop(), []
    scheduled = [(kind, number) for number in range(3) for kind in EventKind]
    random.Random(1).shuffle(scheduled)
    for kind, number in scheduled:
        loop.at(5, kind, ran.append, (kind, number))
    loop.at(7, EventKind.FAULT, loop.at, 3, EventKind.FAULT, lambda: ran.append(loop.now))
    loop.run(10)
    assert ran[:-1] == sorted(scheduled, key=lambda event: (event[0], scheduled.index(event))) and ran[-1] == 7


@pytest.mark.parametrize("servers, cores, load", [(1, 1, 0.5), (1, 3, 0.7), (1, 8, 0.8)])
def test_waiting_times_agree_with_queueing_theory(servers, cores, load):
    """M/M/c: mean wait by Erlang's formula, within a tenth of it or a hundredth of the work; and Little's law."""
    work, waits, busy = 0.05, [], []
    for seed in range(8):
        world = small_world(
            POLICIES["random"],
            seed,
            seconds=60,
            load=load,
            gateways=1,
            methods=[QUICK],
            plans=[{"name": "open", "customers": 20, "rate": 0, "gateways": 1}],
            servers__count=servers,
            servers__cores=cores,
            servers__waiting=100_000,
            clients__retries=0,
            links__handshake_ms=0,
            links__client_ms=0,
            links__server_ms=0,
        )
        result = world.run()
        assert result["sums"]["ok"] == result["sums"]["asked"] and not result["broken"]
        mean = world.metrics.latency.get_mean_value() / SECOND
        waits.append(mean - work)
        busy.append(sum(result["server_work_s"]) / 60 / cores)
    erlangs = load * cores
    all_busy = erlangs**cores / math.factorial(cores) / (1 - load)
    probability_of_wait = all_busy / (sum(erlangs**n / math.factorial(n) for n in range(cores)) + all_busy)
    expected = probability_of_wait * work / (cores * (1 - load))
    mean, low, high = interval(waits)
    assert abs(mean - expected) < max(0.1 * expected, 0.01 * work) or low < expected < high
    assert abs(sum(busy) / len(busy) - load) < 0.03  # Little: RPCs in service are arrival rate times work


def test_the_quota_grants_its_bound_and_all_of_it():
    """A customer that asks for far more gets burst + rate x time, within two units, whichever gateways it asks."""
    for seed in range(3):
        world = small_world(
            DecisionModule,
            seed,
            seconds=20,
            gateways=3,
            load=0,
            probing=False,
            links__peer_loss=0,
            methods=[QUICK],
            plans=[{"name": "tight", "customers": 1, "rate": 2, "burst": 6, "demand": 20, "gateways": 3}],
        )
        result = world.run()
        bound = 6 + 2 * 20
        granted = result["sums"]["ok"]
        assert bound - 8 <= granted <= bound + 2 + result["sums"].get("granted beyond quota", 0)


@pytest.mark.parametrize("seed", range(6))
def test_the_decision_module_keeps_the_rules_under_random_faults(seed):
    """Every RPC ends once and every call-out is accounted for under five overlapping faults."""
    rng, faults = random.Random(seed), []
    for kind in rng.sample(FAULT_KINDS, 5):
        at = rng.uniform(0.5, 5)
        size = {"slow": 5, "fail_fast": 0.7, "lose_frames": 0.5, "late_lists": 3, "surge": 2}.get(kind, 0)
        faults.append(
            {
                "kind": kind,
                "at_s": at,
                "until_s": at + rng.uniform(0.5, 3),
                "share": rng.uniform(0.1, 0.6),
                "size": size,
            }
        )
    world = small_world(DecisionModule, seed, seconds=8, zones=2, gateways=6, faults=faults)
    result = world.run()
    assert not result["broken"], result["lines"]
    assert result["taken"] > 200 and not world.checker.rpcs
    live = [gateway for gateway in world.gateways if gateway.up]
    assert not any(
        gateway.exchanges or any(gateway.index_table.rpc_entries) for gateway in live
    ), "an RPC was left at a gateway"


def test_an_rpc_that_arrives_after_its_deadline_is_not_accepted():
    """The checker must not expect an answer to an RPC whose client gave up while it was on its way."""
    late = QUICK | {"soft_ms": 150, "deadline_ms": 150}
    result = small_world(DecisionModule, seconds=4, methods=[late], links__client_ms=120).run()
    assert result["sums"]["given up on the way"] > 20 and result["taken"] > 20 and not result["broken"], result["lines"]


def test_a_killed_gateway_leaves_no_timer_and_no_call_out_behind():
    """No event may reach a gateway after its death, and no server may keep work for it."""
    faults = [{"kind": "kill_gateways", "at_s": 2, "until_s": 60, "share": 1.0}]
    world = small_world(DecisionModule, 3, seconds=4, faults=faults)
    events = []

    def record_events():
        for gateway in world.gateways:
            gateway.handle = lambda *event: events.append(event)

    world.loop.at(SECOND + 2 * SECOND + 1, EventKind.MEASUREMENT, record_events)
    result = world.run()
    assert not events and result["sums"]["no gateway"] > 0 and not result["broken"]
    assert all(server.jobs() == 0 for server in world.servers.values())


class RuleBreaker(Baseline):
    """A baseline that breaks one rule on purpose."""

    def __init__(self, settings, now, rule):
        """`rule` names what it breaks; "none" leaves the baseline as it is."""
        super().__init__(settings, now, "random", "none")
        self.rule = rule
        self.withdrawn = []
        self.cold = []

    def handle(self, now, event):
        """Changes the commands of the baseline."""
        if isinstance(event, interface.ServerList):
            self.withdrawn += [entry.server for entry in event.entries if entry.state != interface.ServerState.READY]
            self.cold = [entry.server for entry in event.entries if entry.up_since] or self.cold
        commands = list(super().handle(now, event))
        match self.rule:
            case "silent":
                return [command for command in commands if isinstance(command, interface.SetTimer)]
            case "twice" if isinstance(event, interface.CallOutEnded) and event.status == interface.Status.OK:
                return [*commands, interface.PushBack(event.rpc, 0)]
            case "drains" if self.withdrawn:
                return [_redirected(command, self.withdrawn[0]) for command in commands]
            case "cold" if self.cold:
                return [_redirected(command, self.cold[0]) for command in commands]
            case "effects":
                return [copy for command in commands for copy in _doubled(command)]
        return commands


def _redirected(command, server):
    """A call-out to another server; any other command as it is."""
    return command._replace(server=server) if isinstance(command, interface.SendCallOut) else command


def _doubled(command):
    """A call-out twice; any other command once."""
    return [command, command] if isinstance(command, interface.SendCallOut) else [command]


ONCE = {"name": "once", "work_ms": 20.0, "soft_ms": 2000, "deadline_ms": 4000, "repeat": "non-idempotent"}

REPLACED = [{"kind": "replace_servers", "at_s": 1, "until_s": 2, "share": 0.9}]

CEILING = {
    "name": "full",
    "customers": 3,
    "rate": 2,
    "burst": 3,
    "ceiling_rate": 3,
    "ceiling_burst": 4,
    "demand": 5,
}


@pytest.mark.parametrize(
    "rule, broken, changes",
    [
        ("silent", "answers", {}),
        ("effects", "effects", {"methods": [ONCE]}),
        ("drains", "drains", {"faults": REPLACED}),
        ("cold", "cold servers", {"faults": REPLACED, "load": 0.8}),
        ("none", "ceilings", {"plans": [CEILING]}),
    ],
)
def test_the_checker_finds_a_policy_that_breaks_a_rule(rule, broken, changes):
    """The violation is found with the rule breaker, and not with the decision module in the same world."""
    result = small_world(lambda settings, now: RuleBreaker(settings, now, rule), seconds=6, **changes).run()
    assert result["broken"].get(broken), result["broken"]
    assert not small_world(DecisionModule, seconds=6, **changes).run()["broken"].get(broken)


def test_the_checker_finds_second_and_late_answers_and_a_missing_one():
    """Two violations of "answers" for a second and a late answer, and one of conservation for an RPC without any."""
    world = small_world()
    checker, watched = world.checker, _watched(world)
    checker.rpc_accepted(1, watched)
    checker.rpc_answered(1, 10, "ok")
    checker.rpc_answered(1, 11, "aborted")
    checker.rpc_accepted(2, replace(watched, answered_at=-1))
    checker.rpc_answered(2, watched.deadline + world.config.answer_grace + 1, "ok")
    checker.accepted = 3
    checker.close(99)
    assert checker.broken == {"answers": 2, "conservation": 1}


def _watched(world):
    return WatchedRpc(world.config.methods[0], 5, world.config.plans[0], 0, 0, 1000)


def test_the_checker_finds_a_repeat_outside_its_group_or_deduplication_time():
    """A repeat is harmless only within the group of servers, and the time, that recognize it."""
    world = small_world()
    method = replace(world.config.methods[0], repeat=RepeatSafety.DEDUPLICATED, group="cell", deduplication_time=100)
    for group, sent_at, found in ((1, 50, False), (2, 50, True), (1, 150, True)):
        world.checker.broken.clear()
        watched = replace(_watched(world), method=method, executions=[])
        world.checker.rpc_ran(1, watched, 1, 0, 5)
        world.checker.rpc_ran(1, watched, group, sent_at, sent_at)
        assert bool(world.checker.broken) == found


def test_baselines_behave_as_their_names_say():
    """Policies without quotas grant far more than those with them, and round robin spreads work more evenly."""
    changes = {"seconds": 4, "plans": [{"name": "p", "customers": 10, "rate": 1, "burst": 3, "demand": 4}], "load": 0.9}
    run = experiment.checked(small_experiment(**changes)).runs[0]
    beyond = {name: play(replace(run, policy=name))["sums"].get("granted beyond quota", 0) for name in POLICIES}
    assert beyond["two choices"] > 3 * beyond["central bucket"] and beyond["two choices"] > 3 * beyond["oakfork"]
    spread = {}
    for name in ("random", "round robin", "least outstanding"):
        world = small_world(POLICIES[name], seconds=10, gateways=1, methods=[QUICK | {"spread": "fixed"}])
        work = world.run()["server_work_s"]
        spread[name] = max(work) - min(work)
    assert spread["round robin"] < spread["random"]
