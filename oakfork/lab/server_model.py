"""Servers of the model: cores, a queue, a cold start, and what can be wrong with them."""

from collections import deque
from dataclasses import dataclass, field
from typing import Callable

from oakfork.interface import Status
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.lab.world_config import ServerConfig


@dataclass(slots=True)
class Job:
    """One call-out at a server. `began` is told when it runs, `done` how it ended."""

    work: float
    began: Callable[[], None]
    done: Callable[[Status], None]
    dropped: bool = False


@dataclass(slots=True)
class Server:
    """One process on a machine; a start anew is another `Server` under the same number."""

    number: int
    zone: int
    cell: int
    since: int  # 0: long ago
    plan: ServerConfig
    loop: EventLoop
    up: bool = True
    silent: bool = False  # takes work and answers nothing
    cut: bool = False  # its machine can't be reached; connections stay open
    slow: float = 1.0
    fails: float = 0.0
    draining: bool = False
    free: int = 0
    connections: int = 0
    busy: float = 0.0  # core time spent
    waiting: deque[Job] = field(default_factory=deque)  # bounded by the plan

    def __post_init__(self) -> None:
        self.free = self.plan.cores

    def warmth(self, now: int) -> float:
        """The part of its work that it can do now: rises evenly from the cold share."""
        if not self.since or now >= self.since + self.plan.cold_time:
            return 1.0
        return self.plan.cold_share + (1 - self.plan.cold_share) * (now - self.since) / self.plan.cold_time

    def cold(self, now: int) -> bool:
        return bool(self.since) and now < self.since + self.plan.cold_time

    def take(self, job: Job) -> bool:
        """False: turned away unseen."""
        if self.free:
            self._begin(job)
        elif len(self.waiting) < self.plan.waiting:
            self.waiting.append(job)
        else:
            return False
        return True

    def _begin(self, job: Job) -> None:
        self.free -= 1
        job.began()
        took = max(1, round(job.work * self.slow / self.warmth(self.loop.now)))
        self.busy += took
        self.loop.after(took, EventKind.SERVER, self._end, job)

    def _end(self, job: Job) -> None:
        if not self.up:
            return
        self.free += 1
        if not self.silent and not job.dropped:
            job.done(Status.OK)
        while self.free and self.waiting:
            following = self.waiting.popleft()
            if not following.dropped:
                self._begin(following)

    def drop(self, job: Job) -> None:
        """The gateway gave it up: waiting work is dropped, running work goes on."""
        job.dropped = True

    def held(self) -> int:
        return self.plan.cores - self.free + sum(not job.dropped for job in self.waiting)
