"""A large fleet of gateways under the failures of a release, seeded; the five rules are checked after every step."""

import heapq
from collections import Counter

import pytest
from gateway_network import CUSTOMERS, GatewayNetwork, arrival, entry, gateway_settings

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, ServerState, Status

CORES = 3  # of a server here; the gateways don't know it
WORK = 1_650  # tenths of a millisecond: usual length of a call-out here
EVERYWHERE = -1  # in place of a gateway's index: an event of the network itself
COLD_TIME = 15 * SECOND  # that of gateway_settings


class Fleet(GatewayNetwork):
    """A fleet whose servers are replaced, lost and back cold, with a discovery that is late, asked or overloaded."""

    def __init__(self, seed: int, gateways: int = 40, servers: int = 24, subscribes_to_list: bool = True) -> None:
        self.subscribes_to_list = subscribes_to_list
        self.truth = {server: (ServerState.READY, 0) for server in range(servers)}
        self.last_lists = [dict(self.truth) for _ in range(gateways)]  # what each had last, also through a restart
        self.subscribed = [not subscribes_to_list] * gateways
        self.lost: set[int] = set()  # servers that don't answer
        self.bad: set[int] = set()  # servers that fail most call-outs
        self.cuts: set[tuple[int, int]] = set()  # frames from the first never reach the second
        self.discovery_silent_until = 0
        self.failed_subscriptions = 0
        self.cold: dict[int, list[int]] = {}  # server -> when call-outs came while it was cold
        super().__init__(seed, gateways, servers, probing=True)
        self.max_link_rate = 100 / 4  # most peers write nothing at any time

    def launch(self, index: int) -> None:
        """Starts a gateway with the list that it had last."""
        self.end_life(index)
        settings = gateway_settings(
            index,
            self.count,
            self.rng.getrandbits(64),
            probing=True,
            subscribes_to_list=self.subscribes_to_list,
            probe_price=0.08,
            connection_price=0.08,
            peer_frames_per_s=100.0,
            list_timeout=10 * SECOND,
        )
        self.modules[index] = DecisionModule(settings, self.now)
        self.subscribed[index] = not self.subscribes_to_list
        self.listed[index] = {}
        entries = tuple(entry(server, *at) for server, at in self.last_lists[index].items())
        self.deliver(index, interface.ServerList(True, False, entries))

    def deliver(self, index: int, event) -> None:
        """Passes an event to a gateway, which remembers its list through a restart."""
        if isinstance(event, interface.ServerList):
            self.last_lists[index].update({e.server: (e.state, e.up_since) for e in event.entries})
        super().deliver(index, event)

    def execute(self, index: int, command) -> None:
        """Carries out a gateway's command; discovery answers a subscription late or not at all."""
        if not isinstance(command, interface.SubscribeToList):
            super().execute(index, command)
        elif self.now < self.discovery_silent_until or self.rng.random() < 0.2:
            self.failed_subscriptions += 1
            self.schedule(self.rng.choice((50, 50, 50, 20_000)), index, interface.ServerList(False, True, ()))
        else:
            self.schedule(self.rng.randint(50, 15_000), index, self.deliver_complete_list)

    def deliver_complete_list(self, index: int) -> None:
        """Answers a subscription with all servers that are not gone."""
        self.subscribed[index] = True
        entries = tuple(entry(server, *at) for server, at in self.truth.items() if at[0] != ServerState.GONE)
        self.deliver(index, interface.ServerList(True, False, entries))

    def change(self, server: int, state: ServerState, since: int = 0) -> None:
        """Changes a server; the gateways that are subscribed learn of it, each late in its own time."""
        self.truth[server] = state, since
        for index in range(self.count):
            if self.subscribed[index]:
                delay = self.rng.randint(100, 8_000)
                self.schedule(delay, index, lambda index: self._deliver_change(index, server))

    def _deliver_change(self, index: int, server: int) -> None:
        self.deliver(index, interface.ServerList(False, False, (entry(server, *self.truth[server]),)))

    def frame_arrives(self, sender: int, receiver: int) -> bool:
        """Whether the way from one gateway to another is not cut."""
        return (sender, receiver) not in self.cuts

    def probe_result(self, server: int) -> tuple[int, int]:
        """A probe fails at a server that is gone or lost."""
        if self.truth[server][0] == ServerState.GONE:
            return 9, Status.CONNECT_FAILED
        return (2_500, Status.TIMED_OUT) if server in self.lost else (self.rng.choice((9, 9, 30, 200)), Status.OK)

    def call_out_result(self, server: int, status: Status, took: int, left: int) -> tuple[Status, int]:
        """A call-out fails at a server that is gone, lost or mostly at a bad one; at a cold one it is counted."""
        state, since = self.truth[server]
        if state == ServerState.GONE:
            return Status.CONNECT_FAILED, 9
        if server in self.lost:
            return Status.TIMED_OUT, left
        if server in self.bad and self.rng.random() < 0.7:
            return Status.ERROR, 60
        if since and self.now < since + COLD_TIME:
            self._check_cold(server, since)
        return status, took

    def _check_cold(self, server: int, since: int) -> None:
        """Rule 4: in any two seconds at most twice what the server can do by its slowest ramp, and three more."""
        times = self.cold.setdefault(server, [])
        times.append(self.now)
        ramp = 0.2 + 0.8 * max(0, self.now - since) / COLD_TIME
        recent = sum(self.now - at < 2 * SECOND for at in times)
        assert recent <= 3 + 2 * CORES * ramp * 2 * SECOND / WORK, "rule 4: a cold server was overloaded"

    def kill(self, share: float) -> None:
        """Kills a share of the gateways at one instant; all are back together half a second later."""
        for index in self.rng.sample(range(self.count), int(self.count * share)):
            self.end_life(index)
            self.down_until[index] = self.now + SECOND // 2
            self.schedule(SECOND // 2, index, self.launch)

    def replace(self, share: float, within: int) -> None:
        """Takes out a share of the servers, one after the other, each for a new one that starts cold."""
        ready = [server for server, (state, _) in self.truth.items() if state == ServerState.READY]
        for server in self.rng.sample(ready, int(len(ready) * share)):
            at, new = self.rng.randrange(within), len(self.truth)
            self.truth[new] = ServerState.GONE, 0  # its number is taken
            self.at(at, lambda server=server: self.change(server, ServerState.DRAINING))
            self.at(at + SECOND, lambda new=new: self.change(new, ServerState.READY, self.now))
            self.at(at + 2 * SECOND, lambda server=server: self.change(server, ServerState.GONE))

    def at(self, after: int, act) -> None:
        """Has the network itself do something, whichever gateway is up."""
        self.schedule(after, EVERYWHERE, lambda _: act())

    def step(self) -> bool:
        """Runs the next event and checks the rules; False where none is left."""
        if self.queue and self.queue[0][2] == EVERYWHERE:
            self.now, _, _, _, act = heapq.heappop(self.queue)
            act(EVERYWHERE)
            return True
        return super().step()

    def burst_under_ceilings(self) -> None:
        """Has each customer under a ceiling ask at once for all that it can get, through all its gateways."""
        for customer in (1, 3, 5, 7, 9, 11):
            spread = 2 + customer % 3
            for number in range(30):
                index = (customer + number % spread) % self.count
                self.last_rpc += 1
                if self.now >= self.down_until[index]:
                    self.deliver(index, arrival(self.last_rpc, customer, 0, customer % 4, 1.0, customer, spread))

    def run(self, seconds: int, per_second: int = 60) -> dict[str, int]:
        """Runs traffic and returns how many RPCs were answered in that time, by kind of answer."""
        before = dict(self.answers)
        self.play(seconds, per_second)
        return {kind: number - before[kind] for kind, number in self.answers.items()}

    def inject_fault(self) -> None:
        """Does nothing: each test brings about its own failures."""


@pytest.mark.parametrize("seed", range(4))
def test_most_gateways_are_killed_at_once_while_servers_are_replaced_and_discovery_is_overloaded(seed):
    """After a mass kill the gateways must find the servers again without flooding discovery."""
    fleet = Fleet(seed)
    fleet.run(4)
    fleet.replace(0.5, 4 * SECOND)
    fleet.run(2)
    fleet.discovery_silent_until = fleet.now + 4 * SECOND
    fleet.burst_under_ceilings()
    fleet.kill(0.9)
    for seconds in (0.52, 0.1, 0.5, 1):  # the greetings are answered meanwhile
        fleet.run(seconds)
        fleet.burst_under_ceilings()
    fleet.run(3)
    assert 36 < fleet.failed_subscriptions < 36 * 4  # each asked again now and then, not ten times a second
    fleet.run(12)
    assert sum(fleet.subscribed) >= 34
    fleet.run(24, 20)
    assert all(fleet.subscribed)
    gone = {server for server, (state, _) in fleet.truth.items() if state == ServerState.GONE}
    assert not any(gone & set(module.servers.ready) for module in fleet.modules)
    late = fleet.run(4)
    assert late["ok"] > 3 * late["aborted"] and late["ok"] > 20


@pytest.mark.parametrize("seed", range(3))
def test_a_zone_is_lost_and_back_cold_with_a_bad_server_among_the_rest(seed):
    """Servers that come back together must not be overloaded, nor a failing one be relied on meanwhile."""
    fleet = Fleet(seed, subscribes_to_list=False)
    fleet.bad.add(1)
    fleet.run(3)
    zone = [server for server in fleet.truth if server % 2 == 0]
    fleet.lost.update(zone)
    fleet.run(4)
    for server in zone:  # the gateways learn late that they were gone, and soon after that they are back
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
    """The cold ones among them must be used, but not overloaded."""
    fleet = Fleet(seed, subscribes_to_list=bool(seed % 2))
    fleet.run(3)
    fleet.replace(0.6, 7 * SECOND)
    fleet.run(12)
    assert len(fleet.cold) >= 12 and sum(map(len, fleet.cold.values())) > 40
    after = fleet.run(4)
    assert after["ok"] > 3 * after["aborted"]


@pytest.mark.parametrize("seed", range(3))
def test_gateways_that_hold_different_lists_of_servers_and_of_each_other(seed):
    """Gateways that agree on neither servers nor peers must still keep the rules and answer."""
    fleet = Fleet(seed, subscribes_to_list=False)
    rng = fleet.rng
    fleet.cuts = {(a, b) for a in range(40) for b in range(40) if rng.random() < 0.3}  # most one-way
    for index in range(40):  # each has a part of the servers, and one that no other has heard of
        for server in rng.sample(range(24), 10):
            fleet.deliver(index, interface.ServerList(False, False, (entry(server, ServerState.GONE),)))
        fleet.truth[100 + index] = ServerState.READY, fleet.now
        own = entry(100 + index, ServerState.READY, fleet.now)
        fleet.deliver(index, interface.ServerList(False, False, (own,)))
    answers = fleet.run(10)
    assert answers["ok"] > 100


class CountedFleet(Fleet):
    """Counts what is asked and answered OK by method, by customer and by third of the time."""

    THIRD = 20 * SECOND

    def __init__(self, seed: int, **settings) -> None:
        self.started_at = None
        self.asked, self.ok = Counter(), Counter()
        super().__init__(seed, **settings)

    def deliver(self, index: int, event) -> None:
        """Passes an event to a gateway and counts an RPC that comes in or is answered OK."""
        keys, before = (), self.answers["ok"]
        if isinstance(event, interface.RpcArrived):
            keys = self._keys(event)
            self.asked.update(keys)
        elif isinstance(event, interface.CallOutEnded):
            keys = self._keys(self.rpcs[index, self.lives[index], event.rpc].request)
        super().deliver(index, event)
        if self.answers["ok"] > before:
            self.ok.update(keys)

    def _keys(self, request: interface.RpcArrived) -> tuple[tuple[str, int], ...]:
        if self.started_at is None:
            self.started_at = self.now
        third = min(2, (self.now - self.started_at) // self.THIRD)
        return ("method", request.method), ("customer", request.customer), ("third", third)


@pytest.mark.parametrize("seed", range(2))
def test_each_method_customer_and_third_gets_its_share(seed):
    """A good total must not hide a method, a customer or a time that gets little."""
    fleet = CountedFleet(seed, gateways=12, subscribes_to_list=False)
    fleet.bad.add(1)
    fleet.run(60, 30)
    whole = sum(fleet.ok.values()) / sum(fleet.asked.values())
    assert whole > 0.6
    for key, asked in fleet.asked.items():
        assert fleet.ok[key] / asked >= whole * (1 / 3 if key[0] == "customer" else 1 / 2), key
    assert len(fleet.asked) == 4 + CUSTOMERS + 3
