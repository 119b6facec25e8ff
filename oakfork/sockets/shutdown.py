"""The time limits of a shutdown, counted from SIGTERM."""

import math

import trio

ACCEPT_AFTER_SIGTERM = 0.6  # seconds in which new connections are still accepted; clients open some for 0.4 s
MIN_DRAIN_TIME = 3.0  # seconds from SIGTERM for which RPCs are waited for, even if all deadlines are shorter
# By the protocol SIGKILL comes no sooner than the longest deadline, of which at most MAX_COUNTED_DEADLINE counts, and
# SHUTDOWN_MARGIN after SIGTERM. What it finds unanswered is lost if it came later than SHUTDOWN_MARGIN after SIGTERM.
MAX_COUNTED_DEADLINE = 3.0  # seconds
SHUTDOWN_MARGIN = 0.7  # seconds
# Seconds by which the gateway may be late in handling the signal or in writing an answer; it may be held up for 0.15.
MAX_DELAY = 0.2
# Seconds before the end of the process at which whatever is still open is answered, so that the bytes can leave.
LAST_ANSWERS_TIME = 0.1


class Shutdown:
    """A shutdown that begins when this is created. Deadlines are seconds, points in time are on trio's clock."""

    def __init__(self, longest_deadline: float) -> None:
        self.began_at = trio.current_time()
        self.end = self.began_at + max(MIN_DRAIN_TIME, longest_deadline) + SHUTDOWN_MARGIN  # of the process
        self.kill_at = self.began_at + min(MAX_COUNTED_DEADLINE, longest_deadline) + SHUTDOWN_MARGIN  # the earliest

    def latest_answer(self) -> float:
        """Until when an RPC that is read now has to be answered.

        One that is read early may use its whole time: the process waits for it.
        """
        if trio.current_time() <= self.began_at + SHUTDOWN_MARGIN - MAX_DELAY:
            return math.inf
        return self.kill_at - MAX_DELAY
