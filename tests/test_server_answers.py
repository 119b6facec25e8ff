"""Answers of servers that end, break or continue in unusual ways, as the gateway's clients see them."""

import socket
import struct
import threading
import time
from collections import defaultdict

import pytest
from fake_services import echo, rpc


def reset(handler):
    """Resets the connection of a request."""
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    handler.close_connection = True
    handler.connection.close()


def test_answer_without_a_length_is_complete_when_its_connection_ends_in_order(start_gateway):
    """Guards against treating an answer whose end is the end of its connection as a broken one."""

    def act(handler, body):
        handler.wfile.write(b"HTTP/1.1 200 OK\r\n\r\nall of it")
        handler.close_connection = True

    with start_gateway(act) as gateway:
        assert rpc(gateway.address, "POST", lane="hand", body=b"x")[:2] == (200, b"all of it")
        assert len(gateway.requests()) == 1


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n",
        b"HTTP/1.1 503 x\r\nX-Turned-Away: 1\r\n\r\n",
    ],
)
def test_answer_that_is_reset_is_incomplete_and_its_request_may_have_run(start_gateway, head):
    """Guards against passing on half an answer, and against a second run of an RPC that must run once at most."""

    def act(handler, body):
        handler.wfile.write(head + b"half")
        time.sleep(0.05)
        reset(handler)

    with start_gateway(act, act) as gateway:
        assert rpc(gateway.address, "POST", lane="hand", body=b"x")[0] == 502 and len(gateway.requests()) == 1
        assert rpc(gateway.address)[0] == 503 and len(gateway.requests()) > 2


@pytest.mark.parametrize("cell", [0, 1])
def test_answer_without_a_length_that_is_reset_may_have_run(start_gateway, cell):
    """Guards against taking a reset for the end of an answer, whatever came before it.

    An idempotent RPC runs again anywhere; a deduplicated one under its key, where servers drop the repeat, and nowhere
    else; a non-idempotent one never.
    """

    def act(handler, body):
        number = handler.headers["X-Txn"]
        with lock:
            runs[number].append(gateway.servers.index(handler.server))
            first = len(runs[number]) == 1
        if not first:
            return echo(handler, body)
        handler.wfile.write(b"HTTP/1.1 200 OK\r\n\r\nmade for " + number.encode() + b" ")
        time.sleep(0.05)
        reset(handler)
        return None

    runs = defaultdict(list)
    lock = threading.Lock()
    with start_gateway(act, act, states=[(1, {"cell": cell})]) as gateway:
        address = gateway.address
        assert rpc(address, "POST", lane="seal", X_Txn="seal", Idempotency_Key="k")[:2] == (200, b"made for seal ")
        assert rpc(address, X_Txn="read")[:2] == (200, b"made for read ")
        assert rpc(address, "POST", lane="hand", X_Txn="hand")[0] == 502
        assert [len(runs[lane]) for lane in ("read", "seal", "hand")] == [2, 2, 1]
        assert len({cell * server for server in runs["seal"]}) == 1
        assert {seen[2]["idempotency-key"] for seen in gateway.requests() if seen[2]["x-txn"] == "seal"} == {"k"}


def test_answer_that_never_ends_is_given_up_at_its_deadline(start_gateway):
    """Guards against a server that holds an RPC, and its client, for as long as it sends."""

    def act(handler, body):
        handler.wfile.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            handler.wfile.write(b"x")
            time.sleep(0.02)

    with start_gateway(act) as gateway:
        begun = time.monotonic()
        assert rpc(gateway.address, "POST", lane="hand", body=b"x")[0] == 502
        assert 1.4 < time.monotonic() - begun < 1.9


def test_surplus_answer_that_comes_late_is_discarded(start_gateway):
    """Guards against taking a second answer, written some milliseconds after the first, for that of the next RPC.

    The next RPC comes when it has just been written. How long a connection rests before it is used again, so that a
    surplus answer that is still on its way is seen in time, is checked in test_server_connections.py.
    """

    def act(handler, body):
        echo(handler, body)
        time.sleep(0.01)
        handler.reply(200, b"made for nobody")
        surplus_written.set()

    surplus_written = threading.Event()
    with start_gateway(act) as gateway:
        for number in range(8):
            surplus_written.clear()
            assert rpc(gateway.address, X_Txn=str(number))[1] == b"made for %d " % number
            assert surplus_written.wait(5)
