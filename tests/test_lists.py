"""Lists of servers that reach the program from discovery, late, broken or not at all."""

import json
import signal
import time
from types import SimpleNamespace

import pytest
import structlog
import trio
import trio.testing
from discovery_agents import discovery_configuration
from fake_services import FakeDiscovery, echo, entry, rpc, settings, until

from oakfork.errors import ConnectionFailedError
from oakfork.sockets import discovery as watches
from oakfork.sockets.outcomes import Outcome


def test_changes_of_the_list_are_followed(start_gateway):
    """Guards against call-outs to draining or removed servers, and against lists that unusable rows make useless."""
    with start_gateway(echo, echo) as gateway:
        for state in ({"state": "draining"}, {"state": "removed"}):
            gateway.discovery.change([gateway.rows[0] | state])
            assert until(lambda: len(gateway.discovery.seen) >= gateway.discovery.version)
            time.sleep(0.1)
            before = len(gateway.servers[0].seen)
            assert all(rpc(gateway.address)[0] == 200 for _ in range(8)) and len(gateway.servers[0].seen) == before
        unusable = [
            {"id": 5, "state": "up", "addr": "nowhere"},
            "nonsense",
            entry(9, None),
            entry(8, gateway.address, cell="x"),
            entry(7, gateway.address, started_ms=float("inf")),
            entry(6, gateway.address, zone=["z"], state="up"),
        ]
        gateway.discovery.change([*unusable, gateway.rows[0], gateway.rows[1] | {"state": "draining"}])
        assert until(lambda: len(gateway.discovery.seen) >= gateway.discovery.version)
        time.sleep(0.1)
        assert all(rpc(gateway.address)[0] == 200 for _ in range(4)) and len(gateway.servers[0].seen) == before + 4


def test_silent_watch_is_resumed(start_gateway):
    """Guards against waiting for good on a watch whose connection stays open without an answer."""

    def silent(handler, body):  # the connection stays open, and nothing more comes on it
        if len(gateway.discovery.seen) <= 2:
            time.sleep(30)
        else:
            gateway.discovery.serve_list(handler, body)

    with start_gateway(echo, echo) as gateway:
        gateway.discovery.act = silent
        gateway.discovery.change([gateway.rows[0] | {"state": "removed"}])
        begun = time.monotonic()
        assert until(lambda: len(gateway.discovery.seen) > 3) and time.monotonic() - begun < 5
        before = len(gateway.servers[0].seen)
        assert all(rpc(gateway.address)[0] == 200 for _ in range(6)) and len(gateway.servers[0].seen) == before


def test_malformed_list_leaves_the_last_one_in_force(start_gateway):
    """Guards against a crash, an empty list or rapid retries when the agent's answers are malformed."""
    with start_gateway(echo) as gateway:
        bad = [
            b'{"version": "x"',
            b"[]",
            b"[" * 60_000,
            b'{"version": Infinity, "full": 1, "servers": []}',
            b"x" * 70_000,
        ]
        gateway.discovery.act = lambda handler, body: handler.reply(200, bad[len(gateway.discovery.seen) % len(bad)])
        gateway.discovery.change([])
        time.sleep(1.0)
        assert rpc(gateway.address)[0] == 200 and 3 < len(gateway.discovery.seen) < 12


def test_failed_subscription_is_repeated_at_a_moderate_rate(start_gateway):
    """Guards against a flood of calls, or none, to an agent that is down, where lists come on request only."""
    with start_gateway(echo, settings=settings(discovery="subscribe")) as gateway:
        assert until(lambda: gateway.discovery.seen) and "from=1&" in gateway.discovery.seen[0][1]
        gateway.discovery.act = lambda handler, body: handler.reply(503)
        gateway.discovery.change([])
        assert until(lambda: len(gateway.discovery.seen) > 3)  # after a third of a second at first, at most one later
        time.sleep(0.3)
        assert rpc(gateway.address)[0] == 200 and len(gateway.discovery.seen) < 7


