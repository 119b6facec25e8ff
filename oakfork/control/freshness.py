"""Estimates how old the state in force is, from what the upstream says about itself and the publisher. No I/O."""

from oakfork.control.events import AGE_UNKNOWN
from oakfork.control.messages import Heartbeat, Position


class Freshness:
    """Times are in milliseconds of the machine's clock. The state starts at `position`, of unknown age."""

    def __init__(self, position: Position) -> None:
        self.upstream_position = position
        self.upstream_heard_at: int | None = None  # when the upstream last heard of the publisher
        self.fresh_at: int | None = None  # the state in force here is what the publisher had then, or is newer

    def age(self, now: int) -> int | None:
        """Milliseconds since the state in force was the publisher's, as far as is known; None if no publisher was ever
        heard of."""
        return None if self.fresh_at is None else max(0, now - self.fresh_at)

    def welcomed(self, position: Position) -> None:
        """Records the position of a new upstream."""
        self.upstream_position = position
        self.upstream_heard_at = None

    def heartbeat(self, now: int, heartbeat: Heartbeat) -> None:
        """Records the position of the upstream and the time of its last contact with the publisher."""
        self.upstream_position = heartbeat.position
        self.upstream_heard_at = None if heartbeat.age == AGE_UNKNOWN else now - heartbeat.age

    def update(self, position: Position) -> bool:
        """Updates `fresh_at` for the position in force; returns whether the upstream gives evidence of it."""
        if self.upstream_heard_at is None or self.upstream_position > position:
            return False
        known = self.upstream_heard_at if self.fresh_at is None else self.fresh_at
        self.fresh_at = max(known, self.upstream_heard_at)
        return True
