"""The five rules over seeded networks of gateways, and the way of an RPC through the decision module."""

import pytest
from decision_modules import ended, gateway, kinds
from gateway_network import METHODS, GatewayNetwork, arrival

from oakfork import interface
from oakfork.interface import SECOND, Status


@pytest.mark.parametrize("seed", range(8))
def test_the_rules_hold_after_every_step(seed):
    """Restarts, drains, lost frames and failing call-outs must break none of the network's rules."""
    network = GatewayNetwork(seed, 2 + seed % 3, 7, probing=seed > 3)
    network.play(25, 40)
    assert network.answers["ok"] > 200
    assert not any(module.rpcs for module in network.modules), "an RPC was left in the table"


def test_the_same_events_give_the_same_commands():
    """A clock, global state or the order of a set in a decision would make runs differ."""
    networks = [GatewayNetwork(3, 3, 6, probing=True) for _ in range(2)]
    for network in networks:
        network.play(8, 40)
    assert networks[0].log == networks[1].log


def test_without_faults_only_the_quota_pushes_back():
    """Without faults no RPC is aborted, and few are pushed back."""
    network = GatewayNetwork(5, 3, 9, faults=False)
    network.play(20, 10)
    assert network.answers["aborted"] == 0 and network.answers["ok"] > 5 * network.answers["pushed back"]


def test_a_gateway_that_is_behind_admits_less_and_blames_no_server():
    """Its own lag must not count as latency of the servers."""
    module, now, admitted = gateway(), 0, []
    for late in (0, 0, 2000, 0):  # how late its timers fire; the rest of the time it has nothing to do
        sent = 0
        for rpc in range(60):
            now += 100
            commands = module.handle(now, arrival(rpc, 1000 + rpc))
            if interface.SendCallOut in kinds(commands):
                sent += 1
                server = next(command.server for command in commands if isinstance(command, interface.SendCallOut))
                now += 300 + late
                module.handle(now, ended(rpc, 0, server))
            now = max(now, module.context.host_timer_at or 0) + late
            module.handle(now, interface.TimerFired(0))
        admitted.append(sent)
        assert all(server.limit > 100 for server in module.servers.all.values())
    assert admitted[0] == admitted[1] == 60 and 0 < admitted[2] < 30 < admitted[3]


def test_fewer_rpcs_are_admitted_while_call_outs_are_late_and_all_again_after():
    """Many late call-outs lower the admitted share, and answers in time raise it to all again."""
    module = gateway(gateways=80, servers=20)
    for rpc in range(20):
        module.handle(0, arrival(rpc, rpc))
    module.handle(METHODS[0].soft_deadline, interface.TimerFired(0))
    assert module.admitted_share < 0.1
    for rpc in range(100, 1500):
        module.handle(50_000, arrival(rpc, rpc))
        if rpc in module.rpcs:
            server = next(iter(module.rpcs[rpc].open_call_outs.values()))
            module.handle(50_500, ended(rpc, 0, server))
    assert module.admitted_share > 1.0  # a single late one does not refuse any yet


def test_a_gateway_probes_before_it_sends_to_servers_it_seldom_uses():
    """Old latencies must not decide: the less loaded of two probed servers gets the RPC."""
    module = gateway(servers=40, gateways=80, probing=True)
    module.servers.quickest_probe = {0: 9, 1: 9}
    for server in module.servers.all.values():
        server.relative_latency = 1.0 if server.entry.zone else 9.0  # by its own old results zone 0 is slow
    for rpc, now in enumerate(range(20_000, 23_000, 100)):
        commands = module.handle(now, arrival(rpc, rpc))
        probed = [command.server for command in commands if isinstance(command, interface.ProbeServer)]
        assert len(probed) == 2 and interface.SendCallOut not in kinds(commands)
        first, second = probed  # the first takes long to answer, the second doesn't: that gets the RPC
        commands = module.handle(now + 9, interface.ProbeEnded(first, Status.OK, 90, ()))
        assert interface.SendCallOut not in kinds(commands)
        sent = module.handle(now + 10, interface.ProbeEnded(second, Status.OK, 9, ()))
        assert [command.server for command in sent if isinstance(command, interface.SendCallOut)] == [second]
    now, commands = 50_000, module.handle(50_000, arrival(99, 99))  # and if all are loaded it is refused soon
    while interface.PushBack not in kinds(commands) and now < 52_000:
        now += 10
        probes = [command for command in commands if isinstance(command, interface.ProbeServer)]
        loaded = [interface.ProbeEnded(probe.server, Status.OK, 400, ()) for probe in probes]
        commands = [command for event in (*loaded, interface.TimerFired(0)) for command in module.handle(now, event)]
    assert now < 52_000


@pytest.mark.parametrize("price, trouble_rate, probes", [(0.01, 0.1, True), (0.08, 0.1, False), (0.08, 0.3, True)])
def test_probing_has_to_save_more_than_the_probes_cost(price, trouble_rate, probes):
    """Guards against probes summed over hundreds of gateways, each of which uses every server too seldom."""
    module = gateway(gateways=200, servers=40, probing=True, probe_price=price)
    module.servers.trouble_rate = trouble_rate
    assert (interface.ProbeServer in kinds(module.handle(50_000, arrival(1, 1)))) == probes


@pytest.mark.parametrize("price, until, probes", [(0.01, 8_000, 2), (0.08, 8_000, 0), (0.08, 12_000, 2)])
def test_a_second_copy_comes_later_and_probes_once_where_probes_are_expensive(price, until, probes):
    """A second copy waits half as long again, and a second round of probes is not made."""
    module = gateway(servers=40, probing=True, probe_price=price)
    module.servers.trouble_rate, module.servers.mean_latency = 0.0, 20 * SECOND
    assert interface.SendCallOut in kinds(module.handle(0, arrival(1, 1)))
    commands = module.handle(until, interface.TimerFired(0))
    assert kinds(commands).count(interface.ProbeServer) == probes
    if probes and price > 0.05:  # both are too loaded for a copy: no other server is probed
        probed = [command.server for command in commands if isinstance(command, interface.ProbeServer)]
        loaded = [interface.ProbeEnded(server, Status.OK, 4_000, ()) for server in probed]
        more = [command for event in loaded for command in module.handle(until + 1, event)]
        assert not [command for command in more if isinstance(command, interface.ProbeServer)]


def test_a_deadline_before_the_second_copy_is_kept():
    """Guards against clients that leave little time: the wait for a second copy went beyond their deadline."""
    module = gateway(servers=4)
    assert interface.SendCallOut in kinds(module.handle(0, arrival(1, 1, left=600)))
    assert interface.PushBack in kinds(module.handle(600, interface.TimerFired(0)))
