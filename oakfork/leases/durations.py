"""How long a lease lasts, on whose clock. Times are whole tenths of a millisecond.

Two clocks may differ in rate: each runs between 1 - drift/1000 and 1 + drift/1000 of true time. So what one machine
counts as `n` may be n * (1000 + drift) / (1000 - drift) on another, at most.
"""

from typing import NamedTuple


class LeaseDurations(NamedTuple):
    lease: int  # what a holder counts, from when it asked
    drift: int  # per mille; 0 to 200
    act: int  # the longest end of one act
    longest: int  # of the leases that this file or the one before it allows

    def stretched(self, time: int) -> int:
        """At least as long on this clock as `time` on any other, whatever their rates; rounded up."""
        return -(-time * (1000 + self.drift) // (1000 - self.drift))

    def shrunk(self, time: int) -> int:
        """At most as long on any other clock as `time` on this one; rounded down, never below 0."""
        return max(0, time) * (1000 - self.drift) // (1000 + self.drift)

    @property
    def renewal(self) -> int:
        """From one asking to the next: a third of the lease, so that one lost round costs no lease."""
        return max(1, self.lease // 3)

    @property
    def stale(self) -> int:
        """After that another's clock is asked for anew: by then an act's end there may have come an eighth of an act
        early, for it is counted at the slowest rate over the fastest."""
        return self.act * 1000 // (16 * max(1, self.drift))

    @property
    def patience(self) -> int:
        """For the answers to one round: half of what lies between two."""
        return max(1, self.lease // 6)
