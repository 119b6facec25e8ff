"""How changes of the server list can get lost or come late between the agent and the decision loop."""

import math
import random
from types import SimpleNamespace

import pytest
import structlog
import trio
import trio.testing
from discovery_agents import ROW, accept, discovery_configuration, list_answer, list_body, listeners, next_request
from gateway_network import gateway_settings

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.errors import ConnectionFailedError
from oakfork.interface import SECOND
from oakfork.sockets import discovery as watches
from oakfork.sockets.messages import ServersListed
from oakfork.sockets.outcomes import Outcome

NOWHERE = ("127.0.0.1", 1)


def list_message(version):
    """A change of the list as a connection returns it."""
    return SimpleNamespace(head=SimpleNamespace(status_code=200), body=list_body(version, False))


def test_version_that_counts_as_read_has_its_servers_queued_whatever_is_cancelled():
    """Guards against a version that has moved on although its servers were never queued.

    The watch is cancelled (as by SIGHUP, a timeout or the module) in the very turn in which its answer has been read:
    the servers must be queued, or asked for again.
    """

    class Connection:
        async def write(self, request):
            targets.append(request.target)

        async def read(self):
            if len(targets) > 4:
                await trio.sleep_forever()
            client.watching.cancel()  # the next wait, wherever it is, is cancelled
            return list_message(len(targets) + 1)

        def close(self):
            pass

        renew = close

    async def connect(address, timeout):
        return Connection()

    async def main():
        with trio.move_on_after(1), pytest.MonkeyPatch.context() as patch:
            patch.setattr(watches, "connect", connect)
            await client.run()

    targets = []
    queue, inbox = trio.open_memory_channel(math.inf)
    client = watches.DiscoveryClient(discovery_configuration(NOWHERE), queue, structlog.get_logger())
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    moved_on = sum(f"from={number + 2}&".encode() in target for number, target in enumerate(targets[1:]))
    assert moved_on == inbox.statistics().current_buffer_used == 4


