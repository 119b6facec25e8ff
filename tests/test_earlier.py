"""State kept under a small index, a customer or a serial must not be taken for that of its next bearer.

Also: units of a quota are returned once.
"""

import pytest
from decision_modules import ended, frame_of, gateway, kinds, owned_by
from gateway_network import PLANS, arrival, entry, gateway_settings

from oakfork import interface, peer_codec as wire
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, ServerState, Status

START = 100 * SECOND


def module_with_one_server(**changes):
    """A module that knows server 0."""
    module = DecisionModule(gateway_settings(**changes), START)
    module.handle(START, interface.ServerList(True, False, (entry(0),)))
    return module


def changed(*entries):
    """A change of the server list."""
    return interface.ServerList(False, False, entries)


def learnt(module):
    """What a module has learnt of server 0 from call-outs."""
    server = module.servers.all[0]
    return (
        server.failure_rate,
        server.limit,
        server.last_answer_at,
        dict(server.method_blocked_until),
        server.ejected_until,
        module.servers.trouble_rate,
    )


def sent_to(commands):
    """The servers that commands send call-outs to."""
    return [command.server for command in commands if isinstance(command, interface.SendCallOut)]


def test_the_end_of_a_call_out_to_an_earlier_process_teaches_nothing_of_the_present_one():
    """A server that restarts must not be blamed for call-outs that its earlier process lost."""
    module = module_with_one_server()
    for rpc in range(4):
        assert interface.SendCallOut in kinds(module.handle(START + 1, arrival(rpc, rpc)))
    commands = module.handle(START + 2, changed(entry(0, ServerState.READY, START + 2)))
    assert kinds(commands) == [interface.CancelIfUnsent] * 4
    before = learnt(module)
    for rpc, status in enumerate((Status.RESET, Status.ERROR, Status.FULL, Status.TIMED_OUT)):
        module.handle(START + 900, ended(rpc, 0, 0, status))
    assert learnt(module) == before
    assert not module.servers.all[0].open_call_outs


def test_a_probe_of_an_earlier_process_teaches_nothing_of_the_present_one():
    """The pressure of a process that is gone must not count for the one that has replaced it."""
    module = module_with_one_server(probing=True)
    module.handle(START + 10, changed(entry(0, ServerState.READY, START + 10)))
    module.handle(START + 500, interface.ProbeEnded(0, Status.OK, 499, ()))  # sent before
    assert module.servers.all[0].probed_at < 0 and not module.servers.quickest_probe
    module.handle(START + 520, interface.ProbeEnded(0, Status.OK, 20, ()))
    assert module.servers.all[0].probed_at == START + 520


def test_a_server_with_a_probe_or_a_call_out_under_way_is_not_forgotten():
    """Its index would stand for another server when that ends."""
    module = module_with_one_server(probing=True)
    module.servers.waiting_for_probe[0] = []
    late = START + 10 * SECOND
    gone = interface.ServerList(True, False, (entry(1),))
    assert interface.ForgetServer not in kinds(module.handle(late, gone))
    assert interface.ForgetServer not in kinds(module.handle(late + 1, gone))
    module.handle(late + 2, interface.ProbeEnded(0, Status.TIMED_OUT, 2500, ()))
    assert interface.ForgetServer in kinds(module.handle(late + 3, gone))
    module = module_with_one_server()
    module.handle(START + 1, arrival(1, 1))
    assert interface.ForgetServer not in kinds(module.handle(late, gone))
    module.handle(late + 1, ended(1, 0, 0, Status.TIMED_OUT))
    assert interface.ForgetServer in kinds(module.handle(late + 2, gone))


def disconnect_while_the_owner_is_asked():
    """A client goes while its RPC waits for the owner, which grants it later; returns the module and its commands."""
    module = gateway(0, 2)
    customer = owned_by(1, 2)
    module.handle(10, interface.PeerFrame(1, wire.pack(9, 0, 1, 0, [])))
    frame = frame_of(module.handle(10, arrival(1, customer, spread=2)) + module.handle(11, interface.TimerFired(0)))
    [ask] = [item for item in frame.items if isinstance(item, wire.Ask)]
    module.handle(20, interface.ClientDisconnected(1))
    granted = wire.pack(9, module.links.life, 2, 0, [wire.pack_item(wire.Answer(ask.serial, 0))])
    commands = module.handle(30, interface.PeerFrame(1, granted)) + module.handle(31, interface.TimerFired(0))
    returned = [item for item in frame_of(commands).items if isinstance(item, wire.Return)]
    assert [item.units for item in returned] == [1.0]  # what the owner gave goes back, once
    return module, commands


