"""The status that a publisher or relay reports to operators: JSON, described in docs/control.md. No I/O."""

from typing import Any

import msgspec

from oakfork.control.follower_server import FollowerServer
from oakfork.control.messages import Position

# Followers named among those behind, furthest behind first, and among those gone, longest gone first. A frame holds
# these with names of any allowed length.
MAX_NAMED_FOLLOWERS = 256


def status(now: int, follower_server: FollowerServer, **additions: Any) -> bytes:
    """The status as JSON; `additions` are keys that only this kind of process has. Times are in milliseconds."""
    registry = follower_server.registry
    own_position = follower_server.position
    everywhere = registry.everywhere(own_position)
    behind, others_behind = registry.behind(now, own_position, MAX_NAMED_FOLLOWERS)
    gone = list(registry.gone.items())
    return msgspec.json.encode(
        {
            "who": follower_server.name,
            "position": own_position,
            "age_ms": follower_server.age(now),
            "everywhere": everywhere == own_position,
            "everywhere_position": everywhere,
            "connected": len(registry.names),
            "links": len(follower_server.sessions),
            "behind": [
                {"who": follower.name, "position": follower.position, "for_ms": follower.behind_ms}
                for follower in behind
            ],
            "others_behind": others_behind,
            "gone": [
                {"who": name, "followed": followed, "for_ms": now - since}
                for name, (since, followed) in gone[:MAX_NAMED_FOLLOWERS]
            ],
            "others_gone": max(0, len(gone) - MAX_NAMED_FOLLOWERS),
            "left_out": registry.left_out,
            "higher_term": follower_server.higher_term or None,
            **additions,
        }
    )


class _StatusPosition(msgspec.Struct):
    """The only key of a status that `term_of` needs."""

    position: Position


def term_of(document: bytes) -> int:
    """The term of the process that a status is of; 0 if the status can't be read."""
    try:
        return msgspec.json.decode(document, type=_StatusPosition).position.term
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError):
        return 0
