"""What changed from one position to the next, as far back as it is kept. Pure."""

from collections import deque
from typing import Callable, NamedTuple, Sequence

from oakfork.control.events import Changes, Key
from oakfork.control.messages import EMPTY, Before, Position

# A day's 2,000 changes beside a zone's 2,560 servers gone and back twice; to merge all of it is one step of the event
# loop of a relay or publisher, never of a gateway. Beyond that, ranges cost little more than the changes.
MOST_ROWS = 16_384
MOST_SETS = 4_096  # as many again, where sets have one row or none
PAST_STEPS, PAST_KEYS = 512, 1_024  # of one answer to who recalls; with keys of any length less than a frame holds


class _Set(NamedTuple):
    position: Position
    changes: Changes
    digest: int | None


class History:
    """Consecutive change sets. A new one pushes out the oldest that are too many; one that doesn't follow on the newest
    (or mends it, where it stands) pushes out all."""

    def __init__(
        self, position: Position, digest: int | None, most_rows: int = MOST_ROWS, most_sets: int = MOST_SETS
    ) -> None:
        self.most_rows, self.most_sets = most_rows, most_sets
        self.sets: deque[_Set] = deque([_Set(position, {}, digest)])  # the first one is where the second began
        self.rows = 0
        self.digests: dict[Position, int | None] = {position: digest}  # of just these positions

    @property
    def oldest(self) -> Position:
        """From where it can tell."""
        return self.sets[0].position

    @property
    def newest(self) -> Position:
        return self.sets[-1].position

    @property
    def start(self) -> Position:
        """The oldest, but for nothing: a step from there is a whole state, and how that came about can be recalled."""
        return self.sets[self._from_nothing()].position

    def _from_nothing(self) -> bool:
        return self.oldest == EMPTY and len(self.sets) > 1

    def add(self, before: Position, position: Position, changes: Changes, digest: int | None) -> None:
        """`digest`: of the state at `position`, None where it isn't known. `changes` is kept as it is: don't change
        it."""
        if self.breaks(before, position):
            self.sets.clear()
            self.digests.clear()
            self.rows = 0
            changes = {}
        self.sets.append(_Set(position, changes, digest))
        self.rows += len(changes)
        self.digests[position] = digest
        self.trim()

    def breaks(self, before: Position, position: Position) -> bool:
        """Whether a change from the one to the other doesn't follow on what is told here."""
        return before != self.newest or before == position

    def past(self, before: Position) -> tuple[Before, ...]:
        """What led there, the latest step first; of more steps or keys the older ones are left for the next time, and
        a step of more keys than an answer has is where it ends."""
        steps: list[Before] = []
        keys, later = 0, None  # the change set that followed on the one in hand
        for each in reversed(self.sets):
            if later is not None:
                keys += len(later.changes)
                if keys > PAST_KEYS or len(steps) == PAST_STEPS:
                    break
                steps.append(Before(each.position, each.digest, tuple(later.changes)))
            if steps or each.position == before:
                later = each
        return tuple(steps)

    def recall(self, before: Position, steps: Sequence[Before], value: Callable[[Key], bytes | None]) -> bool:
        """Takes in what led to `start`, told by `past` of another; `value` is what is in force now, which
        is what `merged` tells of a record in any case. Returns whether there is room for more. What is wrong in it
        costs ranges: a digest that differs, or a Delta that leads to another one, is found by who follows."""
        if before != self.start or not steps or steps[0].position >= before:
            return False
        if self._from_nothing():
            self._forget_oldest()
        for position, digest, keys in steps:
            if position >= self.oldest or self.rows + len(keys) > self.most_rows or len(self.sets) >= self.most_sets:
                return False
            self.sets[0] = self.sets[0]._replace(changes={key: value(key) for key in keys})
            self.sets.appendleft(_Set(position, {}, digest))
            self.rows += len(self.sets[1].changes)
            self.digests[position] = digest
        return self.oldest != EMPTY

    def trim(self) -> None:
        """Forgets the oldest sets that are too many."""
        while len(self.sets) > 1 and (self.rows > self.most_rows or len(self.sets) > self.most_sets):
            self._forget_oldest()

    def _forget_oldest(self) -> None:
        gone = self.sets.popleft()
        self.rows -= len(self.sets[0].changes)  # how its successor came about can't be told any more
        self.sets[0] = self.sets[0]._replace(changes={})
        del self.digests[gone.position]

    def knows(self, position: Position) -> bool:
        """Whether `merged` can tell from there."""
        return position in self.digests

    def passed(self, position: Position) -> bool:
        """Whether it lies between two that are known: several change sets came at once here. `merged` can tell from
        there too, if it is of the same lineage: what changed since the one before, some of which is known there."""
        return self.start < position < self.newest and position not in self.digests

    def digest(self, position: Position) -> int | None:
        """Of the state there; None where either isn't known."""
        return self.digests.get(position)

    def merged(self, after: Position) -> dict[Key, bytes | None] | None:
        """The last value of all that changed after a position until the newest; None if that can't be told. Costs the
        rows of the history."""
        if not (self.knows(after) or self.passed(after)):
            return None
        since: list[Changes] = []
        for each in reversed(self.sets):  # those who ask lag by little
            if each.position <= after:
                break
            since.append(each.changes)
        merged: dict[Key, bytes | None] = {}
        for changes in reversed(since):
            merged |= changes
        return merged
