"""Zones and addresses of listed servers: the indices of zones, and which server listens at each address."""

from typing import Any, Mapping, Sequence

from oakfork.interface import ServerEntry, ServerState
from oakfork.sockets.configuration import Address

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


class ServerAddresses:
    """The holder of each address in the list of servers: of two that name one address, that which started last.

    Guards against work for a server that has gone, which another process would get: in another group it would not
    recognise a repeated RPC, and what it is sent would not count as sent to a cold server. The tables are no larger
    than the list.
    """

    def __init__(self) -> None:
        self.holders: dict[Address, int] = {}  # the index of the server at each address
        self.listed: dict[int, tuple[Address, ServerEntry]] = {}  # by index, those that are not gone

    def update(
        self, complete: bool, rows: Sequence[tuple[Address, ServerEntry]]
    ) -> tuple[tuple[ServerEntry, ...], list[int]]:
        """Takes up a list or a change of it.

        Returns its entries, in which servers whose address another one has count as gone, with such as the change does
        not name behind them, and the indices of the servers that lost their address now.
        """
        if complete:
            self.holders.clear()
            self.listed.clear()
        last_rows = {entry.server: (address, entry) for address, entry in rows}  # a list may name a server twice
        entries = {server: entry for server, (_, entry) in last_rows.items()}
        for server in entries:
            self._release(server)
        displaced = []
        for address, entry in last_rows.values():
            if entry.state == ServerState.GONE:
                continue
            loser = self._claim(address, entry)
            if loser is not None:
                displaced.append(loser.server)
                entries[loser.server] = loser._replace(state=ServerState.GONE)
        return tuple(entries.values()), displaced

    def _release(self, server: int) -> None:
        """Forgets a server, whose address may have changed."""
        address, _ = self.listed.pop(server, (None, None))
        if self.holders.get(address) == server:
            del self.holders[address]

    def _claim(self, address: Address, entry: ServerEntry) -> ServerEntry | None:
        """Gives a server its address unless a younger one has it; returns the one that loses it, if one does."""
        holder = self.holders.get(address)
        other = None if holder is None else self.listed[holder][1]
        if other is not None and other.up_since > entry.up_since:
            return entry
        if other is not None:
            del self.listed[other.server]
        self.holders[address] = entry.server
        self.listed[entry.server] = address, entry
        return other
