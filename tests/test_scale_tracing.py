"""Tracing of a gateway: the functions that are wrapped, and the records that their wrappers keep."""

import inspect
import json
from types import SimpleNamespace

import pytest
from hypothesis import given, strategies as st

from oakfork import peer_codec
from oakfork.lab.scale import trace_records, traced_gateway
from oakfork.lab.scale.trace_records import CALL_OUT, PARTS, QUEUE, WAY_BACK, Record
from oakfork.lab.scale.traced_gateway import Trace

# The functions that traced_gateway.py wraps, by their names in the program.
WRAPPED = {
    "oakfork.sockets.http_connection.HttpConnection.fill": "coroutine",
    "oakfork.sockets.http_connection.HttpConnection.write": "coroutine",
    "oakfork.sockets.http_connection.HttpConnection._push": "plain",
    "oakfork.sockets.client_connection.ClientConnection._take": "plain",
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
    """How a function is called."""
    if inspect.iscoroutinefunction(function):
        return "coroutine"
    if inspect.isgeneratorfunction(function):
        return "generator"
    return "plain"


def test_wrapped_functions_exist_and_keep_their_kind():
    """A function that is renamed, or changed to a coroutine, must not be traced wrongly without notice."""
    wrapped = Trace().wrapped_functions()
    by_name = {f"{each.owner.__module__}.{each.owner.__qualname__}.{each.name}": each for each in wrapped}
    assert len(wrapped) == len(by_name)
    assert {name: kind(each.owner.__dict__[each.name]) for name, each in by_name.items()} == WRAPPED
    assert {name: kind(each.wrap(each.owner.__dict__[each.name])) for name, each in by_name.items()} == WRAPPED


STEPS = st.lists(st.sampled_from([*range(len(PARTS) - 1), "begun", "failed", "answered", "end"]), max_size=30)


@given(STEPS)
def test_parts_of_a_record_add_up_in_any_order_of_steps(steps):
    """No part is negative and their sum is the time from begin to end."""
    record = Record("a", traced_gateway.perf_counter_ns())
    for step in (*steps, "end"):
        if step == "begun":
            record.begin_call_out()
        elif step in ("failed", "answered"):
            if record.open_call_outs:
                record.end_call_out(step == "answered")
        elif step == "end":
            record.end(200)
        else:
            record.enter(step)
    assert min(record.parts) >= 0
    assert sum(record.parts) == record.ended - record.begun


def test_time_counts_as_the_call_out_while_one_is_open(monkeypatch):
    """Probing and starting a second copy beside an open call-out takes no time of the client's; the way back does."""
    ticks = iter(range(100, 10_000, 100))
    monkeypatch.setattr(trace_records, "perf_counter_ns", lambda: next(ticks))
    record = Record("a", 0)
    record.enter(QUEUE)  # 100
    record.begin_call_out()  # 200
    record.enter(trace_records.LOOK)
    record.enter(trace_records.START)
    record.begin_call_out()  # the copy
    record.end_call_out(False)  # one of them fails
    assert record.part == CALL_OUT
    record.end_call_out(True)  # 300
    record.enter(QUEUE)
    assert record.part == WAY_BACK
    record.end(200)  # 400
    record.end(503)
    assert dict(zip(PARTS, record.parts, strict=True)) == dict.fromkeys(PARTS, 0) | {
        "parse": 100,
        "queue": 100,
        "call-out": 100,
        "way back": 100,
    }
    assert record.as_dict() == {
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


def test_wrapped_generator_behaves_as_the_original():
    """What it is sent, what it yields and returns, and that it is closed, with a record and without."""
    log = []

    def admit(module, rpc):
        try:
            log.append((yield 1))
            log.append((yield 2))
            return 3
        finally:
            log.append("closed")

    trace = Trace()
    rpc = SimpleNamespace(request=SimpleNamespace(rpc=0), ask_serial=7)
    quotas = SimpleNamespace(owner=lambda ask: (2, 3))
    wrapped = trace._wrap_generator(trace_records.ADMISSION, trace_records.PACE)(admit)
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
        assert end.value.value == 3
        assert log == ["x", "y", "closed"]
        run = wrapped(quotas, rpc)
        next(run)
        run.close()
        assert log == ["x", "y", "closed", "closed"]
    assert record.asks == 3
    assert record.replies == 0
    assert not trace.waiting_asks


def test_ask_counts_from_its_frame_leaving_and_its_owner_records_its_time():
    """Only the frame with the ask, to its owner, ends the wait; the owner's time ends with the first answer."""
    trace = Trace()
    record = Record("a", traced_gateway.perf_counter_ns())
    sent = []
    record.enter(trace_records.PACE)
    trace.waiting_asks[2, 7] = record
    tell = trace._wrap_tell(lambda peers, peer, data: sent.append(data))
    asks, other = (
        peer_codec.pack(1, 1, 1, 1, [peer_codec.pack_item(peer_codec.Ask(serial, 5, 0, 1.0))]) for serial in (7, 8)
    )
    for peer, data, part in ((2, other, "pace"), (1, asks, "pace"), (2, b"?", "pace"), (2, asks, "ask")):
        tell(None, peer, data)
        assert PARTS[record.part] == part
    assert sent == [other, asks, b"?", asks]
    assert not trace.waiting_asks
    received = trace._wrap_received(lambda quotas, sender, item: "result")
    assert received(None, 1, peer_codec.Ask(9, 5, 0, 1.0)) == "result"
    assert received(None, 1, peer_codec.Return(5, 0, 1.0)) == "result"
    for peer, count in ((2, 0), (1, 1), (1, 1)):
        tell(None, peer, peer_codec.pack(1, 1, 1, 1, [peer_codec.pack_item(peer_codec.Answer(9, 0))]))
        assert len(trace.served) == count
    assert trace.served[0] > 0
    assert not trace.unanswered_asks


def test_record_ends_when_its_answer_is_passed_to_the_socket():
    """It has no status where no client waits any more, and data sent to servers does not end it."""
    trace = Trace()
    ended = []
    push = trace._wrap_push(lambda connection, data: ended.append(connection.record.ended) or [])
    for waiting, status in ((True, 200), (False, None)):
        exchange = SimpleNamespace(record=Record("a", traced_gateway.perf_counter_ns()))
        push(exchange, [b"x"])
        answer = trace._wrap_answer(lambda exchange, response, waiting=waiting: waiting and push(exchange, [b"x"]))
        answer(exchange, SimpleNamespace(status=200))
        assert exchange.record.status == status
        assert exchange.record.ended
        assert trace.answering is None
    assert len(ended) == 3
    assert ended[0] == ended[2] == 0 < ended[1]


def test_number_of_records_is_bounded():
    """RPCs beyond the bound are served and counted, without a record."""
    trace = Trace()
    clients = []

    def take(client, exchange):
        client.exchange = exchange

    wrapped = trace._wrap_client_take(take)
    for number in range(traced_gateway.MAX_RECORDS + 2):
        client = SimpleNamespace(exchange=None, link=SimpleNamespace(filled=1))
        wrapped(client, SimpleNamespace(id=b"%d" % number))
        clients.append(client)
    assert len(trace.records) == traced_gateway.MAX_RECORDS
    assert trace.missed == 2
    assert clients[0].exchange.record.part == QUEUE
    assert clients[-1].exchange.record is None
    assert json.loads(list(trace.lines())[-1]) == {"missed": 2, "served": []}
