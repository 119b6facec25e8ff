"""Leases: every interleaving of a few, and broken variants of the rules, each of which has to be found out."""

import pytest
from lease_search import ACT, InvariantBrokenError, Search

from oakfork.leases import fence, holder, voter

# Searched to the end, or to the depth that stands there: what is bounded, and the states that there are at least.
CASES = {
    "a voter or contender restarts": (dict(restarts=1), 99, 50_000),
    "contenders give up and ask again": (dict(wakes=3), 99, 30_000),
    "three contenders": (dict(contenders=3, wakes=3), 11, 30_000),
    "leases end, clocks apart": (dict(ticks=5, step=2), 10, 80_000),
    "an act is late, the next holder is there": (dict(voters=1, acts=1, ticks=5, step=4), 99, 1_000),
    "a holder leaves after an act": (dict(voters=1, acts=1, leaves=1, wakes=3, ticks=3, step=2), 99, 10_000),
    "a restart while leases end": (dict(voters=1, restarts=1, ticks=5, step=2), 99, 10_000),
}


@pytest.mark.parametrize("name", CASES)
def test_at_most_one_holds_and_acts_whatever_the_order(name):
    bounds, depth, least = CASES[name]
    search = Search(**bounds)
    assert search.run(depth) >= least, "the search saw less than it did: it may prove nothing"


def no_abstention(now, durations, floor):
    return voter.Vote(0, floor)


def counted_from_the_reply(one, now, grant, durations):
    after = holder.on_grant(one, now, grant, durations)
    return after._replace(until=now + durations.lease) if after.until != one.until else after


def half_is_enough(one, now, grant, durations):
    after = holder.on_grant(one, now, grant, durations)
    return after._replace(until=one.asked_at + durations.lease) if after.grants else after


def no_margin_for_drift(vote, now, ask, durations, me):
    return voter.on_ask(vote, now, ask, durations._replace(drift=0), me)


def no_end_at_the_fence(guard, now, life, term, end):
    return fence.check_act(guard, now, life, term, now + 1)


def end_by_the_holders_clock(view, end, durations):
    return end


def older_terms_get_votes(vote, now, ask, durations, me):
    return voter.on_ask(vote._replace(highest=0), now, ask, durations, me)


def late_grants_count(one, now, grant, durations):
    return holder.on_grant(one, now, type(grant)(grant.task, grant.voter, grant.life, grant.term, one.round), durations)


def grants_to_an_earlier_life_count(one, now, grant, durations):
    return holder.on_grant(one, now, type(grant)(grant.task, grant.voter, one.life, grant.term, grant.round), durations)


def any_release_frees(vote, now, release, me):
    return voter.on_release(vote._replace(term=release.term, life=release.life), now, release, me)


def leaves_without_waiting(one, now, durations):
    return holder.on_leave(one, now, durations)._replace(wake=now)


def a_vote_given_twice(vote, now, ask, durations, me):
    return voter.on_ask(vote._replace(until=0), now, ask, durations, me)


TWO, ACTS = "two hold", "has its effect while"
VARIANTS = [
    (no_abstention, "started", dict(restarts=1, head=1000), TWO),
    (counted_from_the_reply, "granted", dict(ticks=5, step=2), TWO),
    (half_is_enough, "granted", dict(), TWO),
    (no_margin_for_drift, "asked", dict(ticks=5, step=2), TWO),
    (a_vote_given_twice, "asked", dict(), TWO),
    (late_grants_count, "granted", dict(voters=1, wakes=3, all_answers=True), TWO),
    (
        grants_to_an_earlier_life_count,
        "granted",
        dict(voters=1, restarts=1, wakes=3, ticks=5, step=2, all_answers=True, head=1000),
        "held after term",
    ),
    (any_release_frees, "released", dict(voters=1, wakes=4), TWO),
    (older_terms_get_votes, "asked", dict(voters=1, ticks=5, step=4), "is held after term"),
    (no_end_at_the_fence, "judge", dict(voters=1, acts=1, ticks=5, step=4), ACTS),
    (end_by_the_holders_clock, "end_there", dict(voters=1, acts=1, ticks=4, step=3, rates=(12, 12, 8)), ACTS),
    (leaves_without_waiting, "left", dict(voters=1, acts=1, leaves=1, wakes=3, ticks=3, step=2), ACTS),
]


@pytest.mark.parametrize("broken, part, bounds, said", VARIANTS, ids=[variant[0].__name__ for variant in VARIANTS])
def test_each_broken_variant_is_found_out(broken, part, bounds, said):
    with pytest.raises(InvariantBrokenError, match=said):
        Search(**bounds, **{part: broken}).run(15, 500_000)


def test_acts_are_taken_in_the_search():
    """Guards against a search in which nobody ever acts."""
    search, taken = Search(voters=1, acts=1), []
    search._acted = lambda state, act: taken.append(act)
    search.run()
    assert taken and ACT
