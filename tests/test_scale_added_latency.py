"""Group "added": the time that a gateway adds, taken apart by what is wrapped from outside."""

import http.client
import inspect
import json
import subprocess
from types import SimpleNamespace

import pytest
import trio
from hypothesis import given, strategies as st

from oakfork import peer_codec as wire
from oakfork.decision.quotas import Quotas
from oakfork.lab.scale import added_latency, added_latency_gateways, traced_gateway
from oakfork.lab.scale.added_latency_backends import KEPT, ChangingList, Parties, Served, listed
from oakfork.lab.scale.added_latency_gateways import PROGRAM, TRACED, Row, Tier
from oakfork.lab.scale.slopes import load, store
from oakfork.lab.scale.traced_gateway import ASK, CALL_OUT, PARTS, QUEUE, WAY_BACK, Record, Trace
from oakfork.sockets import configuration

# All that traced_gateway.py wraps, by the name that the program gives it.
WRAPPED = {
    "oakfork.sockets.http_connection.HttpConnection.fill": "coroutine",
    "oakfork.sockets.http_connection.HttpConnection.write": "coroutine",
    "oakfork.sockets.http_connection.HttpConnection._push": "plain",
    "oakfork.sockets.client_connections.ClientConnection._take": "plain",
    "oakfork.sockets.exchange.Exchange.answer": "plain",
    "oakfork.sockets.decision_loop.DecisionLoop._take": "plain",
    "oakfork.sockets.decision_loop.DecisionLoop._send": "plain",
    "oakfork.sockets.decision_loop.DecisionLoop._finish": "plain",
    "oakfork.sockets.decision_loop.DecisionLoop._call_out": "coroutine",
    "oakfork.sockets.server_connections.ServerConnections.call": "coroutine",
    "oakfork.sockets.server_connections.ServerConnections._new": "coroutine",
    "oakfork.sockets.peers.PeerSocket.tell": "plain",
    "oakfork.decision.quotas.Quotas.received": "plain",
    "oakfork.decision.quotas.Quotas.admit": "generator",
    "oakfork.decision.rpcs.DecisionModule._probe_and_choose": "generator",
}


def kind(function):
    return (
        "coroutine"
        if inspect.iscoroutinefunction(function)
        else "generator"
        if inspect.isgeneratorfunction(function)
        else "plain"
    )


def test_every_wrapped_function_is_there_and_wrapped_as_what_it_is():
    rows = Trace().wraps()
    found = {f"{row.owner.__module__}.{row.owner.__qualname__}.{row.name}": row for row in rows}
    assert len(rows) == len(found)
    assert {name: kind(row.owner.__dict__[row.name]) for name, row in found.items()} == WRAPPED
    assert {name: kind(row.wrap(row.owner.__dict__[row.name])) for name, row in found.items()} == WRAPPED


STEPS = st.lists(st.sampled_from([*range(len(PARTS) - 1), "written", "failed", "answered", "end"]), max_size=30)


@given(STEPS)
def test_the_parts_of_a_record_add_up_whatever_happens(steps):
    record = Record("a", traced_gateway.perf_counter_ns())
    for step in (*steps, "end"):
        if step == "written":
            record.written()
        elif step in ("failed", "answered"):
            if record.out:
                record.over(step == "answered")
        elif step == "end":
            record.end(200)
        else:
            record.to(step)
    assert min(record.parts) >= 0 and sum(record.parts) == record.ended - record.begun


def test_the_time_of_an_rpc_is_that_of_its_call_out_while_one_is_out(monkeypatch):
    """A copy's look and start beside a call-out that is out take no time of the client's; the way back does."""
    ticks = iter(range(100, 10_000, 100))
    monkeypatch.setattr(traced_gateway, "perf_counter_ns", lambda: next(ticks))
    record = Record("a", 0)
    record.to(QUEUE)  # 100
    record.written()  # 200
    record.to(traced_gateway.LOOK)
    record.to(traced_gateway.START)
    record.written()  # the copy
    record.over(False)  # one of them fails
    assert record.part == CALL_OUT
    record.over(True)  # 300
    record.to(QUEUE)
    assert record.part == WAY_BACK
    record.end(200)  # 400
    record.end(503)
    assert dict(zip(PARTS, record.parts, strict=True)) == dict.fromkeys(PARTS, 0) | {
        "parse": 100,
        "queue": 100,
        "call-out": 100,
        "way back": 100,
    }
    assert record.told() == {
        "rpc": "a",
        "begun": 0,
        "ended": 400,
        "status": 200,
        "asks": 0,
        "replies": 0,
        "call_outs": 2,
        "connections": 0,
        "parts": record.parts,
    }


