"""Follows a publisher or relay, one at a time, and puts in force here what it sends. No I/O: events in, commands out.

The state in force changes only from one complete position to another, never to a lower (term, number), and only if the
digest of the result is the one announced. While no relay can be followed, the state stays as it is, and `age` tells how
old it is.

The follower sends one request at a time and waits for the answer (`Hello`, `Ack`, `RangeRequest`), so at most one frame
of the state is under way to it. Work on frames is sliced (`ScheduleStep`, `Step`). Start it with a `TimerFired`.
"""

from enum import Enum
from typing import Generator, Sequence

from oakfork.control import events
from oakfork.control.freshness import Freshness
from oakfork.control.messages import (
    EMPTY,
    HEARTBEAT_INTERVAL,
    VERSION,
    Ack,
    Delta,
    Digests,
    Goodbye,
    Heartbeat,
    Hello,
    Message,
    Position,
    Range,
    RangeRequest,
    Welcome,
    pack,
)
from oakfork.control.relay_selection import STALE_AGE, RelaySelection
from oakfork.control.staging import SLICE, Staged
from oakfork.control.state import Store, total_digest
from oakfork.control.transfer import Transfer

# Durations in milliseconds
CONNECT_TIMEOUT = 5_000  # covers two lost packets of the TCP handshake
SILENCE_TIMEOUT = 3 * HEARTBEAT_INTERVAL  # without any frame
PROGRESS_TIMEOUT = 10_000  # at another position than upstream and nothing received; five heartbeats announce it
RANGE_TIMEOUT = 600_000  # the same while ranges are awaited: followers wait for their turn
MAX_DIGEST_FAILURES = 2  # in a row at one relay


class Phase(Enum):
    """The phase of the connection; the values appear in a relay's status."""

    PAUSING = "pausing"  # until `phase_at`
    CONNECTING = "connecting"  # since `phase_at`
    GREETING = "greeting"  # Hello is sent, Welcome awaited
    FOLLOWING = "following"
    LEFT = "left"


