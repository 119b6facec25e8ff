"""A large tier under the failures of a release: the rules are checked after every step. Bench-free, seeded."""

import heapq
from collections import Counter

import pytest
from gateway_network import GatewayNetwork, arrival, entry, gateway_settings

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, ServerState, Status

CORES = 3  # of a server here; the module is told of none
WORK = 1_650  # usual length of a call-out here


class Fleet(GatewayNetwork):
    """A tier whose servers are replaced, lost and back cold, with a discovery that is asked, late, or overbooked."""

    def __init__(self, seed: int, gateways: int = 40, servers: int = 24, subscribes_to_list: bool = True) -> None:
        self.subscribes_to_list = subscribes_to_list
        self.truth = {server: (ServerState.READY, 0) for server in range(servers)}
        self.known = [dict(self.truth) for _ in range(gateways)]  # what each had last, also through a restart
        self.subscribed = [not subscribes_to_list] * gateways
        self.lost: set[int] = set()  # servers that say nothing
        self.bad: set[int] = set()  # servers that fail most call-outs
        self.cuts: set[tuple[int, int]] = set()  # frames from the one never reach the other
        self.silent_until = self.refused = 0
        self.cold: dict[int, list[int]] = {}  # server -> when call-outs came
        super().__init__(seed, gateways, servers, probing=True)
        self.link_cap = 100 / 4  # most others say nothing at any time

    def launch(self, index: int) -> None:
        self.end_life(index)
        told = gateway_settings(
            index,
            self.count,
            self.dice.getrandbits(64),
            probing=True,
            subscribes_to_list=self.subscribes_to_list,
            probe_price=0.08,
            connection_price=0.08,
            peer_frames_per_s=100.0,
            list_timeout=10 * SECOND,
        )
        self.modules[index] = DecisionModule(told, self.now)
        self.subscribed[index] = not self.subscribes_to_list
        self.told[index] = {}
        self.give(index, interface.ServerList(True, False, tuple(entry(s, *at) for s, at in self.known[index].items())))

    def give(self, index: int, event) -> None:
        if callable(event):
            event(index)
        else:
            if isinstance(event, interface.ServerList):
                self.known[index].update({e.server: (e.state, e.up_since) for e in event.entries})
            super().give(index, event)

    def carry_out(self, index: int, command) -> None:
        if isinstance(command, interface.SubscribeToList):
            if self.now < self.silent_until or self.dice.random() < 0.2:
                self.refused += 1
                self.later(self.dice.choice((50, 50, 50, 20_000)), index, interface.ServerList(False, True, ()))
            else:
                self.later(self.dice.randint(50, 15_000), index, self.list_whole)
        else:
            super().carry_out(index, command)

    def list_whole(self, index: int) -> None:
        self.subscribed[index] = True
        self.give(
            index,
            interface.ServerList(
                True, False, tuple(entry(s, *at) for s, at in self.truth.items() if at[0] != ServerState.GONE)
            ),
        )

    def change(self, server: int, state: ServerState, since: int = 0) -> None:
        """Tells those that are subscribed, each late in its own time."""
        self.truth[server] = state, since
        for index in range(self.count):
            if self.subscribed[index]:
                self.later(
                    self.dice.randint(100, 8_000),
                    index,
                    lambda index: self.give(
                        index, interface.ServerList(False, False, (entry(server, *self.truth[server]),))
                    ),
                )

    def carries(self, sender: int, receiver: int) -> bool:
        return (sender, receiver) not in self.cuts

    def probed(self, server: int) -> tuple[int, int]:
        if self.truth[server][0] == ServerState.GONE:
            return 9, Status.CONNECT_FAILED
        return (2_500, Status.TIMED_OUT) if server in self.lost else (self.dice.choice((9, 9, 30, 200)), Status.OK)

    def reached(self, server: int, status: Status, took: int, left: int) -> tuple[Status, int]:
        state, since = self.truth[server]
        if state == ServerState.GONE:
            return Status.CONNECT_FAILED, 9
        if server in self.lost:
            return Status.TIMED_OUT, left
        if server in self.bad and self.dice.random() < 0.7:
            return Status.ERROR, 60
        if since and self.now < since + 15 * SECOND:
            self.check_cold(server, since)
        return status, took

    def check_cold(self, server: int, since: int) -> None:
        """Rule 4: what came within any two seconds is under twice what the server could do by its slowest ramp."""
        times = self.cold.setdefault(server, [])
        times.append(self.now)
        ramp = 0.2 + 0.8 * max(0, self.now - since) / (15 * SECOND)
        recent = sum(self.now - at < 2 * SECOND for at in times)
        assert recent <= 3 + 2 * CORES * ramp * 2 * SECOND / WORK, "rule 4: a cold server was pushed over"

    def kill(self, share: float) -> None:
        """That part of the gateways at one instant; all are back together."""
        for index in self.dice.sample(range(self.count), int(self.count * share)):
            self.end_life(index)
            self.down_until[index] = self.now + SECOND // 2
            self.later(SECOND // 2, index, self.launch)

    def replace(self, share: float, within: int) -> None:
        """Takes out so many of the servers, one after the other, each for a new one that starts cold."""
        ready = [server for server, (state, _) in self.truth.items() if state == ServerState.READY]
        for server in self.dice.sample(ready, int(len(ready) * share)):
            at, new = self.dice.randrange(within), len(self.truth)
            self.truth[new] = ServerState.GONE, 0  # its number is taken
            self.at(at, lambda server=server: self.change(server, ServerState.DRAINING))
            self.at(at + SECOND, lambda new=new: self.change(new, ServerState.READY, self.now))
            self.at(at + 2 * SECOND, lambda server=server: self.change(server, ServerState.GONE))

    def at(self, after: int, act) -> None:
        """Has the world itself do something, whichever gateway is up."""
        self.later(after, -1, lambda _: act())

    def step(self) -> bool:
        if self.queue and self.queue[0][2] == -1:
            self.now, _, _, _, act = heapq.heappop(self.queue)
            act(-1)
            return True
        return super().step()

    def press(self) -> None:
        """Each customer under a ceiling asks at once for all that it can get, through all its gateways."""
        for customer in (1, 3, 5, 7, 9, 11):
            for number in range(30):
                index = (customer + number % (2 + customer % 3)) % self.count
                self.next_rpc += 1
                if self.now >= self.down_until[index]:
                    self.give(index, arrival(self.next_rpc, customer, 0, customer % 4, 1.0, customer, 2 + customer % 3))

    def run(self, seconds: int, per_second: int = 60) -> dict[str, int]:
        """Plays on and says what came of the RPCs in that time."""
        before = dict(self.answers)
        self.play(seconds, per_second)
        return {kind: number - before[kind] for kind, number in self.answers.items()}

    def disturb(self) -> None:
        pass  # each test brings about its own failures


@pytest.mark.parametrize("seed", range(4))
def test_most_gateways_are_killed_at_once_while_servers_are_replaced_and_discovery_is_overbooked(seed):
    fleet = Fleet(seed)
    fleet.run(4)
    fleet.replace(0.5, 4 * SECOND)
    fleet.run(2)
    fleet.silent_until = fleet.now + 4 * SECOND
    fleet.press()
    fleet.kill(0.9)
    for seconds in (0.52, 0.1, 0.5, 1):  # the greetings are answered meanwhile
        fleet.run(seconds)
        fleet.press()
    fleet.run(3)
    assert 36 < fleet.refused < 36 * 4  # each asked again now and then, not ten times a second
    fleet.run(12)
    assert sum(fleet.subscribed) >= 34
    fleet.run(24, 20)
    assert all(fleet.subscribed)
    gone = {server for server, (state, _) in fleet.truth.items() if state == ServerState.GONE}
    assert not any(gone & set(module.servers.ready) for module in fleet.modules)
    late = fleet.run(4)
    assert late["ok"] > 3 * late["aborted"] and late["ok"] > 20


@pytest.mark.parametrize("seed", range(3))
def test_a_zone_is_lost_whole_and_back_cold_with_a_bad_server_among_the_rest(seed):
    fleet = Fleet(seed, subscribes_to_list=False)
    fleet.bad.add(1)
    fleet.run(3)
    zone = [server for server in fleet.truth if server % 2 == 0]
    fleet.lost.update(zone)
    fleet.run(4)
    for server in zone:  # told late that they were gone, and soon after that they are back
        fleet.change(server, ServerState.GONE)
    fleet.run(1)
    fleet.lost.clear()
    for server in zone:
        fleet.change(server, ServerState.READY, fleet.now)
    fleet.run(8)
    assert sum(map(len, fleet.cold.values())) > 20
    after = fleet.run(4)
    assert after["ok"] > 2 * after["aborted"]


@pytest.mark.parametrize("seed", range(3))
def test_six_in_ten_servers_are_replaced_within_seconds(seed):
    fleet = Fleet(seed, subscribes_to_list=bool(seed % 2))
    fleet.run(3)
    fleet.replace(0.6, 7 * SECOND)
    fleet.run(12)
    assert len(fleet.cold) >= 12 and sum(map(len, fleet.cold.values())) > 40
    after = fleet.run(4)
    assert after["ok"] > 3 * after["aborted"]


@pytest.mark.parametrize("seed", range(3))
def test_gateways_that_hold_different_lists_of_servers_and_of_each_other(seed):
    fleet = Fleet(seed, subscribes_to_list=False)
    dice = fleet.dice
    fleet.cuts = {(a, b) for a in range(40) for b in range(40) if dice.random() < 0.3}  # most one-way
    for index in range(40):  # each has a part of the servers, and one that nobody else has heard of
        for server in dice.sample(range(24), 10):
            fleet.give(index, interface.ServerList(False, False, (entry(server, ServerState.GONE),)))
        fleet.truth[100 + index] = ServerState.READY, fleet.now
        fleet.give(index, interface.ServerList(False, False, (entry(100 + index, ServerState.READY, fleet.now),)))
    answers = fleet.run(10)
    assert answers["ok"] > 100


class Shares(Fleet):
    """Counts what is asked and answered ok by method, customer and third of the time."""

    def __init__(self, seed: int, **more) -> None:
        self.thirds, self.begun = 20 * SECOND, None
        self.asked, self.ok = Counter(), Counter()
        super().__init__(seed, **more)

    def give(self, index: int, event) -> None:
        keys, before = (), self.answers["ok"]
        if isinstance(event, interface.RpcArrived | interface.CallOutEnded):
            self.begun = self.now if self.begun is None else self.begun
            ask = (
                event
                if isinstance(event, interface.RpcArrived)
                else self.rpcs[index, self.lives[index], event.rpc]["ask"]
            )
            third = min(2, (self.now - self.begun) // self.thirds)
            keys = ("method", ask.method), ("customer", ask.customer), ("third", third)
        if isinstance(event, interface.RpcArrived):
            self.asked.update(keys)
        super().give(index, event)
        self.ok.update(keys if self.answers["ok"] > before else ())


@pytest.mark.parametrize("seed", range(2))
def test_each_method_customer_and_third_gets_its_share(seed):
    fleet = Shares(seed, gateways=12, subscribes_to_list=False)
    fleet.bad.add(1)
    fleet.run(60, 30)
    whole = sum(fleet.ok.values()) / sum(fleet.asked.values())
    assert whole > 0.6
    for key, asked in fleet.asked.items():
        assert fleet.ok[key] / asked >= whole * (1 / 3 if key[0] == "customer" else 1 / 2), key
    assert len(fleet.asked) == 4 + 12 + 3