def test_a_module_s_generator_is_driven_as_without_the_wrap():
    """What it is sent and yields, its value, and that it is closed."""
    log = []

    def admit(module, rpc):
        try:
            log.append((yield 1))
            log.append((yield 2))
            return 3
        finally:
            log.append("closed")

    trace, rpc = Trace(), SimpleNamespace(request=SimpleNamespace(rpc=0), ask_serial=7)
    quotas = SimpleNamespace(owner=lambda ask: (2, 3))
    wrapped = trace._waits(traced_gateway.ADMISSION, traced_gateway.PACE)(admit)
    record = Record("a", traced_gateway.perf_counter_ns())
    for index_table in (
        None,
        SimpleNamespace(rpc_entries=[SimpleNamespace(external_id=SimpleNamespace(record=record))]),
    ):
        log.clear()
        trace.index_table = index_table
        run = wrapped(quotas, rpc)
        assert (run.send(None), run.send("x")) == (1, 2)
        with pytest.raises(StopIteration) as end:
            run.send("y")
        assert end.value.value == 3 and log == ["x", "y", "closed"]
        run = wrapped(quotas, rpc)
        next(run)
        run.close()
        assert log == ["x", "y", "closed", "closed"]
    assert record.asks == 3 and record.replies == 0 and not trace.asked


def test_an_ask_is_on_its_way_once_its_frame_leaves_and_its_owner_notes_what_it_took():
    trace, record, left = Trace(), Record("a", traced_gateway.perf_counter_ns()), []
    record.to(traced_gateway.PACE)
    trace.asked[2, 7] = record
    tell = trace._tell(lambda peers, peer, data: left.append(data))
    asks, other = (wire.pack(1, 1, 1, 1, [wire.pack_item(wire.Ask(serial, 5, 0, 1.0))]) for serial in (7, 8))
    for peer, data, part in ((2, other, "pace"), (1, asks, "pace"), (2, b"?", "pace"), (2, asks, "ask")):
        tell(None, peer, data)
        assert PARTS[record.part] == part
    assert left == [other, asks, b"?", asks] and not trace.asked
    received = trace._received(lambda quotas, sender, item: "taken")
    assert received(None, 1, wire.Ask(9, 5, 0, 1.0)) == "taken" == received(None, 1, wire.Return(5, 0, 1.0))
    for peer, count in ((2, 0), (1, 1), (1, 1)):
        tell(None, peer, wire.pack(1, 1, 1, 1, [wire.pack_item(wire.Answer(9, 0))]))
        assert len(trace.served) == count
    assert trace.served[0] > 0 and not trace.owed


def test_an_rpc_ends_when_its_answer_is_handed_to_the_socket():
    """Not where nobody waits for it any more; what goes to servers ends nothing."""
    trace, left = Trace(), []
    push = trace._push(lambda link, data: left.append(link.record.ended) or [])
    for waiting, status in ((True, 200), (False, None)):
        exchange = SimpleNamespace(record=Record("a", traced_gateway.perf_counter_ns()))
        push(exchange, [b"x"])
        answer = trace._answer(lambda exchange, given, waiting=waiting: waiting and push(exchange, [b"x"]))
        answer(exchange, SimpleNamespace(status=200))
        assert exchange.record.status == status and exchange.record.ended and trace.answering is None
    assert len(left) == 3 and left[0] == left[2] == 0 < left[1]


def test_records_are_bounded():
    trace, clients = Trace(), []

    def take(client, exchange):
        client.exchange = exchange

    wrapped = trace._client_take(take)
    for number in range(traced_gateway.MOST + 2):
        client = SimpleNamespace(exchange=None, link=SimpleNamespace(filled=1))
        wrapped(client, SimpleNamespace(id=b"%d" % number))
        clients.append(client)
    assert len(trace.records) == traced_gateway.MOST and trace.missed == 2
    assert clients[0].exchange.record.part == QUEUE and clients[-1].exchange.record is None
    assert json.loads(list(trace.lines())[-1]) == {"missed": 2, "served": []}


