"""The clients' side of the page's final form: kills, forms and pieces of messages, and that no request is left."""

import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from collections import Counter, defaultdict
from contextlib import closing, contextmanager, suppress

import pytest
import structlog
import trio
import trio.testing
from fake_services import (
    CUSTOMER,
    FakeDiscovery,
    FakeService,
    echo,
    entry,
    free_port,
    request_bytes,
    rpc,
    settings,
    started,
    told,
    until,
)
from test_closes import listening
from test_discovery import agents, here_of, taken

from oakfork.sockets import configuration, discovery as watches
from oakfork.sockets.exchange import Answer
from oakfork.sockets.http_connection import LARGEST_BODY
from oakfork.sockets.messages import RpcReceived, ServersListed

TERMS = {"X_Call_Terms": "units=1,spread=2,first=0", "tier": "basic"}


@contextmanager
def first_life(folder, configured):
    """The program, whose end is the test's."""
    path = folder / f"{configured['name']}.json"
    path.write_text(json.dumps(configured))
    environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
    process = subprocess.Popen([sys.executable, "-m", "oakfork"], env=environment | {"LB_CONFIG": str(path)})
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def ready(at):
    with suppress(OSError):
        return rpc(at, path="/-/ready")[0] == 200
    return False


def opened(at, data):
    sock = socket.create_connection(configuration.parse_address(at), timeout=5)
    sock.sendall(data)
    return sock


def rest(sock):
    """What still comes, whether the connection ends in order or not."""
    got = b""
    with closing(sock), suppress(ConnectionError):
        while more := sock.recv(65536):
            got += more
    return got


def posted(number, lane, **more):
    fields = {"X-Txn": number, "X-Lane": lane, "X-Remaining-Ms": "8000"} | more
    return request_bytes(**fields).replace(b"GET", b"POST")


def test_what_a_gateway_killed_after_an_accept_had_runs_once_at_most_and_a_second_life_serves_at_once(tmp_path):
    """Killed with requests sent on, accepted and hardly read, accepted by its machine only. The other gateway, which
    shares all customers with it, serves on; the second life takes the address with the ends of connections on it."""

    def act(handler, body):
        if handler.headers["X-Txn"] in ("sent-on", "keyed"):
            release.wait(20)
        echo(handler, body)

    def ran(number):
        return sum(seen[2].get("x-txn") == number for seen in list(server.seen))

    def customers(where):
        return [rpc(where, path=f"/api?client={number:016x}", **TERMS)[0] for number in range(8)]

    server, release = FakeService(act), threading.Event()
    rows = [entry(0, server.address)]
    discovery, peers = FakeDiscovery(rows), [free_port(socket.SOCK_DGRAM) for _ in range(2)]
    both = [
        told(
            discovery.address,
            rows,
            name=f"n{i}",
            peers=peers,
            peer_listen=peers[i],
            seed=f"{i + 1:x}",
            settings=settings(2, i, aim=4000.0),
        )
        for i in range(2)
    ]
    at, other = (configured["listen"] for configured in both)
    with started(tmp_path, both[1]):
        with first_life(tmp_path, both[0]) as process:
            assert until(lambda: ready(at))
            with closing(opened(at, request_bytes(**{"X-Lane": "nothing"}))) as ended:
                assert ended.recv(4096).startswith(b"HTTP/1.1 400")  # ended by the gateway: its address stays taken
            waiting = [
                opened(at, posted("sent-on", "hand")),
                opened(at, posted("keyed", "seal", **{"Idempotency-Key": "k"})),
            ]
            assert until(lambda: ran("sent-on") and ran("keyed"))
            waiting.append(opened(at, posted("accepted", "hand")[:-2]))
            assert ready(at)  # taken in after it
            waiting[-1].sendall(b"\r\n")
            process.send_signal(signal.SIGSTOP)
            waiting.append(opened(at, posted("backlog", "hand")))
            process.kill()
            assert process.wait(5) == -signal.SIGKILL
            assert [rest(sock) for sock in waiting] == [b""] * 4
        alone = customers(other)
        assert set(alone) <= {200, 503} and alone.count(200) >= 4
        with started(tmp_path, both[0]):
            assert rpc(at)[0] == rpc(other)[0] == 200
            # The client's own retry on the new life, under the same key: whether it has run is for the server to say.
            assert rpc(at, "POST", lane="seal", X_Txn="retry", X_Resent="1", Idempotency_Key="k")[0] == 200
            assert set(customers(at) + customers(other)) <= {200, 503}
            release.set()
            assert rpc(at)[0] == rpc(other)[0] == 200
            assert ran("sent-on") == ran("keyed") == 1 and ran("accepted") <= 1 and ran("backlog") == 0
            assert sum(seen[2].get("idempotency-key") == "k" for seen in list(server.seen)) == 2
    for party in (server, discovery):
        party.shutdown()
        party.server_close()


