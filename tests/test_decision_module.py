"""The rules after every step of seeded worlds, and the way of an RPC."""

import pytest
from decision_modules import ended, gateway, kinds
from gateway_network import METHODS, GatewayNetwork, arrival

from oakfork import interface
from oakfork.interface import SECOND, Status


@pytest.mark.parametrize("seed", range(8))
def test_the_rules_hold_after_every_step(seed):
    world = GatewayNetwork(seed, 2 + seed % 3, 7, probing=seed > 3)
    world.play(25, 40)
    assert world.answers["ok"] > 200
    assert not any(module.rpcs for module in world.modules), "an RPC was left in the table"


def test_the_same_events_give_the_same_commands():
    worlds = [GatewayNetwork(3, 3, 6, probing=True) for _ in range(2)]
    for world in worlds:
        world.play(8, 40)
    assert worlds[0].log == worlds[1].log


def test_without_trouble_only_the_quota_pushes_back():
    world = GatewayNetwork(5, 3, 9, trouble=False)
    world.play(20, 10)
    assert world.answers["aborted"] == 0 and world.answers["ok"] > 5 * world.answers["pushed back"]


def test_a_gateway_that_is_behind_lets_in_less_and_blames_no_server():
    module, now, let_in = gateway(), 0, []
    for late in (0, 0, 2000, 0):  # how late its timers come; the rest of the time it has nothing to do
        sent = 0
        for rpc in range(60):
            now += 100
            commands = module.handle(now, arrival(rpc, 1000 + rpc))
            if interface.SendCallOut in kinds(commands):
                sent += 1
                server = next(command.server for command in commands if isinstance(command, interface.SendCallOut))
                now += 300 + late
                module.handle(now, ended(rpc, 0, server))
            now = max(now, module.context.woken or 0) + late
            module.handle(now, interface.TimerFired(0))
        let_in.append(sent)
        assert all(server.limit > 100 for server in module.servers.all.values())
    assert let_in[0] == let_in[1] == 60 and 0 < let_in[2] < 30 < let_in[3]


def test_fewer_rpcs_are_let_in_while_call_outs_are_late_and_all_again_after():
    module = gateway(gateways=80, servers=20)
    for rpc in range(20):
        module.handle(0, arrival(rpc, rpc))
    module.handle(METHODS[0].soft_deadline, interface.TimerFired(0))
    assert module.let_in < 0.1
    for rpc in range(100, 1500):
        module.handle(50_000, arrival(rpc, rpc))
        if rpc in module.rpcs:
            module.handle(50_500, ended(rpc, 0, next(iter(module.rpcs[rpc].out.values()))))
    assert module.let_in > 1.0  # a single late one does not refuse any yet


def test_a_gateway_looks_before_it_sends_to_servers_it_seldom_hears():
    module = gateway(servers=40, gateways=80, probing=True)
    module.servers.quickest = {0: 9, 1: 9}
    for server in module.servers.all.values():
        server.pace = 1.0 if server.entry.zone else 9.0  # by its own old view the ones in zone 0 are slow
    for rpc, now in enumerate(range(20_000, 23_000, 100)):
        commands = module.handle(now, arrival(rpc, rpc))
        probed = [command.server for command in commands if isinstance(command, interface.ProbeServer)]
        assert len(probed) == 2 and interface.SendCallOut not in kinds(commands)
        first, second = probed  # the first took long to answer, the second none: that gets the RPC
        assert interface.SendCallOut not in kinds(
            module.handle(now + 9, interface.ProbeEnded(first, Status.OK, 90, ()))
        )
        sent = module.handle(now + 10, interface.ProbeEnded(second, Status.OK, 9, ()))
        assert [command.server for command in sent if isinstance(command, interface.SendCallOut)] == [second]
    now, commands = 50_000, module.handle(50_000, arrival(99, 99))  # and if all hold much it is shed soon
    while interface.PushBack not in kinds(commands) and now < 52_000:
        now += 10
        full = [
            interface.ProbeEnded(c.server, Status.OK, 400, ()) for c in commands if isinstance(c, interface.ProbeServer)
        ]
        commands = [c for event in (*full, interface.TimerFired(0)) for c in module.handle(now, event)]
    assert now < 52_000


@pytest.mark.parametrize("price, trouble, looks", [(0.01, 0.1, True), (0.08, 0.1, False), (0.08, 0.3, True)])
def test_a_look_has_to_save_more_than_its_probes_cost(price, trouble, looks):
    """Guards against probes summed over hundreds of gateways, each of which hears every server too seldom."""
    module = gateway(gateways=200, servers=40, probing=True, probe_price=price)
    module.servers.trouble = trouble
    assert (interface.ProbeServer in kinds(module.handle(50_000, arrival(1, 1)))) == looks


@pytest.mark.parametrize("price, until, probes", [(0.01, 8_000, 2), (0.08, 8_000, 0), (0.08, 12_000, 2)])
def test_a_second_copy_is_looked_for_later_and_once_where_probes_are_dear(price, until, probes):
    module = gateway(servers=40, probing=True, probe_price=price)
    module.servers.trouble, module.servers.mean_latency = 0.0, 20 * SECOND
    assert interface.SendCallOut in kinds(module.handle(0, arrival(1, 1)))
    asked = module.handle(until, interface.TimerFired(0))
    assert kinds(asked).count(interface.ProbeServer) == probes
    if probes and price > 0.05:  # both hold too much for a copy: nobody else is asked
        full = [
            interface.ProbeEnded(c.server, Status.OK, 4_000, ()) for c in asked if isinstance(c, interface.ProbeServer)
        ]
        assert not [
            c for event in full for c in module.handle(until + 1, event) if isinstance(c, interface.ProbeServer)
        ]


def test_a_deadline_before_the_second_copy_is_kept():
    """Guards against clients that leave little time: the wait for a second copy went beyond their deadline."""
    module = gateway(servers=4)
    assert interface.SendCallOut in kinds(module.handle(0, arrival(1, 1, left=600)))
    assert interface.PushBack in kinds(module.handle(600, interface.TimerFired(0)))
