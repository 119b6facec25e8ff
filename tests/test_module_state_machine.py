"""The decision module under drawn settings and drawn events; the network checks its five rules after every step."""

import pytest
from gateway_network import CUSTOMERS, PLANS, GatewayNetwork, arrival, entry, gateway_settings
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.decision.context import DecisionContext
from oakfork.interface import SECOND, Method, RepeatSafety, ServerState

GATEWAYS, SERVERS = 3, 6
DEADLINES = st.sampled_from([(1_500, 4_500), (4_000, 9_000), (8_000, 30_000)])


@st.composite
def methods(draw):
    """One to four methods of any repeat safety and group, with long and short deduplication times and deadlines."""
    drawn = []
    for repeat in draw(st.lists(st.sampled_from(list(RepeatSafety)), min_size=1, max_size=4)):
        soft_deadline, deadline = draw(DEADLINES)
        group = draw(st.sampled_from(("all", "zone", "cell")))
        deduplication_time = draw(st.sampled_from((0, 2_000, 4_000, 15_000, 60_000)))
        drawn.append(Method(soft_deadline, deadline, repeat, group, deduplication_time, 1.0, 0.0, False))
    return tuple(drawn)


class NetworkMachine(RuleBasedStateMachine):
    """Three gateways and six servers. Connections come up at once, or up to a second and a half later."""

    @initialize(
        methods=methods(),
        cancel=st.booleans(),
        probing=st.booleans(),
        second_copies=st.booleans(),
        subscribes_to_list=st.booleans(),
        max_call_outs=st.integers(1, 6),
        seed=st.integers(0, 1 << 60),
        connect_delays=st.sampled_from([(0, 4_000, 15_000), (0, 300), (0,)]),
    )
    def begin(self, seed, connect_delays, **drawn):
        """Starts the gateways with drawn settings."""
        self.network = GatewayNetwork(seed, GATEWAYS, SERVERS, **drawn)
        self.network.connect_delays = connect_delays

    @rule(
        customer=st.integers(0, CUSTOMERS - 1),
        method=st.integers(0, 3),
        gateway=st.integers(0, GATEWAYS - 1),
        share=st.sampled_from((1.0, 0.4, 0.02)),
        number=st.integers(1, 6),
    )
    def rpcs_arrive(self, customer, method, gateway, share, number):
        """RPCs of several customers and methods, with a share of their deadline left."""
        network = self.network
        for offset in range(3 * number):
            network.last_rpc += 1
            which = (method + offset) % len(network.methods)
            who = (customer + offset) % CUSTOMERS
            time_left = int(network.methods[which].deadline * share)
            network.deliver(
                gateway, arrival(network.last_rpc, who, which, who % len(PLANS), 1.0, 0, GATEWAYS, time_left)
            )
        self.time_passes(400)  # an owner has answered by then

    @rule(after=st.sampled_from((1, 40, 500, 3_000, 12_000, 60_000)))
    def time_passes(self, after):
        """Delivers what is due."""
        until = self.network.now + after
        while self.network.queue and self.network.queue[0][0] <= until:
            self.network.step()
        self.network.now = until

    @precondition(lambda self: self.network.rpcs)
    @rule(which=st.integers(0, 1 << 30))
    def a_client_disconnects(self, which):
        """The client of an unanswered RPC goes."""
        keys = sorted(self.network.rpcs)
        key = keys[which % len(keys)]
        index, _, rpc = key
        if not self.network.rpcs[key].answered:
            self.network.deliver(index, interface.ClientDisconnected(rpc))

    @rule(gateway=st.integers(0, GATEWAYS - 1))
    def a_gateway_restarts(self, gateway):
        """A gateway loses all its state."""
        self.network.launch(gateway)

    @rule(
        server=st.integers(0, SERVERS - 1),
        state=st.sampled_from((ServerState.DRAINING, ServerState.GONE, ServerState.READY)),
        fresh=st.booleans(),
        gateways=st.sets(st.integers(0, GATEWAYS - 1), min_size=1),
    )
    def a_server_changes(self, server, state, fresh, gateways):
        """Some gateways learn of a change, where possible of a server to which a connection is coming up."""
        connecting = [
            other
            for tracked in self.network.rpcs.values()
            for number, other in tracked.open_call_outs.items()
            if number not in tracked.begun
        ]
        server = connecting[server % len(connecting)] if connecting else server
        for gateway in gateways:
            change = entry(server, state, self.network.now * fresh)
            self.network.deliver(gateway, interface.ServerList(False, False, (change,)))

    @rule(gateway=st.integers(0, GATEWAYS - 1), kept=st.sets(st.integers(0, SERVERS - 1)))
    def a_server_list_is_complete(self, gateway, kept):
        """Servers that a complete list leaves out are gone."""
        known = self.network.listed[gateway]
        entries = tuple(entry(server, *known.get(server, (ServerState.READY, 0))) for server in sorted(kept))
        self.network.deliver(gateway, interface.ServerList(True, False, entries))

    @rule(gateway=st.integers(0, GATEWAYS - 1))
    def a_call_for_the_list_fails(self, gateway):
        """Discovery does not answer."""
        self.network.deliver(gateway, interface.ServerList(False, True, ()))

    @rule()
    def the_gateways_are_partitioned_or_not(self):
        """Frames between gateways stop arriving, or arrive again."""
        self.network.partitioned = not self.network.partitioned

    @invariant()
    def tables_hold_only_what_is_open(self):
        """Guards against tables that grow without bound."""
        for index, module in enumerate(self.network.modules if hasattr(self, "network") else ()):
            life = self.network.lives[index]
            open_here = sum(key[:2] == (index, life) for key in self.network.rpcs)
            assert len(module.rpcs) <= open_here and len(module.quotas.buckets) <= CUSTOMERS * 3

    def teardown(self):
        """Every RPC must have its answer in the end, and no table may keep anything of it."""
        if not hasattr(self, "network"):
            return
        self.time_passes(70_000)
        assert all(tracked.answered for tracked in self.network.rpcs.values()), "rule 1: left without an answer"
        assert not any(tracked.open_call_outs for tracked in self.network.rpcs.values())
        assert not any(module.rpcs for module in self.network.modules)


