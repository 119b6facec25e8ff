"""Publishers that start under every interleaving, and faulty variants of their claims, each of which must be found."""

import pytest
from claim_search import ChangeSetLostError, Search, State, TwoDecideError

from oakfork.control.claim import Claim, Finding
from oakfork.control.messages import Position

CASES = {
    "both start at once": (State(starts=4, stops=1), 99, 1_000),
    "an old one starts beside a copy": (State(starts=4, sets=2, copies=1), 99, 10_000),
    "... and is stopped while it claims": (State(starts=3, sets=1, copies=1, stops=1), 99, 5_000),
    "copies go to and fro": (State(starts=4, sets=2, copies=2), 14, 20_000),
}


@pytest.mark.parametrize("name", CASES)
def test_one_publisher_decides_and_nothing_accepted_is_undone_in_any_order_of_events(name):
    """Two that decide, or an older copy that does without an operator's word, make the search raise."""
    start, depth, least = CASES[name]
    search = Search()
    assert search.run(start, depth) >= least and search.decisions > 10, "the search saw too little to show anything"


class IgnoresOthersThatStart(Claim):
    """Takes a publisher that starts too for absent."""

    def compare_claim(self, position, claim):
        """Nobody is waited for."""
        return Finding.FREE


class DoesNotWaitForTheOtherToYield(Claim):
    """Decides as soon as it has the better right."""

    def compare_claim(self, position, claim):
        """Only the other one waits."""
        found = super().compare_claim(position, claim)
        return found if self.yields_to else Finding.FREE


class AsksNoRelays(Claim):
    """Ignores what relays know."""

    def compare(self, now, status):
        """Only publishers count."""
        return Finding.FREE if status.phase else super().compare(now, status)


class IgnoresEqualTerms(Claim):
    """Compares terms with `>` alone."""

    def compare(self, now, status):
        """One that decides in the term of the database is waited for, then ignored."""
        found = super().compare(now, status)
        return Finding.FREE if status.known_term == self.stored.term else found


class IgnoresOlderDeciders(Claim):
    """Decides beside a publisher of an older term."""

    def compare(self, now, status):
        """An older term is no reason to wait."""
        found = super().compare(now, status)
        return Finding.FREE if found is Finding.WAIT and status.is_deciding else found


class WordIsNeverSpent(Claim):
    """Lets the operator's word cover everything."""

    def compare(self, now, status):
        """Once a word was given, nothing refuses the claim."""
        return Finding.FREE if self.word and status.claim is None else super().compare(now, status)


class TrustsATermBegunInVain(Claim):
    """Takes all terms below the last one that its database began for older than its state."""

    def _is_later(self, term):
        return term > max(self.begun_terms)

    def has(self, position):
        """Everything in a lower term is older."""
        return position <= Position(max(self.begun_terms), self.stored.number)


VARIANTS = {
    TrustsATermBegunInVain: ChangeSetLostError,
    IgnoresOthersThatStart: TwoDecideError,
    DoesNotWaitForTheOtherToYield: TwoDecideError,
    AsksNoRelays: ChangeSetLostError,
    IgnoresEqualTerms: (TwoDecideError, ChangeSetLostError),
    IgnoresOlderDeciders: TwoDecideError,
    WordIsNeverSpent: TwoDecideError,
}


@pytest.mark.parametrize("variant", VARIANTS)
def test_a_broken_claim_is_found(variant):
    """A search that finds nothing would pass any claim."""
    with pytest.raises(VARIANTS[variant]):
        for start, depth, _ in CASES.values():
            Search(variant).run(start, depth)


def test_a_claim_that_yields_while_it_asks_anew_is_found():
    """The other may decide by its word, and this one because the other was stopped and did not answer."""
    with pytest.raises(TwoDecideError):
        for start, depth, _ in CASES.values():
            Search(yields_while_asking=True).run(start, depth)
