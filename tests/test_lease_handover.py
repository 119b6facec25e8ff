"""A holder that leaves: whatever the order in which its frames and the answers arrive, the next one holds at once."""

from typing import Any, Iterator, NamedTuple

import pytest

from oakfork.leases import holder, voter
from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import Ask, Grant, Refusal, Release, VoteFreed

DURATIONS = LeaseDurations(lease=10_000, drift=10, act=1_250, longest=10_000)
TASK = 0
VOTERS = (0, 1, 2)
LEAVER, NEXT = 1, 2  # contenders; NEXT is the one that all voters have refused last
TERM = 1_000  # of the leaver
NOW = 100_000  # no time passes: nothing that a time-out would mend counts
JITTER = 0.5

Path = tuple[int, int]  # sender and receiver


class State(NamedTuple):
    """The voters, the contenders, and the frames on their way: those of one path arrive in their order."""

    votes: tuple[voter.Vote, ...]
    contenders: tuple[holder.Contender, ...]
    in_flight: frozenset[tuple[Path, tuple[Any, ...]]]
    leaver_is_up: bool = True


class Handover:
    """One step on a state: what a gateway does with a message or a timer, and what it sends."""

    def __init__(self, state: State) -> None:
        self.votes = list(state.votes)
        self.contenders = list(state.contenders)
        self.paths = dict(state.in_flight)
        self.leaver_is_up = state.leaver_is_up

    def state(self) -> State:
        """The state after the step."""
        in_flight = frozenset((path, frames) for path, frames in self.paths.items() if frames)
        return State(tuple(self.votes), tuple(self.contenders), in_flight, self.leaver_is_up)

    def send(self, sender: int, receiver: int, message: Any) -> None:
        """Puts a message on its path; one to the sender itself arrives at once."""
        if sender == receiver:
            self.receive(receiver, message)
        elif receiver != LEAVER or self.leaver_is_up:
            self.paths[sender, receiver] = (*self.paths.get((sender, receiver), ()), message)

    def broadcast(self, sender: int, messages: holder.OutgoingMessages) -> None:
        """Sends messages to all voters."""
        for message in messages:
            for receiver in VOTERS:
                self.send(sender, receiver, message)

    def receive(self, receiver: int, message: Any) -> None:
        """Has a gateway handle a message."""
        contender = self.contenders[receiver]
        match message:
            case Ask():
                self.votes[receiver], reply = voter.on_ask(self.votes[receiver], NOW, message, DURATIONS, receiver)
                self.send(receiver, message.gateway, reply)
            case Release():
                self.votes[receiver], hint = voter.on_release(self.votes[receiver], NOW, message, receiver)
                if hint:
                    self.send(receiver, *hint)
            case Grant():
                self.contenders[receiver] = holder.on_grant(contender, NOW, message, DURATIONS)
            case Refusal():
                after, messages = holder.on_refusal(contender, NOW, message, DURATIONS, TASK, JITTER)
                self.contenders[receiver] = after
                self.broadcast(receiver, messages)
            case VoteFreed():
                self.contenders[receiver] = holder.on_free(contender, NOW, message)

    def fire_timer(self, gateway: int) -> None:
        """Calls a contender whose timer is due; the process of the one that leaves may end with it."""
        self.contenders[gateway], messages = holder.on_timer(self.contenders[gateway], NOW, DURATIONS, TASK, JITTER)
        self.broadcast(gateway, messages)


def initial_state() -> State:
    """The leaver holds the lease and has nothing to wait for; the others wait until its votes expire."""
    expires = NOW + 7_000
    vote = voter.Vote(0, TERM, LEAVER, LEAVER + 1, TERM, expires, last_refused=NEXT)
    waiting = dict(highest_term=TERM, failed_rounds=3, wake=expires)
    contenders = [holder.Contender(gateway, gateway + 1, VOTERS, **waiting) for gateway in VOTERS]
    leaver = contenders[LEAVER]._replace(term=TERM, lease_end=NOW + 7_000, failed_rounds=0)
    contenders[LEAVER] = holder.on_leave(leaver, NOW, DURATIONS)
    return State((vote,) * len(VOTERS), tuple(contenders), frozenset())


def successors(state: State, leaver_ends: bool) -> Iterator[State]:
    """The states that the arrival of one frame, or one timer that is due, leads to."""
    for (sender, receiver), (message, *later) in state.in_flight:
        step = Handover(state)
        step.paths[sender, receiver] = tuple(later)
        step.receive(receiver, message)
        yield step.state()
    for contender in state.contenders:
        if contender.wake <= NOW:
            step = Handover(state)
            step.fire_timer(contender.gateway)
            yield step.state()
    if leaver_ends and state.leaver_is_up and state.contenders[LEAVER].wake == holder.NEVER:
        in_flight = frozenset((path, frames) for path, frames in state.in_flight if path[1] != LEAVER)
        yield state._replace(in_flight=in_flight, leaver_is_up=False)


@pytest.mark.parametrize("leaver_ends", [False, True])
def test_a_holder_that_leaves_hands_over_in_every_order_of_arrival(leaver_ends):
    """Guards against a task that stands still for up to a lease because a hint came before another vote was free."""
    frontier = [initial_state()]
    seen = set(frontier)
    ends = []
    while frontier:
        state = frontier.pop()
        following = list(successors(state, leaver_ends))
        if not following:
            ends.append(state)
        frontier += [after for after in set(following) if after not in seen]
        seen.update(following)
    assert len(seen) > 500 and ends, "the search saw too few states to show anything"
    assert all(state.contenders[NEXT].holds(NOW) for state in ends)