def form(number, start="GET", lane="read", lines=(), body=b"", version="1.1", target=f"/api?client={CUSTOMER}"):
    """A request of the protocol in one of its forms, and what a server has to get: method, target, body."""
    fields = ["Host: app.svc", f"X-Txn: {number}", f"X-Lane: {lane}", "X-Tier: free", "X-Remaining-Ms: 2000", *lines]
    if start == "POST":
        fields.append("Idempotency-Key: k")
    data = "\r\n".join([f"{start} {target} HTTP/{version}", *fields, "", ""]).encode()
    return data + body, (start, target, number, body)


def cased(data, change):
    """With the names of its headers changed."""
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    lines = [change(name) + b":" + value for name, _, value in (line.partition(b":") for line in lines)]
    return b"\r\n".join([first, *lines]) + b"\r\n\r\n" + body


def chunked(body, sizes, extension=b"", trailer=b""):
    told, at = b"", 0
    for size in sizes:
        piece, at = body[at : at + size], at + size
        told += b"%X%b\r\n%b\r\n" % (len(piece), extension, piece) if piece else b""
    return told + b"0%b\r\n%b\r\n" % (extension, trailer)


def forms():
    """All forms after which the connection stays open, and those that end it."""
    body, large = bytes(range(256)), bytes(range(256)) * 256
    length, chunks = [f"Content-Length: {len(body)}"], ["Transfer-Encoding: chunked"]
    kept = [
        form(f"{number:x}", *told)
        for number, told in enumerate(
            (
                ("GET",),
                ("GET", "read", ["Content-Length: 0"]),
                ("GET", "read", ["X-Call-Terms: first=0, spread=1, units=1"]),
                ("GET", "read", [f"X-Other-{number}: {number}" for number in range(150)]),
                ("POST", "seal", length, body),
                ("POST", "hand", length, body),
                ("POST", "hand", ["Content-Length: 0"]),
                ("POST", "hand", [*length, "Expect: 100-continue"], body),
                ("GET", "read", ["X-Resent: 1"]),
                ("GET", "read", (), b"", "1.1", f"/api?a=%20&client={CUSTOMER.upper()}&b=c"),
                ("GET", "read", (), b"", "1.1", f"http://app.svc/api?client={CUSTOMER}"),
            )
        )
    ]
    plain, wanted = form("20")
    kept += [(cased(plain, bytes.upper), wanted)]
    plain, wanted = form("21", "POST", "hand", length, body)
    kept += [(cased(plain, bytes.lower), wanted)]
    plain, wanted = form("22")
    kept += [
        (plain.replace(b": read", b":\t  read \t"), wanted),
    ]
    for number, (sizes, more) in enumerate(
        (((256,), {}), ([1] * 256, {}), ((200, 56), {"extension": b";a=b", "trailer": b"X-Sum: 1\r\n"}))
    ):
        head, wanted = form(f"3{number}", "POST", "seal", chunks)
        kept.append((head + chunked(body, sizes, **more), (*wanted[:3], body)))
    last = [
        form("40", version="1.0"),
        form("41", lines=["Connection: close"]),
        form("42", "POST", "hand", [*length, "connection: CLOSE"], body),
        form("43", "POST", "hand", [f"Content-Length: {LARGEST_BODY}"], large),
    ]
    return kept, last


def received(sock, count):
    """What comes until so many answers are whole."""
    got = b""
    while len(taken_apart(got)) < count:
        more = sock.recv(1 << 20)
        assert more, f"ended behind {got[-200:]!r}"
        got += more
    return got


def pieces(data, cut, chance):
    if cut == "whole":
        return [data]
    if cut == "bytes":
        return (
            [data[at : at + 1] for at in range(len(data))]
            if len(data) < 3000
            else [data[at : at + 900] for at in range(0, len(data), 900)]
        )
    marks = sorted(chance.randrange(len(data) + 1) for _ in range(6))
    return [data[one:two] for one, two in zip([0, *marks], [*marks, len(data)], strict=True) if one < two]


