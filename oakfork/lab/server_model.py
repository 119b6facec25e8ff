"""Simulated servers: cores, a bounded queue, a cold start, and injected faults."""

from collections import deque
from dataclasses import dataclass, field
from typing import Callable

from oakfork.interface import Status
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.lab.world_config import ServerConfig


@dataclass(slots=True)
class Job:
    """One call-out at a server. `began` is called when it starts to run, `done` with its status when it ends."""

    work: float  # tenths of a millisecond of one core of a warm server
    began: Callable[[], None]
    done: Callable[[Status], None]
    dropped: bool = False


@dataclass(slots=True)
class Server:
    """One server process; after a restart another `Server` has the same number."""

    number: int
    zone: int
    cell: int
    since: int  # start time in tenths of a millisecond; 0: warm from the beginning
    config: ServerConfig
    loop: EventLoop
    up: bool = True
    silent: bool = False  # accepts work and never answers
    cut: bool = False  # unreachable, with its connections left open
    slow: float = 1.0  # factor on the time that work takes
    fails: float = 0.0  # fraction of call-outs that end with an error at once
    draining: bool = False
    free_cores: int = 0
    connections: int = 0
    busy: float = 0.0  # core time spent, tenths of a millisecond
    queue: deque[Job] = field(default_factory=deque)  # at most config.queue_length

    def __post_init__(self) -> None:
        """Starts with all cores free."""
        self.free_cores = self.config.cores

    def warmth(self, now: int) -> float:
        """The fraction of its full speed that the server has now: rises linearly from the cold share to 1."""
        if not self.is_cold(now):
            return 1.0
        return self.config.cold_share + (1 - self.config.cold_share) * (now - self.since) / self.config.cold_time

    def is_cold(self, now: int) -> bool:
        """Whether the server started less than its cold time ago."""
        return bool(self.since) and now < self.since + self.config.cold_time

    def submit(self, job: Job) -> bool:
        """Runs or queues a job; returns False if the queue is full."""
        if self.free_cores:
            self._begin(job)
        elif len(self.queue) < self.config.queue_length:
            self.queue.append(job)
        else:
            return False
        return True

    def _begin(self, job: Job) -> None:
        self.free_cores -= 1
        job.began()
        duration = max(1, round(job.work * self.slow / self.warmth(self.loop.now)))
        self.busy += duration
        self.loop.after(duration, EventKind.SERVER, self._end, job)

    def _end(self, job: Job) -> None:
        if not self.up:
            return
        self.free_cores += 1
        if not self.silent and not job.dropped:
            job.done(Status.OK)
        while self.free_cores and self.queue:
            following = self.queue.popleft()
            if not following.dropped:
                self._begin(following)

    def drop(self, job: Job) -> None:
        """Cancels a job for its gateway: queued work is dropped, running work continues without an answer."""
        job.dropped = True

    def jobs(self) -> int:
        """The number of jobs that run or wait, without dropped ones in the queue."""
        return self.config.cores - self.free_cores + sum(not job.dropped for job in self.queue)
