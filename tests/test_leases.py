"""Leases under every interleaving of a few processes, and faulty variants of the rules, each of which must be found."""

from typing import Any, Callable, NamedTuple

import pytest
from lease_search import InvariantBrokenError, Search

from oakfork.leases import fence, holder, voter

TO_THE_END = 99


class Case(NamedTuple):
    """A search: its bounds, how deep it goes, and how many states it has to see at least."""

    bounds: dict[str, Any]
    depth: int
    min_states: int


CASES = {
    "a voter or contender restarts": Case(dict(restarts=1), TO_THE_END, 50_000),
    "contenders give up and ask again": Case(dict(timers=3), TO_THE_END, 30_000),
    "three contenders": Case(dict(contenders=3, timers=3), 11, 30_000),
    "leases expire, clocks differ": Case(dict(end_time=5, time_step=2), 10, 80_000),
    "an act is late, the next holder is there": Case(
        dict(voters=1, acts=1, end_time=5, time_step=4), TO_THE_END, 1_000
    ),
    "a holder leaves after an act": Case(
        dict(voters=1, acts=1, leaves=1, timers=3, end_time=3, time_step=2), TO_THE_END, 10_000
    ),
    "a restart while leases expire": Case(dict(voters=1, restarts=1, end_time=5, time_step=2), TO_THE_END, 10_000),
}


@pytest.mark.parametrize("name", CASES)
def test_at_most_one_contender_holds_and_acts_in_any_order_of_events(name):
    """Two holders at once, an act beside another holder, or terms that decrease make the search raise."""
    case = CASES[name]
    search = Search(**case.bounds)
    assert search.run(case.depth) >= case.min_states, "the search saw too few states to prove anything"


def no_abstention(now, durations, floor):
    """A voter that restarts votes at once."""
    return voter.Vote(0, floor)


def counted_from_the_reply(contender, now, grant, durations):
    """A lease counts from the grant, not from the start of the round."""
    after = holder.on_grant(contender, now, grant, durations)
    return after._replace(lease_end=now + durations.lease) if after.lease_end != contender.lease_end else after


def half_is_enough(contender, now, grant, durations):
    """One grant gives the lease."""
    after = holder.on_grant(contender, now, grant, durations)
    return after._replace(lease_end=contender.round_started + durations.lease) if after.grants else after


def no_margin_for_drift(vote, now, ask, durations, index):
    """A vote is given for the length of the lease on the voter's own clock."""
    return voter.on_ask(vote, now, ask, durations._replace(drift=0), index)


def no_end_at_the_fence(state, now, life, term, end):
    """The resource ignores the end of an act."""
    return fence.check_act(state, now, life, term, now + 1)


def end_on_the_holders_clock(view, end, durations):
    """An act carries its end on the holder's clock, not on the resource's."""
    return end


def older_terms_get_votes(vote, now, ask, durations, index):
    """A voter ignores that it knows of a higher term."""
    return voter.on_ask(vote._replace(highest_term=0), now, ask, durations, index)


def late_grants_count(contender, now, grant, durations):
    """Grants of an earlier round count for the current one."""
    of_this_round = type(grant)(grant.task, grant.voter, grant.life, grant.term, contender.round)
    return holder.on_grant(contender, now, of_this_round, durations)


def grants_to_an_earlier_life_count(contender, now, grant, durations):
    """Grants to an earlier life of the contender count for the current one."""
    of_this_life = type(grant)(grant.task, grant.voter, contender.life, grant.term, grant.round)
    return holder.on_grant(contender, now, of_this_life, durations)


def any_release_frees(vote, now, release, index):
    """A release of an earlier term or life frees the vote."""
    return voter.on_release(vote._replace(term=release.term, life=release.life), now, release, index)


def leaves_without_waiting(contender, now, durations):
    """A holder that leaves releases its votes before its last act has ended."""
    return holder.on_leave(contender, now, durations)._replace(wake=now)


def a_vote_given_twice(vote, now, ask, durations, index):
    """A vote that another contender has is given again."""
    return voter.on_ask(vote._replace(expires=0), now, ask, durations, index)


class Variant(NamedTuple):
    """A faulty function, the one that it replaces, the bounds of the search, and the error that has to be found."""

    faulty: Callable[..., Any]
    replaces: str
    bounds: dict[str, Any]
    error: str


TWO_HOLD = "2 contenders hold the lease"
ACT_BESIDE_HOLDER = "has its effect while"
TERM_NOT_HIGHER = "is held after term"
VARIANTS = [
    Variant(no_abstention, "initial_vote", dict(restarts=1, term_lead=1000), TWO_HOLD),
    Variant(counted_from_the_reply, "on_grant", dict(end_time=5, time_step=2), TWO_HOLD),
    Variant(half_is_enough, "on_grant", dict(), TWO_HOLD),
    Variant(no_margin_for_drift, "on_ask", dict(end_time=5, time_step=2), TWO_HOLD),
    Variant(a_vote_given_twice, "on_ask", dict(), TWO_HOLD),
    Variant(late_grants_count, "on_grant", dict(voters=1, timers=3, all_answers=True), TWO_HOLD),
    Variant(
        grants_to_an_earlier_life_count,
        "on_grant",
        dict(voters=1, restarts=1, timers=3, end_time=5, time_step=2, all_answers=True, term_lead=1000),
        TERM_NOT_HIGHER,
    ),
    Variant(any_release_frees, "on_release", dict(voters=1, timers=4), TWO_HOLD),
    Variant(older_terms_get_votes, "on_ask", dict(voters=1, end_time=5, time_step=4), TERM_NOT_HIGHER),
    Variant(no_end_at_the_fence, "check_act", dict(voters=1, acts=1, end_time=5, time_step=4), ACT_BESIDE_HOLDER),
    Variant(
        end_on_the_holders_clock,
        "end_on_their_clock",
        dict(voters=1, acts=1, end_time=4, time_step=3, rates=(12, 12, 8)),
        ACT_BESIDE_HOLDER,
    ),
    Variant(
        leaves_without_waiting,
        "on_leave",
        dict(voters=1, acts=1, leaves=1, timers=3, end_time=3, time_step=2),
        ACT_BESIDE_HOLDER,
    ),
]


@pytest.mark.parametrize("variant", VARIANTS, ids=[variant.faulty.__name__ for variant in VARIANTS])
def test_search_finds_each_faulty_variant(variant):
    """Guards against a search that would pass whatever the rules were."""
    with pytest.raises(InvariantBrokenError, match=variant.error):
        Search(**variant.bounds, **{variant.replaces: variant.faulty}).run(15, 500_000)


def test_acts_are_taken_in_the_search():
    """Guards against a search in which no act ever has its effect."""
    taken = []
    search = Search(voters=1, acts=1)
    search.check_no_other_holder = lambda state, act: taken.append(act)
    search.run()
    assert taken
