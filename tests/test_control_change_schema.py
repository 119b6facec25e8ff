"""Change files, contradictions with the state, and the configuration files: each fault is reported with its path."""

import ast
import copy
import json
import random
import zlib

import pytest
from hypothesis import given, settings, strategies as st
from lab_worlds import ROOT

from oakfork import configuration_schema
from oakfork.control import change_schema, config, connections, records, state_index
from oakfork.control.messages import Kind, Row, SubmitResult, pack, unpack_down
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
    """Parses a change file with this content."""
    return change_schema.parse(json.dumps(change).encode())


def rows_of(change):
    """The rows of a valid change file."""
    rows, faults = parse(change)
    assert not faults
    return rows


def put_in_force(store, rows, index=None):
    """Commits rows to a store and updates an index."""
    changes = as_changes(rows)
    store.commit(changes, updated_sums(store, changes))
    if index is not None:
        index.in_force(changes)


def filled_store():
    """A store with the state of CHANGE, and an index of it."""
    store = Records()
    index = state_index.StateIndex(store)
    put_in_force(store, rows_of(CHANGE), index)
    return store, index


def test_a_change_file_becomes_rows_and_servers_get_the_form_of_discovery():
    """Rows that are put come before dropped ones; their values decode to the records of the file."""
    rows = rows_of(CHANGE | {"drop": {"routes": ["r0"], "servers": ["s0"]}})
    assert [(row.kind, row.name, row.value is None) for row in rows] == [
        (Kind.SERVICE, "search", False),
        (Kind.SERVER, "s1", False),
        (Kind.ROUTE, "r1", False),
        (Kind.TENANT, "t1", False),
        (Kind.SERVER, "s0", True),
        (Kind.ROUTE, "r0", True),
    ]
    row = records.discovery_row("s1", rows[1].value)
    assert row == {key: value for key, value in SERVER.items() if key != "service"}
    assert records.discovery_row("s0", None) == {"id": "s0", "state": "removed"}
    assert records.discovery_row("s0", b"\xc1") == {"id": "s0", "state": "removed"}
    assert records.unpack(Kind.SERVER, rows[1].value).service == "search"
    assert records.unpack(Kind.TENANT, rows[3].value) == records.Tenant("basic", 10, 20, 5, 2)
    assert records.unpack(Kind.SERVICE, rows[0].value).methods[1].effect is records.Effect.UNSAFE


@pytest.mark.parametrize("text", ["10.0.0.1:80", "server.example.org:1", "010.0.0.1:80", "10.0.0.1:080", "a:65535"])
def test_a_packed_address_unpacks_to_the_same_text(text):
    """Addresses that a number can't represent exactly are kept as text."""
    assert records.unpack_address(records.pack_address(text)) == text


def test_a_change_file_is_submitted_compressed_if_that_is_shorter():
    """Both forms are parsed alike, and a file that is too long in every form is an error."""
    short = json.dumps({"id": "a"}).encode()
    long = json.dumps(CHANGE).encode()
    assert change_schema.submitted(short) == short and len(change_schema.submitted(long)) < len(long)
    assert change_schema.parse(change_schema.submitted(long)) == change_schema.parse(long)
    for data in (
        b" " * (change_schema.MAX_FILE_BYTES + 1),
        random.Random(1).randbytes(change_schema.MAX_SUBMITTED_BYTES + 1),
    ):
        with pytest.raises(ChangeSetError):
            change_schema.submitted(data)


def changed_at(path, value):
    """CHANGE with the value at a path replaced, or removed if `value` is `...`."""
    change = copy.deepcopy(CHANGE)
    *parents, last = path
    item = change
    for key in parents:
        item = item[key]
    if value is ...:
        del item[last]
    else:
        item[last] = value
    return change


