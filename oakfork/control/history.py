"""The changes between consecutive positions, for a bounded number of positions back. No I/O."""

from collections import deque
from typing import Callable, Iterable, NamedTuple, Protocol, Sequence

from oakfork.control.events import Changes, Key
from oakfork.control.messages import EMPTY, HistoryStep, Position, Row
from oakfork.control.state import as_changes

# Rows in all change sets: room for a day's 2,000 changes and for a zone's 2,560 servers removed and restored twice.
# Merging all of it is one step of the event loop of a relay or publisher, never of a gateway. Further back, sending
# ranges costs little more than sending the changes.
MAX_HISTORY_ROWS = 16_384
MAX_HISTORY_SETS = 4_096  # change sets; reached first if most of them have few rows
MAX_REPLY_STEPS = 512  # in one reply to a history request
MAX_REPLY_KEYS = 1_024  # in one reply; with keys of any length these are less than a frame holds


class Entry(Protocol):
    """A stored change set, which led from `before` to `position`."""

    before: Position
    position: Position
    rows: Sequence[Row]


class _ChangeSet(NamedTuple):
    position: Position
    changes: Changes
    digest: int | None


class History:
    """Consecutive change sets.

    Adding one drops the oldest beyond the bounds. Adding one that doesn't follow the newest, or that repairs the state
    without a new position, drops all others.
    """

    def __init__(
        self,
        position: Position,
        digest: int | None,
        max_rows: int = MAX_HISTORY_ROWS,
        max_sets: int = MAX_HISTORY_SETS,
    ) -> None:
        self.max_rows = max_rows
        self.max_sets = max_sets
        # The first entry has no changes: it only marks the position at which the second one began.
        self.sets: deque[_ChangeSet] = deque([_ChangeSet(position, {}, digest)])
        self.rows = 0
        self.digests: dict[Position, int | None] = {position: digest}  # of exactly the positions in `sets`

    @property
    def oldest(self) -> Position:
        """The oldest position from which changes are known."""
        return self.sets[0].position

    @property
    def newest(self) -> Position:
        """The newest position."""
        return self.sets[-1].position

    @property
    def start(self) -> Position:
        """The oldest position other than EMPTY: a step from EMPTY is a whole state, whose own history can still be
        requested from upstream."""
        return self.sets[self._begins_empty()].position

    def _begins_empty(self) -> bool:
        return self.oldest == EMPTY and len(self.sets) > 1

    def add(self, before: Position, position: Position, changes: Changes, digest: int | None) -> None:
        """Adds the changes from `before` to `position`, which must not be modified afterwards. `digest` is that of the
        state at `position`, None if unknown."""
        if self.breaks(before, position):
            self.sets.clear()
            self.digests.clear()
            self.rows = 0
            changes = {}
        self.sets.append(_ChangeSet(position, changes, digest))
        self.rows += len(changes)
        self.digests[position] = digest
        self.trim()

    def breaks(self, before: Position, position: Position) -> bool:
        """Whether a change from `before` to `position` doesn't continue this history."""
        return before != self.newest or before == position

    def steps_before(self, before: Position) -> tuple[HistoryStep, ...]:
        """The steps that led to a position, latest first, MAX_REPLY_STEPS and MAX_REPLY_KEYS at most.

        Older ones are left for the next request; a step with more keys than a reply holds ends the answers.
        """
        steps: list[HistoryStep] = []
        key_count = 0
        later: _ChangeSet | None = None  # the change set that followed the one under consideration
        for each in reversed(self.sets):
            if later is not None:
                key_count += len(later.changes)
                if key_count > MAX_REPLY_KEYS or len(steps) == MAX_REPLY_STEPS:
                    break
                steps.append(HistoryStep(each.position, each.digest, tuple(later.changes)))
            if steps or each.position == before:
                later = each
        return tuple(steps)

    def extend_back(self, before: Position, steps: Sequence[HistoryStep], value: Callable[[Key], bytes | None]) -> bool:
        """Prepends the steps that led to `start`, from another History's `steps_before`; returns whether there is room
        for more.

        `value` gives the value in force, which `merged` returns for a changed record in any case. Wrong steps only
        cost the transfer of ranges: followers notice a digest that differs, or a Delta that leads to a different one.
        """
        if before != self.start or not steps or steps[0].position >= before:
            return False
        if self._begins_empty():
            self._drop_oldest()
        for position, digest, keys in steps:
            if position >= self.oldest or self.rows + len(keys) > self.max_rows or len(self.sets) >= self.max_sets:
                return False
            self.sets[0] = self.sets[0]._replace(changes={key: value(key) for key in keys})
            self.sets.appendleft(_ChangeSet(position, {}, digest))
            self.rows += len(self.sets[1].changes)
            self.digests[position] = digest
        return self.oldest != EMPTY

    def trim(self) -> None:
        """Drops the oldest change sets beyond the bounds."""
        while len(self.sets) > 1 and (self.rows > self.max_rows or len(self.sets) > self.max_sets):
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        dropped = self.sets.popleft()
        self.rows -= len(self.sets[0].changes)  # the next set becomes the oldest, so its changes go as well
        self.sets[0] = self.sets[0]._replace(changes={})
        del self.digests[dropped.position]

    def knows(self, position: Position) -> bool:
        """Whether a position is one of this history, so that `merged` works from there."""
        return position in self.digests

    def skipped(self, position: Position) -> bool:
        """Whether a position lies between two known ones, because several change sets arrived here as one.

        `merged` works from there too if the position is of the same lineage: it returns the changes since the known
        position before it, some of which the follower already has.
        """
        return self.start < position < self.newest and position not in self.digests

    def digest(self, position: Position) -> int | None:
        """The digest of the state at a position; None if the position or the digest is unknown."""
        return self.digests.get(position)

    def merged(self, after: Position) -> dict[Key, bytes | None] | None:
        """The last value of every record that changed after a position; None if that is unknown.

        The cost grows with the rows of the history.
        """
        if not (self.knows(after) or self.skipped(after)):
            return None
        later: list[Changes] = []
        for each in reversed(self.sets):  # from the newest, since most followers are only a little behind
            if each.position <= after:
                break
            later.append(each.changes)
        merged: dict[Key, bytes | None] = {}
        for changes in reversed(later):
            merged |= changes
        return merged


def stored_history(entries: Iterable[Entry], stored: Position, digest: int) -> History:
    """The history of the stored change sets; only the digest at `stored` is known."""
    history = None
    for entry in entries:
        if history is None:
            history = History(entry.before, None)
        entry_digest = digest if entry.position == stored else None
        history.add(entry.before, entry.position, as_changes(entry.rows), entry_digest)
    if history is None or history.newest != stored:
        return History(stored, digest)
    return history
