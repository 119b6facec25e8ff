"""The follower's connections: when it ends one, which relay it tries next, and how old it says its state is."""

from control_network import put
from control_upstream import ScriptedUpstream
from control_verifier import filled

from oakfork.control import relay_selection
from oakfork.control.events import AGE_UNKNOWN, Connected, Disconnected, FrameReceived, ShuttingDown, TimerFired
from oakfork.control.follower import PROGRESS_TIMEOUT, SILENCE_TIMEOUT, Phase
from oakfork.control.messages import (
    HEARTBEAT_INTERVAL,
    VERSION,
    Ack,
    Digests,
    Goodbye,
    Heartbeat,
    Hello,
    Kind,
    Position,
    Welcome,
)
from oakfork.control.relay_selection import STALE_AGE


def test_invalid_frames_end_the_connection():
    """Frames that are malformed, out of turn or of another version make the follower switch relays."""
    for message in (
        None,
        Welcome(VERSION, "it", Position(1, 4)),
        Goodbye("full", Position(1, 4)),
        Hello(1, "x", False, Position(), 0),
        Ack(Position(), 0),
    ):
        upstream = ScriptedUpstream([], Position(1, 4)).welcome(Position(1, 4))
        upstream.send(message)
        assert upstream.addresses == ["one", "two"] and len(upstream.closed) == 1
    upstream = ScriptedUpstream([], Position(1, 4))
    upstream.deliver(Connected(-1))
    upstream.send(Welcome(VERSION + 1, "it", Position(1, 4)))
    assert upstream.closed == ["version"]
    upstream = ScriptedUpstream([], Position(1, 4))
    upstream.deliver(Connected(-1))
    upstream.send(Heartbeat(Position(1, 4), 0))  # before the Welcome
    assert upstream.closed == ["out of turn"]


def test_an_upstream_of_an_older_term_is_left_and_one_without_state_is_not():
    """The state never goes back to an older term; an upstream that has just started is waited for."""
    for position, closed in (
        (Position(1, 99), ["older term"]),
        (Position(0, 0), []),
        (Position(2, 1), []),
        (Position(3, 0), []),
    ):
        upstream = ScriptedUpstream([], Position(2, 4))
        upstream.deliver(Connected(-1))
        upstream.send(Welcome(VERSION, "it", position))
        assert upstream.closed == closed
    upstream = ScriptedUpstream([], Position(2, 4)).welcome(Position(2, 4))
    upstream.send(Heartbeat(Position(1, 99), 0))
    assert upstream.closed == ["older term"]


def test_silence_ends_a_connection_and_the_state_stays_with_its_age():
    """Without heartbeats the follower tries its relays in turn, with pauses, and keeps its ageing state."""
    upstream = ScriptedUpstream([put("a", b"1")], Position(1, 4)).welcome(Position(1, 4), age=300)
    assert upstream.machine.age(upstream.now) == 300
    upstream.wait(SILENCE_TIMEOUT - 1)
    assert not upstream.closed
    upstream.wait(1)
    assert upstream.closed == ["silent"] and upstream.addresses == ["one", "two"]
    upstream.wait(3_600_000)
    assert upstream.machine.age(upstream.now) == 3_600_300 + SILENCE_TIMEOUT
    assert upstream.store.value(Kind.SERVER, "a") == b"1"
    # Five seconds for each try, and the pauses.
    assert 3_600_000 // 10_000 < len(upstream.addresses) < 3_600_000 // 4_000


def test_pauses_grow_until_there_is_progress():
    """Relays that fail again and again are tried less often; after progress the next one is tried at once."""
    upstream = ScriptedUpstream(relays=("one", "two"))
    pauses = []
    for _ in range(40):
        count = len(upstream.addresses)
        upstream.deliver(Disconnected(upstream.machine.link))
        while len(upstream.addresses) == count:
            begun_at = upstream.now
            upstream.wait(upstream.timer - upstream.now)
            pauses.append(upstream.now - begun_at)
    assert len(pauses) == 20 and all(pause <= relay_selection.MAX_PAUSE for pause in pauses)
    assert pauses[0] <= relay_selection.MIN_PAUSE
    assert pauses[-1] >= relay_selection.MAX_PAUSE // 2
    assert upstream.addresses[:4] == ["one", "two", "one", "two"]
    upstream.welcome(Position(1, 1))
    upstream.send(upstream.delta(Position(0, 0), Position(1, 1), put("a", b"1")))
    count = len(upstream.addresses)
    upstream.deliver(Disconnected(upstream.machine.link))
    assert len(upstream.addresses) == count + 1  # at once


