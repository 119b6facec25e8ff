"""Gateways under bursts and outages: cold servers, gateways that send nothing on, requests without an answer."""

import random

import pytest
import trio
from fake_services import entry, settings
from gateway_network import entry as list_entry
from gateway_simulation import FIRST_PORT, ROWS, GatewaySimulation, SimulatedAgent, answer, draining
from test_cold import Tier

from oakfork import interface
from oakfork.errors import ConnectionFailedError
from oakfork.interface import SECOND, ServerState
from oakfork.sockets.outcomes import Outcome

# A gateway serves nobody if it turns away all of at least so many RPCs in so many seconds.
STARVED_SECONDS = 4.0
STARVED_RPCS = 15


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("more", [{}, {"connection_price": 0.08, "probing": True}])
def test_new_and_restarted_cold_servers_are_not_overloaded_in_a_burst(seed, more):
    """Guards against thirty gateways that together overload a cold server; Tier checks the rule.

    The load is three times the usual one, and the news of a server comes to each gateway within two seconds.
    """
    tier = Tier(seed, **more)
    tier.run(2)
    tier.truth[0] = ServerState.GONE, 0
    for index in range(30):
        at = tier.now + tier.rng.randint(0, SECOND // 2)
        event = interface.ServerList(False, False, (list_entry(0, ServerState.GONE),))
        tier.events.append((at, index, event))
    tier.run(1)
    tier.start(8, 2 * SECOND)
    tier.start(0, 2 * SECOND)
    tier.run(6, each=24.0)
    assert all(len(tier.checker.times.get(server, ())) > 10 for server in (0, 8))


def serves_nobody(simulation):
    """Whether, for STARVED_SECONDS on end, the gateway turned away all RPCs and sent nothing on."""
    times = [0.0, *(sent.at for sent in simulation.sent), max(asked.at for asked in simulation.asked) + 1e-9]
    for begin, end in zip(times, times[1:], strict=False):
        asked_at = [asked.at for asked in simulation.asked if begin < asked.at < end]
        for at in asked_at:
            starved = sum(at <= other < at + STARVED_SECONDS for other in asked_at) >= STARVED_RPCS
            if starved and at + STARVED_SECONDS <= end:
                return True
    return False


def list_rows(numbers):
    """Rows of the list for servers with these numbers."""
    return [entry(number, f"127.0.0.1:{FIRST_PORT + number}") for number in numbers]


@pytest.mark.parametrize("known", ["empty", "stale", "draining", "emptied"])
@pytest.mark.parametrize("discovery", ["automatic", "subscribe"])
@pytest.mark.parametrize("index", [0, 29])
def test_gateway_that_starts_with_a_useless_list_soon_sends_on(tmp_path, monkeypatch, known, discovery, index):
    """Guards against a gateway that serves nobody for long after its start.

    The list that it knows at its start is empty, or all its servers are gone or drain; or the agent has none yet.
    """

    async def before_connect(server, timeout):
        if server >= 10:
            raise ConnectionFailedError(Outcome.REFUSED)

    async def test(simulation):
        agent.rows.clear()
        if known == "emptied":
            agent.version += 1
            await trio.sleep(2.5)
        agent.change(*rows)
        await simulation.ask_for(STARVED_SECONDS, 6)
        first_asked_at = simulation.asked[0].at
        assert any(sent.server < 10 and sent.at <= first_asked_at + STARVED_SECONDS for sent in simulation.sent)
        assert not serves_nobody(simulation)
        before = len(simulation.asked)
        await simulation.ask_for(STARVED_SECONDS, 6)
        await trio.sleep(2)
        assert {status for asked in simulation.asked[before:] for _, status in asked.answers} == {200}

    rows = list_rows(range(4))
    gone = list_rows(range(10, 14))
    known_rows = {"empty": [], "stale": gone, "draining": [draining(row) for row in rows], "emptied": rows}[known]
    agent = SimulatedAgent(known_rows)
    agent.omits_draining = True
    GatewaySimulation(
        tmp_path,
        monkeypatch,
        agent,
        rows=known_rows,
        before_connect=before_connect,
        settings=settings(30, index, discovery=discovery),
    ).run(test)


@pytest.mark.parametrize("trouble, seconds", [("one hangs", 10.0), ("half hang", 5.0), ("all hang", 1.0)])
def test_hardly_a_gateway_serves_nobody_after_servers_have_hung(tmp_path, monkeypatch, trouble, seconds):
    """Guards against gateways whose admitted share falls in a time of trouble and does not recover.

    One in twenty servers hangs all the time, half of them for five seconds, or all of them for one. Of twenty
    gateways, each by itself and with six RPCs a second, two may turn all away for four seconds.
    """

    async def act(connection):
        in_trouble = begin <= trio.current_time() < begin + seconds
        one_hangs = trouble == "one hangs" and not connection.server
        if one_hangs or in_trouble and (trouble == "all hang" or connection.server % 2):
            await trio.sleep_forever()
        await trio.sleep(chance.uniform(0.01, 0.05))
        return answer(connection)

    async def test(simulation):
        async def ask():
            while True:
                simulation.ask()
                await trio.sleep(chance.expovariate(6))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(begin + seconds)
            admitted_shares.append(simulation.decision_loop.module.admitted_share)
            await trio.sleep(8)
            nursery.cancel_scope.cancel()
        starved.append(serves_nobody(simulation))

    begin = 3.0
    admitted_shares = []
    starved = []
    chance = random.Random(1)
    rows = list_rows(range(20))
    for index in range(20):
        GatewaySimulation(
            tmp_path,
            monkeypatch,
            SimulatedAgent(rows),
            act,
            rows,
            seed=f"{chance.getrandbits(60):x}",
            settings=settings(30, index),
        ).run(test)
    assert sum(starved) <= 2
    assert trouble != "all hang" or min(admitted_shares) < 0.7


class FaultyServers:
    """Servers that hang, stop half-way, reset, refuse, or are not reached; `severity` from 0 to 1 says how often."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.severity = 0.0

    async def before_connect(self, server, timeout):
        """Refuses, delays or never establishes some connections."""
        drawn = self.chance.random()
        if drawn < self.severity / 6:
            raise ConnectionFailedError(Outcome.REFUSED)
        if drawn < self.severity / 3:
            await trio.sleep(timeout)
            raise ConnectionFailedError(Outcome.NEVER_UP)
        await trio.sleep(self.chance.choice((0.0, 0.0, self.severity * 0.2)))

    async def act(self, connection):
        """Answers, or fails in one of many ways."""
        drawn = self.chance.random() / max(self.severity, 1e-9)
        await trio.sleep(self.chance.uniform(0.005, 0.05))
        if drawn < 0.5:
            await trio.sleep_forever()
        if drawn < 0.65:
            await trio.sleep(self.chance.uniform(0.2, 3))
        elif drawn < 0.9:
            raise ConnectionFailedError(
                self.chance.choice((Outcome.BROKEN, Outcome.ENDED, Outcome.MALFORMED, Outcome.STALLED))
            )
        elif drawn < 0.95:
            return answer(connection, 503, (b"x-turned-away", b"1"))
        elif drawn < 1:
            return answer(connection, 500)
        return answer(connection)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("cancel, aim", [(True, 1000.0), (False, 250.0)])
def test_each_rpc_has_one_answer_in_time_whatever_is_down(tmp_path, monkeypatch, seed, cancel, aim):
    """Guards against RPCs that are never answered, or too late, or twice.

    Servers hang, owners of quotas are silent, discovery is away; the deadlines are long and short. The protocol allows
    one RPC in 500 to be left without an answer; here none is.
    """

    async def test(simulation):
        async def make_trouble():
            for _ in range(8):
                servers.severity = chance.choice((0.0, 0.5, 1.0, 1.0))
                agent.availability = chance.choice(("up", "silent", "away", "refuses"))
                await trio.sleep(chance.uniform(0.5, 3))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_trouble)
            for _ in range(900):
                simulation.ask(
                    chance.choice(("read", "seal", "hand")),
                    chance.choice(("basic", "free")),
                    chance.choice((1, 20, 150, int(aim), int(2 * aim), 9999)),
                )
                await trio.sleep(chance.choice((0.0, 0.005, 0.04)))
        servers.severity = 1.0  # the last RPC hangs
        simulation.ask("hand")
        await trio.sleep(2 * aim / 1000 + 0.1)
        assert all(len(asked.answers) == 1 for asked in simulation.asked)
        for asked in simulation.asked:
            assert asked.answers[0][0] <= asked.at + min(asked.left, 2 * aim / 1000) + 0.05
        assert simulation.statuses() == {200, 502, 503}
        servers.severity = 0.0
        await trio.sleep(2)
        assert not simulation.decision_loop.index_table.rpcs and not simulation.decision_loop.module.rpcs
        assert simulation.servers.open == sum(map(len, simulation.servers.idle.values()))

    agent = SimulatedAgent()
    servers = FaultyServers(seed)
    chance = random.Random(seed + 100)
    limits = settings(2)["limits"] | {"cancel": cancel}
    GatewaySimulation(
        tmp_path,
        monkeypatch,
        agent,
        servers.act,
        ROWS,
        servers.before_connect,
        settings=settings(2, 0, aim, limits=limits),
    ).run(test)
