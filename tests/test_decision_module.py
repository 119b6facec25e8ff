"""The rules after every step of seeded worlds, and the way of an RPC."""

import pytest
from decision_modules import ended, gateway, kinds
from gateway_network import METHODS, World, arrival

from oakfork import interface as face
from oakfork.interface import SECOND, Status


@pytest.mark.parametrize("seed", range(8))
def test_the_rules_hold_after_every_step(seed):
    world = World(seed, 2 + seed % 3, 7, probing=seed > 3)
    world.play(25, 40)
    assert world.answers["ok"] > 200
    assert not any(brain.rpcs for brain in world.brains), "an RPC was left in the table"


def test_the_same_events_give_the_same_commands():
    worlds = [World(3, 3, 6, probing=True) for _ in range(2)]
    for world in worlds:
        world.play(8, 40)
    assert worlds[0].log == worlds[1].log


def test_without_trouble_only_the_quota_pushes_back():
    world = World(5, 3, 9, trouble=False)
    world.play(20, 10)
    assert world.answers["aborted"] == 0 and world.answers["ok"] > 5 * world.answers["pushed back"]


def test_a_gateway_that_is_behind_lets_in_less_and_blames_no_server():
    brain, now, let_in = gateway(), 0, []
    for late in (0, 0, 2000, 0):  # how late its timers come; the rest of the time it has nothing to do
        sent = 0
        for rpc in range(60):
            now += 100
            commands = brain.handle(now, arrival(rpc, 1000 + rpc))
            if face.Send in kinds(commands):
                sent += 1
                server = next(command.server for command in commands if isinstance(command, face.Send))
                now += 300 + late
                brain.handle(now, ended(rpc, 0, server))
            now = max(now, brain.desk.woken or 0) + late
            brain.handle(now, face.TimeCame(0))
        let_in.append(sent)
        assert all(server.limit > 100 for server in brain.servers.all.values())
    assert let_in[0] == let_in[1] == 60 and 0 < let_in[2] < 30 < let_in[3]


def test_fewer_rpcs_are_let_in_while_call_outs_are_late_and_all_again_after():
    brain = gateway(gateways=80, servers=20)
    for rpc in range(20):
        brain.handle(0, arrival(rpc, rpc))
    brain.handle(METHODS[0].soft_deadline, face.TimeCame(0))
    assert brain.let_in < 0.1
    for rpc in range(100, 1500):
        brain.handle(50_000, arrival(rpc, rpc))
        if rpc in brain.rpcs:
            brain.handle(50_500, ended(rpc, 0, next(iter(brain.rpcs[rpc].out.values()))))
    assert brain.let_in > 1.0  # a single late one does not refuse any yet


def test_a_gateway_looks_before_it_sends_to_servers_it_seldom_hears():
    brain = gateway(servers=40, gateways=80, probing=True)
    brain.servers.quickest = {0: 9, 1: 9}
    for server in brain.servers.all.values():
        server.pace = 1.0 if server.entry.zone else 9.0  # by its own old view the ones in zone 0 are slow
    for rpc, now in enumerate(range(20_000, 23_000, 100)):
        commands = brain.handle(now, arrival(rpc, rpc))
        probed = [command.server for command in commands if isinstance(command, face.Probe)]
        assert len(probed) == 2 and face.Send not in kinds(commands)
        first, second = probed  # the first took long to answer, the second none: that gets the RPC
        assert face.Send not in kinds(brain.handle(now + 9, face.ProbeEnded(first, Status.OK, 90, ())))
        sent = brain.handle(now + 10, face.ProbeEnded(second, Status.OK, 9, ()))
        assert [command.server for command in sent if isinstance(command, face.Send)] == [second]
    now, commands = 50_000, brain.handle(50_000, arrival(99, 99))  # and if all hold much it is shed soon
    while face.PushBack not in kinds(commands) and now < 52_000:
        now += 10
        full = [face.ProbeEnded(c.server, Status.OK, 400, ()) for c in commands if isinstance(c, face.Probe)]
        commands = [c for event in (*full, face.TimeCame(0)) for c in brain.handle(now, event)]
    assert now < 52_000


@pytest.mark.parametrize("price, trouble, looks", [(0.01, 0.1, True), (0.08, 0.1, False), (0.08, 0.3, True)])
def test_a_look_has_to_save_more_than_its_probes_cost(price, trouble, looks):
    """Guards against probes summed over hundreds of gateways, each of which hears every server too seldom."""
    brain = gateway(gateways=200, servers=40, probing=True, probe_price=price)
    brain.servers.trouble = trouble
    assert (face.Probe in kinds(brain.handle(50_000, arrival(1, 1)))) == looks


@pytest.mark.parametrize("price, until, probes", [(0.01, 8_000, 2), (0.08, 8_000, 0), (0.08, 12_000, 2)])
def test_a_second_copy_is_looked_for_later_and_once_where_probes_are_dear(price, until, probes):
    brain = gateway(servers=40, probing=True, probe_price=price)
    brain.servers.trouble, brain.servers.mean_latency = 0.0, 20 * SECOND
    assert face.Send in kinds(brain.handle(0, arrival(1, 1)))
    asked = brain.handle(until, face.TimeCame(0))
    assert kinds(asked).count(face.Probe) == probes
    if probes and price > 0.05:  # both hold too much for a copy: nobody else is asked
        full = [face.ProbeEnded(c.server, Status.OK, 4_000, ()) for c in asked if isinstance(c, face.Probe)]
        assert not [c for event in full for c in brain.handle(until + 1, event) if isinstance(c, face.Probe)]


def test_a_deadline_before_the_second_copy_is_kept():
    """Guards against clients that leave little time: the wait for a second copy went beyond their deadline."""
    brain = gateway(servers=4)
    assert face.Send in kinds(brain.handle(0, arrival(1, 1, left=600)))
    assert face.PushBack in kinds(brain.handle(600, face.TimeCame(0)))