def taken_apart(got):
    """The final answers in these bytes: status and body of each."""
    found = []
    while got:
        head, _, got = got.partition(b"\r\n\r\n")
        if head[9:10] != b"1":
            length = int(re.search(rb"(?i)content-length: (\d+)|$", head)[1] or 1 << 30)
            if len(got) < length:
                break
            found.append((int(head[9:12]), got[:length]))
            got = got[length:]
    return found


@pytest.mark.parametrize("cut", ["whole", "bytes", "drawn"])
@pytest.mark.parametrize("together", [True, False])
def test_requests_in_pieces_and_in_all_forms_are_each_taken_and_answered_once(tmp_path, cut, together):
    """Each piece is read before the next comes; `together`: one behind another on one connection, in drawn order."""

    async def main():
        with listening(tmp_path) as (clients_in, address, inbox):
            async with trio.open_nursery() as nursery:

                async def answers():
                    async for came in inbox:
                        if isinstance(came, RpcReceived):
                            exchange = came.exchange
                            got.append(exchange)
                            exchange.answer(Answer(200, b"made for " + exchange.id + b" " + exchange.message.body))

                nursery.start_soon(clients_in(nursery).run)
                nursery.start_soon(answers)
                for rows in (
                    [[*chance.sample(kept, len(kept)), end] for end in last[:3]]
                    if together
                    else [[row] for row in kept + last]
                ):
                    got.clear()
                    with closing(socket.create_connection(address, timeout=5)) as sock:
                        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                        for piece in pieces(b"".join(data for data, _ in rows), cut, chance):
                            sock.sendall(piece)
                            await trio.testing.wait_all_tasks_blocked()
                        said = await trio.to_thread.run_sync(received, sock, len(rows))
                        sock.shutdown(socket.SHUT_WR)
                        said += await trio.to_thread.run_sync(rest, sock)
                    wanted = [wanted for _, wanted in rows]
                    assert taken_apart(said) == [
                        (200, b"made for " + number.encode() + b" " + body) for _, _, number, body in wanted
                    ]
                    assert [
                        (e.message.head.method.decode(), e.message.head.target.decode(), e.id.decode(), e.message.body)
                        for e in got
                    ] == wanted
                nursery.cancel_scope.cancel()

    chance, got = random.Random(7), []
    kept, last = forms()
    trio.run(main, clock=trio.testing.MockClock())  # time stands still: no time-out has a say


def test_a_body_that_waits_for_100_continue_is_asked_for_and_answered_once(tmp_path):
    async def main():
        with listening(tmp_path) as (clients_in, address, inbox):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(clients_in(nursery).run)
                data, _ = form("7", "POST", "hand", ["Content-Length: 4", "Expect: 100-continue"], b"body")
                with closing(socket.create_connection(address, timeout=5)) as sock:
                    sock.sendall(data[:-4])
                    got = await trio.to_thread.run_sync(sock.recv, 4096)
                    assert got.startswith(b"HTTP/1.1 100 ") and got.endswith(b"\r\n\r\n")
                    sock.sendall(data[-4:])
                    came = await inbox.receive()
                    assert came.exchange.message.body == b"body"
                    came.exchange.answer(Answer(200, b"done"))
                    assert taken_apart(await trio.to_thread.run_sync(sock.recv, 4096)) == [(200, b"done")]
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock())


def test_all_forms_at_one_stroke_reach_a_server_once_each_and_unchanged(world):
    """The program as a whole: each request of each form has its own answer, and a server gets it in one form."""

    def act(handler, body):
        handler.reply(200, b"made for " + handler.headers["X-Txn"].encode() + b" " + body)

    kept, last = forms()
    with world(act, act) as w:
        for rows in ([*kept, last[0]], [last[1]], [last[2]], [last[3]]):
            sock = opened(w.at, b"".join(data for data, _ in rows))
            said = received(sock, len(rows))
            sock.shutdown(socket.SHUT_WR)
            assert taken_apart(said + rest(sock)) == [
                (200, b"made for " + number.encode() + b" " + body) for _, (_, _, number, body) in rows
            ]
        seen = [(method, path, fields["x-txn"], body) for method, path, fields, body in w.seen()]
        assert sorted(seen) == sorted(wanted for _, wanted in kept + last)


def pieced(handler, data):
    for at in range(len(data)):
        handler.wfile.write(data[at : at + 1])


