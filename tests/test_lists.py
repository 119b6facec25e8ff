"""Lists of servers as discovery tells them to the program, late, broken or not at all."""

import json
import signal
import time
from types import SimpleNamespace

import structlog
import trio
import trio.testing
from fake_services import FakeDiscovery, echo, entry, rpc, settings, until

from oakfork.errors import ConnectionFailedError
from oakfork.sockets import discovery as watches
from oakfork.sockets.outcomes import Outcome


def test_changes_of_the_list_are_followed(world):
    with world(echo, echo) as w:
        for state in ({"state": "draining"}, {"state": "removed"}):
            w.discovery.change([w.list[0] | state])
            assert until(lambda: len(w.discovery.seen) >= w.discovery.version)
            time.sleep(0.1)
            before = len(w.servers[0].seen)
            assert all(rpc(w.at)[0] == 200 for _ in range(8)) and len(w.servers[0].seen) == before
        unusable = [
            {"id": 5, "state": "up", "addr": "nowhere"},
            "nonsense",
            entry(9, None),
            entry(8, w.at, cell="x"),
            entry(7, w.at, started_ms=float("inf")),
            entry(6, w.at, zone=["z"], state="up"),
        ]
        w.discovery.change([*unusable, w.list[0], w.list[1] | {"state": "draining"}])
        assert until(lambda: len(w.discovery.seen) >= w.discovery.version)
        time.sleep(0.1)
        assert all(rpc(w.at)[0] == 200 for _ in range(4)) and len(w.servers[0].seen) == before + 4


def test_a_watch_that_has_gone_silent_is_taken_up_again(world):
    def silent(handler, body):  # the connection stays open, and nothing more comes on it
        if len(w.discovery.seen) <= 2:
            time.sleep(30)
        else:
            w.discovery.tell(handler, body)

    with world(echo, echo) as w:
        w.discovery.act = silent
        w.discovery.change([w.list[0] | {"state": "removed"}])
        begun = time.monotonic()
        assert until(lambda: len(w.discovery.seen) > 3) and time.monotonic() - begun < 5
        before = len(w.servers[0].seen)
        assert all(rpc(w.at)[0] == 200 for _ in range(6)) and len(w.servers[0].seen) == before


def test_a_broken_list_leaves_the_last_one_valid(world):
    with world(echo) as w:
        bad = [
            b'{"version": "x"',
            b"[]",
            b"[" * 60_000,
            b'{"version": Infinity, "full": 1, "servers": []}',
            b"x" * 70_000,
        ]
        w.discovery.act = lambda handler, body: handler.reply(200, bad[len(w.discovery.seen) % len(bad)])
        w.discovery.change([])
        time.sleep(1.0)
        assert rpc(w.at)[0] == 200 and 3 < len(w.discovery.seen) < 12


def test_where_lists_come_on_asking_a_dead_discovery_is_asked_now_and_then(world):
    with world(echo, settings=settings(discovery="subscribe")) as w:
        assert until(lambda: w.discovery.seen) and "from=1&" in w.discovery.seen[0][1]
        w.discovery.act = lambda handler, body: handler.reply(503)
        w.discovery.change([])
        assert until(lambda: len(w.discovery.seen) > 3)  # after a third of a second at first, at most one later
        time.sleep(0.3)
        assert rpc(w.at)[0] == 200 and len(w.discovery.seen) < 7


def test_an_overbooked_discovery_is_asked_less_and_less_and_by_no_two_gateways_in_step(monkeypatch):
    """Guards against tens of gateways that ask ten times a second and leave discovery no time for any of them."""

    async def asked(seed):
        here = SimpleNamespace(
            discovery=("127.0.0.1", 1), known={}, settings=SimpleNamespace(subscribes_to_list=False, seed=seed)
        )
        watcher, times = watches.DiscoveryClient(here, None, structlog.get_logger()), []

        async def refused():
            times.append(trio.current_time())
            if len(times) == 12:  # one that succeeds and then breaks
                watcher.pause = watches.SHORTEST_PAUSE
            raise ConnectionFailedError(Outcome.ERROR)

        monkeypatch.setattr(watcher, "_watch", refused)
        with trio.move_on_after(60):
            await watcher.run()
        return [after - before for before, after in zip(times, times[1:], strict=False)]

    one, two = (trio.run(asked, seed, clock=trio.testing.MockClock(autojump_threshold=0)) for seed in (1, 2))
    for pauses in (one, two):
        for number, pause in enumerate(pauses):
            longest = min(watches.LONGEST_PAUSE, watches.SHORTEST_PAUSE * 2 ** (number if number < 11 else number - 11))
            assert longest / 2 <= pause <= longest + 1e-6
        assert len(pauses) > 18 and max(pauses) > 2
    assert all(abs(a - b) > 1e-4 for a, b in zip(one, two, strict=False))


