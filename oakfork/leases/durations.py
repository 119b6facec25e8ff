"""The durations of a lease, and bounds on them across clocks. Times are whole tenths of a millisecond.

Two clocks may differ in rate: each runs between 1 - drift/1000 and 1 + drift/1000 of true time. So what one machine
counts as `n` may be n * (1000 + drift) / (1000 - drift) on another, at most.
"""

from typing import NamedTuple

PER_MILLE = 1000
# A clock reply is stale once the drift since may put the end of an act one part in this many of an act too early.
ACT_PARTS_PER_CLOCK_ERROR = 8


class LeaseDurations(NamedTuple):
    """What the fleet file says of leases."""

    lease: int  # counted by the holder from the start of the round that got it
    drift: int  # per mille; 0 to 200
    act: int  # within which one act ends
    longest: int  # lease that this revision of the fleet file or the one before it allows

    def upper_bound(self, time: int) -> int:
        """What this clock counts at most while any other clock counts `time`; rounded up."""
        return -(-time * (PER_MILLE + self.drift) // (PER_MILLE - self.drift))

    def lower_bound(self, time: int) -> int:
        """What any other clock counts at least while this one counts `time`; rounded down, never below 0."""
        return max(0, time) * (PER_MILLE - self.drift) // (PER_MILLE + self.drift)

    @property
    def renewal_interval(self) -> int:
        """From the start of one round to the next: a third of the lease, so that one lost round costs no lease."""
        return max(1, self.lease // 3)

    @property
    def stale(self) -> int:
        """The age from which another machine's clock is asked for again.

        By then the end of an act, converted to that clock, may come an eighth of an act early, because the conversion
        counts the time since the reply at the slowest rate over the fastest: twice the drift.
        """
        return self.act * PER_MILLE // (2 * ACT_PARTS_PER_CLOCK_ERROR * max(1, self.drift))

    @property
    def round_timeout(self) -> int:
        """How long a round waits for answers: half of the renewal interval."""
        return max(1, self.lease // 6)
