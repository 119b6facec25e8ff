"""The list of servers, what is learnt of each, and which gets an RPC."""

import random
from collections import deque

from decision_modules import ended, forty_gateways, gateway, kinds, pending_rpc, start_cold_server
from gateway_network import METHODS, arrival, entry, gateway_settings

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.index_table import IndexTable
from oakfork.interface import SECOND, ServerState, Status


def call_outs(commands) -> list[interface.SendCallOut]:
    """The call-outs among commands."""
    return [command for command in commands if isinstance(command, interface.SendCallOut)]


def cold_start(server, at) -> interface.ServerList:
    """A change of the list: a server has started at a time."""
    return interface.ServerList(False, False, (entry(server, ServerState.READY, at),))


def test_servers_that_are_gone_are_forgotten_once_no_rpc_refers_to_them():
    """Tables must not grow as servers are replaced for ever, and no index may be used again too early."""
    module = DecisionModule(gateway_settings(0, 1), 0)
    index_table, rng = IndexTable(), random.Random(2)
    now, most = 0, 0
    live, sent = [f"s{number}" for number in range(5)], {}
    for step in range(400):  # one is replaced every six seconds; old ones answer late or never
        now += 6 * SECOND
        gone, new = live.pop(0), f"s{step + 5}"
        states = [(gone, ServerState.GONE), *((name, ServerState.READY) for name in (*live, new))]
        entries = tuple(
            entry(index_table.server_index(name), state)
            for name, state in states
            if name in index_table.servers or state == ServerState.READY
        )
        live.append(new)
        commands = module.handle(now, interface.ServerList(step % 7 == 0, False, entries))
        for rpc in list(sent):
            if rng.random() < 0.5:
                commands += module.handle(now, ended(rpc, 0, sent.pop(rpc), Status.RESET))
        commands += module.handle(now, arrival(step, step))
        for command in commands:
            if isinstance(command, interface.ForgetServer):
                assert command.server not in sent.values() and command.server not in module.servers.all
                index_table.forget_server(command.server)
            elif isinstance(command, interface.SendCallOut):
                assert index_table.server_ids[command.server] in live
                sent[command.rpc] = command.server
        most = max(most, len(module.servers.all), len(index_table.server_ids))
        assert module.servers.all.keys() == set(index_table.servers.values())
    assert most < 30


def test_a_failing_server_is_ejected_and_comes_back_with_a_doubling_limit():
    """A server that fails gets nothing for a second and then first one call-out at a time."""
    module = gateway(servers=3, plans=())
    module.quotas.settings = module.settings = gateway_settings(plans=(interface.Plan(0, 0, 0, 0, 0, 0, 1, 0, 0),))
    last, chosen = 0, []
    for now in range(100, 30_000, 300):  # seven at a time; server 0 fails for a second and works again afterwards
        sends = []
        for rpc in range(last + 1, last + 8):
            sends += call_outs(module.handle(now, arrival(rpc)))
        last += 7
        chosen += [(now, send.server) for send in sends]
        for send in sends:
            failed = send.server == 0 and now < SECOND
            status = Status.ERROR if failed else Status.OK
            for again in call_outs(module.handle(now + 50, ended(send.rpc, 0, send.server, status))):
                module.handle(now + 60, ended(send.rpc, 1, again.server))
    first = [at for at, server in chosen if server == 0 and at < SECOND]
    assert 1 <= len(first) <= 4
    assert not any(server == 0 and first[-1] < at < first[-1] + 9000 for at, server in chosen)
    back = [at for at, server in chosen if server == 0 and at > SECOND]
    counts = [back.count(at) for at in sorted(set(back))]
    assert counts[0] == 1 and max(counts[1:5]) > 1 and len(back) > 20


def test_a_silent_server_is_avoided_and_a_common_cause_ejects_none():
    """One server that hangs gets nothing more; where all hang, all are still used."""
    module = gateway(servers=4)
    module.servers.all[0].open_call_outs[99, 0] = 0
    later = 10 * SECOND
    chosen = {module.servers.choose(pending_rpc(module, later))[0] for _ in range(6)}
    assert len(chosen) > 1 and 0 not in chosen
    for server in range(1, 4):
        module.servers.all[server].open_call_outs = {(99, 0): 0}
    assert module.servers.choose(pending_rpc(module, later))


def test_a_server_that_refuses_all_gets_little_even_where_it_is_the_quickest():
    """Guards against one RPC that spends all its call-outs at a server which refuses them.

    Refusals say nothing of a server's latency, so by that alone it stays the first choice; and where the gateway's own
    lag hides the latency of the others, a pause of one usual answer is none.
    """
    module, sent = gateway(servers=2), {0: 0, 1: 0}
    module.context.timer_lag, module.servers.methods[0].mean_latency = 30.0, 0.5
    now = 100
    for rpc in range(1, 201):
        module.servers.all[0].relative_latency = 1.5  # the one that works is the slower one
        now += 140
        commands, number, answered = module.handle(now, arrival(rpc, rpc)), 0, False
        while not answered:
            [send] = call_outs(commands)  # no RPC is pushed back
            sent[send.server] += 1
            now += 12
            answered = send.server == 0
            commands = module.handle(now, ended(rpc, number, send.server, Status.OK if answered else Status.FULL))
            number += 1
    assert sent[0] == 200 and sent[1] < 0.2 * 200
    assert module.servers.methods[0].mean_latency < 1  # the lag did hide it


