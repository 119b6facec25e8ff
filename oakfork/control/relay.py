"""A relay: follows a publisher or another relay, and serves those below from the same state. Pure.

What it knows of those below it reports to whom it follows: who came and went, the lowest position, who is behind; at
once on a new connection, then at most once a second and only what changed.
"""

from typing import Sequence

from oakfork.control.events import (
    Command,
    Event,
    Heard,
    InForce,
    Left,
    More,
    Note,
    Say,
    Step,
    TimeCame,
    Wake,
)
from oakfork.control.follower import Follower
from oakfork.control.follower_server import EGRESS, LINKS, FollowerServer
from oakfork.control.messages import EMPTY, Ask, Beat, Past, Position, Recall, Report, Status, pack
from oakfork.control.state import Store
from oakfork.control.status import status

REPORT = 1_000  # milliseconds from one report to the next


class Relay:
    """As Follower; `egress` and `most` as FollowerServer. Its state is in memory alone: it begins with none."""

    def __init__(
        self, who: str, relays: Sequence[str], store: Store, seed: int = 1, egress: int = EGRESS, most: int = LINKS
    ) -> None:
        self.store = store
        self.follower = Follower(who, relays, store, seed=seed, relay=True)
        self.follower_server = FollowerServer(
            who,
            store,
            self.follower.position,
            self.follower.age,
            egress=egress,
            most=most,
            way=lambda: self.follower.way,
        )
        self.reported_on = 0  # the link that the last report went over
        self.last: tuple | None = None  # what it said, but for names and times
        self.report_at = 0  # not before that
        self.recalling = False  # what led to its state is yet to be asked for, or to come
        self.recalled_on = 0  # the link that it was asked for on
        self.higher = 0  # the term for which it has turned away
        self.report_due: int | None = None  # when there is something to report
        self.wake: int | None = None
        self.asked = False

    @property
    def position(self) -> Position:
        return self.follower.position

    def age(self, now: int) -> int | None:
        return self.follower.age(now)

    def handle(self, now: int, event: Event) -> list[Command]:
        commands: list[Command] = []
        if isinstance(event, TimeCame):
            self.wake = None
        if isinstance(event, Step):
            self.asked = False
        if isinstance(event, Heard) and event.link > 0 and isinstance(event.message, Ask):
            return [Say(event.link, pack(Status(self.status(now))))] if event.link in self.follower_server.links else []
        both = isinstance(event, TimeCame | Step | Left)
        if both or event.link > 0:
            self._take(now, self.follower_server.handle(now, event), commands)
        if isinstance(event, Heard) and event.link < 0 and isinstance(event.message, Past):
            self._past(now, event, commands)
        elif both or event.link < 0:
            self._take(now, self.follower.handle(now, event), commands)
        if isinstance(event, Heard) and event.link < 0 and isinstance(event.message, Beat):
            self._take(now, self.follower_server.pass_on(now), commands)
        if self.follower_server.higher > max(self.higher, self.position.term):
            self.higher = (
                self.follower_server.higher
            )  # whom it follows may be of the past: it looks elsewhere, once a term
            self._take(now, self.follower.turn(now, "higher term below"), commands)
        if not isinstance(event, Left):
            self._recall(now, commands)
            self._report(now, commands)
        due = (self.follower.wake, self.follower_server.wake, self.report_due)
        wake = min((at for at in due if at is not None), default=None)
        if wake is not None and wake != self.wake:
            commands.append(Wake(wake))
        self.wake = wake
        return commands

    def status(self, now: int) -> bytes:
        follower = self.follower
        return status(now, self.follower_server, phase=follower.phase.value, follows=follower.relays[follower.place])

    def _take(self, now: int, told: list[Command], commands: list[Command]) -> None:
        """The commands of a part, with one `More` for both; what is in force goes on to those below. Their times are
        asked for when all is done."""
        for command in told:
            match command:
                case Wake():
                    pass
                case More():
                    if not self.asked:
                        self.asked = True
                        commands.append(command)
                case InForce(before, position, _):
                    commands.append(command)
                    if before == EMPTY or self.follower_server.history.breaks(before, position):
                        self.recalling, self.recalled_on = True, 0
                        self.follower_server.recalls(now)
                    self._take(now, self.follower_server.in_force(now, command), commands)
                case _:
                    commands.append(command)

    def _recall(self, now: int, commands: list[Command]) -> None:
        """Asks for what led to its state: after ranges, and again on another link where not all of it came."""
        follower = self.follower
        if self.recalling and follower.following and follower.link != self.recalled_on:
            self.recalled_on = follower.link
            self.follower_server.recalls(now)
            commands.append(follower.say(Recall(self.follower_server.history.start)))

    def _past(self, now: int, heard: Heard, commands: list[Command]) -> None:
        told, history, follower = heard.message, self.follower_server.history, self.follower
        if heard.link != follower.link or self.recalled_on != follower.link or not self.recalling:
            return commands.append(Note("stale", f"what led to {told.before}"))
        self.recalling = history.recall(told.before, told.steps, lambda key: self.store.value(*key))
        if self.recalling:
            commands.append(follower.say(Recall(history.start)))
        self._take(now, self.follower_server.recalled(now, self.recalling), commands)

    def _report(self, now: int, commands: list[Command]) -> None:
        registry, follower = self.follower_server.registry, self.follower
        self.report_due = None
        if not follower.following:
            return
        if self.reported_on != follower.link:
            self.reported_on, self.last, self.report_at = follower.link, None, now
            registry.afresh()
        if registry.changed and now >= self.report_at:
            told = registry.report(now, self.position)
            if (said := _gist(told)) != self.last or told.came or told.went:
                self.last, self.report_at = said, now + REPORT
                commands.append(follower.say(told))
        if registry.changed:
            self.report_due = max(self.report_at, now + 1)


def _gist(told: Report) -> tuple:
    return told.lowest, tuple((one.who, one.position) for one in told.behind), told.others_behind
