"""The publisher's SQLite database: a snapshot of the state in force, and a log of the latest change sets.

Each change set is one transaction, on the disk before the change set comes into force (WAL, synchronous=FULL), so a
kill at any moment leaves all of it or nothing. The log is compacted into the snapshot step by step, and a bounded
number of change set ids is kept. Each log entry and the snapshot carry the digest of their state, which is verified on
opening; a damaged file is refused. A database is used by one publisher at a time. All calls wait for the disk, so make
them in a worker thread.
"""

import sqlite3
import threading
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Iterator, NamedTuple, Sequence

import msgspec

from oakfork.control.messages import Kind, Position, Row
from oakfork.control.state import Records, as_changes, total_digest, updated_sums
from oakfork.errors import DatabaseError

APPLICATION_ID = 0x6F616B66  # "oakf"
SCHEMA_VERSION = 1  # stored as user_version
MAX_LOG_SETS = 4096  # change sets in the log; beyond this or MAX_LOG_ROWS the oldest are compacted
MAX_LOG_ROWS = 65_536  # rows in the log
SETS_PER_COMPACTION = 64  # change sets in one transaction
MAX_IDS = 65_536  # of change sets; the oldest are dropped
IDS_DROPPED_AT_ONCE = 64  # in one transaction
LOCK_TIMEOUT = 1.0  # seconds for another publisher to release the database
DIGEST_SIGN_BIT = 1 << 63  # digests are unsigned 64-bit integers, SQLite's integers are signed

TABLES = """
CREATE TABLE kept (key TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE log (term INTEGER, number INTEGER, id TEXT NOT NULL, digest INTEGER NOT NULL, size INTEGER NOT NULL,
                  rows BLOB NOT NULL, PRIMARY KEY (term, number));
CREATE TABLE ids (id TEXT PRIMARY KEY, term INTEGER NOT NULL, number INTEGER NOT NULL) WITHOUT ROWID;
CREATE INDEX ids_by_age ON ids (term, number);
CREATE TABLE snapshot (kind INTEGER, name TEXT, value BLOB NOT NULL, PRIMARY KEY (kind, name)) WITHOUT ROWID;
"""
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


class Database:
    """A database opened for one publisher.

    The caller may take over `loaded` and set it to None. All methods raise DatabaseError only. Except for `close`, only
    one thread may use it at a time.
    """

    def __init__(self, path: str | Path, max_log_sets: int = MAX_LOG_SETS, max_ids: int = MAX_IDS) -> None:
        self.path = path
        self.max_log_sets = max_log_sets
        self.max_ids = max_ids
        # Closing a connection while another thread executes a statement ends the process with SIGSEGV. With this lock,
        # closing waits for that transaction, and later ones are refused.
        self.lock = threading.Lock()
        self.connection: sqlite3.Connection | None = None
        try:
            self.connection = sqlite3.connect(path, timeout=LOCK_TIMEOUT, isolation_level=None, check_same_thread=False)
            self._open()
            self.loaded: Loaded | None = self._load()
            self.position = self.loaded.position
        except (sqlite3.Error, msgspec.MsgspecError, AttributeError, ValueError, TypeError, OverflowError) as error:
            self.close()
            raise DatabaseError(f"{path}: {error}") from None
        except DatabaseError:
            self.close()
            raise

    def _open(self) -> None:
        """Locks the file and checks that it is a publisher's or empty, before anything in it is changed."""
        identity = (self._one("PRAGMA application_id"), self._one("PRAGMA user_version"))
        empty = not self._one("SELECT count(*) FROM sqlite_master")
        if identity != (APPLICATION_ID, SCHEMA_VERSION) and not (empty and identity == (0, 0)):
            raise DatabaseError(f"{self.path}: not the database of a publisher of this version")
        self.connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        if self._one("PRAGMA journal_mode=WAL") != "wal":
            raise DatabaseError(f"{self.path}: its file system does not support a write-ahead log")
        self.connection.execute("PRAGMA synchronous=FULL")
        self.connection.execute("BEGIN IMMEDIATE")
        if empty:
            self._create_tables()
        self.connection.execute("COMMIT")
        if (found := self._one("PRAGMA quick_check(1)")) != "ok":
            raise DatabaseError(f"{self.path}: damaged: {found}")

    def _create_tables(self) -> None:
        for statement in TABLES.split(";"):
            self.connection.execute(statement)
        self.connection.executemany("INSERT INTO kept VALUES (?, 0)", [(key,) for key in KEPT_KEYS])
        self.connection.execute(f"PRAGMA application_id={APPLICATION_ID}")
        self.connection.execute(f"PRAGMA user_version={SCHEMA_VERSION}")

    def _one(self, statement: str, *values: object) -> object:
        row = self.connection.execute(statement, values).fetchone()
        return row[0] if row else None

    def _kept(self, key: str) -> int:
        value = self._one("SELECT value FROM kept WHERE key = ?", key)
        if not isinstance(value, int):
            raise DatabaseError(f"{self.path}: damaged: no value for {key!r}")
        return value

    @property
    def term(self) -> int:
        """The last term begun."""
        return self._kept("term")

    def _load(self) -> Loaded:
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

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """Commits what is executed inside, or rolls it back on any error."""
        with self.lock:
            if self.connection is None:
                raise DatabaseError(f"{self.path}: closed")
            try:
                self.connection.execute("BEGIN IMMEDIATE")
                yield
                self.connection.execute("COMMIT")
            except (sqlite3.Error, msgspec.MsgspecError) as error:
                raise DatabaseError(f"{self.path}: {error}") from None
            finally:
                with suppress(sqlite3.Error):
                    if self.connection.in_transaction:
                        self.connection.execute("ROLLBACK")

    def close(self) -> None:
        """Closes the database, after waiting for a transaction of another thread."""
        with self.lock:
            if self.connection is not None:
                self.connection.close()
                self.connection = None
