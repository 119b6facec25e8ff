"""Serves followers, for publishers and relays alike. No I/O: events in, commands out.

Each link alternates between the two sides: the follower says what it has (`Hello`, `Ack`) or wants (`RangeRequest`),
receives one frame, and answers it. A slow follower therefore has one frame outstanding and delays no one; changes in
the meantime reach it merged. state_sender.py decides what is sent.
"""

from typing import Callable

from oakfork.control.events import (
    AGE_UNKNOWN,
    Close,
    Command,
    Connected,
    CountEvent,
    Disconnected,
    Event,
    FrameReceived,
    InForce,
    ScheduleStep,
    SendFrame,
    SetTimer,
    ShuttingDown,
    Step,
    TimerFired,
)
from oakfork.control.follower_registry import FollowerRegistry
from oakfork.control.follower_session import FollowerSession, SessionState
from oakfork.control.history import History
from oakfork.control.messages import (
    HEARTBEAT_INTERVAL,
    MAX_PATH_NAMES,
    VERSION,
    Ack,
    Goodbye,
    Heartbeat,
    Hello,
    HistoryReply,
    HistoryRequest,
    Message,
    Position,
    RangeRequest,
    Report,
    Welcome,
    pack,
)
from oakfork.control.state import Store, total_digest
from oakfork.control.state_sender import StateSender

# Concurrent links: all 2,700 gateways at one relay, and about half as many again whose loss isn't noticed yet.
MAX_LINKS = 4_096
HELLO_TIMEOUT = 10_000  # milliseconds
ANSWER_TIMEOUT = 30_000  # milliseconds for the answer to a frame; a process that was paused for 20 s keeps its link
EGRESS = 4_000_000  # bytes per second of ranges over all links; docs/control.md has the resulting times
MAX_RANGE_LINKS = 4  # links that are sent ranges in rotation; the others wait, so that those who began also finish
HISTORY_TIMEOUT = 2 * HEARTBEAT_INTERVAL  # milliseconds that followers wait for requested history before getting ranges


