"""Relays that vote: nothing is answered before the disk has it, and the file is theirs alone."""

import sqlite3

import msgspec
import pytest
from control_peer import ScriptedPeer

from oakfork.control import sqlite_file
from oakfork.control.database import Database
from oakfork.control.events import Connected, StoreVote, VoteFailed, VoterState, VoteStored
from oakfork.control.follower_server import HELLO_TIMEOUT
from oakfork.control.messages import (
    HEARTBEAT_INTERVAL,
    Goodbye,
    GrantRequest,
    Position,
    RecordRequest,
    StatusRequest,
    VoterReport,
)
from oakfork.control.relay import Relay
from oakfork.control.state import Records
from oakfork.control.vote_file import VoteFile
from oakfork.control.voter import MAX_WAITING_REQUESTS, Voter
from oakfork.errors import DatabaseError

KEPT = VoterState(3, 8, 5, Position(8, 2), has_memory=True)


class VotingRelay(ScriptedPeer):
    """A relay with a voter, whose disk answers when the test says so."""

    def __init__(self, state=KEPT):
        super().__init__(Relay("r", ("p",), Records(), voter=Voter(state)))
        self.votes = []
        self.deliver(Connected(1))

    def execute(self, commands):
        """Records what the voter has stored, too."""
        commands = list(commands)
        self.votes += [command.state for command in commands if isinstance(command, StoreVote)]
        super().execute(commands)

    def status(self):
        """What it tells of its votes."""
        self.send(1, StatusRequest())
        return msgspec.json.decode(self.new(1)[-1].document)["voter"]


def test_a_voter_answers_once_the_disk_has_what_it_says():
    """Guards against a grant that a crash undoes."""
    peer = VotingRelay()
    peer.send(1, GrantRequest(9, 6, 0, 1, False))
    assert peer.votes == [KEPT._replace(term=9, mark=6)] and not peer.new(1)
    peer.send(1, RecordRequest(9, 6, 3, Position(9, 2), 1, False))  # waits for the disk
    assert len(peer.votes) == 1
    peer.deliver(VoteStored())
    assert peer.new(1) == [VoterReport(3, True, 9, 6, Position(8, 2), 1)]
    assert peer.votes[1:] == [VoterState(3, 9, 6, Position(9, 2), True)]
    peer.deliver(VoteStored())
    assert peer.new(1) == [VoterReport(3, True, 9, 6, Position(9, 2), 1)]
    peer.now += 700
    status = peer.status()
    assert status["heard_ms"] == 700 and status["recorded"] == [9, 2] and status["term"] == 9


@pytest.mark.parametrize(
    "request_",
    [
        GrantRequest(8, 6, 0, 1, False),  # granted already
        GrantRequest(7, 6, 0, 1, True),
        RecordRequest(8, 6, 3, Position(8, 9), 1, False),  # of another publisher of the term
        RecordRequest(7, 5, 3, Position(7, 9), 1, True),
        RecordRequest(8, 5, 2, Position(8, 9), 1, False),  # meant for a file that was lost
        RecordRequest(9, 6, 3, Position(9, 9), 1, True),  # not granted
    ],
)
def test_what_a_voter_must_not_do_changes_nothing(request_):
    """It says what it has."""
    peer = VotingRelay()
    peer.send(1, request_)
    assert not peer.votes and peer.new(1) == [VoterReport(3, True, 8, 5, Position(8, 2), 0)]


def test_without_memory_a_word_counts_for_that_file_only():
    """Guards against an operator's word for one loss that counts for the next."""
    new = VoterState(4)
    for request_, after in (
        (GrantRequest(9, 6, 4, 1, False), None),
        (GrantRequest(9, 6, 0, 1, True), None),
        (GrantRequest(9, 6, 4, 1, True), VoterState(4, 9, 6)),
        (RecordRequest(9, 6, 4, Position(9, 2), 2, False), None),
        (RecordRequest(9, 6, 3, Position(9, 2), 2, True), None),
        (RecordRequest(9, 6, 4, Position(9, 2), 2, True), VoterState(4, 9, 6, Position(9, 2), True)),
    ):
        peer = VotingRelay(new)
        peer.send(1, request_)
        assert peer.votes == ([] if after is None else [after])


