"""Serves those who follow from here: publishers and relays alike. Pure: events in, commands out.

Each link takes its turn: who follows says what it has (`Hello`, `Ack`) or wants (`Want`), gets one frame, and speaks
again. So a slow one has one frame outstanding and holds nobody back; what changes meanwhile comes to it merged. From a
position in the history it gets a Delta; otherwise, and where its digest differs, the digests by range, the ranges that
it asks for, and a Delta of what changed since. Ranges are paced: so many bytes a second over all links.
"""

from collections import deque
from typing import Callable

from oakfork.control.encoded_frames import EncodedChange, EncodedRanges
from oakfork.control.events import (
    UNKNOWN,
    Close,
    Command,
    Connected,
    Event,
    Heard,
    InForce,
    Left,
    Lost,
    More,
    Note,
    Say,
    Step,
    TimeCame,
    Wake,
)
from oakfork.control.follower_registry import FollowerRegistry
from oakfork.control.follower_session import FollowerSession, SessionState
from oakfork.control.framing import framed
from oakfork.control.history import History
from oakfork.control.messages import (
    BEAT,
    EMPTY,
    MOST_WAY,
    VERSION,
    Ack,
    Beat,
    Digests,
    Goodbye,
    Hello,
    Message,
    Past,
    Position,
    Recall,
    Report,
    Want,
    Welcome,
    pack,
)
from oakfork.control.pacing import RangePacer
from oakfork.control.state import Store, total_digest

LINKS = 4_096  # at once: all 2,700 gateways at one relay, and as many again that aren't noticed to be gone
NAMELESS = 10_000  # milliseconds for a Hello
SLOW = 30_000  # for the answer to a frame; one that stood still for 20 s keeps its place
EGRESS = 4_000_000  # bytes a second of ranges, over all links; docs/control.md has what that comes to
MENDS = 4  # links that get ranges by turns; the others wait, so that those who began also end
RECALLING = 2 * BEAT  # milliseconds in which who waits for what is recalled gets no ranges
DELTAS = 16  # of several frames each, half sent; and encoded ones for the position in force


