"""A publisher that starts: it decides only if nobody who answers decides, or knows more than its own database."""

import msgspec
import pytest
from control_network import contradictions, parse, put
from control_peer import ScriptedPeer
from test_control_publisher import submit

from oakfork.control.claim import MAX_ANSWER_AGE, ROUND_INTERVAL, ROUND_TIMEOUT, TAKEOVER_TIME, Claim, Finding
from oakfork.control.events import (
    BeginTerm,
    Connected,
    Disconnected,
    FrameReceived,
    Stored,
    TermBegun,
    TermFailed,
    TimerFired,
)
from oakfork.control.messages import (
    EMPTY,
    VERSION,
    Goodbye,
    Hello,
    Position,
    Status,
    StatusRequest,
    SubmitResult,
)
from oakfork.control.other_publishers import POLL_INTERVAL
from oakfork.control.publisher import Publisher
from oakfork.control.state import Records

STORED = Position(7, 3)
MARK = 40


def claim_status(word=0, mark=50, yields_to=0, position=STORED):
    """The status of a publisher that starts too."""
    return {"position": position, "deciding": False, "claim": {"word": word, "mark": mark, "yields_to": yields_to}}


def finding(*answers, stored=STORED, above_term=0, now=0, begun_terms=()):
    """What a claim finds in a round of answers, `now` milliseconds after its first question; None: no answer."""
    claim = Claim([f"other-{number}" for number, _ in enumerate(answers)], stored, above_term, MARK, begun_terms)
    claim.first_asked_at = 0
    for connect in claim.handle(now, TimerFired()):
        answer = answers[-1 - connect.link]
        claim.handle(now, Connected(connect.link))
        if answer is None:
            claim.handle(now, Disconnected(connect.link))
        else:
            claim.handle(now, event_of(connect.link, answer))
    return claim.finding


def event_of(link, answer):
    """The event by which an answer comes."""
    return FrameReceived(link, Status(msgspec.json.encode(answer)))


DECIDING = {"deciding": True}
CASES = {
    "nobody is asked": ((), {}, Finding.FREE),
    "nobody answers": ((None, None), {}, Finding.FREE),
    "a later publisher decides": (({"position": (9, 1)} | DECIDING,), {}, Finding.SUPERSEDED),
    "one decides in the term of the copy": (({"position": (7, 3)} | DECIDING,), {}, Finding.SUPERSEDED),
    "an older publisher decides": (({"position": (6, 9)} | DECIDING,), {}, Finding.WAIT),
    "a publisher of the release before decides": (({"position": (9, 1)},), {}, Finding.SUPERSEDED),
    "one that has heard of a later one": (({"position": (7, 3), "higher_term": 8},), {}, Finding.SUPERSEDED),
    "a relay knows a later term": (({"position": (8, 3), "phase": "following"},), {}, Finding.SUPERSEDED),
    "a relay knows a later change set": (({"position": (7, 4), "phase": "following"},), {}, Finding.OLDER_COPY),
    "a relay is where the database is": (({"position": (7, 3), "phase": "following"},), {}, Finding.FREE),
    "a relay that has restarted": (({"position": (0, 0), "phase": "connecting"},), {}, Finding.FREE),
    "one of several knows more": ((None, {"position": (7, 4), "phase": "following"}), {}, Finding.OLDER_COPY),
    "the operator's word, nobody decides": (({"position": (9, 4), "phase": "x"},), {"above_term": 9}, Finding.FREE),
    "the operator's word is too low": (({"position": (9, 4), "phase": "x"},), {"above_term": 8}, Finding.SUPERSEDED),
    "the word covers one that decides": (({"position": (9, 4)} | DECIDING,), {"above_term": 9}, Finding.WAIT),
    "... which has heard of it": (
        ({"position": (9, 4), "deciding": False, "higher_term": 10},),
        {"above_term": 9},
        Finding.FREE,
    ),
    "... which does not hear": (
        ({"position": (9, 4)} | DECIDING,),
        {"above_term": 9, "now": TAKEOVER_TIME},
        Finding.FREE,
    ),
    "a word that is spent": (({"position": (9, 4)} | DECIDING,), {"above_term": 6}, Finding.SUPERSEDED),
    "an empty database beside one that decides": (
        ({"position": (1, 0)} | DECIDING,),
        {"stored": EMPTY},
        Finding.SUPERSEDED,
    ),
    "another starts and goes first": ((claim_status(mark=50),), {}, Finding.WAIT),
    "another starts and has not yielded": ((claim_status(mark=30),), {}, Finding.WAIT),
    "another starts and yields": ((claim_status(mark=30, yields_to=MARK),), {}, Finding.FREE),
    "another starts and yields to a third": ((claim_status(mark=30, yields_to=50),), {}, Finding.WAIT),
    "it finds itself": ((claim_status(mark=MARK),), {}, Finding.FREE),
    "a relay is at the begin of the own last term": (
        ({"position": (20, 3), "phase": "following"},),
        {"begun_terms": (18, 20)},
        Finding.FREE,
    ),
    "... and of one before that": (
        ({"position": (18, 3), "phase": "following"},),
        {"begun_terms": (18, 20)},
        Finding.FREE,
    ),
    "... and has heard of that term only": (
        ({"position": (7, 3), "higher_term": 20, "phase": "following"},),
        {"begun_terms": (18, 20)},
        Finding.FREE,
    ),
    "... and has a change set of it that a copy lacks": (
        ({"position": (20, 4), "phase": "following"},),
        {"begun_terms": (18, 20)},
        Finding.OLDER_COPY,
    ),
    "the original of a copy decides in that term": (
        ({"position": (20, 3)} | DECIDING,),
        {"begun_terms": (18, 20)},
        Finding.SUPERSEDED,
    ),
    "another term came before the one that was begun in vain": (
        ({"position": (15, 3), "phase": "following"},),
        {"begun_terms": (18, 20)},
        Finding.SUPERSEDED,
    ),
    "an answer that is none": (({"who": "q"},), {}, Finding.FREE),
}


