"""Leases under long random histories: more voters and contenders than a search can hold, clocks of any allowed rate."""

from types import SimpleNamespace

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from oakfork.leases import fence, holder, voter
from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import Ask, Grant, Refusal, Release, VoteFreed

LENGTHS = LeaseDurations(lease=3_000, drift=100, act=500, longest=3_000)
VOTERS, CONTENDERS = 5, 3
CHANCE = st.floats(0, 1, exclude_max=True)


class Leases(RuleBasedStateMachine):
    """Messages may be lost (never drawn), late, doubled and out of order: each that was said can be drawn at any
    time."""

    @initialize(
        rates=st.lists(st.integers(900, 1_100), min_size=VOTERS + CONTENDERS + 1, max_size=VOTERS + CONTENDERS + 1)
    )
    def start(self, rates):
        self.now, self.rates, self.lives, self.floor = 1_000_000, rates, 0, 0
        self.votes = [voter.Vote(0, 0) for _ in range(VOTERS)]
        self.ones = [self.fresh(me) for me in range(CONTENDERS)]
        self.guard = fence.Fence(1)
        self.views = {}
        self.said, self.acts = [], []
        self.terms = {}  # term -> life that held it
        self.held = 0

    def fresh(self, me):
        self.lives += 1
        return holder.Contender(me, self.lives, tuple(range(VOTERS)))

    def clock(self, part):
        return self.now * self.rates[part] // 1_000

    def mine(self, me):
        return self.clock(VOTERS + me)

    def say(self, to, messages):
        self.said += [(number, message) for message in messages for number in (range(VOTERS) if to is None else [to])]

    @rule(step=st.integers(1, 2_000))
    def time_goes_on(self, step):
        self.now += step

    @rule(me=st.integers(0, CONTENDERS - 1), chance=CHANCE)
    def a_contender_goes_on(self, me, chance):
        self.ones[me], said = holder.on_timer(self.ones[me], self.mine(me), LENGTHS, 0, chance)
        self.say(None, said)

    @rule(which=st.integers(0, 1 << 30), chance=CHANCE)
    def something_arrives(self, which, chance):
        if self.said:
            self.arrives(*self.said[which % len(self.said)], chance)

    @rule(me=st.integers(0, CONTENDERS - 1), lost=st.sets(st.integers(0, VOTERS - 1)), chance=CHANCE)
    def a_round_goes_through(self, me, lost, chance):
        """Or long histories would seldom have a holder."""
        for to, message in [one for one in self.said if isinstance(one[1], Ask) and one[1].gateway == me][-VOTERS:]:
            if to not in lost:
                before = len(self.said)
                self.arrives(to, message, chance)
                for answer in self.said[before:]:
                    self.arrives(*answer, chance)

    def arrives(self, to, message, chance):
        match message:
            case Ask():
                self.votes[to], reply = voter.on_ask(self.votes[to], self.clock(to), message, LENGTHS, to)
                self.say(message.gateway, [reply])
            case Release():
                self.votes[to], hint = voter.on_release(self.votes[to], self.clock(to), message, to)
                if hint:
                    self.say(hint[0], [hint[1]])
            case Grant():
                self.ones[to] = holder.on_grant(self.ones[to], self.mine(to), message, LENGTHS)
            case Refusal():
                self.ones[to], said = holder.on_refusal(self.ones[to], self.mine(to), message, LENGTHS, 0, chance)
                self.say(None, said)
            case VoteFreed():
                self.ones[to] = holder.on_free(self.ones[to], self.mine(to))

    @rule(number=st.integers(0, VOTERS - 1))
    def a_voter_restarts(self, number):
        self.floor = max([self.floor, *self.terms]) + 1  # the time of day has gone on
        self.votes[number] = voter.initial_vote(self.clock(number), LENGTHS, self.floor)

    @rule(me=st.integers(0, CONTENDERS - 1))
    def a_contender_restarts(self, me):
        self.ones[me] = self.fresh(me)
        self.views.pop(me, None)

    @rule(me=st.integers(0, CONTENDERS - 1))
    def a_contender_leaves(self, me):
        self.ones[me] = holder.on_leave(self.ones[me], self.mine(me), LENGTHS)

    @rule(me=st.integers(0, CONTENDERS - 1))
    def a_clock_is_learnt(self, me):
        self.views[me] = fence.ClockView(self.guard.life, self.clock(VOTERS + CONTENDERS), self.mine(me))

    @rule(me=st.integers(0, CONTENDERS - 1))
    def a_holder_acts(self, me):
        """It looks at its clock, and may then stand still before the act is said, for any time."""
        self.ones[me], end = holder.begin_act(self.ones[me], self.mine(me), LENGTHS)
        if end and me in self.views:
            view = self.views[me]
            self.acts.append(
                SimpleNamespace(
                    me=me, life=view.life, term=self.ones[me].term, end=fence.end_on_their_clock(view, end, LENGTHS)
                )
            )

    @rule(which=st.integers(0, 1 << 30))
    def an_act_arrives(self, which):
        if self.acts:
            act = self.acts[which % len(self.acts)]
            highest = self.guard.highest
            self.guard, verdict = fence.check_act(
                self.guard, self.clock(VOTERS + CONTENDERS), act.life, act.term, act.end
            )
            if verdict is fence.Verdict.TAKEN:
                assert act.term >= highest
                assert not any(one.holds(self.mine(one.me)) for one in self.ones if one.me != act.me)

    @rule(life=st.integers(2, 9))
    def the_guard_restarts(self, life):
        self.guard = fence.Fence(self.guard.life + life)

    @invariant()
    def one_holds_at_most_and_terms_grow(self):
        if not hasattr(self, "ones"):
            return
        holding = [one for one in self.ones if one.holds(self.mine(one.me))]
        assert len(holding) <= 1
        for one in holding:
            assert self.terms.setdefault(one.term, one.life) == one.life
            assert one.term >= self.held
            self.held = one.term


Leases.TestCase.settings = settings(max_examples=60, stateful_step_count=120, deadline=None, derandomize=True)
TestLeases = Leases.TestCase
