"""The publisher: queue, durability, answers, and what it learns of other publishers."""

import itertools
from types import SimpleNamespace

import msgspec
import pytest
from control_network import contradictions, parse, put
from control_peer import ScriptedPeer, follow
from control_verifier import filled

from oakfork.control.change_queue import MAX_QUEUED_SETS, MAX_WAITING_LINKS
from oakfork.control.events import Connected, Disconnected, Reverted, RevertFailed, Stored, StoreFailed, TimerFired
from oakfork.control.follower_server import HELLO_TIMEOUT
from oakfork.control.messages import (
    EMPTY,
    HEARTBEAT_INTERVAL,
    Delta,
    Goodbye,
    Kind,
    Position,
    Status,
    StatusRequest,
    Submit,
    SubmitResult,
)
from oakfork.control.other_publishers import POLL_INTERVAL, OtherPublishers
from oakfork.control.publisher import Publisher
from oakfork.control.state import Records, total_digest
from oakfork.errors import DatabaseError


def publisher(stored=EMPTY, term=1, store=None, **more):
    """The peer of a publisher."""
    return ScriptedPeer(Publisher("p", term, stored, store or Records(), parse, contradictions, **more))


def submit(peer, link, id, *rows):
    """Submits a change set on a link, which is connected if necessary."""
    if link not in peer.machine.follower_server.sessions:
        peer.deliver(Connected(link))
    peer.send(link, Submit(id, msgspec.msgpack.encode(rows)))


def test_a_change_set_is_stored_before_it_is_in_force_acknowledged_and_sent():
    """Nothing is visible of a change set until the disk has it."""
    peer = publisher()
    follow(peer, 9)
    peer.new(9)
    submit(peer, 1, "one", put("a", b"1"))
    [command] = peer.stored
    assert (command.position, command.id, command.rows) == (Position(1, 1), "one", (put("a", b"1"),))
    store = peer.machine.store
    assert peer.machine.position == Position(1, 0) and not peer.sent
    assert store.value(Kind.SERVER, "a") is None
    peer.deliver(Stored(1))
    assert peer.new(1) == [SubmitResult("one", Position(1, 1), ())] and store.value(Kind.SERVER, "a") == b"1"
    assert total_digest(store.sums) == command.digest
    assert peer.new(9) == [Delta(Position(1, 0), Position(1, 1), command.digest, (put("a", b"1"),), False)]
    peer.deliver(Stored(1))  # repeated
    assert peer.machine.position == Position(1, 1) and not peer.sent


def test_a_repeated_id_gets_the_same_answer_and_has_no_second_effect():
    """Holds while the first one is being stored, afterwards, and after a restart."""
    peer = publisher()
    submit(peer, 1, "one", put("a", b"1"))
    submit(peer, 2, "one", put("a", b"2"))  # while the first is being stored
    submit(peer, 2, "one", put("a", b"2"))
    peer.deliver(Stored(1))
    submit(peer, 3, "one", put("a", b"3"))
    assert peer.new(1) == peer.new(2) == peer.new(3) == [SubmitResult("one", Position(1, 1), ())]
    assert len(peer.stored) == 1
    peer = publisher(Position(1, 7), 2, ids={"one": Position(1, 1)})
    submit(peer, 1, "one", put("a", b"1"))
    assert peer.new(1) == [SubmitResult("one", Position(1, 1), ())] and not peer.stored


def test_faults_refuse_the_whole_set_and_sets_are_checked_in_order():
    """A change set is checked against the state that includes all sets queued before it."""
    peer = publisher()
    peer.deliver(Connected(1))
    peer.send(1, Submit("bad", b"\xc1"))
    assert peer.last(1).position is None and peer.last(1).faults[0].startswith("the file")
    submit(peer, 1, "put", put("a", b"1"))
    submit(peer, 2, "drop", put("a", None))
    submit(peer, 3, "again", put("a", None))
    peer.deliver(Stored(1))
    peer.deliver(Stored(2))
    assert peer.last(2) == SubmitResult("drop", Position(1, 2), ())
    assert peer.last(3) == SubmitResult("again", None, ("drop[0]: 'a' does not exist",))
    assert len(peer.stored) == 2


def test_the_queue_and_the_links_that_wait_for_one_set_are_bounded():
    """Further submissions are refused for now; a link that ends no longer waits."""
    peer = publisher()
    queue = peer.machine.queue
    for number in range(MAX_QUEUED_SETS + 1):
        submit(peer, 1, f"set-{number}", put("a", b"%d" % number))
    assert len(queue) == MAX_QUEUED_SETS and peer.new(1)[0].faults[0].startswith("too many")
    for link in range(2, MAX_WAITING_LINKS + 3):
        submit(peer, link, "set-0", put("a", b"0"))
    assert len(queue.first.links) == MAX_WAITING_LINKS
    assert peer.last(MAX_WAITING_LINKS + 2).faults[0].startswith("too many")
    peer.deliver(Disconnected(1))
    assert 1 not in queue.first.links
    for number in range(MAX_QUEUED_SETS):
        peer.deliver(Stored(number + 1))
    assert not queue and peer.machine.position == Position(1, MAX_QUEUED_SETS)


