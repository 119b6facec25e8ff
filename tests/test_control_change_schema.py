"""Change files and the files of publishers and relays: every fault by its path, refused whole; records."""

import ast
import copy
import json
import random
import zlib

import pytest
from hypothesis import given, settings, strategies as st
from lab_worlds import ROOT

from oakfork import configuration_schema as configuration_format
from oakfork.control import change_schema, config as files, connections, records
from oakfork.control.messages import Kind, Row, Verdict, pack, unpack_down
from oakfork.control.state import Records, as_changes, updated_sums
from oakfork.errors import ChangeSetError, ControlConfigError

SERVICE = {
    "name": "search",
    "methods": [
        {"name": "read", "aim_ms": 100, "deadline_ms": 400},
        {"name": "write", "aim_ms": 250, "deadline_ms": 1000, "effect": "unsafe"},
    ],
}
SERVER = {
    "id": "s1",
    "addr": "10.0.0.1:80",
    "zone": "east",
    "kind": "large",
    "cell": 3,
    "state": "up",
    "weight": 2.5,
    "started_ms": 1_796_000_000_000,
    "service": "search",
}
ROUTE = {"name": "r1", "host": "example.org", "prefix": "/a", "method": "GET", "service": "search"}
TENANT = {"id": "t1", "plan": "basic", "rate": 10, "burst": 20, "first": 5, "spread": 2}
CHANGE = {"id": "one", "put": {"services": [SERVICE], "servers": [SERVER], "routes": [ROUTE], "tenants": [TENANT]}}


def parse(change):
    return change_schema.parse(json.dumps(change).encode())


def rows_of(change):
    rows, faults = parse(change)
    assert not faults
    return rows


def in_force(store, rows, index=None):
    changes = as_changes(rows)
    store.commit(changes, updated_sums(store, changes))
    if index is not None:
        index.in_force(changes)


def a_store():
    store = Records()
    index = change_schema.StateIndex(store)
    in_force(store, rows_of(CHANGE), index)
    return store, index


def test_a_change_file_becomes_rows_and_rows_become_what_discovery_tells():
    rows = rows_of(CHANGE | {"drop": {"routes": ["r0"], "servers": ["s0"]}})
    assert [(row.kind, row.name, row.value is None) for row in rows] == [
        (Kind.SERVICE, "search", False),
        (Kind.SERVER, "s1", False),
        (Kind.ROUTE, "r1", False),
        (Kind.TENANT, "t1", False),
        (Kind.SERVER, "s0", True),
        (Kind.ROUTE, "r0", True),
    ]
    told = records.discovery_row("s1", rows[1].value)
    assert told == {key: value for key, value in SERVER.items() if key != "service"}
    assert records.discovery_row("s0", None) == {"id": "s0", "state": "removed"}
    assert records.discovery_row("s0", b"\xc1") == {"id": "s0", "state": "removed"}
    assert records.unpack(Kind.SERVER, rows[1].value).service == "search"
    assert records.unpack(Kind.TENANT, rows[3].value) == records.Tenant("basic", 10, 20, 5, 2)
    assert records.unpack(Kind.SERVICE, rows[0].value).methods[1].effect is records.Effect.UNSAFE


@pytest.mark.parametrize("text", ["10.0.0.1:80", "server.example.org:1", "010.0.0.1:80", "10.0.0.1:080", "a:65535"])
def test_an_address_is_told_as_it_was_given(text):
    assert records.unpack_address(records.pack_address(text)) == text


def test_a_change_file_goes_by_zlib_where_that_is_shorter():
    short, long = json.dumps({"id": "a"}).encode(), json.dumps(CHANGE).encode()
    assert change_schema.submitted(short) == short and len(change_schema.submitted(long)) < len(long)
    assert change_schema.parse(change_schema.submitted(long)) == change_schema.parse(long)
    for data in (
        b" " * (change_schema.LARGEST_CHANGE + 1),
        random.Random(1).randbytes(change_schema.LARGEST_SUBMITTED + 1),
    ):
        with pytest.raises(ChangeSetError):
            change_schema.submitted(data)


def spoilt(path, value):
    change = copy.deepcopy(CHANGE)
    *way, last = path
    part = change
    for key in way:
        part = part[key]
    if value is ...:
        del part[last]
    else:
        part[last] = value
    return change


