"""Change sets that a publisher was given: those that wait, and the ids of those that are in force. No I/O."""

from array import array
from collections import deque
from dataclasses import dataclass, field
from typing import Mapping, NamedTuple

from oakfork.control.events import Changes
from oakfork.control.messages import Position, Submit, SubmitResult

MAX_QUEUED_SETS = 64  # waiting change sets; further ones are refused
MAX_WAITING_LINKS = 16  # links that wait for the result of one change set
MAX_ANSWERED_IDS = 65_536  # ids whose position is remembered; the oldest are dropped


@dataclass(slots=True)
class Submitted:
    """A change set that waits, or is being handled."""

    id: str
    change: bytes
    links: list[int] = field(default_factory=list)  # waiting for the result, MAX_WAITING_LINKS at most


class StoringChangeSet(NamedTuple):
    """A change set that is checked, and on its way to the disk and to the voters."""

    position: Position
    changes: Changes
    sums: array


class ChangeQueue:
    """The change sets that wait, in their order; the first one is being handled.

    `ids` are the positions of the change sets that are in force, oldest first. An id is remembered, so that the same
    change set has no second effect and gets the same answer.
    """

    def __init__(self, ids: Mapping[str, Position]) -> None:
        self.positions: dict[str, Position] = dict(ids)
        self.waiting: deque[Submitted] = deque()

    def __len__(self) -> int:
        return len(self.waiting)

    @property
    def first(self) -> Submitted:
        """The one that is being handled."""
        return self.waiting[0]

    def position_of(self, id: str) -> Position | None:
        """The position of a change set that is in force; None if the id is not known."""
        return self.positions.get(id)

    def add(self, link: int, request: Submit) -> SubmitResult | None:
        """Queues a change set, with the link that waits for it; the result if there is no room for either."""
        submitted = next((one for one in self.waiting if one.id == request.id), None)
        if submitted is None:
            is_full = len(self.waiting) >= MAX_QUEUED_SETS
        else:
            is_full = len(submitted.links) >= MAX_WAITING_LINKS
        if is_full:
            return SubmitResult(request.id, None, ("too many change sets are waiting: submit it again later",))
        if submitted is None:
            submitted = Submitted(request.id, request.change)
            self.waiting.append(submitted)
        if link not in submitted.links:
            submitted.links.append(link)
        return None

    def accept(self, position: Position) -> None:
        """The first one is in force at that position."""
        self.positions[self.first.id] = position
        if len(self.positions) > MAX_ANSWERED_IDS:
            del self.positions[next(iter(self.positions))]

    def remove_first(self) -> Submitted:
        """The first one has its result, or will never have one."""
        return self.waiting.popleft()

    def remove_others(self) -> list[Submitted]:
        """Removes all but the first one."""
        others = list(self.waiting)[1:]
        for _ in others:
            self.waiting.pop()
        return others

    def forget_link(self, link: int) -> None:
        """Nobody waits on that link any more."""
        for submitted in self.waiting:
            submitted.links = [other for other in submitted.links if other != link]
