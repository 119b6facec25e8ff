"""Indices of the zones that lists of servers name."""

from typing import Any, Mapping

MAX_UNNAMED_ZONES = 1024  # zones that get an index of their own though the settings do not name them


class ZoneIndices:
    """The indices of zones by their names: those of the settings, and further ones in the order in which they come.

    Guards against a mark of a deduplicated RPC that runs in two zones: two zones never have one index. A server without
    a zone is in the first one, as is one that is removed.
    """

    def __init__(self, named: Mapping[str, int]) -> None:
        self.named = named
        self.unnamed: dict[Any, int] = {}

    def index_of(self, zone: Any) -> int | None:
        """The index of a zone; None if there are too many that the settings do not name."""
        if zone is None:
            return 0
        if zone in self.named:
            return self.named[zone]
        if zone not in self.unnamed:
            if len(self.unnamed) >= MAX_UNNAMED_ZONES:
                return None
            self.unnamed[zone] = len(self.named) + len(self.unnamed)
        return self.unnamed[zone]
