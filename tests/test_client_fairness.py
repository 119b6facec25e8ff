"""Clients that send more than the gateway has time for: they don't hold up the RPCs of others.

A pass of the event loop runs each task that can run, once. An RPC needs several passes, so what the gateway handles in
one pass is bounded, whatever clients and servers send.
"""

import os
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from contextlib import ExitStack, closing, contextmanager
from pathlib import Path

import h11
import pytest
import trio
from client_sockets import client_listener
from fake_services import echo, request_bytes, rpc
from flooding_clients import CHUNKED_HEAD, LOADS, READY_REQUEST, received_answers

from oakfork.errors import ConnectionFailedError
from oakfork.sockets.client_connection import ClientConnection
from oakfork.sockets.client_connections import BULK_STEPS_PER_PASS, SMALL_REQUESTS_PER_PASS
from oakfork.sockets.exchange import Answer
from oakfork.sockets.http_connection import MAX_PARSE_EVENTS, HttpConnection
from oakfork.sockets.outcomes import Outcome
from oakfork.sockets.request_reader import END_OF_HEAD, RequestReader

BODY_HEAD = b"POST /-/nothing HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n"
DEADLINE = 1.0  # seconds that the usual clients wait
LATE = 0.5  # seconds after its deadline from which on an answer counts as lost
# Steps of a pass, twice: the tasks of a pass run in any order, so that one may do a step of the next pass in this one.
MAX_STEPS = 2 * (SMALL_REQUESTS_PER_PASS + BULK_STEPS_PER_PASS)


class PassCounter:
    """Counts how often something is called in each pass of the event loop."""

    def __init__(self):
        self.passes = 0
        self.calls = Counter()  # by the number of the pass

    def count_calls(self, monkeypatch, owner, name):
        """Has the calls of a method counted."""
        method = getattr(owner, name)

        def counted(*args):
            self.calls[self.passes] += 1
            return method(*args)

        monkeypatch.setattr(owner, name, counted)

    async def run(self):
        """Counts passes until it is cancelled."""
        while True:
            await trio.lowlevel.checkpoint()
            self.passes += 1

    def most_calls(self):
        """The most calls in one pass."""
        return max(self.calls.values())


@contextmanager
def connected_sockets(address, loads):
    """A connected socket for each load, which has sent it."""
    with ExitStack() as stack:
        socks = []
        for load in loads:
            sock = stack.enter_context(socket.create_connection(address))
            sock.settimeout(5)
            sock.sendall(load)
            socks.append(sock)
        yield socks


def start_clients(make_clients, nursery):
    """Starts the listener of client connections and their monitor, as the gateway does."""
    clients = make_clients(nursery)
    nursery.start_soon(clients.run)
    nursery.start_soon(clients.pass_monitor.run)


def pipelined_rpcs(client, count):
    """RPCs of a client, one behind another, each with an id of its own."""
    return b"".join(request_bytes(**{"X-Txn": f"{client}-{number}"}) for number in range(count))


async def push_back(inbox):
    """Answers each RPC at once, all that are queued in one turn, as the decision loop does."""
    async for message in inbox:
        while message:
            message.exchange.answer(Answer(503))
            try:
                message = inbox.receive_nowait()
            except trio.WouldBlock:
                message = None


@pytest.mark.parametrize("path", ["answered by the connection", "answered by the decision loop"])
def test_pipelined_requests_of_all_clients_are_handled_a_few_in_a_pass(tmp_path, monkeypatch, path):
    """Guards against clients that write hundreds of requests at once and hold up the RPCs of all others."""
    loads = [READY_REQUEST * 500] * 12
    if path == "answered by the decision loop":
        loads = [pipelined_rpcs(client, 250) for client in range(12)]
    expected = sum(load.count(b" HTTP/1.1\r\n") for load in loads)

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox), connected_sockets(address, loads):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(counter.run)
                nursery.start_soon(push_back, inbox)
                start_clients(make_clients, nursery)
                with trio.fail_after(30):
                    while counter.calls.total() < expected:
                        await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()

    counter = PassCounter()
    counter.count_calls(monkeypatch, ClientConnection, "_take")
    trio.run(main)
    assert counter.calls.total() == expected and counter.most_calls() <= MAX_STEPS


