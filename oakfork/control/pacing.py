"""Decides which link is sent a frame of a range, and when: a few links in rotation, at a bounded total rate. No I/O."""

from collections import deque

MICROSECONDS = 1_000  # in a millisecond


class RangePacer:
    """Limits ranges to `egress` bytes per second over all links; unused capacity is lost.

    `max_active` links are served in rotation and the others wait, so that transfers that have begun also finish. Each
    link is waiting, or active and possibly ready, or not known here; `remove` works in every case.
    """

    def __init__(self, egress: int, max_active: int) -> None:
        self.egress = egress
        self.max_active = max_active
        self.waiting: deque[int] = deque()  # links that are not active yet
        self.active: set[int] = set()  # links served in rotation
        self.ready: deque[int] = deque()  # active links that want a frame, the next one first
        self.free_at_us = 0  # microseconds: when the next frame may be sent

    def enqueue(self, link: int) -> None:
        """A link wants its next frame; it must not be waiting or ready already."""
        if link in self.active:
            self.ready.append(link)
        else:
            self.waiting.append(link)
        self._activate()

    def remove(self, link: int) -> None:
        """A link is finished, has ended, or is too slow and gives up its turn."""
        self.active.discard(link)
        for queue in (self.waiting, self.ready):
            if link in queue:
                queue.remove(link)
        self._activate()

    def next_link(self, now: int) -> int | None:
        """The link whose turn it is, if a frame may be sent now (milliseconds). Call `sent` after sending it."""
        if self.ready and self.free_at_us <= now * MICROSECONDS:
            return self.ready.popleft()
        return None

    def sent(self, now: int, size: int) -> None:
        """A frame of `size` bytes was sent at `now`."""
        self.free_at_us = max(self.free_at_us, now * MICROSECONDS) + size * 1_000_000 // self.egress

    @property
    def due(self) -> int | None:
        """When the next frame may be sent, in milliseconds rounded up; None if no link is ready."""
        return -(-self.free_at_us // MICROSECONDS) if self.ready else None

    def _activate(self) -> None:
        while self.waiting and len(self.active) < self.max_active:
            link = self.waiting.popleft()
            self.active.add(link)
            self.ready.append(link)