ANSWERS = {
    "cased": lambda body: b"HTTP/1.1 200 OK\r\nCONTENT-LENGTH:%d\r\n\r\n%b" % (len(body), body),
    "bare": lambda body: b"HTTP/1.1 200 \r\ncontent-length: \t%d \r\n\r\n%b" % (len(body), body),
    "early": lambda body: b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    + (ANSWERS["cased"](body)),
    "chunked": lambda body: b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n"
    + chunked(body, [1, 2, 300], b";x=y", b"X-Sum: 1\r\n"),
    "closed": lambda body: b"HTTP/1.1 200 OK\r\nconnection: Close\r\n\r\n" + body,
    "old": lambda body: b"HTTP/1.0 200 OK\r\n\r\n" + body,
}


@pytest.mark.parametrize("said", ANSWERS)
def test_answers_of_servers_in_pieces_and_in_all_forms_are_passed_on_once(world, said):
    """Also where it never ran: the mark of that comes in a form of its own."""

    def act(handler, body):
        with lock:
            number = handler.headers["X-Txn"]
            ran[number] += 1
            away = number in "03" and ran[number] == 1
        if away:
            return pieced(
                handler,
                b"HTTP/1.1 504 x\r\nX-TURNED-AWAY:  1 \r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunked(b"no room", [3, 4]),
            )
        pieced(handler, ANSWERS[said](b"made for " + number.encode() + b" " + body))
        handler.close_connection = said in ("closed", "old")
        return None

    ran, lock = Counter(), threading.Lock()
    with world(act, act, act, act) as w:
        for number in range(6):
            assert rpc(w.at, "POST", lane="hand", body=b"x", X_Txn=str(number))[:2] == (200, b"made for %d x" % number)
    assert ran == {str(number): 2 if number in (0, 3) else 1 for number in range(6)}


def test_lists_in_pieces_and_in_all_forms_are_read_and_the_watch_goes_on():
    async def main():
        queue, inbox = trio.open_memory_channel(9)
        with agents(1) as (listener,):
            listener.settimeout(5)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    watches.DiscoveryClient(here_of(listener.getsockname()), queue, structlog.get_logger()).run
                )
                sock = None
                for number, (said, indent) in enumerate((said, indent) for said in ANSWERS for indent in (None, 4)):
                    if sock is None:
                        sock, asked = await taken(listener)
                        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    else:
                        asked = await trio.to_thread.run_sync(sock.recv, 9000)
                    assert b"from=%d&" % (number + 1) in asked
                    row = {"id": "s-1", "addr": f"127.0.0.1:{number + 1}", "state": "up", "else": [None]}
                    body = (
                        json.dumps({"more": 1, "servers": [row], "full": False, "version": number + 2}, indent=indent)
                        .replace("\n", "\r\n")
                        .encode()
                    )
                    data = ANSWERS[said](body)
                    for at in range(len(data)):
                        sock.sendall(data[at : at + 1])
                        await trio.testing.wait_all_tasks_blocked()
                    if said in ("closed", "old"):
                        sock.close()
                        sock = None
                    await trio.testing.wait_all_tasks_blocked(0.01)
                    assert inbox.receive_nowait() == ServersListed(False, False, [row])
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock())


@pytest.mark.parametrize("cell", [0, 1])
def test_an_answer_without_a_length_that_is_reset_may_have_run(world, cell):
    """A reset is no end, whatever came before it. An idempotent RPC runs again anywhere; a deduplicated one under its
    key, where servers drop the repeat, and nowhere else; a non-idempotent one never."""

    def act(handler, body):
        number = handler.headers["X-Txn"]
        with lock:
            ran[number].append(w.servers.index(handler.server))
            first = len(ran[number]) == 1
        if not first:
            return echo(handler, body)
        handler.wfile.write(b"HTTP/1.1 200 OK\r\n\r\nmade for " + number.encode() + b" ")
        time.sleep(0.05)
        handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        handler.close_connection = True
        handler.connection.close()
        return None

    ran, lock = defaultdict(list), threading.Lock()
    with world(act, act, states=[(1, {"cell": cell})]) as w:
        assert rpc(w.at, "POST", lane="seal", X_Txn="seal", Idempotency_Key="k")[:2] == (200, b"made for seal ")
        assert rpc(w.at, X_Txn="read")[:2] == (200, b"made for read ")
        assert rpc(w.at, "POST", lane="hand", X_Txn="hand")[0] == 502
        assert [len(ran[lane]) for lane in ("read", "seal", "hand")] == [2, 2, 1]
        assert len({cell * server for server in ran["seal"]}) == 1
        assert {seen[2]["idempotency-key"] for seen in w.seen() if seen[2]["x-txn"] == "seal"} == {"k"}
