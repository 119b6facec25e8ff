"""The publisher's database, sqlite3: what is in force, and the last change sets one by one.

One transaction a change set, on the disk before it is said to be in force (WAL, synchronous=FULL): a kill at any moment
leaves the whole of it or nothing. The log is folded into the snapshot by and by, the ids of change sets are kept for a
bounded number. Each entry and the snapshot carry the digest of their state, which opening checks: a damaged file is
refused, not believed. A database is one publisher's at a time. Everything here waits for the disk: call it in a thread.
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

MARK = 0x6F616B66  # application_id: "oakf"
EDITION = 1  # user_version
MOST_LOG = 4096  # change sets, and
MOST_LOG_ROWS = 65_536  # rows in the log; beyond either the oldest ones are folded
FOLDED_AT_ONCE = 64  # change sets a transaction
MOST_IDS = 65_536  # of change sets, the oldest go
PATIENCE = 1.0  # seconds for another publisher to end
SIGN = 1 << 63  # digests are unsigned, sqlite's integers are not

TABLES = """
CREATE TABLE kept (key TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE log (term INTEGER, number INTEGER, id TEXT NOT NULL, digest INTEGER NOT NULL, size INTEGER NOT NULL,
                  rows BLOB NOT NULL, PRIMARY KEY (term, number));
CREATE TABLE ids (id TEXT PRIMARY KEY, term INTEGER NOT NULL, number INTEGER NOT NULL) WITHOUT ROWID;
CREATE INDEX ids_by_age ON ids (term, number);
CREATE TABLE snapshot (kind INTEGER, name TEXT, value BLOB NOT NULL, PRIMARY KEY (kind, name)) WITHOUT ROWID;
"""
KEPT = ("term", "snapshot_term", "snapshot_number", "snapshot_digest", "last_term", "last_number")

_rows = msgspec.msgpack.Decoder(tuple[Row, ...])


class Entry(NamedTuple):
    """A change set of the log: `before` is the position it followed on, `digest` that of the whole state with it."""

    before: Position
    position: Position
    id: str
    digest: int
    rows: tuple[Row, ...]


class Loaded(NamedTuple):
    """What a publisher begins with: its state, the log that led there, and the ids that are kept, the oldest first."""

    position: Position
    records: Records
    entries: list[Entry]
    ids: dict[str, Position]


def _signed(digest: int) -> int:
    return digest - 2 * SIGN if digest >= SIGN else digest


class Database:
    """Opened for one publisher. `loaded` may be taken from it and set to None. Raises DatabaseError alone. Not for two
    threads at once."""

    def __init__(self, path: str | Path, most_log: int = MOST_LOG, most_ids: int = MOST_IDS) -> None:
        self.path, self.most_log, self.most_ids = path, most_log, most_ids
        # Guards against an end of the process by SIGSEGV, where a connection is closed in the middle of a statement of
        # another thread: closing waits for that transaction, and the next one is refused.
        self.lock = threading.Lock()
        self.link: sqlite3.Connection | None = None
        try:
            self.link = sqlite3.connect(path, timeout=PATIENCE, isolation_level=None, check_same_thread=False)
            self._begin()
            self.loaded: Loaded | None = self._load()
            self.position = self.loaded.position
        except (sqlite3.Error, msgspec.MsgspecError, AttributeError, ValueError, TypeError, OverflowError) as error:
            self.close()
            raise DatabaseError(f"{path}: {error}") from None
        except DatabaseError:
            self.close()
            raise

    def _begin(self) -> None:
        """Takes hold of the file, before anything in it is changed, and looks whether it is a publisher's."""
        mark, edition = self._one("PRAGMA application_id"), self._one("PRAGMA user_version")
        empty = not self._one("SELECT count(*) FROM sqlite_master")
        if (mark, edition) != (MARK, EDITION) and not (empty and (mark, edition) == (0, 0)):
            raise DatabaseError(f"{self.path}: not the database of a publisher of this version")
        self.link.execute("PRAGMA locking_mode=EXCLUSIVE")
        if self._one("PRAGMA journal_mode=WAL") != "wal":
            raise DatabaseError(f"{self.path}: its file system has no room for a write-ahead log")
        self.link.execute("PRAGMA synchronous=FULL")
        self.link.execute("BEGIN IMMEDIATE")
        if empty:
            for statement in TABLES.split(";"):
                self.link.execute(statement)
            self.link.executemany("INSERT INTO kept VALUES (?, 0)", [(key,) for key in KEPT])
            self.link.execute(f"PRAGMA application_id={MARK}")
            self.link.execute(f"PRAGMA user_version={EDITION}")
        self.link.execute("COMMIT")
        if (found := self._one("PRAGMA quick_check(1)")) != "ok":
            raise DatabaseError(f"{self.path}: damaged: {found}")

    def _one(self, statement: str, *values: object) -> object:
        row = self.link.execute(statement, values).fetchone()
        return row[0] if row else None

    def _kept(self, key: str) -> int:
        value = self._one("SELECT value FROM kept WHERE key = ?", key)
        if not isinstance(value, int):
            raise DatabaseError(f"{self.path}: damaged: no {key}")
        return value

    @property
    def term(self) -> int:
        """The last one begun."""
        return self._kept("term")

    def _load(self) -> Loaded:
        """The snapshot, and the log played upon it."""
        position = Position(self._kept("snapshot_term"), self._kept("snapshot_number"))
        store, entries = Records(), []
        changes = {(Kind(kind), name): value for kind, name, value in self.link.execute("SELECT * FROM snapshot")}
        store.commit(changes, updated_sums(store, changes))
        self._agrees(store, self._kept("snapshot_digest"), position)
        for term, number, id, digest, rows in self.link.execute(
            "SELECT term, number, id, digest, rows FROM log ORDER BY term, number"
        ):
            entry = Entry(position, Position(term, number), id, digest % (2 * SIGN), _rows.decode(rows))
            changes = as_changes(entry.rows)
            store.commit(changes, updated_sums(store, changes))
            position = entry.position
            entries.append(entry)
            self._agrees(store, digest, position)
        store.compact()
        if position != (self._kept("last_term"), self._kept("last_number")) or position.term > self.term:
            raise DatabaseError(f"{self.path}: damaged: its log does not end where it ended")
        ids = self.link.execute("SELECT id, term, number FROM ids ORDER BY term, number")
        return Loaded(position, store, entries, {id: Position(term, number) for id, term, number in ids})

    def _agrees(self, store: Records, digest: int, position: Position) -> None:
        if _signed(total_digest(store.sums)) != digest:
            raise DatabaseError(
                f"{self.path}: damaged: the records at {position.term}.{position.number} are not "
                "those that were stored"
            )

    def begin_term(self, above: int = 0) -> int:
        """A term above all that this database, or `above`, knows of: durable when this returns."""
        with self._transaction():
            term = max(self.term, above) + 1
            self.link.execute("UPDATE kept SET value = ? WHERE key = 'term'", (term,))
        return term

    def position_of(self, id: str) -> Position | None:
        """Of a change set in force, as long as its id is kept."""
        row = self.link.execute("SELECT term, number FROM ids WHERE id = ?", (id,)).fetchone()
        return Position(*row) if row else None

    def commit(self, position: Position, id: str, rows: Sequence[Row], digest: int) -> None:
        """One change set, durable when this returns; again after an error, it is there once. `digest`: of the whole
        state with it."""
        with self._transaction():
            if self.position_of(id) == position:  # an error came after the disk had it
                self.position = position
                return
            if position <= self.position:
                raise DatabaseError(f"{self.path}: {position.term}.{position.number} does not follow on what is there")
            self.link.execute(
                "INSERT INTO log VALUES (?, ?, ?, ?, ?, ?)",
                (*position, id, _signed(digest), len(rows), msgspec.msgpack.encode(tuple(rows))),
            )
            self.link.execute("INSERT OR REPLACE INTO ids VALUES (?, ?, ?)", (id, *position))
            self.link.execute(
                "DELETE FROM ids WHERE id IN (SELECT id FROM ids ORDER BY term DESC, number DESC LIMIT 64 OFFSET ?)",
                (self.most_ids,),
            )
            self.link.executemany("UPDATE kept SET value = ? WHERE key = ?", zip(position, KEPT[4:], strict=True))
        self.position = position

    def uncommit(self, position: Position) -> None:
        """Takes back the change set of that position, the last one of the log: durable when this returns, and again it
        does nothing."""
        with self._transaction():
            if self.position < position:
                return
            last = self.link.execute("SELECT term, number FROM log ORDER BY term DESC, number DESC LIMIT 2").fetchall()
            if self.position != position or not last or last[0] != tuple(position):
                raise DatabaseError(f"{self.path}: {position.term}.{position.number} is not the last one of the log")
            before = last[1] if len(last) > 1 else (self._kept("snapshot_term"), self._kept("snapshot_number"))
            self.link.execute("DELETE FROM log WHERE term = ? AND number = ?", position)
            self.link.execute("DELETE FROM ids WHERE term = ? AND number = ?", position)
            self.link.executemany("UPDATE kept SET value = ? WHERE key = ?", zip(before, KEPT[4:], strict=True))
        self.position = Position(*before)

    def compact(self) -> bool:
        """Brings some of the oldest change sets of a log that is too long into the snapshot; whether it still is."""
        with self._transaction():
            if not (most := self._too_many()):
                return False
            oldest = self.link.execute(
                "SELECT term, number, digest, rows FROM log ORDER BY term, number LIMIT ?", (most,)
            ).fetchall()
            for _, _, _, rows in oldest:
                told = _rows.decode(rows)
                self.link.executemany(
                    "DELETE FROM snapshot WHERE kind = ? AND name = ?",
                    [(row.kind, row.name) for row in told if row.value is None],
                )
                self.link.executemany(
                    "INSERT OR REPLACE INTO snapshot VALUES (?, ?, ?)",
                    [tuple(row) for row in told if row.value is not None],
                )
            term, number, digest, _ = oldest[-1]
            self.link.executemany(
                "UPDATE kept SET value = ? WHERE key = ?", zip((term, number, digest), KEPT[1:4], strict=True)
            )
            self.link.execute("DELETE FROM log WHERE (term, number) <= (?, ?)", (term, number))
            return self._too_many() > 0

    def _too_many(self) -> int:
        """Change sets to fold now: those beyond `most_log`, or one where the log has too many rows."""
        count, size = self.link.execute("SELECT count(*), coalesce(sum(size), 0) FROM log").fetchone()
        return min(FOLDED_AT_ONCE, max(count - self.most_log, int(size > MOST_LOG_ROWS and count > 1)))

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        """All of it or nothing."""
        with self.lock:
            if self.link is None:
                raise DatabaseError(f"{self.path}: closed")
            try:
                self.link.execute("BEGIN IMMEDIATE")
                yield
                self.link.execute("COMMIT")
            except (sqlite3.Error, msgspec.MsgspecError) as error:
                raise DatabaseError(f"{self.path}: {error}") from None
            finally:
                with suppress(sqlite3.Error):
                    if self.link.in_transaction:
                        self.link.execute("ROLLBACK")

    def close(self) -> None:
        """Waits for a transaction that another thread is in."""
        with self.lock:
            if self.link is not None:
                self.link.close()
                self.link = None
