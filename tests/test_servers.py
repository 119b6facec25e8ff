"""The list of servers, how each is judged, and which gets an RPC."""

import random
from collections import deque

from decision_modules import asked, cold, ended, forty, gateway, kinds
from gateway_network import METHODS, arrival, entry, gateway_settings

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.index_table import IndexTable
from oakfork.interface import SECOND, ServerState, Status


def test_servers_that_are_gone_are_forgotten_once_no_rpc_speaks_of_them():
    module, index_table, chance, now, most = (
        DecisionModule(gateway_settings(0, 1), 0),
        IndexTable(),
        random.Random(2),
        0,
        0,
    )
    live, sent = [f"s{number}" for number in range(5)], {}
    for step in range(400):  # one is replaced every six seconds; old ones answer late or never
        now += 6 * SECOND
        gone, new = live.pop(0), f"s{step + 5}"
        entries = tuple(
            entry(index_table.server_index(name), state)
            for name, state in [(gone, ServerState.GONE), *((name, ServerState.READY) for name in (*live, new))]
            if name in index_table.servers or state == ServerState.READY
        )
        live.append(new)
        commands = module.handle(now, interface.ServerList(step % 7 == 0, False, entries))
        for rpc in list(sent):
            if chance.random() < 0.5:
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


def test_a_failing_server_is_set_aside_and_comes_back_by_a_doubling_trickle():
    module = gateway(servers=3, plans=())
    module.quotas.settings = module.settings = gateway_settings(plans=(interface.Plan(0, 0, 0, 0, 0, 0, 1, 0, 0),))
    last, chosen = 0, []
    for now in range(100, 30_000, 300):  # seven at a time; server 0 fails for a second, then is well again
        sends = []
        for rpc in range(last + 1, last + 8):
            sends += [c for c in module.handle(now, arrival(rpc)) if isinstance(c, interface.SendCallOut)]
        last += 7
        chosen += [(now, send.server) for send in sends]
        for send in sends:
            failed = send.server == 0 and now < SECOND
            more = module.handle(now + 50, ended(send.rpc, 0, send.server, Status.ERROR if failed else Status.OK))
            for again in (c for c in more if isinstance(c, interface.SendCallOut)):
                module.handle(now + 60, ended(send.rpc, 1, again.server))
    first = [at for at, server in chosen if server == 0 and at < SECOND]
    assert 1 <= len(first) <= 4
    assert not any(server == 0 and first[-1] < at < first[-1] + 9000 for at, server in chosen)
    back = [at for at, server in chosen if server == 0 and at > SECOND]
    counts = [back.count(at) for at in sorted(set(back))]
    assert counts[0] == 1 and max(counts[1:5]) > 1 and len(back) > 20


def test_a_silent_server_is_passed_over_and_a_common_cause_blames_nobody():
    module = gateway(servers=4)
    module.servers.all[0].open[99, 0] = 0
    later = 10 * SECOND
    chosen = {module.servers.choose(asked(module, later))[0] for _ in range(6)}
    assert len(chosen) > 1 and 0 not in chosen
    for server in range(1, 4):
        module.servers.all[server].open = {(99, 0): 0}
    assert module.servers.choose(asked(module, later))


def test_a_server_that_turns_all_away_gets_little_even_where_it_is_the_quickest():
    """Its pushbacks say nothing of its latency, so by that alone it stays the first; and where the gateway's own lag
    hides the latency of the others, a pause of one usual answer is none: the same RPC spent all call-outs there."""
    module, sent = gateway(servers=2), {0: 0, 1: 0}
    module.context.lag, module.servers.methods[0].mean, now = 30.0, 0.5, 100
    for rpc in range(1, 201):
        module.servers.all[0].pace, now = 1.5, now + 140  # the one that is well is the slower one
        commands, number, answered = module.handle(now, arrival(rpc, rpc)), 0, False
        while not answered:
            [send] = [c for c in commands if isinstance(c, interface.SendCallOut)]  # nobody is pushed back
            sent[send.server] += 1
            now, answered = now + 12, send.server == 0
            commands = module.handle(now, ended(rpc, number, send.server, Status.OK if answered else Status.FULL))
            number += 1
    assert sent[0] == 200 and sent[1] < 0.2 * 200
    assert module.servers.methods[0].mean < 1  # the lag did hide it


