"""The SQLite file in which a voter keeps what it has granted and recorded. Waits for the disk.

A new file gets a new incarnation: the time of its making, and a random part. Losing the file is noticed by that; an old
copy in its place is not.
"""

import secrets
import time

from oakfork.control.events import VoterState
from oakfork.control.messages import Position
from oakfork.control.sqlite_file import SqliteFile

RANDOM_BITS = 20  # of an incarnation, for files that are made in the same millisecond

TABLE = """
CREATE TABLE vote (incarnation INTEGER NOT NULL, term INTEGER NOT NULL, mark INTEGER NOT NULL,
                   recorded_term INTEGER NOT NULL, recorded_number INTEGER NOT NULL, has_memory INTEGER NOT NULL)
"""


class VoteFile(SqliteFile):
    """The file of one voter; `state` is what it had when it was opened."""

    APPLICATION_ID = 0x6F616B76  # "oakv"
    SCHEMA_VERSION = 1
    OWNER = "voter"

    state: VoterState

    def _create_tables(self) -> None:
        incarnation = (time.time_ns() // 1_000_000 << RANDOM_BITS) + secrets.randbits(RANDOM_BITS)
        self.connection.execute(TABLE)
        self.connection.execute("INSERT INTO vote VALUES (?, 0, 0, 0, 0, 0)", (incarnation,))

    def _load(self) -> None:
        [(incarnation, term, mark, recorded_term, recorded_number, has_memory)] = self.connection.execute(
            "SELECT * FROM vote"
        ).fetchall()
        self.state = VoterState(incarnation, term, mark, Position(recorded_term, recorded_number), bool(has_memory))

    def store(self, state: VoterState) -> None:
        """Replaces what the voter keeps; durable when this returns."""
        with self._transaction():
            self.connection.execute(
                "UPDATE vote SET term = ?, mark = ?, recorded_term = ?, recorded_number = ?, has_memory = ?",
                (state.term, state.mark, *state.recorded, state.has_memory),
            )