class FollowerServer:
    """`store` holds the state of `position`, and is told of here by `in_force` when it goes on. `age`: how long the
    publisher hasn't been heard of, None: never. `way`: whom this one follows, and so on. Who drives it tells only of
    links that come in."""

    def __init__(
        self,
        who: str,
        store: Store,
        position: Position,
        age: Callable[[int], int | None],
        history: History | None = None,
        egress: int = EGRESS,
        mends: int = MENDS,
        most: int = LINKS,
        way: Callable[[], tuple[str, ...]] = tuple,
    ) -> None:
        self.who, self.store, self.position, self.age, self.way = who, store, position, age, way
        self.history = history or History(position, total_digest(store.sums))
        self.most, self.pace = most, RangePacer(egress, mends)
        self.registry, self.ranges = FollowerRegistry(), EncodedRanges(store)
        self.links: dict[int, FollowerSession] = {}
        self.deltas: dict[Position, EncodedChange] = {}  # by `after`; emptied with each position
        self.held: set[int] = set()  # ids of those that are half sent somewhere, DELTAS at most
        self.blocked: deque[int] = deque()  # links that wait for one of them to be sent
        self.digests: bytes | None = None  # encoded, of the position
        self.beat_at: int | None = None  # the next one; None: nobody is there
        self.beaten_at, self.told_way = 0, ()  # of the last Beat to all
        self.recalled_by = 0  # until then the history may come to reach further back
        self.higher = 0  # the highest term above its own that was heard of
        self.outdated = self.left = False  # serves no one any more; opens nothing more
        self.now, self.commands, self.asked, self.wake = 0, [], False, None

    # What happens

    def handle(self, now: int, event: Event) -> list[Command]:
        self.now, self.commands = now, []
        if isinstance(event, TimeCame):
            self.wake = None
        match event:
            case Connected(link):
                self._connected(link)
            case Lost(link):
                self._forget(link)
            case Heard(link, message) if link in self.links:
                self._heard(link, self.links[link], message)
            case Step():
                self.asked = False
                if not self.ranges.ready:
                    self.ranges.work()
            case Left():
                self.left = True
                for number in list(self.links):
                    self._end(number, "leaving", "leaving")
        return self._finished()

    def in_force(self, now: int, told: InForce) -> list[Command]:
        """The state has gone on (the store has it already)."""
        self.now, self.commands = now, []
        self.position = told.position
        self.history.add(told.before, told.position, told.changes, total_digest(self.store.sums))
        self.ranges.changed(told.changes)
        self.registry.in_force(now, told.position)
        self.digests = None
        self.deltas.clear()
        self._serve_waiting()
        return self._finished()

    def outdate(self, now: int) -> list[Command]:
        """A publisher of a higher term is known: those who follow are told to turn to others, those who come also."""
        self.now, self.commands, self.outdated = now, [], True
        for number, link in list(self.links.items()):
            if link.who:
                self._end(number, "older term", "older term")
        return self._finished()

    def pass_on(self, now: int) -> list[Command]:
        """A relay has heard a Beat: so have those below, at once and not when its own time comes, or what they know of
        the age would grow with each relay between. At most every half of a beat, but for another way, by which relays
        that follow one another round notice it; its own time is put off, for where none comes any more."""
        self.now, self.commands = now, []
        if self.beat_at is not None and (now >= self.beaten_at + BEAT // 2 or self.told_way != self._way()):
            self.beat_at = now
            self._beat()
        if self.beat_at is not None:
            self.beat_at = now + BEAT + BEAT // 2
        return self._finished()

    def dismiss(self, now: int, number: int, reason: str) -> list[Command]:
        """Ends a link, without a word."""
        self.now, self.commands = now, []
        if number in self.links:
            self._end(number, reason)
        return self._finished()

    def awaited(self, now: int, number: int) -> None:
        """On a link that isn't a follower's something goes on: its time counts from now."""
        self.links[number].since = now

    def recalls(self, now: int) -> None:
        """A relay asks for what led to its state: who is a little behind needs no ranges then, a hundred times that."""
        self.recalled_by = now + RECALLING

    def recalled(self, now: int, recalling: bool) -> list[Command]:
        """The history may reach further back; `recalling`: more is to come."""
        self.now, self.commands = now, []
        self.recalled_by = now + RECALLING if recalling else 0
        self._serve_waiting()
        return self._finished()

    def _serve_waiting(self) -> None:
        for number, link in list(self.links.items()):
            if link.turn is SessionState.OURS:
                self._serve(number, link)

    def _finished(self) -> list[Command]:
        self._beat()
        self._pump()
        due = [self.beat_at, self.pace.due if self.ranges.ready else None]
        wake = min((at for at in due if at is not None), default=None)
        if wake not in (None, self.wake):
            self.commands.append(Wake(wake))
        self.wake = wake
        if not self.ranges.ready and not self.asked:
            self.asked = True
            self.commands.append(More())
        return self.commands

    # Links

    def _connected(self, number: int) -> None:
        if self.left or len(self.links) >= self.most:
            reason = "leaving" if self.left else "full"
            self._say(number, Goodbye(reason, self.position))
            self.commands += [Close(number, reason), Note(reason, str(number))]
            return
        self.links[number] = FollowerSession(self.now)
        if self.beat_at is None:
            self.beat_at = self.now + BEAT

    def _forget(self, number: int) -> None:
        if (link := self.links.pop(number, None)) is None:
            return
        self._release(link)
        self.pace.drop(number)
        if number in self.blocked:
            self.blocked.remove(number)
        self.registry.lost(self.now, number)
        if not self.links:
            self.beat_at = None

    def _end(self, number: int, reason: str, told: str = "") -> None:
        """Closes it, and says why where that is of use."""
        if told:
            self._say(number, Goodbye(told, self.position))
        self.commands += [Close(number, reason), Note(reason, self.links[number].who or str(number))]
        self._forget(number)

    def _say(self, number: int, message: Message) -> None:
        self.commands.append(Say(number, pack(message)))

    def _turn(self, link: FollowerSession, turn: SessionState) -> None:
        link.turn, link.since = turn, self.now

    def _beat(self) -> None:
        """When it is time, to all alike; and those who had theirs are closed."""
        if self.beat_at is None or self.now < self.beat_at:
            return
        if 0 < self.recalled_by <= self.now:
            self.recalled_by = 0
            self._serve_waiting()
        frames, self.beaten_at, self.told_way = [*map(pack, map(self._told_beat, (False, True)))], self.now, self._way()
        for number, link in list(self.links.items()):
            lasted = self.now - link.since
            if link.turn is SessionState.NAMELESS:
                if lasted >= NAMELESS:
                    self._end(number, "no hello")
                continue
            if link.turn in (SessionState.THEIRS, SessionState.WANTS) and lasted >= SLOW:
                self._end(number, "slow")
                continue
            if link.turn is SessionState.THEIRS and lasted >= BEAT:
                self.pace.drop(number)  # so that it holds nobody back; it gets in line again by its Ack
            self.commands.append(Say(number, frames[link.relay]))
        if self.links:
            self.beat_at = self.now + BEAT

    def _told_beat(self, relay: bool) -> Beat:
        """The way is for relays: no one follows a gateway."""
        age = self.age(self.now)
        return Beat(self.position, UNKNOWN if age is None else age, self._way() if relay else ())

    def _way(self) -> tuple[str, ...]:
        return (self.who, *self.way())[:MOST_WAY]

    # What is heard

    def _heard(self, number: int, link: FollowerSession, message: Message | None) -> None:
        match message:
            case None:
                self._end(number, "malformed", "malformed")
            case Hello() if link.turn is SessionState.NAMELESS:
                self._hello(number, link, message)
            case Ack(position, digest) if link.turn in (SessionState.OURS, SessionState.THEIRS):
                self._acked(number, link, position, digest)
            case Want(ranges) if link.turn is SessionState.WANTS:
                link.ranges = sorted(set(ranges), reverse=True)
                self._queue(number, link)
            case Recall(before) if link.relay:
                self._say(number, Past(before, self.history.past(before)))
            case Report() if link.relay:
                self.registry.reported(self.now, number, message)
            case _:
                self._end(number, "out of turn", "malformed")

    def _hello(self, number: int, link: FollowerSession, told: Hello) -> None:
        if told.version != VERSION:
            return self._end(number, "version", "version")
        link.who, link.relay, link.position, link.digest = told.who, told.relay, told.position, told.digest
        if self._outdated(number, link):
            return
        self.registry.came(self.now, number, told.who, told.relay, told.position)
        self._say(number, Welcome(VERSION, self.who, self.position))
        self._say(number, self._told_beat(told.relay))
        self._serve(number, link)

    def _outdated(self, number: int, link: FollowerSession) -> bool:
        """Whether it has what a later publisher said. (One that has nothing itself yet can't judge.)"""
        if not self.outdated and not 0 < self.position.term < link.position.term:
            return False
        if link.position.term > self.position.term:
            self.higher = max(self.higher, link.position.term)
        self._end(number, "older term", "older term")
        return True

    def _acked(self, number: int, link: FollowerSession, position: Position, digest: int) -> None:
        going_on = link.turn is SessionState.THEIRS and position == link.position
        link.position, link.digest = position, digest
        if self._outdated(number, link):
            return
        self.registry.acked(number, position)
        if going_on and link.delta is not None:
            self._next(number, link)
        elif going_on and link.base is not None:
            self._queue(number, link)
        else:
            self._release(link)
            link.base, link.ranges, link.frames = None, [], []
            self.pace.drop(number)
            self._serve(number, link)

    # What is sent

    def _serve(self, number: int, link: FollowerSession) -> None:
        """By what it said last."""
        history, at = self.history, link.position
        if at > self.position or at == self.position and link.digest == history.digest(at):
            self._turn(link, SessionState.OURS)  # or it is ahead: in time it turns to another
        elif history.knows(at) and history.digest(at) in (None, link.digest):
            self._begin(number, link, at)
        elif history.passed(at) and link.passed_over != at:
            link.passed_over = at  # again there: it failed. Guards against ranges for all who move in a burst
            self._begin(number, link, at)
        elif self.now < self.recalled_by and at > EMPTY and not history.knows(at):
            self._turn(link, SessionState.OURS)  # until that has come, or the time is over
        else:
            self._tell_digests(number, link)

    def _tell_digests(self, number: int, link: FollowerSession) -> None:
        if self.digests is None:
            self.digests = pack(Digests(self.position, tuple(self.store.sums)))
        link.base = self.position
        self.commands.append(Say(number, self.digests))
        self._turn(link, SessionState.WANTS)

    def _begin(self, number: int, link: FollowerSession, after: Position) -> None:
        """A Delta from there on; to be told from the history. It waits where too many are half sent."""
        delta = self.deltas.get(after)
        if delta is None:
            changes = self.history.merged(after)
            delta = EncodedChange(after, self.position, self.history.digest(self.position), changes)
            if len(self.deltas) < DELTAS:
                self.deltas[after] = delta
        if delta.long and id(delta) not in self.held and len(self.held) >= DELTAS:
            self._turn(link, SessionState.QUEUED)
            self.blocked.append(number)
            return
        link.base = None
        if delta.long:
            self.held.add(id(delta))
            delta.users += 1
            link.delta, link.sent = delta, 0
            self._next(number, link)
        else:
            self.commands.append(Say(number, delta.frame(0)))
            self._turn(link, SessionState.THEIRS)

    def _next(self, number: int, link: FollowerSession) -> None:
        """Frame of a Delta."""
        delta = link.delta
        self.commands.append(Say(number, delta.frame(link.sent)))
        self._turn(link, SessionState.THEIRS)
        if delta.last(link.sent):
            self._release(link)
        link.sent += 1

    def _release(self, link: FollowerSession) -> None:
        """The Delta that it was sent is sent, or given up; who waited for that goes on."""
        delta, link.delta = link.delta, None
        if delta is None:
            return
        delta.users -= 1
        if not delta.users:
            self.held.discard(id(delta))
            waited, self.blocked = self.blocked, deque()
            for number in waited:
                other = self.links[number]
                self._after_ranges(number, other) if other.base is not None else self._serve(number, other)

    # Ranges

    def _queue(self, number: int, link: FollowerSession) -> None:
        """It wants ranges, and gets them when its turn comes; after the last one, what changed since."""
        if link.ranges or link.frames:
            self._turn(link, SessionState.QUEUED)
            self.pace.ask(number)
        else:
            self.pace.drop(number)
            self._after_ranges(number, link)

    def _after_ranges(self, number: int, link: FollowerSession) -> None:
        if self.history.knows(link.base):
            self._begin(number, link, link.base)
        else:  # too much changed meanwhile: what differs now
            self._tell_digests(number, link)

    def _pump(self) -> None:
        """Sends ranges as the pace allows; none while one's keys aren't up to date."""
        while self.ranges.ready and (number := self.pace.next(self.now)) is not None:
            link = self.links[number]
            if not link.frames:
                link.frames = self.ranges.frames(link.ranges.pop())[::-1]
            frame = link.frames.pop()
            self.commands.append(Say(number, frame))
            self._turn(link, SessionState.THEIRS)
            self.pace.sent(self.now, len(framed(frame)))
