"""Brings followers to the position in force: by Deltas, or by digests, ranges and a Delta. No I/O.

A follower at a position that the history knows gets a Delta. Otherwise, or if its digest differs, it gets the digests
by range, the ranges that it requests, and a Delta of the changes since. Ranges are paced: a bounded number of bytes per
second over all links.
"""

from collections import deque

from oakfork.control.encoded_frames import EncodedChange, EncodedRanges
from oakfork.control.events import Command, SendFrame
from oakfork.control.follower_session import FollowerSession, SessionState
from oakfork.control.framing import framed
from oakfork.control.history import History
from oakfork.control.messages import EMPTY, Digests, Message, Position, pack
from oakfork.control.pacing import RangePacer
from oakfork.control.state import Store, total_digest

# Deltas of several frames that are partly sent to some follower, and encoded Deltas kept for the position in force.
MAX_LONG_DELTAS = 16


class StateSender:
    """Sends the state in `store`, at `position`, to the followers of `sessions`, one frame at a time.

    A base class: the subclass handles events, sets `now` and collects `commands`.
    """

    def __init__(
        self, store: Store, position: Position, history: History | None, egress: int, max_range_links: int
    ) -> None:
        self.store = store
        self.position = position
        self.history = history or History(position, total_digest(store.sums))
        self.pacer = RangePacer(egress, max_range_links)
        self.ranges = EncodedRanges(store)
        self.sessions: dict[int, FollowerSession] = {}  # by link
        self.deltas: dict[Position, EncodedChange] = {}  # by `after`; cleared with each new position
        self.partly_sent: set[int] = set()  # ids of long Deltas, MAX_LONG_DELTAS at most
        self.blocked: deque[int] = deque()  # links that wait until a long Delta is completely sent
        self.encoded_digests: bytes | None = None  # Digests of `position`
        self.history_awaited_until = 0  # milliseconds; until then the history may be extended further back
        self.now = 0
        self.commands: list[Command] = []

    def _send(self, link: int, message: Message) -> None:
        self.commands.append(SendFrame(link, pack(message)))

    def _set_state(self, session: FollowerSession, state: SessionState) -> None:
        session.state = state
        session.state_since = self.now

    def _serve_up_to_date(self) -> None:
        """Serves the followers that had nothing left to receive."""
        for link, session in list(self.sessions.items()):
            if session.state is SessionState.UP_TO_DATE:
                self._serve(link, session)

    def _serve(self, link: int, session: FollowerSession) -> None:
        """Chooses what to send from the position and digest that the follower last sent."""
        history = self.history
        position = session.position
        if position > self.position or (position == self.position and session.digest == history.digest(position)):
            # A follower that is ahead eventually switches to another server by itself.
            self._set_state(session, SessionState.UP_TO_DATE)
        elif history.knows(position) and history.digest(position) in (None, session.digest):
            self._send_delta(link, session, position)
        elif history.skipped(position) and session.skipped_position != position:
            # Avoids sending ranges to every follower that changes relays during a burst. A follower that reports the
            # same position again could not apply that Delta.
            session.skipped_position = position
            self._send_delta(link, session, position)
        elif self.now < self.history_awaited_until and position > EMPTY and not history.knows(position):
            self._set_state(session, SessionState.UP_TO_DATE)  # until the history is extended or the wait is over
        else:
            self._send_digests(link, session)

    def _send_digests(self, link: int, session: FollowerSession) -> None:
        if self.encoded_digests is None:
            self.encoded_digests = pack(Digests(self.position, tuple(self.store.sums)))
        session.base = self.position
        self.commands.append(SendFrame(link, self.encoded_digests))
        self._set_state(session, SessionState.AWAITING_RANGE_REQUEST)

    # Deltas

    def _send_delta(self, link: int, session: FollowerSession, after: Position) -> None:
        """Sends a Delta after a position for which the history has the changes; waits if too many are partly sent."""
        delta = self._delta_after(after)
        if delta.long and id(delta) not in self.partly_sent and len(self.partly_sent) >= MAX_LONG_DELTAS:
            self._set_state(session, SessionState.QUEUED)
            self.blocked.append(link)
            return
        session.base = None
        if delta.long:
            self.partly_sent.add(id(delta))
            delta.users += 1
            session.delta = delta
            session.frames_sent = 0
            self._send_next_delta_frame(link, session)
        else:
            self.commands.append(SendFrame(link, delta.frame(0)))
            self._set_state(session, SessionState.AWAITING_ACK)

    def _delta_after(self, after: Position) -> EncodedChange:
        delta = self.deltas.get(after)
        if delta is None:
            changes = self.history.merged(after)
            delta = EncodedChange(after, self.position, self.history.digest(self.position), changes)
            if len(self.deltas) < MAX_LONG_DELTAS:
                self.deltas[after] = delta
        return delta

    def _send_next_delta_frame(self, link: int, session: FollowerSession) -> None:
        delta = session.delta
        self.commands.append(SendFrame(link, delta.frame(session.frames_sent)))
        self._set_state(session, SessionState.AWAITING_ACK)
        if delta.last(session.frames_sent):
            self._release_delta(session)
        session.frames_sent += 1

    def _release_delta(self, session: FollowerSession) -> None:
        """The follower's long Delta, if any, is completely sent or abandoned; blocked links go on if no one uses it."""
        delta = session.delta
        session.delta = None
        if delta is None:
            return
        delta.users -= 1
        if delta.users:
            return
        self.partly_sent.discard(id(delta))
        unblocked = self.blocked
        self.blocked = deque()
        for link in unblocked:
            other = self.sessions[link]
            if other.base is not None:
                self._finish_ranges(link, other)
            else:
                self._serve(link, other)

    # Ranges

    def _queue_range(self, link: int, session: FollowerSession) -> None:
        """Queues the follower's next frame of a range; after the last one, sends what changed since."""
        if session.wanted_ranges or session.range_frames:
            self._set_state(session, SessionState.QUEUED)
            self.pacer.enqueue(link)
        else:
            self.pacer.remove(link)
            self._finish_ranges(link, session)

    def _finish_ranges(self, link: int, session: FollowerSession) -> None:
        if self.history.knows(session.base):
            self._send_delta(link, session, session.base)
        else:  # too much has changed in the meantime: start again with the ranges that differ now
            self._send_digests(link, session)

    def _send_due_ranges(self) -> None:
        """Sends frames of ranges as the pacer allows; none while the index of ranges isn't up to date."""
        while self.ranges.ready:
            link = self.pacer.next_link(self.now)
            if link is None:
                return
            session = self.sessions[link]
            if not session.range_frames:
                number = session.wanted_ranges.pop()
                session.range_frames = self.ranges.frames(number)[::-1]
            frame = session.range_frames.pop()
            self.commands.append(SendFrame(link, frame))
            self._set_state(session, SessionState.AWAITING_ACK)
            self.pacer.sent(self.now, len(framed(frame)))