def test_pauses_between_failed_watches_grow_and_differ_between_gateways(monkeypatch):
    """Guards against tens of gateways that ask an overloaded agent ten times a second and leave it no time for any."""

    async def asked(seed):
        settings = SimpleNamespace(subscribes_to_list=False, seed=seed)
        configuration = SimpleNamespace(discovery=("127.0.0.1", 1), known={}, settings=settings)
        client = watches.DiscoveryClient(configuration, None, structlog.get_logger())
        times = []

        async def refused():
            times.append(trio.current_time())
            if len(times) == 12:  # a watch that succeeds and then breaks
                client.pause = watches.SHORTEST_PAUSE
            raise ConnectionFailedError(Outcome.ERROR)

        monkeypatch.setattr(client, "_watch", refused)
        with trio.move_on_after(60):
            await client.run()
        return [after - before for before, after in zip(times, times[1:], strict=False)]

    one, two = (trio.run(asked, seed, clock=trio.testing.MockClock(autojump_threshold=0)) for seed in (1, 2))
    for pauses in (one, two):
        for number, pause in enumerate(pauses):
            longest = min(watches.LONGEST_PAUSE, watches.SHORTEST_PAUSE * 2 ** (number if number < 11 else number - 11))
            assert longest / 2 <= pause <= longest + 1e-6
        assert len(pauses) > 18 and max(pauses) > 2
    assert all(abs(a - b) > 1e-4 for a, b in zip(one, two, strict=False))


def test_sighup_turns_to_the_agent_of_the_new_configuration(start_gateway):
    """Guards against a gateway that stays with the old agent, or that an unusable configuration changes or ends."""
    with start_gateway(echo, echo) as gateway:
        path = gateway.folder / "n0.json"
        assert rpc(gateway.address)[0] == 200
        for text in ("", "[]", "{", '{"discovery": "nowhere"}'):  # unusable ones change nothing
            path.write_text(text)
            gateway.process.send_signal(signal.SIGHUP)
            time.sleep(0.05)
            assert rpc(gateway.address)[0] == 200
        other = FakeDiscovery([gateway.rows[1]])  # it lists the second server only
        path.write_text(json.dumps(gateway.document | {"discovery": other.address}))
        gateway.process.send_signal(signal.SIGHUP)
        gateway.process.send_signal(signal.SIGHUP)
        assert until(lambda: len(other.seen) > 1) and "from=" not in other.seen[0][1]
        time.sleep(0.1)
        before = len(gateway.servers[0].seen)
        old = len(gateway.discovery.seen)
        assert all(rpc(gateway.address)[0] == 200 for _ in range(6)) and len(gateway.servers[0].seen) == before
        other.change([gateway.rows[0], gateway.rows[1] | {"state": "removed"}])
        assert until(lambda: rpc(gateway.address)[0] == 200 and len(gateway.servers[0].seen) > before + 2)
        assert gateway.process.poll() is None and len(gateway.discovery.seen) == old
        other.stop()


