"""The laboratory: the model against theory, the checker against policies that break each rule."""

import math
import random
from dataclasses import replace

import pytest
from lab_worlds import QUICK, told, world

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, RepeatSafety
from oakfork.lab import experiment as files
from oakfork.lab.baseline_policies import POLICIES, Baseline
from oakfork.lab.compare import interval
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.lab.sweep import play


def test_events_of_one_instant_come_in_the_stated_order():
    loop, came = EventLoop(), []
    planned = [(kind, number) for number in range(3) for kind in EventKind]
    random.Random(1).shuffle(planned)
    for kind, number in planned:
        loop.at(5, kind, came.append, (kind, number))
    loop.at(7, EventKind.FAULT, loop.at, 3, EventKind.FAULT, lambda: came.append(loop.now))  # in the past: now
    loop.run(10)
    assert came[:-1] == sorted(planned, key=lambda row: (row[0], planned.index(row))) and came[-1] == 7


@pytest.mark.parametrize("servers, cores, load", [(1, 1, 0.5), (1, 3, 0.7), (1, 8, 0.8)])
def test_waiting_times_are_those_of_theory(servers, cores, load):
    """M/M/c: the mean wait by Erlang's formula, within a tenth of it or a hundredth of the work, over eight seeds; and
    Little's law."""
    work, waits, busy = 0.05, [], []
    for seed in range(8):
        one = world(
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
        result = one.run()
        assert result["sums"]["ok"] == result["sums"]["asked"] and not result["broken"]
        mean = one.metrics.latency.get_mean_value() / SECOND
        waits.append(mean - work)
        busy.append(sum(result["server_work_s"]) / 60 / cores)
    erlang = load * cores
    top = erlang**cores / math.factorial(cores) / (1 - load)
    waited = top / (sum(erlang**n / math.factorial(n) for n in range(cores)) + top)
    expected = waited * work / (cores * (1 - load))
    mean, low, high = interval(waits)
    assert abs(mean - expected) < max(0.1 * expected, 0.01 * work) or low < expected < high
    assert abs(sum(busy) / len(busy) - load) < 0.03  # Little: what is in service is arrivals times work


def test_the_bucket_grants_its_bound_and_all_of_it():
    """A customer that asks for far more gets burst + rate x time, within two units, whichever gateway it asks."""
    for seed in range(3):
        one = world(
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
        result = one.run()
        bound = 6 + 2 * 20
        granted = result["sums"]["ok"]
        assert bound - 8 <= granted <= bound + 2 + result["sums"].get("granted beyond quota", 0)


@pytest.mark.parametrize("seed", range(6))
def test_the_module_keeps_the_rules_under_random_faults(seed):
    """Every RPC ends once and every call-out is accounted for, whatever happens at once."""
    dice, faults = random.Random(seed), []
    for kind in dice.sample(files.FAULTS, 5):
        at = dice.uniform(0.5, 5)
        size = {"slow": 5, "fail_fast": 0.7, "lose_frames": 0.5, "late_lists": 3, "surge": 2}.get(kind, 0)
        faults.append(
            {
                "kind": kind,
                "at_s": at,
                "until_s": at + dice.uniform(0.5, 3),
                "share": dice.uniform(0.1, 0.6),
                "size": size,
            }
        )
    one = world(DecisionModule, seed, seconds=8, zones=2, gateways=6, faults=faults)
    result = one.run()
    assert not result["broken"], result["lines"]
    assert result["taken"] > 200 and not one.checker.rpcs
    live = [gateway for gateway in one.gateways if gateway.up]
    assert not any(
        gateway.exchanges or any(gateway.index_table.rpc_entries) for gateway in live
    ), "an RPC was left at a gateway"


def test_an_rpc_whose_client_gives_up_on_the_way_is_not_taken():
    """Guards the checker: nothing is owed for what arrives after its deadline."""
    late = QUICK | {"soft_ms": 150, "deadline_ms": 150}
    result = world(DecisionModule, seconds=4, methods=[late], links__client_ms=120).run()
    assert result["sums"]["given up on the way"] > 20 and result["taken"] > 20 and not result["broken"], result["lines"]


def test_a_killed_gateway_leaves_no_timer_and_no_call_out_behind():
    one = world(
        DecisionModule, 3, seconds=4, faults=[{"kind": "kill_gateways", "at_s": 2, "until_s": 60, "share": 1.0}]
    )
    came = []
    one.loop.at(
        SECOND + 2 * SECOND + 1,
        EventKind.LOOK,
        lambda: [setattr(gateway, "handle", lambda *event: came.append(event)) for gateway in one.gateways],
    )
    result = one.run()
    assert not came and result["sums"]["no gateway"] > 0 and not result["broken"]
    assert all(server.held() == 0 for server in one.servers.values())


class Bad(Baseline):
    """A baseline that breaks one rule on purpose."""

    def __init__(self, settings, now, rule):
        super().__init__(settings, now, "random", "none")
        self.rule, self.told = rule, []

    def handle(self, now, event):
        if isinstance(event, interface.ServerList):
            self.told += [entry.server for entry in event.entries if entry.state != interface.ServerState.READY]
            self.cold = [entry.server for entry in event.entries if entry.up_since] or getattr(self, "cold", [])
        commands = list(super().handle(now, event))
        match self.rule:
            case "silent":
                return [c for c in commands if isinstance(c, interface.SetTimer)]
            case "twice" if isinstance(event, interface.CallOutEnded) and event.status == interface.Status.OK:
                return [*commands, interface.PushBack(event.rpc, 0)]
            case "drains" if self.told:
                return [
                    c._replace(server=self.told[0]) if isinstance(c, interface.SendCallOut) else c for c in commands
                ]
            case "cold" if self.cold:
                return [
                    c._replace(server=self.cold[0]) if isinstance(c, interface.SendCallOut) else c for c in commands
                ]
            case "effects":
                return [again for c in commands for again in ([c, c] if isinstance(c, interface.SendCallOut) else [c])]
        return commands


ONCE = {"name": "once", "work_ms": 20.0, "soft_ms": 2000, "deadline_ms": 4000, "repeat": "non-idempotent"}

REPLACED = [{"kind": "replace_servers", "at_s": 1, "until_s": 2, "share": 0.9}]


@pytest.mark.parametrize(
    "rule, broken, changes",
    [
        ("silent", "answers", {}),
        ("effects", "effects", {"methods": [ONCE]}),
        ("drains", "drains", {"faults": REPLACED}),
        ("cold", "cold servers", {"faults": REPLACED, "load": 0.8}),
        (
            "none",
            "ceilings",
            {
                "plans": [
                    {
                        "name": "full",
                        "customers": 3,
                        "rate": 2,
                        "burst": 3,
                        "ceiling_rate": 3,
                        "ceiling_burst": 4,
                        "demand": 5,
                    }
                ]
            },
        ),
    ],
)
def test_a_policy_that_breaks_a_rule_is_caught(rule, broken, changes):
    result = world(lambda settings, now: Bad(settings, now, rule), seconds=6, **changes).run()
    assert result["broken"].get(broken), result["broken"]
    assert not world(DecisionModule, seconds=6, **changes).run()["broken"].get(broken)


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
    from oakfork.lab.invariant_checker import WatchedRpc

    return WatchedRpc(one.plan.methods[0], 5, one.plan.plans[0], 0, 0, 1000)


def test_a_repeat_outside_its_group_or_time_is_caught():
    one = world()
    method = replace(one.plan.methods[0], repeat=RepeatSafety.DEDUPLICATED, group="cell", deduplication_time=100)
    for group, sent_at, caught in ((1, 50, False), (2, 50, True), (1, 150, True)):
        one.checker.broken.clear()
        watched = replace(_watched(one), method=method, ran=[])
        one.checker.ran(1, watched, 1, 0, 5)
        one.checker.ran(1, watched, group, sent_at, sent_at)
        assert bool(one.checker.broken) == caught


def test_baselines_do_what_they_are_named_for():
    changes = {"seconds": 4, "plans": [{"name": "p", "customers": 10, "rate": 1, "burst": 3, "demand": 4}], "load": 0.9}
    beyond = {
        name: play(replace(files.checked(told(**changes)).runs[0], policy=name))["sums"].get("granted beyond quota", 0)
        for name in POLICIES
    }
    assert beyond["two choices"] > 3 * beyond["central bucket"] and beyond["two choices"] > 3 * beyond["oakfork"]
    spread = {}
    for name in ("random", "round robin", "least outstanding"):
        one = world(POLICIES[name], seconds=10, gateways=1, methods=[QUICK | {"spread": "fixed"}])
        work = one.run()["server_work_s"]
        spread[name] = max(work) - min(work)
    assert spread["round robin"] < spread["random"]
