"""The publisher's SQLite database: a snapshot of the state in force, and a log of the latest change sets.

Each change set is one transaction, on the disk before the change set comes into force (WAL, synchronous=FULL), so a
kill at any moment leaves all of it or nothing. The log is compacted into the snapshot step by step, and a bounded
number of change set ids is kept. Each log entry and the snapshot carry the digest of their state, which is verified on
opening; a damaged file is refused. A database is used by one publisher at a time. All calls wait for the disk, so make
them in a worker thread.
"""

from pathlib import Path
from typing import NamedTuple, Sequence

import msgspec

from oakfork.control.messages import Kind, Position, Row
from oakfork.control.sqlite_file import SqliteFile
from oakfork.control.state import Records, as_changes, total_digest, updated_sums
from oakfork.errors import DatabaseError

MAX_LOG_SETS = 4096  # change sets in the log; beyond this or MAX_LOG_ROWS the oldest are compacted
MAX_LOG_ROWS = 65_536  # rows in the log
SETS_PER_COMPACTION = 64  # change sets in one transaction
MAX_IDS = 65_536  # of change sets; the oldest are dropped
IDS_DROPPED_AT_ONCE = 64  # in one transaction
DIGEST_SIGN_BIT = 1 << 63  # digests are unsigned 64-bit integers, SQLite's integers are signed

TABLES = """
CREATE TABLE kept (key TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE log (term INTEGER, number INTEGER, id TEXT NOT NULL, digest INTEGER NOT NULL, size INTEGER NOT NULL,
                  rows BLOB NOT NULL, PRIMARY KEY (term, number));
CREATE TABLE ids (id TEXT PRIMARY KEY, term INTEGER NOT NULL, number INTEGER NOT NULL) WITHOUT ROWID;
CREATE INDEX ids_by_age ON ids (term, number);
CREATE TABLE snapshot (kind INTEGER, name TEXT, value BLOB NOT NULL, PRIMARY KEY (kind, name)) WITHOUT ROWID;
"""
# The terms that were begun since the last change set was stored. Databases of the release before lack it.
BEGUN_TABLE = "CREATE TABLE IF NOT EXISTS begun (term INTEGER PRIMARY KEY)"
MAX_BEGUN_TERMS = 256  # the lowest are dropped
KEPT_KEYS = ("term", "snapshot_term", "snapshot_number", "snapshot_digest", "last_term", "last_number")
SNAPSHOT_KEYS = KEPT_KEYS[1:4]
LAST_KEYS = KEPT_KEYS[4:]

_rows_decoder = msgspec.msgpack.Decoder(tuple[Row, ...])


class Entry(NamedTuple):
    """A change set of the log: `before` is the previous position, `digest` that of the whole resulting state."""

    before: Position
    position: Position
    id: str
    digest: int
    rows: tuple[Row, ...]


class Loaded(NamedTuple):
    """What a publisher starts from: the state, the log that led to it, and the ids that are kept, oldest first."""

    position: Position
    records: Records
    entries: list[Entry]
    ids: dict[str, Position]


def _signed(digest: int) -> int:
    return digest - 2 * DIGEST_SIGN_BIT if digest >= DIGEST_SIGN_BIT else digest


def _unsigned(digest: int) -> int:
    return digest % (2 * DIGEST_SIGN_BIT)


