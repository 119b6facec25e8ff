"""A relay: follows the publisher or another relay, and serves followers from the same state. No I/O.

It reports on the followers below it to the process that it follows: who connected and disconnected, the lowest
position, and who is behind. It reports at once on a new connection, then at most once a second and only changes.
"""

from typing import Sequence

from oakfork.control.events import (
    Command,
    CountEvent,
    Event,
    FrameReceived,
    InForce,
    ScheduleStep,
    SendFrame,
    SetTimer,
    ShuttingDown,
    Step,
    TimerFired,
    VoteFailed,
    VoteStored,
)
from oakfork.control.follower import Follower
from oakfork.control.follower_server import EGRESS, MAX_LINKS, FollowerServer
from oakfork.control.messages import (
    EMPTY,
    GrantRequest,
    Heartbeat,
    HistoryReply,
    HistoryRequest,
    Position,
    RecordRequest,
    Report,
    Status,
    StatusRequest,
    pack,
)
from oakfork.control.state import Store
from oakfork.control.status import status
from oakfork.control.voter import Voter

REPORT_INTERVAL = 1_000  # milliseconds between reports


class Relay:
    """A Follower and a FollowerServer on one store; the parameters are those of these two. Some relays vote, too.

    Its state is in memory only, so it starts with an empty one; what it votes is on its disk.
    """

    def __init__(
        self,
        name: str,
        relays: Sequence[str],
        store: Store,
        seed: int = 1,
        egress: int = EGRESS,
        max_links: int = MAX_LINKS,
        voter: Voter | None = None,
    ) -> None:
        self.store = store
        self.voter = voter
        self.follower = Follower(name, relays, store, seed=seed, relay=True)
        self.follower_server = FollowerServer(
            name,
            store,
            self.follower.position,
            self.follower.age,
            egress=egress,
            max_links=max_links,
            upstream_path=lambda: self.follower.path,
        )
        self.reported_link = 0  # the upstream link of the last report
        self.last_summary: tuple | None = None  # of the last report, see `_summary`
        self.next_report_at = 0  # no report is sent earlier
        self.report_due: int | None = None  # when the next report is due; None if there is nothing to report
        self.history_wanted = False  # the changes that led to its state are not complete yet
        self.history_link = 0  # the upstream link on which they were last requested
        self.handled_term = 0  # the highest term of a follower for which it has switched upstream
        self.timer: int | None = None
        self.step_scheduled = False

    @property
    def position(self) -> Position:
        """The position in force."""
        return self.follower.position

    def age(self, now: int) -> int | None:
        """As Follower.age."""
        return self.follower.age(now)

    def handle(self, now: int, event: Event) -> list[Command]:
        """Handles an event of any link, a timer, a step or the shutdown."""
        commands: list[Command] = []
        if isinstance(event, TimerFired):
            self.timer = None
        if isinstance(event, Step):
            self.step_scheduled = False
        if isinstance(event, FrameReceived) and event.link > 0 and isinstance(event.message, StatusRequest):
            if event.link not in self.follower_server.sessions:
                return []
            return [SendFrame(event.link, pack(Status(self.status(now))))]
        if self.voter is not None and isinstance(event, VoteStored | VoteFailed):
            return self.voter.handle(now, event)
        if self.voter is not None and _is_vote_request(event):
            return self._vote_requested(now, event.link, event.message)
        self._dispatch(now, event, commands)
        self._check_term(now, commands)
        if not isinstance(event, ShuttingDown):
            self._request_history(now, commands)
            self._report(now, commands)
        self._set_timer(commands)
        return commands

    def _vote_requested(self, now: int, link: int, request: GrantRequest | RecordRequest) -> list[Command]:
        if link not in self.follower_server.sessions:
            return []
        self.follower_server.restart_timeout(now, link)
        return self.voter.request(now, link, request)

    def _dispatch(self, now: int, event: Event, commands: list[Command]) -> None:
        for_both = isinstance(event, TimerFired | Step | ShuttingDown)
        message = event.message if isinstance(event, FrameReceived) and event.link < 0 else None
        if for_both or event.link > 0:
            self._add(now, self.follower_server.handle(now, event), commands)
        if isinstance(message, HistoryReply):
            self._history_received(now, event.link, message, commands)
        elif for_both or event.link < 0:
            self._add(now, self.follower.handle(now, event), commands)
        if isinstance(message, Heartbeat):
            self._add(now, self.follower_server.forward_heartbeat(now), commands)

    def _check_term(self, now: int, commands: list[Command]) -> None:
        """Switches upstream, once for each term, if a follower has a higher term: the upstream may be outdated."""
        higher = self.follower_server.higher_term
        if higher > max(self.handled_term, self.position.term):
            self.handled_term = higher
            self._add(now, self.follower.switch_relay(now, "higher term below"), commands)

    def _set_timer(self, commands: list[Command]) -> None:
        timers = (self.follower.timer, self.follower_server.timer, self.report_due)
        timer = min((at for at in timers if at is not None), default=None)
        if timer is not None and timer != self.timer:
            commands.append(SetTimer(timer))
        self.timer = timer

    def status(self, now: int) -> bytes:
        """The status for operators, as JSON (docs/control.md)."""
        follower = self.follower
        additions = {} if self.voter is None else {"voter": self.voter.status(now)}
        return status(
            now, self.follower_server, phase=follower.phase.value, follows=follower.selection.current, **additions
        )

    def _add(self, now: int, new_commands: list[Command], commands: list[Command]) -> None:
        """Adds the commands of a component, with one ScheduleStep for both; `_set_timer` combines the timers.

        A new position in force is passed on to the followers.
        """
        for command in new_commands:
            match command:
                case SetTimer():
                    pass
                case ScheduleStep():
                    if not self.step_scheduled:
                        self.step_scheduled = True
                        commands.append(command)
                case InForce(before, position, _):
                    commands.append(command)
                    if before == EMPTY or self.follower_server.history.breaks(before, position):
                        self.history_wanted = True
                        self.history_link = 0
                        self.follower_server.history_requested(now)
                    self._add(now, self.follower_server.in_force(now, command), commands)
                case _:
                    commands.append(command)

    # History

    def _request_history(self, now: int, commands: list[Command]) -> None:
        """Requests the changes that led to its state if it got that by ranges; on a new link again, if not complete."""
        follower = self.follower
        if self.history_wanted and follower.following and follower.link != self.history_link:
            self.history_link = follower.link
            self.follower_server.history_requested(now)
            commands.append(follower.send(HistoryRequest(self.follower_server.history.start)))

    def _history_received(self, now: int, link: int, reply: HistoryReply, commands: list[Command]) -> None:
        follower = self.follower
        history = self.follower_server.history
        if link != follower.link or self.history_link != follower.link or not self.history_wanted:
            commands.append(CountEvent("stale", f"history before {reply.before}"))
            return
        self.history_wanted = history.extend_back(reply.before, reply.steps, lambda key: self.store.value(*key))
        if self.history_wanted:
            commands.append(follower.send(HistoryRequest(history.start)))
        self._add(now, self.follower_server.history_received(now, self.history_wanted), commands)

    # Reports

    def _report(self, now: int, commands: list[Command]) -> None:
        registry = self.follower_server.registry
        follower = self.follower
        self.report_due = None
        if not follower.following:
            return
        if self.reported_link != follower.link:
            self.reported_link = follower.link
            self.last_summary = None
            self.next_report_at = now
            registry.report_all()
        if registry.changed and now >= self.next_report_at:
            report = registry.report(now, self.position)
            summary = _summary(report)
            if summary != self.last_summary or report.came or report.went:
                self.last_summary = summary
                self.next_report_at = now + REPORT_INTERVAL
                commands.append(follower.send(report))
        if registry.changed:
            self.report_due = max(self.next_report_at, now + 1)


def _is_vote_request(event: Event) -> bool:
    is_incoming = isinstance(event, FrameReceived) and event.link > 0
    return is_incoming and isinstance(event.message, GrantRequest | RecordRequest)


def _summary(report: Report) -> tuple:
    """What a report says apart from names that connected or disconnected, and from times."""
    lagging = tuple((follower.name, follower.position) for follower in report.behind)
    return report.lowest, lagging, report.others_behind