@pytest.mark.parametrize("name", CASES)
def test_what_answers_mean(name):
    """Guards against a second publisher that decides, and against a copy that undoes what was in force."""
    answers, more, expected = CASES[name]
    assert finding(*answers, **more) is expected


def test_the_one_with_the_better_right_goes_first():
    """The operator's word counts before the later database, and that before the mark."""
    for better in (claim_status(word=7, mark=1, position=(1, 1)), claim_status(mark=1, position=(7, 4))):
        claim = Claim(["q"], STORED, 0, MARK)
        [connect] = claim.handle(0, TimerFired())
        claim.handle(0, event_of(connect.link, better))
        assert claim.yields_to == 1 == claim.status().yields_to
        claim.handle(ROUND_INTERVAL, TimerFired())
        assert claim.status().yields_to == 0  # while it asks anew


class Starting:
    """A publisher that starts, with its peers."""

    def __init__(self, others=("q",), stored=STORED, above_term=0, begun_terms=()):
        claim = Claim(others, stored, above_term, MARK, begun_terms)
        machine = Publisher("p", None, stored, Records(), parse, contradictions, others=others, claim=claim)
        self.peer = ScriptedPeer(machine)
        self.begun = []
        execute = self.peer.execute

        def record(commands):
            commands = list(commands)
            self.begun += [command for command in commands if isinstance(command, BeginTerm)]
            execute(commands)

        self.peer.execute = record
        self.peer.deliver(TimerFired())

    def answer(self, answer):
        """Answers the last question."""
        link = self.peer.connects[-1][1]
        self.peer.deliver(Connected(link))
        if answer is None:
            self.peer.deliver(Disconnected(link))
        else:
            self.peer.deliver(event_of(link, answer))

    def status(self):
        """What it tells an operator."""
        self.peer.deliver(Connected(90))
        self.peer.send(90, StatusRequest())
        return msgspec.json.decode(self.peer.last(90).document)


def test_a_publisher_that_starts_accepts_and_serves_nothing_until_its_claim_is_settled():
    """A change set waits; the term is durable before anything is accepted in it."""
    start = Starting()
    peer = start.peer
    submit(peer, 1, "one", put("a", b"1"))
    peer.deliver(Connected(2))
    peer.send(2, Hello(VERSION, "gateway", False, STORED, 0))
    assert peer.new(2) == [Goodbye("claiming", STORED)] and not peer.stored and not start.begun
    status = start.status()
    assert not status["deciding"] and status["claim"]["mark"] == MARK and status["position"] == [7, 3]

    start.answer(None)
    assert start.begun == [BeginTerm(7, 1 + MARK)] and not peer.stored
    peer.deliver(TermBegun(48))
    assert [command.position for command in peer.stored] == [Position(48, 4)]
    peer.deliver(Stored(4))
    assert peer.new(1) == [SubmitResult("one", Position(48, 4), ())]
    status = start.status()
    assert status["deciding"] and status["claim"] is None and status["higher_term"] is None


