"""Tracks all followers downstream, directly connected ones and those that relays report, and their positions. No I/O.

Serving followers doesn't depend on it; it answers whether a position is in force everywhere, and who is behind.
"""

from bisect import bisect_right
from dataclasses import dataclass, field
from heapq import nsmallest
from typing import Iterator

from oakfork.control.messages import EMPTY, MAX_REPORT_LAGGING, MAX_REPORT_NAMES, LaggingFollower, Position, Report

# Names tracked: six times 2,700 gateways. Beyond that the follower disconnected longest is dropped, then no new one is
# tracked.
MAX_NAMES = 16_384
MAX_LINKS_PER_NAME = 4  # a name is reached over two links while it moves; more only if something is wrong
REPORTED_NAMES = MAX_REPORT_NAMES  # connected, and disconnected, in one report
REPORTED_LAGGING = MAX_REPORT_LAGGING  # in one report
GONE_RETENTION = 3_600_000  # milliseconds that a disconnected follower is remembered
MAX_POSITION_TIMES = 1_024  # positions whose time is kept, to know for how long a follower has been behind


@dataclass(slots=True)
class _Downstream:
    """One link: who follows on it and, if that is a relay, its last report."""

    name: str
    relay: bool
    position: Position
    reached: dict[str, None] = field(default_factory=dict)  # names reached over this link, the follower's own included
    report: Report | None = None  # only its lowest, behind and others_behind
    reported_at: int = 0


