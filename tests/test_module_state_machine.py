"""The decision module under drawn settings and drawn acts, the five rules checked by the world after every step."""

import pytest
from gateway_network import PLANS, GatewayNetwork, arrival, entry, gateway_settings
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

DEADLINES = st.sampled_from([(1_500, 4_500), (4_000, 9_000), (8_000, 30_000)])


@st.composite
def methods(draw):
    """Any effect, groups of all kinds, windows from a fifth of a second, deadlines from half a second."""
    made = []
    for repeat in draw(st.lists(st.sampled_from(list(RepeatSafety)), min_size=1, max_size=4)):
        soft, deadline = draw(DEADLINES)
        made.append(
            Method(
                soft,
                deadline,
                repeat,
                draw(st.sampled_from(("all", "zone", "cell"))),
                draw(st.sampled_from((0, 2_000, 4_000, 15_000, 60_000))),
                1.0,
                0.0,
                False,
            )
        )
    return tuple(made)


class Tier(RuleBasedStateMachine):
    """Three gateways and six servers. Connections come up at once, or up to a second and a half later."""

    @initialize(
        methods=methods(),
        cancel=st.booleans(),
        probing=st.booleans(),
        copies=st.booleans(),
        subscribes_to_list=st.booleans(),
        most=st.integers(1, 6),
        seed=st.integers(0, 1 << 60),
        late=st.sampled_from([(0, 4_000, 15_000), (0, 300), (0,)]),
    )
    def begin(self, methods, cancel, probing, copies, subscribes_to_list, most, late, seed):
        self.world = GatewayNetwork(
            seed,
            3,
            6,
            probing=probing,
            methods=methods,
            cancel=cancel,
            second_copies=copies,
            subscribes_to_list=subscribes_to_list,
            max_call_outs=most,
        )
        self.world.late = late

    @rule(
        customer=st.integers(0, 11),
        method=st.integers(0, 3),
        gateway=st.integers(0, 2),
        share=st.sampled_from((1.0, 0.4, 0.02)),
        number=st.integers(1, 6),
    )
    def ask(self, customer, method, gateway, share, number):
        world = self.world
        for more in range(3 * number):
            world.next_rpc += 1
            which, who = (method + more) % len(world.methods), (customer + more) % 12
            world.give(
                gateway,
                arrival(
                    world.next_rpc, who, which, who % len(PLANS), 1.0, 0, 3, int(world.methods[which].deadline * share)
                ),
            )
        self.time_goes_on(400)  # an owner has answered by then

    @rule(after=st.sampled_from((1, 40, 500, 3_000, 12_000, 60_000)))
    def time_goes_on(self, after):
        until = self.world.now + after
        while self.world.queue and self.world.queue[0][0] <= until:
            self.world.step()
        self.world.now = until

    @precondition(lambda self: self.world.rpcs)
    @rule(which=st.integers(0, 1 << 30))
    def a_client_goes(self, which):
        keys = sorted(self.world.rpcs)
        index, _, rpc = keys[which % len(keys)]
        if not self.world.rpcs[keys[which % len(keys)]]["over"]:
            self.world.give(index, interface.ClientDisconnected(rpc))

    @rule(gateway=st.integers(0, 2))
    def a_gateway_restarts(self, gateway):
        self.world.launch(gateway)

    @rule(
        server=st.integers(0, 5),
        state=st.sampled_from((ServerState.DRAINING, ServerState.GONE, ServerState.READY)),
        fresh=st.booleans(),
        told=st.sets(st.integers(0, 2), min_size=1),
    )
    def a_server_changes(self, server, state, fresh, told):
        connecting = [
            where
            for known in self.world.rpcs.values()
            for number, where in known["out"].items()
            if number not in known["maybe"]
        ]
        server = connecting[server % len(connecting)] if connecting else server
        for gateway in told:
            self.world.give(
                gateway, interface.ServerList(False, False, (entry(server, state, self.world.now * fresh),))
            )

    @rule(gateway=st.integers(0, 2), kept=st.sets(st.integers(0, 5)))
    def a_whole_list_names_some(self, gateway, kept):
        told = self.world.told[gateway]
        listed = tuple(entry(server, *told.get(server, (ServerState.READY, 0))) for server in sorted(kept))
        self.world.give(gateway, interface.ServerList(True, False, listed))

    @rule(gateway=st.integers(0, 2))
    def a_call_for_the_list_fails(self, gateway):
        self.world.give(gateway, interface.ServerList(False, True, ()))

    @rule()
    def messages_are_cut_or_not(self):
        self.world.cut = not self.world.cut

    @invariant()
    def tables_hold_what_is_open(self):
        for index, module in enumerate(self.world.modules if hasattr(self, "world") else ()):
            life = self.world.lives[index]
            open_here = sum(key[:2] == (index, life) for key in self.world.rpcs)
            assert len(module.rpcs) <= open_here and len(module.quotas.buckets) <= 12 * 3

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.time_goes_on(70_000)
        assert all(known["over"] for known in self.world.rpcs.values()), "rule 1: left without an answer"
        assert not any(known["out"] for known in self.world.rpcs.values())
        assert not any(module.rpcs for module in self.world.modules)


Tier.TestCase.settings = settings(
    max_examples=40, stateful_step_count=40, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck)
)
test_the_rules_hold_under_drawn_settings = Tier.TestCase


@pytest.mark.parametrize(
    "broken",
    [
        lambda commands: [c for c in commands if not isinstance(c, interface.CancelIfUnsent)],
        lambda commands: [
            c._replace(write_deadline=0) if isinstance(c, interface.SendCallOut) else c for c in commands
        ],
    ],
)
def test_the_world_finds_modules_that_do_not_look_again(monkeypatch, broken):
    """A checker that can't fail proves nothing: without a recall, or without an end of the window, it finds a fault."""

    def play(seed):
        short = Method(8_000, 30_000, RepeatSafety.DEDUPLICATED, "all", 4_000, 1.0, 0.0, False)
        world = GatewayNetwork(seed, 3, 6, probing=True, methods=(short, short), cancel=False)
        world.late = (0, 3_000, 15_000)
        world.play(12, 60)

    for seed in range(3):
        play(seed)
    finish = DecisionContext.finish
    monkeypatch.setattr(DecisionContext, "finish", lambda context: broken(finish(context)))
    with pytest.raises(AssertionError, match="rule|gone"):
        for seed in range(30):
            play(seed)


def test_one_plans_terms_say_nothing_of_anothers():
    """A customer whose RPCs name another plan, or other terms, is judged by those, and the first one's bucket is not
    clamped, refilled or spent by them."""
    module = DecisionModule(gateway_settings(), 0)
    module.handle(0, interface.ServerList(True, False, (entry(0), entry(1))))
    kinds = []
    for rpc, plan in enumerate([0] * 9 + [1] + [2] * 4):  # plan 0 holds eight, plan 2 three at once
        commands = module.handle(SECOND + rpc, arrival(rpc, 7, plan=plan))
        kinds.append("ok" if any(isinstance(c, interface.SendCallOut) for c in commands) else "pushed back")
    assert kinds == ["ok"] * 8 + ["pushed back"] + ["ok"] + ["ok"] * 3 + ["pushed back"]
    assert module.quotas.buckets[7, 0].tokens < 0.1 and module.quotas.buckets[7, 2].tokens == pytest.approx(27, abs=0.1)
