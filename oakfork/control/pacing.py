"""Who is sent ranges, and when: a few links by turns, so many bytes a second over all of them. Pure."""

from collections import deque


class RangePacer:
    """`egress` in bytes a second, what isn't used is lost; `most` links by turns, the others wait, so that those who
    began also end. Each link is in one of the three tables at most, and `drop` takes it out of any."""

    def __init__(self, egress: int, most: int) -> None:
        self.egress, self.most = egress, most
        self.waiting: deque[int] = deque()  # for one of the few to be done
        self.mending: set[int] = set()  # the few
        self.ready: deque[int] = deque()  # of them: whose turn it is
        self.free_at = 0  # microseconds: when the next frame may be sent

    def ask(self, link: int) -> None:
        """It wants its next frame, and is in no queue."""
        (self.ready if link in self.mending else self.waiting).append(link)
        self._admit()

    def drop(self, link: int) -> None:
        """It is done, gone, or so slow that another gets its place."""
        self.mending.discard(link)
        for queue in (self.waiting, self.ready):
            if link in queue:
                queue.remove(link)
        self._admit()

    def next(self, now: int) -> int | None:
        """Whose turn it is, if a frame may be sent. Say `sent` afterwards."""
        return self.ready.popleft() if self.ready and self.free_at <= now * 1000 else None

    def sent(self, now: int, size: int) -> None:
        self.free_at = max(self.free_at, now * 1000) + size * 1_000_000 // self.egress

    @property
    def due(self) -> int | None:
        """The time of the next frame; None where nobody waits for one."""
        return -(-self.free_at // 1000) if self.ready else None

    def _admit(self) -> None:
        while self.waiting and len(self.mending) < self.most:
            link = self.waiting.popleft()
            self.mending.add(link)
            self.ready.append(link)