class FollowerRegistry:
    """The followers downstream. Times are in milliseconds of the machine's clock."""

    def __init__(self) -> None:
        self.links: dict[int, _Downstream] = {}
        self.names: dict[str, list[int]] = {}  # connected follower -> links that reach it, the latest last
        self.gone: dict[str, tuple[int, str]] = {}  # since when, and its last upstream; in the order of leaving
        self.unreported: dict[str, bool] = {}  # names connected (True) or disconnected since the last report
        self.position_times: list[tuple[Position, int]] = []  # when each position came into force here, oldest first
        self.left_out = 0  # times that a name was not tracked because of MAX_NAMES
        self.changed = True  # whether there is something to report

    # Events

    def in_force(self, now: int, position: Position) -> None:
        """A position has come into force here and is available to followers."""
        self.changed = True
        if self.position_times and position <= self.position_times[-1][0]:
            return  # the state was repaired without a new position
        self.position_times.append((position, now))
        del self.position_times[:-MAX_POSITION_TIMES]

    def connected(self, now: int, link: int, name: str, relay: bool, position: Position) -> None:
        """A follower has introduced itself on a link."""
        self.changed = True
        self.links[link] = _Downstream(name, relay, position)
        self._add_path(now, link, name)

    def acked(self, link: int, position: Position) -> None:
        """A follower has a position in force."""
        self.changed = True
        self.links[link].position = position

    def disconnected(self, now: int, link: int) -> None:
        """A link has ended; of the names reached over it, those that no other link reaches are gone."""
        self.changed = True
        downstream = self.links.pop(link, None)
        if downstream is not None:
            for name in downstream.reached:
                self._remove_path(now, link, name, downstream.name)

    def reported(self, now: int, link: int, report: Report) -> None:
        """A relay has sent a report."""
        self.changed = True
        relay = self.links[link]
        for name in report.went:
            if name in relay.reached and name != relay.name:
                del relay.reached[name]
                self._remove_path(now, link, name, relay.name)
        for name in report.came:
            self._add_path(now, link, name)
        relay.report = Report((), (), report.lowest, report.behind, report.others_behind)
        relay.reported_at = now

    def _add_path(self, now: int, link: int, name: str) -> None:
        links = self.names.get(name)
        if links is None:
            self._drop_gone(now, 1)
            if len(self.names) >= MAX_NAMES:
                self.left_out += 1
                return
            links = self.names[name] = []
            self.gone.pop(name, None)
            self.unreported[name] = True
        if link not in links:
            links.append(link)
            self.links[link].reached[name] = None
            if len(links) > MAX_LINKS_PER_NAME:
                self.links[links.pop(0)].reached.pop(name, None)

    def _remove_path(self, now: int, link: int, name: str, followed: str) -> None:
        links = self.names[name]
        links.remove(link)
        if not links:
            del self.names[name]
            self.gone[name] = (now, followed)
            self.unreported[name] = False
            self._drop_gone(now, 0)

    def _drop_gone(self, now: int, new_names: int) -> None:
        """Drops followers gone for GONE_RETENTION, and more of them if there is no room for so many new names."""
        while self.gone:
            name = next(iter(self.gone))
            expired = now - self.gone[name][0] >= GONE_RETENTION
            if not expired and len(self.names) + len(self.gone) + new_names <= MAX_NAMES:
                return
            del self.gone[name]
            self.unreported.pop(name, None)

    # Queries

    def everywhere(self, own_position: Position) -> Position:
        """The highest position that this process, at `own_position`, and all connected followers have in force.

        EMPTY while a connected relay hasn't reported yet.
        """
        lowest = own_position
        for downstream in self.links.values():
            lowest = min(lowest, downstream.position)
            if downstream.relay:
                lowest = min(lowest, EMPTY if downstream.report is None else downstream.report.lowest)
        return lowest

    def time_behind(self, now: int, position: Position) -> int:
        """Milliseconds since a position beyond the given one came into force here; 0 if none has."""
        index = bisect_right(self.position_times, position, key=lambda each: each[0])
        if index == len(self.position_times):
            return 0
        return now - self.position_times[index][1]

    def behind(
        self, now: int, own_position: Position, limit: int = REPORTED_LAGGING
    ) -> tuple[list[LaggingFollower], int]:
        """Up to `limit` followers that don't have `own_position` in force, furthest behind first, and how many more
        there are."""
        named = 0
        others = 0

        def lagging_followers() -> Iterator[LaggingFollower]:
            nonlocal named, others
            for link, downstream in self.links.items():
                for follower in self._behind_over(now, own_position, link, downstream):
                    if self.names.get(follower.name, (0,))[-1] == link:  # not a link that it was reached over before
                        named += 1
                        yield follower
                if downstream.report is not None and downstream.position >= own_position:
                    others += downstream.report.others_behind

        furthest = nsmallest(
            limit, lagging_followers(), key=lambda follower: (follower.position, -follower.behind_ms, follower.name)
        )
        return furthest, named - len(furthest) + others

    def _behind_over(
        self, now: int, own_position: Position, link: int, downstream: _Downstream
    ) -> Iterator[LaggingFollower]:
        """The followers reached over a link that are behind."""
        behind_ms = self.time_behind(now, downstream.position)
        if downstream.position < own_position:
            yield LaggingFollower(downstream.name, downstream.position, behind_ms)
        if not downstream.relay:
            return
        named = {downstream.name}
        if downstream.report is not None:
            for follower in downstream.report.behind:
                if follower.position < own_position and follower.name not in named:
                    named.add(follower.name)
                    yield follower._replace(behind_ms=follower.behind_ms + now - downstream.reported_at)
        if downstream.position < own_position:  # then no follower of the relay can be further ahead
            position = downstream.position
            if downstream.report is not None and downstream.report.others_behind:
                position = min(position, downstream.report.lowest)
            for name in downstream.reached:
                if name not in named:
                    yield LaggingFollower(name, position, behind_ms)

    # Reports

    def report_all(self) -> None:
        """Makes the next reports complete, for a new connection whose peer has received none yet."""
        self.unreported = {name: True for name in self.names}
        self.changed = True

    def report(self, now: int, own_position: Position) -> Report:
        """The changes since the last report; `changed` stays True if names are left for another one."""
        came = []
        went = []
        for name, connected in self.unreported.items():
            (came if connected else went).append(name)
            if max(len(came), len(went)) == REPORTED_NAMES:
                break
        for name in came + went:
            del self.unreported[name]
        self.changed = bool(self.unreported)
        furthest, others = self.behind(now, own_position)
        return Report(tuple(came), tuple(went), self.everywhere(own_position), tuple(furthest), others)
