"""What a publisher or relay tells operators: JSON, docs/control.md has each key. Pure."""

from typing import Any

import msgspec

from oakfork.control.follower_server import Feeder
from oakfork.control.messages import Position

NAMED = 256  # of those behind, and of those gone, the worst; a frame holds that with names of any allowed length


def status(now: int, feeder: Feeder, **more: Any) -> bytes:
    """`more`: what only the one has whose status it is. Times are milliseconds."""
    roster, mine = feeder.roster, feeder.position
    everywhere = roster.everywhere(mine)
    behind, others = roster.behind(now, mine, NAMED)
    gone = list(roster.gone.items())
    return msgspec.json.encode(
        {
            "who": feeder.who,
            "position": mine,
            "age_ms": feeder.age(now),
            "everywhere": everywhere == mine,
            "everywhere_position": everywhere,
            "connected": len(roster.names),
            "links": len(feeder.links),
            "behind": [{"who": one.who, "position": one.position, "for_ms": one.since} for one in behind],
            "others_behind": others,
            "gone": [{"who": who, "followed": followed, "for_ms": now - at} for who, (at, followed) in gone[:NAMED]],
            "others_gone": max(0, len(gone) - NAMED),
            "left_out": roster.left_out,
            "higher_term": feeder.higher or None,
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