class Follower:
    """Follows one of `relays`, at least one HOST:PORT; the first one is preferred.

    `relay`: whether this process serves followers itself. `store` holds the state of `position`, and no one else
    commits to it. `seed` determines the random part of its pauses. Times are in milliseconds of the clock of `handle`.
    """

    def __init__(
        self,
        name: str,
        relays: Sequence[str],
        store: Store,
        position: Position = EMPTY,
        seed: int = 1,
        relay: bool = False,
    ) -> None:
        self.name = name
        self.selection = RelaySelection(relays, seed)
        self.store = store
        self.position = position
        self.relay = relay
        self.now = 0
        self.commands: list[events.Command] = []
        self.phase = Phase.PAUSING
        self.phase_at = 0
        self.link = 0  # the number of the last link; 0: none yet
        self.last_frame_at = 0
        self.welcomed_at = 0
        self.progress_at = 0
        self.position_changed_at = 0
        self.freshness = Freshness(position)
        self.path: tuple[str, ...] = ()  # of the last heartbeat: the upstream, its own upstream, and so on
        self.digest_failures = 0
        self.distrusts_digest = False
        self._discard_transfer()
        self.compacting = True
        self.step_scheduled = False
        self.timer: int | None = None

    def _discard_transfer(self) -> None:
        self.transfer = Transfer()
        self.work: Generator[None, None, None] | None = None  # on the last frame

    def age(self, now: int) -> int | None:
        """As Freshness.age."""
        return self.freshness.age(now)

    @property
    def digest(self) -> int:
        """The digest of the state in force."""
        return total_digest(self.store.sums)

    @property
    def following(self) -> bool:
        """Whether a relay has welcomed this follower."""
        return self.phase is Phase.FOLLOWING

    def handle(self, now: int, event: events.Event) -> list[events.Command]:
        """Handles an event of its link, a timer, a step or the shutdown; ignores events of other links."""
        self._begin(now)
        if self.phase is Phase.LEFT:
            return self.commands
        if isinstance(event, events.TimerFired):
            self.timer = None
        match event:
            case events.Step():
                self.step_scheduled = False
                self._do_work()
            case events.Connected(link) if link == self.link and self.phase is Phase.CONNECTING:
                self.phase = Phase.GREETING
                self.last_frame_at = now
                self._send(Hello(VERSION, self.name, self.relay, self.position, self._reported_digest()))
            case events.Disconnected(link) if link == self.link and self.phase is not Phase.PAUSING:
                self._switch_relay("lost", closed=True)
            case events.FrameReceived(link, message) if link == self.link and self._is_welcome_or_later():
                self.last_frame_at = now
                self._received(message)
            case events.ShuttingDown():
                if self.phase is not Phase.PAUSING:
                    self.commands.append(events.Close(self.link, "left"))
                self._discard_transfer()
                self.phase = Phase.LEFT
                return self.commands
        return self._finished()

    def _begin(self, now: int) -> None:
        self.now = now
        self.commands = []

    def _is_welcome_or_later(self) -> bool:
        return self.phase in (Phase.GREETING, Phase.FOLLOWING)

    def switch_relay(self, now: int, reason: str) -> list[events.Command]:
        """Leaves the relay followed for the next one."""
        self._begin(now)
        if self._is_welcome_or_later():
            self._switch_relay(reason)
        return self._finished()

    def send(self, message: Message) -> events.SendFrame:
        """A command that sends a message upstream, for a relay's reports and history requests."""
        return events.SendFrame(self.link, pack(message))

    def _finished(self) -> list[events.Command]:
        """Does what is due, and requests the next timer and step."""
        due_at, reason = self._due()
        while due_at <= self.now:
            if self.phase is Phase.PAUSING:
                self._connect()
            else:
                self._switch_relay(reason)
            due_at, reason = self._due()
        if due_at != self.timer:
            self.timer = due_at
            self.commands.append(events.SetTimer(due_at))
        if (self.compacting or self.work is not None) and not self.step_scheduled:
            self.step_scheduled = True
            self.commands.append(events.ScheduleStep())
        return self.commands

    def _due(self) -> tuple[int, str]:
        """When the current phase times out, and the reason for switching relays then."""
        if self.phase is Phase.PAUSING:
            return self.phase_at, ""
        if self.phase is Phase.CONNECTING:
            return self.phase_at + CONNECT_TIMEOUT, "no connection"
        timeouts = [(self.last_frame_at + SILENCE_TIMEOUT, "silent")]
        if self.phase is Phase.FOLLOWING:
            timeouts += self._following_timeouts()
        return min(timeouts)

    def _following_timeouts(self) -> list[tuple[int, str]]:
        timeouts = []
        if self.transfer.staged is not None or self.freshness.upstream_position != self.position:
            timeout = RANGE_TIMEOUT if self.transfer.base is not None else PROGRESS_TIMEOUT
            timeouts.append((self.progress_at + timeout, "no progress"))
        if self.transfer.staged is None and self.selection.index:
            timeouts.append((self.selection.preferred_at, "home"))
        if self.transfer.staged is None and len(self.selection.relays) > 1:
            # Progress counts as well, to avoid leaving a relay that keeps sending: in a burst no one is up to date for
            # a while.
            stale_at = self.welcomed_at
            if self.freshness.fresh_at is not None:
                stale_at = max(self.freshness.fresh_at, self.position_changed_at) + STALE_AGE
            timeouts.append((max(stale_at, self.selection.stale_at), "stale"))
        return timeouts

    # Connections

    def _connect(self) -> None:
        self.link -= 1
        self.phase = Phase.CONNECTING
        self.phase_at = self.now
        self.commands.append(events.Connect(self.selection.current, self.link))

    def _switch_relay(self, reason: str, about: str = "", closed: bool = False) -> None:
        """Leaves the current relay for another one, see RelaySelection.switch."""
        if not closed:
            self.commands.append(events.Close(self.link, reason))
        self.commands.append(events.CountEvent(reason, about or self.selection.current))
        self._discard_transfer()
        self.digest_failures = 0
        self.path = ()
        self.phase = Phase.PAUSING
        self.phase_at = self.selection.switch(self.now, reason)

    def _send(self, message: Message) -> None:
        self.commands.append(self.send(message))

    def _reported_digest(self) -> int:
        """The digest of the state; after a failure a wrong one, so that the upstream sends its own, range by range."""
        return self.digest ^ self.distrusts_digest

    def _ack(self) -> None:
        self._send(Ack(self.position, self._reported_digest()))

    # Messages

    def _received(self, message: Message | None) -> None:
        match message:
            case Welcome() if self.phase is Phase.GREETING:
                self._welcomed(message)
            case Goodbye(reason):
                self._switch_relay("goodbye", reason)
            case None:
                self._switch_relay("malformed")
            case _ if self.phase is Phase.GREETING:
                self._switch_relay("out of turn")
            case Heartbeat():
                self._heartbeat(message)
            case Delta() if self.work is None:
                self._delta(message)
            case Digests() if self.work is None:
                self._digests(message)
            case Range() if self.work is None:
                self._range(message)
            case _:  # includes frames that come during work on the previous one, which were not requested
                self._switch_relay("out of turn")

    def _welcomed(self, welcome: Welcome) -> None:
        if welcome.version != VERSION:
            self._switch_relay("version")
            return
        if self._is_older_term(welcome.position):
            self._switch_relay("older term")
            return
        self.phase = Phase.FOLLOWING
        self.freshness.welcomed(welcome.position)
        self.welcomed_at = self.now
        self.progress_at = self.now
        self.selection.welcomed(self.now)

    def _is_older_term(self, position: Position) -> bool:
        """Whether a position is of an older term; an upstream with no state yet, of term 0, is waited for instead."""
        return 0 < position.term < self.position.term

    def _heartbeat(self, heartbeat: Heartbeat) -> None:
        self.freshness.heartbeat(self.now, heartbeat)
        self.path = heartbeat.path
        trying_preferred = self.selection.heartbeat()
        if trying_preferred and heartbeat.age > 2 * HEARTBEAT_INTERVAL:
            self._switch_relay("home is behind")  # at once, to lose no time there
        elif self.name in heartbeat.path:
            # Relays that follow one another in a cycle receive nothing new, and the age that they report to one another
            # would reveal it only after STALE_AGE.
            self._switch_relay("circle")
        else:
            self._update_freshness()

    def _update_freshness(self) -> None:
        """Compares the upstream's position with the one in force here, and updates `age` and the waits."""
        freshness = self.freshness
        if self._is_older_term(freshness.upstream_position):
            self._switch_relay("older term")
            return
        if freshness.update(self.position) and self.now - freshness.fresh_at < STALE_AGE:
            self.selection.fresh()
        if freshness.upstream_position == self.position:
            if self.transfer.staged is None:
                self.progress_at = self.now
            if self.now - self.welcomed_at >= HEARTBEAT_INTERVAL:
                self.selection.up_to_date()

    # State

    def _delta(self, delta: Delta) -> None:
        """Stages a Delta that follows the state here, or the ranges received; any other one has no effect."""
        if not self.transfer.accepts_delta(delta, self.position):
            self.commands.append(events.CountEvent("stale", f"delta after {delta.after} to {delta.position}"))
            return
        self.transfer.begin_delta(self.store, delta)
        self.progress_at = self.now
        self.work = self._take_delta(delta)
        self._do_work()

    def _take_delta(self, delta: Delta) -> Generator[None, None, None]:
        staged = self.transfer.staged
        if not (yield from staged.take(delta.rows)):
            self._switch_relay("too much")
        elif delta.more:
            self._ack()
        elif not self._digest_matches(staged, delta.digest):
            self._digest_differs()
        else:
            changes = yield from staged.difference()
            self._commit(delta.position, changes, staged)

    def _digest_matches(self, staged: Staged, digest: int) -> bool:
        return total_digest(staged.sums) == digest

    def _digest_differs(self) -> None:
        """The Delta doesn't lead to the announced state: either it or the state in force here is damaged."""
        self.commands.append(events.CountEvent("digest differs", self.selection.current))
        self._discard_transfer()
        self.digest_failures += 1
        self.distrusts_digest = True
        if self.digest_failures >= MAX_DIGEST_FAILURES:
            self._switch_relay("digest differs")
        else:
            self._ack()

    def _commit(self, position: Position, changes: dict, staged: Staged) -> None:
        before = self.position
        self.position = position
        self.store.commit(changes, staged.sums)
        self._discard_transfer()
        self.compacting = True
        self.distrusts_digest = False
        self.digest_failures = 0
        self.selection.progressed()
        self.freshness.upstream_position = max(self.freshness.upstream_position, position)
        self.progress_at = self.now
        if before != position:
            self.position_changed_at = self.now
        if changes or before != position:
            self.commands.append(events.InForce(before, position, changes))
        self._update_freshness()
        self._ack()

    def _digests(self, digests: Digests) -> None:
        """The upstream doesn't know the changes between the positions, or the digests differ: requests the ranges that
        differ from what is staged so far."""
        if not self.transfer.accepts_digests(digests, self.position):
            self.commands.append(events.CountEvent("stale", f"digests of {digests.position}"))
            return
        self.progress_at = self.now
        self._send(RangeRequest(self.transfer.begin_ranges(self.store, digests)))

    def _range(self, message: Range) -> None:
        if not self.transfer.accepts_range(message):
            self.commands.append(events.CountEvent("stale", f"range {message.range}"))
            return
        self.progress_at = self.now
        self.work = self._take_range(message)
        self._do_work()

    def _take_range(self, message: Range) -> Generator[None, None, None]:
        staged = self.transfer.staged
        if not (yield from staged.take_range(message.range, message.rows, message.more)):
            self._switch_relay("malformed", f"range {message.range}")
            return
        self.transfer.range_received(message)
        self._ack()

    def _do_work(self) -> None:
        """Does one slice of work: on the last commit first, then on the last frame."""
        if self.compacting:
            self.compacting = self.store.compact(SLICE)
            return
        work = self.work
        if work is None:
            return
        for _ in work:
            return
        if self.work is work:  # it may have been discarded meanwhile
            self.work = None
