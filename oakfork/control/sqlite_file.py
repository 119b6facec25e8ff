"""A SQLite file that one process uses at a time: locked, identified, durable, closed safely. Waits for the disk."""

import sqlite3
import threading
from abc import ABC, abstractmethod
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import ClassVar, Iterator

import msgspec

from oakfork.errors import DatabaseError

LOCK_TIMEOUT = 1.0  # seconds for another process to release the file


class SqliteFile(ABC):
    """A file of the kind that a subclass names. Make all calls in a worker thread.

    All methods raise DatabaseError only. Except for `close`, only one thread may use it at a time.
    """

    APPLICATION_ID: ClassVar[int]
    SCHEMA_VERSION: ClassVar[int]  # stored as user_version
    OWNER: ClassVar[str]  # whose file it is, for errors

    def __init__(self, path: str | Path) -> None:
        self.path = path
        # Closing a connection while another thread executes a statement ends the process with SIGSEGV. With this lock,
        # closing waits for that transaction, and later ones are refused.
        self.lock = threading.Lock()
        self.connection: sqlite3.Connection | None = None
        try:
            self.connection = sqlite3.connect(path, timeout=LOCK_TIMEOUT, isolation_level=None, check_same_thread=False)
            self._open()
            self._load()
        except (sqlite3.Error, msgspec.MsgspecError, AttributeError, ValueError, TypeError, OverflowError) as error:
            self.close()
            raise DatabaseError(f"{path}: {error}") from None
        except DatabaseError:
            self.close()
            raise

    @abstractmethod
    def _create_tables(self) -> None:
        """Fills an empty file."""

    @abstractmethod
    def _load(self) -> None:
        """Reads what the file has, once it is open."""

    def _open(self) -> None:
        """Locks the file and checks that it is of this kind or empty, before anything in it is changed."""
        identity = (self._one("PRAGMA application_id"), self._one("PRAGMA user_version"))
        empty = not self._one("SELECT count(*) FROM sqlite_master")
        if identity != (self.APPLICATION_ID, self.SCHEMA_VERSION) and not (empty and identity == (0, 0)):
            raise DatabaseError(f"{self.path}: not the database of a {self.OWNER} of this version")
        self.connection.execute("PRAGMA locking_mode=EXCLUSIVE")
        if self._one("PRAGMA journal_mode=WAL") != "wal":
            raise DatabaseError(f"{self.path}: its file system does not support a write-ahead log")
        self.connection.execute("PRAGMA synchronous=FULL")
        self.connection.execute("BEGIN IMMEDIATE")
        if empty:
            self._create_tables()
            self.connection.execute(f"PRAGMA application_id={self.APPLICATION_ID}")
            self.connection.execute(f"PRAGMA user_version={self.SCHEMA_VERSION}")
        self.connection.execute("COMMIT")
        if (found := self._one("PRAGMA quick_check(1)")) != "ok":
            raise DatabaseError(f"{self.path}: damaged: {found}")

    def _one(self, statement: str, *values: object) -> object:
        row = self.connection.execute(statement, values).fetchone()
        return row[0] if row else None

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
        """Closes the file, after waiting for a transaction of another thread."""
        with self.lock:
            if self.connection is not None:
                self.connection.close()
                self.connection = None
