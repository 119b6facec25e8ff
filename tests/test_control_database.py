"""The publisher's database: change sets survive kills as a whole, its size is bounded, and damage is refused."""

import random
import shutil
import signal
import sqlite3
import subprocess
import sys

import pytest
from lab_worlds import ROOT

from oakfork.control import database as database_module, sqlite_file
from oakfork.control.database import Database
from oakfork.control.messages import Kind, Position, Row
from oakfork.control.state import Records, as_changes, total_digest, updated_sums
from oakfork.errors import DatabaseError

# Commits and compacts until it is killed; prints the number of each change set after its commit.
COMMITTING_PROCESS = """
import sys
from oakfork.control.messages import Kind, Position, Row
from oakfork.control.state import as_changes, total_digest, updated_sums
from oakfork.control.database import Database
database = Database(sys.argv[1], max_log_sets=5)
records, number = database.loaded.records, database.position.number
term = database.begin_term()
while True:
    number += 1
    rows = [Row(Kind.SERVER, f"s{part}", b"%d" % number) for part in range(20)]
    changes = as_changes(rows)
    sums = updated_sums(records, changes)
    database.commit(Position(term, number), f"set {number}", rows, total_digest(sums))
    records.commit(changes, sums)
    print(number, flush=True)
    database.compact()
"""

# Closes databases while another thread uses them; prints how many threads ended, and whether all got the right error.
CLOSING_PROCESS = """
import sys, threading, time
from oakfork.control.messages import Kind, Position, Row
from oakfork.control.state import as_changes, total_digest, updated_sums
from oakfork.control.database import Database
from oakfork.errors import DatabaseError

def work(database, term):
    records, number = database.loaded.records, 0
    try:
        while True:
            number += 1
            changes = as_changes(rows := [Row(Kind.SERVER, f"s{part}", b"%d" % number) for part in range(50)])
            sums = updated_sums(records, changes)
            database.commit(Position(term, number), f"set {number}", rows, total_digest(sums))
            records.commit(changes, sums)
            database.compact()
    except DatabaseError as error:
        ended.append(str(error))

ended = []
for round in range(40):
    database = Database(f"{sys.argv[1]}-{round}", max_log_sets=1)
    thread = threading.Thread(target=work, args=(database, database.begin_term()))
    thread.start()
    time.sleep(0.002 * round % 0.03)
    database.close()
    thread.join()
print(len(ended), all(message.endswith("closed") for message in ended))
"""


def put(*names, value=b"v"):
    """Rows of tenants, all with the same value."""
    return [Row(Kind.TENANT, name, value) for name in names]


class Publisher:
    """Commits change sets one after the other, and keeps the state that should then be in force."""

    def __init__(self, path, **bounds):
        self.database = Database(path, **bounds)
        self.records = self.database.loaded.records
        self.number = self.database.position.number
        self.term = self.database.begin_term()

    def commit(self, rows, id=None):
        """Commits rows at the next position."""
        self.number += 1
        changes = as_changes(rows)
        sums = updated_sums(self.records, changes)
        self.database.commit(Position(self.term, self.number), id or f"set {self.number}", rows, total_digest(sums))
        self.records.commit(changes, sums)


def state(records):
    """All records of a store."""
    return {(kind, name): records.value(kind, name) for kind in Kind for name in records.all_names(kind)}


