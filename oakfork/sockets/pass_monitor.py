"""Passes of the event loop: has the turns of clients renewed in each, and logs those that hold up all tasks."""

from typing import Sequence

import trio
from structlog.stdlib import BoundLogger

from oakfork.sockets.read_scheduler import ReadScheduler

LONG_PASS = 0.1  # seconds; an RPC needs several passes
LOG_INTERVAL = 10.0  # seconds between two log lines


class PassMonitor(trio.abc.Instrument):
    """Is called by the event loop at the begin and the end of each pass while `run` runs."""

    def __init__(self, schedulers: Sequence[ReadScheduler], log: BoundLogger) -> None:
        self.schedulers = schedulers
        self.log = log
        self.began_at = 0.0  # this pass
        self.long_passes = 0  # since the last log line
        self.longest = 0.0  # seconds, of these
        self.next_log_at = 0.0

    async def run(self) -> None:
        """Observes the event loop until cancelled."""
        self.began_at = trio.current_time()
        trio.lowlevel.add_instrument(self)
        try:
            await trio.sleep_forever()
        finally:
            trio.lowlevel.remove_instrument(self)

    def after_io_wait(self, timeout: float) -> None:
        """Begins a pass."""
        self.began_at = trio.current_time()
        for scheduler in self.schedulers:
            scheduler.begin_pass()

    def before_io_wait(self, timeout: float) -> None:
        """Ends a pass."""
        now = trio.current_time()
        duration = now - self.began_at
        if duration >= LONG_PASS:
            self._note(duration, now)

    def _note(self, duration: float, now: float) -> None:
        """Counts a long pass, and logs all since the last line unless that was within LOG_INTERVAL."""
        self.long_passes += 1
        self.longest = max(self.longest, duration)
        if now < self.next_log_at:
            return
        self.log.warning("event loop held up", passes=self.long_passes, longest_ms=round(self.longest * 1000))
        self.long_passes = 0
        self.longest = 0.0
        self.next_log_at = now + LOG_INTERVAL