def test_sighup_turns_to_the_addresses_of_the_new_configuration(world):
    with world(echo, echo) as w:
        path = w.folder / "n0.json"
        assert rpc(w.at)[0] == 200
        for text in ("", "[]", "{", '{"discovery": "nowhere"}'):  # unusable ones change nothing
            path.write_text(text)
            w.process.send_signal(signal.SIGHUP)
            time.sleep(0.05)
            assert rpc(w.at)[0] == 200
        other = FakeDiscovery([w.list[1]])  # it knows of the second server only
        path.write_text(json.dumps(w.told | {"discovery": other.address}))
        w.process.send_signal(signal.SIGHUP)
        w.process.send_signal(signal.SIGHUP)
        assert until(lambda: len(other.seen) > 1) and "from=" not in other.seen[0][1]
        time.sleep(0.1)
        before, old = len(w.servers[0].seen), len(w.discovery.seen)
        assert all(rpc(w.at)[0] == 200 for _ in range(6)) and len(w.servers[0].seen) == before
        other.change([w.list[0], w.list[1] | {"state": "removed"}])
        assert until(lambda: rpc(w.at)[0] == 200 and len(w.servers[0].seen) > before + 2)
        assert w.process.poll() is None and len(w.discovery.seen) == old
        other.shutdown()
        other.server_close()


def test_the_longest_way_round_a_silent_watch_is_under_six_seconds(monkeypatch):
    """Whatever went before: a call after the watch fell silent is made so early that its answer is there in time."""

    class Silent:
        """A connection on which some calls are answered and the next is not."""

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

    async def connect(address, patience):
        attempts.append(trio.current_time())
        if len(attempts) % 9:  # discovery is away for long, so that the pauses have grown
            raise ConnectionFailedError(Outcome.REFUSED)
        await trio.sleep(patience - 0.001)
        return Silent(len(attempts) // 9 % 3)

    async def watch():
        here = SimpleNamespace(
            discovery=("127.0.0.1", 1),
            known={"version": 1},
            connect_timeout=0.25,
            settings=SimpleNamespace(subscribes_to_list=False, seed=5),
        )
        monkeypatch.setattr(watches, "connect", connect)
        with trio.move_on_after(400):
            await watches.DiscoveryClient(here, None, structlog.get_logger()).run()

    attempts, silences = [], []
    trio.run(watch, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(silences) > 8
    taken_up = [min(at for at in attempts if at > silence) - silence for silence in silences if attempts[-1] > silence]
    assert max(taken_up) > watches.HOLD + watches.ANSWER_TIMEOUT + 1  # the pause had grown
    assert max(taken_up) + 0.25 < 6.0 - 0.25  # with a new connection and the way of the news


def test_lists_may_come_indented(world):
    def indented(handler, body):
        servers = [w.list[0] | {"state": "draining"}, w.list[1]]
        told = {"version": 9, "full": True, "servers": servers}
        if len(w.discovery.seen) > 2:
            time.sleep(0.5)
        handler.reply(200, json.dumps(told, indent=8).replace("\n", "\r\n").encode())

    with world(echo, echo) as w:
        w.discovery.act = indented
        w.discovery.change(w.list)
        assert until(lambda: len(w.discovery.seen) > 2)
        time.sleep(0.1)
        before = len(w.servers[0].seen)
        assert all(rpc(w.at)[0] == 200 for _ in range(6)) and len(w.servers[0].seen) == before


def test_what_the_agent_has_is_asked_for_at_the_first_moment_and_after_an_outage(world):
    """What the gateway knew when it started is old; the agent has had the news since before, and is silent at first."""

    def silent_at_first(handler, body):
        if time.monotonic() < back[0]:
            time.sleep(max(0.0, back[0] - time.monotonic()))
            handler.close_connection = True  # what was asked meanwhile is never answered
        else:
            w.discovery.tell(handler, body)

    w, back = world(echo, echo), [0.0]
    w.discovery.act = silent_at_first
    w.discovery.change([w.list[0] | {"state": "removed"}, w.list[1]])
    with w:
        assert until(lambda: w.discovery.seen)
        time.sleep(0.2)
        before = len(w.servers[0].seen)
        assert all(rpc(w.at)[0] == 200 for _ in range(6)) and len(w.servers[0].seen) == before
        back[0] = time.monotonic() + 4.0  # an outage, in which the other one goes and the first is back
        w.discovery.change([w.list[0], w.list[1] | {"state": "removed"}])
        time.sleep(4.0 + watches.LONGEST_PAUSE + 0.3)
        before = len(w.servers[1].seen)
        assert all(rpc(w.at)[0] == 200 for _ in range(6)) and len(w.servers[1].seen) == before


def test_on_an_old_list_servers_that_drain_or_are_gone_get_little(world):
    """Discovery says nothing any more. What the list still holds for good is judged by what comes from there."""

    def away(handler, body):
        handler.reply(503, X_Turned_Away="1")

    with world(echo, echo, away) as w:
        w.discovery.act = lambda handler, body: time.sleep(30)
        w.discovery.change(w.list)
        w.servers[0].shutdown()
        w.servers[0].server_close()
        begun, answers = time.monotonic(), []
        while time.monotonic() < begun + 3:
            answers.append(rpc(w.at)[0])
            time.sleep(0.01)
        w.discovery.act = w.discovery.tell
    assert len(answers) > 100 and answers.count(200) > 0.97 * len(answers)
    assert len(w.servers[2].seen) < 0.2 * len(answers)  # one at a time, after a pause of about one answer
