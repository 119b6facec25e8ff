"""Publishers with voters: what comes into force is recorded by a majority, and only one publisher has that."""

import pytest
from control_network import put
from control_peer import follow
from scripted_voters import ADDRESSES, MARK, STORED, VotedPublisher
from test_control_publisher import submit

from oakfork.control.claim import HOLDER_TIMEOUT
from oakfork.control.events import Stored, VoterState
from oakfork.control.grant_seeker import ANSWER_TIMEOUT, ASK_INTERVAL
from oakfork.control.messages import EMPTY, Delta, Position, SubmitResult


def deciding(**more):
    """A publisher that decides."""
    peer = VotedPublisher(**more)
    peer.play()
    assert peer.machine.authority.decides
    return peer


def stored_at(peer, number):
    """The disk has the change set of that number."""
    peer.deliver(Stored(number))


def test_a_publisher_decides_once_a_majority_has_granted_its_term_and_recorded_its_first_position():
    """Guards against a publisher that accepts change sets beside one on the other side of a cut."""
    peer = VotedPublisher()
    peer.reachable = {"v0"}
    peer.play_for(5_000)
    assert not peer.begun and peer.status()["claim"]["mark"] == MARK  # it takes no votes that it can't use
    peer.reachable = {"v0", "v2"}
    peer.voting = {"v0"}
    peer.play_for(5_000)
    status = peer.status()
    assert peer.begun and not status["deciding"] and status["grant"]["answering"] == 1
    peer.voting = {"v0", "v2"}
    peer.play_for(2 * ASK_INTERVAL)
    assert peer.status()["deciding"] and peer.status()["grant"] == {
        "voters": 3,
        "answering": 2,
        "without_memory": 0,
        "later_term": 0,
    }
    term = peer.machine.term
    assert term > STORED.term and [state.recorded for state in peer.states] == [(term, 3), EMPTY, (term, 3)]


def test_a_change_set_is_in_force_once_a_majority_has_recorded_it():
    """Guards against an acknowledgement that a publisher on the other side of a cut knows nothing of."""
    peer = deciding()
    follow(peer, 9)
    peer.new(9)
    submit(peer, 1, "one", put("a", b"1"))
    peer.reachable = {"v1"}
    stored_at(peer, 4)
    peer.play()
    assert not peer.new(1) and not peer.new(9) and peer.machine.position.number == 3
    peer.reachable = set(ADDRESSES)
    peer.play_for(ANSWER_TIMEOUT + 2 * ASK_INTERVAL)
    term = peer.machine.term
    assert peer.new(1) == [SubmitResult("one", Position(term, 4), ())]
    assert any(isinstance(message, Delta) for message in peer.new(9))
    assert sum(state.recorded == (term, 4) for state in peer.states) >= 2


def test_a_publisher_without_a_majority_refuses_change_sets_and_goes_on_with_one():
    """An operator learns at once that it can't accept anything."""
    peer = deciding()
    peer.reachable = {"v1"}
    peer.play_for(2 * ANSWER_TIMEOUT)
    assert not peer.status()["deciding"] and peer.status()["higher_term"] is None
    submit(peer, 1, "one", put("a", b"1"))
    assert peer.new(1)[0].faults[0].startswith("no majority") and not peer.stored
    peer.reachable = {"v1", "v2"}
    peer.play_for(3 * ASK_INTERVAL)
    submit(peer, 1, "one", put("a", b"1"))
    stored_at(peer, 4)
    peer.play()
    assert peer.new(1)[0].position == Position(peer.machine.term, 4)


def test_what_waits_behind_a_change_set_without_a_majority_is_refused():
    """Guards against answers that wait as long as a cut: only the first one may be in force later."""
    peer = deciding()
    submit(peer, 1, "one", put("a", b"1"))
    submit(peer, 2, "two", put("b", b"1"))
    peer.reachable = {"v1"}
    stored_at(peer, 4)
    peer.play_for(ANSWER_TIMEOUT - ASK_INTERVAL)
    assert not peer.new(2)
    peer.play_for(3 * ASK_INTERVAL)
    assert peer.new(2)[0].faults[0].startswith("no majority") and not peer.new(1)
    submit(peer, 2, "three", put("b", b"1"))
    assert peer.new(2)[0].faults[0].startswith("no majority")
    peer.reachable = {"v0", "v1"}
    peer.play_for(2 * ANSWER_TIMEOUT)
    assert peer.new(1) == [SubmitResult("one", Position(peer.machine.term, 4), ())] and len(peer.stored) == 1


