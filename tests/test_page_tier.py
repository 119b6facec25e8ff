"""Many gateways, by the page's final form: cold servers under a burst, gateways that serve nobody, requests left."""

import random

import pytest
import trio
from fake_services import entry, settings
from gateway_network import entry as listed
from test_cold import Tier
from test_page_lists import ROWS, Agent, Play, answer, drains

from oakfork import interface
from oakfork.errors import ConnectionFailedError
from oakfork.interface import SECOND, ServerState
from oakfork.sockets.outcomes import Outcome

SPELL, LEAST = 4.0, 15  # a gateway serves nobody: seconds on end, and requests of them all turned away


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("more", [{}, {"connection_price": 0.08, "probing": True}])
def test_a_server_that_joins_and_one_that_comes_back_cold_hold_under_a_burst(seed, more):
    """Thirty gateways, three times the usual requests; the news comes to each within two seconds."""
    tier = Tier(seed, **more)
    tier.run(2)
    tier.truth[0] = ServerState.GONE, 0
    for index in range(30):
        tier.events.append(
            (
                tier.now + tier.rng.randint(0, SECOND // 2),
                index,
                interface.ServerList(False, False, (listed(0, ServerState.GONE),)),
            )
        )
    tier.run(1)
    tier.start(8, 2 * SECOND)
    tier.start(0, 2 * SECOND)
    tier.run(6, each=24.0)
    assert all(len(tier.checker.times.get(server, ())) > 10 for server in (0, 8))


def serves_nobody(play):
    """Whether, for so long on end, it turned away all that it got and sent nothing on."""
    times = [0.0, *(sent.at for sent in play.sent), max(asked.at for asked in play.asked) + 1e-9]
    for begun, ended in zip(times, times[1:], strict=False):
        came = [asked.at for asked in play.asked if begun < asked.at < ended]
        if any(sum(at <= other < at + SPELL for other in came) >= LEAST and at + SPELL <= ended for at in came):
            return True
    return False


def fleet(count):
    return [entry(number, f"127.0.0.1:{1001 + number}") for number in range(count)]


@pytest.mark.parametrize("known", ["empty", "stale", "draining", "emptied"])
@pytest.mark.parametrize("discovery", ["automatic", "subscribe"])
@pytest.mark.parametrize("index", [0, 29])
def test_a_gateway_that_starts_with_a_list_of_no_use_sends_on_within_the_time(
    tmp_path, monkeypatch, known, discovery, index
):
    """What it knows at its start names no server, such as are gone, or such as drain; or the agent has none yet."""

    async def before(server, patience):
        if server >= 10:
            raise ConnectionFailedError(Outcome.REFUSED)

    async def test(play):
        agent.rows.clear()
        if known == "emptied":
            agent.version += 1
            await trio.sleep(2.5)
        agent.change(*rows)
        await play.ask_for(SPELL, 6)
        assert any(sent.server < 10 and sent.at <= play.asked[0].at + SPELL for sent in play.sent)
        assert not serves_nobody(play)
        before = len(play.asked)
        await play.ask_for(SPELL, 6)
        await trio.sleep(2)
        assert {status for asked in play.asked[before:] for _, status in asked.answers} == {200}

    rows = fleet(4)
    gone = [entry(number, f"127.0.0.1:{1001 + number}") for number in range(10, 14)]
    told = {"empty": [], "stale": gone, "draining": [drains(row) for row in rows], "emptied": rows}[known]
    agent = Agent(told)
    agent.leaves_out = True
    Play(tmp_path, monkeypatch, agent, rows=told, before=before, settings=settings(30, index, discovery=discovery)).run(
        test
    )


@pytest.mark.parametrize("spell, seconds", [("one hangs", 10.0), ("half hang", 5.0), ("all hang", 1.0)])
def test_after_a_spell_of_trouble_hardly_a_gateway_serves_nobody(tmp_path, monkeypatch, spell, seconds):
    """One in twenty servers hangs all the time, half of them for five seconds, all of them for one, so that the share
    let in falls. Of twenty gateways with six requests a second, each for itself, two may turn all away for 4 s."""

    async def act(line):
        bad = begin <= trio.current_time() < begin + seconds
        if spell == "one hangs" and not line.server or bad and (spell == "all hang" or line.server % 2):
            await trio.sleep_forever()
        await trio.sleep(chance.uniform(0.01, 0.05))
        return answer(line)

    async def test(play):
        async def ask():
            while True:
                play.ask()
                await trio.sleep(chance.expovariate(6))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(begin + seconds)
            let_in.append(play.keeper.module.admitted_share)
            await trio.sleep(8)
            nursery.cancel_scope.cancel()
        idle.append(serves_nobody(play))

    begin, let_in, idle, chance = 3.0, [], [], random.Random(1)
    for index in range(20):
        Play(
            tmp_path,
            monkeypatch,
            Agent(fleet(20)),
            act,
            fleet(20),
            seed=f"{chance.getrandbits(60):x}",
            settings=settings(30, index),
        ).run(test)
    assert sum(idle) <= 2
    assert spell != "all hang" or min(let_in) < 0.7


class Trouble:
    """Servers that hang, stop half way, reset, refuse, never come up; an agent that goes down and comes back."""

    def __init__(self, seed):
        self.chance, self.bad = random.Random(seed), 0.0

    async def before(self, server, patience):
        way = self.chance.random()
        if way < self.bad / 6:
            raise ConnectionFailedError(Outcome.REFUSED)
        if way < self.bad / 3:
            await trio.sleep(patience)
            raise ConnectionFailedError(Outcome.NEVER_UP)
        await trio.sleep(self.chance.choice((0.0, 0.0, self.bad * 0.2)))

    async def act(self, line):
        way = self.chance.random() / max(self.bad, 1e-9)
        await trio.sleep(self.chance.uniform(0.005, 0.05))
        if way < 0.5:
            await trio.sleep_forever()
        if way < 0.65:
            await trio.sleep(self.chance.uniform(0.2, 3))
        elif way < 0.9:
            raise ConnectionFailedError(
                self.chance.choice((Outcome.BROKEN, Outcome.ENDED, Outcome.MALFORMED, Outcome.STALLED))
            )
        elif way < 1:
            return answer(line, 503, (b"x-turned-away", b"1")) if way < 0.95 else answer(line, 500)
        return answer(line)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("cancel, aim", [(True, 1000.0), (False, 250.0)])
def test_each_request_taken_has_its_one_answer_in_time_whatever_is_down(tmp_path, monkeypatch, seed, cancel, aim):
    """Servers hang, owners of quotas say nothing, discovery is away; the deadlines are long and short. The page allows
    one in 500 to be left; here none is."""

    async def test(play):
        async def troubles():
            for _ in range(8):
                trouble.bad = chance.choice((0.0, 0.5, 1.0, 1.0))
                agent.way = chance.choice(("up", "silent", "away", "refuses"))
                await trio.sleep(chance.uniform(0.5, 3))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(troubles)
            for _ in range(900):
                play.ask(
                    chance.choice(("read", "seal", "hand")),
                    chance.choice(("basic", "free")),
                    chance.choice((1, 20, 150, int(aim), int(2 * aim), 9999)),
                )
                await trio.sleep(chance.choice((0.0, 0.005, 0.04)))
        trouble.bad = 1.0  # what comes last hangs
        play.ask("hand")
        await trio.sleep(2 * aim / 1000 + 0.1)
        assert all(len(asked.answers) == 1 for asked in play.asked)
        assert all(asked.answers[0][0] <= asked.at + min(asked.left, 2 * aim / 1000) + 0.05 for asked in play.asked)
        assert play.statuses() == {200, 502, 503}
        trouble.bad = 0.0
        await trio.sleep(2)
        assert not play.keeper.index_table.rpcs and not play.keeper.module.rpcs
        assert play.servers.open == sum(map(len, play.servers.idle.values()))

    agent, trouble, chance = Agent(), Trouble(seed), random.Random(seed + 100)
    limits = settings(2)["limits"] | {"cancel": cancel}
    Play(
        tmp_path, monkeypatch, agent, trouble.act, ROWS, trouble.before, settings=settings(2, 0, aim, limits=limits)
    ).run(test)