class FollowerServer(StateSender):
    """Serves the state in `store`, at `position`; `in_force` must be called after each commit to the store.

    `age` returns the milliseconds since the publisher was last heard of, None if never. `upstream_path` names the
    process that this one follows, the upstream of that process, and so on. The driver reports incoming links only.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        position: Position,
        age: Callable[[int], int | None],
        history: History | None = None,
        egress: int = EGRESS,
        max_range_links: int = MAX_RANGE_LINKS,
        max_links: int = MAX_LINKS,
        upstream_path: Callable[[], tuple[str, ...]] = tuple,
    ) -> None:
        super().__init__(store, position, history, egress, max_range_links)
        self.name = name
        self.age = age
        self.upstream_path = upstream_path
        self.max_links = max_links
        self.registry = FollowerRegistry()
        self.heartbeat_at: int | None = None  # the next one; None while there are no links
        self.last_heartbeat_at = 0
        self.last_path: tuple[str, ...] = ()  # in the last heartbeat to all
        self.higher_term = 0  # the highest term above its own that is known
        self.outdated = False  # a publisher of a higher term is known, or may be: serves no followers
        self.refusal = "older term"  # the reason that followers get then
        self.shutting_down = False  # accepts no more links
        self.step_scheduled = False
        self.timer: int | None = None

    # Events

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handles an event of an incoming link, a timer, a step or the shutdown."""
        self._begin(now)
        if isinstance(event, TimerFired):
            self.timer = None
        match event:
            case Connected(link):
                self._connected(link)
            case Disconnected(link):
                self._forget(link)
            case FrameReceived(link, message) if link in self.sessions:
                self._received(link, self.sessions[link], message)
            case Step():
                self.step_scheduled = False
                if not self.ranges.ready:
                    self.ranges.work()
            case ShuttingDown():
                self.shutting_down = True
                for link in list(self.sessions):
                    self._end_link(link, "leaving", "leaving")
        return self._finished()

    def in_force(self, now: int, change: InForce) -> list[Command]:
        """A new position is in force; the store has it already."""
        self._begin(now)
        self.position = change.position
        self.history.add(change.before, change.position, change.changes, total_digest(self.store.sums))
        self.ranges.changed(change.changes)
        self.registry.in_force(now, change.position)
        self.encoded_digests = None
        self.deltas.clear()
        self._serve_up_to_date()
        return self._finished()

    def outdate(self, now: int) -> list[Command]:
        """Called when a publisher of a higher term is known: disconnects all followers and rejects new ones."""
        self._begin(now)
        self.outdated = True
        for link, session in list(self.sessions.items()):
            if session.name:
                self._end_link(link, "older term", "older term")
        return self._finished()

    def forward_heartbeat(self, now: int) -> list[Command]:
        """Sends heartbeats because a relay has received one.

        Waiting for its own interval instead would make the age known downstream grow with each relay in between.
        Heartbeats are forwarded at most twice per interval unless the path has changed, by which relays that follow one
        another in a cycle notice it. Its own next heartbeat is put off, for the case that no more are received.
        """
        self._begin(now)
        if self.heartbeat_at is not None:
            due = now >= self.last_heartbeat_at + HEARTBEAT_INTERVAL // 2
            if due or self.last_path != self._path():
                self.heartbeat_at = now
                self._send_heartbeats()
        if self.heartbeat_at is not None:
            self.heartbeat_at = now + HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL // 2
        return self._finished()

    def close_link(self, now: int, link: int, reason: str) -> list[Command]:
        """Closes a link without a Goodbye."""
        self._begin(now)
        if link in self.sessions:
            self._end_link(link, reason)
        return self._finished()

    def restart_timeout(self, now: int, link: int) -> None:
        """A link that is not a follower's (an operator's) is in use: its timeout starts again."""
        self.sessions[link].state_since = now

    def history_requested(self, now: int) -> None:
        """A relay has requested the changes that led to its state: until they come, followers that are a little behind
        wait, since ranges would cost a hundred times as much."""
        self.history_awaited_until = now + HISTORY_TIMEOUT

    def history_received(self, now: int, more_expected: bool) -> list[Command]:
        """The history may reach further back now; `more_expected`: another reply is to come."""
        self._begin(now)
        self.history_awaited_until = now + HISTORY_TIMEOUT if more_expected else 0
        self._serve_up_to_date()
        return self._finished()

    def _begin(self, now: int) -> None:
        self.now = now
        self.commands = []

    def _finished(self) -> list[Command]:
        """Sends what is due, and requests the next timer and step."""
        self._send_heartbeats()
        self._send_due_ranges()
        due_times = (self.heartbeat_at, self.pacer.due if self.ranges.ready else None)
        timer = min((at for at in due_times if at is not None), default=None)
        if timer not in (None, self.timer):
            self.commands.append(SetTimer(timer))
        self.timer = timer
        if not self.ranges.ready and not self.step_scheduled:
            self.step_scheduled = True
            self.commands.append(ScheduleStep())
        return self.commands

    # Links

    def _connected(self, link: int) -> None:
        if self.shutting_down or len(self.sessions) >= self.max_links:
            reason = "leaving" if self.shutting_down else "full"
            self._send(link, Goodbye(reason, self.position))
            self.commands += [Close(link, reason), CountEvent(reason, str(link))]
            return
        self.sessions[link] = FollowerSession(self.now)
        if self.heartbeat_at is None:
            self.heartbeat_at = self.now + HEARTBEAT_INTERVAL

    def _forget(self, link: int) -> None:
        session = self.sessions.pop(link, None)
        if session is None:
            return
        self._release_delta(session)
        self.pacer.remove(link)
        if link in self.blocked:
            self.blocked.remove(link)
        self.registry.disconnected(self.now, link)
        if not self.sessions:
            self.heartbeat_at = None

    def _end_link(self, link: int, reason: str, goodbye: str = "") -> None:
        """Closes a link, after a Goodbye if a reason for it is given."""
        if goodbye:
            self._send(link, Goodbye(goodbye, self.position))
        self.commands += [Close(link, reason), CountEvent(reason, self.sessions[link].name or str(link))]
        self._forget(link)

    # Heartbeats

    def _send_heartbeats(self) -> None:
        """Sends heartbeats to all followers if they are due, and closes links whose timeout is over."""
        if self.heartbeat_at is None or self.now < self.heartbeat_at:
            return
        if 0 < self.history_awaited_until <= self.now:
            self.history_awaited_until = 0
            self._serve_up_to_date()
        frames = {relay: pack(self._heartbeat(relay)) for relay in (False, True)}
        self.last_heartbeat_at = self.now
        self.last_path = self._path()
        for link, session in list(self.sessions.items()):
            if self._check_timeouts(link, session):
                self.commands.append(SendFrame(link, frames[session.relay]))
        if self.sessions:
            self.heartbeat_at = self.now + HEARTBEAT_INTERVAL

    def _check_timeouts(self, link: int, session: FollowerSession) -> bool:
        """Closes a link whose timeout is over; returns whether it is a follower's and stays open."""
        elapsed = self.now - session.state_since
        if session.state is SessionState.AWAITING_HELLO:
            if elapsed >= HELLO_TIMEOUT:
                self._end_link(link, "no hello")
            return False
        awaiting_answer = session.state in (SessionState.AWAITING_ACK, SessionState.AWAITING_RANGE_REQUEST)
        if awaiting_answer and elapsed >= ANSWER_TIMEOUT:
            self._end_link(link, "slow")
            return False
        if session.state is SessionState.AWAITING_ACK and elapsed >= HEARTBEAT_INTERVAL:
            self.pacer.remove(link)  # others take its turn; its Ack queues it again
        return True

    def _heartbeat(self, relay: bool) -> Heartbeat:
        """A heartbeat for a relay or a gateway; only relays need the path, since no one follows a gateway."""
        age = self.age(self.now)
        return Heartbeat(self.position, AGE_UNKNOWN if age is None else age, self._path() if relay else ())

    def _path(self) -> tuple[str, ...]:
        return (self.name, *self.upstream_path())[:MAX_PATH_NAMES]

    # Messages

    def _received(self, link: int, session: FollowerSession, message: Message | None) -> None:
        match message:
            case None:
                self._end_link(link, "malformed", "malformed")
            case Hello() if session.state is SessionState.AWAITING_HELLO:
                self._hello(link, session, message)
            case Ack(position, digest) if session.state in (SessionState.UP_TO_DATE, SessionState.AWAITING_ACK):
                self._acked(link, session, position, digest)
            case RangeRequest(ranges) if session.state is SessionState.AWAITING_RANGE_REQUEST:
                session.wanted_ranges = sorted(set(ranges), reverse=True)
                self._queue_range(link, session)
            case HistoryRequest(before) if session.relay:
                self._send(link, HistoryReply(before, self.history.steps_before(before)))
            case Report() if session.relay:
                self.registry.reported(self.now, link, message)
            case _:
                self._end_link(link, "out of turn", "malformed")

    def _hello(self, link: int, session: FollowerSession, hello: Hello) -> None:
        if hello.version != VERSION:
            self._end_link(link, "version", "version")
            return
        session.name = hello.name
        session.relay = hello.relay
        session.position = hello.position
        session.digest = hello.digest
        if self._refuse_newer_term(link, session):
            return
        self.registry.connected(self.now, link, hello.name, hello.relay, hello.position)
        self._send(link, Welcome(VERSION, self.name, self.position))
        self._send(link, self._heartbeat(hello.relay))
        self._serve(link, session)

    def _refuse_newer_term(self, link: int, session: FollowerSession) -> bool:
        """Ends the link of a follower whose state is of a later publisher; returns whether it did.

        A server that has no state yet can't tell, and refuses no one.
        """
        if not self.outdated and not 0 < self.position.term < session.position.term:
            return False
        if session.position.term > self.position.term:
            self.higher_term = max(self.higher_term, session.position.term)
        self._end_link(link, self.refusal, self.refusal)
        return True

    def _acked(self, link: int, session: FollowerSession, position: Position, digest: int) -> None:
        continues = session.state is SessionState.AWAITING_ACK and position == session.position
        session.position = position
        session.digest = digest
        if self._refuse_newer_term(link, session):
            return
        self.registry.acked(link, position)
        if continues and session.delta is not None:
            self._send_next_delta_frame(link, session)
        elif continues and session.base is not None:
            self._queue_range(link, session)
        else:
            self._release_delta(session)
            session.base = None
            session.wanted_ranges = []
            session.range_frames = []
            self.pacer.remove(link)
            self._serve(link, session)