@pytest.mark.parametrize(
    "path, value, fault_path",
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
def test_a_fault_is_reported_with_its_path_and_refuses_the_file(path, value, fault_path):
    """A file with one fault has no rows, and the faults fit a SubmitResult."""
    rows, faults = parse(changed_at(path, value))
    assert not rows and fault_path in {fault.split(": ")[0] for fault in faults}
    assert unpack_down(pack(SubmitResult("one", None, tuple(faults)))).faults == tuple(faults)


def test_several_faults_are_all_reported_up_to_a_bound():
    """Beyond the bound the number of further faults is reported."""
    change = changed_at(("put", "servers", 0, "state"), 1)
    change["put"]["tenants"] = [TENANT | {"rate": "much"} for _ in range(10)]
    assert len(parse(change)[1]) == 11
    change["put"]["tenants"] *= 10
    faults = parse(change)[1]
    assert len(faults) == change_schema.MAX_FAULTS and faults[-1] == "and 38 more"


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
        b" " * (change_schema.MAX_FILE_BYTES + 1),
        b'{"id": "a", "drop": {"servers": [' + b'"x",' * 4_096 + b'"x"]}}',
        b"[" * 17 + b"]" * 17,
        zlib.compress(b" " * (change_schema.MAX_FILE_BYTES + 1)),
        zlib.compress(json.dumps(CHANGE).encode())[:-1],
        b"x",
    ],
    ids=range(15),
)
def test_an_unreadable_change_file_is_refused(data):
    """Data that is not JSON, too long, nested too deep or ambiguous has faults of bounded length and no rows."""
    rows, faults = change_schema.parse(data)
    assert not rows and faults and all(len(fault) <= change_schema.MAX_FAULT_LENGTH for fault in faults)


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_arbitrary_json_is_refused_or_becomes_readable_records(data):
    """Any JSON value at any place of a change file gives either faults or rows, and no exception."""
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
    change = changed_at(data.draw(st.sampled_from([("id",), ("put",), ("drop",), *paths])), data.draw(junk))
    rows, faults = parse(change)
    assert bool(rows) != bool(faults)
    assert all(row.value is None or records.unpack(row.kind, row.value) is not None for row in rows)
    assert all(fault.startswith(("put.", "drop.")) for fault in state_index.contradictions(Records(), rows))
    pack(SubmitResult("one", None, tuple(faults)))


@pytest.mark.parametrize(
    "change, fault",
    [
        ({"put": {"servers": [SERVER, SERVER]}}, "put.servers[1]: 's1' is listed twice in this change set"),
        (
            {"put": {"servers": [SERVER]}, "drop": {"servers": ["s1"]}},
            "drop.servers[0]: 's1' is put and dropped in this change set",
        ),
        ({"drop": {"servers": ["s1", "s1"]}}, "drop.servers[1]: 's1' is listed twice in this change set"),
        ({"drop": {"servers": ["s2"]}}, "drop.servers[0]: 's2' does not exist"),
        (
            {"drop": {"services": ["search"]}},
            "drop.services[0]: 2 servers and routes would still name service 'search'",
        ),
        ({"drop": {"services": ["search"], "servers": ["s1"]}}, "drop.services[0]: 1 servers and routes"),
        ({"put": {"servers": [SERVER | {"id": "s2"}]}}, "put.servers[0].addr: server 's1' has this address"),
        (
            {"put": {"servers": [SERVER | {"id": "s2", "addr": "a:1"}, SERVER | {"id": "s3", "addr": "a:1"}]}},
            "put.servers[1].addr: server 's2' has this address",
        ),
        (
            {"put": {"servers": [SERVER | {"service": "other"}]}},
            "put.servers[0].service: service 'other' would not exist",
        ),
        (
            {"put": {"routes": [ROUTE | {"name": "r2", "service": "other"}]}},
            "put.routes[0].service: service 'other' would not exist",
        ),
        (
            {"put": {"routes": [ROUTE | {"name": "r2"}]}},
            "put.routes[0]: route 'r1' has the same host, prefix and method",
        ),
        (
            {"put": {"routes": [ROUTE | {"name": "r2", "prefix": "/b"}]}, "drop": {"services": ["search"]}},
            "put.routes[0].service: service 'search' would not exist",
        ),
    ],
)
def test_a_contradiction_is_reported_with_its_path(change, fault):
    """Contradictions with the state and within a change set are found, with and without an index."""
    store, index = filled_store()
    faults = index.contradictions(rows_of({"id": "two"} | change))
    assert any(each.startswith(fault) for each in faults), faults
    assert faults == state_index.contradictions(store, rows_of({"id": "two"} | change))