@pytest.mark.parametrize("pushed", [False, True])
def test_news_after_a_silent_watch_come_within_six_seconds(monkeypatch, pushed):
    """Guards against pauses and timeouts that add up to more than six seconds after a watch fell silent.

    Whatever went before, the next call is made so early that its answer is there in time; at once where lists are
    pushed.
    """

    class FallingSilent:
        """A connection on which some calls are answered and the next one is not."""

        def __init__(self, answered):
            self.answered = answered

        async def write(self, data):
            pass

        async def read(self):
            if not self.answered:
                silences.append(trio.current_time())
                await trio.sleep_forever()
            self.answered -= 1
            await trio.sleep(watches.HOLD)
            body = json.dumps({"version": 1, "full": False, "servers": []}).encode()
            return SimpleNamespace(head=SimpleNamespace(status_code=200), body=body)

        def renew(self):
            return True

        def close(self):
            pass

    async def connect(address, timeout):
        attempts.append(trio.current_time())
        if len(attempts) % 9:  # discovery is away for long, so that the pauses have grown
            raise ConnectionFailedError(Outcome.REFUSED)
        await trio.sleep(timeout - 0.001)
        return FallingSilent(len(attempts) // 9 % 3)

    async def watch():
        settings = SimpleNamespace(subscribes_to_list=not pushed, seed=5)
        configuration = discovery_configuration(("127.0.0.1", 1), settings=settings)
        monkeypatch.setattr(watches, "connect", connect)
        client = watches.DiscoveryClient(configuration, None, structlog.get_logger())
        client.subscribe(True)
        with trio.move_on_after(400):
            await client.run()

    attempts = []
    silences = []
    trio.run(watch, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(silences) > 8
    resumed_after = [
        min(at for at in attempts if at > silence) - silence for silence in silences if attempts[-1] > silence
    ]
    if pushed:
        assert max(resumed_after) <= watches.HOLD + watches.ANSWER_TIMEOUT + 0.001
    else:
        assert max(resumed_after) > watches.HOLD + watches.ANSWER_TIMEOUT + 1  # the pause had grown
    assert max(resumed_after) + 0.25 < 6.0 - 0.25  # with a new connection and its answer


def test_indented_lists_are_read(start_gateway):
    """Guards against a parser that depends on the layout of the JSON document."""

    def indented(handler, body):
        servers = [gateway.rows[0] | {"state": "draining"}, gateway.rows[1]]
        document = {"version": 9, "full": True, "servers": servers}
        if len(gateway.discovery.seen) > 2:
            time.sleep(0.5)
        handler.reply(200, json.dumps(document, indent=8).replace("\n", "\r\n").encode())

    with start_gateway(echo, echo) as gateway:
        gateway.discovery.act = indented
        gateway.discovery.change(gateway.rows)
        assert until(lambda: len(gateway.discovery.seen) > 2)
        time.sleep(0.1)
        before = len(gateway.servers[0].seen)
        assert all(rpc(gateway.address)[0] == 200 for _ in range(6)) and len(gateway.servers[0].seen) == before


def test_list_is_read_at_the_start_and_after_an_outage(start_gateway):
    """Guards against using an old list although the agent has a newer one.

    The list known at the start is old; the agent has had the news since before, and is silent at first.
    """

    def silent_at_first(handler, body):
        if time.monotonic() < back[0]:
            time.sleep(max(0.0, back[0] - time.monotonic()))
            handler.close_connection = True  # what was asked meanwhile is never answered
        else:
            gateway.discovery.serve_list(handler, body)

    gateway = start_gateway(echo, echo)
    back = [0.0]  # when the outage ends
    gateway.discovery.act = silent_at_first
    gateway.discovery.change([gateway.rows[0] | {"state": "removed"}, gateway.rows[1]])
    with gateway:
        assert until(lambda: gateway.discovery.seen)
        time.sleep(0.2)
        before = len(gateway.servers[0].seen)
        assert all(rpc(gateway.address)[0] == 200 for _ in range(6)) and len(gateway.servers[0].seen) == before
        back[0] = time.monotonic() + 4.0  # an outage, in which the other one goes and the first is back
        gateway.discovery.change([gateway.rows[0], gateway.rows[1] | {"state": "removed"}])
        time.sleep(4.0 + watches.LONGEST_PAUSE + 0.3)
        before = len(gateway.servers[1].seen)
        assert all(rpc(gateway.address)[0] == 200 for _ in range(6)) and len(gateway.servers[1].seen) == before


def test_unavailable_servers_of_an_old_list_get_few_rpcs(start_gateway):
    """Guards against failures while discovery is silent and the list still has servers that are gone or drain.

    Such servers are judged by their answers.
    """

    def away(handler, body):
        handler.reply(503, X_Turned_Away="1")

    with start_gateway(echo, echo, away) as gateway:
        gateway.discovery.act = lambda handler, body: time.sleep(30)
        gateway.discovery.change(gateway.rows)
        gateway.servers[0].stop()
        begun = time.monotonic()
        answers = []
        while time.monotonic() < begun + 3:
            answers.append(rpc(gateway.address)[0])
            time.sleep(0.01)
        gateway.discovery.act = gateway.discovery.serve_list
    assert len(answers) > 100 and answers.count(200) > 0.97 * len(answers)
    assert len(gateway.servers[2].seen) < 0.2 * len(answers)  # one at a time, after a pause of about one answer