def test_those_who_watch_are_told_what_has_changed():
    async def main():
        agent = ChangingList([])
        agent.begin(listed(5, ["127.0.0.1:1", "127.0.0.1:2"]))
        agent.turn(3)
        news = json.loads(await agent._news(b"/api/targets?from=1&hold_ms=1000"))
        assert (news["version"], news["full"], [row["id"] for row in news["servers"]]) == (2, False, ["s-00000003"])
        quiet = json.loads(await agent._news(b"/api/targets?from=2&hold_ms=1"))
        assert (quiet["version"], quiet["full"], quiet["servers"]) == (2, False, [])
        for turn in range(KEPT + 1):
            agent.turn(turn % 5)
        behind = json.loads(await agent._news(b"/api/targets?from=1&hold_ms=1"))
        assert behind["full"] and len(behind["servers"]) == 5
        agent.sock.close()

    trio.run(main)


def test_a_client_s_time_is_taken_apart_by_what_servers_and_gateways_noted():
    row = Row("a", "127.0.0.1:1", 1_000_000, 9_000_000, "200")
    served = {"a": [Served("a", 1, 0, 500), Served("a", 2, 3_000_000, 5_000_000), Served("a", 3, 2_000_000, 8_000_000)]}
    assert added_latency._beside([row, row._replace(rpc="b")], served) == [6_000_000]  # the first answer in its time
    parts = [0] * len(PARTS)
    parts[ASK], parts[CALL_OUT] = 2_000_000, 4_000_000
    record = {"rpc": "a", "begun": 2_000_000, "ended": 8_000_000, "asks": 1, "replies": 1, "parts": parts}
    told = added_latency._parts([row], {"a": record})
    assert {name: figures["p50_ms"] for name, figures in told.items() if figures["count"]} == {
        "way in": 1.0,
        "ask": 2.0,
        "call-out": 4.0,
        "way out": 1.0,
    }
    assert told["look"] == {"p50_ms": None, "p99_ms": None, "count": 0}
    assert (
        added_latency._parts([row._replace(begun=3_000_000)], {"a": record})["way in"]["count"] == 0
    )  # another exchange
    direct, through = {"p50_ms": 1.0, "p99_ms": 2.0}, {"p50_ms": 3.0, "p99_ms": 9.0}
    assert added_latency._added(direct, through, {"p50_ms": 3.5, "p99_ms": 9.0}) == {
        "p50_ms": 2.0,
        "p99_ms": 8.0,
        "p99_over_p99_ms": 7.0,
        "tracing_p50_ms": 0.5,
        "tracing_p99_ms": 0.0,
    }
    with pytest.raises(added_latency.DrillProcessError, match="direct"):
        added_latency.client_of([], served, "direct")


# Real processes


@pytest.fixture
def processes(monkeypatch):
    """All that are started."""
    found = []

    class Seen(subprocess.Popen):
        def __init__(self, *args, **more):
            super().__init__(*args, **more)
            found.append(self)

    monkeypatch.setattr(subprocess, "Popen", Seen)
    return found


def customer_of(owner, gateways):
    """The first customer whose owner is this one."""
    quotas = SimpleNamespace(settings=SimpleNamespace(gateways=gateways))
    return next(
        customer
        for customer in range(999)
        if Quotas.owner(quotas, SimpleNamespace(customer=customer, first_gateway=0, spread=gateways))[0] == owner
    )


def exchanged(tier):
    """What a gateway answers to some requests, but for the advised wait, which goes by the clock."""
    ours, other = (f"/api?client={customer_of(owner, 2):016x}" for owner in (0, 1))
    whole = {"X-Lane": "read", "X-Tier": "basic", "X-Remaining-Ms": "20000", "X-Call-Terms": "units=1,spread=2,first=0"}
    asked = [
        ("GET", ours, {}, None),
        ("GET", other, {}, None),
        ("POST", ours, {}, b"abc"),
        ("POST", other, {}, b"x" * 9000),
        ("GET", ours, {"X-Tier": "spent"}, None),
        ("GET", ours, {"X-Tier": "spent"}, None),
        ("GET", other, {"X-Tier": "spent"}, None),
        ("GET", other, {"X-Tier": "spent"}, None),
        ("GET", ours, {"X-Tier": "none"}, None),
        ("GET", "/api", {}, None),
        ("GET", "/-/ready", {}, None),
        ("GET", "/-/x", {}, None),
        ("DELETE", ours, {}, None),
        ("OPTIONS", ours, {}, None),
    ]
    answers = []
    for number, (method, path, fields, body) in enumerate(asked):
        link = http.client.HTTPConnection(*configuration.parse_address(tier.listens[0]), timeout=20)
        link.request(method, path, body, whole | {"X-Txn": f"{number:016x}"} | fields)
        answer = link.getresponse()
        headers = {name.lower(): value for name, value in answer.getheaders()}
        answers.append((answer.status, answer.read(), headers | {"retry-after": "retry-after" in headers}))
        link.close()
    return answers