@pytest.mark.parametrize(
    "path, value, place",
    [
        (("id",), ..., "the file"),
        (("id",), "with space", "id"),
        (("id",), "x" * 129, "id"),
        (("id",), "one\n", "id"),
        (("put", "servers", 0, "addr"), "nowhere", "put.servers[0].addr"),
        (("put", "servers", 0, "addr"), "10.0.0.1:80\n", "put.servers[0].addr"),
        (("put", "servers", 0, "addr"), "10.0.0.1:65536", "put.servers[0].addr"),
        (("put", "servers", 0, "state"), "removed", "put.servers[0].state"),
        (("put", "servers", 0, "weight"), float("nan"), "put.servers[0].weight"),
        (("put", "servers", 0, "weight"), float("inf"), "put.servers[0].weight"),
        (("put", "servers", 0, "weight"), -1, "put.servers[0].weight"),
        (("put", "servers", 0, "started_ms"), 1 << 64, "put.servers[0].started_ms"),
        (("put", "servers", 0, "cell"), True, "put.servers[0].cell"),
        (("put", "servers", 0, "zone"), "\ud800", "put.servers[0].zone"),
        (("put", "servers", 0, "service"), ..., "put.servers[0]"),
        (("put", "servers", 0, "more"), 1, "put.servers[0]"),
        (("put", "servers"), {}, "put.servers"),
        (("put", "services", 0, "methods"), [], "put.services[0].methods"),
        (("put", "services", 0, "methods", 0, "aim_ms"), 500, "put.services[0].methods[0].aim_ms"),
        (("put", "services", 0, "methods", 1, "name"), "read", "put.services[0].methods"),
        (("put", "routes", 0, "prefix"), 7, "put.routes[0].prefix"),
        (("put", "tenants", 0, "spread"), 0, "put.tenants[0].spread"),
        (("drop",), {"servers": [7]}, "drop.servers[0]"),
        (("drop",), {"sites": []}, "drop"),
        (("put",), {}, "the file"),
        (("put", "\ud800" * 500), 1, "put"),
    ],
)
def test_each_fault_is_named_by_its_path_and_nothing_is_taken(path, value, place):
    rows, faults = parse(spoilt(path, value))
    assert not rows and place in {fault.split(": ")[0] for fault in faults}
    assert unpack_down(pack(Verdict("one", None, tuple(faults)))).faults == tuple(faults)


def test_several_faults_are_all_named_up_to_a_bound():
    change = spoilt(("put", "servers", 0, "state"), 1)
    change["put"]["tenants"] = [TENANT | {"rate": "much"} for _ in range(10)]
    assert len(parse(change)[1]) == 11
    change["put"]["tenants"] *= 10
    faults = parse(change)[1]
    assert len(faults) == change_schema.MOST_FAULTS and faults[-1] == "and 38 more"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"{",
        b"[" * 100_000,
        b'{"id": "a", "id": "b"}',
        b'{"id": ' + b"9" * 5000 + b"}",
        b"7",
        b"null",
        b'{"id": "a", "put": {"servers": [' + b"0," * 100_000 + b"0]}}",
        b" " * (change_schema.LARGEST_CHANGE + 1),
        b'{"id": "a", "drop": {"servers": [' + b'"x",' * 4_096 + b'"x"]}}',
        b"[" * 17 + b"]" * 17,
        zlib.compress(b" " * (change_schema.LARGEST_CHANGE + 1)),
        zlib.compress(json.dumps(CHANGE).encode())[:-1],
        b"x",
    ],
    ids=range(15),
)
def test_what_is_no_change_file_is_refused(data):
    rows, faults = change_schema.parse(data)
    assert not rows and faults and all(len(fault) <= change_schema.LONGEST_FAULT for fault in faults)


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_any_json_in_any_place_is_refused_or_becomes_records_that_can_be_read(data):
    junk = st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text(st.characters(exclude_categories=()), max_size=6),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3),
        max_leaves=6,
    )
    paths = [
        ("put", key, 0, field)
        for key, item in (("servers", SERVER), ("services", SERVICE), ("routes", ROUTE), ("tenants", TENANT))
        for field in item
    ]
    change = spoilt(data.draw(st.sampled_from([("id",), ("put",), ("drop",), *paths])), data.draw(junk))
    rows, faults = parse(change)
    assert bool(rows) != bool(faults)
    assert all(row.value is None or records.unpack(row.kind, row.value) is not None for row in rows)
    assert all(fault.startswith(("put.", "drop.")) for fault in change_schema.contradictions(Records(), rows))
    pack(Verdict("one", None, tuple(faults)))


@pytest.mark.parametrize(
    "change, said",
    [
        ({"put": {"servers": [SERVER, SERVER]}}, "put.servers[1]: 's1' is there twice"),
        ({"put": {"servers": [SERVER]}, "drop": {"servers": ["s1"]}}, "drop.servers[0]: 's1' is put and dropped"),
        ({"drop": {"servers": ["s1", "s1"]}}, "drop.servers[1]: 's1' is there twice"),
        ({"drop": {"servers": ["s2"]}}, "drop.servers[0]: there is no 's2'"),
        ({"drop": {"services": ["search"]}}, "drop.services[0]: 2 servers and routes would still name 'search'"),
        ({"drop": {"services": ["search"], "servers": ["s1"]}}, "drop.services[0]: 1 servers and routes"),
        ({"put": {"servers": [SERVER | {"id": "s2"}]}}, "put.servers[0].addr: 's1' is there"),
        (
            {"put": {"servers": [SERVER | {"id": "s2", "addr": "a:1"}, SERVER | {"id": "s3", "addr": "a:1"}]}},
            "put.servers[1].addr: 's2' is there",
        ),
        ({"put": {"servers": [SERVER | {"service": "other"}]}}, "put.servers[0].service: there would be no service"),
        ({"put": {"routes": [ROUTE | {"name": "r2", "service": "other"}]}}, "put.routes[0].service: there would be no"),
        ({"put": {"routes": [ROUTE | {"name": "r2"}]}}, "put.routes[0]: 'r1' has that host, prefix and method"),
        (
            {"put": {"routes": [ROUTE | {"name": "r2", "prefix": "/b"}]}, "drop": {"services": ["search"]}},
            "put.routes[0].service: there would be no service",
        ),
    ],
)
def test_contradictions_are_named_by_their_path(change, said):
    store, index = a_store()
    faults = index.contradictions(rows_of({"id": "two"} | change))
    assert any(fault.startswith(said) for fault in faults), faults
    assert faults == change_schema.contradictions(store, rows_of({"id": "two"} | change))


