"""All interleavings of a few voters, contenders and a fenced resource, to a stated depth.

A message that was sent may arrive at any time, any number of times, or never: the set of messages only grows, so it
covers loss, repetition, reordering and delay without bound. Clocks run at rates of their own. A process may restart
with nothing, or stop: an act is sent after its holder has checked its clock, and may arrive at any later time. Backoff
is left out: a contender may start a round at any time, which is more than backoff allows.

States and messages are replaced by numbers, and the effect of each step is cached; without that a search takes hours.
"""

from collections.abc import Callable, Iterable, Iterator
from enum import IntEnum
from functools import cache
from typing import Any, NamedTuple

from oakfork.leases import fence, holder, voter
from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import Ask, ClockReply, ClockRequest, Grant, Refusal, Release, VoteFreed

DURATIONS = LeaseDurations(lease=24, drift=200, act=24, longest=24)
# What a clock counts in one unit of true time; a drift of 200 per mille allows these.
SLOW, EVEN, FAST = 8, 10, 12
TASK = 0
JITTER = 0.0
RESOURCE = -1  # in place of a participant's index
RESTART_LIFE_STEP = 100  # between two lives of a contender
FLOOR_STEP = 100  # between the floors of two restarts
REPLACEABLE = (
    voter.initial_vote,
    voter.on_ask,
    voter.on_release,
    holder.on_timer,
    holder.on_grant,
    holder.on_leave,
    holder.on_refusal,
    holder.begin_act,
    fence.check_act,
    fence.end_on_their_clock,
)


class Step(IntEnum):
    """What happens to a participant, beside messages; negative, because messages are numbered from 0."""

    TIMER = -1
    RESTART = -2
    ACT = -3
    LEAVE = -4


class Act(NamedTuple):
    """An act that a holder has sent to the resource."""

    contender: int
    life: int  # of the resource
    term: int
    end: int


class ContenderState(NamedTuple):
    """A contender, and what it knows of the resource's clock."""

    contender: holder.Contender
    view: fence.ClockView | None = None


class Budget(NamedTuple):
    """How many steps of each kind may still happen."""

    timers: int
    restarts: int
    acts: int
    leaves: int


class LastHeld(NamedTuple):
    """The highest term that was held, and its holder's life."""

    term: int = 0
    life: int = 0


class State(NamedTuple):
    """The state of all participants, and the messages sent so far."""

    now: int  # true time
    budget: Budget
    participants: tuple[int, ...]  # voters, contenders, the resource: numbers of their states
    messages: frozenset[int]  # numbers of messages
    last_held: LastHeld = LastHeld()


class Effect(NamedTuple):
    """What a step does to a participant."""

    state: int  # number
    sent: tuple[int, ...]  # numbers of messages
    act_taken: bool


class InvariantBrokenError(Exception):
    """A rule of leases does not hold in some order of events."""


class ValueNumbering:
    """Assigns numbers to values, from 0 on; `values` has them by number."""

    def __init__(self) -> None:
        """Starts with no values."""
        self.numbers: dict[Any, int] = {}
        self.values: list[Any] = []

    def __call__(self, value: Any) -> int:
        """The number of a value, a new one if it has none yet."""
        if value not in self.numbers:
            self.numbers[value] = len(self.values)
            self.values.append(value)
        return self.numbers[value]


