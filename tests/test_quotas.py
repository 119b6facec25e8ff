"""Owners, slices and ceilings, in single cases."""

import pytest
from decision_modules import ended, frame_of, gateway, kinds, owned_by
from gateway_network import METHODS, PLANS, GatewayNetwork, arrival

from oakfork import interface, peer_codec as wire
from oakfork.interface import SECOND

ASK_TIMEOUT = METHODS[0].soft_deadline // 10  # tenths of a millisecond


def sends(commands) -> bool:
    """Whether a call-out is among commands."""
    return interface.SendCallOut in kinds(commands)


def test_a_ceiling_holds_when_no_gateway_hears_another():
    """Slices that decide alone must not exceed a customer's ceiling together."""
    for seed in range(4):
        network = GatewayNetwork(seed, 3, 9, faults=False)
        network.partitioned, sent = True, 0
        network.now += 5 * SECOND  # the buckets have filled since the start
        for rpc in range(900):  # one customer asks for all it can get through all its gateways
            network.now += 1000 if rpc % 60 == 0 else 20
            network.deliver(rpc % 3, arrival(rpc, 5, 0, 1, 1.0, 0, 3))
            while network.queue and network.queue[0][0] <= network.now + 20:
                network.step()
            last = [command for _, _, command in network.log[-9:]]
            sent += any(isinstance(command, interface.SendCallOut) and command.rpc == rpc for command in last)
        assert sent > 12 and 5 in network.ceiling_tokens


@pytest.mark.parametrize(
    "to_life, knew, full",
    [(0, False, True), (None, False, True), (0, True, False), (None, True, False), (7, False, False)],
)
def test_under_a_ceiling_only_a_first_life_starts_full(to_life, knew, full):
    """Guards against a second burst after a restart; the second peer to be heard says what the parameters say.

    A `to_life` of None is the life that the gateway is in.
    """
    module, customer = gateway(0, 3), owned_by(0, 3)
    assert interface.PushBack in kinds(module.handle(0, arrival(0, customer, plan=1, spread=3)))
    module.handle(1, interface.PeerFrame(1, wire.pack(11, 0, 1, 0, [])))
    assert interface.PushBack in kinds(module.handle(2, arrival(1, customer, plan=1, spread=3)))
    believed_life = module.links.life if to_life is None else to_life
    module.handle(3, interface.PeerFrame(2, wire.pack(12, believed_life, 1, 0, [], knew)))
    sent = sum(sends(module.handle(4, arrival(rpc, customer, plan=1, spread=3))) for rpc in range(2, 60))
    assert sent == (int(PLANS[1].burst) if full else 0)
    module.handle(5, interface.PeerFrame(1, wire.pack(13, 0, 1, 0, [])))  # it has restarted, which fills nothing again
    assert interface.PushBack in kinds(module.handle(6, arrival(60, customer, plan=1, spread=3)))
    for owner, known in ((1, True), (2, False)):  # a peer that restarts learns that it was known before
        module.handle(10 + owner * 100, arrival(70 + owner, owned_by(owner, 3), spread=3))
        assert frame_of(module.handle(50 + owner * 100, interface.TimerFired(0))).knew_receiver == known