def test_late_answer_of_the_old_agent_does_not_set_the_version_at_the_new_one():
    """Guards against SIGHUP while the old agent's answers, to a watch and to a whole read, are on their way."""

    async def main():
        queue, inbox = trio.open_memory_channel(math.inf)
        with listeners(2) as (old, new):
            client = watches.DiscoveryClient(discovery_configuration(old.getsockname()), queue, structlog.get_logger())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.run)
                watch, _ = await accept(old)
                nursery.start_soon(client.read_list_once)
                whole_read, _ = await accept(old)
                client.change_address(new.getsockname())
                watch.sendall(list_answer(900, False))
                whole_read.sendall(list_answer(901))
                at_new, request = await accept(new)
                assert b"from=" not in request
                assert client.version is None
                at_new.sendall(list_answer(3))
                messages = [await inbox.receive() for _ in range(2)]
                assert sorted(messages, key=lambda message: message.failed) == [
                    ServersListed(True, False, [ROW]),
                    ServersListed(False, True, ()),
                ]
                assert b"from=3&" in await next_request(at_new)
                for sock in (watch, whole_read, at_new):
                    sock.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_whole_list_read_beside_a_watch_does_not_lower_its_version():
    """Guards against an older whole list that replaces what a watch has received since."""

    async def main():
        queue, inbox = trio.open_memory_channel(math.inf)
        with listeners(1) as (listener,):
            client = watches.DiscoveryClient(
                discovery_configuration(listener.getsockname()), queue, structlog.get_logger()
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.run)
                watch, _ = await accept(listener)
                nursery.start_soon(client.read_list_once)
                whole_read, _ = await accept(listener)
                watch.sendall(list_answer(7, False))
                assert await inbox.receive() == ServersListed(False, False, [ROW])
                whole_read.sendall(list_answer(5))
                assert b"from=7&" in await next_request(watch)
                await trio.testing.wait_all_tasks_blocked(0.05)
                assert client.version == 7 and not inbox.statistics().current_buffer_used
                watch.close()
                whole_read.close()
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("seed", range(12))
def test_list_is_read_within_six_seconds_of_the_end_of_an_outage(seed, monkeypatch):
    """Guards against pauses and timeouts that add up to more than the six seconds in which a change must be known.

    Discovery is away, silent, or refuses for a time. Whatever its calls met, and whatever timeout the settings have for
    servers, the list is there six seconds after it can be reached. The instant of its return is drawn too.
    """

    class Connection:
        async def write(self, request):
            self.hold = b"hold" in request.target

        async def read(self):
            begun = trio.current_time()
            while trio.current_time() < outage_end or self.silent:
                self.silent = self.silent or begun < outage_end  # begun in the outage: never answered
                await trio.sleep(0.05)
            await trio.sleep(0.9 if slow else 0.0)
            answered_at.append(trio.current_time())
            message = list_message(len(answered_at) + 1)
            if self.hold:
                await trio.sleep(0.0 if len(answered_at) < 2 else watches.HOLD * 0.9)
            return message

        def renew(self):
            return True

        def close(self):
            pass

    async def connect(address, timeout):
        behaviour = kind if trio.current_time() < outage_end else "up"
        if behaviour == "refuses":
            raise ConnectionFailedError(Outcome.REFUSED)
        if behaviour == "away":
            await trio.sleep(timeout)
            raise ConnectionFailedError(Outcome.NEVER_UP)
        await trio.sleep(min(timeout, 0.4) if slow else 0.0)
        connection = Connection()
        connection.silent = False
        return connection

    async def main(length):
        nonlocal outage_end
        outage_end = trio.current_time() + length
        queue, _ = trio.open_memory_channel(math.inf)
        configuration = discovery_configuration(NOWHERE, connect_timeout=connect_timeout)
        with trio.move_on_after(length + 8):
            await watches.DiscoveryClient(configuration, queue, structlog.get_logger()).run()
        return answered_at[0] - outage_end

    chance = random.Random(seed)
    monkeypatch.setattr(watches, "connect", connect)
    for kind in ("refuses", "away", "silent"):
        connect_timeout = chance.choice((0.05, 0.25, 1.5, 5.0))
        slow = chance.random() < 0.5
        for _ in range(10):
            outage_end = 0.0
            answered_at = []
            clock = trio.testing.MockClock(autojump_threshold=0)
            delay = trio.run(main, chance.uniform(0.5, 60), clock=clock)
            assert delay < watches.TOLD - 0.05, (kind, connect_timeout, slow)


@pytest.mark.parametrize("seed", range(20))
def test_refused_subscription_is_repeated_in_time_under_any_settings(seed):
    """Guards against pauses of the module that leave no time for the connection and the answer of the next call."""
    chance = random.Random(seed)
    list_timeout = int(chance.choice((0.3, 1, 4, 10, 40)) * SECOND)
    settings = gateway_settings(subscribes_to_list=True, list_timeout=list_timeout, seed=seed)
    module = DecisionModule(settings, 0)
    now = 0
    pauses = []
    commands = module.handle(0, interface.ServerList(True, True, ()))
    for _ in range(12):
        refused_at = now
        asked_again = False
        while not asked_again:
            timers = [command for command in commands if isinstance(command, interface.SetTimer)]
            now += timers[0].after
            commands = module.handle(now, interface.TimerFired(0))
            asked_again = any(isinstance(command, interface.SubscribeToList) for command in commands)
        pauses.append(now - refused_at)
        commands = module.handle(now, interface.ServerList(False, True, ()))
    # A connection that is slow to come up, and a call that waits, are still to come.
    longest = (watches.TOLD - watches.CONNECT_TIMEOUT - watches.HOLD - watches.ANSWER_TIMEOUT) * SECOND
    assert max(pauses) < longest and (list_timeout < SECOND or max(pauses) > SECOND)
