"""What is known of all who follow from here, at first hand and by the reports of relays: who has what in force. Pure.

Nothing here is needed to serve anyone; it answers whether a position is in force everywhere, and who is behind.
"""

from bisect import bisect_right
from dataclasses import dataclass, field
from heapq import nsmallest
from typing import Iterator

from oakfork.control.messages import EMPTY, Behind, Position, Report

MOST_NAMES = 16_384  # six times 2,700 gateways; beyond that the one gone for the longest goes, then none is taken in
MOST_PATHS = 4  # links over which one name is reached: two while it moves, more only by what is wrong
REPORTED = 1_024  # names of a report that came, and that went
NAMED = 32  # of a report that are behind
FORGOTTEN = 3_600_000  # milliseconds that one gone is remembered
MOST_TIMES = 1_024  # positions whose time of coming is remembered, for how long one has been behind


@dataclass(slots=True)
class _Below:
    """One link: who follows on it, and, where that is a relay, what it last reported."""

    who: str
    relay: bool
    position: Position
    names: dict[str, None] = field(default_factory=dict)  # reached over it, itself also
    told: Report | None = None  # the last one's lowest, behind, others_behind
    told_at: int = 0


class FollowerRegistry:
    def __init__(self) -> None:
        self.links: dict[int, _Below] = {}  # emptied by `lost`
        self.names: dict[str, list[int]] = {}  # connected -> over which links; the latest last
        self.gone: dict[str, tuple[int, str]] = {}  # when, and whom it followed; the first gone first
        self.news: dict[str, bool] = {}  # came or went since the last report; emptied by reporting
        self.times: list[tuple[Position, int]] = []  # when it came in force here; the oldest go
        self.left_out = 0  # names that there was no room for
        self.changed = True  # something a report would tell

    # What happens

    def in_force(self, now: int, position: Position) -> None:
        """Here, and so to be had by those below."""
        self.changed = True
        if self.times and position <= self.times[-1][0]:
            return  # mended where it was
        self.times.append((position, now))
        del self.times[:-MOST_TIMES]

    def came(self, now: int, link: int, who: str, relay: bool, position: Position) -> None:
        self.changed = True
        self.links[link] = _Below(who, relay, position)
        self._reached(now, link, who)

    def acked(self, link: int, position: Position) -> None:
        self.changed = True
        self.links[link].position = position

    def lost(self, now: int, link: int) -> None:
        """With all that was reached over it; none of them are gone that are reached otherwise."""
        self.changed = True
        if (below := self.links.pop(link, None)) is not None:
            for name in below.names:
                self._not_reached(now, link, name, below.who)

    def reported(self, now: int, link: int, told: Report) -> None:
        self.changed = True
        below = self.links[link]
        for name in told.went:
            if name in below.names and name != below.who:
                del below.names[name]
                self._not_reached(now, link, name, below.who)
        for name in told.came:
            self._reached(now, link, name)
        below.told, below.told_at = Report((), (), told.lowest, told.behind, told.others_behind), now

    def _reached(self, now: int, link: int, name: str) -> None:
        paths = self.names.get(name)
        if paths is None:
            self._forget(now, 1)
            if len(self.names) >= MOST_NAMES:
                self.left_out += 1
                return
            paths = self.names[name] = []
            self.gone.pop(name, None)
            self.news[name] = True
        if link not in paths:
            paths.append(link)
            self.links[link].names[name] = None
            if len(paths) > MOST_PATHS:
                self.links[paths.pop(0)].names.pop(name, None)

    def _not_reached(self, now: int, link: int, name: str, followed: str) -> None:
        paths = self.names[name]
        paths.remove(link)
        if not paths:
            del self.names[name]
            self.gone[name] = (now, followed)
            self.news[name] = False
            self._forget(now, 0)

    def _forget(self, now: int, room: int) -> None:
        """Those gone for too long, and more of them where there is no room for so many more names."""
        while self.gone:
            name = next(iter(self.gone))
            if now - self.gone[name][0] < FORGOTTEN and len(self.names) + len(self.gone) + room <= MOST_NAMES:
                return
            del self.gone[name]
            self.news.pop(name, None)

    # What is known

    def everywhere(self, mine: Position) -> Position:
        """The highest position that all connected have in force, `mine` being the one here; of a relay that hasn't
        reported yet, none."""
        lowest = mine
        for below in self.links.values():
            lowest = min(lowest, below.position)
            if below.relay:
                lowest = min(lowest, EMPTY if below.told is None else below.told.lowest)
        return lowest

    def since(self, now: int, position: Position) -> int:
        """Milliseconds that something beyond a position has been in force here; 0 if nothing is."""
        place = bisect_right(self.times, position, key=lambda each: each[0])
        return now - self.times[place][1] if place < len(self.times) else 0

    def behind(self, now: int, mine: Position, most: int = NAMED) -> tuple[list[Behind], int]:
        """Those who don't have `mine` in force, the worst first, and how many there are besides."""
        told, others = 0, 0

        def each() -> Iterator[Behind]:
            nonlocal told, others
            for link, below in self.links.items():
                for one in self._behind_over(now, mine, link, below):
                    if self.names.get(one.who, (0,))[-1] == link:  # not where it was before
                        told += 1
                        yield one
                if below.told is not None:
                    others += below.told.others_behind if below.position >= mine else 0

        worst = nsmallest(most, each(), key=lambda one: (one.position, -one.since, one.who))
        return worst, told - len(worst) + others

    def _behind_over(self, now: int, mine: Position, link: int, below: _Below) -> Iterator[Behind]:
        since = self.since(now, below.position)
        if below.position < mine:
            yield Behind(below.who, below.position, since)
        if not below.relay:
            return
        named = {below.who}
        if below.told is not None:
            for one in below.told.behind:
                if one.position < mine and one.who not in named:
                    named.add(one.who)
                    yield one._replace(since=one.since + now - below.told_at)
        if below.position < mine:  # then no one below it can have more
            position = below.position
            if below.told is not None and below.told.others_behind:
                position = min(position, below.told.lowest)
            for name in below.names:
                if name not in named:
                    yield Behind(name, position, since)

    # What is told upward

    def afresh(self) -> None:
        """For a new connection: who it reaches knows of no one here."""
        self.news = {name: True for name in self.names}
        self.changed = True

    def report(self, now: int, mine: Position) -> Report:
        """What changed since the last one; if `changed` stays on, there is more of it."""
        came, went = [], []
        for name, here in self.news.items():
            (came if here else went).append(name)
            if max(len(came), len(went)) == REPORTED:
                break
        for name in came + went:
            del self.news[name]
        self.changed = bool(self.news)
        worst, others = self.behind(now, mine)
        return Report(tuple(came), tuple(went), self.everywhere(mine), tuple(worst), others)
