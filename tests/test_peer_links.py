"""Frames between gateways: lives, greetings, readings, what is not understood."""

import heapq
import random

import pytest
from decision_modules import ended, frame_of, gateway, kinds, owned_by, told_of
from gateway_network import METHODS, PLANS, arrival

from oakfork import interface, peer_codec as wire
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, Status


def test_peer_messages_are_checked_before_use():
    module = gateway(1, 2)
    good = wire.pack(9, 0, 1, 0, [wire.pack_item(wire.Ask(1, 5, 0, 1.0))])
    for bad in (b"", good[:-1], b"\x07" + good[1:], good + b"\xff", good * 20):
        module.handle(10, interface.PeerFrame(0, bad))
    module.handle(10, interface.PeerFrame(7, good))  # no such gateway
    assert not module.quotas.buckets
    for _ in range(3):  # doubled: taken once
        module.handle(20, interface.PeerFrame(0, good))
    assert module.quotas.buckets[5, 0].tokens == pytest.approx(PLANS[0].burst - 1)
    module.handle(25, interface.PeerFrame(0, wire.pack(9, 0, 3, 0, [])))
    module.handle(25, interface.PeerFrame(0, good))  # and not after a later one either
    assert module.quotas.buckets[5, 0].tokens == pytest.approx(PLANS[0].burst - 1, abs=0.01)
    module.handle(30, interface.PeerFrame(0, wire.pack(9, 1, 2, 0, [wire.pack_item(wire.Return(5, 0, 1.0))])))
    assert module.quotas.buckets[5, 0].tokens == pytest.approx(PLANS[0].burst - 1, abs=0.01)  # for an earlier life

    module.handle(40, interface.PeerFrame(0, wire.pack(10, 0, 1, 0, [wire.pack_item(wire.Ask(1, 6, 0, 1.0))])))
    assert (6, 0) in module.quotas.buckets  # a new life counts its frames anew


def test_a_stale_backlog_is_skipped():
    module = gateway(1, 2)
    module.handle(1000, interface.PeerFrame(0, wire.pack(9, 0, 1, 100, [])))
    module.handle(9000, interface.PeerFrame(0, wire.pack(9, 0, 2, 110, [wire.pack_item(wire.Ask(1, 5, 0, 1.0))])))
    assert not module.quotas.buckets


