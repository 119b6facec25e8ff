"""Grants of terms under every interleaving, and faulty variants of them, each of which must be found."""

import random

import pytest
from grant_search import ChangeSetLostError, Search, TwoDecideError
from grant_states import start_state

from oakfork.control import grant as grants, voter as voters
from oakfork.control.messages import EMPTY

FOUND = (TwoDecideError, ChangeSetLostError)
MOST_STATES = 15_000
MOST_STATES_OF_A_VARIANT = 60_000
SEEDS = range(4)
WALKS = 500
WALK_STEPS = 120


def _cases(search):
    """Starts of searches, by name."""
    return {
        "two start at once with empty databases": start_state(starts=2, sets=1),
        "an equal copy starts, letters are late": search.publishing_state(1, 1, starts=1, sets=2, delays=2),
        "an older copy starts, letters are late": search.publishing_state(2, 1, starts=1, sets=1, delays=2),
        "an equal copy starts, a voter loses its disk": search.publishing_state(1, 1, starts=1, sets=2, losses=1),
        "an older copy starts, two voters lose their disks": search.publishing_state(2, 1, starts=1, sets=1, losses=2),
        "disks are lost in turn, letters are late": search.publishing_state(1, 1, starts=1, sets=2, losses=2, delays=1),
        "two equal copies start at once": search.copies_state(starts=2, sets=1),
        "an overtaken publisher goes on beside a copy": search.overtaken_state(starts=1, losses=1),
        "copies go to and fro": search.publishing_state(1, 0, starts=2, sets=2, copies=2),
    }


CASES = tuple(_cases(Search()))


def _walk(search, seed):
    """Long histories drawn at random."""
    rng = random.Random(seed)
    budget = dict(starts=4, sets=4, copies=2, losses=4, delays=5)
    for _ in range(WALKS):
        search.walk(search.publishing_state(1, 1, **budget), rng, WALK_STEPS)


@pytest.mark.parametrize("name", CASES)
def test_nothing_acknowledged_is_undone_in_any_order_of_events(name):
    """Guards against two publishers that accept at one time, cut off from each other or not, and against old copies."""
    search = Search()
    search.run(_cases(search)[name], MOST_STATES)
    assert search.decisions + search.acknowledgements > 15, "the search saw too little to show anything"


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_acknowledged_is_undone_in_long_histories(seed):
    """Longer ones than can be searched whole."""
    search = Search()
    _walk(search, seed)
    assert search.decisions > 50 and search.acknowledgements > 50 and search.readmissions > 5


class GrantsATermTwice(Search):
    """Tells publishers of one term apart nowhere."""

    def on_grant_request(self, state, request):
        """The one who asks has the term."""
        return super().on_grant_request(_with_mark_of(state, request), request)

    def on_record_request(self, state, request):
        """The one who asks has the term."""
        return super().on_record_request(_with_mark_of(state, request), request)


def _with_mark_of(state, request):
    return state._replace(mark=request.mark) if state.term == request.term else state


class RecordsForOlderTerms(Search):
    """Goes on recording for a publisher of an older term."""

    def on_record_request(self, state, request):
        """Its grants bind it to nothing; the answer says that it did as it was asked."""
        if state.has_memory and request.incarnation == state.incarnation and request.term < state.term:
            return state._replace(term=request.term, mark=request.mark, recorded=max(state.recorded, request.position))
        return super().on_record_request(state, request)


class GrantsWithoutMemory(Search):
    """Grants terms though its memory is lost."""

    def on_grant_request(self, state, request):
        """A new file is as good as an old one."""
        return super().on_grant_request(state._replace(has_memory=True), request)


class RecordsForALostFile(Search):
    """Takes a record that was meant for the file before."""

    def on_record_request(self, state, request):
        """Any incarnation will do."""
        if not state.has_memory and not request.readmits:
            return voters.VoterState(state.incarnation, request.term, request.mark, request.position, True)
        return super().on_record_request(state, request)


class TakesHalfForAMajority(Search):
    """Counts half of the voters, rounded down."""

    def is_granted(self, grant):
        """One of three is enough."""
        return len(grants.granted_by(grant)) >= len(grant.views) // 2

    def is_recorded(self, grant, position):
        """One of three is enough."""
        count = sum(view.recorded >= position for view in grants.granted_by(grant).values())
        return position.term == grant.term and count >= len(grant.views) // 2


class IgnoresWhatWasRecorded(Search):
    """Decides whatever the voters have recorded."""

    def may_follow(self, publisher, position):
        """Its own database is the latest."""
        return True


class TakesTheSilentForEmpty(Search):
    """Counts the voters that have not granted the term as if they had recorded nothing."""

    def possibly_found(self, grant):
        """What a majority has recorded for sure is all that may be in force."""
        return grants.surely_found(grant)


class TrustsAGrantThatWasLost(Search):
    """Counts a voter's grant without looking whether it has it still."""

    def possibly_found(self, grant):
        """What it found once binds the voter for good."""
        return grants.possibly_recorded((view.found for view in grants.granted_by(grant).values()), len(grant.views))


class AcknowledgesWithoutRecords(Search):
    """Needs a majority for its grant alone."""

    def is_recorded(self, grant, position):
        """What is on its own disk is in force."""
        return grant.wanted != EMPTY


class DecidesWithoutItsFirstRecord(Search):
    """Decides as soon as a majority has granted its term."""

    def is_recorded(self, grant, position):
        """The state that it starts from needs no record."""
        is_first = all(view.recorded.term != grant.term for view in grant.views)
        return is_first or super().is_recorded(grant, position)


class ReadmitsWithoutARound(Search):
    """Has voters without memory count again at once."""

    def request(self, grant, voter):
        """The others need not confirm the term."""
        view = grant.views[voter]
        if grant.wanted != EMPTY and view.memory_lost_in:
            return grants.RecordRequest(grant.term, grant.mark, view.incarnation, grant.wanted, grant.round, True)
        return super().request(grant, voter)


OVERTAKEN = "an overtaken publisher goes on beside a copy"
VARIANTS = {
    GrantsATermTwice: "two equal copies start at once",
    RecordsForOlderTerms: OVERTAKEN,
    GrantsWithoutMemory: "an older copy starts, two voters lose their disks",
    RecordsForALostFile: OVERTAKEN,
    TakesHalfForAMajority: "two equal copies start at once",
    IgnoresWhatWasRecorded: "an older copy starts, two voters lose their disks",
    TakesTheSilentForEmpty: "copies go to and fro",
    AcknowledgesWithoutRecords: "two equal copies start at once",
    DecidesWithoutItsFirstRecord: "two equal copies start at once",
    ReadmitsWithoutARound: OVERTAKEN,
    TrustsAGrantThatWasLost: "an equal copy starts, a voter loses its disk",
}


@pytest.mark.parametrize("variant", VARIANTS)
def test_a_broken_variant_is_found(variant):
    """A search that finds nothing would pass anything."""
    with pytest.raises(FOUND):
        variant().run(_cases(Search())[VARIANTS[variant]], MOST_STATES_OF_A_VARIANT)