class Database(SqliteFile):
    """A database opened for one publisher. The caller may take over `loaded` and set it to None."""

    APPLICATION_ID = 0x6F616B66  # "oakf"
    SCHEMA_VERSION = 1
    OWNER = "publisher"

    def __init__(self, path: str | Path, max_log_sets: int = MAX_LOG_SETS, max_ids: int = MAX_IDS) -> None:
        self.max_log_sets = max_log_sets
        self.max_ids = max_ids
        super().__init__(path)

    def _load(self) -> None:
        self.connection.execute(BEGUN_TABLE)
        self.loaded: Loaded | None = self._read()
        self.position = self.loaded.position

    def _create_tables(self) -> None:
        for statement in TABLES.split(";"):
            self.connection.execute(statement)
        self.connection.executemany("INSERT INTO kept VALUES (?, 0)", [(key,) for key in KEPT_KEYS])

    def _kept(self, key: str) -> int:
        value = self._one("SELECT value FROM kept WHERE key = ?", key)
        if not isinstance(value, int):
            raise DatabaseError(f"{self.path}: damaged: no value for {key!r}")
        return value

    @property
    def term(self) -> int:
        """The last term begun."""
        return self._kept("term")

    @property
    def begun_terms(self) -> tuple[int, ...]:
        """The terms begun since the last change set was stored: the first position of each is the state as it is."""
        rows = self.connection.execute("SELECT term FROM begun").fetchall()
        return (self.term, *(term for (term,) in rows))

    def _read(self) -> Loaded:
        """Reads the snapshot, applies the log to it and verifies the digests."""
        position = Position(self._kept("snapshot_term"), self._kept("snapshot_number"))
        store = Records()
        entries = []
        changes = {(Kind(kind), name): value for kind, name, value in self.connection.execute("SELECT * FROM snapshot")}
        store.commit(changes, updated_sums(store, changes))
        self._verify(store, self._kept("snapshot_digest"), position)
        for term, number, id, digest, rows in self.connection.execute(
            "SELECT term, number, id, digest, rows FROM log ORDER BY term, number"
        ):
            entry = Entry(position, Position(term, number), id, _unsigned(digest), _rows_decoder.decode(rows))
            changes = as_changes(entry.rows)
            store.commit(changes, updated_sums(store, changes))
            position = entry.position
            entries.append(entry)
            self._verify(store, digest, position)
        store.compact()
        if position != (self._kept("last_term"), self._kept("last_number")) or position.term > self.term:
            raise DatabaseError(f"{self.path}: damaged: the log does not end at the last position stored")
        ids = self.connection.execute("SELECT id, term, number FROM ids ORDER BY term, number")
        return Loaded(position, store, entries, {id: Position(term, number) for id, term, number in ids})

    def _verify(self, store: Records, digest: int, position: Position) -> None:
        if _signed(total_digest(store.sums)) != digest:
            raise DatabaseError(
                f"{self.path}: damaged: the records at {position.term}.{position.number} do not "
                "have the digest that was stored"
            )

    def begin_term(self, above: int = 0, beyond: int = 0) -> int:
        """Begins a term above the last one and above `above`; durable when this returns.

        It is the next one but `beyond`, a random number by which the terms of two copies of a database differ.
        """
        with self._transaction():
            term = max(self.term, above) + 1 + beyond
            self.connection.execute("UPDATE kept SET value = ? WHERE key = 'term'", (term,))
            self.connection.execute("INSERT OR IGNORE INTO begun VALUES (?)", (term,))
            self.connection.execute(
                "DELETE FROM begun WHERE term IN (SELECT term FROM begun ORDER BY term DESC LIMIT -1 OFFSET ?)",
                (MAX_BEGUN_TERMS,),
            )
        return term

    def position_of(self, id: str) -> Position | None:
        """The position of a change set in force, None once its id is dropped."""
        row = self.connection.execute("SELECT term, number FROM ids WHERE id = ?", (id,)).fetchone()
        return Position(*row) if row else None

    def commit(self, position: Position, id: str, rows: Sequence[Row], digest: int) -> None:
        """Stores a change set, durable when this returns. `digest` is that of the whole resulting state.

        Repeating a call after an error stores the change set once.
        """
        with self._transaction():
            if self.position_of(id) == position:  # stored by a call that failed after its commit
                self.position = position
                return
            if position <= self.position:
                raise DatabaseError(
                    f"{self.path}: position {position.term}.{position.number} is not above the last one stored"
                )
            self.connection.execute(
                "INSERT INTO log VALUES (?, ?, ?, ?, ?, ?)",
                (*position, id, _signed(digest), len(rows), msgspec.msgpack.encode(tuple(rows))),
            )
            self.connection.execute("INSERT OR REPLACE INTO ids VALUES (?, ?, ?)", (id, *position))
            self.connection.execute("DELETE FROM begun")
            self.connection.execute(
                "DELETE FROM ids WHERE id IN (SELECT id FROM ids ORDER BY term DESC, number DESC LIMIT ? OFFSET ?)",
                (IDS_DROPPED_AT_ONCE, self.max_ids),
            )
            self.connection.executemany(
                "UPDATE kept SET value = ? WHERE key = ?", zip(position, LAST_KEYS, strict=True)
            )
        self.position = position

    def uncommit(self, position: Position) -> None:
        """Removes the change set at a position, which must be the last one of the log; durable when this returns.
        Repeating a call has no effect."""
        with self._transaction():
            if self.position < position:
                return
            last = self.connection.execute(
                "SELECT term, number FROM log ORDER BY term DESC, number DESC LIMIT 2"
            ).fetchall()
            if self.position != position or not last or last[0] != tuple(position):
                raise DatabaseError(
                    f"{self.path}: position {position.term}.{position.number} is not the last one of the log"
                )
            before = last[1] if len(last) > 1 else (self._kept("snapshot_term"), self._kept("snapshot_number"))
            self.connection.execute("DELETE FROM log WHERE term = ? AND number = ?", position)
            self.connection.execute("DELETE FROM ids WHERE term = ? AND number = ?", position)
            self.connection.executemany("UPDATE kept SET value = ? WHERE key = ?", zip(before, LAST_KEYS, strict=True))
        self.position = Position(*before)

    def compact(self) -> bool:
        """Moves some of the oldest change sets of a log that is too long into the snapshot; returns whether it is still
        too long."""
        with self._transaction():
            count = self._excess_sets()
            if not count:
                return False
            oldest = self.connection.execute(
                "SELECT term, number, digest, rows FROM log ORDER BY term, number LIMIT ?", (count,)
            ).fetchall()
            for _, _, _, packed_rows in oldest:
                rows = _rows_decoder.decode(packed_rows)
                self.connection.executemany(
                    "DELETE FROM snapshot WHERE kind = ? AND name = ?",
                    [(row.kind, row.name) for row in rows if row.value is None],
                )
                self.connection.executemany(
                    "INSERT OR REPLACE INTO snapshot VALUES (?, ?, ?)",
                    [tuple(row) for row in rows if row.value is not None],
                )
            term, number, digest, _ = oldest[-1]
            self.connection.executemany(
                "UPDATE kept SET value = ? WHERE key = ?", zip((term, number, digest), SNAPSHOT_KEYS, strict=True)
            )
            self.connection.execute("DELETE FROM log WHERE (term, number) <= (?, ?)", (term, number))
            return self._excess_sets() > 0

    def _excess_sets(self) -> int:
        """The number of change sets to compact now: those beyond `max_log_sets`, or one if there are too many rows."""
        count, size = self.connection.execute("SELECT count(*), coalesce(sum(size), 0) FROM log").fetchone()
        too_many_rows = size > MAX_LOG_ROWS and count > 1
        return min(SETS_PER_COMPACTION, max(count - self.max_log_sets, int(too_many_rows)))
