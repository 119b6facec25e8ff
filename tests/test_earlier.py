"""What is kept under a small index, a customer or a serial must not speak for its next bearer; units go back once."""

import pytest
from decision_modules import ended, frame_of, gateway, kinds, owned_by
from gateway_network import PLANS, arrival, entry, gateway_settings

from oakfork import interface, peer_codec as wire
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, ServerState, Status

START = 100 * SECOND


def single(**more):
    module = DecisionModule(gateway_settings(**more), START)
    module.handle(START, interface.ServerList(True, False, (entry(0),)))
    return module


def test_the_end_of_a_call_out_to_an_earlier_process_says_nothing_of_the_one_that_runs_there_now():
    module = single()
    for rpc in range(4):
        assert interface.SendCallOut in kinds(module.handle(START + 1, arrival(rpc, rpc)))
    commands = module.handle(START + 2, interface.ServerList(False, False, (entry(0, ServerState.READY, START + 2),)))
    assert kinds(commands) == [interface.CancelIfUnsent] * 4
    before = module.servers.all[0]
    told = before.bad, before.limit, before.heard, dict(before.mute), before.aside_until, module.servers.trouble
    for rpc, status in enumerate((Status.RESET, Status.ERROR, Status.FULL, Status.TIMED_OUT)):
        module.handle(START + 900, ended(rpc, 0, 0, status))
    after = module.servers.all[0]
    assert told == (after.bad, after.limit, after.heard, after.mute, after.aside_until, module.servers.trouble)
    assert not after.open


def test_a_probe_of_an_earlier_process_says_nothing_of_the_one_that_runs_there_now():
    module = single(probing=True)
    module.handle(START + 10, interface.ServerList(False, False, (entry(0, ServerState.READY, START + 10),)))
    module.handle(START + 500, interface.ProbeEnded(0, Status.OK, 499, ()))  # asked before
    assert module.servers.all[0].seen_at < 0 and not module.servers.quickest
    module.handle(START + 520, interface.ProbeEnded(0, Status.OK, 20, ()))
    assert module.servers.all[0].seen_at == START + 520


def test_a_server_with_a_probe_or_a_call_out_on_its_way_is_not_forgotten():
    """Its index would stand for another server when that ends."""
    module = single(probing=True)
    module.servers.looks[0] = []
    late = START + 10 * SECOND
    gone = interface.ServerList(True, False, (entry(1),))
    assert interface.ForgetServer not in kinds(module.handle(late, gone)) and interface.ForgetServer not in kinds(
        module.handle(late + 1, gone)
    )
    module.handle(late + 2, interface.ProbeEnded(0, Status.TIMED_OUT, 2500, ()))
    assert interface.ForgetServer in kinds(module.handle(late + 3, gone))
    module = single()
    module.handle(START + 1, arrival(1, 1))
    assert interface.ForgetServer not in kinds(module.handle(late, gone))
    module.handle(late + 1, ended(1, 0, 0, Status.TIMED_OUT))
    assert interface.ForgetServer in kinds(module.handle(late + 2, gone))


@pytest.mark.parametrize("waits_for", ["owner", "look"])
def test_a_client_that_has_gone_while_its_rpc_waits_has_nothing_sent(waits_for):
    if waits_for == "owner":
        module = gateway(0, 2)
        customer = owned_by(1, 2)
        module.handle(10, interface.PeerFrame(1, wire.pack(9, 0, 1, 0, [])))
        asked = frame_of(module.handle(10, arrival(1, customer, spread=2)) + module.handle(11, interface.TimerFired(0)))
        [ask] = [item for item in asked.items if isinstance(item, wire.Ask)]
        module.handle(20, interface.ClientDisconnected(1))
        yes = wire.pack(9, module.links.life, 2, 0, [wire.pack_item(wire.Answer(ask.serial, 0))])
        commands = module.handle(30, interface.PeerFrame(1, yes)) + module.handle(31, interface.TimerFired(0))
        returned = [item for item in frame_of(commands).items if isinstance(item, wire.Return)]
        assert [item.units for item in returned] == [1.0]  # what the owner gave goes back, once
    else:
        module = gateway(probing=True)
        module.servers.trouble = 0.9
        probed = [c.server for c in module.handle(5 * SECOND, arrival(1, 1)) if isinstance(c, interface.ProbeServer)]
        assert len(probed) == 2
        module.handle(5 * SECOND + 1, interface.ClientDisconnected(1))
        commands = [
            c
            for server in probed
            for c in module.handle(5 * SECOND + 9, interface.ProbeEnded(server, Status.OK, 8, ()))
        ]
        commands += module.handle(6 * SECOND, interface.TimerFired(0))
    assert interface.SendCallOut not in kinds(commands) and not module.rpcs


