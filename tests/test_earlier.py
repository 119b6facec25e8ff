"""What is kept under a small index, a customer or a serial must not speak for its next bearer; units go back once."""

import pytest
from decision_modules import ended, frame_of, gateway, kinds, owned_by
from gateway_network import PLANS, arrival, birth, entry

from oakfork import interface as face, peer_codec as wire
from oakfork.decision import Brain
from oakfork.interface import SECOND, State, Status

START = 100 * SECOND


def single(**more):
    brain = Brain(birth(**more), START)
    brain.handle(START, face.ServerList(True, False, (entry(0),)))
    return brain


def test_the_end_of_a_call_out_to_an_earlier_process_says_nothing_of_the_one_that_runs_there_now():
    brain = single()
    for rpc in range(4):
        assert face.Send in kinds(brain.handle(START + 1, arrival(rpc, rpc)))
    commands = brain.handle(START + 2, face.ServerList(False, False, (entry(0, State.READY, START + 2),)))
    assert kinds(commands) == [face.Recall] * 4
    before = brain.servers.all[0]
    told = before.bad, before.limit, before.heard, dict(before.mute), before.aside_until, brain.servers.trouble
    for rpc, status in enumerate((Status.RESET, Status.ERROR, Status.FULL, Status.TIMED_OUT)):
        brain.handle(START + 900, ended(rpc, 0, 0, status))
    after = brain.servers.all[0]
    assert told == (after.bad, after.limit, after.heard, after.mute, after.aside_until, brain.servers.trouble)
    assert not after.open


def test_a_probe_of_an_earlier_process_says_nothing_of_the_one_that_runs_there_now():
    brain = single(probing=True)
    brain.handle(START + 10, face.ServerList(False, False, (entry(0, State.READY, START + 10),)))
    brain.handle(START + 500, face.ProbeEnded(0, Status.OK, 499, ()))  # asked before
    assert brain.servers.all[0].seen_at < 0 and not brain.servers.quickest
    brain.handle(START + 520, face.ProbeEnded(0, Status.OK, 20, ()))
    assert brain.servers.all[0].seen_at == START + 520


def test_a_server_with_a_probe_or_a_call_out_on_its_way_is_not_forgotten():
    """Its index would stand for another server when that ends."""
    brain = single(probing=True)
    brain.servers.looks[0] = []
    late = START + 10 * SECOND
    gone = face.ServerList(True, False, (entry(1),))
    assert face.Forget not in kinds(brain.handle(late, gone)) and face.Forget not in kinds(brain.handle(late + 1, gone))
    brain.handle(late + 2, face.ProbeEnded(0, Status.TIMED_OUT, 2500, ()))
    assert face.Forget in kinds(brain.handle(late + 3, gone))
    brain = single()
    brain.handle(START + 1, arrival(1, 1))
    assert face.Forget not in kinds(brain.handle(late, gone))
    brain.handle(late + 1, ended(1, 0, 0, Status.TIMED_OUT))
    assert face.Forget in kinds(brain.handle(late + 2, gone))


@pytest.mark.parametrize("waits_for", ["owner", "look"])
def test_a_client_that_has_gone_while_its_rpc_waits_has_nothing_sent(waits_for):
    if waits_for == "owner":
        brain = gateway(0, 2)
        customer = owned_by(1, 2)
        brain.handle(10, face.PeerFrame(1, wire.pack(9, 0, 1, 0, [])))
        asked = frame_of(brain.handle(10, arrival(1, customer, spread=2)) + brain.handle(11, face.TimeCame(0)))
        [ask] = [item for item in asked.items if isinstance(item, wire.Ask)]
        brain.handle(20, face.ClientGone(1))
        yes = wire.pack(9, brain.links.life, 2, 0, [wire.pack_item(wire.Answer(ask.serial, 0))])
        commands = brain.handle(30, face.PeerFrame(1, yes)) + brain.handle(31, face.TimeCame(0))
        returned = [item for item in frame_of(commands).items if isinstance(item, wire.Return)]
        assert [item.units for item in returned] == [1.0]  # what the owner gave goes back, once
    else:
        brain = gateway(probing=True)
        brain.servers.trouble = 0.9
        probed = [c.server for c in brain.handle(5 * SECOND, arrival(1, 1)) if isinstance(c, face.Probe)]
        assert len(probed) == 2
        brain.handle(5 * SECOND + 1, face.ClientGone(1))
        commands = [
            c for server in probed for c in brain.handle(5 * SECOND + 9, face.ProbeEnded(server, Status.OK, 8, ()))
        ]
        commands += brain.handle(6 * SECOND, face.TimeCame(0))
    assert face.Send not in kinds(commands) and not brain.rpcs