def test_the_bucket_gives_its_capacity_and_then_its_rate():
    """A customer gets its burst at once and then one request each 1 / rate."""
    module = gateway()
    sent = [sends(module.handle(100, arrival(rpc))) for rpc in range(12)]
    assert sent == [True] * 8 + [False] * 4  # the burst of plan 0
    refused = module.handle(101, arrival(20))
    retry_after = [command.retry_after for command in refused if isinstance(command, interface.PushBack)]
    assert retry_after == [SECOND]  # rounded up to whole seconds
    assert sends(module.handle(101 + SECOND // 4, arrival(21)))  # a token is back after 1 / rate


def test_full_buckets_are_dropped_and_count_as_full():
    """A flood of customers that are seen once must not fill the memory."""
    module = gateway()
    for customer in range(300):
        module.handle(100, arrival(customer, customer))
        server = next(iter(module.rpcs[customer].open_call_outs.values()))
        module.handle(101, ended(customer, 0, server))
    assert len(module.quotas.buckets) > 50
    module.handle(100 + 3 * SECOND, interface.TimerFired(0))
    assert not module.quotas.buckets and not module.rpcs


def test_the_owner_is_asked_and_its_grant_sends_the_rpc_on():
    """An RPC at another gateway takes its units from the owner's bucket."""
    customer = owned_by(1, 2)
    asker, owner = gateway(0, 2), gateway(1, 2, seed=2)
    asker.handle(0, arrival(1, customer, spread=2))
    frame = frame_of(asker.handle(40, interface.TimerFired(0)))
    assert frame.items == (wire.Ask(1, customer, 0, 1.0),)
    data = wire.pack(frame.life, 0, frame.number, 0, [wire.pack_item(frame.items[0])])
    owner.handle(60, interface.PeerFrame(0, data))
    commands = owner.handle(100, interface.TimerFired(0))
    reply = next(command for command in commands if isinstance(command, interface.SendPeerFrame))
    assert sends(asker.handle(120, interface.PeerFrame(1, reply.data)))
    assert owner.quotas.buckets[customer, 0].tokens == pytest.approx(PLANS[0].burst - 1, abs=0.02)


def test_without_a_reply_the_slice_decides_and_a_late_grant_goes_back():
    """A silent owner must not stop RPCs, and units that it grants too late must not be lost."""
    customer = owned_by(1, 2)
    module = gateway(0, 2)
    module.handle(0, arrival(1, customer, spread=2))
    frame = frame_of(module.handle(40, interface.TimerFired(0)))
    assert sends(module.handle(ASK_TIMEOUT, interface.TimerFired(0)))
    late = wire.pack(77, module.links.life, 1, 0, [wire.pack_item(wire.Answer(frame.items[0].serial, 0))])
    module.handle(5000, interface.PeerFrame(1, late))
    assert wire.Return(customer, 0, 1.0) in frame_of(module.handle(5100, interface.TimerFired(0))).items
    for rpc in range(2, 20):  # the slice holds half of the burst of 8
        module.handle(5200, arrival(rpc, customer, spread=2))
    module.handle(5200 + ASK_TIMEOUT, interface.TimerFired(0))
    assert sum(rpc.call_outs_sent for rpc in module.rpcs.values()) <= 1 + 4 + 2


def test_a_refusal_is_remembered_until_its_retry_after():
    """A client that retries too soon must not cost an ask each time."""
    customer = owned_by(1, 2)
    module = gateway(0, 2)
    module.handle(0, arrival(1, customer, spread=2))
    serial = frame_of(module.handle(40, interface.TimerFired(0))).items[0].serial
    refusal = wire.pack(77, module.links.life, 1, 0, [wire.pack_item(wire.Answer(serial, 3000))])
    assert interface.PushBack in kinds(module.handle(100, interface.PeerFrame(1, refusal)))
    assert interface.PushBack in kinds(module.handle(200, arrival(2, customer, spread=2)))  # without an ask
    assert module.quotas.slices[customer, 0].tokens < 0.2  # the slice is spent as well
    module.handle(100 + 3100, interface.TimerFired(0))
    assert not module.quotas.refusals


def test_a_silent_owner_costs_only_a_few_waits():
    """After two asks without a reply, RPCs other than one each 250 ms are decided at once."""
    customer = owned_by(1, 2)
    module = gateway(0, 2)
    for rpc in range(2):
        module.handle(rpc * 3000, arrival(rpc, customer, spread=2))
        for wait in range(1, 4):  # the slice has spent after the first RPC: then it is asked up to three times
            module.handle(rpc * 3000 + wait * ASK_TIMEOUT, interface.TimerFired(0))
    module.handle(12_000, arrival(8, customer, spread=2))  # the one ask each 250 ms
    module.admitted_share, module.context.timer_lag = 1.0, 0.0
    assert sends(module.handle(12_001, arrival(9, customer, spread=2)))


def test_an_ask_is_repeated_where_the_slice_has_spent_and_takes_its_units_once():
    """A lost frame must not refuse an RPC, and the owner must not count a repeated ask twice."""
    customer = owned_by(1, 2)
    asker, owner = gateway(0, 2), gateway(1, 2, seed=2)
    _, slice_limits = asker.quotas.limits(PLANS[0], 2)
    asker.quotas.bucket(asker.quotas.slices, arrival(0, customer), slice_limits).tokens = 0.0
    asker.handle(0, arrival(1, customer, spread=2))
    first = frame_of(asker.handle(40, interface.TimerFired(0)))
    asker.handle(ASK_TIMEOUT, interface.TimerFired(0))
    frames = [first, frame_of(asker.handle(2100, interface.TimerFired(0)))]
    assert frames[0].items == frames[1].items  # the first was lost, or its answer was
    for frame in frames:
        items = [wire.pack_item(item) for item in frame.items]
        owner.handle(2200, interface.PeerFrame(0, wire.pack(frame.life, 0, frame.number, 0, items)))
    assert owner.quotas.buckets[customer, 0].tokens == pytest.approx(PLANS[0].burst - 1, abs=0.02)
    owner.handle(7 * SECOND, interface.TimerFired(0))
    assert not owner.quotas.answers


def test_a_restarted_gateway_grants_no_second_burst_under_a_ceiling():
    """A bucket under a ceiling begins empty where an earlier life may have spent it."""
    module = gateway()
    assert interface.PushBack in kinds(module.handle(10, arrival(1, plan=1)))
    assert sends(module.handle(SECOND, arrival(2, plan=1)))


def test_open_call_outs_are_counted_released_and_lapse():
    """A concurrency quota holds, and a release that is lost must not hold a place for ever."""
    module = gateway()
    sent = [sends(module.handle(10, arrival(rpc, plan=2))) for rpc in range(5)]
    assert sent == [True] * 3 + [False] * 2
    module.handle(20, ended(0, 0, module.rpcs[0].open_call_outs[0]))
    assert sends(module.handle(30, arrival(6, plan=2)))
    owner = gateway(1, 2)
    asks = [wire.pack_item(wire.Ask(serial, 5, 2, 1.0)) for serial in range(4)]
    owner.handle(10, interface.PeerFrame(0, wire.pack(9, 0, 1, 0, asks)))
    assert len(owner.quotas.buckets[5, 2].leases) == 3
    owner.handle(10 + 6 * SECOND, interface.TimerFired(0))  # a release that never came
    assert (5, 2) not in owner.quotas.buckets


def test_a_slice_holds_one_request_and_tells_the_owner_what_it_spends():
    """A slice smaller than one request would grant none; what it spends must not be granted again by the owner."""
    customer = owned_by(1, 4)
    small = interface.Plan(0.5, 2.0, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 1.0)  # a quarter of the burst is under one request
    module = gateway(0, 4, plans=(small,), max_units=1)
    module.handle(0, interface.PeerFrame(1, wire.pack(77, 0, 1, 0, [])))
    module.handle(0, arrival(1, customer, spread=4))
    module.handle(1500, interface.TimerFired(0))
    assert sends(module.handle(ASK_TIMEOUT, interface.TimerFired(0)))
    assert wire.Return(customer, 0, -1.0) in frame_of(module.handle(6000, interface.TimerFired(0))).items
    owner = gateway(1, 4)
    spent = wire.pack(9, owner.links.life, 1, 0, [wire.pack_item(wire.Return(5, 0, -1.0))])
    owner.handle(10, interface.PeerFrame(0, spent))
    assert owner.quotas.buckets[5, 0].tokens == pytest.approx(PLANS[0].burst - 1)


def test_under_a_ceiling_the_slices_share_all_that_it_leaves_and_never_more():
    """Guards against refusing half of what is inside the quota while the owner is silent."""
    plan = interface.Plan(4.0, 6.0, 0, 10.0, 14.0, 1.0, 1.0, 0.0, 1.0)
    for gateways in range(1, 12):
        whole, local = gateway(plans=(plan,)).quotas.limits(plan, gateways)
        assert local.rate <= whole.rate and local.capacity <= whole.capacity
        assert whole.rate * SECOND + (gateways - 1) * local.rate * SECOND <= plan.ceiling_rate + 1e-9
        assert whole.capacity + (gateways - 1) * local.capacity <= plan.ceiling_burst + 1e-9
        if gateways > 2:
            assert local.rate * SECOND == pytest.approx(min(4.0, 6.0 / (gateways - 1)))


def test_hearing_the_last_peer_gives_no_second_burst():
    """Guards against granting each customer its burst twice: only what began empty, under a ceiling, is filled."""
    module = gateway(0, 3)
    mine = [c for c in range(99) if module.quotas.owner(arrival(1, c, spread=3))[0] == 0]
    requests = [arrival(rpc, mine[rpc % 2], plan=rpc % 2, spread=3) for rpc in range(40)]  # under a ceiling, and not
    sent = [sum(sends(module.handle(0, request)) for request in requests[plan::2]) for plan in (0, 1)]
    assert sent == [int(PLANS[0].burst), 0]
    for peer in (1, 2):
        module.handle(peer, interface.PeerFrame(peer, wire.pack(10 + peer, 0, 1, 0, [])))
    again = [request._replace(rpc=100 + request.rpc) for request in requests]
    sent = [sum(sends(module.handle(3, request)) for request in again[plan::2]) for plan in (0, 1)]
    assert sent == [0, int(PLANS[1].burst)]


@pytest.mark.parametrize("ceiling_rate, ceiling_burst", [(10.0, 20.0), (5.0, 20.0), (10.0, 10.0), (10.0, 30.0)])
def test_a_ceiling_no_higher_than_the_quota_holds_without_the_owner(ceiling_rate, ceiling_burst):
    """Guards against a slice of nothing at all that is taken for no limit: all that came was sent on."""
    plan = interface.Plan(10.0, 20.0, 0, ceiling_rate, ceiling_burst, 3.0, 1.0, 0.0, 1.0)
    module = gateway(1, 2, plans=(plan,))
    customer = owned_by(0, 2)  # whose gateway never answers
    sent = refused = 0
    for rpc in range(400):
        now = 20 * SECOND + rpc * SECOND // 50
        commands = module.handle(now, arrival(rpc, customer, spread=2))
        commands += module.handle(now + ASK_TIMEOUT * 4, interface.TimerFired(0))
        sent += sends(commands)
        refused += interface.PushBack in kinds(commands)
    assert sent == 0 and refused > 300
    assert not module.quotas.slices  # and nothing is kept for it


def test_a_plan_that_limits_open_call_outs_alone_has_no_other_limit():
    """No limit is not a limit of zero."""
    plan = interface.Plan(0.0, 0.0, 3, 0.0, 0.0, 0.0, 1.0, 0.0, 1.0)
    module = gateway(plans=(plan,))
    sent = 0
    for rpc in range(40):
        commands = module.handle(rpc * 100, arrival(rpc))
        sent += sends(commands)
        if sends(commands):
            module.handle(rpc * 100 + 1, ended(rpc, 0, next(iter(module.rpcs[rpc].open_call_outs.values()))))
    assert sent == 40
