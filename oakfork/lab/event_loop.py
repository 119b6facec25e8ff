"""Simulated time: events in one stated order. No decision of the gateway's is taken here.

Times are whole tenths of a millisecond. Events at the same instant come by their kind, in the order of Kind, and
within a kind in the order in which they were planned. So a run depends on its seeds alone.
"""

import heapq
from enum import IntEnum
from typing import Any, Callable


class EventKind(IntEnum):
    """What comes first at the same instant: the world changes, then it is told, then it acts."""

    FAULT = 0  # something breaks or comes back
    NEWS = 1  # a list of servers, a frame between gateways
    SERVER = 2  # work begins, ends or arrives at a server
    ENDING = 3  # a call-out, probe or counter's call ends at a gateway
    TIMER = 4  # a gateway's timer
    CLIENT = 5  # a client asks, gives up or comes again
    LOOK = 6  # what is measured


class EventLoop:
    """A heap of what is to come. `heapq` was weighed against simpy: see docs/lab.md."""

    def __init__(self) -> None:
        self.now = 0
        self.played = 0
        self.order = 0
        self.heap: list[tuple[int, EventKind, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, time: int, kind: EventKind, act: Callable[..., None], *args: Any) -> None:
        """Plans an event; one in the past comes now."""
        self.order += 1
        heapq.heappush(self.heap, (max(time, self.now), kind, self.order, act, args))

    def after(self, wait: int, kind: EventKind, act: Callable[..., None], *args: Any) -> None:
        self.at(self.now + wait, kind, act, *args)

    def run(self, until: int) -> None:
        """Plays all events up to and at that time."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, _, act, args = heapq.heappop(heap)
            self.played += 1
            act(*args)
        self.now = max(self.now, until)
