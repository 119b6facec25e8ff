"""Clients that send bad requests, send nothing, leave early, or are many."""

import random
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing

import pytest
import trio
import trio.testing
from client_sockets import open_socket
from fake_services import CUSTOMER, connection, echo, headers, raw, read_test_configuration, request_bytes, rpc

from oakfork.sockets.exchange import BadRequestError, Exchange, Waiter
from oakfork.sockets.http_connection import LARGEST_BODY, HttpMessage


def test_bad_requests_are_answered_or_their_connection_is_closed(start_gateway):
    """Guards against a crash, a hang or a wrong status for requests that break HTTP or the protocol."""
    too_large = b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (LARGEST_BODY + 1)
    smuggling = request_bytes(**{"Content-Length": "4", "Transfer-Encoding": "chunked"}) + b"0\r\n\r\n"
    with start_gateway(echo) as gateway:
        for data, expected in (
            (b"\x00\xff\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\n\r\n", b"400"),
            (b"GET /" + b"x" * 40_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", b"4"),
            (too_large, b"413"),
            (too_large + b"x" * (LARGEST_BODY + 1), b"413"),
            (smuggling + request_bytes(), b"400"),
            (smuggling.replace(b"HTTP/1.1", b"HTTP/1.0").replace(b"Content-Length: 4\r\n", b""), b"400"),
            (request_bytes(**{"X-Lane": "seal"}), b"400"),
            (request_bytes(**{"x-txn": "2"}), b"400"),
            (b"HEAD /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", b"405"),
            (b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", b"405"),
            (b"GET /-/nothing HTTP/1.1\r\nHost: a\r\n\r\n", b"404"),
            (b"GET /-/ready HTTP/1.0\r\n\r\n", b"200"),
            (request_bytes(**{"X-Lane": "nothing"}), b"400"),
            (request_bytes(**{"X-Tier": None}), b"400"),
            (request_bytes(**{"X-Remaining-Ms": "nan"}), b"400"),
            (request_bytes(**{"X-Txn": None}), b"400"),
            *(
                (request_bytes(**{"X-Call-Terms": terms}), b"400")
                for terms in (
                    "units=-1",
                    "units=0",
                    "units=3",
                    "units=1_0",
                    "units=nan",
                    "units=1,units=1",
                    "spread=0",
                    "spread=2",
                    "spread=0.5",
                    "first=1",
                    "first=x",
                )
            ),
            (request_bytes(**{"X-Remaining-Ms": "1e3"}), b"400"),
            (request_bytes().replace(b"client=", b"client=0&client="), b"400"),
            (request_bytes().replace(CUSTOMER.encode(), b"ffffffffffffffff"), b"400"),
            (request_bytes().replace(CUSTOMER.encode(), b"%ff"), b"400"),
            (request_bytes(**{"X-Remaining-Ms": "0"}), b"503"),
            (request_bytes().replace(b"HTTP/1.1\r\nHost: a", b"HTTP/1.0"), b"200"),
            (request_bytes(**{"Upgrade": "x", "Connection": "upgrade"}), b"200"),
            (request_bytes(**{"Expect": "100-continue"}), b"200"),
        ):
            received = raw(gateway.address, data)
            assert received.startswith(b"HTTP/1.1 " + expected), (data[:60], received[:60])
        assert raw(gateway.address, request_bytes() * 3, 3).count(b"made for") == 3  # written one after another
        assert raw(gateway.address, request_bytes(**{"X-Lane": "nothing"}) * 300, 300).count(b"HTTP/1.1 400") == 1
        many = "".join(f"h{i}: x\r\n" for i in range(1100)).encode()  # more than fit into one gathered write
        assert b"made for" in raw(gateway.address, request_bytes()[:-2] + many + b"\r\n")
        with closing(open_socket(gateway.address, timeout=0.3)) as flood:  # never reads
            with pytest.raises(TimeoutError):
                for _ in range(4000):
                    flood.sendall(b"GET /-/nothing HTTP/1.1\r\nHost: a\r\n\r\n" * 100)
            received = flood.recv(9000)
            assert received.count(b"HTTP/1.1 404") > 50
            assert b"HTTP/1.1 404 \r\ncontent-length: 0\r\n\r\n" * 50 in received
        with closing(open_socket(gateway.address)) as cut:
            cut.sendall(b"GET /api")
        assert rpc(gateway.address)[0] == 200


def test_bad_requests_reach_no_server(start_gateway):
    """Guards against smuggled, out-of-range and incomplete requests that are sent on."""
    with start_gateway(echo) as gateway:
        smuggling = request_bytes(**{"Content-Length": "4", "Transfer-Encoding": "chunked"}) + b"0\r\n\r\n"
        for data in (smuggling + request_bytes(), request_bytes(**{"X-Call-Terms": "units=1e9"}), request_bytes()[:-4]):
            raw(gateway.address, data)
        assert not gateway.requests()


def test_different_request_with_the_id_of_an_open_rpc_gets_409(start_gateway):
    """Guards against a server that takes a different request for a second copy of an open RPC."""

    def slow(handler, body):
        time.sleep(0.3)
        echo(handler, body)

    with start_gateway(slow, slow) as gateway:
        link = connection(gateway.address)
        link.request("GET", f"/api?client={CUSTOMER}", None, headers(X_Txn="7"))
        time.sleep(0.1)
        other = CUSTOMER[:-1] + "2"
        assert rpc(gateway.address, X_Txn="7", path=f"/api?client={other}")[0] == 409
        assert (
            rpc(gateway.address, X_Txn="7", tier="basic")[0] == 409
            and rpc(gateway.address, X_Txn="7", lane="seal", method="POST", Idempotency_Key="7")[0] == 409
        )
        assert rpc(gateway.address, X_Txn="8")[0] == 200
        assert link.getresponse().read() == b"made for 7 " and [seen[2]["x-txn"] for seen in gateway.requests()] == [
            "7",
            "8",
        ]
        assert rpc(gateway.address, X_Txn="7")[0] == 200
        gone = connection(gateway.address)
        gone.request("GET", f"/api?client={CUSTOMER}", None, headers(X_Txn="9"))
        time.sleep(0.1)
        gone.close()
        time.sleep(0.1)
        assert rpc(gateway.address, X_Txn="9")[0] == 200


def test_idle_and_incomplete_clients_are_closed_in_time(start_gateway):
    """Guards against clients that hold connections by sending nothing, or half a request."""

    def first_line_and_duration(data):
        begun = time.monotonic()
        received = raw(gateway.address, data, 2)
        return received[:12], time.monotonic() - begun

    with start_gateway(echo) as gateway:
        complete = request_bytes(**{"X-Txn": "2"})
        cases = (b"", request_bytes()[:-2], complete + request_bytes()[:-2], request_bytes(**{"X-Txn": "3"}))
        with ThreadPoolExecutor() as pool:
            ended = list(pool.map(first_line_and_duration, cases))
        assert [received for received, _ in ended] == [b"", b"HTTP/1.1 408", b"HTTP/1.1 200", b"HTTP/1.1 200"]
        assert all(1.5 < after < 2.9 for _, after in ended[:3]) and 2 < ended[3][1] < 7
        assert rpc(gateway.address)[0] == 200


def test_idle_clients_leave_room_for_others(start_gateway):
    """Guards against idle clients that use up the connection limit: 300 of them, with 256 descriptors in all."""
    with start_gateway(echo) as gateway:
        idle = [open_socket(gateway.address) for _ in range(300)]
        time.sleep(0.3)
        assert all(rpc(gateway.address)[0] == 200 for _ in range(5))
        for sock in idle:
            sock.close()


def test_connection_with_an_unread_request_is_not_closed_as_idle(start_gateway):
    """Guards against a close without an answer when more clients connect and ask at once than there is room for."""

    def slow(handler, body):
        time.sleep(0.2)
        echo(handler, body)

    with start_gateway(slow) as gateway:
        for _ in range(3):
            asking = [open_socket(gateway.address, timeout=3) for _ in range(120)]
            for number, sock in reversed([*enumerate(asking)]):  # different ids, since a repeated one gets 409 at once
                sock.sendall(request_bytes(**{"X-Remaining-Ms": "2000", "X-Txn": str(number)}))
            assert all(sock.recv(65536).startswith(b"HTTP/1.1 ") for sock in asking)
            for sock in asking:
                sock.close()


def test_random_heads_are_accepted_in_range_or_refused(tmp_path):
    """Guards against heads that raise anything but BadRequestError, or are accepted with values out of range."""

    async def main():
        names = gateway_configuration.names
        waiter = Waiter(print, bool)
        return Exchange(HttpMessage(head, b""), names, gateway_configuration.settings, waiter, trio.current_time())

    chance = random.Random(5)
    gateway_configuration = read_test_configuration(tmp_path)
    valid = {"x-lane": b"read", "x-tier": b"free", "x-txn": b"1", "x-remaining-ms": b"5", "x-call-terms": b"units=2"}

    class Head:
        method = b"GET"

    accepted = 0
    for _ in range(500):
        fields = dict(valid)
        for name in chance.sample(sorted(valid), chance.randrange(3)):
            fields[name] = bytes(chance.choice(b"0123456789=,.-einfa") for _ in range(chance.randrange(8)))
        head = Head()
        head.headers = [(name.encode(), value) for name, value in fields.items()]
        customer = b"%016x" % chance.getrandbits(34)
        head.target = (
            b"/api?client=" + customer[: chance.choice([16, 16, 16, 15])] + chance.choice([b"", b"&a=b", b"%"])
        )
        try:
            exchange = trio.run(main)
        except BadRequestError:
            continue
        accepted += 1
        assert 0 <= exchange.customer < 1 << 33 and 0 < exchange.units <= 2 and 0 <= exchange.time_left <= 20_000
    assert accepted > 20


def test_clients_that_leave_during_large_answers_disturb_no_other(start_gateway):
    """Guards against a failed write of a large answer that harms more than its own connection."""

    def act(handler, body):
        time.sleep(0.02)
        handler.reply(200, bytes(400_000))

    chance = random.Random(1)
    with start_gateway(act, act) as gateway:
        for _ in range(60):
            with closing(open_socket(gateway.address)) as sock:
                sock.sendall(request_bytes(**{"X-Txn": "%x" % chance.getrandbits(60)}))
                time.sleep(0.015 + chance.random() * 0.02)
        assert rpc(gateway.address)[:2] == (200, bytes(400_000)) and gateway.process.poll() is None
