"""A voter of one task. Pure: each function takes the state and the time, and returns the new state and what to say.

A vote is exclusive: while it is given, and not released, nobody else gets it. It counts from when it is given, on this
clock, for as long as the lease may last on any other. A voter that has started has forgotten whom it voted for, and
abstains for as long.
"""

from typing import NamedTuple

from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import Ask, Grant, Refusal, Release, VoteFreed

NOBODY = -1


class Vote(NamedTuple):
    abstains: int  # until then
    highest: int  # term known of; grows
    gateway: int = NOBODY  # who has the vote
    life: int = 0
    term: int = 0
    until: int = 0  # the vote is given until then
    waiting: int = NOBODY  # who was refused last, for a hint


def initial_vote(now: int, durations: LeaseDurations, floor: int) -> Vote:
    """A voter that knows nothing. `floor` is a number that is likely above all terms so far (docs/leases.md)."""
    return Vote(now + durations.stretched(durations.longest), floor)


def on_ask(vote: Vote, now: int, ask: Ask, durations: LeaseDurations, me: int) -> tuple[Vote, Grant | Refusal]:
    """The answer to a contender, which goes to it alone."""
    same = (ask.gateway, ask.life) == (vote.gateway, vote.life) and ask.term >= vote.term
    wait = 0
    if now < vote.abstains:
        wait = vote.abstains - now
    elif not same and vote.gateway != NOBODY and now < vote.until:
        wait = vote.until - now
        vote = vote._replace(waiting=ask.gateway)
    elif ask.length <= durations.longest and (same or ask.term > vote.highest):
        until = now + durations.stretched(ask.length)
        vote = vote._replace(
            gateway=ask.gateway,
            life=ask.life,
            term=ask.term,
            highest=ask.term,
            until=max(until, vote.until) if same else until,
            waiting=NOBODY if vote.waiting == ask.gateway else vote.waiting,
        )
        return vote, Grant(ask.task, me, ask.life, ask.term, ask.round)
    return vote, Refusal(ask.task, me, ask.life, ask.round, vote.highest, wait)


def on_release(vote: Vote, now: int, release: Release, me: int) -> tuple[Vote, tuple[int, VoteFreed] | None]:
    """Frees the vote if it is that contender's in that term; a hint for who was refused last, if anybody was."""
    if (release.gateway, release.life, release.term) != (vote.gateway, vote.life, vote.term) or now < vote.abstains:
        return vote, None
    hint = (vote.waiting, VoteFreed(release.task, me)) if vote.waiting not in (NOBODY, release.gateway) else None
    return vote._replace(gateway=NOBODY, until=0, waiting=NOBODY), hint
