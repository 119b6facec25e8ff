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


class ClaimStatus(msgspec.Struct, frozen=True):
    """The part of a status that only a publisher has which starts and does not decide yet."""

    word: int  # the term up to which an operator lets it take over; 0: none
    mark: int  # a random number of this start
    yields_to: int  # the mark of another one that goes first; 0: none


class VoterStatus(msgspec.Struct, frozen=True):
    """The part of a status that only a relay has which votes."""

    incarnation: int  # of its file
    has_memory: bool  # false: its file is new, and no publisher has had it vote since
    term: int  # that it granted last
    mark: int  # of the publisher to which it granted it
    recorded: Position
    heard_ms: int | None  # since the last request of the publisher of that term; None: none since this relay started


class GrantStatus(msgspec.Struct, frozen=True):
    """The part of a status that only a publisher has whose file names voters."""

    voters: int
    answering: int  # that grant its term and have answered within the last seconds
    without_memory: int  # whose file is new, and which don't count yet
    later_term: int  # that one of them has granted; 0: none


class ReportedStatus(msgspec.Struct, frozen=True):
    """What publishers need of the status of another process; releases before this one have the first three keys."""

    position: Position
    higher_term: int | None = None
    phase: str | None = None  # of a relay
    deciding: bool | None = None  # of a publisher
    claim: ClaimStatus | None = None  # of a publisher that starts
    voter: VoterStatus | None = None  # of a relay that votes

    @property
    def known_term(self) -> int:
        """The highest term that the process knows of."""
        return max(self.position.term, self.higher_term or 0)

    @property
    def is_deciding(self) -> bool:
        """Whether it is a publisher that accepts change sets."""
        if self.deciding is None:
            return self.phase is None and self.higher_term is None
        return self.deciding


_reported_status_decoder = msgspec.json.Decoder(ReportedStatus)


def reported_status(document: bytes) -> ReportedStatus | None:
    """The status of another process; None if it can't be read."""
    try:
        return _reported_status_decoder.decode(document)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError):
        return None