def test_committed_change_sets_are_there_after_reopening(tmp_path):
    """State, log, ids and term survive, and a new term is above the last one and the one asked for."""
    first = Publisher(tmp_path / "db")
    assert (first.term, first.database.position) == (1, Position(0, 0))
    first.commit([Row(Kind.SERVICE, "a", b"1"), Row(Kind.SERVER, "a", b"2")], "one")
    first.commit([Row(Kind.SERVICE, "a", None), Row(Kind.ROUTE, "r", b"\x00\xff")], "two")
    first.database.close()
    second = Publisher(tmp_path / "db")
    loaded = second.database.loaded
    assert (second.term, loaded.position) == (2, Position(1, 2))
    assert state(loaded.records) == {(Kind.SERVER, "a"): b"2", (Kind.ROUTE, "r"): b"\x00\xff"} == state(first.records)
    assert loaded.ids == {"one": Position(1, 1), "two": Position(1, 2)}
    assert [(entry.before, entry.position, entry.id, len(entry.rows)) for entry in loaded.entries] == [
        (Position(0, 0), Position(1, 1), "one", 2),
        (Position(1, 1), Position(1, 2), "two", 2),
    ]
    assert loaded.entries[-1].digest == total_digest(loaded.records.sums)
    assert second.database.begin_term(above=9) == 10 == second.database.term
    second.database.close()


def test_the_log_and_the_ids_are_bounded_and_compaction_loses_nothing(tmp_path):
    """The log and the ids keep the latest change sets; the snapshot has what earlier ones led to."""
    rng = random.Random(1)
    publisher = Publisher(tmp_path / "db", max_log_sets=7, max_ids=9)
    for _ in range(60):
        names = rng.sample([f"t{number}" for number in range(12)], 3)
        publisher.commit([Row(Kind.TENANT, name, rng.choice((None, rng.randbytes(5)))) for name in names])
        while publisher.database.compact():
            pass
    publisher.database.close()
    loaded = Database(tmp_path / "db").loaded
    assert state(loaded.records) == state(publisher.records) and loaded.position == Position(1, 60)
    assert [entry.position.number for entry in loaded.entries] == list(range(54, 61))
    assert list(loaded.ids) == [f"set {number}" for number in range(52, 61)]


def test_a_log_of_few_but_large_sets_is_bounded_by_its_rows(tmp_path, monkeypatch):
    """Large change sets are compacted before their number reaches its bound."""
    monkeypatch.setattr(database_module, "MAX_LOG_ROWS", 10)
    publisher = Publisher(tmp_path / "db")
    for number in range(5):
        publisher.commit(put(*(f"{number}-{part}" for part in range(4))))
        while publisher.database.compact():
            pass
    publisher.database.close()
    loaded = Database(tmp_path / "db").loaded
    assert len(loaded.entries) == 2 and len(loaded.records) == 20


def test_a_repeated_commit_is_stored_once_and_an_older_one_is_refused(tmp_path):
    """A commit whose success was not reported can be repeated; a refusal doesn't prevent later commits."""
    publisher = Publisher(tmp_path / "db")
    publisher.commit(put("a"), "one")
    publisher.database.commit(Position(1, 1), "one", put("a"), total_digest(publisher.records.sums))
    for position in (Position(1, 1), Position(0, 7)):
        with pytest.raises(DatabaseError):
            publisher.database.commit(position, "two", put("b"), 0)
    publisher.commit(put("b"), "two")
    publisher.database.close()
    assert len(Database(tmp_path / "db").loaded.entries) == 2


def test_all_terms_since_the_last_change_set_are_remembered(tmp_path):
    """Guards against a publisher that is refused by a term of its own, after another one that came to nothing."""
    for start in range(database_module.MAX_BEGUN_TERMS + 3):
        publisher = Publisher(tmp_path / "db")
        terms = publisher.database.begun_terms
        assert set(terms) == set(range(max(1, start + 2 - database_module.MAX_BEGUN_TERMS), start + 2))
        if start < database_module.MAX_BEGUN_TERMS + 2:
            publisher.database.close()
    publisher.commit(put("a"))
    assert publisher.database.begun_terms == (publisher.term,)
    publisher.database.close()


