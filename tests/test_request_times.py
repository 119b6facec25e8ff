"""The time of a request counts from when its last byte came, however late the gateway reads or parses it."""

import random
import socket
import time
from contextlib import closing

import pytest
import trio
import trio.testing
from call_out_network import CallOutNetwork
from client_sockets import client_listener
from fake_services import request_bytes

from oakfork.sockets.arrival_times import RESOLUTION, ArrivalTimes
from oakfork.sockets.client_connection import REQUEST_TIMEOUT
from oakfork.sockets.exchange import Answer

SLACK = 0.15  # seconds by which the time that an attempt tells its server may exceed what is left to the client
TIME = 1.0  # seconds that the clients of these tests wait


def rpc(number, **changes):
    """The bytes of an RPC whose client waits for TIME."""
    return request_bytes(**{"X-Txn": str(number), "X-Remaining-Ms": f"{TIME * 1000:.0f}"} | changes)


def test_wait_to_be_accepted_counts(tmp_path):
    """Guards against servers that are told of more time than the client has, and against answers after its time."""

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                with closing(socket.create_connection(address)) as sock:
                    sent_at = trio.current_time()
                    sock.sendall(rpc(0))
                    await trio.sleep(0.5)  # in which there was no room
                    nursery.start_soon(make_clients(nursery).run)
                    exchange = (await inbox.receive()).exchange
                    assert exchange.until <= sent_at + TIME + SLACK
                    seconds_left = exchange.until - trio.current_time()
                    headers = dict(exchange.server_head(seconds_left).headers)
                    assert int(headers[b"x-remaining-ms"]) <= 1000 * (TIME - 0.5 + SLACK)
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_wait_behind_an_earlier_request_counts(tmp_path):
    """Guards against pipelined requests that have all their time once the one before is answered.

    What comes behind them meanwhile does not make them younger.
    """

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_clients(nursery).run)
                with closing(socket.create_connection(address)) as sock:
                    sent_at = trio.current_time()
                    sock.sendall(rpc(0) + rpc(1))
                    first = (await inbox.receive()).exchange
                    await trio.sleep(0.3)
                    third_sent_at = trio.current_time()
                    sock.sendall(rpc(2))
                    await trio.sleep(0.2)
                    sock.sendall(rpc(3)[:-2])
                    await trio.testing.wait_all_tasks_blocked(0.02)
                    first.answer(Answer(200))
                    second = (await inbox.receive()).exchange
                    second.answer(Answer(200))
                    third = (await inbox.receive()).exchange
                    assert [exchange.id for exchange in (first, second, third)] == [b"0", b"1", b"2"]
                    assert second.until <= sent_at + TIME + SLACK
                    assert third_sent_at + TIME - SLACK <= third.until <= third_sent_at + TIME + SLACK
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_request_that_comes_slowly_counts_from_its_last_byte(tmp_path):
    """Guards against taking the time of a slow client's sending off its request's time."""

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(make_clients(nursery).run)
                with closing(socket.create_connection(address)) as sock:
                    for piece in (rpc(0)[:9], rpc(0)[9:-1], rpc(0)[-1:]):
                        await trio.sleep(0.25)
                        sent_at = trio.current_time()
                        sock.sendall(piece)
                    exchange = (await inbox.receive()).exchange
                    assert sent_at + TIME - SLACK <= exchange.until <= sent_at + TIME + SLACK
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_half_a_request_that_waited_to_be_accepted_ends_in_time(tmp_path):
    """Guards against bad clients that stay for longer than 3 s, since their time began when they were accepted."""

    async def main():
        with client_listener(tmp_path) as (make_clients, address, inbox):
            async with trio.open_nursery() as nursery:
                with closing(socket.create_connection(address, timeout=5)) as sock:
                    sent_at = time.monotonic()
                    sock.sendall(rpc(0)[:-2])
                    await trio.sleep(1.0)
                    nursery.start_soon(make_clients(nursery).run)
                    assert (await trio.to_thread.run_sync(sock.recv, 4096)).startswith(b"HTTP/1.1 408")
                    assert REQUEST_TIMEOUT - SLACK < time.monotonic() - sent_at < 3.0
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("lane", ["read", "seal", "hand"])
def test_rpc_whose_time_was_over_before_it_was_read_is_answered_without_a_call_out(tmp_path, monkeypatch, lane):
    """Guards against call-outs for RPCs that waited for longer than their clients do."""

    async def test(network):
        network.ask(1, lane, waited=2.5)
        network.ask(2, lane, waited=0.5)
        await network.settle()
        assert network.answers[1].status == 503 and 2 not in network.answers
        assert len(network.connections) == 1

    CallOutNetwork(tmp_path, monkeypatch).run(test)


@pytest.mark.parametrize("seed", range(5))
def test_arrival_times_are_early_by_the_resolution_at_most(seed):
    """Guards against a byte that counts as younger than it is, or as older by more than the resolution."""
    chance = random.Random(seed)
    arrivals = ArrivalTimes()
    came_at = []  # of each byte
    now = 0.0
    position = 0
    for _ in range(2000):
        now += chance.choice((0.0, 0.001, 0.02, 0.3)) * chance.random()
        count = chance.choice((1, 1, 5, 200))
        came_at += [now] * count
        arrivals.add(count, now)
        while position < len(came_at) and chance.random() < 0.5:
            position = chance.randint(position + 1, min(len(came_at), position + 300))
            at = arrivals.time_of(position)
            assert came_at[position - 1] - RESOLUTION <= at <= came_at[position - 1]
        since = came_at[position - 1] if position else 0.0
        assert len(arrivals.marks) <= (now - since) / RESOLUTION + 2, "the marks must be bounded"