class Search:
    """A search over the orders of events that the arguments allow."""

    def __init__(
        self,
        voters: int = 3,
        contenders: int = 2,
        rates: tuple[int, int, int] = (FAST, SLOW, EVEN),
        timers: int = 2,
        restarts: int = 0,
        acts: int = 0,
        leaves: int = 0,
        end_time: int = 1,
        time_step: int = 1,
        term_lead: int = 10,
        all_answers: bool = False,
        **replaced: Callable[..., Any],
    ) -> None:
        """Sets the bounds of the search.

        `rates` are the clock rates of voters, contenders and the resource. `timers`, `restarts`, `acts` and `leaves`
        bound the steps of each kind; `end_time` and `time_step` are true time. Each contender has heard of terms higher
        by `term_lead` than the one before it. `all_answers` also delivers answers that can have no effect any more.
        `replaced` gives faulty functions in place of those in `REPLACEABLE` with the same names.
        """
        self.voters = voters
        self.contenders = contenders
        self.rates = rates
        self.budget = Budget(timers, restarts, acts, leaves)
        self.end_time = end_time
        self.time_step = time_step
        self.functions = {function.__name__: function for function in REPLACEABLE}
        assert replaced.keys() <= self.functions.keys()
        self.functions |= replaced
        self.term_lead = term_lead
        self.all_answers = all_answers
        self.states = ValueNumbering()
        self.messages = ValueNumbering()
        self.seen = 0
        self.depth = 0
        self.without_spent = cache(self._without_spent)
        self.effect = cache(self._effect)
        self.holds = cache(self._holds)
        self.has_effect = cache(self._has_effect)
        self.untouched_voter = self.states(voter.Vote(0, 0))  # has been running for long

    def initial_state(self) -> State:
        """The state in which nothing has been sent.

        Later contenders have heard of higher terms, so that a refusal need not teach them first.
        """
        voters = tuple(range(self.voters))
        contenders = (
            ContenderState(holder.Contender(gateway, 100 + gateway, voters, highest_term=self.term_lead * gateway))
            for gateway in range(self.contenders)
        )
        participants = (self.untouched_voter,) * self.voters
        participants += tuple(map(self.states, (*contenders, fence.Fence(1))))
        return State(1, self.budget, participants, frozenset())

    def clock(self, index: int, now: int) -> int:
        """A participant's clock at a true time."""
        if index < self.voters:
            return now * self.rates[0]
        if index < self.voters + self.contenders:
            return now * self.rates[1]
        return now * self.rates[2]

    def _is_contender(self, index: int) -> bool:
        return self.voters <= index < self.voters + self.contenders

    def _holds(self, number: int, now: int) -> bool:
        return self.states.values[number].contender.holds(self.clock(self.voters, now))

    def _without_spent(self, index: int, number: int, now: int) -> int:
        """The state without what can't make a difference later: backoff, and votes that have expired."""
        state = self.states.values[number]
        if isinstance(state, ContenderState):
            wake = state.contender.wake if state.contender.leaving else 0
            contender = state.contender._replace(wake=wake, failed_rounds=0, shortest_wait=0)
            return self.states(state._replace(contender=contender))
        if isinstance(state, voter.Vote) and state.expires <= self.clock(index, now):
            return self.states(state._replace(expires=0))
        return number

    def _has_effect(self, number: int, message: int) -> bool:
        """Whether an answer can still change a contender."""
        contender = self.states.values[number].contender
        answer = self.messages.values[message][1]
        if self.all_answers or not isinstance(answer, Grant | Refusal):
            return True
        if answer.life != contender.life:
            return False
        counted = contender.grants if isinstance(answer, Grant) else contender.refusals
        if answer.round == contender.round and answer.voter not in counted:
            return True
        return isinstance(answer, Refusal) and answer.highest_term > contender.highest_term

    def _effect(self, index: int, number: int, now: int, step: int, floor: int) -> Effect:
        """What a step, or a message by its number, does to a participant. `floor` is for a restart."""
        state = self.states.values[number]
        clock = self.clock(index, now)
        event = self.messages.values[step][1] if step >= 0 else step
        sent: Iterable[tuple[int, Any]] = ()
        act_taken = False
        match event, state:
            case Act(), fence.Fence():
                state, act_taken = self._act_arrives(state, clock, event)
            case ClockRequest(), fence.Fence():
                sent = [(self.voters + event.gateway, fence.clock_reply(state, clock, event))]
            case _, ContenderState():
                state, sent = self._contender_step(state, clock, event)
            case _:
                state, sent = self._voter_step(state, clock, event, index, floor)
        number = self.without_spent(index, self.states(state), now)
        return Effect(number, tuple(map(self.messages, sent)), act_taken)

    def _voter_step(
        self, vote: voter.Vote, clock: int, event: Any, index: int, floor: int
    ) -> tuple[voter.Vote, Iterable[tuple[int, Any]]]:
        match event:
            case Step.RESTART:
                return self.functions["initial_vote"](clock, DURATIONS, floor), ()
            case Ask():
                vote, reply = self.functions["on_ask"](vote, clock, event, DURATIONS, index)
                return vote, [(self.voters + event.gateway, reply)]
            case Release():
                vote, hint = self.functions["on_release"](vote, clock, event, index)
                return vote, [(self.voters + hint[0], hint[1])] if hint else ()
        raise AssertionError(f"a voter has no step for {event}")

    def _contender_step(
        self, state: ContenderState, clock: int, event: Any
    ) -> tuple[ContenderState, Iterable[tuple[int, Any]]]:
        contender = state.contender
        outgoing: holder.OutgoingMessages = ()
        match event:
            case Step.RESTART:
                life = contender.life + RESTART_LIFE_STEP
                return ContenderState(holder.Contender(contender.gateway, life, contender.voters)), ()
            case Step.ACT:
                return self._begin_act(state, clock)
            case ClockReply():
                if state.view is None:
                    state = state._replace(view=fence.ClockView(event.life, event.clock, clock))
                return state, ()
            case Step.TIMER:
                contender, outgoing = self.functions["on_timer"](contender, clock, DURATIONS, TASK, JITTER)
            case Step.LEAVE:
                contender = self.functions["on_leave"](contender, clock, DURATIONS)
            case Grant():
                contender = self.functions["on_grant"](contender, clock, event, DURATIONS)
            case Refusal():
                contender, outgoing = self.functions["on_refusal"](contender, clock, event, DURATIONS, TASK, JITTER)
            case VoteFreed():
                contender = holder.on_free(contender, clock, event)
        sent = [(index, message) for message in outgoing for index in range(self.voters)]
        return state._replace(contender=contender), sent

    def _begin_act(self, state: ContenderState, clock: int) -> tuple[ContenderState, Iterable[tuple[int, Any]]]:
        """Sends an act if the contender holds the lease, or asks for the resource's clock first."""
        contender, view = state
        if not contender.holds(clock):
            return state, ()
        if view is None:
            return state, [(RESOURCE, ClockRequest(TASK, contender.gateway, 1))]
        contender, end = self.functions["begin_act"](contender, clock, DURATIONS)
        their_end = self.functions["end_on_their_clock"](view, end, DURATIONS)
        act = Act(contender.gateway, view.life, contender.term, their_end)
        return state._replace(contender=contender), [(RESOURCE, act)]

    def _act_arrives(self, state: fence.Fence, clock: int, act: Act) -> tuple[fence.Fence, bool]:
        after, verdict = self.functions["check_act"](state, clock, act.life, act.term, act.end)
        taken = verdict is fence.Verdict.TAKEN
        if taken and act.term < state.highest:
            raise InvariantBrokenError(f"an act of term {act.term} was taken after one of term {state.highest}")
        return after, taken

    def successors(self, state: State) -> Iterator[State]:
        """The states that one event leads to."""
        now, budget, participants, messages, _ = state
        contenders = range(self.voters, self.voters + self.contenders)
        later = now + self.time_step
        if later <= self.end_time:
            remaining = tuple(self.without_spent(index, number, later) for index, number in enumerate(participants))
            yield state._replace(now=later, participants=remaining)
        for message in messages:
            receiver = self.messages.values[message][0]
            index = receiver if receiver != RESOURCE else len(participants) - 1
            yield from self._after(state, index, message, budget)
        for index in contenders:
            if budget.timers:
                yield from self._after(state, index, Step.TIMER, budget._replace(timers=budget.timers - 1))
            if budget.acts and self.holds(participants[index], now):
                # Asking for the resource's clock is not an act yet.
                knows_clock = self.states.values[participants[index]].view is not None
                yield from self._after(state, index, Step.ACT, budget._replace(acts=budget.acts - knows_clock))
            if budget.leaves:
                yield from self._after(state, index, Step.LEAVE, budget._replace(leaves=budget.leaves - 1))
        if budget.restarts:
            for index in range(self.voters + self.contenders):
                yield from self._after(state, index, Step.RESTART, budget._replace(restarts=budget.restarts - 1))

    def _after(self, state: State, index: int, step: int, budget: Budget) -> Iterator[State]:
        """The state after a step of a participant, or none if that changes nothing."""
        participants = state.participants
        untouched = self.untouched_voter
        if index < self.voters and participants[index] == untouched and untouched in participants[:index]:
            return  # voters that have received nothing are alike: the first of them stands for all
        floor = 0
        if step == Step.RESTART:
            floor = FLOOR_STEP * (1 + self.budget.restarts - budget.restarts)
        number, sent, act_taken = self.effect(index, participants[index], state.now, step, floor)
        if act_taken:
            self.check_no_other_holder(state, self.messages.values[step][1])
        if number == participants[index] and budget == state.budget and state.messages.issuperset(sent):
            return
        participants = (*participants[:index], number, *participants[index + 1 :])
        messages = state.messages.union(message for message in sent if self._is_pending(participants, message))
        if self._is_contender(index):
            messages = frozenset(message for message in messages if self._is_pending(participants, message))
        yield self._checked(State(state.now, budget, participants, messages, state.last_held))

    def _is_pending(self, participants: tuple[int, ...], message: int) -> bool:
        """Whether the arrival of a message can still have an effect."""
        receiver = self.messages.values[message][0]
        return not self._is_contender(receiver) or self.has_effect(participants[receiver], message)

    def check_no_other_holder(self, state: State, act: Act) -> None:
        """Raises InvariantBrokenError if an act has its effect while another contender holds the lease."""
        others = [
            contender
            for contender in range(self.contenders)
            if contender != act.contender and self.holds(state.participants[self.voters + contender], state.now)
        ]
        if others:
            raise InvariantBrokenError(
                f"an act of contender {act.contender} in term {act.term} has its effect while {others} hold the lease"
            )

    def _checked(self, state: State) -> State:
        """The state with its last holder; raises InvariantBrokenError if two hold, or terms don't increase."""
        holding = [number for number in state.participants[self.voters : -1] if self.holds(number, state.now)]
        if len(holding) > 1:
            raise InvariantBrokenError(f"{len(holding)} contenders hold the lease at time {state.now}")
        for number in holding:
            contender = self.states.values[number].contender
            held = LastHeld(contender.term, contender.life)
            if held == state.last_held:
                continue
            if held.term <= state.last_held.term:
                raise InvariantBrokenError(f"term {held.term} is held after term {state.last_held.term}")
            state = state._replace(last_held=held)
        return state

    def run(self, depth: int = 99, max_states: int = 10_000_000) -> int:
        """The number of states seen, breadth first; `self.depth` is how far the search came.

        Raises InvariantBrokenError where a rule does not hold.
        """
        frontier = [self.initial_state()]
        seen = set()
        for self.depth in range(depth):
            following = []
            for state in frontier:
                for after in self.successors(state):
                    if after not in seen:
                        seen.add(after)
                        following.append(after)
            frontier = following
            if not frontier or len(seen) > max_states:
                break
        self.seen = len(seen)
        return self.seen