def test_a_database_of_the_release_before_has_the_last_term(tmp_path):
    """It lacks the table of terms; the release before opens one that has it."""
    with sqlite3.connect(tmp_path / "db") as connection:
        for statement in database_module.TABLES.split(";"):
            connection.execute(statement)
        keys = [(key, 0) for key in database_module.KEPT_KEYS]
        connection.executemany("INSERT INTO kept VALUES (?, ?)", keys)
        connection.execute("UPDATE kept SET value = 7 WHERE key = 'term'")
        connection.execute(f"PRAGMA application_id={Database.APPLICATION_ID}")
        connection.execute(f"PRAGMA user_version={Database.SCHEMA_VERSION}")
    connection.close()
    database = Database(tmp_path / "db")
    assert database.begun_terms == (7,)
    database.close()


def test_a_reverted_change_set_is_gone_after_reopening(tmp_path):
    """Only the last change set of the log can be reverted, also repeatedly; one in the snapshot can't."""
    publisher = Publisher(tmp_path / "db", max_log_sets=2)
    for name in "abcd":
        publisher.commit(put(name), name)
        while publisher.database.compact():
            pass
    database = publisher.database
    with pytest.raises(DatabaseError, match="not the last"):
        database.uncommit(Position(1, 3))
    for last, left in ((4, "abc"), (3, "ab")):  # the second one leaves an empty log
        database.uncommit(Position(1, last))
        database.uncommit(Position(1, last))  # has no effect
        assert database.position == Position(1, last - 1) and database.position_of(left[-1]) == database.position
        assert database.position_of("abcd"[last - 1]) is None
    with pytest.raises(DatabaseError, match="not the last"):
        database.uncommit(Position(1, 2))  # in the snapshot
    database.close()
    loaded = Database(tmp_path / "db").loaded
    assert loaded.position == Position(1, 2) and not loaded.entries and list(loaded.ids) == ["a", "b"]
    assert {name for _, name in state(loaded.records)} == {name for row in put("a") + put("b") for name in [row.name]}


