"""A voter of one task. Pure: each function takes the state and the time, and returns the new state and the reply.

A vote is exclusive: while it is given, and not released, no other contender gets it. It counts from when it is given,
on the voter's clock, for as long as the lease may last on any other. A voter that restarts has forgotten whom it voted
for, and abstains for as long as the longest lease may last.
"""

from typing import NamedTuple

from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import Ask, Grant, Refusal, Release, VoteFreed

NO_GATEWAY = -1  # in place of a gateway's number


class Vote(NamedTuple):
    """A voter's state for one task. Times are on the voter's clock."""

    abstains_until: int
    highest_term: int  # that the voter knows of; never decreases
    gateway: int = NO_GATEWAY  # that has the vote
    life: int = 0  # of that gateway
    term: int = 0  # for which it has the vote
    expires: int = 0  # when the vote is free again without a release
    last_refused: int = NO_GATEWAY  # the gateway that gets a hint when the vote is released


def initial_vote(now: int, durations: LeaseDurations, floor: int) -> Vote:
    """The state of a voter that has just started. `floor` is likely above all terms so far (docs/leases.md)."""
    return Vote(now + durations.upper_bound(durations.longest), floor)


def on_ask(vote: Vote, now: int, ask: Ask, durations: LeaseDurations, voter: int) -> tuple[Vote, Grant | Refusal]:
    """Answers a contender; the reply goes to that contender alone. `voter` is this gateway's number."""
    has_vote = (ask.gateway, ask.life) == (vote.gateway, vote.life) and ask.term >= vote.term
    wait = 0
    if now < vote.abstains_until:
        wait = vote.abstains_until - now
    elif not has_vote and vote.gateway != NO_GATEWAY and now < vote.expires:
        wait = vote.expires - now
        vote = vote._replace(last_refused=ask.gateway)
    elif ask.length <= durations.longest and (has_vote or ask.term > vote.highest_term):
        expires = now + durations.upper_bound(ask.length)
        vote = vote._replace(
            gateway=ask.gateway,
            life=ask.life,
            term=ask.term,
            highest_term=ask.term,
            expires=max(expires, vote.expires) if has_vote else expires,
            last_refused=NO_GATEWAY if vote.last_refused == ask.gateway else vote.last_refused,
        )
        return vote, Grant(ask.task, voter, ask.life, ask.term, ask.round)
    return vote, Refusal(ask.task, voter, ask.life, ask.round, vote.highest_term, wait)


def on_release(vote: Vote, now: int, release: Release, voter: int) -> tuple[Vote, tuple[int, VoteFreed] | None]:
    """Frees the vote if that contender has it in that term.

    Returns the new state, and the hint with the gateway it goes to: the one that was refused last, if there is one.
    """
    has_vote = (release.gateway, release.life, release.term) == (vote.gateway, vote.life, vote.term)
    if not has_vote or now < vote.abstains_until:
        return vote, None
    hint = None
    if vote.last_refused not in (NO_GATEWAY, release.gateway):
        hint = vote.last_refused, VoteFreed(release.task, voter)
    return vote._replace(gateway=NO_GATEWAY, expires=0, last_refused=NO_GATEWAY), hint
