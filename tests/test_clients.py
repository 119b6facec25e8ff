"""Clients of the program: bad ones, idle ones, many."""

import random
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing

import pytest
import trio
import trio.testing
from fake_services import CUSTOMER, connection, echo, headers, raw, request_bytes, rpc, surroundings

from oakfork.sockets import configuration
from oakfork.sockets.exchange import BadRequestError, Exchange
from oakfork.sockets.http_connection import LARGEST_BODY, HttpMessage


def test_bad_input_gets_an_answer_or_a_closed_connection(world):
    large = b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % (LARGEST_BODY + 1)
    hiding = request_bytes(**{"Content-Length": "4", "Transfer-Encoding": "chunked"}) + b"0\r\n\r\n"
    with world(echo) as w:
        for data, wanted in (
            (b"\x00\xff\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\n\r\n", b"400"),
            (b"GET /" + b"x" * 40_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", b"4"),
            (large, b"413"),
            (large + b"x" * (LARGEST_BODY + 1), b"413"),
            (hiding + request_bytes(), b"400"),
            (hiding.replace(b"HTTP/1.1", b"HTTP/1.0").replace(b"Content-Length: 4\r\n", b""), b"400"),
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
            got = raw(w.at, data)
            assert got.startswith(b"HTTP/1.1 " + wanted), (data[:60], got[:60])
        assert raw(w.at, request_bytes() * 3, 3).count(b"made for") == 3  # written one behind another
        assert raw(w.at, request_bytes(**{"X-Lane": "nothing"}) * 300, 300).count(b"HTTP/1.1 400") == 1
        many = "".join(f"h{i}: x\r\n" for i in range(1100)).encode()  # more than one gathered write takes
        assert b"made for" in raw(w.at, request_bytes()[:-2] + many + b"\r\n")
        with closing(socket.create_connection(configuration.parse_address(w.at), timeout=0.3)) as flood:  # never reads
            with pytest.raises(TimeoutError):
                for _ in range(4000):
                    flood.sendall(b"GET /-/nothing HTTP/1.1\r\nHost: a\r\n\r\n" * 100)
            got = flood.recv(9000)
            assert got.count(b"HTTP/1.1 404") > 50 and b"HTTP/1.1 404 \r\ncontent-length: 0\r\n\r\n" * 50 in got
        with closing(socket.create_connection(configuration.parse_address(w.at))) as cut:
            cut.sendall(b"GET /api")
        assert rpc(w.at)[0] == 200


def test_bad_input_reaches_no_server(world):
    with world(echo) as w:
        hiding = request_bytes(**{"Content-Length": "4", "Transfer-Encoding": "chunked"}) + b"0\r\n\r\n"
        for data in (hiding + request_bytes(), request_bytes(**{"X-Call-Terms": "units=1e9"}), request_bytes()[:-4]):
            raw(w.at, data)
        assert not w.seen()


def test_the_id_of_an_open_rpc_is_refused_to_other_requests(world):
    def slow(handler, body):
        time.sleep(0.3)
        echo(handler, body)

    with world(slow, slow) as w:
        link = connection(w.at)
        link.request("GET", f"/api?client={CUSTOMER}", None, headers(X_Txn="7"))
        time.sleep(0.1)
        other = CUSTOMER[:-1] + "2"
        assert rpc(w.at, X_Txn="7", path=f"/api?client={other}")[0] == 409
        assert (
            rpc(w.at, X_Txn="7", tier="basic")[0] == 409
            and rpc(w.at, X_Txn="7", lane="seal", method="POST", Idempotency_Key="7")[0] == 409
        )
        assert rpc(w.at, X_Txn="8")[0] == 200
        assert link.getresponse().read() == b"made for 7 " and [seen[2]["x-txn"] for seen in w.seen()] == ["7", "8"]
        assert rpc(w.at, X_Txn="7")[0] == 200
        gone = connection(w.at)
        gone.request("GET", f"/api?client={CUSTOMER}", None, headers(X_Txn="9"))
        time.sleep(0.1)
        gone.close()
        time.sleep(0.1)
        assert rpc(w.at, X_Txn="9")[0] == 200


def test_clients_that_say_nothing_or_half_are_closed_in_time(world):
    def ends(data):
        begun = time.monotonic()
        got = raw(w.at, data, 2)
        return got[:12], time.monotonic() - begun

    with world(echo) as w:
        whole = request_bytes(**{"X-Txn": "2"})
        cases = (b"", request_bytes()[:-2], whole + request_bytes()[:-2], request_bytes(**{"X-Txn": "3"}))
        with ThreadPoolExecutor() as pool:
            ended = list(pool.map(ends, cases))
        assert [got for got, _ in ended] == [b"", b"HTTP/1.1 408", b"HTTP/1.1 200", b"HTTP/1.1 200"]
        assert all(1.5 < after < 2.9 for _, after in ended[:3]) and 2 < ended[3][1] < 7
        assert rpc(w.at)[0] == 200


def test_idle_clients_leave_room_for_others(world):
    with world(echo) as w:
        idle = [socket.create_connection(configuration.parse_address(w.at)) for _ in range(300)]  # of 256 descriptors
        time.sleep(0.3)
        assert all(rpc(w.at)[0] == 200 for _ in range(5))
        for sock in idle:
            sock.close()


def test_a_request_that_waits_unread_is_no_idle_connection(world):
    """Many clients connect and ask at once, more than there is room for: none is closed without an answer."""

    def slow(handler, body):
        time.sleep(0.2)
        echo(handler, body)

    with world(slow) as w:
        for _ in range(3):
            asking = [socket.create_connection(configuration.parse_address(w.at), timeout=3) for _ in range(120)]
            for number, sock in reversed([*enumerate(asking)]):  # each its own id: others get 409 at once
                sock.sendall(request_bytes(**{"X-Remaining-Ms": "2000", "X-Txn": str(number)}))
            assert all(sock.recv(65536).startswith(b"HTTP/1.1 ") for sock in asking)
            for sock in asking:
                sock.close()


def test_random_heads_are_read_or_named_bad(tmp_path):
    async def main():
        return Exchange(HttpMessage(head, b""), here.names, here.settings, print)

    chance, here = random.Random(5), surroundings(tmp_path)
    good = {"x-lane": b"read", "x-tier": b"free", "x-txn": b"1", "x-remaining-ms": b"5", "x-call-terms": b"units=2"}

    class Head:
        method = b"GET"

    read = 0
    for _ in range(500):
        fields = dict(good)
        for name in chance.sample(sorted(good), chance.randrange(3)):
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
        read += 1
        assert 0 <= exchange.customer < 1 << 33 and 0 < exchange.units <= 2 and 0 <= exchange.time_left <= 20_000
    assert read > 20


def test_clients_that_leave_under_large_answers_cost_themselves_only(world):
    def act(handler, body):
        time.sleep(0.02)
        handler.reply(200, bytes(400_000))

    chance = random.Random(1)
    with world(act, act) as w:
        for _ in range(60):
            with closing(socket.create_connection(configuration.parse_address(w.at), timeout=5)) as sock:
                sock.sendall(request_bytes(**{"X-Txn": "%x" % chance.getrandbits(60)}))
                time.sleep(0.015 + chance.random() * 0.02)
        assert rpc(w.at)[:2] == (200, bytes(400_000)) and w.process.poll() is None
