"""All interleavings of a few voters, contenders and what they act upon, to a stated depth.

A message that was said may arrive at any time, any number of times, or never: the set of messages only grows, so loss,
doubling, reordering and delay without bound are all there. Clocks run at rates of their own. A process may restart with
nothing, or stand still: an act is said after a look at the clock, and may arrive at any later time. A contender's
pauses and chance are left out: it may go on at any time, which is more than they allow.

Parts of the state are numbered and what a part does is remembered, or a search would take hours.
"""

from functools import cache
from typing import Any, Iterator, NamedTuple

from oakfork.leases import fence, holder, voter
from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import Ask, ClockReply, ClockRequest, Grant, Refusal, Release, VoteFreed

LENGTHS = LeaseDurations(lease=24, drift=200, act=24, longest=24)
SLOW, EVEN, FAST = 8, 10, 12  # ticks of a clock in one step of true time; a drift of 200 allows these
WAKE, RESTART, ACT, LEAVE = -1, -2, -3, -4  # what happens to a part, beside messages
GUARD = -1  # the name of what is acted upon


class Act(NamedTuple):
    contender: int
    life: int  # of what is acted upon
    term: int
    end: int


class Holder(NamedTuple):
    one: holder.Contender
    view: fence.ClockView | None = None


class State(NamedTuple):
    now: int
    left: tuple[int, int, int, int]  # wakes, restarts, acts, departures
    parts: tuple[int, ...]  # voters, contenders, what is acted upon: numbers of their states
    said: frozenset[int]  # numbers of messages
    held: tuple[int, int] = (0, 0)  # the highest term that was held, and the holder's life


class InvariantBrokenError(Exception):
    pass


class ValueNumbering:
    """A number for each thing, and back."""

    def __init__(self) -> None:
        self.of: dict[Any, int] = {}
        self.list: list[Any] = []

    def __call__(self, thing: Any) -> int:
        if thing not in self.of:
            self.of[thing] = len(self.list)
            self.list.append(thing)
        return self.of[thing]