def test_units_go_back_once_and_only_for_what_was_never_sent():
    module = gateway(servers=0)  # nothing to send to: pushed back before it costs anything
    module.handle(10, arrival(1, 5))
    assert (5, 0) not in module.quotas.buckets
    module = gateway()
    module.handle(10, arrival(1, 5))
    server = module.rpcs[1].out[0]
    module.handle(20, interface.ClientDisconnected(1))  # it was sent
    module.handle(40, ended(1, 0, server, Status.CANCELLED, True))
    assert not module.rpcs and module.quotas.buckets[5, 0].tokens == pytest.approx(PLANS[0].burst - 1, abs=0.02)


def test_what_comes_back_for_a_bucket_that_was_dropped_fills_none_beyond_its_burst():
    module = gateway(1, 2)
    ask = wire.pack_item(wire.Ask(1, 5, 0, 1.0))
    module.handle(10, interface.PeerFrame(0, wire.pack(9, 0, 1, 0, [ask])))
    for now in range(SECOND, 6 * SECOND, SECOND):
        module.handle(now, interface.TimerFired(0))
    assert (5, 0) not in module.quotas.buckets  # full again, and dropped
    back = [wire.pack_item(wire.Return(5, 0, 1.0))] * 3
    module.handle(6 * SECOND, interface.PeerFrame(0, wire.pack(9, module.links.life, 2, 6000, back)))
    assert module.quotas.buckets[5, 0].tokens == PLANS[0].burst
    taken = [wire.pack_item(wire.Return(5, 0, -1.0))] * 3  # what a slice spent meanwhile counts in full
    module.handle(6 * SECOND, interface.PeerFrame(0, wire.pack(9, module.links.life, 3, 6000, taken)))
    assert module.quotas.buckets[5, 0].tokens == PLANS[0].burst - 3


def test_a_release_gives_back_the_place_of_its_own_plan_only():
    module = gateway(1, 2)
    asks = [wire.pack_item(wire.Ask(serial, 5, 2, 1.0)) for serial in (1, 2)]
    module.handle(10, interface.PeerFrame(0, wire.pack(9, 0, 1, 0, asks)))
    module.handle(
        11, interface.PeerFrame(0, wire.pack(9, module.links.life, 2, 0, [wire.pack_item(wire.Release(1, 5))]))
    )
    assert [held[2] for held in module.quotas.buckets[5, 2].leases] == [2]


def test_a_server_that_restarts_and_goes_is_not_forgotten_while_a_deduplicated_rpc_may_have_run_there():
    """Its mark counts in that server's zone or cell: what is asked of the entry must still be there."""
    module = DecisionModule(gateway_settings(), START)
    module.handle(START, interface.ServerList(True, False, tuple(map(entry, range(3)))))
    [first] = [
        c.server for c in module.handle(START + 1, arrival(1, 1, method=2)) if isinstance(c, interface.SendCallOut)
    ]
    module.handle(
        START + 2, interface.ServerList(False, False, (entry(first, ServerState.READY, 1),))
    )  # restarted long ago
    module.handle(START + 3, interface.ServerList(False, False, (entry(first, ServerState.GONE, 1),)))
    [second] = [
        c.server
        for c in module.handle(START + 4, ended(1, 0, first, Status.ERROR))
        if isinstance(c, interface.SendCallOut)
    ]
    assert module.handle(START + 5, interface.ServerList(False, False, ())) == []
    module.handle(START + 6, ended(1, 1, second, Status.ERROR))
