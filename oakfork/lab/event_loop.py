"""Discrete-event simulation of time.

Times are whole tenths of a millisecond. Events at the same instant run in the order of `EventKind`, and within a kind
in the order in which they were scheduled, so that a run depends on its seeds alone.
"""

import heapq
from enum import IntEnum
from typing import Any, Callable


class EventKind(IntEnum):
    """Order of events at the same instant: the world changes, then components learn of it, then they act."""

    FAULT = 0  # a component breaks or recovers
    NEWS = 1  # a server list or a frame between gateways arrives
    SERVER = 2  # work arrives, starts or ends at a server
    ENDING = 3  # a call-out, a probe or a counter call ends at a gateway
    TIMER = 4  # a gateway's timer fires
    CLIENT = 5  # a client sends, gives up or retries
    MEASUREMENT = 6  # a measurement is taken


class EventLoop:
    """Priority queue of scheduled events. docs/lab.md says why it uses `heapq` rather than simpy."""

    def __init__(self) -> None:
        """Starts at time 0 with nothing scheduled."""
        self.now = 0
        self.played = 0
        self.scheduled = 0
        self.heap: list[tuple[int, EventKind, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, time: int, kind: EventKind, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a callback; a time in the past means now."""
        self.scheduled += 1
        heapq.heappush(self.heap, (max(time, self.now), kind, self.scheduled, callback, args))

    def after(self, delay: int, kind: EventKind, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a callback after a delay in tenths of a millisecond."""
        self.at(self.now + delay, kind, callback, *args)

    def run(self, until: int) -> None:
        """Runs all events up to and including that time, and advances the clock to it."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, _, callback, args = heapq.heappop(heap)
            self.played += 1
            callback(*args)
        self.now = max(self.now, until)