def test_a_publisher_that_is_superseded_refuses_for_good_however_often_it_asks():
    """Guards against an old publisher that is started again and undoes what the new one has put in force."""
    start = Starting()
    submit(start.peer, 1, "one", put("a", b"1"))
    start.answer({"position": (9, 1), "deciding": True})
    [result] = start.peer.new(1)
    assert (
        result.position is None and result.faults[0] == "older term: this publisher has term 7, there is one of term 9"
    )
    start.peer.wait(10 * POLL_INTERVAL)
    submit(start.peer, 1, "two", put("a", b"1"))
    assert start.peer.new(1)[0].position is None
    assert len(start.peer.connects) == 1 and not start.begun and not start.peer.stored
    status = start.status()
    assert status["higher_term"] == 9 and status["claim"] is None and not status["deciding"]


def test_an_older_copy_names_what_it_lacks():
    """Status, log and answers say which position was in force beyond the end of the database."""
    start = Starting()
    start.answer({"position": (7, 5), "phase": "following"})
    submit(start.peer, 1, "one", put("a", b"1"))
    assert start.peer.new(1)[0].faults == ("older copy: the database ends at 7.3, 7.5 was in force",)
    assert start.status()["later_copy"] == [7, 5] and not start.begun and "older term" in start.peer.counted


def test_a_follower_of_a_later_term_refuses_the_claim():
    """A relay or gateway that comes while the answers are awaited knows more than the database."""
    start = Starting()
    start.peer.deliver(Connected(2))
    start.peer.send(2, Hello(VERSION, "gateway", False, Position(8, 1), 0))
    submit(start.peer, 1, "one", put("a", b"1"))
    assert "there is one of term 8" in start.peer.new(1)[0].faults[0]
    assert start.peer.closed[-1] == "not needed"
    start.answer(None)
    start.peer.wait(10 * POLL_INTERVAL)
    assert not start.begun and len(start.peer.connects) == 1


@pytest.mark.parametrize("term, is_refused", [(20, False), (18, False), (15, True), (21, True)])
def test_a_follower_in_the_term_that_the_database_began_last_refuses_nothing(term, is_refused):
    """Guards against a publisher without a new change set that is refused by its own last term."""
    start = Starting(others=(), begun_terms=(18, 20))
    start.peer.deliver(Connected(2))
    start.peer.send(2, Hello(VERSION, "gateway", False, Position(term, 3), 0))
    start.peer.deliver(TermBegun(21 + MARK))
    assert start.status()["deciding"] is not is_refused


def test_answers_that_are_old_by_the_time_of_the_term_are_asked_for_again():
    """Guards against a process that was stopped between its questions and its decision."""
    start = Starting()
    start.answer(None)
    start.peer.now += MAX_ANSWER_AGE + 1
    start.peer.deliver(TermBegun(48))
    assert len(start.peer.connects) == 1
    start.peer.wait(0)
    assert len(start.peer.connects) == 2 and not start.status()["deciding"]
    start.answer({"position": (9, 1), "deciding": True})
    assert start.status()["higher_term"] == 9 and len(start.begun) == 1


def test_a_claim_waits_for_an_older_publisher_and_outlives_a_disk_that_fails():
    """Rounds are repeated while another decides; one who does not answer counts as absent after a while."""
    start = Starting()
    start.answer({"position": (6, 1), "deciding": True})
    start.peer.wait(ROUND_INTERVAL)
    assert len(start.peer.connects) == 2
    start.peer.wait(ROUND_TIMEOUT)  # no answer
    assert len(start.begun) == 1
    start.peer.deliver(TermFailed("no room"))
    start.peer.wait(2 * ROUND_TIMEOUT)
    start.answer(None)
    assert len(start.begun) == 2 and "not stored" in start.peer.counted
    start.peer.deliver(TermBegun(48))
    assert start.status()["deciding"]


def test_a_publisher_hears_from_one_that_starts_that_it_is_to_be_taken_over():
    """It stops accepting before the new one begins."""
    peer = ScriptedPeer(Publisher("p", 9, STORED, Records(), parse, contradictions, others=("q",)))
    peer.deliver(TimerFired())
    peer.deliver(Connected(-1))
    peer.deliver(event_of(-1, claim_status(word=8)))
    assert not peer.machine.follower_server.outdated
    peer.wait(POLL_INTERVAL)
    peer.deliver(Connected(-2))
    peer.deliver(event_of(-2, claim_status(word=9)))
    assert peer.machine.follower_server.outdated
