"""Costs by size that are counts: frames between gateways, and the lists that discovery tells."""

import json
from contextlib import closing

import h11
import pytest
import trio
from jsonschema import Draft202012Validator

from oakfork import peer_codec as wire
from oakfork.configuration_schema import SERVER
from oakfork.lab.fake_services import FakeDiscovery
from oakfork.lab.scale import peer_frames, server_lists
from oakfork.sockets.configuration import parse_address
from oakfork.sockets.http_connection import LARGEST_BODY, HttpMessage

# What oakfork/lab/scale's page reads.
STARTS = [
    f"start by gateways, {who}: {what}"
    for who in ("none replies", "all reply")
    for what in ("bytes", "bytes, with headers", "frames")
]
RESTS = [f"rest by gateways: {what}" for what in ("bytes a second", "bytes a second, with headers", "frames a second")]
ASKS = [
    f"asks by rate: {what}"
    for way in ("sent", "received")
    for what in (f"bytes a second {way}", f"bytes a second {way}, with headers", f"frames a second {way}")
]
LISTS = [
    f"{what}: bytes"
    for what in (
        "whole list by servers",
        "whole list by servers compact",
        "changes by servers changed",
        "changes by servers changed compact",
    )
]
GREETING, ASK, ANSWER = (
    wire.HEADER.size + size for size in (0, 1 + wire.LAYOUT[wire.ASK].size, 1 + wire.LAYOUT[wire.ANSWER].size)
)


@pytest.fixture(scope="module")
def counted():
    told: list[str] = []
    measures, held = peer_frames.measure(told.append, small=True)
    assert told == [measure.name for measure in measures]
    return {measure.name: measure for measure in measures}, held


def values(measure):
    return {size: told for size, (told,) in measure.points}


def test_a_second_count_of_frames_is_the_first_one(counted):
    again, held = peer_frames.measure(lambda line: None, small=True)
    assert again == list(counted[0].values()) and held == counted[1]
    assert {*STARTS, *RESTS, *ASKS} <= counted[0].keys()
    assert held["rpcs"] == held["rpcs_ok"] > 0 == held["rpcs_not_sent_on"]


def test_a_gateway_greets_each_other_once_where_all_reply_and_more_often_where_none_does(counted):
    met, silent = (values(counted[0][f"start by gateways, {who}: frames"]) for who in ("all reply", "none replies"))
    assert met == {size: size - 1 for size in met}
    assert all(4 * met[size] < silent[size] < 12 * met[size] for size in met)
    for who, sent in (("all reply", met), ("none replies", silent)):
        bare, whole = (
            values(counted[0][f"start by gateways, {who}: {what}"]) for what in ("bytes", "bytes, with headers")
        )
        assert bare == {size: GREETING * sent[size] for size in sent}
        assert whole == {size: (GREETING + 28) * sent[size] for size in sent}
        assert counted[0][f"start by gateways, {who}: bytes"].fit().slope > 0


def test_gateways_that_have_met_say_nothing_at_rest(counted):
    for name in RESTS:
        assert set(values(counted[0][name]).values()) == {0} and counted[0][name].fit().slope == 0


def test_an_ask_is_a_frame_each_way_and_so_is_one_served(counted):
    for way in ("sent", "received"):
        frame, bare, whole = (
            counted[0][f"asks by rate: {what}"]
            for what in (f"frames a second {way}", f"bytes a second {way}", f"bytes a second {way}, with headers")
        )
        for rate, sent in values(frame).items():
            assert 1.8 * rate < sent <= 2 * rate  # few share a frame with another
            items = rate * (ASK + ANSWER - 2 * wire.HEADER.size)
            assert values(bare)[rate] == pytest.approx(items + sent * wire.HEADER.size)
            assert values(whole)[rate] == pytest.approx(values(bare)[rate] + 28 * sent)
        assert bare.fit().slope > 0


@pytest.mark.parametrize("gateways", [3, 24])
def test_scripted_peers_make_a_gateway_say_what_modules_make_it_say(gateways):
    told = []
    for whole in (True, False):
        network = peer_frames.all_reply(gateways, whole)
        if whole:
            others = [module for index, module in network.modules.items() if index]
            assert all(peer.life for module in others for peer in module.links.peers.values()), "not all had met"
        network.run(60)
        assert all(peer.life for peer in network.modules[0].links.peers.values())
        told.append((network.sent, network.received))
    assert told[0] == told[1]


def test_an_ask_of_modules_costs_what_one_of_scripted_peers_does():
    told = []
    for whole in (True, False):
        network = peer_frames.all_reply(12, whole)
        network.run(60)
        network.count_anew()
        customer = next(c for c in range(999) if network.modules[0].quotas.owner(network.arrival(c))[0])
        network.ask(customer)
        network.run(5)
        assert (network.ok, network.not_sent_on) == (1, 0)
        told.append((network.sent, network.received))
    assert told[0] == told[1] == (peer_frames.Traffic(1, ASK), peer_frames.Traffic(1, ANSWER))


def test_lists_have_the_form_of_discovery_and_each_server_an_id_of_its_own():
    example = ["id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms"]  # PROTOCOL's
    rows, changes = server_lists.rows(41_000, 1), server_lists.changes(300, 1)
    assert len({row["id"] for row in rows}) == 41_000 and {row["state"] for row in rows} == {"up"}
    assert {row["state"] for row in changes} == {"up", "draining", "removed"}
    for row in rows[:300] + changes:
        assert (
            list(row) == example
            and Draft202012Validator(SERVER).is_valid(row)
            and parse_address(row["addr"])[1] == 8443
        )
        assert len(row["id"]) == len("s-5be2a07c")


def test_a_list_is_what_the_stand_in_answers():
    rows = server_lists.rows(20, 1)

    async def answered():
        with closing((stand_in := FakeDiscovery(rows)).sock):
            calls = [
                h11.Request(method="GET", target=f"/api/targets{query}", headers=[("Host", "a")])
                for query in ("", "?from=0&hold_ms=1")
            ]
            return [(await stand_in.answer(HttpMessage(call, b"")))[1] for call in calls]

    assert trio.run(answered) == [server_lists.body(1, True, rows), server_lists.body(1, False, rows)]
    compact = server_lists.body(1, True, rows, compact=True)
    assert json.loads(compact)["servers"] == rows and b" " not in compact


def test_lists_grow_with_their_servers_and_are_the_same_each_time():
    told: list[str] = []
    measures, held = server_lists.measure(told.append, small=True)
    assert told == [measure.name for measure in measures] == LISTS
    assert (measures, held) == server_lists.measure(lambda line: None, small=True)
    assert all(measure.fit().slope > 0 for measure in measures)
    wide, compact = measures[:2]
    assert all(values(wide)[size] > values(compact)[size] for size in values(wide))
    assert held["largest_body"] == LARGEST_BODY and held["sizes_at_largest_body"].keys() == {*LISTS}
