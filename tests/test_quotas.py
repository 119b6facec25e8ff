"""Owners, slices and ceilings, in plain cases."""

import pytest
from decision_modules import ended, frame_of, gateway, kinds, owned_by
from gateway_network import METHODS, PLANS, GatewayNetwork, arrival

from oakfork import interface, peer_codec as wire
from oakfork.interface import SECOND


def test_a_ceiling_holds_when_no_gateway_hears_another():
    for seed in range(4):
        world = GatewayNetwork(seed, 3, 9, trouble=False)
        world.cut, sent = True, 0
        world.now += 5 * SECOND  # the buckets have filled since the start
        for rpc in range(900):  # one customer asks for all it can get through all its gateways
            world.now += 1000 if rpc % 60 == 0 else 20
            world.give(rpc % 3, arrival(rpc, 5, 0, 1, 1.0, 0, 3))
            while world.queue and world.queue[0][0] <= world.now + 20:
                world.step()
            sent += any(
                isinstance(command, interface.SendCallOut) and command.rpc == rpc for _, _, command in world.log[-9:]
            )
        assert sent > 12 and 5 in world.stores


@pytest.mark.parametrize(
    "to_life, again, full",
    [(0, False, True), (None, False, True), (0, True, False), (None, True, False), (7, False, False)],
)
def test_under_a_ceiling_only_a_first_life_starts_full(to_life, again, full):
    """None: the life that it is in. The second of the others to be heard says what the parameters say."""
    module, customer = gateway(0, 3), owned_by(0, 3)
    assert interface.PushBack in kinds(module.handle(0, arrival(0, customer, plan=1, spread=3)))
    module.handle(1, interface.PeerFrame(1, wire.pack(11, 0, 1, 0, [])))
    assert interface.PushBack in kinds(module.handle(2, arrival(1, customer, plan=1, spread=3)))
    module.handle(
        3, interface.PeerFrame(2, wire.pack(12, module.links.life if to_life is None else to_life, 1, 0, [], again))
    )
    sent = sum(
        interface.SendCallOut in kinds(module.handle(4, arrival(rpc, customer, plan=1, spread=3)))
        for rpc in range(2, 60)
    )
    assert sent == (int(PLANS[1].burst) if full else 0)
    module.handle(5, interface.PeerFrame(1, wire.pack(13, 0, 1, 0, [])))  # it has restarted, which fills nothing again
    assert interface.PushBack in kinds(module.handle(6, arrival(60, customer, plan=1, spread=3)))
    for owner, known in ((1, True), (2, False)):  # who restarts is told that it was known before
        module.handle(10 + owner * 100, arrival(70 + owner, owned_by(owner, 3), spread=3))
        assert frame_of(module.handle(50 + owner * 100, interface.TimerFired(0))).again == known