def test_a_full_fleet_is_not_hammered():
    module = gateway(servers=2)
    sends = 0
    for rpc in range(10):
        commands = module.handle(1000 + rpc, arrival(rpc, rpc))
        while send := next((c for c in commands if isinstance(c, interface.SendCallOut)), None):
            sends += 1
            commands = module.handle(1000 + rpc, ended(rpc, module.rpcs[rpc].sent - 1, send.server, Status.FULL))
        assert interface.PushBack in kinds(commands)  # given up: answered at once
    assert sends <= 3
    assert kinds(gateway(servers=0).handle(10, arrival(1))) == [interface.PushBack]  # nor is an empty one waited for


def test_a_cold_server_gets_its_part():
    module = gateway(servers=4)
    module.handle(50 * SECOND, interface.ServerList(False, False, (entry(0, ServerState.READY, 50 * SECOND),)))
    for rpc in range(30):
        module.handle(50 * SECOND + 300 * rpc, arrival(rpc, rpc))
    assert len(module.servers.all[0].open) == 1 and not module.servers.room(module.servers.all[0])


def test_an_ill_server_does_not_get_what_the_others_have_no_room_for():
    module = gateway(servers=4)
    module.servers.all[0].aside_until = 99 * SECOND
    for server in range(1, 4):
        module.servers.all[server].not_before = 99 * SECOND
    assert kinds(module.handle(10, arrival(1))) == [interface.PushBack]


