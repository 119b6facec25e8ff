"""Group "added": the figures of the time that a gateway adds, and small measurements with real processes."""

import http.client
import json
import subprocess
from types import SimpleNamespace

import pytest
import trio

from oakfork.decision.quotas import Quotas
from oakfork.errors import DrillProcessError
from oakfork.lab.scale import added_latency, added_latency_figures, added_latency_gateways
from oakfork.lab.scale.added_latency_backends import KEPT_CHANGES, Backends, ChangingList, ServedRpc, server_entries
from oakfork.lab.scale.added_latency_gateways import PROGRAM, TRACED, GatewayTier, RpcTiming
from oakfork.lab.scale.slopes import load, store
from oakfork.lab.scale.trace_records import ASK, CALL_OUT, PARTS
from oakfork.sockets import configuration


def test_watch_is_answered_with_the_changes():
    """A watch gets the changed entries, none when its hold ends, and the whole list if it is too far behind."""

    async def main():
        discovery = ChangingList([])
        discovery.begin(server_entries(5, ["127.0.0.1:1", "127.0.0.1:2"]))
        discovery.change_server(3)
        news = json.loads(await discovery._changes_since(b"/api/targets?from=1&hold_ms=1000"))
        assert (news["version"], news["full"], [row["id"] for row in news["servers"]]) == (2, False, ["s-00000003"])
        quiet = json.loads(await discovery._changes_since(b"/api/targets?from=2&hold_ms=1"))
        assert (quiet["version"], quiet["full"], quiet["servers"]) == (2, False, [])
        for number in range(KEPT_CHANGES + 1):
            discovery.change_server(number % 5)
        behind = json.loads(await discovery._changes_since(b"/api/targets?from=1&hold_ms=1"))
        assert behind["full"]
        assert len(behind["servers"]) == 5
        discovery.sock.close()

    trio.run(main)


def test_client_time_is_broken_down_by_records_of_servers_and_gateways():
    """Only records of the same exchange count, and of several servers the first answer within the RPC's time."""
    timing = RpcTiming("a", "127.0.0.1:1", 1_000_000, 9_000_000, "200")
    served = {
        "a": [
            ServedRpc("a", 1, 0, 500),
            ServedRpc("a", 2, 3_000_000, 5_000_000),
            ServedRpc("a", 3, 2_000_000, 8_000_000),
        ]
    }
    assert added_latency_figures._beside_server([timing, timing._replace(rpc="b")], served) == [6_000_000]
    parts = [0] * len(PARTS)
    parts[ASK] = 2_000_000
    parts[CALL_OUT] = 4_000_000
    record = {"rpc": "a", "begun": 2_000_000, "ended": 8_000_000, "asks": 1, "replies": 1, "parts": parts}
    by_part = added_latency_figures.part_figures([timing], {"a": record})
    assert {name: figures["p50_ms"] for name, figures in by_part.items() if figures["count"]} == {
        "way in": 1.0,
        "ask": 2.0,
        "call-out": 4.0,
        "way out": 1.0,
    }
    assert by_part["look"] == {"p50_ms": None, "p99_ms": None, "count": 0}
    other_exchange = timing._replace(begun=3_000_000)
    assert added_latency_figures.part_figures([other_exchange], {"a": record})["way in"]["count"] == 0
    direct = {"p50_ms": 1.0, "p99_ms": 2.0}
    through = {"p50_ms": 3.0, "p99_ms": 9.0}
    assert added_latency_figures.added_figures(direct, through, {"p50_ms": 3.5, "p99_ms": 9.0}) == {
        "p50_ms": 2.0,
        "p99_ms": 8.0,
        "p99_over_p99_ms": 7.0,
        "tracing_p50_ms": 0.5,
        "tracing_p99_ms": 0.0,
    }
    with pytest.raises(DrillProcessError, match="direct"):
        added_latency_figures.client_figures([], served, "direct")


# Real processes


@pytest.fixture
def processes(monkeypatch):
    """All processes that the test starts."""
    started = []

    class RecordedPopen(subprocess.Popen):
        """A process that is listed when it is started."""

        def __init__(self, *args, **keywords):
            super().__init__(*args, **keywords)
            started.append(self)

    monkeypatch.setattr(subprocess, "Popen", RecordedPopen)
    return started


def customer_of(owner, gateways):
    """The first customer whose owner is that gateway."""
    quotas = SimpleNamespace(settings=SimpleNamespace(gateways=gateways))
    return next(
        customer
        for customer in range(999)
        if Quotas.owner(quotas, SimpleNamespace(customer=customer, first_gateway=0, spread=gateways))[0] == owner
    )