def test_units_go_back_once_and_only_for_what_was_never_sent():
    brain = gateway(servers=0)  # nothing to send to: pushed back before it costs anything
    brain.handle(10, arrival(1, 5))
    assert (5, 0) not in brain.quotas.buckets
    brain = gateway()
    brain.handle(10, arrival(1, 5))
    server = brain.rpcs[1].out[0]
    brain.handle(20, face.ClientGone(1))  # it was sent
    brain.handle(40, ended(1, 0, server, Status.CANCELLED, True))
    assert not brain.rpcs and brain.quotas.buckets[5, 0].tokens == pytest.approx(PLANS[0].burst - 1, abs=0.02)


def test_what_comes_back_for_a_bucket_that_was_dropped_fills_none_beyond_its_burst():
    brain = gateway(1, 2)
    ask = wire.pack_item(wire.Ask(1, 5, 0, 1.0))
    brain.handle(10, face.PeerFrame(0, wire.pack(9, 0, 1, 0, [ask])))
    for now in range(SECOND, 6 * SECOND, SECOND):
        brain.handle(now, face.TimeCame(0))
    assert (5, 0) not in brain.quotas.buckets  # full again, and dropped
    back = [wire.pack_item(wire.Return(5, 0, 1.0))] * 3
    brain.handle(6 * SECOND, face.PeerFrame(0, wire.pack(9, brain.links.life, 2, 6000, back)))
    assert brain.quotas.buckets[5, 0].tokens == PLANS[0].burst
    taken = [wire.pack_item(wire.Return(5, 0, -1.0))] * 3  # what a slice spent meanwhile counts in full
    brain.handle(6 * SECOND, face.PeerFrame(0, wire.pack(9, brain.links.life, 3, 6000, taken)))
    assert brain.quotas.buckets[5, 0].tokens == PLANS[0].burst - 3


def test_a_release_gives_back_the_place_of_its_own_plan_only():
    brain = gateway(1, 2)
    asks = [wire.pack_item(wire.Ask(serial, 5, 2, 1.0)) for serial in (1, 2)]
    brain.handle(10, face.PeerFrame(0, wire.pack(9, 0, 1, 0, asks)))
    brain.handle(11, face.PeerFrame(0, wire.pack(9, brain.links.life, 2, 0, [wire.pack_item(wire.Release(1, 5))])))
    assert [held[2] for held in brain.quotas.buckets[5, 2].leases] == [2]


def test_a_server_that_restarts_and_goes_is_not_forgotten_while_a_deduplicated_rpc_may_have_run_there():
    """Its mark counts in that server's zone or cell: what is asked of the entry must still be there."""
    brain = Brain(birth(), START)
    brain.handle(START, face.ServerList(True, False, tuple(map(entry, range(3)))))
    [first] = [c.server for c in brain.handle(START + 1, arrival(1, 1, method=2)) if isinstance(c, face.Send)]
    brain.handle(START + 2, face.ServerList(False, False, (entry(first, State.READY, 1),)))  # restarted long ago
    brain.handle(START + 3, face.ServerList(False, False, (entry(first, State.GONE, 1),)))
    [second] = [c.server for c in brain.handle(START + 4, ended(1, 0, first, Status.ERROR)) if isinstance(c, face.Send)]
    assert brain.handle(START + 5, face.ServerList(False, False, ())) == []
    brain.handle(START + 6, ended(1, 1, second, Status.ERROR))