def disconnect_while_servers_are_probed():
    """A client goes while its RPC waits for two probes, which end later; returns the module and its commands."""
    module = gateway(probing=True)
    module.servers.trouble_rate = 0.9
    commands = module.handle(5 * SECOND, arrival(1, 1))
    probed = [command.server for command in commands if isinstance(command, interface.ProbeServer)]
    assert len(probed) == 2
    module.handle(5 * SECOND + 1, interface.ClientDisconnected(1))
    commands = []
    for server in probed:
        commands += module.handle(5 * SECOND + 9, interface.ProbeEnded(server, Status.OK, 8, ()))
    commands += module.handle(6 * SECOND, interface.TimerFired(0))
    return module, commands


@pytest.mark.parametrize(
    "disconnect",
    [
        pytest.param(disconnect_while_the_owner_is_asked, id="owner"),
        pytest.param(disconnect_while_servers_are_probed, id="probe"),
    ],
)
def test_a_client_that_disconnects_while_its_rpc_waits_has_nothing_sent(disconnect):
    """What ends the wait must not send a call-out for an RPC that is over."""
    module, commands = disconnect()
    assert interface.SendCallOut not in kinds(commands) and not module.rpcs


def test_units_are_returned_once_and_only_for_what_was_never_sent():
    """Units of an RPC that was sent are spent, also where its client has gone."""
    module = gateway(servers=0)  # nothing to send to: pushed back before it costs anything
    module.handle(10, arrival(1, 5))
    assert (5, 0) not in module.quotas.buckets
    module = gateway()
    module.handle(10, arrival(1, 5))
    server = module.rpcs[1].open_call_outs[0]
    module.handle(20, interface.ClientDisconnected(1))  # it was sent
    module.handle(40, ended(1, 0, server, Status.CANCELLED, True))
    assert not module.rpcs and module.quotas.buckets[5, 0].tokens == pytest.approx(PLANS[0].burst - 1, abs=0.02)


def test_units_returned_to_a_dropped_bucket_fill_none_beyond_its_burst():
    """A bucket that was dropped because it was full must not hold more when units come back for it."""
    module = gateway(1, 2)
    ask = wire.pack_item(wire.Ask(1, 5, 0, 1.0))
    module.handle(10, interface.PeerFrame(0, wire.pack(9, 0, 1, 0, [ask])))
    for now in range(SECOND, 6 * SECOND, SECOND):
        module.handle(now, interface.TimerFired(0))
    assert (5, 0) not in module.quotas.buckets  # full again, and dropped
    returned = [wire.pack_item(wire.Return(5, 0, 1.0))] * 3
    module.handle(6 * SECOND, interface.PeerFrame(0, wire.pack(9, module.links.life, 2, 6000, returned)))
    assert module.quotas.buckets[5, 0].tokens == PLANS[0].burst
    spent = [wire.pack_item(wire.Return(5, 0, -1.0))] * 3  # what a slice spent meanwhile counts in full
    module.handle(6 * SECOND, interface.PeerFrame(0, wire.pack(9, module.links.life, 3, 6000, spent)))
    assert module.quotas.buckets[5, 0].tokens == PLANS[0].burst - 3


def test_a_release_frees_the_place_of_its_own_serial_only():
    """Other call-outs of the same customer stay counted."""
    module = gateway(1, 2)
    asks = [wire.pack_item(wire.Ask(serial, 5, 2, 1.0)) for serial in (1, 2)]
    module.handle(10, interface.PeerFrame(0, wire.pack(9, 0, 1, 0, asks)))
    release = wire.pack_item(wire.Release(1, 5))
    module.handle(11, interface.PeerFrame(0, wire.pack(9, module.links.life, 2, 0, [release])))
    assert [holder[2] for holder in module.quotas.buckets[5, 2].leases] == [2]


def test_a_server_that_restarts_and_goes_is_kept_while_a_deduplicated_rpc_may_have_run_there():
    """A retry has to stay in that server's zone or cell, so its entry must still be there."""
    module = DecisionModule(gateway_settings(), START)
    module.handle(START, interface.ServerList(True, False, tuple(map(entry, range(3)))))
    [first] = sent_to(module.handle(START + 1, arrival(1, 1, method=2)))
    module.handle(START + 2, changed(entry(first, ServerState.READY, 1)))  # restarted long ago
    module.handle(START + 3, changed(entry(first, ServerState.GONE, 1)))
    [second] = sent_to(module.handle(START + 4, ended(1, 0, first, Status.ERROR)))
    assert module.handle(START + 5, changed()) == []
    module.handle(START + 6, ended(1, 1, second, Status.ERROR))