def test_the_bucket_gives_its_capacity_and_then_its_rate():
    module = gateway()
    sent = [interface.SendCallOut in kinds(module.handle(100, arrival(rpc))) for rpc in range(12)]
    assert sent == [True] * 8 + [False] * 4  # the burst of plan 0
    refused = module.handle(101, arrival(20))
    assert [c.retry_after for c in refused if isinstance(c, interface.PushBack)] == [SECOND]  # whole seconds, up
    assert interface.SendCallOut in kinds(
        module.handle(101 + SECOND // 4, arrival(21))
    )  # a token is back after 1 / rate


def test_full_buckets_are_dropped_and_read_as_full():
    module = gateway()
    for customer in range(300):  # a flood of customers seen once
        module.handle(100, arrival(customer, customer))
        module.handle(101, ended(customer, 0, next(iter(module.rpcs[customer].out.values()))))
    assert len(module.quotas.buckets) > 50
    module.handle(100 + 3 * SECOND, interface.TimerFired(0))
    assert not module.quotas.buckets and not module.rpcs


def test_the_owner_is_asked_and_its_yes_sends_the_rpc_on():
    customer = owned_by(1, 2)
    asker, owner = gateway(0, 2), gateway(1, 2, seed=2)
    asker.handle(0, arrival(1, customer, spread=2))
    ask = frame_of(asker.handle(40, interface.TimerFired(0)))
    assert ask.items == (wire.Ask(1, customer, 0, 1.0),)
    owner.handle(60, interface.PeerFrame(0, wire.pack(ask.life, 0, ask.number, 0, [wire.pack_item(ask.items[0])])))
    reply = next(c for c in owner.handle(100, interface.TimerFired(0)) if isinstance(c, interface.SendPeerFrame))
    assert interface.SendCallOut in kinds(asker.handle(120, interface.PeerFrame(1, reply.data)))
    assert owner.quotas.buckets[customer, 0].tokens == pytest.approx(PLANS[0].burst - 1, abs=0.02)


def test_without_a_reply_the_slice_decides_and_a_late_yes_goes_back():
    customer = owned_by(1, 2)
    module = gateway(0, 2)
    module.handle(0, arrival(1, customer, spread=2))
    asked = frame_of(module.handle(40, interface.TimerFired(0)))
    assert interface.SendCallOut in kinds(module.handle(METHODS[0].soft_deadline // 10, interface.TimerFired(0)))
    late = wire.pack(77, module.links.life, 1, 0, [wire.pack_item(wire.Answer(asked.items[0].serial, 0))])
    module.handle(5000, interface.PeerFrame(1, late))
    assert wire.Return(customer, 0, 1.0) in frame_of(module.handle(5100, interface.TimerFired(0))).items
    for rpc in range(2, 20):  # the slice holds half of the burst of 8
        module.handle(5200, arrival(rpc, customer, spread=2))
    module.handle(5200 + METHODS[0].soft_deadline // 10, interface.TimerFired(0))
    assert sum(rpc.sent for rpc in module.rpcs.values()) <= 1 + 4 + 2


def test_a_refusal_is_remembered_until_its_retry_after():
    customer = owned_by(1, 2)
    module = gateway(0, 2)
    module.handle(0, arrival(1, customer, spread=2))
    serial = frame_of(module.handle(40, interface.TimerFired(0))).items[0].serial
    no = wire.pack(77, module.links.life, 1, 0, [wire.pack_item(wire.Answer(serial, 3000))])
    assert interface.PushBack in kinds(module.handle(100, interface.PeerFrame(1, no)))
    assert interface.PushBack in kinds(module.handle(200, arrival(2, customer, spread=2)))  # without an ask
    assert module.quotas.slices[customer, 0].tokens < 0.2  # the slice is spent as well
    module.handle(100 + 3100, interface.TimerFired(0))
    assert not module.quotas.refusals


def test_a_silent_owner_costs_only_a_few_waits():
    customer = owned_by(1, 2)
    module = gateway(0, 2)
    for rpc in range(2):
        module.handle(rpc * 3000, arrival(rpc, customer, spread=2))
        for wait in range(1, 4):  # the slice has spent after the first RPC: then it is asked up to three times
            module.handle(rpc * 3000 + wait * METHODS[0].soft_deadline // 10, interface.TimerFired(0))
    module.handle(12_000, arrival(8, customer, spread=2))  # the trickle's ask
    module.let_in, module.context.lag = 1.0, 0.0
    assert interface.SendCallOut in kinds(module.handle(12_001, arrival(9, customer, spread=2)))


def test_an_ask_is_repeated_where_the_slice_has_spent_and_takes_its_units_once():
    customer = owned_by(1, 2)
    asker, owner = gateway(0, 2), gateway(1, 2, seed=2)
    asker.quotas.bucket(asker.quotas.slices, arrival(0, customer), asker.quotas.shares(PLANS[0], 2)[1]).tokens = 0.0
    asker.handle(0, arrival(1, customer, spread=2))
    first = frame_of(asker.handle(40, interface.TimerFired(0)))
    asker.handle(METHODS[0].soft_deadline // 10, interface.TimerFired(0))
    frames = [first, frame_of(asker.handle(2100, interface.TimerFired(0)))]
    assert frames[0].items == frames[1].items  # the first was lost, or its answer was
    for frame in frames:
        items = [wire.pack_item(item) for item in frame.items]
        owner.handle(2200, interface.PeerFrame(0, wire.pack(frame.life, 0, frame.number, 0, items)))
    assert owner.quotas.buckets[customer, 0].tokens == pytest.approx(PLANS[0].burst - 1, abs=0.02)
    owner.handle(7 * SECOND, interface.TimerFired(0))
    assert not owner.quotas.answers


def test_a_restarted_gateway_grants_no_second_burst_under_a_ceiling():
    module = gateway()
    assert interface.PushBack in kinds(module.handle(10, arrival(1, plan=1)))
    assert interface.SendCallOut in kinds(module.handle(SECOND, arrival(2, plan=1)))


def test_open_call_outs_are_counted_released_and_expire():
    module = gateway()
    sent = [interface.SendCallOut in kinds(module.handle(10, arrival(rpc, plan=2))) for rpc in range(5)]
    assert sent == [True] * 3 + [False] * 2
    module.handle(20, ended(0, 0, module.rpcs[0].out[0]))
    assert interface.SendCallOut in kinds(module.handle(30, arrival(6, plan=2)))
    other = gateway(1, 2)
    asks = [wire.pack_item(wire.Ask(serial, 5, 2, 1.0)) for serial in range(4)]
    other.handle(10, interface.PeerFrame(0, wire.pack(9, 0, 1, 0, asks)))
    assert len(other.quotas.buckets[5, 2].leases) == 3
    other.handle(10 + 6 * SECOND, interface.TimerFired(0))  # a release that never came
    assert (5, 2) not in other.quotas.buckets


def test_a_slice_holds_one_request_and_tells_the_owner_what_it_spends():
    customer = owned_by(1, 4)
    small = interface.Plan(0.5, 2.0, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 1.0)  # a quarter of the burst is under one request
    module = gateway(0, 4, plans=(small,), max_units=1)
    module.handle(0, interface.PeerFrame(1, wire.pack(77, 0, 1, 0, [])))
    module.handle(0, arrival(1, customer, spread=4))
    module.handle(1500, interface.TimerFired(0))
    assert interface.SendCallOut in kinds(module.handle(METHODS[0].soft_deadline // 10, interface.TimerFired(0)))
    assert wire.Return(customer, 0, -1.0) in frame_of(module.handle(6000, interface.TimerFired(0))).items
    owner = gateway(1, 4)
    owner.handle(
        10, interface.PeerFrame(0, wire.pack(9, owner.links.life, 1, 0, [wire.pack_item(wire.Return(5, 0, -1.0))]))
    )
    assert owner.quotas.buckets[5, 0].tokens == pytest.approx(PLANS[0].burst - 1)


def test_under_a_ceiling_the_slices_share_all_that_it_leaves_and_never_more():
    """Guards against refusing half of what is inside the quota while the owner is silent."""
    plan = interface.Plan(4.0, 6.0, 0, 10.0, 14.0, 1.0, 1.0, 0.0, 1.0)
    for gateways in range(1, 12):
        whole, local = gateway(plans=(plan,)).quotas.shares(plan, gateways)
        assert local.rate <= whole.rate and local.capacity <= whole.capacity
        assert whole.rate * SECOND + (gateways - 1) * local.rate * SECOND <= plan.ceiling_rate + 1e-9
        assert whole.capacity + (gateways - 1) * local.capacity <= plan.ceiling_burst + 1e-9
        if gateways > 2:
            assert local.rate * SECOND == pytest.approx(min(4.0, 6.0 / (gateways - 1)))


def test_hearing_the_last_of_the_others_gives_no_second_burst():
    """Guards against granting each customer its burst twice: only what began empty, under a ceiling, is filled."""
    module = gateway(0, 3)
    mine = [c for c in range(99) if module.quotas.owner(arrival(1, c, spread=3))[0] == 0]
    asks = [arrival(rpc, mine[rpc % 2], plan=rpc % 2, spread=3) for rpc in range(40)]  # under a ceiling, and not
    sent = [sum(interface.SendCallOut in kinds(module.handle(0, ask)) for ask in asks[plan::2]) for plan in (0, 1)]
    assert sent == [int(PLANS[0].burst), 0]
    for peer in (1, 2):
        module.handle(peer, interface.PeerFrame(peer, wire.pack(10 + peer, 0, 1, 0, [])))
    again = [ask._replace(rpc=100 + ask.rpc) for ask in asks]
    sent = [sum(interface.SendCallOut in kinds(module.handle(3, ask)) for ask in again[plan::2]) for plan in (0, 1)]
    assert sent == [0, int(PLANS[1].burst)]