def test_a_disk_that_fails_leaves_the_question_open():
    """The publisher asks again; what waits behind it is handled."""
    peer = VotingRelay()
    peer.send(1, GrantRequest(9, 6, 0, 1, False))
    peer.send(1, GrantRequest(10, 6, 0, 1, False))
    peer.deliver(VoteFailed("no room"))
    assert "vote not stored" in peer.counted and not peer.new(1) and peer.votes[-1].term == 10
    peer.deliver(VoteStored())
    assert peer.new(1) == [VoterReport(3, True, 10, 6, Position(8, 2), 1)]


def test_requests_that_wait_are_bounded():
    """Publishers ask again."""
    peer = VotingRelay()
    for term in range(9, 9 + MAX_WAITING_REQUESTS + 3):
        peer.send(1, GrantRequest(term, 6, 0, 1, False))
    assert peer.counted.count("too many votes wait") == 3


def test_a_publishers_connection_lasts_while_it_asks():
    """It never says Hello, and is not taken for one who stalls."""
    peer = VotingRelay()
    for _ in range(4):
        peer.wait(HELLO_TIMEOUT - HEARTBEAT_INTERVAL)
        peer.send(1, RecordRequest(8, 5, 3, Position(8, 2), 1, False))
        assert peer.new(1) == [VoterReport(3, True, 8, 5, Position(8, 2), 1)] and 1 not in peer.closed


def test_a_relay_that_does_not_vote_ends_the_connection():
    """Also what a relay of the release before does, to which the request is malformed."""
    peer = ScriptedPeer(Relay("r", ("p",), Records()))
    peer.deliver(Connected(1))
    peer.send(1, GrantRequest(9, 6, 0, 1, False))
    assert isinstance(peer.last(1), Goodbye) and peer.closed == {1: "out of turn"}


def test_votes_survive_a_restart_and_a_new_file_is_a_later_one(tmp_path):
    """A voter that has lost its file says so by a higher incarnation."""
    file = VoteFile(tmp_path / "votes")
    first = file.state
    assert first == VoterState(first.incarnation) and first.incarnation > 0
    kept = VoterState(first.incarnation, 1 << 61, 1 << 60, Position(1 << 59, 7), True)
    file.store(kept)
    file.close()
    with pytest.raises(DatabaseError, match="closed"):
        file.store(kept)
    file = VoteFile(tmp_path / "votes")
    assert file.state == kept
    file.close()
    (tmp_path / "votes").unlink()
    file = VoteFile(tmp_path / "votes")
    assert file.state.incarnation > first.incarnation and not file.state.has_memory
    file.close()


def test_a_file_of_votes_is_used_by_one_relay_at_a_time_and_is_no_other_file(tmp_path, monkeypatch):
    """Guards against two relays that vote as one, and against a database in place of the votes."""
    monkeypatch.setattr(sqlite_file, "LOCK_TIMEOUT", 0.05)
    file = VoteFile(tmp_path / "votes")
    with pytest.raises(DatabaseError, match="locked"):
        VoteFile(tmp_path / "votes")
    file.close()
    Database(tmp_path / "database").close()
    with pytest.raises(DatabaseError, match="voter"):
        VoteFile(tmp_path / "database")
    with pytest.raises(DatabaseError, match="publisher"):
        Database(tmp_path / "votes")
    with sqlite3.connect(tmp_path / "votes") as connection:
        connection.execute("DELETE FROM vote")
    connection.close()
    with pytest.raises(DatabaseError):
        VoteFile(tmp_path / "votes")
