"""Costs that are counted: frames between gateways, and the lists that discovery sends."""

import json
from contextlib import closing

import h11
import pytest
import trio
from jsonschema import Draft202012Validator

from oakfork import peer_codec
from oakfork.configuration_schema import SERVER
from oakfork.lab.fake_services import FakeDiscovery
from oakfork.lab.scale import peer_frames, server_lists
from oakfork.sockets.configuration import parse_address
from oakfork.sockets.http_connection import LARGEST_BODY, HttpMessage

# The measures that the capacity page reads.
STARTS = [
    f"start by gateways, {who}: {what}"
    for who in ("none replies", "all reply")
    for what in ("bytes", "bytes, with headers", "frames")
]
RESTS = [f"rest by gateways: {what}" for what in ("bytes a second", "bytes a second, with headers", "frames a second")]
ASKS = [
    f"asks by rate: {what}"
    for direction in ("sent", "received")
    for what in (
        f"bytes a second {direction}",
        f"bytes a second {direction}, with headers",
        f"frames a second {direction}",
    )
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
# Bytes of frames
GREETING = peer_codec.HEADER.size
ASK = peer_codec.HEADER.size + 1 + peer_codec.LAYOUT[peer_codec.ASK].size
ANSWER = peer_codec.HEADER.size + 1 + peer_codec.LAYOUT[peer_codec.ANSWER].size


@pytest.fixture(scope="module")
def counted():
    """One small measurement: measures by name, and what holds of the run."""
    lines: list[str] = []
    measures, held = peer_frames.measure(lines.append, small=True)
    assert lines == [measure.name for measure in measures]
    return {measure.name: measure for measure in measures}, held


def values(measure):
    """The single value at each size."""
    return {size: value for size, (value,) in measure.points}


def test_frame_counts_are_reproducible(counted):
    """The same run always counts the same, has the measures of the page, and answers every RPC."""
    again, held = peer_frames.measure(lambda line: None, small=True)
    assert again == list(counted[0].values())
    assert held == counted[1]
    assert {*STARTS, *RESTS, *ASKS} <= counted[0].keys()
    assert held["rpcs"] == held["rpcs_ok"] > 0 == held["rpcs_not_sent_on"]


def test_gateway_greets_each_peer_once_and_repeats_to_silent_ones(counted):
    """One greeting to each peer that replies, and between 4 and 12 in the first minute to one that does not."""
    met, silent = (values(counted[0][f"start by gateways, {who}: frames"]) for who in ("all reply", "none replies"))
    assert met == {size: size - 1 for size in met}
    assert all(4 * met[size] < silent[size] < 12 * met[size] for size in met)
    for who, sent in (("all reply", met), ("none replies", silent)):
        payload, with_headers = (
            values(counted[0][f"start by gateways, {who}: {what}"]) for what in ("bytes", "bytes, with headers")
        )
        assert payload == {size: GREETING * sent[size] for size in sent}
        assert with_headers == {size: (GREETING + 28) * sent[size] for size in sent}
        assert counted[0][f"start by gateways, {who}: bytes"].fit().slope > 0


def test_gateways_that_have_met_send_nothing_at_rest(counted):
    """Links without RPCs cost no frame once all gateways have heard each other."""
    for name in RESTS:
        assert set(values(counted[0][name]).values()) == {0}
        assert counted[0][name].fit().slope == 0


def test_ask_takes_one_frame_each_way(counted):
    """Asks sent and asks served: a frame each way, of which few are shared with another."""
    for direction in ("sent", "received"):
        frames, payload, with_headers = (
            counted[0][f"asks by rate: {what}"]
            for what in (
                f"frames a second {direction}",
                f"bytes a second {direction}",
                f"bytes a second {direction}, with headers",
            )
        )
        for rate, sent in values(frames).items():
            assert 1.8 * rate < sent <= 2 * rate
            items = rate * (ASK + ANSWER - 2 * peer_codec.HEADER.size)
            assert values(payload)[rate] == pytest.approx(items + sent * peer_codec.HEADER.size)
            assert values(with_headers)[rate] == pytest.approx(values(payload)[rate] + 28 * sent)
        assert payload.fit().slope > 0


@pytest.mark.parametrize("gateways", [3, 24])
def test_scripted_peers_cause_the_same_frames_as_modules(gateways):
    """A restart among scripted peers costs the same frames and bytes as among real modules."""
    traffic = []
    for all_modules in (True, False):
        network = peer_frames.all_reply(gateways, all_modules)
        if all_modules:
            others = [module for index, module in network.modules.items() if index]
            assert all(peer.life for module in others for peer in module.links.peers.values()), "not all had met"
        network.run(60)
        assert all(peer.life for peer in network.modules[0].links.peers.values())
        traffic.append((network.sent, network.received))
    assert traffic[0] == traffic[1]


def test_ask_costs_the_same_with_scripted_peers_as_with_modules():
    """An ask is one frame each way, whether a module or a script answers it."""
    traffic = []
    for all_modules in (True, False):
        network = peer_frames.all_reply(12, all_modules)
        network.run(60)
        network.reset_counts()
        customer = next(c for c in range(999) if network.modules[0].quotas.owner(network.arrival(c))[0])
        network.ask(customer)
        network.run(5)
        assert (network.ok, network.not_sent_on) == (1, 0)
        traffic.append((network.sent, network.received))
    assert traffic[0] == traffic[1] == (peer_frames.Traffic(1, ASK), peer_frames.Traffic(1, ANSWER))


def test_lists_have_the_form_of_discovery_and_unique_ids():
    """Generated entries are valid, have the fields of the protocol's example in its order, and ids of its length."""
    example = ["id", "addr", "zone", "kind", "cell", "state", "weight", "started_ms"]
    rows = server_lists.rows(41_000, 1)
    changes = server_lists.changes(300, 1)
    assert len({row["id"] for row in rows}) == 41_000
    assert {row["state"] for row in rows} == {"up"}
    assert {row["state"] for row in changes} == {"up", "draining", "removed"}
    for row in rows[:300] + changes:
        assert list(row) == example
        assert Draft202012Validator(SERVER).is_valid(row)
        assert parse_address(row["addr"])[1] == 8443
        assert len(row["id"]) == len("s-5be2a07c")


def test_counted_body_is_what_the_fake_discovery_service_answers():
    """The counted bytes are those of a real answer; the compact form has the same content without blanks."""
    rows = server_lists.rows(20, 1)

    async def request_lists():
        discovery = FakeDiscovery(rows)
        with closing(discovery.sock):
            calls = [
                h11.Request(method="GET", target=f"/api/targets{query}", headers=[("Host", "a")])
                for query in ("", "?from=0&hold_ms=1")
            ]
            return [(await discovery.answer(HttpMessage(call, b"")))[1] for call in calls]

    assert trio.run(request_lists) == [server_lists.body(1, True, rows), server_lists.body(1, False, rows)]
    compact = server_lists.body(1, True, rows, compact=True)
    assert json.loads(compact)["servers"] == rows
    assert b" " not in compact


def test_list_sizes_grow_with_servers_and_are_reproducible():
    """The same run counts the same bytes, a compact list is smaller, and the bound of an answer is stored."""
    lines: list[str] = []
    measures, held = server_lists.measure(lines.append, small=True)
    assert lines == [measure.name for measure in measures] == LISTS
    assert (measures, held) == server_lists.measure(lambda line: None, small=True)
    assert all(measure.fit().slope > 0 for measure in measures)
    spaced, compact = measures[:2]
    assert all(values(spaced)[size] > values(compact)[size] for size in values(spaced))
    assert held["largest_body"] == LARGEST_BODY
    assert held["sizes_at_largest_body"].keys() == {*LISTS}