def test_request_is_handled_ahead_of_what_others_have_pipelined(tmp_path):
    """Guards against requests that wait behind all that other clients have sent before them."""

    async def main():
        loads = [READY_REQUEST * 500] * 12
        with client_listener(tmp_path) as (make_clients, address, _), connected_sockets(address, loads) as flooding:
            async with trio.open_nursery() as nursery:
                start_clients(make_clients, nursery)
                for _ in range(10):  # the gateway is in the middle of it
                    await trio.lowlevel.checkpoint()
                with connected_sockets(address, [READY_REQUEST]) as (usual,):
                    answer = await trio.to_thread.run_sync(usual.recv, 1000)
                    received = [len(sock.recv(1 << 20, socket.MSG_PEEK)) // len(answer) for sock in flooding]
                nursery.cancel_scope.cancel()
        assert answer.startswith(b"HTTP/1.1 200") and max(received) < 500

    trio.run(main)


def test_requests_behind_one_another_are_answered_though_more_comes_than_is_held(tmp_path):
    """Guards against requests that are not answered once the gateway has stopped to receive for a while."""
    count = 10_000  # 350 KB

    def ask(sock):
        sender = threading.Thread(target=sock.sendall, args=(READY_REQUEST * count,))
        sender.start()
        answers = 0
        for received in received_answers(sock):
            answers += received
            if answers == count:
                break
        sender.join()
        return answers

    async def main():
        with client_listener(tmp_path) as (make_clients, address, _), connected_sockets(address, [b""]) as (sock,):
            async with trio.open_nursery() as nursery:
                start_clients(make_clients, nursery)
                assert await trio.to_thread.run_sync(ask, sock) == count
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(
    "received, parsed, size",
    [
        ([READY_REQUEST], 0, len(READY_REQUEST)),
        ([READY_REQUEST * 500], 0, len(READY_REQUEST)),
        ([READY_REQUEST * 500], 1, 499 * len(READY_REQUEST)),
        ([BODY_HEAD + bytes(60_000)], 0, len(BODY_HEAD)),
        ([BODY_HEAD, bytes(30_000)], 1, 0),
        ([READY_REQUEST[:-1]], 1, len(READY_REQUEST) - 1),
        ([READY_REQUEST[:-1], b"\n"], 0, len(READY_REQUEST)),
        ([BODY_HEAD + bytes(60_000), READY_REQUEST], 1, len(READY_REQUEST)),
    ],
    ids=["alone", "first", "behind", "body follows", "in a body", "half", "in two reads", "after a body"],
)
def test_a_request_has_its_turn_by_the_size_of_its_head(received, parsed, size):
    """Guards against usual requests that wait with those that take long, for a body that costs nothing to parse."""

    async def main():
        ours, theirs = socket.socketpair()
        with closing(ours), closing(theirs):
            link = RequestReader(ours, None)
            for index, data in enumerate(received):
                link.received(data)
                if index < parsed and link.parse():
                    link.put(h11.Response(status_code=200, headers=[("Content-Length", "0")]), b"")
                    link.renew()
            return link.next_head_size()

    assert abs(trio.run(main) - size) <= len(END_OF_HEAD)


def test_body_in_small_chunks_is_read_a_few_chunks_in_a_pass(tmp_path, monkeypatch):
    """Guards against clients whose bodies come in chunks of one byte and hold up the RPCs of all others."""

    async def main():
        load = CHUNKED_HEAD + b"1\r\na\r\n" * 5_000 + b"0\r\n\r\n"
        with client_listener(tmp_path) as (make_clients, address, _):
            with connected_sockets(address, [load] * 4) as socks:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(counter.run)
                    start_clients(make_clients, nursery)
                    for sock in socks:
                        answer = await trio.to_thread.run_sync(sock.recv, 1000)
                        assert answer.startswith(b"HTTP/1.1 404")
                    nursery.cancel_scope.cancel()

    counter = PassCounter()
    counter.count_calls(monkeypatch, h11.Connection, "next_event")
    trio.run(main)
    assert counter.calls.total() > 20_000 and counter.most_calls() <= MAX_STEPS * MAX_PARSE_EVENTS


@pytest.mark.parametrize("largest", [100_000, 5_000])
def test_answer_in_small_chunks_is_read_a_few_chunks_in_a_pass(monkeypatch, largest):
    """Guards against servers whose answers come in chunks of two bytes and hold up the RPCs of other servers."""

    async def main():
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        with closing(theirs):
            connection = HttpConnection(ours, h11.CLIENT, largest)
            await connection.write(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            theirs.sendall(head + b"2\r\nab\r\n" * 5_000 + b"0\r\n\r\n")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(counter.run)
                try:
                    return (await connection.read(1.0)).body
                except ConnectionFailedError as error:
                    return error.outcome
                finally:
                    connection.close()
                    nursery.cancel_scope.cancel()

    counter = PassCounter()
    counter.count_calls(monkeypatch, h11.Connection, "next_event")
    assert trio.run(main) == (b"ab" * 5_000 if largest > 10_000 else Outcome.OVERSIZED)
    # One step a pass, twice as for MAX_STEPS, and the one before anything was received.
    assert counter.calls.total() > 2_000 and counter.most_calls() <= 2 * MAX_PARSE_EVENTS + 1


@pytest.mark.parametrize("load, count", [("ready_requests", 12), ("rpcs", 24), ("small_chunks", 4)])
def test_rpcs_are_answered_in_time_beside_clients_that_send_all_they_can(start_gateway, load, count):
    """Guards against RPCs that get no answer in their time while a few clients send at full speed."""
    assert load in LOADS
    answers = []

    def ask(number):
        time.sleep(number * 0.025)
        while time.monotonic() < end:
            begun = time.monotonic()
            status, _, _ = rpc(gateway.address, X_Txn=f"{number}-{begun}", X_Remaining_Ms=f"{DEADLINE * 1000:.0f}")
            answers.append((time.monotonic() - begun, status))
            time.sleep(0.25)

    with start_gateway(echo, echo) as gateway:
        script = Path(__file__).with_name("flooding_clients.py")
        arguments = [sys.executable, str(script), gateway.address, load, str(count), "3"]
        environment = os.environ | {"PYTHONPATH": str(script.parents[1])}  # the package need not be installed
        flood = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True, env=environment)
        end = time.monotonic() + 3
        threads = [threading.Thread(target=ask, args=(number,)) for number in range(10)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        sent = int(flood.communicate(timeout=30)[0])
    assert sent > 0, "the clients that send all they can have got an answer"
    assert len(answers) >= 10 and max(took for took, _ in answers) <= DEADLINE + LATE
