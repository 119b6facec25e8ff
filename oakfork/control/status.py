"""What a publisher or relay tells operators: JSON, docs/control.md has each key. Pure."""

from typing import Any

import msgspec

from oakfork.control.follower_server import FollowerServer
from oakfork.control.messages import Position

NAMED = 256  # of those behind, and of those gone, the worst; a frame holds that with names of any allowed length


def status(now: int, follower_server: FollowerServer, **more: Any) -> bytes:
    """`more`: what only the one has whose status it is. Times are milliseconds."""
    registry, mine = follower_server.registry, follower_server.position
    everywhere = registry.everywhere(mine)
    behind, others = registry.behind(now, mine, NAMED)
    gone = list(registry.gone.items())
    return msgspec.json.encode(
        {
            "who": follower_server.who,
            "position": mine,
            "age_ms": follower_server.age(now),
            "everywhere": everywhere == mine,
            "everywhere_position": everywhere,
            "connected": len(registry.names),
            "links": len(follower_server.links),
            "behind": [{"who": one.who, "position": one.position, "for_ms": one.since} for one in behind],
            "others_behind": others,
            "gone": [{"who": who, "followed": followed, "for_ms": now - at} for who, (at, followed) in gone[:NAMED]],
            "others_gone": max(0, len(gone) - NAMED),
            "left_out": registry.left_out,
            "higher_term": follower_server.higher or None,
            **more,
        }
    )


class _Told(msgspec.Struct):
    position: Position


def term_of(told: bytes) -> int:
    """Of whose status that is; 0 where it can't be read."""
    try:
        return msgspec.json.decode(told, type=_Told).position.term
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError):
        return 0