def test_a_publisher_that_stood_still_between_its_check_and_its_commit_accepts_nothing():
    """Guards against two publishers that accept different change sets: another one has decided meanwhile."""
    peer = deciding()
    submit(peer, 1, "one", put("a", b"1"))
    peer.now += 5_000
    later = Position(90, 3)
    peer.states = [VoterState(state.incarnation, 90, 5, later, True) for state in peer.states]
    stored_at(peer, 4)
    peer.play_for(2 * ANSWER_TIMEOUT)
    # It is on this disk, and a voter might have recorded it: neither accepted nor refused, and not undone here.
    assert not peer.new(1) and not peer.reverted and peer.closed[1] == "not known"
    assert [state.recorded for state in peer.states] == [later] * 3
    submit(peer, 2, "two", put("a", b"2"))
    assert peer.new(2)[0].faults[0].startswith("older term") and peer.status()["higher_term"] == 90
    submit(peer, 3, "one", put("a", b"1"))
    assert not peer.new(3) and peer.closed[3] == "not taken back"


def test_a_publisher_that_stood_still_and_was_not_overtaken_goes_on():
    """It has asked nobody meanwhile, so nobody has failed to answer: a change set that waits is not refused."""
    peer = deciding()
    peer.now += 60_000
    submit(peer, 1, "one", put("a", b"1"))
    stored_at(peer, 4)
    peer.play_for(2 * ASK_INTERVAL)
    assert peer.new(1) == [SubmitResult("one", Position(peer.machine.term, 4), ())]


@pytest.mark.parametrize(
    "recorded, begins, word",
    [
        (Position(7, 4), "older copy", 0),
        (Position(9, 4), "older term", 0),
        (Position(9, 4), "older term", 8),
        (Position(7, 3), None, 0),
        (Position(8, 3), None, 0),  # the first position of a term that the database began
        (Position(9, 4), None, 9),
    ],
)
def test_an_older_copy_than_a_majority_has_recorded_is_refused_without_the_operators_word(recorded, begins, word):
    """Guards against a copy that undoes what was accepted after it was made, though its publisher is gone."""
    states = [VoterState(number + 1, 9, 5, recorded if number else EMPTY, True) for number in range(3)]
    peer = VotedPublisher(states=states, above_term=word, begun_terms=(8,))
    peer.play_for(2 * ASK_INTERVAL)
    submit(peer, 1, "one", put("a", b"1"))
    if begins is None:
        assert peer.machine.authority.decides and peer.machine.term > 9
    else:
        assert peer.new(1)[0].faults[0].startswith(begins) and not peer.stored


def test_what_one_voter_has_recorded_counts_unless_the_others_are_seen_not_to_have_it():
    """One of three may be of a majority with the silent one; where both others lack it, it never came into force."""
    peer = VotedPublisher(states=[VoterState(number + 1, 9, 5, EMPTY, True) for number in range(3)])
    peer.states[1] = VoterState(2, 9, 5, Position(9, 4), True)
    peer.reachable = {"v0", "v1"}
    peer.play_for(5_000)
    assert not peer.begun and peer.status()["claim"] is not None
    peer.reachable = set(ADDRESSES)
    peer.play_for(3 * ASK_INTERVAL)
    assert peer.status()["deciding"]


def test_what_the_grants_show_is_refused_though_the_claim_did_not_see_it():
    """A change set that was accepted between the claim's question and the grant."""
    peer = VotedPublisher()
    peer.voting = set()
    peer.play_for(3 * ASK_INTERVAL)
    assert peer.begun and not peer.machine.authority.decides
    peer.states = [state._replace(recorded=Position(7, 5)) for state in peer.states]
    peer.voting = set(ADDRESSES)
    peer.play_for(3 * ASK_INTERVAL)
    assert peer.status()["later_copy"] == [7, 5] and not peer.status()["deciding"]
    assert peer.machine.authority.timer is None  # it asks nobody any more