def test_a_full_fleet_is_not_flooded():
    """Servers that refuse for lack of room must not get one call-out after the other."""
    module = gateway(servers=2)
    sends = 0
    for rpc in range(10):
        commands = module.handle(1000 + rpc, arrival(rpc, rpc))
        while sent := call_outs(commands):
            sends += 1
            number = module.rpcs[rpc].call_outs_sent - 1
            commands = module.handle(1000 + rpc, ended(rpc, number, sent[0].server, Status.FULL))
        assert interface.PushBack in kinds(commands)  # given up: answered at once
    assert sends <= 3
    assert kinds(gateway(servers=0).handle(10, arrival(1))) == [interface.PushBack]  # nor is an empty one waited for


def test_a_cold_server_gets_one_call_out_at_a_time():
    """A server that has just started must not get a full share."""
    module = gateway(servers=4)
    module.handle(50 * SECOND, cold_start(0, 50 * SECOND))
    for rpc in range(30):
        module.handle(50 * SECOND + 300 * rpc, arrival(rpc, rpc))
    assert len(module.servers.all[0].open_call_outs) == 1 and not module.servers.has_room(module.servers.all[0])


def test_an_ejected_server_does_not_get_what_the_others_have_no_room_for():
    """Full servers are no reason to use a failing one."""
    module = gateway(servers=4)
    module.servers.all[0].ejected_until = 99 * SECOND
    for server in range(1, 4):
        module.servers.all[server].full_until = 99 * SECOND
    assert kinds(module.handle(10, arrival(1))) == [interface.PushBack]


