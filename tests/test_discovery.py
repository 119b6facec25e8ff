"""How news of the list can get lost or come late between the agent and the keeper: each crossing is forced."""

import json
import math
import random
import socket
from contextlib import contextmanager
from types import SimpleNamespace

import pytest
import structlog
import trio
import trio.testing
from gateway_network import gateway_settings

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.errors import ConnectionFailedError
from oakfork.interface import SECOND
from oakfork.sockets import discovery as watches
from oakfork.sockets.messages import ServersListed
from oakfork.sockets.outcomes import Outcome

ENTRY = {"id": "s-1", "addr": "127.0.0.1:1", "state": "up"}


def here_of(address, **more):
    values = dict(
        discovery=address,
        known={"version": 1},
        connect_timeout=0.25,
        settings=SimpleNamespace(subscribes_to_list=False, seed=5),
    )
    return SimpleNamespace(**(values | more))


def answer(version, full=True):
    body = json.dumps({"version": version, "full": full, "servers": [ENTRY]}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@contextmanager
def agents(number):
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(number)]
    try:
        yield listeners
    finally:
        for listener in listeners:
            listener.close()


async def taken(listener):
    """The next connection, and what was asked on it."""
    sock, _ = await trio.to_thread.run_sync(listener.accept)
    sock.settimeout(5)
    return sock, await trio.to_thread.run_sync(sock.recv, 9000)


async def asked(sock):
    return await trio.to_thread.run_sync(sock.recv, 9000)


def test_news_whose_version_counts_as_read_are_told_whatever_is_cancelled():
    """The watch is given up (SIGHUP, a time-out, the module) in the very turn in which its answer has been read: the
    news is told, or it is asked for again. What must not be is a version that has moved on without the news."""

    class Line:
        async def write(self, request):
            targets.append(request.target)

        async def read(self):
            if len(targets) > 4:
                await trio.sleep_forever()
            watch.watching.cancel()  # the next wait, wherever it is, ends in a cancel
            body = json.dumps({"version": len(targets) + 1, "full": False, "servers": [ENTRY]}).encode()
            return SimpleNamespace(head=SimpleNamespace(status_code=200), body=body)

        def close(self):
            pass

        renew = close

    async def connect(address, patience):
        return Line()

    async def main():
        with trio.move_on_after(1), pytest.MonkeyPatch.context() as patch:
            patch.setattr(watches, "connect", connect)
            await watch.run()

    targets = []
    queue, inbox = trio.open_memory_channel(math.inf)
    watch = watches.DiscoveryClient(here_of(("127.0.0.1", 1)), queue, structlog.get_logger())
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    moved_on = sum(f"from={number + 2}&".encode() in target for number, target in enumerate(targets[1:]))
    assert moved_on == inbox.statistics().current_buffer_used == 4


def test_an_answer_of_the_agent_before_says_nothing_of_the_version_at_the_new_one():
    """SIGHUP while the old agent's answer is on its way: both watch and whole read."""

    async def main():
        queue, inbox = trio.open_memory_channel(math.inf)
        with agents(2) as (old, new):
            watch = watches.DiscoveryClient(here_of(old.getsockname()), queue, structlog.get_logger())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                one, _ = await taken(old)
                nursery.start_soon(watch.read_list_once)
                whole, _ = await taken(old)
                watch.change_address(new.getsockname())
                one.sendall(answer(900, False))
                whole.sendall(answer(901))
                fresh, request = await taken(new)
                assert b"from=" not in request
                assert watch.version is None
                fresh.sendall(answer(3))
                told = [await inbox.receive() for _ in range(2)]
                assert sorted(told, key=lambda news: news.failed) == [
                    ServersListed(True, False, [ENTRY]),
                    ServersListed(False, True, ()),
                ]
                assert b"from=3&" in await asked(fresh)
                for sock in (one, whole, fresh):
                    sock.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_whole_list_read_beside_a_watch_does_not_put_it_back():
    async def main():
        queue, inbox = trio.open_memory_channel(math.inf)
        with agents(1) as (listener,):
            watch = watches.DiscoveryClient(here_of(listener.getsockname()), queue, structlog.get_logger())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                watched, _ = await taken(listener)
                nursery.start_soon(watch.read_list_once)
                whole, _ = await taken(listener)
                watched.sendall(answer(7, False))
                assert await inbox.receive() == ServersListed(False, False, [ENTRY])
                whole.sendall(answer(5))
                assert b"from=7&" in await asked(watched)
                await trio.testing.wait_all_tasks_blocked(0.05)
                assert watch.version == 7 and not inbox.statistics().current_buffer_used
                watched.close()
                whole.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("seed", range(12))