def test_pauses_depend_on_the_seed_only():
    """Runs are reproducible, and followers with other seeds don't try their relays at the same times."""

    def pauses(seed):
        upstream = ScriptedUpstream(relays=("one",), seed=seed)
        found = []
        for _ in range(8):
            upstream.deliver(Disconnected(upstream.machine.link))
            found.append(upstream.timer - upstream.now)
            upstream.wait(found[-1])
        return found

    assert pauses(5) == pauses(5) != pauses(6)


def test_an_upstream_that_is_ahead_and_sends_nothing_is_left():
    """Heartbeats alone don't keep a connection on which the state makes no progress."""
    upstream = ScriptedUpstream([], Position(1, 4)).welcome(Position(1, 9))
    for _ in range(PROGRESS_TIMEOUT // HEARTBEAT_INTERVAL + 1):
        upstream.send(Heartbeat(Position(1, 9), 0))
        upstream.wait(HEARTBEAT_INTERVAL)
    assert upstream.closed == ["no progress"]


def test_a_follower_waits_for_its_ranges_while_heartbeats_arrive():
    """A follower whose turn for ranges comes late doesn't give up its place, but notices a silent upstream."""
    upstream = ScriptedUpstream().welcome(Position(1, 9))
    other = filled([put("a", b"1")])
    upstream.send(Digests(Position(1, 9), tuple(other.sums)))
    for _ in range(100):
        upstream.send(Heartbeat(Position(1, 9), 0))
        upstream.wait(HEARTBEAT_INTERVAL)
    assert not upstream.closed
    upstream.wait(SILENCE_TIMEOUT)
    assert upstream.closed == ["silent"]


def test_a_stale_upstream_is_left_less_often_each_time():
    """While no relay has heard of the publisher, switching between them becomes rarer."""
    upstream = ScriptedUpstream([], Position(1, 4), relays=("one", "two")).welcome(Position(1, 4), age=0)
    left_at = []  # seconds
    for second in range(0, 600, 2):
        count = len(upstream.closed)
        upstream.wait(HEARTBEAT_INTERVAL)
        if len(upstream.closed) > count:
            left_at.append(second)
            upstream.deliver(Connected(upstream.machine.link))
            upstream.send(Welcome(VERSION, "it", Position(1, 4)))
        upstream.send(Heartbeat(Position(1, 4), 1000 * (second + 2)))
    assert set(upstream.closed) == {"stale"} and 4 <= len(left_at) <= 15
    assert left_at[0] * 1000 >= STALE_AGE and left_at[-1] - left_at[-2] >= 60


def test_age_is_that_of_the_state_in_force():
    """A heartbeat of an upstream that is ahead doesn't make the state here younger."""
    upstream = ScriptedUpstream([], Position(1, 4))
    assert upstream.machine.age(0) is None
    upstream.welcome(Position(1, 4), age=AGE_UNKNOWN)
    assert upstream.machine.age(5_000) is None
    upstream.send(Heartbeat(Position(1, 4), 40))
    upstream.now = 1_000
    upstream.send(Heartbeat(Position(1, 5), 0))
    assert upstream.machine.age(1_000) == 1_040
    upstream.send(upstream.delta(Position(1, 4), Position(1, 5), put("a", b"1")))
    assert upstream.machine.age(1_500) == 500


def test_events_of_an_ended_link_have_no_effect():
    """Late events of a link that the follower has closed don't disturb the next one."""
    upstream = ScriptedUpstream([], Position(1, 4)).welcome(Position(1, 4))
    upstream.send(None)
    assert upstream.machine.phase is Phase.CONNECTING and upstream.machine.link == -2
    for event in (
        Disconnected(-1),
        Connected(-1),
        FrameReceived(-1, Goodbye("full", Position())),
        FrameReceived(-1, None),
    ):
        upstream.deliver(event)
    assert upstream.addresses == ["one", "two"] and upstream.machine.phase is Phase.CONNECTING


def test_after_shutdown_a_follower_does_nothing():
    """A follower that is shutting down closes its link and opens no other one."""
    upstream = ScriptedUpstream([], Position(1, 4)).welcome(Position(1, 4))
    upstream.deliver(ShuttingDown())
    assert upstream.closed == ["left"]
    assert upstream.machine.handle(10**9, TimerFired()) == [] == upstream.machine.handle(10**9, Connected(-2))
