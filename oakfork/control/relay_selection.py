"""Chooses which relay a follower follows, and when it tries another one. No I/O.

Relays are tried in turn; after all were tried in vain there is a pause. The first one is preferred: a follower of
another relay returns to it after a while.
"""

from typing import Sequence

# Durations in milliseconds
STALE_AGE = 10_000  # without contact between upstream and publisher, until another relay is tried
MAX_STALE_WAIT = 60_000  # between such tries; the wait doubles from STALE_AGE up to this
MIN_PAUSE = 250  # after all relays were tried in vain; doubles up to MAX_PAUSE
MAX_PAUSE = 4_000
PREFERRED_RETRY = 60_000  # at another relay than the first, until that is tried; doubles while it fails
MAX_PREFERRED_RETRY = 960_000

RANDOM_MASK = (1 << 64) - 1


class RelaySelection:
    """The relays, at least one HOST:PORT, and the one in use. `seed` determines the random part of waits."""

    def __init__(self, relays: Sequence[str], seed: int) -> None:
        self.relays = relays
        self.random_state = seed & RANDOM_MASK
        self.index = 0  # of the relay in use
        self.vain_tries = 0  # relays left in a row without progress
        self.stale_wait = STALE_AGE
        self.stale_at = 0  # the relay isn't left as stale earlier
        self.preferred_wait = PREFERRED_RETRY
        self.preferred_at = 0  # when the preferred relay is tried
        self.trying_preferred = False  # another relay was left for the preferred one, and no heartbeat received yet

    @property
    def current(self) -> str:
        """The relay in use."""
        return self.relays[self.index]

    def switch(self, now: int, reason: str) -> int:
        """Goes on to the next relay, or to the preferred one for reason "home"; returns when to connect to it."""
        if reason == "stale":
            self.stale_wait = min(2 * self.stale_wait, MAX_STALE_WAIT)
        self.vain_tries += 1
        self.index = (self.index + 1) % len(self.relays)
        self.trying_preferred = False
        if reason == "home":
            # Without this, detours would stay: after all relays were restarted in turn, most gateways would follow the
            # few that came back last, and relays would follow one another in a chain though the publisher is back.
            self.index = 0
            self.trying_preferred = True
            self.preferred_wait = min(2 * self.preferred_wait, MAX_PREFERRED_RETRY)
        rounds, tries_in_round = divmod(self.vain_tries, len(self.relays))
        if tries_in_round:
            return now
        pause = min(MIN_PAUSE << min(rounds - 1, 16), MAX_PAUSE)
        return now + pause // 2 + self._random(pause // 2)

    def welcomed(self, now: int) -> None:
        """The relay has accepted the connection."""
        # Between one and two waits, so that followers that lost the publisher together don't all switch together.
        self.stale_at = now + self.stale_wait + self._random(self.stale_wait)
        self.preferred_at = now + self.preferred_wait + self._random(self.preferred_wait)

    def heartbeat(self) -> bool:
        """The relay has sent a heartbeat; returns whether it is the first one of a try of the preferred relay."""
        trying_preferred = self.trying_preferred
        self.trying_preferred = False
        return trying_preferred

    def progressed(self) -> None:
        """The relay has led to a new state."""
        self.vain_tries = 0

    def fresh(self) -> None:
        """The state in force is not stale."""
        self.stale_wait = STALE_AGE

    def up_to_date(self) -> None:
        """The follower has been connected for a while and has the relay's position in force."""
        self.vain_tries = 0
        if not self.index:
            self.preferred_wait = PREFERRED_RETRY

    def _random(self, limit: int) -> int:
        """A pseudo-random number from 0 up to `limit`, exclusive, by Knuth's linear congruential generator MMIX."""
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) & RANDOM_MASK
        return (self.random_state >> 33) % limit