def test_the_longest_way_from_a_failed_call_to_the_news_is_under_six_seconds(seed, monkeypatch):
    """Discovery is away, silent, or refuses for a time; whatever its calls met, and whatever the settings' patience
    with servers, six seconds after it could be reached its news is there. The instant of its return is drawn too."""

    class Line:
        async def write(self, request):
            self.hold = b"hold" in request.target

        async def read(self):
            begun = trio.current_time()
            while trio.current_time() < back[0] or self.silent:
                self.silent = self.silent or begun < back[0]  # begun in the outage: never answered
                await trio.sleep(0.05)
            await trio.sleep(0.9 if slow else 0.0)
            told.append(trio.current_time())
            body = json.dumps({"version": len(told) + 1, "full": False, "servers": [ENTRY]}).encode()
            if self.hold:
                await trio.sleep(0.0 if len(told) < 2 else watches.HOLD * 0.9)
            return SimpleNamespace(head=SimpleNamespace(status_code=200), body=body)

        def renew(self):
            return True

        def close(self):
            pass

    async def connect(address, patience):
        way = kind if trio.current_time() < back[0] else "up"
        if way == "refuses":
            raise ConnectionFailedError(Outcome.REFUSED)
        if way == "away":
            await trio.sleep(patience)
            raise ConnectionFailedError(Outcome.NEVER_UP)
        await trio.sleep(min(patience, 0.4) if slow else 0.0)
        line = Line()
        line.silent = False
        return line

    async def main(kind_of, length):
        back[0] = trio.current_time() + length
        queue, inbox = trio.open_memory_channel(math.inf)
        here = here_of(("127.0.0.1", 1), connect_timeout=patience)
        with trio.move_on_after(length + 8):
            await watches.DiscoveryClient(here, queue, structlog.get_logger()).run()
        return told[0] - back[0]

    chance = random.Random(seed)
    monkeypatch.setattr(watches, "connect", connect)
    for kind in ("refuses", "away", "silent"):
        patience, slow = chance.choice((0.05, 0.25, 1.5, 5.0)), chance.random() < 0.5
        for _ in range(10):
            back, told = [0.0], []
            clock = trio.testing.MockClock(autojump_threshold=0)
            late = trio.run(main, kind, chance.uniform(0.5, 60), clock=clock)
            assert late < watches.TOLD - 0.05, (kind, patience, slow)


@pytest.mark.parametrize("seed", range(20))
def test_where_lists_are_asked_for_a_refused_call_is_made_again_in_time_under_any_settings(seed):
    chance = random.Random(seed)
    patience = int(chance.choice((0.3, 1, 4, 10, 40)) * SECOND)
    module, now, pauses = (
        DecisionModule(gateway_settings(subscribes_to_list=True, list_timeout=patience, seed=seed), 0),
        0,
        [],
    )
    commands = module.handle(0, interface.ServerList(True, True, ()))
    for _ in range(12):
        refused, asked_again = now, False
        while not asked_again:
            wakes = [command for command in commands if isinstance(command, interface.SetTimer)]
            now += wakes[0].after
            commands = module.handle(now, interface.TimerFired(0))
            asked_again = any(isinstance(command, interface.SubscribeToList) for command in commands)
        pauses.append(now - refused)
        commands = module.handle(now, interface.ServerList(False, True, ()))
    # A connection that is slow to come up, and a call that waits, are still to come.
    most = (watches.TOLD - watches.CONNECT_TIMEOUT - watches.HOLD - watches.ANSWER_TIMEOUT) * SECOND
    assert max(pauses) < most and (patience < SECOND or max(pauses) > SECOND)
