"""Follows a publisher or relay, one at a time, and brings what it says in force here. Pure: events in, commands out.

What is in force changes whole positions at a time, never backward in (term, number), and only where the digest of the
outcome is the one told. While no one can be followed, the state stays as it is, and `age` says how old it is.

It says one thing at a time and waits for the answer (`Hello`, `Ack`, `Want`), so at most one frame of the state is on
its way to it; work on it is sliced (`More`, `Step`). Begin by a `TimeCame`.
"""

from enum import Enum
from typing import Generator, Sequence

from oakfork.control.events import (
    UNKNOWN,
    Close,
    Command,
    Connect,
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
from oakfork.control.messages import (
    BEAT,
    EMPTY,
    RANGES,
    VERSION,
    Ack,
    Beat,
    Delta,
    Digests,
    Goodbye,
    Hello,
    Message,
    Position,
    Range,
    Want,
    Welcome,
    pack,
)
from oakfork.control.staging import SLICE, Staged
from oakfork.control.state import Store, total_digest

# Milliseconds
CONNECTING = 5_000  # for a connection to come about; two lost packets of its opening
SILENCE = 3 * BEAT  # without a word, and the connection is given up
STUCK = 10_000  # the sender has another position, and nothing comes of it: five beats told so
MENDING = 600_000  # as STUCK, while ranges are awaited: those who ask wait for their turn
STALE, STALEST = 10_000, 60_000  # the sender hasn't heard of the publisher: another is tried, then seldomer
PAUSE, LONGEST_PAUSE = 250, 4_000  # after all relays were tried in vain; doubles
HOME, LONGEST_HOME = 60_000, 960_000  # at another relay than the first, then that is tried; doubles while in vain
FAILURES = 2  # in a row at one relay where the digest differs


class Phase(Enum):
    PAUSING = "pausing"  # until `since`
    CONNECTING = "connecting"  # since `since`
    GREETING = "greeting"  # Hello is said, Welcome awaited
    FOLLOWING = "following"
    LEFT = "left"


class Follower:
    """`relays` are places to connect to, the first one first; at least one. `relay`: it serves others. `store` holds
    the state of `position`, and no one else commits to it. `seed`: of the chance in its pauses."""

    def __init__(
        self,
        who: str,
        relays: Sequence[str],
        store: Store,
        position: Position = EMPTY,
        seed: int = 1,
        relay: bool = False,
    ) -> None:
        self.who, self.relays, self.store, self.position, self.relay = who, relays, store, position, relay
        self.chance = seed & ((1 << 64) - 1)
        self.now, self.commands = 0, []
        self.phase, self.since = Phase.PAUSING, 0
        self.link, self.place = 0, 0  # the number of the last link (0: none yet); which of the relays
        self.turns = 0  # relays left in a row with nothing gained
        self.heard_at = self.greeted_at = self.progress_at = self.moved_at = 0  # moved: to another position
        self.told, self.told_at = position, None  # what the sender has, and when the publisher was heard of there
        self.way: tuple[str, ...] = ()  # whom it follows, and whom that one follows, and so on; of the last Beat
        self.publisher_at: int | None = None  # what is in force here was the publisher's then, or is younger
        self.stale_wait, self.stale_at = STALE, 0
        self.home_wait, self.home_at, self.homing = HOME, 0, False  # homing: the first one was left for, nothing heard
        self.failures, self.mistrust = 0, False
        self._clear()
        self.folding, self.asked, self.wake = True, False, None

    def _clear(self) -> None:
        """Throws away what is staged."""
        self.staged: Staged | None = None
        self.base: Position | None = None  # while mending: what Digests were of
        self.wanted: set[int] = set()  # ranges that haven't come whole yet
        self.coming: tuple | None = None  # the positions and digest of a Delta that goes on
        self.job: Generator[None, None, None] | None = None  # the work on the frame in hand

    def age(self, now: int) -> int | None:
        """Milliseconds since what is in force here was what the publisher had, for all that is known; None where
        nothing was ever heard of one."""
        return None if self.publisher_at is None else max(0, now - self.publisher_at)

    @property
    def digest(self) -> int:
        return total_digest(self.store.sums)

    @property
    def following(self) -> bool:
        return self.phase is Phase.FOLLOWING

    def handle(self, now: int, event: Event) -> list[Command]:
        self.now, self.commands = now, []
        if self.phase is Phase.LEFT:
            return self.commands
        if isinstance(event, TimeCame):
            self.wake = None
        match event:
            case Step():
                self.asked = False
                self._work()
            case Connected(link) if link == self.link and self.phase is Phase.CONNECTING:
                self.phase, self.heard_at = Phase.GREETING, now
                self._say(Hello(VERSION, self.who, self.relay, self.position, self._told_digest()))
            case Lost(link) if link == self.link and self.phase is not Phase.PAUSING:
                self._turn("lost", closed=True)
            case Heard(link, message) if link == self.link and self.phase in (Phase.GREETING, Phase.FOLLOWING):
                self.heard_at = now
                self._heard(message)
            case Left():
                if self.phase is not Phase.PAUSING:
                    self.commands.append(Close(self.link, "left"))
                self._clear()
                self.phase = Phase.LEFT
                return self.commands
        return self._finished()

    def turn(self, now: int, reason: str) -> list[Command]:
        """Leaves whom it follows for the next."""
        self.now, self.commands = now, []
        if self.phase in (Phase.GREETING, Phase.FOLLOWING):
            self._turn(reason)
        return self._finished()

    def say(self, message: Message) -> Say:
        """For a relay's reports: on the link in hand."""
        return Say(self.link, pack(message))

    def _finished(self) -> list[Command]:
        while (due := self._due())[0] <= self.now:
            if self.phase is Phase.PAUSING:
                self._connect()
            else:
                self._turn(due[1])
        if due[0] != self.wake:
            self.wake = due[0]
            self.commands.append(Wake(self.wake))
        if (self.folding or self.job is not None) and not self.asked:
            self.asked = True
            self.commands.append(More())
        return self.commands

    def _due(self) -> tuple[int, str]:
        """When the patience with what is going on ends, and what to call that."""
        if self.phase is Phase.PAUSING:
            return self.since, ""
        if self.phase is Phase.CONNECTING:
            return self.since + CONNECTING, "no connection"
        due = [(self.heard_at + SILENCE, "silent")]
        if self.phase is Phase.FOLLOWING:
            if self.staged is not None or self.told != self.position:
                due.append((self.progress_at + (MENDING if self.base is not None else STUCK), "no progress"))
            if self.staged is None and self.place:
                due.append((self.home_at, "home"))
            if self.staged is None and len(self.relays) > 1:
                # Guards against turning from a relay that goes on: in a burst no one is up to date for a while.
                stale = self.greeted_at if self.publisher_at is None else max(self.publisher_at, self.moved_at) + STALE
                due.append((max(stale, self.stale_at), "stale"))
        return min(due)

    def _connect(self) -> None:
        self.link -= 1
        self.phase, self.since = Phase.CONNECTING, self.now
        self.commands.append(Connect(self.relays[self.place], self.link))

    def _turn(self, reason: str, about: str = "", closed: bool = False) -> None:
        """The next relay, at once; after all of them, with a pause."""
        if not closed:
            self.commands.append(Close(self.link, reason))
        self.commands.append(Note(reason, about or self.relays[self.place]))
        if reason == "stale":
            self.stale_wait = min(2 * self.stale_wait, STALEST)
        self._clear()
        self.failures, self.way = 0, ()
        self.turns += 1
        self.place, self.homing = (self.place + 1) % len(self.relays), False
        if reason == "home":
            # Guards against detours that stay: after all relays were restarted in turn most gateways would follow the
            # few that came back last, and relays one another in a chain though the publisher is there again.
            self.place, self.homing, self.home_wait = 0, True, min(2 * self.home_wait, LONGEST_HOME)
        rounds, rest = divmod(self.turns, len(self.relays))
        self.phase, self.since = Phase.PAUSING, self.now
        if not rest:
            pause = min(PAUSE << min(rounds - 1, 16), LONGEST_PAUSE)
            self.since += pause // 2 + self._random(pause // 2)

    def _random(self, below: int) -> int:
        self.chance = (self.chance * 6364136223846793005 + 1442695040888963407) & ((1 << 64) - 1)
        return (self.chance >> 33) % below

    def _say(self, message: Message) -> None:
        self.commands.append(self.say(message))

    def _told_digest(self) -> int:
        """After a failure one that can't be right: so the sender tells its own, range by range."""
        return self.digest ^ self.mistrust

    def _ack(self) -> None:
        self._say(Ack(self.position, self._told_digest()))

    def _heard(self, message: Message | None) -> None:
        match message:
            case Welcome() if self.phase is Phase.GREETING:
                self._welcome(message)
            case Goodbye(reason):
                self._turn("goodbye", reason)
            case None:
                self._turn("malformed")
            case _ if self.phase is Phase.GREETING:
                self._turn("out of turn")
            case Beat(position, age, way):
                self.told, self.told_at, self.way = position, None if age == UNKNOWN else self.now - age, way
                homing, self.homing = self.homing, False
                if homing and age > 2 * BEAT:
                    return self._turn("home is behind")  # so that no time is lost there
                if self.who in way:
                    # Guards against relays that follow one another round: whatever is new comes to none of them, and
                    # what they tell of its age takes STALE to show it.
                    return self._turn("circle")
                self._fresh()
            case Delta() | Digests() | Range() if self.job is None:
                {Delta: self._delta, Digests: self._digests, Range: self._range}[type(message)](message)
            case _:  # also what comes while there is work on the frame before: it wasn't asked for
                self._turn("out of turn")

    def _welcome(self, told: Welcome) -> None:
        if told.version != VERSION:
            return self._turn("version")
        if self._older(told.position):
            return self._turn("older term")
        self.phase, self.told, self.told_at = Phase.FOLLOWING, told.position, None
        self.greeted_at = self.progress_at = self.now
        # Between one and two waits, so that those who lost the publisher at once don't turn at once
        self.stale_at = self.now + self.stale_wait + self._random(self.stale_wait)
        self.home_at = self.now + self.home_wait + self._random(self.home_wait)

    def _older(self, position: Position) -> bool:
        """One that has nothing yet, of no term, is only waited for."""
        return 0 < position.term < self.position.term

    def _fresh(self) -> None:
        """What the sender has, and what is in force here, agree, or don't."""
        if self._older(self.told):
            return self._turn("older term")
        if self.told_at is not None and self.told <= self.position:
            known = self.told_at if self.publisher_at is None else self.publisher_at
            self.publisher_at = max(known, self.told_at)
            if self.now - self.publisher_at < STALE:
                self.stale_wait = STALE
        if self.told == self.position:
            if self.staged is None:
                self.progress_at = self.now
            if self.now - self.greeted_at >= BEAT:
                self.turns = 0
                if not self.place:
                    self.home_wait = HOME

    def _delta(self, told: Delta) -> None:
        """Believed only where it follows on what is here, or on the ranges that have come."""
        after = self.position if self.base is None else self.base
        forward = told.position > self.position or self.base is not None and told.position == self.position
        head = (told.after, told.position, told.digest)
        if (
            told.after != after
            or not forward
            or told.position < after
            or self.wanted
            or (self.coming not in (None, head))
        ):
            return self.commands.append(Note("stale", f"delta after {told.after} to {told.position}"))
        self.staged = self.staged or Staged(self.store)
        self.coming, self.progress_at = head, self.now
        self.job = self._take_delta(told)
        self._work()

    def _take_delta(self, told: Delta) -> Generator[None, None, None]:
        staged = self.staged
        if not (yield from staged.take(told.rows)):
            return self._turn("too much")
        if told.more:
            return self._ack()
        if not self._agrees(staged, told.digest):
            return self._failed()
        changes = yield from staged.difference()
        self._commit(told.position, changes, staged)

    def _agrees(self, staged: Staged, digest: int) -> bool:
        return total_digest(staged.sums) == digest

    def _failed(self) -> None:
        """What was told doesn't lead to where it says: it, or what is in force here, is damaged."""
        self.commands.append(Note("digest differs", self.relays[self.place]))
        self._clear()
        self.failures, self.mistrust = self.failures + 1, True
        if self.failures >= FAILURES:
            self._turn("digest differs")
        else:
            self._ack()

    def _commit(self, position: Position, changes: dict, staged: Staged) -> None:
        before, self.position = self.position, position
        self.store.commit(changes, staged.sums)
        self._clear()
        self.folding, self.mistrust, self.failures, self.turns = True, False, 0, 0
        self.told, self.progress_at = max(self.told, position), self.now
        if before != position:
            self.moved_at = self.now
        if changes or before != position:
            self.commands.append(InForce(before, position, changes))
        self._fresh()
        self._ack()

    def _digests(self, told: Digests) -> None:
        """Where the sender can't tell what lies between, or the digests differ: asks for what differs, also from what
        has come so far."""
        if told.position < self.position or self.coming is not None:
            return self.commands.append(Note("stale", f"digests of {told.position}"))
        self.staged = self.staged or Staged(self.store)
        self.staged.coming = None
        self.base, self.progress_at = told.position, self.now
        self.wanted = {number for number in range(RANGES) if self.staged.sums[number] != told.sums[number]}
        self._say(Want(tuple(sorted(self.wanted))))

    def _range(self, told: Range) -> None:
        if told.range not in self.wanted or self.staged.coming not in (None, told.range):
            return self.commands.append(Note("stale", f"range {told.range}"))
        self.progress_at = self.now
        self.job = self._take_range(told)
        self._work()

    def _take_range(self, told: Range) -> Generator[None, None, None]:
        if not (yield from self.staged.take_range(told.range, told.rows, told.more)):
            return self._turn("malformed", f"range {told.range}")
        if not told.more:
            self.wanted.discard(told.range)
        self._ack()

    def _work(self) -> None:
        """One slice: of what was committed last, before all else; or of the frame in hand."""
        if self.folding:
            self.folding = self.store.compact(SLICE)
        elif (job := self.job) is not None:
            for _ in job:
                return
            if self.job is job:  # it may have been thrown away on the way
                self.job = None