def test_all_gateways_together_send_a_cold_server_its_share():
    """Eighty gateways that each have more to send than a cold server may get must not add up."""
    sent = []
    for index in range(80):  # the cold server is the only one
        module = gateway(index, 80, seed=index, servers=0)
        module.handle(50 * SECOND, cold_start(0, 50 * SECOND))
        for at in range(50 * SECOND, 54 * SECOND, SECOND // 4):
            for send in call_outs(module.handle(at, arrival(at, at))):
                sent.append(at)
                module.handle(at + 1, ended(send.rpc, 0, 0))
    assert 10 < len(sent) < 1.5 * 2 * 0.3 * 4 * SECOND / module.servers.mean_latency and len(set(sent)) > 8


def test_a_method_that_fails_at_a_seldom_used_server_avoids_it_and_others_do_not():
    """Failures too seldom to meet two in a row must still keep the method from that server for some time."""
    for status in (Status.ERROR, Status.TIMED_OUT, Status.CANCELLED):  # cancelled late: another answered first
        module = gateway()
        server, module.context.now = module.servers.all[0], 50 * SECOND
        module.servers.record_result(server, 1, status, METHODS[1].soft_deadline)
        assert module.servers.is_healthy(server, 0) and not module.servers.is_healthy(server, 1)
        module.handle(51 * SECOND, arrival(1, 1, method=1))
        assert module.rpcs[1].open_call_outs[0] != 0
        module.context.now = 59 * SECOND
        assert module.servers.is_healthy(server, 1)
        server.last_answer_at, server.failure_rate = module.context.now, 0.0  # often used: one failure is not enough
        module.servers.record_result(server, 2, status, METHODS[2].soft_deadline)
        assert module.servers.is_healthy(server, 2)


def test_a_queue_at_warm_servers_does_not_keep_cold_ones_from_helping():
    """Guards against a release under load: the pause at cold servers grew with the queues at the warm ones."""
    module, pauses = gateway(gateways=200, seed=4), []
    for elapsed, answers in ((2_000, 60), (6_000, 40), (1_000, 60)):
        for _ in range(answers):
            module.servers.record_result(module.servers.all[0], 0, Status.OK, elapsed)
        module.context.now = SECOND
        pauses.append(module.servers.cold_pause(start_cold_server(module)))
    quiet, queued, quicker = pauses
    assert quiet <= queued < 1.15 * quiet and quicker < 0.7 * quiet


def test_kept_connections_are_preferred_where_new_ones_cost():
    """An idle connection that is still open saves a new one, but is no more than a preference."""
    chosen = {}
    for price in (0.0, 0.08):
        module = gateway(servers=12, connection_price=price, idle_timeout=15 * SECOND)
        for server in range(4):
            module.servers.all[server].last_answer_at = 30 * SECOND
        module.context.now = 31 * SECOND
        rpc = pending_rpc(module, 31 * SECOND)
        for server in module.servers.all.values():
            server.open_call_outs.clear()
        chosen[price] = [module.servers.choose(rpc)[0] < 4 for _ in range(60)].count(True)
        module.servers.all[0].open_call_outs = {(9, 9): 0}
        assert module.servers.cost(module.servers.all[0]) > module.servers.cost(module.servers.all[9])
    assert chosen[0.08] == 60 and chosen[0.0] < 50


def test_a_cold_server_whose_pause_is_over_is_taken_first():
    """Guards against a release of half of the fleet that leaves the warm servers with what cold ones could serve.

    With hundreds of gateways it takes long until a gateway may send to a cold server again after a missed turn.
    """
    module = gateway(servers=12, connection_price=0.08, idle_timeout=15 * SECOND)
    for server in module.servers.all.values():
        server.last_answer_at = 30 * SECOND
    module.handle(31 * SECOND, cold_start(12, 29 * SECOND))
    module.servers.all[12].last_sent_at = 0  # its pause is over
    first = module.handle(31 * SECOND + 1, arrival(1, 1)).pop(0)
    assert first[:3] == interface.SendCallOut(1, 12, 0)[:3]
    assert not module.servers.has_room(module.servers.all[12])


def test_an_overloaded_discovery_is_asked_less_and_less_and_by_no_two_gateways_in_step():
    """Guards against tens of gateways that all ask again at once and leave discovery no time for any of them."""
    subscriptions = {}
    for seed in range(20):
        times = subscriptions[seed] = []
        module = DecisionModule(gateway_settings(subscribes_to_list=True, list_timeout=10 * SECOND, seed=seed << 40), 0)
        events, now = [interface.ServerList(True, False, (entry(0),))], 0
        while now < 60 * SECOND:
            for event in events:
                for command in module.handle(now, event):
                    times += [now] * isinstance(command, interface.SubscribeToList)
            now, events = now + 100, [interface.TimerFired(0)]
            if times and times[-1] == now - 100:  # answered at once: it failed
                events.append(interface.ServerList(False, True, ()))
        first, *pauses = [after - before for before, after in zip([0, *times], times, strict=False)]
        assert first <= 2 * SECOND + 100
        for number, pause in enumerate(pauses):
            usual = min(2 * SECOND, 2 * SECOND // 3 << number)  # not the settings' ten: changes are due within six
            assert usual // 2 <= pause <= 3 * usual // 2 + 300
        assert 20 < len(times) < 40
    module = DecisionModule(gateway_settings(subscribes_to_list=True), 0)  # one that knows no server can't wait
    commands = module.handle(0, interface.ServerList(True, False, ())) + module.handle(1, interface.TimerFired(0))
    assert interface.SubscribeToList in kinds(commands)
    firsts = sorted(times[0] for times in subscriptions.values())
    assert max(sum(at <= first < at + SECOND // 4 for first in firsts) for at in firsts) < 8  # of twenty
    module.servers.list_pause = 7 * SECOND
    module.handle(2, interface.ServerList(True, False, (entry(0),)))  # a list has come: the pause is short again
    assert module.servers.list_pause == SECOND // 3


def test_each_gateway_keeps_to_a_subset_and_all_servers_are_in_as_many_subsets():
    """Guards against a connection, and probes, from each of tens of gateways to each server."""
    modules = forty_gateways()
    shared = [sum(module.servers.all[server].in_subset for module in modules) for server in range(60)]
    assert min(shared) >= 10 and max(shared) <= 11
    for module in modules[:5]:
        for rpc in range(200):
            now = 51 * SECOND + 100 * rpc
            for send in call_outs(module.handle(now, arrival(rpc, rpc, first=module.settings.index))):
                assert module.servers.all[send.server].in_subset
                module.handle(now + 60, ended(rpc, 0, send.server))
        for server in module.servers.all.values():  # where its own have no room, others help, but no cold ones
            server.full_until = 99 * SECOND if server.in_subset else 0
        chosen = module.servers.choose(pending_rpc(module, 80 * SECOND))
        assert not any(module.servers.all[server].in_subset for server in chosen)


def test_cold_servers_that_a_few_gateways_share_get_their_share_and_no_more():
    """Guards against cold servers overloaded by the sum, and against turns that come round too seldom."""
    modules, sent, out = forty_gateways(cold=30), {}, deque()
    for at in range(50 * SECOND, 54 * SECOND, 500):
        while out and out[0][0] <= at:
            due, module, rpc, server = out.popleft()
            module.handle(due, ended(rpc, 0, server))
        for module in modules:
            index = module.settings.index
            for send in call_outs(module.handle(at, arrival(at, at + index, first=index))):
                sent.setdefault(send.server, []).append(index)
                out.append((at + 1_000, module, at, send.server))
    by_cold = [sent.get(server, []) for server in range(30, 60)]
    share = 2 * 0.3 * 4 * SECOND / 1_000  # what the ramp lets in meanwhile, of two call-outs at once
    assert max(map(len, by_cold)) < 1.5 * share and sum(map(len, by_cold)) > 0.4 * 30 * share
    assert max(len(set(gateways)) for gateways in by_cold) <= 11