def test_new_voters_grant_nothing_without_the_operators_word():
    """Guards against voters that have lost their disks and vote as if nothing had been recorded."""
    for word in (0, 1):
        peer = VotedPublisher(stored=EMPTY, states=[VoterState(number + 1) for number in range(3)], above_term=word)
        peer.play_for(5_000)
        assert peer.status()["deciding"] is (word == 1)
        assert all(state.has_memory is (word == 1) for state in peer.states)
        assert peer.counted.count("voter without memory") == 3


def test_a_voter_that_lost_its_disk_counts_again_once_the_others_have_confirmed_the_term():
    """Restarts without a disk, in turn, leave the publisher deciding; two at once do not."""
    peer = deciding()
    for number in range(3):
        peer.states[number] = VoterState(100 + number)
        peer.play_for(3 * ASK_INTERVAL)
        assert peer.states[number].has_memory and peer.states[number].recorded == peer.machine.position
        assert peer.status()["deciding"]
    for number in range(2):
        peer.states[number] = VoterState(200 + number)
    peer.play_for(2 * ANSWER_TIMEOUT)
    status = peer.status()
    assert not status["deciding"] and status["grant"]["without_memory"] == 2
    assert not peer.states[0].has_memory and not peer.states[1].has_memory


def test_a_voter_that_is_named_twice_counts_once():
    """Two addresses of one relay and a third that is down are no majority."""
    peer = VotedPublisher(addresses=("v0", "v3", "v1"))  # the first two are one relay
    peer.reachable = {"v0", "v3"}
    peer.play_for(5_000)
    assert not peer.begun
    peer.reachable = {"v0", "v3", "v1"}
    peer.voting = {"v0", "v3"}
    peer.play_for(5_000)
    assert not peer.status()["deciding"] and peer.status()["grant"]["answering"] == 1
    peer.voting = {"v0", "v3", "v1"}
    peer.play_for(3 * ASK_INTERVAL)
    assert peer.status()["deciding"]


def test_a_publisher_that_starts_waits_while_voters_hear_another():
    """One that is cut off from a publisher, but not from its voters, does not take over from it."""
    peer = VotedPublisher(states=[VoterState(number + 1, 9, 5, STORED, True) for number in range(3)])
    peer.heard_ms = HOLDER_TIMEOUT - 1
    peer.play_for(5_000)
    assert not peer.begun and peer.status()["claim"]["mark"] == MARK
    peer.heard_ms = HOLDER_TIMEOUT
    peer.play_for(3 * ASK_INTERVAL)
    assert peer.status()["deciding"] and peer.begun[0].above == 9


def test_a_term_that_voters_do_not_grant_is_followed_by_a_higher_one():
    """Another publisher was granted a later term in between, and is gone."""
    peer = VotedPublisher()
    peer.voting = set()
    peer.play_for(3 * ASK_INTERVAL)
    assert peer.begun[0].above < 1000
    peer.states = [VoterState(state.incarnation, 1000, 5, EMPTY, True) for state in peer.states]
    peer.voting = set(ADDRESSES)
    peer.play_for(5_000)
    assert peer.begun[-1].above == 1000 and peer.status()["deciding"]


@pytest.mark.parametrize("recorded", [STORED, Position(9, 4)])
def test_what_is_on_the_disk_is_not_said_to_be_in_force_before_this_publisher_decides(recorded):
    """Guards against an answer "in force" for a change set that no majority has recorded."""
    states = [VoterState(number + 1, 9, 5, recorded, True) for number in range(3)]
    peer = VotedPublisher(states=states, ids={"one": STORED})
    submit(peer, 1, "one", put("a", b"1"))
    assert not peer.new(1)
    peer.play_for(3 * ASK_INTERVAL)
    if recorded == STORED:
        assert peer.new(1) == [SubmitResult("one", STORED, ())] and not peer.stored
        return
    assert not peer.new(1) and peer.closed[1] == "not known"
    submit(peer, 2, "one", put("a", b"1"))
    assert not peer.new(2) and peer.closed[2] == "not known"


def test_a_publisher_that_gives_way_is_heard_no_more_by_its_voters():
    """Else the later one, or the next one that starts, would wait for it without end."""
    peer = deciding()
    follow(peer, 9, position=Position(99, 1), digest=0)
    heard = list(peer.states)
    peer.play_for(5_000)
    assert peer.status()["higher_term"] == 99 and peer.states == heard
    assert not peer.connects and not any(link < 0 for link in peer.sent) and peer.status()["grant"]["answering"] == 0