def test_a_set_that_could_not_be_stored_is_refused_and_the_next_one_proceeds():
    """The next change set gets the position of the one that failed."""
    peer = publisher()
    submit(peer, 1, "one", put("a", b"1"))
    submit(peer, 2, "two", put("b", b"1"))
    peer.deliver(StoreFailed(1, "disk full"))
    assert peer.last(1) == SubmitResult("one", None, ("not stored: disk full",))
    assert peer.stored[1].position == Position(1, 1)
    peer.deliver(Stored(1))
    assert peer.last(2) == SubmitResult("two", Position(1, 1), ())


def test_an_outdated_publisher_accepts_and_serves_nothing_more():
    """A change set that was being stored is reverted before it is refused, so that a restart doesn't bring it back."""
    peer = publisher()
    follow(peer, 1)
    submit(peer, 2, "one", put("a", b"1"))
    submit(peer, 3, "two", put("a", b"2"))
    follow(peer, 4, position=Position(5, 1))
    assert peer.closed == {4: "older term", 1: "older term"} and "older term" in peer.counted
    peer.deliver(Stored(1))
    assert peer.reverted == [Position(1, 1)] and 2 not in peer.sent and 3 not in peer.sent
    peer.deliver(Reverted(1))
    for link in (2, 3):
        assert peer.last(link).position is None and peer.last(link).faults[0].startswith("older term")
    assert peer.machine.position == Position(1, 0)
    submit(peer, 5, "three", put("a", b"3"))
    assert peer.last(5).faults[0].startswith("older term")
    follow(peer, 6)
    assert peer.closed[6] == "older term"
    peer.send(5, StatusRequest())
    assert msgspec.json.decode(peer.last(5).document)["higher_term"] == 5


def test_a_stored_set_that_could_not_be_reverted_gets_no_answer():
    """Whether it is in force after a restart is unknown then, so either answer could be wrong."""
    peer = publisher()
    submit(peer, 2, "one", put("a", b"1"))
    submit(peer, 3, "two", put("a", b"2"))
    follow(peer, 4, position=Position(5, 1))
    peer.deliver(Stored(1))
    peer.deliver(RevertFailed(7, "of another number: no effect"))
    assert 2 not in peer.closed
    peer.deliver(RevertFailed(1, "disk full"))
    assert peer.closed[2] == "not taken back" and 2 not in peer.sent and "not taken back" in peer.counted
    assert peer.last(3).faults[0].startswith("older term") and peer.machine.position == Position(1, 0)
    submit(peer, 5, "one", put("a", b"1"))
    assert peer.closed[5] == "not taken back" and 5 not in peer.sent


def test_a_new_term_begins_without_changes_and_with_the_stored_log():
    """Followers at stored positions get Deltas after a restart; a term that isn't above the stored one is an error."""

    def entry(before, position, *rows):
        return SimpleNamespace(before=before, position=position, rows=rows)

    entries = [
        entry(Position(1, 3), Position(1, 4), put("a", b"1")),
        entry(Position(1, 4), Position(2, 5), put("b", b"1")),
    ]
    peer = publisher(Position(2, 5), 4, filled([put("a", b"1"), put("b", b"1")]), entries=entries)
    assert peer.machine.position == Position(4, 5)
    for link, position, rows in ((1, Position(1, 3), 2), (2, Position(1, 4), 1), (3, Position(2, 5), 0)):
        follow(peer, link, position=position)
        delta = peer.last(link)
        assert isinstance(delta, Delta) and (delta.after, delta.position) == (position, Position(4, 5))
        assert len(delta.rows) == rows
    with pytest.raises(DatabaseError, match="is not above"):
        publisher(Position(2, 5), 2)


def test_an_operators_link_stays_open_while_it_is_used():
    """Requests restart the timeout for Hello, which an operator doesn't send."""
    peer = publisher()
    peer.deliver(Connected(1))
    for _ in range(5):
        peer.wait(HELLO_TIMEOUT - HEARTBEAT_INTERVAL)
        peer.send(1, StatusRequest())
        assert isinstance(peer.last(1), Status) and not peer.closed
    peer.wait(HELLO_TIMEOUT + HEARTBEAT_INTERVAL)
    assert peer.closed == {1: "no hello"}


def test_other_publishers_are_polled_for_their_terms():
    """Answers that are malformed, and publishers that don't answer, don't stop the polls."""
    peer = ScriptedPeer(OtherPublishers(("q", "r"), itertools.count(-1, -1)))
    peer.deliver(TimerFired())
    assert peer.connects == [("q", -1), ("r", -2)]
    peer.deliver(Connected(-1))
    assert peer.new(-1) == [StatusRequest()]
    peer.send(-1, Status(b'{"position": [3, 1], "who": "q"}'))
    assert peer.machine.highest_term == 3 and peer.closed == {-1: "answered"}
    peer.now = POLL_INTERVAL
    peer.deliver(TimerFired())
    assert peer.closed[-2] == "no answer" and peer.connects[2:] == [("q", -3), ("r", -4)]
    for link, message in ((-3, Status(b"no json")), (-4, Goodbye("full", Position(9, 9)))):
        peer.deliver(Connected(link))
        peer.send(link, message)
    assert peer.machine.highest_term == 3 and not peer.machine.open_links