NetworkMachine.TestCase.settings = settings(
    max_examples=40, stateful_step_count=40, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
test_the_rules_hold_under_drawn_settings = NetworkMachine.TestCase


def without_cancel_if_unsent(commands):
    """The commands of a module that never cancels a call-out that has not begun."""
    return [command for command in commands if not isinstance(command, interface.CancelIfUnsent)]


def without_write_deadlines(commands):
    """The commands of a module that lets call-outs begin at any time."""
    return [
        command._replace(write_deadline=0) if isinstance(command, interface.SendCallOut) else command
        for command in commands
    ]


@pytest.mark.parametrize("broken", [without_cancel_if_unsent, without_write_deadlines])
def test_the_network_finds_modules_that_do_not_check_again_before_a_call_out_begins(monkeypatch, broken):
    """A checker that can't fail proves nothing: each of these modules must break a rule."""

    def play(seed):
        short = Method(8_000, 30_000, RepeatSafety.DEDUPLICATED, "all", 4_000, 1.0, 0.0, False)
        network = GatewayNetwork(seed, GATEWAYS, SERVERS, probing=True, methods=(short, short), cancel=False)
        network.connect_delays = (0, 3_000, 15_000)
        network.play(12, 60)

    for seed in range(3):
        play(seed)
    finish = DecisionContext.finish
    monkeypatch.setattr(DecisionContext, "finish", lambda context: broken(finish(context)))
    with pytest.raises(AssertionError, match="rule|gone"):
        for seed in range(30):
            play(seed)


def test_the_terms_of_one_plan_do_not_apply_to_another():
    """A customer whose RPCs name several plans has a bucket for each.

    Guards against a bucket that is clamped, refilled or spent by the terms of another plan.
    """
    module = DecisionModule(gateway_settings(), 0)
    module.handle(0, interface.ServerList(True, False, (entry(0), entry(1))))
    answers = []
    for rpc, plan in enumerate([0] * 9 + [1] + [2] * 4):  # plan 0 holds eight, plan 2 three at once
        commands = module.handle(SECOND + rpc, arrival(rpc, 7, plan=plan))
        sent = any(isinstance(command, interface.SendCallOut) for command in commands)
        answers.append("ok" if sent else "pushed back")
    assert answers == ["ok"] * 8 + ["pushed back"] + ["ok"] + ["ok"] * 3 + ["pushed back"]
    assert module.quotas.buckets[7, 0].tokens < 0.1 and module.quotas.buckets[7, 2].tokens == pytest.approx(27, abs=0.1)