def test_consistent_change_sets_have_no_contradictions():
    """Records that the same change set removes, moves or puts first don't contradict it."""
    store, index = filled_store()
    for change in (
        {"drop": {"services": ["search"], "servers": ["s1"], "routes": ["r1"]}},
        {"put": {"servers": [SERVER | {"id": "s2"}]}, "drop": {"servers": ["s1"]}},
        {"put": {"servers": [SERVER, SERVER | {"id": "s2", "addr": "10.0.0.2:80"}]}},
        {"put": {"services": [SERVICE | {"name": "new"}], "routes": [ROUTE | {"service": "new"}]}},
        {"put": {"servers": [SERVER | {"addr": "b:1"}, SERVER | {"id": "s2"}]}},
    ):
        rows = rows_of({"id": "two"} | change)
        assert index.contradictions(rows) == [] == state_index.contradictions(store, rows), change


def test_an_updated_index_equals_one_built_from_the_state():
    """The index has no entries left of replaced and removed records."""
    store, index = filled_store()
    for change in (
        CHANGE,
        {"id": "2", "put": {"services": [SERVICE | {"name": "b"}], "servers": [SERVER | {"service": "b"}]}},
        {"id": "3", "put": {"servers": [SERVER | {"id": "s2", "service": "b"}]}, "drop": {"servers": ["s1"]}},
        {"id": "4", "drop": {"routes": ["r1"], "services": ["search"]}},
    ):
        rows = rows_of(change)
        assert index.contradictions(rows) == []
        put_in_force(store, rows, index)
        rebuilt = state_index.StateIndex(store)
        assert (index.known, index.service_users, index.owners) == (
            rebuilt.known,
            rebuilt.service_users,
            rebuilt.owners,
        )


def test_unreadable_records_are_left_out_of_the_index():
    """A record that this version can't decode doesn't stop a publisher from starting."""
    store = Records()
    put_in_force(store, [Row(Kind.SERVER, "x", b"\xc1"), Row(Kind.ROUTE, "y", b"")])
    assert not state_index.StateIndex(store).known


@pytest.mark.parametrize("name, read", [("publisher", config.read_publisher), ("relay", config.read_relay)])
def test_configuration_files_are_read_and_faults_reported_with_their_path(tmp_path, name, read):
    """The example files are valid; each changed one has a fault at the place of the change."""
    example = ROOT / f"deploy/control-{name}.example.toml"
    assert read(example).full_name == f"west/{name}-1"
    text = example.read_text()
    for old, new, fault_path in (
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
        fault_path = fault_path or {"publisher": "listen", "relay": "upstreams[0]"}[name]
        assert fault_path in {fault.split(": ")[0] for fault in caught.value.faults}
    with pytest.raises(ControlConfigError):
        read(tmp_path / "none.toml")


def test_the_documentation_has_the_keys_of_the_schemas():
    """docs/control.md describes each key as the schemas do."""
    text = (ROOT / "docs/control.md").read_text()
    for schema in (change_schema.SCHEMA, config.PUBLISHER, config.RELAY):
        for path, kind, meaning in configuration_schema.table(schema):
            assert f"| `{path}` | {kind} | {meaning} |" in text, path


def counted_reasons():
    """All reasons that are counted: constants of connections.py, and arguments of calls that count."""
    endings = {
        connections.ENDED,
        connections.IN_FRAME,
        connections.FOREIGN,
        connections.STALLED,
        connections.UNTAKEN,
        connections.FULL,
        connections.CLOSED,
    }
    found = {f"connection: {ending}" for ending in endings}
    for path in (ROOT / "oakfork/control").glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            name = ast.unparse(node.func).split(".")[-1] if isinstance(node, ast.Call) else ""
            if name in ("CountEvent", "count_event", "_switch_relay", "_end_link"):
                index = 1 if name == "_end_link" else 0
                if index < len(node.args) and isinstance(node.args[index], ast.Constant):
                    found.add(node.args[index].value)
    return found


def test_the_documentation_names_every_counted_reason():
    """docs/control.md explains all counts that an operator may see."""
    text = (ROOT / "docs/control.md").read_text()
    found = counted_reasons()
    assert {"digest differs", "no hello", "not stored", "not accepted"} <= found  # the search works
    assert not [reason for reason in found if f"`{reason}`" not in text]