def test_tracing_leaves_answers_as_they_are_and_notes_each_rpc_whole(tmp_path, monkeypatch, processes):
    def more(aim_ms, settings=added_latency_gateways.settings):
        """A plan that is soon spent. No probes: where one is late at the start, whatever the machine's reason, the
        module sheds the RPC."""
        told = settings(aim_ms)
        spent = {"name": "spent", "refill": 0.0001, "peak-units": 1.0}
        return told | {
            "tiers-of-service": [*told["tiers-of-service"], spent],
            "limits": told["limits"] | {"probing": False},
        }

    monkeypatch.setattr(added_latency_gateways, "settings", more)
    answers, records = {}, []
    with Parties(2, 0.0) as parties:
        for module in (PROGRAM, TRACED):
            parties.do("list", servers=2, among=2)
            rows = listed(2, parties.addresses)
            with Tier(tmp_path, module.rpartition(".")[2], module, 2, parties.discovery, rows, 20_000.0) as tier:
                trio.run(tier.ready)
                answers[module] = exchanged(tier)
                records += tier.leave()
    assert answers[TRACED] == answers[PROGRAM]
    assert [status for status, _, _ in answers[PROGRAM]] == [200] * 4 + [200, 503] * 2 + [400, 400, 200, 404, 200, 405]
    assert all(process.poll() is not None for process in processes)
    noted = {record["rpc"]: record for record in records if "rpc" in record}
    assert sorted(noted) == [f"{number:016x}" for number in (*range(8), 12)]
    others = [record for record in records if "missed" in record]
    assert [(record["missed"], len(record["served"])) for record in others] == [(0, 0), (0, 4)]  # asks of the first
    for number, record in enumerate(noted[rpc] for rpc in sorted(noted)):
        parts = dict(zip(PARTS, record["parts"], strict=True))
        assert min(parts.values()) >= 0 and sum(parts.values()) == record["ended"] - record["begun"]
        passed = record["status"] == 200
        assert (record["status"], record["call_outs"]) == ((503, 0), (200, 1))[passed]
        always = {"parse", "queue", "decision", "admission", "way back"} | ({"start", "call-out"} if passed else set())
        assert all(parts[name] for name in always) and bool(parts["connection"]) == (record["connections"] > 0)
        by_other = number in (1, 3, 6, 7)
        assert (parts["ask"] > 0) == (parts["pace"] > 0) == (record["asks"] > 0) == by_other


def test_a_small_run_takes_the_time_apart_and_leaves_nothing_running(tmp_path, processes):
    lines = []
    measures, more = added_latency.measure(lines.append, small=True)
    assert processes and all(process.poll() is not None for process in processes)
    assert [measure.name for measure in measures] == [
        f"added by servers, {mode} changes: milliseconds, {which}"
        for mode in ("with", "without")
        for which in ("99 in 100", "median")
    ]
    assert all([size for size, _ in measure.points] == [1, 2, 3, 4] for measure in measures)
    assert len(lines) == 6 and lines[0].startswith("quiet day: added ") and lines[1].startswith("bad day: added ")
    for day in ("quiet", "bad"):
        told = more[day]
        assert list(told["parts"]) == ["way in", *PARTS, "way out"]
        for figures in told["parts"].values():
            assert not figures["count"] or 0 <= figures["p50_ms"] <= figures["p99_ms"]
        assert told["parts"]["call-out"]["count"] and told["parts"]["way in"]["count"]
        for name in ("direct", "through", "traced through"):
            assert told["answers"][name]["200"] >= told[name]["total"]["count"] > 0
            assert 0 < told[name]["beside the server"]["p50_ms"] < told[name]["total"]["p50_ms"]
        seen = told["traced through"]["gateway saw"]["count"]
        assert seen == told["parts"]["way in"]["count"] == told["traced through"]["total"]["count"]  # all are traced
    assert list(more["by servers"]) == ["4"] and set(more["by servers"]["4"]) == {"with changes", "without changes"}
    store(tmp_path, added_latency.GROUP, measures, more)
    assert set(load(tmp_path)) == {measure.name for measure in measures}
    assert json.loads((tmp_path / "added.json").read_text())["quiet"]["parts"] == more["quiet"]["parts"]