def test_all_gateways_together_send_a_cold_server_its_part():
    sent = []
    for index in range(80):  # each has more to send than the cold server, the only one, may get
        module = gateway(index, 80, seed=index, servers=0)
        module.handle(50 * SECOND, interface.ServerList(False, False, (entry(0, ServerState.READY, 50 * SECOND),)))
        for at in range(50 * SECOND, 54 * SECOND, SECOND // 4):
            for send in (c for c in module.handle(at, arrival(at, at)) if isinstance(c, interface.SendCallOut)):
                sent.append(at)
                module.handle(at + 1, ended(send.rpc, 0, 0))
    assert 10 < len(sent) < 1.5 * 2 * 0.3 * 4 * SECOND / module.servers.mean_latency and len(set(sent)) > 8


def test_a_method_that_fails_at_a_seldom_seen_server_is_kept_from_it_and_others_are_not():
    for status in (Status.ERROR, Status.TIMED_OUT, Status.CANCELLED):  # cancelled late: another answered first
        module = gateway()
        server, module.context.now = module.servers.all[0], 50 * SECOND
        module.servers.judge(server, 1, status, METHODS[1].soft_deadline)
        assert module.servers.fit(server, 0) and not module.servers.fit(server, 1)
        module.handle(51 * SECOND, arrival(1, 1, method=1))
        assert module.rpcs[1].out[0] != 0
        module.context.now = 59 * SECOND
        assert module.servers.fit(server, 1)
        server.heard, server.bad = module.context.now, 0.0  # often seen: one failure is not enough
        module.servers.judge(server, 2, status, METHODS[2].soft_deadline)
        assert module.servers.fit(server, 2)


def test_a_queue_at_warm_servers_does_not_keep_cold_ones_from_helping():
    """Guards against a release under load: the pause at cold servers grew with the queues at the warm ones."""
    module, pauses = gateway(gateways=200, seed=4), []
    for elapsed, answers in ((2_000, 60), (6_000, 40), (1_000, 60)):
        for _ in range(answers):
            module.servers.judge(module.servers.all[0], 0, Status.OK, elapsed)
        module.context.now = SECOND
        pauses.append(module.servers.pause(cold(module)))
    quiet, queued, quicker = pauses
    assert quiet <= queued < 1.15 * quiet and quicker < 0.7 * quiet


def test_kept_connections_are_preferred_where_new_ones_cost():
    chosen = {}
    for price in (0.0, 0.08):
        module = gateway(servers=12, connection_price=price, idle_timeout=15 * SECOND)
        for server in range(4):
            module.servers.all[server].heard = 30 * SECOND
        module.context.now = 31 * SECOND
        rpc = asked(module, 31 * SECOND)
        for server in module.servers.all.values():
            server.open.clear()
        chosen[price] = [module.servers.choose(rpc)[0] < 4 for _ in range(60)].count(True)
        module.servers.all[0].open = {(9, 9): 0}  # no more than a preference
        assert module.servers.rank(module.servers.all[0]) > module.servers.rank(module.servers.all[9])
    assert chosen[0.08] == 60 and chosen[0.0] < 50


def test_a_cold_server_whose_turn_has_come_is_taken_first():
    """Guards against a release of half of the fleet: with hundreds of gateways each turn that is missed is long in
    coming back, and the warm servers carry what the cold ones could."""
    module = gateway(servers=12, connection_price=0.08, idle_timeout=15 * SECOND)
    for server in module.servers.all.values():
        server.heard = 30 * SECOND
    module.handle(31 * SECOND, interface.ServerList(False, False, (entry(12, ServerState.READY, 29 * SECOND),)))
    module.servers.all[12].sent_at = 0  # its pause is over
    assert module.handle(31 * SECOND + 1, arrival(1, 1)).pop(0)[:3] == interface.SendCallOut(0 + 1, 12, 0)[:3]
    assert not module.servers.room(module.servers.all[12])


def test_an_overbooked_discovery_is_asked_less_and_less_and_by_no_two_gateways_in_step():
    """Guards against tens of gateways that all ask again at once and leave discovery no time for any of them."""
    asked = {}
    for seed in range(20):
        times = asked[seed] = []
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
            usual = min(2 * SECOND, 2 * SECOND // 3 << number)  # not the settings' ten: six are told
            assert usual // 2 <= pause <= 3 * usual // 2 + 300
        assert 20 < len(times) < 40
    module = DecisionModule(gateway_settings(subscribes_to_list=True), 0)  # one that knows no server can't wait
    commands = module.handle(0, interface.ServerList(True, False, ())) + module.handle(1, interface.TimerFired(0))
    assert interface.SubscribeToList in kinds(commands)
    firsts = sorted(times[0] for times in asked.values())
    assert max(sum(at <= first < at + SECOND // 4 for first in firsts) for at in firsts) < 8  # of twenty
    module.servers.list_pause = 7 * SECOND
    module.handle(2, interface.ServerList(True, False, (entry(0),)))  # a list has come: the pause is short again
    assert module.servers.list_pause == SECOND // 3


def test_each_gateway_keeps_to_a_few_servers_and_all_servers_are_kept_to_alike():
    """Guards against a connection, and looks, from each of tens of gateways to each server."""
    tier = forty()
    shared = [sum(module.servers.all[server].mine for module in tier) for server in range(60)]
    assert min(shared) >= 10 and max(shared) <= 11
    for module in tier[:5]:
        for rpc in range(200):
            for command in module.handle(51 * SECOND + 100 * rpc, arrival(rpc, rpc, first=module.settings.index)):
                if isinstance(command, interface.SendCallOut):
                    assert module.servers.all[command.server].mine
                    module.handle(51 * SECOND + 100 * rpc + 60, ended(rpc, 0, command.server))
        for server in module.servers.all.values():  # where its own have no room, others help, but no cold ones
            server.not_before = 99 * SECOND if server.mine else 0
        assert not any(module.servers.all[server].mine for server in module.servers.choose(asked(module, 80 * SECOND)))


def test_cold_servers_that_a_few_gateways_share_get_their_part_and_no_more():
    """Guards against cold servers pushed over by the sum, and against a turn at each that is long in coming back."""
    tier, sent, out = forty(cold=30), {}, deque()
    for at in range(50 * SECOND, 54 * SECOND, 500):
        while out and out[0][0] <= at:
            due, module, rpc, server = out.popleft()
            module.handle(due, ended(rpc, 0, server))
        for module in tier:
            for command in module.handle(at, arrival(at, at + module.settings.index, first=module.settings.index)):
                if isinstance(command, interface.SendCallOut):
                    sent.setdefault(command.server, []).append(module.settings.index)
                    out.append((at + 1_000, module, at, command.server))
    by_cold = [sent.get(server, []) for server in range(30, 60)]
    part = 2 * 0.3 * 4 * SECOND / 1_000  # what the ramp lets in meanwhile, of two call-outs at once
    assert max(map(len, by_cold)) < 1.5 * part and sum(map(len, by_cold)) > 0.4 * 30 * part
    assert max(len(set(gateways)) for gateways in by_cold) <= 11
