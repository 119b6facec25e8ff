"""A contender for one task, and its holder while it has a lease. Pure: state and time in, state and messages out.

A lease counts from when the round was asked that a majority answered. Whoever acts looks at its clock first
(`holds`), and gives the act an end (`fence`) that what it acts upon checks on a clock of its own: between the look
and the act a process may have been stopped for any time.
"""

from typing import NamedTuple

from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import Ask, Grant, Refusal, Release


class Contender(NamedTuple):
    me: int
    life: int
    voters: tuple[int, ...]
    known: int = 0  # the highest term heard of
    term: int = 0  # asked for or held
    round: int = 0  # of asking; grows
    asked: bool = False  # a round is out
    asked_at: int = 0
    grants: frozenset[int] = frozenset()  # to this round
    refusals: frozenset[int] = frozenset()
    soonest: int = 0  # the least wait that this round's refusals name
    until: int = 0  # the lease, on this clock; 0: none
    acting: int = 0  # the last end of an act so far
    wake: int = 0  # when `woken` has something to do
    failed: int = 0  # rounds in a row without a majority
    leaving: bool = False

    def holds(self, now: int) -> bool:
        """Whether it may act now. Ask anew before each act."""
        return now < self.until and not self.leaving

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1


NEVER = 1 << 62
OutgoingMessages = tuple[Ask | Release, ...]  # to all voters


def on_timer(
    one: Contender, now: int, durations: LeaseDurations, task: int, chance: float
) -> tuple[Contender, OutgoingMessages]:
    """Its time has come: asks, asks for longer, gives up a round, or leaves. `chance` is drawn from 0 to 1."""
    if now < one.wake:
        return one, ()
    if one.leaving:  # what it did last is over
        return one._replace(until=0, round=one.round + 1, wake=NEVER), _release(one, task)
    if one.until and now >= one.until or one.asked and not one.until:
        # The lease is over, and the next has a term of its own; or a round brought no majority in time.
        return _given_up(one._replace(until=0), now, durations, task, chance, 0)
    term = one.term if one.until else max(one.known, one.term) + 1
    one = one._replace(
        known=max(one.known, term),
        term=term,
        round=one.round + 1,
        asked=True,
        asked_at=now,
        grants=frozenset(),
        refusals=frozenset(),
        soonest=NEVER,
        wake=now + durations.patience,
    )
    return one, (Ask(task, one.me, one.life, term, one.round, durations.lease),)


def on_grant(one: Contender, now: int, grant: Grant, durations: LeaseDurations) -> Contender:
    """A vote; with a majority of the round the lease holds until its length after the round was asked."""
    if (grant.life, grant.term, grant.round) != (one.life, one.term, one.round) or grant.voter not in one.voters:
        return one  # of another life or round: what was released since must not count
    one = one._replace(grants=one.grants | {grant.voter})
    until = one.asked_at + durations.lease
    if len(one.grants) >= one.majority and until > now and not one.leaving:
        wake = min(until, max(now + 1, one.asked_at + durations.renewal))
        one = one._replace(until=max(one.until, until), wake=wake, failed=0)
    return one


def on_refusal(
    one: Contender, now: int, refusal: Refusal, durations: LeaseDurations, task: int, chance: float
) -> tuple[Contender, OutgoingMessages]:
    """A refusal tells of higher terms, and from when the voter could vote otherwise."""
    if refusal.life != one.life or refusal.voter not in one.voters:
        return one, ()
    one = one._replace(known=max(one.known, refusal.highest))
    if refusal.round != one.round or one.until or one.leaving:
        return one, ()
    one = one._replace(refusals=one.refusals | {refusal.voter}, soonest=min(one.soonest, refusal.wait))
    if len(one.voters) - len(one.refusals) >= one.majority:
        return one, ()
    return _given_up(one, now, durations, task, chance, one.soonest)


def on_free(one: Contender, now: int) -> Contender:
    """A hint that the vote is free: asks at once."""
    return one if one.until or one.leaving or one.grants else one._replace(wake=min(one.wake, now))


def on_leave(one: Contender, now: int, durations: LeaseDurations) -> Contender:
    """Stops acting at once; the votes are released when the last act has ended for sure."""
    return one._replace(leaving=True, wake=max(now, one.acting))


def begin_act(one: Contender, now: int, durations: LeaseDurations) -> tuple[Contender, int]:
    """The end of an act begun now, on this clock; 0: it may not act."""
    if not one.holds(now):
        return one, 0
    end = min(one.until, now + durations.act)
    return one._replace(acting=max(one.acting, end)), end


def _given_up(
    one: Contender, now: int, durations: LeaseDurations, task: int, chance: float, wait: int
) -> tuple[Contender, OutgoingMessages]:
    """Gives votes back that were no majority, and waits: as long as a voter said, and by chance up to a time that
    doubles from the patience to the lease, so that contenders don't duel."""
    spread = min(durations.lease, durations.patience << min(one.failed, 8))
    return one._replace(
        round=one.round + 1,
        asked=False,
        grants=frozenset(),
        refusals=frozenset(),
        failed=one.failed + 1,
        wake=now + wait + 1 + int(chance * spread),
    ), _release(one, task)


def _release(one: Contender, task: int) -> OutgoingMessages:
    return (Release(task, one.me, one.life, one.term),) if one.term else ()