class Search:
    """`changed` stands in for the functions of the same names: a broken variant replaces one."""

    def __init__(
        self,
        voters: int = 3,
        contenders: int = 2,
        rates: tuple[int, int, int] = (FAST, SLOW, EVEN),
        wakes: int = 2,
        restarts: int = 0,
        acts: int = 0,
        leaves: int = 0,
        ticks: int = 1,
        step: int = 1,
        head: int = 10,
        all_answers: bool = False,
        **changed: Any,
    ) -> None:
        """`head`: the terms that later contenders have heard of. `all_answers`: also those that can do nothing more."""
        self.voters, self.contenders, self.rates = voters, contenders, rates
        self.left, self.ticks, self.step = (wakes, restarts, acts, leaves), ticks, step
        self.do = {
            "started": voter.initial_vote,
            "asked": voter.on_ask,
            "released": voter.on_release,
            "woken": holder.on_timer,
            "granted": holder.on_grant,
            "left": holder.on_leave,
            "refused": holder.on_refusal,
            "acts": holder.begin_act,
            "judge": fence.check_act,
            "end_there": fence.end_on_their_clock,
        } | changed
        self.head, self.all_answers = head, all_answers
        self.local, self.messages = ValueNumbering(), ValueNumbering()
        self.seen = self.depth = 0
        self.plain, self.does = cache(self._plain), cache(self._does)
        self.holds, self.matters = cache(self._holds), cache(self._matters)
        self.untouched = self.local(voter.Vote(0, 0))  # running for long

    def first(self) -> State:
        # The later ones have heard of higher terms, so that a refusal need not teach them first.
        contenders = (
            Holder(holder.Contender(me, 100 + me, tuple(range(self.voters)), known=self.head * me))
            for me in range(self.contenders)
        )
        parts = (self.untouched,) * self.voters + tuple(map(self.local, (*contenders, fence.Fence(1))))
        return State(1, self.left, parts, frozenset())

    def clock(self, part: int, now: int) -> int:
        kind = 0 if part < self.voters else 1 if part < self.voters + self.contenders else 2
        return now * self.rates[kind]

    def _holds(self, local: int, now: int) -> bool:
        return self.local.list[local].one.holds(self.clock(self.voters, now))

    def _plain(self, part: int, local: int, now: int) -> int:
        """Without what no later move can tell apart: pauses, and votes that are over."""
        state = self.local.list[local]
        if isinstance(state, Holder):
            wake = state.one.wake if state.one.leaving else 0
            return self.local(state._replace(one=state.one._replace(wake=wake, failed=0, soonest=0)))
        if isinstance(state, voter.Vote) and state.until <= self.clock(part, now):
            return self.local(state._replace(until=0))
        return local

    def _matters(self, local: int, message: int) -> bool:
        """Whether an answer can still do anything at a contender."""
        one, told = self.local.list[local].one, self.messages.list[message][1]
        if self.all_answers or not isinstance(told, Grant | Refusal):
            return True
        known = one.grants if isinstance(told, Grant) else one.refusals
        return told.life == one.life and (
            told.round == one.round
            and told.voter not in known
            or isinstance(told, Refusal)
            and told.highest > one.known
        )

    def _does(self, part: int, local: int, now: int, what: int, floor: int) -> tuple[int, tuple[int, ...], bool]:
        """What a part does: its state, what it says, and whether an act has its effect."""
        state, clock = self.local.list[local], self.clock(part, now)
        message = self.messages.list[what][1] if what >= 0 else what
        said: list[tuple[int, Any]] = []
        taken = False
        match message, state:
            case -2, voter.Vote():
                state = self.do["started"](clock, LENGTHS, floor)
            case -2, Holder(one):
                state = Holder(holder.Contender(one.me, one.life + 100, one.voters))
            case Ask(), _:
                state, reply = self.do["asked"](state, clock, message, LENGTHS, part)
                said = [(self.voters + message.gateway, reply)]
            case Release(), _:
                state, hint = self.do["released"](state, clock, message, part)
                said = [(self.voters + hint[0], hint[1])] if hint else []
            case -1, Holder(one):
                one, asks = self.do["woken"](one, clock, LENGTHS, 0, 0.0)
                state, said = state._replace(one=one), [(to, ask) for ask in asks for to in range(self.voters)]
            case Grant(), Holder(one):
                state = state._replace(one=self.do["granted"](one, clock, message, LENGTHS))
            case Refusal(), Holder(one):
                one, asks = self.do["refused"](one, clock, message, LENGTHS, 0, 0.0)
                state, said = state._replace(one=one), [(to, ask) for ask in asks for to in range(self.voters)]
            case VoteFreed(), Holder(one):
                state = state._replace(one=holder.on_free(one, clock))
            case -3, Holder(one, view) if one.holds(clock):
                if view is None:
                    said = [(GUARD, ClockRequest(0, one.me, 1))]
                else:
                    one, end = self.do["acts"](one, clock, LENGTHS)
                    state = state._replace(one=one)
                    said = [(GUARD, Act(one.me, view.life, one.term, self.do["end_there"](view, end, LENGTHS)))]
            case -4, Holder(one):
                state = state._replace(one=self.do["left"](one, clock, LENGTHS))
            case ClockReply(), Holder(_, None):
                state = state._replace(view=fence.ClockView(message.life, message.clock, clock))
            case ClockRequest(), _:
                said = [(self.voters + message.gateway, fence.clock_reply(state, clock, message))]
            case Act(), _:
                if message.term < state.highest:
                    taken = self.do["judge"](state, clock, *message[1:])[1] is fence.Verdict.TAKEN
                    if taken:
                        raise InvariantBrokenError(f"an act of term {message.term} after one of term {state.highest}")
                state, verdict = self.do["judge"](state, clock, *message[1:])
                taken = verdict is fence.Verdict.TAKEN
        return self.plain(part, self.local(state), now), tuple(map(self.messages, said)), taken

    def moves(self, state: State) -> Iterator[State]:
        now, left, parts, said, _ = state
        wakes, restarts, acts, leaves = left
        contenders = range(self.voters, self.voters + self.contenders)
        if now + self.step <= self.ticks:
            later = now + self.step
            yield state._replace(now=later, parts=tuple(self.plain(i, local, later) for i, local in enumerate(parts)))
        for number in said:
            to = self.messages.list[number][0]
            yield from self._after(state, to if to != GUARD else len(parts) - 1, number, left)
        for part in contenders:
            if wakes:
                yield from self._after(state, part, WAKE, (wakes - 1, restarts, acts, leaves))
            if acts and self.holds(parts[part], now):
                known = self.local.list[parts[part]].view is not None
                yield from self._after(state, part, ACT, (wakes, restarts, acts - known, leaves))
            if leaves:
                yield from self._after(state, part, LEAVE, (wakes, restarts, acts, leaves - 1))
        for part in range(self.voters + self.contenders) if restarts else ():
            yield from self._after(state, part, RESTART, (wakes, restarts - 1, acts, leaves))

    def _after(self, state: State, part: int, what: int, left: tuple[int, ...]) -> Iterator[State]:
        parts = state.parts
        if part < self.voters and parts[part] == self.untouched and self.untouched in parts[:part]:
            return  # voters that nothing has come to are alike: the first of them stands for all
        floor = 100 * (1 + self.left[1] - left[1])  # grows with each restart
        local, said, taken = self.does(part, parts[part], state.now, what, floor if what == RESTART else 0)
        if taken:
            self._acted(state, self.messages.list[what][1])
        if local == parts[part] and left == state.left and state.said.issuperset(said):
            return
        parts = (*parts[:part], local, *parts[part + 1 :])
        said = state.said.union(n for n in said if self._waits(parts, n))
        if self.voters <= part < self.voters + self.contenders:
            said = frozenset(n for n in said if self._waits(parts, n))
        yield self._checked(State(state.now, left, parts, said, state.held))

    def _waits(self, parts: tuple[int, ...], number: int) -> bool:
        to = self.messages.list[number][0]
        return not self.voters <= to < self.voters + self.contenders or self.matters(parts[to], number)

    def _acted(self, state: State, act: Act) -> None:
        others = [
            one
            for one in range(self.contenders)
            if one != act.contender and self.holds(state.parts[self.voters + one], state.now)
        ]
        if others:
            raise InvariantBrokenError(
                f"an act of {act.contender} in term {act.term} has its effect while {others} holds"
            )

    def _checked(self, state: State) -> State:
        holding = [local for local in state.parts[self.voters : -1] if self.holds(local, state.now)]
        if len(holding) > 1:
            raise InvariantBrokenError(f"two hold at {state.now}")
        for one in (self.local.list[local].one for local in holding):
            if (one.term, one.life) != state.held:
                if one.term <= state.held[0]:
                    raise InvariantBrokenError(f"term {one.term} is held after term {state.held[0]}")
                state = state._replace(held=(one.term, one.life))
        return state

    def run(self, depth: int = 99, most: int = 10_000_000) -> int:
        """The number of states seen, breadth first; raises Broken where a rule breaks. `depth` says how far it came."""
        front, seen = [self.first()], set()
        for self.depth in range(depth):
            following = []
            for state in front:
                for after in self.moves(state):
                    if after not in seen:
                        seen.add(after)
                        following.append(after)
            front = following
            if not front or len(seen) > most:
                break
        self.seen = len(seen)
        return self.seen