def test_closing_waits_for_a_transaction_of_another_thread(tmp_path):
    """Guards against a SIGSEGV when a connection is closed while another thread executes a statement."""
    done = subprocess.run(
        [sys.executable, "-c", CLOSING_PROCESS, str(tmp_path / "db")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 0 and done.stdout.split() == ["40", "True"], (done.returncode, done.stderr[-400:])


def test_a_database_is_used_by_one_publisher_at_a_time(tmp_path, monkeypatch):
    """A second publisher can open it only after the first has closed it."""
    monkeypatch.setattr(sqlite_file, "LOCK_TIMEOUT", 0.05)
    first = Database(tmp_path / "db")
    with pytest.raises(DatabaseError):
        Database(tmp_path / "db")
    first.close()
    Database(tmp_path / "db").close()


def create_foreign(path):
    """Creates an SQLite database that is not a publisher's."""
    with sqlite3.connect(path) as connection:
        connection.execute("CREATE TABLE theirs (a)")
    connection.close()


def test_a_file_that_is_no_publishers_database_is_refused_unchanged(tmp_path):
    """Opening a wrong file doesn't overwrite it; a path where no file can be is refused as well."""
    path = tmp_path / "db"
    for create in (
        lambda: path.write_bytes(b"not a database, but long enough to be one" * 99),
        lambda: create_foreign(path),
    ):
        create()
        before = path.read_bytes()
        with pytest.raises(DatabaseError):
            Database(path)
        assert path.read_bytes() == before
        path.unlink()
    for nowhere in (tmp_path, tmp_path / "none" / "db"):
        with pytest.raises(DatabaseError):
            Database(nowhere)


@pytest.fixture(scope="module")
def built(tmp_path_factory):
    """The bytes of a database with a snapshot and a log, and the state in it."""
    path = tmp_path_factory.mktemp("built") / "db"
    publisher = Publisher(path, max_log_sets=3)
    for number in range(8):
        publisher.commit(put(*(f"{number}-{part}" for part in range(20)), value=bytes(range(100))))
        publisher.database.compact()
    publisher.database.close()
    return path.read_bytes(), state(publisher.records)


def test_a_database_of_another_version_is_refused(tmp_path, built):
    """A database of a later program version isn't misread."""
    (tmp_path / "db").write_bytes(built[0])
    with sqlite3.connect(tmp_path / "db") as connection:
        connection.execute("PRAGMA user_version=99")
    connection.close()
    with pytest.raises(DatabaseError, match="not the database of a publisher of this version"):
        Database(tmp_path / "db")


@pytest.mark.parametrize(
    "statement",
    [
        "DELETE FROM kept WHERE key = 'term'",
        "UPDATE kept SET value = 0 WHERE key = 'term'",
        "DROP TABLE log",
        "UPDATE kept SET value = 'many' WHERE key = 'snapshot_number'",
        "DELETE FROM log WHERE number = 8",
        "UPDATE snapshot SET value = 7 WHERE name = '0-1'",
        "UPDATE snapshot SET kind = 77 WHERE name = '0-1'",
        "DELETE FROM snapshot WHERE name = '0-1'",
        "UPDATE log SET rows = x'c1' WHERE number = 7",
        "UPDATE log SET rows = x'9193026178c4020001' WHERE number = 7",
        "UPDATE log SET digest = 5 WHERE number = 6",
    ],
)
def test_changed_records_are_refused(tmp_path, built, statement):
    """Tables that were changed from outside don't match their digests or positions."""
    (tmp_path / "db").write_bytes(built[0])
    with sqlite3.connect(tmp_path / "db") as connection:
        connection.execute(statement)
    connection.close()
    with pytest.raises(DatabaseError):
        Database(tmp_path / "db")


@pytest.mark.parametrize("seed", range(40))
def test_changed_bytes_are_refused_or_have_no_effect(tmp_path, built, seed):
    """A file with random damage either doesn't open or has the state that was stored."""
    rng = random.Random(seed)
    path = tmp_path / "db"
    data = bytearray(built[0])
    expected = built[1]
    if seed % 4 == 0:
        del data[rng.randrange(len(data)) :]
    else:
        at = rng.randrange(len(data))
        data[at : at + rng.choice((1, 8, 500))] = rng.randbytes(rng.choice((1, 8, 500)))
    path.write_bytes(data)
    try:
        database = Database(path)
    except DatabaseError:
        return
    loaded = state(database.loaded.records)
    empty = not data
    database.close()
    assert loaded == ({} if empty else expected)


@pytest.mark.parametrize("seed", range(6))
def test_a_kill_leaves_whole_change_sets_with_all_acknowledged_ones(tmp_path, seed):
    """SIGKILL at random moments of commits and compactions, repeatedly with the same database."""
    rng = random.Random(seed)
    path = tmp_path / "db"
    acknowledged = 0
    for _ in range(3):
        process = subprocess.Popen(
            [sys.executable, "-c", COMMITTING_PROCESS, str(path)], stdout=subprocess.PIPE, text=True, cwd=ROOT
        )
        try:
            for _ in range(rng.randrange(1, 25)):
                acknowledged = int(process.stdout.readline())
            process.send_signal(signal.SIGKILL)
            rest = process.stdout.read().split("\n")[:-1]  # printed before the kill
            acknowledged = int(rest[-1]) if rest else acknowledged
        finally:
            process.kill()
            process.wait(10)
            process.stdout.close()
        copy = tmp_path / "copy"
        copy.mkdir()
        for part in tmp_path.glob("db*"):
            shutil.copy(part, copy)
        database = Database(copy / "db")
        number = database.position.number
        assert number in (acknowledged, acknowledged + 1)
        assert state(database.loaded.records) == {(Kind.SERVER, f"s{part}"): b"%d" % number for part in range(20)}
        assert len(database.loaded.ids) == number
        database.close()
        shutil.rmtree(copy)


def test_a_new_database_has_an_empty_state(tmp_path):
    """A publisher's first start needs no preparation."""
    loaded = Database(tmp_path / "db").loaded
    assert state(loaded.records) == {} and loaded.position == Position() and total_digest(Records().sums) == 0