def test_what_only_looks_like_a_contradiction_is_none():
    store, index = a_store()
    for change in (
        {"drop": {"services": ["search"], "servers": ["s1"], "routes": ["r1"]}},
        {"put": {"servers": [SERVER | {"id": "s2"}]}, "drop": {"servers": ["s1"]}},
        {"put": {"servers": [SERVER, SERVER | {"id": "s2", "addr": "10.0.0.2:80"}]}},
        {"put": {"services": [SERVICE | {"name": "new"}], "routes": [ROUTE | {"service": "new"}]}},
        {"put": {"servers": [SERVER | {"addr": "b:1"}, SERVER | {"id": "s2"}]}},
    ):
        rows = rows_of({"id": "two"} | change)
        assert index.contradictions(rows) == [] == change_schema.contradictions(store, rows), change


def test_the_index_kept_up_to_date_is_the_one_built_anew():
    store, index = a_store()
    for change in (
        CHANGE,
        {"id": "2", "put": {"services": [SERVICE | {"name": "b"}], "servers": [SERVER | {"service": "b"}]}},
        {"id": "3", "put": {"servers": [SERVER | {"id": "s2", "service": "b"}]}, "drop": {"servers": ["s1"]}},
        {"id": "4", "drop": {"routes": ["r1"], "services": ["search"]}},
    ):
        rows = rows_of(change)
        assert index.contradictions(rows) == []
        in_force(store, rows, index)
        anew = change_schema.StateIndex(store)
        assert (index.known, index.users, index.at) == (anew.known, anew.users, anew.at)


def test_a_record_that_is_not_readable_breaks_no_index():
    store = Records()
    in_force(store, [Row(Kind.SERVER, "x", b"\xc1"), Row(Kind.ROUTE, "y", b"")])
    assert not change_schema.StateIndex(store).known


@pytest.mark.parametrize("name, read", [("publisher", files.read_publisher), ("relay", files.read_relay)])
def test_the_files_of_publishers_and_relays(tmp_path, name, read):
    example = ROOT / f"deploy/control-{name}.example.toml"
    assert read(example).who == f"west/{name}-1"
    text = example.read_text()
    for old, new, place in (
        ('region = "west"', "", "the file"),
        ('name = "', 'name = "Not so ', "name"),
        ("listen = ", "listen = 3 #", "listen"),
        (":7900", ":99999", None),
        ("connections = 4096", "connections = 0", "bounds.connections"),
        ("connections = 4096", "connections = nan", "bounds.connections"),
        ("[bounds]", "[bounds]\nmore = 1", "bounds"),
        ("[bounds]", "[bounds", "the file"),
    ):
        (tmp_path / "f.toml").write_text(text.replace(old, new, 1))
        with pytest.raises(ControlConfigError) as caught:
            read(tmp_path / "f.toml")
        place = place or {"publisher": "listen", "relay": "upstreams[0]"}[name]
        assert place in {fault.split(": ")[0] for fault in caught.value.faults}
    with pytest.raises(ControlConfigError):
        read(tmp_path / "none.toml")


def test_the_page_has_the_keys_as_the_checks_know_them():
    text = (ROOT / "docs/control.md").read_text()
    for told in (change_schema.SCHEMA, files.PUBLISHER, files.RELAY):
        for path, kind, meaning in configuration_format.table(told):
            assert f"| `{path}` | {kind} | {meaning} |" in text, path


def reasons():
    """All that is counted by a name: the words stand in the calls that count, in the code."""
    found = {
        connections.ENDED,
        connections.IN_FRAME,
        connections.FOREIGN,
        connections.STALLED,
        connections.UNTAKEN,
        connections.FULL,
        connections.CLOSED,
    }
    found = {f"connection: {ending}" for ending in found}
    for path in (ROOT / "oakfork/control").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            name = ast.unparse(node.func).split(".")[-1] if isinstance(node, ast.Call) else ""
            if name in ("Note", "note", "_turn", "_end"):
                place = 1 if name == "_end" else 0
                if place < len(node.args) and isinstance(node.args[place], ast.Constant):
                    found.add(node.args[place].value)
    return found


def test_the_page_names_every_reason_that_is_counted():
    text, found = (ROOT / "docs/control.md").read_text(), reasons()
    assert {"digest differs", "no hello", "not stored", "not accepted"} <= found  # it does find them
    assert not [reason for reason in found if f"`{reason}`" not in text]