def exchange_requests(tier):
    """A gateway's answers to some requests, without the advised wait, which depends on the clock."""
    own, other = (f"/api?client={customer_of(owner, 2):016x}" for owner in (0, 1))
    defaults = {
        "X-Lane": "read",
        "X-Tier": "basic",
        "X-Remaining-Ms": "20000",
        "X-Call-Terms": "units=1,spread=2,first=0",
    }
    requests = [
        ("GET", own, {}, None),
        ("GET", other, {}, None),
        ("POST", own, {}, b"abc"),
        ("POST", other, {}, b"x" * 9000),
        ("GET", own, {"X-Tier": "spent"}, None),
        ("GET", own, {"X-Tier": "spent"}, None),
        ("GET", other, {"X-Tier": "spent"}, None),
        ("GET", other, {"X-Tier": "spent"}, None),
        ("GET", own, {"X-Tier": "none"}, None),
        ("GET", "/api", {}, None),
        ("GET", "/-/ready", {}, None),
        ("GET", "/-/x", {}, None),
        ("DELETE", own, {}, None),
        ("OPTIONS", own, {}, None),
    ]
    answers = []
    for number, (method, path, fields, body) in enumerate(requests):
        connection = http.client.HTTPConnection(*configuration.parse_address(tier.listens[0]), timeout=20)
        connection.request(method, path, body, defaults | {"X-Txn": f"{number:016x}"} | fields)
        answer = connection.getresponse()
        headers = {name.lower(): value for name, value in answer.getheaders()}
        answers.append((answer.status, answer.read(), headers | {"retry-after": "retry-after" in headers}))
        connection.close()
    return answers


def test_tracing_leaves_answers_unchanged_and_records_each_rpc(tmp_path, monkeypatch, processes):
    """A traced gateway answers as the program does, and its records are complete: parts, asks and call-outs."""

    def settings_with_spent_plan(aim_ms, settings=added_latency_gateways.settings):
        """Adds a plan that is soon used up, and turns probes off.

        Where a probe is late at the start, because the machine is slow, the module sheds the RPC.
        """
        document = settings(aim_ms)
        spent = {"name": "spent", "refill": 0.0001, "peak-units": 1.0}
        return document | {
            "tiers-of-service": [*document["tiers-of-service"], spent],
            "limits": document["limits"] | {"probing": False},
        }

    monkeypatch.setattr(added_latency_gateways, "settings", settings_with_spent_plan)
    answers = {}
    records = []
    with Backends(2, 0.0) as backends:
        for module in (PROGRAM, TRACED):
            backends.do("list", servers=2, among=2)
            servers = server_entries(2, backends.addresses)
            name = module.rpartition(".")[2]
            with GatewayTier(tmp_path, name, module, 2, backends.discovery, servers, 20_000.0) as tier:
                trio.run(tier.ready)
                answers[module] = exchange_requests(tier)
                records += tier.leave()
    assert answers[TRACED] == answers[PROGRAM]
    assert [status for status, _, _ in answers[PROGRAM]] == [200] * 4 + [200, 503] * 2 + [400, 400, 200, 404, 200, 405]
    assert all(process.poll() is not None for process in processes)
    by_rpc = {record["rpc"]: record for record in records if "rpc" in record}
    assert sorted(by_rpc) == [f"{number:016x}" for number in (*range(8), 12)]
    others = [record for record in records if "missed" in record]
    assert [(record["missed"], len(record["served"])) for record in others] == [(0, 0), (0, 4)]  # asks of the first
    for number, record in enumerate(by_rpc[rpc] for rpc in sorted(by_rpc)):
        parts = dict(zip(PARTS, record["parts"], strict=True))
        assert min(parts.values()) >= 0
        assert sum(parts.values()) == record["ended"] - record["begun"]
        passed = record["status"] == 200
        assert (record["status"], record["call_outs"]) == ((200, 1) if passed else (503, 0))
        always = {"parse", "queue", "decision", "admission", "way back"} | ({"start", "call-out"} if passed else set())
        assert all(parts[name] for name in always)
        assert bool(parts["connection"]) == (record["connections"] > 0)
        by_other = number in (1, 3, 6, 7)
        assert (parts["ask"] > 0) == (parts["pace"] > 0) == (record["asks"] > 0) == by_other


def test_small_measurement_has_all_figures_and_leaves_no_process(tmp_path, processes):
    """Measures, parts and answers of both days are consistent, survive storing, and every process has ended."""
    lines = []
    measures, run_facts = added_latency.measure(lines.append, small=True)
    assert processes
    assert all(process.poll() is not None for process in processes)
    assert [measure.name for measure in measures] == [
        f"added by servers, {mode} changes: milliseconds, {which}"
        for mode in ("with", "without")
        for which in ("99 in 100", "median")
    ]
    assert all([size for size, _ in measure.points] == [1, 2, 3, 4] for measure in measures)
    assert len(lines) == 6
    assert lines[0].startswith("quiet day: added ")
    assert lines[1].startswith("bad day: added ")
    for day in ("quiet", "bad"):
        figures = run_facts[day]
        assert list(figures["parts"]) == ["way in", *PARTS, "way out"]
        for part in figures["parts"].values():
            assert not part["count"] or 0 <= part["p50_ms"] <= part["p99_ms"]
        assert figures["parts"]["call-out"]["count"]
        assert figures["parts"]["way in"]["count"]
        for name in ("direct", "through", "traced through"):
            assert figures["answers"][name]["200"] >= figures[name]["total"]["count"] > 0
            assert 0 < figures[name]["beside the server"]["p50_ms"] < figures[name]["total"]["p50_ms"]
        seen = figures["traced through"]["gateway saw"]["count"]
        assert (
            seen == figures["parts"]["way in"]["count"] == figures["traced through"]["total"]["count"]
        )  # all are traced
    assert list(run_facts["by servers"]) == ["4"]
    assert set(run_facts["by servers"]["4"]) == {"with changes", "without changes"}
    store(tmp_path, added_latency.GROUP, measures, run_facts)
    assert set(load(tmp_path)) == {measure.name for measure in measures}
    assert json.loads((tmp_path / "added.json").read_text())["quiet"]["parts"] == run_facts["quiet"]["parts"]
