"""Finds contradictions between a change set and the state in force, without going through the whole state."""

from collections import Counter
from typing import Any, Mapping, Sequence

from oakfork.control import records
from oakfork.control.change_schema import PLURALS, bounded
from oakfork.control.messages import Kind, Row
from oakfork.control.state import Records

REFERRING_KINDS = (Kind.SERVER, Kind.ROUTE)  # kinds whose records name a service


class StateIndex:
    """Maps services to the number of records that name them, and addresses and route matches to their records.

    Built once from a state and updated with each change set in force. Its size is of the order of the state's.
    """

    def __init__(self, store: Records) -> None:
        self.store = store
        # The service and the unique match (see `_unique_match`) of each server and route.
        self.known: dict[tuple[Kind, str], tuple[str, Any]] = {}
        self.service_users: Counter[str] = Counter()  # service -> number of servers and routes that name it
        self.owners: dict[tuple[Kind, Any], str] = {}  # unique match -> the server or route that has it
        for kind in REFERRING_KINDS:
            for name in store.all_names(kind):
                self._add(kind, name, store.value(kind, name) or b"")

    def _add(self, kind: Kind, name: str, value: bytes) -> None:
        record = records.unpack(kind, value)
        if record is not None:
            match = _unique_match(record)
            self.known[kind, name] = (record.service, match)
            self.service_users[record.service] += 1
            self.owners[kind, match] = name

    def _remove(self, kind: Kind, name: str) -> None:
        known = self.known.pop((kind, name), None)
        if known is None:
            return
        service, match = known
        self.service_users[service] -= 1
        if self.service_users[service] <= 0:
            del self.service_users[service]
        if self.owners.get((kind, match)) == name:
            del self.owners[kind, match]

    def in_force(self, changes: Mapping[tuple[Kind, str], bytes | None]) -> None:
        """Updates the index after a change set has come into force."""
        changed = [key for key in changes if key[0] in REFERRING_KINDS]
        for kind, name in changed:
            self._remove(kind, name)
        for kind, name in changed:
            value = changes[kind, name]
            if value is not None:
                self._add(kind, name, value)

    def contradictions(self, rows: Sequence[Row]) -> list[str]:
        """Contradictions of rows, in the order of `change_schema.parse`, with the state and with one another; each is
        reported with its path in the change file."""
        paths = _paths(rows)
        faults = []
        first_numbers: dict[tuple[Kind, str], int] = {}
        for number, row in enumerate(rows):
            first = first_numbers.setdefault((row.kind, row.name), number)
            if first != number:
                put_and_dropped = (rows[first].value is None) != (row.value is None)
                problem = "put and dropped" if put_and_dropped else "listed twice"
                faults.append(f"{paths[number]}: {row.name!r} is {problem} in this change set")
            elif row.value is None and self.store.value(row.kind, row.name) is None:
                faults.append(f"{paths[number]}: {row.name!r} does not exist")
        return bounded(faults or self._service_faults(rows, paths) + self._duplicate_faults(rows, paths))

    def _service_faults(self, rows: Sequence[Row], paths: Sequence[str]) -> list[str]:
        """Servers and routes of a service that would not exist, and dropped services that some would still name."""
        faults = []
        user_changes: Counter[str] = Counter()  # service -> change in the number of records that name it
        put = {row.name for row in rows if row.kind is Kind.SERVICE and row.value is not None}
        dropped = {
            row.name: path
            for row, path in zip(rows, paths, strict=True)
            if row.kind is Kind.SERVICE and row.value is None
        }
        for row, path in zip(rows, paths, strict=True):
            if row.kind not in REFERRING_KINDS:
                continue
            known = self.known.get((row.kind, row.name))
            if known is not None:
                user_changes[known[0]] -= 1
            if row.value is None:
                continue
            service = records.unpack(row.kind, row.value).service
            user_changes[service] += 1
            if service not in put and (service in dropped or self.store.value(Kind.SERVICE, service) is None):
                faults.append(f"{path}.service: service {service!r} would not exist")
        for service, path in dropped.items():
            users = self.service_users[service] + user_changes[service]
            if users > 0:
                faults.append(f"{path}: {users} servers and routes would still name service {service!r}")
        return faults

    def _duplicate_faults(self, rows: Sequence[Row], paths: Sequence[str]) -> list[str]:
        """Two servers at one address, and two routes with the same host, prefix and method."""
        faults: list[str] = []
        changed = {(row.kind, row.name) for row in rows}
        new_owners: dict[tuple[Kind, Any], str] = {}
        for row, path in zip(rows, paths, strict=True):
            if row.kind not in REFERRING_KINDS or row.value is None:
                continue
            match = _unique_match(records.unpack(row.kind, row.value))
            owner = self.owners.get((row.kind, match))
            if owner is not None and (row.kind, owner) in changed:
                owner = None  # dropped, or put again by this change set and then checked itself
            if owner is None:
                owner = new_owners.setdefault((row.kind, match), row.name)
            if owner == row.name:
                continue
            if row.kind is Kind.SERVER:
                faults.append(f"{path}.addr: server {owner!r} has this address")
            else:
                faults.append(f"{path}: route {owner!r} has the same host, prefix and method")
        return faults


def _unique_match(record: Any) -> Any:
    """What no two records of a kind share: a server's address, a route's host, prefix and method."""
    if isinstance(record, records.Server):
        return record.addr
    return record.host, record.prefix, record.method


def _paths(rows: Sequence[Row]) -> list[str]:
    """The path of each row in the change file."""
    counts: Counter[tuple[str, Kind]] = Counter()
    paths = []
    for row in rows:
        section = "drop" if row.value is None else "put"
        paths.append(f"{section}.{PLURALS[row.kind]}[{counts[section, row.kind]}]")
        counts[section, row.kind] += 1
    return paths


def contradictions(store: Records, rows: Sequence[Row], index: StateIndex | None = None) -> list[str]:
    """As StateIndex.contradictions; without an index, builds one from the whole state for this call."""
    return (index or StateIndex(store)).contradictions(rows)