def test_a_link_among_hundreds_is_quick_until_asks_go_unanswered():
    module, customer = gateway(0, 200), owned_by(1, 200)
    assert (quick := module.links.peers[1].rate) > 10 * module.links.even
    module.handle(0, arrival(1, customer, spread=200))
    frame_of(
        module.handle(1, interface.TimerFired(0))
    )  # at once, though a hundred and ninety-nine others could write too
    module.handle(METHODS[0].soft_deadline // 10, interface.TimerFired(0))
    assert module.links.peers[1].rate == quick / 2


def _greeted(gateways: int, down: int = 0, again: int = 0) -> DecisionModule:
    """One gateway of a tier after three seconds without an RPC; some are down, some knew an earlier life of it."""
    slow = interface.Plan(1.0, 9.0, 0, 2.0, 18.0, 0.0, 1.0, 0.0, 1.0)
    modules = {
        index: gateway(index, gateways, plans=(slow,), peer_frames_per_s=100.0) for index in range(gateways - down)
    }
    dice, due = (
        random.Random(gateways),
        [(module.context.woken, i, interface.TimerFired(0)) for i, module in modules.items()],
    )
    for other in range(again):
        modules[1 + other].links.peers[0].life = 60_000
        modules[1 + other].links.peers[0].window.latest = 9
    while due:
        now, index, event = heapq.heappop(due)
        for command in modules[index].handle(now, event):
            if isinstance(command, interface.SetTimer) and now + command.after < 3 * SECOND:
                heapq.heappush(due, (now + command.after, index, interface.TimerFired(0)))
            elif isinstance(command, interface.SendPeerFrame) and command.peer in modules and dice.random() > 0.07:
                heapq.heappush(
                    due, (now + dice.randint(11, 400), command.peer, interface.PeerFrame(index, command.data))
                )
    return modules[0]


@pytest.mark.parametrize(
    "gateways, down, again, full",
    [
        (40, 0, 0, True),
        (40, 2, 0, True),
        (40, 4, 0, False),
        (40, 0, 4, False),
        (4, 0, 0, True),
        (4, 1, 0, False),
        (120, 0, 0, True),
        (120, 0, 12, False),
    ],
)
def test_a_first_life_is_known_soon_though_some_never_write_and_a_second_is_told_by_who_is_left(
    gateways, down, again, full
):
    """Guards against buckets under a ceiling that begin empty all day in a large tier: no other wrote to each."""
    module = _greeted(gateways, down, again)
    mine = next(c for c in range(9999) if module.quotas.owner(arrival(1, c, spread=gateways))[0] == 0)
    commands = module.handle(3 * SECOND, arrival(1, mine, units=2.0, spread=gateways))
    assert module.links.first_life() == full
    assert module.quotas.buckets[mine, 0].tokens == pytest.approx(9 - 2 if full else 3 - 2)
    assert interface.SendCallOut in kinds(commands)


def test_greetings_to_gateways_that_stay_silent_grow_rare():
    module, told = gateway(0, 40, peer_frames_per_s=100.0), []
    for now in range(0, 60 * SECOND, 200):
        told += [
            now
            for c in module.handle(now, interface.TimerFired(0))
            if isinstance(c, interface.SendPeerFrame) and c.peer == 7
        ]
    assert 5 < len(told) < 12 and max(b - a for a, b in zip(told, told[1:], strict=False)) >= 15 * SECOND
    answers = [module.handle(61 * SECOND, interface.PeerFrame(7, wire.pack(9, 0, 1, 0, [])))]
    answers += [module.handle(61 * SECOND + 5, interface.TimerFired(0))]
    assert [c.peer for commands in answers for c in commands if isinstance(c, interface.SendPeerFrame)].count(7) == 1


def test_what_one_gateway_saw_of_a_server_spares_the_others_their_looks():
    """Guards against probes summed over tens of gateways, each of which meets most servers seldom."""
    first, second = (gateway(index, 40, servers=2, probing=True, probe_price=0.08) for index in (0, 1))
    for module in (first, second):
        module.servers.trouble = 0.5
    told_of(first, 20_000)  # the other understands readings
    probed = [c.server for c in first.handle(30_000, arrival(1, 1)) if isinstance(c, interface.ProbeServer)]
    for server, took in zip(probed, (9, 90), strict=True):
        first.handle(30_009, interface.ProbeEnded(server, Status.OK, took, ()))
    first.servers.quickest = {0: 9, 1: 9}
    first.handle(30_010, interface.ProbeEnded(probed[1], Status.OK, 90, ()))
    customer = owned_by(1, 40)
    first.handle(30_050, arrival(2, customer, spread=40))
    told = frame_of(first.handle(30_060, interface.TimerFired(0)))
    readings = [item for item in told.items if isinstance(item, wire.Reading)]
    assert [reading.seen for reading in readings] == [0, 81] and isinstance(told.items[0], wire.Ask)
    told_of(second, 30_200, *readings)
    sent = second.handle(30_300, arrival(1, 1, first=1))  # no probe, no wait: the less pressed one
    assert [c.server for c in sent if isinstance(c, interface.SendCallOut)] == [
        probed[0]
    ] and interface.ProbeServer not in kinds(sent)
    second.handle(30_900, ended(1, 0, probed[0]))
    second.servers.trouble = 0.5
    asked = second.handle(41_000, arrival(2, 2, first=1))
    assert kinds(asked).count(interface.ProbeServer) == 2  # it is believed for a second
    told_of(second, 42_000, wire.Reading(12345, 7, 0), number=2)  # of no server that this one knows
    assert (
        kinds(second.handle(42_000, arrival(3, 3, first=1))).count(interface.ProbeServer) == 0
    )  # asked already, and awaited
    late = [wire.Reading(reading.mark, 7, 25_500) for reading in readings]
    before = [server.seen_at for server in second.servers.all.values()]
    told_of(second, 42_500, *late, number=3)  # older than what it has
    assert [server.seen_at for server in second.servers.all.values()] == before


@pytest.mark.parametrize(
    "version, price, rides", [(wire.VERSION, 0.08, 2), (wire.OLDEST, 0.08, 0), (0, 0.08, 0), (wire.VERSION, 0.01, 0)]
)
def test_readings_go_only_to_those_who_understand_them_and_where_looks_are_dear(version, price, rides):
    module, customer = gateway(0, 40, servers=3, probing=True, probe_price=price), owned_by(1, 40)
    if version:
        told_of(module, 10, version=version)
    for server in range(3):
        module.handle(20, interface.ProbeEnded(server, Status.OK, 9, ()))
    module.handle(30, arrival(1, customer, spread=40))
    told = frame_of(module.handle(31, interface.TimerFired(0)))
    assert sum(isinstance(item, wire.Reading) for item in told.items) == rides
    assert told.version == (version or wire.OLDEST)


def test_readings_are_bounded_and_frames_that_are_not_understood_are_counted():
    reading = wire.Reading(0xFFFFFFFF, 10**9, 10**9)
    packed = wire.pack_item(reading)
    good = wire.pack(9, 0, 1, 0, [packed], version=wire.VERSION)
    assert wire.unpack(good).items == (wire.Reading(0xFFFFFFFF, 0xFFFF, 0xFF * wire.PAUSE),)
    queue = wire.deque([b"x" * 15] * 16)
    assert len(b"".join(wire.fill(queue, [packed] * 9))) <= wire.LARGEST - wire.HEADER.size
    assert not wire.fill(wire.deque([b"x" * 15] * 40), [packed])[16:]  # what waits goes first
    module = gateway(0, 2)
    bad = [
        good[:-1],
        wire.pack(9, 0, 1, 0, [packed], version=wire.OLDEST),
        wire.pack(9, 0, 1, 0, [], version=4),
        good + b"\x05",
        b"",
        good * 30,
    ]
    notes = [
        c for data in bad for c in module.handle(10, interface.PeerFrame(1, data)) if isinstance(c, interface.WriteLog)
    ]
    assert module.links.strange == len(bad) and len(notes) == 3  # at 1, 2 and 4
    for old in (wire.OLDEST, wire.VERSION):  # frames of the older kind are understood
        ask = wire.pack_item(wire.Ask(old, 5, 0, 1.0))
        module.handle(20, interface.PeerFrame(1, wire.pack(9, 0, old, 0, [ask], version=old)))
    assert module.quotas.buckets[5, 0].tokens == pytest.approx(PLANS[0].burst - 2, abs=0.01)
    assert module.links.strange == len(bad)
