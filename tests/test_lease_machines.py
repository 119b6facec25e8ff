"""Leases under long random histories: more voters and contenders than a search covers, clocks of any allowed rate."""

from types import SimpleNamespace

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from oakfork.leases import fence, holder, voter
from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import Ask, Grant, Refusal, Release, VoteFreed

DURATIONS = LeaseDurations(lease=3_000, drift=100, act=500, longest=3_000)
TASK = 0
VOTERS, CONTENDERS = 5, 3
RESOURCE = VOTERS + CONTENDERS  # the index of the resource's clock
RATES = st.lists(st.integers(900, 1_100), min_size=VOTERS + CONTENDERS + 1, max_size=VOTERS + CONTENDERS + 1)
JITTER = st.floats(0, 1, exclude_max=True)
ANY_INDEX = st.integers(0, 1 << 30)  # taken modulo the length of a list
CONTENDER = st.integers(0, CONTENDERS - 1)
VOTER = st.integers(0, VOTERS - 1)


class Leases(RuleBasedStateMachine):
    """Voters, contenders and a fenced resource.

    Messages may be lost (never drawn), late, repeated and out of order: each that was sent can be drawn at any time.
    """

    @initialize(rates=RATES)
    def start(self, rates):
        """Starts all processes; `rates` are their clock rates per mille."""
        self.now, self.rates, self.lives, self.floor = 1_000_000, rates, 0, 0
        self.votes = [voter.Vote(0, 0) for _ in range(VOTERS)]
        self.contenders = [self.new_contender(gateway) for gateway in range(CONTENDERS)]
        self.fence = fence.Fence(1)
        self.clock_views = {}
        self.sent, self.acts = [], []
        self.lives_of_terms = {}  # term -> life of its holder
        self.last_held_term = 0

    def new_contender(self, gateway):
        """A contender that has just started."""
        self.lives += 1
        return holder.Contender(gateway, self.lives, tuple(range(VOTERS)))

    def clock(self, index):
        """A process's clock; voters come first, then contenders, then the resource."""
        return self.now * self.rates[index] // 1_000

    def contender_clock(self, gateway):
        """A contender's clock."""
        return self.clock(VOTERS + gateway)

    def send(self, to, messages):
        """Sends messages to a contender."""
        self.sent += [(to, message) for message in messages]

    def send_to_voters(self, messages):
        """Sends each message to all voters."""
        self.sent += [(to, message) for message in messages for to in range(VOTERS)]

    @rule(duration=st.integers(1, 2_000))
    def time_passes(self, duration):
        """True time goes on."""
        self.now += duration

    @rule(gateway=CONTENDER, jitter=JITTER)
    def timer_fires(self, gateway, jitter):
        """A contender looks at its timer, due or not."""
        self.contenders[gateway], messages = holder.on_timer(
            self.contenders[gateway], self.contender_clock(gateway), DURATIONS, TASK, jitter
        )
        self.send_to_voters(messages)

    @rule(index=ANY_INDEX, jitter=JITTER)
    def message_arrives(self, index, jitter):
        """Any message that was ever sent arrives."""
        if self.sent:
            self.deliver(*self.sent[index % len(self.sent)], jitter)

    @rule(gateway=CONTENDER, lost=st.sets(VOTER), jitter=JITTER)
    def round_completes(self, gateway, lost, jitter):
        """The last round of a contender and its answers arrive, or long histories would seldom have a holder."""
        asks = [entry for entry in self.sent if isinstance(entry[1], Ask) and entry[1].gateway == gateway]
        for to, ask in asks[-VOTERS:]:
            if to not in lost:
                before = len(self.sent)
                self.deliver(to, ask, jitter)
                for answer in self.sent[before:]:
                    self.deliver(*answer, jitter)

    def deliver(self, to, message, jitter):
        """Lets a voter or contender handle a message."""
        match message:
            case Ask():
                self.votes[to], reply = voter.on_ask(self.votes[to], self.clock(to), message, DURATIONS, to)
                self.send(message.gateway, [reply])
            case Release():
                self.votes[to], hint = voter.on_release(self.votes[to], self.clock(to), message, to)
                if hint:
                    self.send(hint[0], [hint[1]])
            case Grant():
                self.contenders[to] = holder.on_grant(self.contenders[to], self.contender_clock(to), message, DURATIONS)
            case Refusal():
                self.contenders[to], messages = holder.on_refusal(
                    self.contenders[to], self.contender_clock(to), message, DURATIONS, TASK, jitter
                )
                self.send_to_voters(messages)
            case VoteFreed():
                self.contenders[to] = holder.on_free(self.contenders[to], self.contender_clock(to), message)

    @rule(index=VOTER)
    def voter_restarts(self, index):
        """A voter forgets its vote; its floor is above all terms, as the time of day is in a real one."""
        self.floor = max([self.floor, *self.lives_of_terms]) + 1
        self.votes[index] = voter.initial_vote(self.clock(index), DURATIONS, self.floor)

    @rule(gateway=CONTENDER)
    def contender_restarts(self, gateway):
        """A contender starts with a new life and knows no clock."""
        self.contenders[gateway] = self.new_contender(gateway)
        self.clock_views.pop(gateway, None)

    @rule(gateway=CONTENDER)
    def contender_leaves(self, gateway):
        """A contender begins to leave."""
        self.contenders[gateway] = holder.on_leave(self.contenders[gateway], self.contender_clock(gateway), DURATIONS)

    @rule(gateway=CONTENDER)
    def contender_learns_clock(self, gateway):
        """A contender gets a reply with the resource's clock."""
        self.clock_views[gateway] = fence.ClockView(
            self.fence.life, self.clock(RESOURCE), self.contender_clock(gateway)
        )

    @rule(gateway=CONTENDER)
    def holder_acts(self, gateway):
        """A holder checks its clock, and may then be stopped for any time before its act is sent."""
        self.contenders[gateway], end = holder.begin_act(
            self.contenders[gateway], self.contender_clock(gateway), DURATIONS
        )
        if end and gateway in self.clock_views:
            view = self.clock_views[gateway]
            self.acts.append(
                SimpleNamespace(
                    gateway=gateway,
                    life=view.life,
                    term=self.contenders[gateway].term,
                    end=fence.end_on_their_clock(view, end, DURATIONS),
                )
            )

    @rule(index=ANY_INDEX)
    def act_arrives(self, index):
        """Any act that was ever sent arrives; it must not have its effect beside another holder."""
        if self.acts:
            act = self.acts[index % len(self.acts)]
            highest = self.fence.highest
            self.fence, verdict = fence.check_act(self.fence, self.clock(RESOURCE), act.life, act.term, act.end)
            if verdict is fence.Verdict.TAKEN:
                assert act.term >= highest
                others = [contender for contender in self.contenders if contender.gateway != act.gateway]
                assert not any(other.holds(self.contender_clock(other.gateway)) for other in others)

    @rule(lives=st.integers(2, 9))
    def resource_restarts(self, lives):
        """The resource forgets the terms that it has seen."""
        self.fence = fence.Fence(self.fence.life + lives)

    @invariant()
    def one_contender_holds_at_most_and_terms_increase(self):
        """Holds after every step."""
        if not hasattr(self, "contenders"):
            return
        holding = [one for one in self.contenders if one.holds(self.contender_clock(one.gateway))]
        assert len(holding) <= 1
        for contender in holding:
            assert self.lives_of_terms.setdefault(contender.term, contender.life) == contender.life
            assert contender.term >= self.last_held_term
            self.last_held_term = contender.term


Leases.TestCase.settings = settings(max_examples=60, stateful_step_count=120, deadline=None, derandomize=True)
TestLeases = Leases.TestCase
