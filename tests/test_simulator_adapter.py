"""The simulator's wire: batches in and out, bad input, and a record for every command."""

import io
import json
import struct
import subprocess
import sys

import pytest

from oakfork import interface
from oakfork.simulator_adapter import codec
from oakfork.simulator_adapter.host import Host, serve

INFO = json.dumps(
    {
        "balancers": 1,
        "index": 0,
        "new-key": 1,
        "classes": [{"aim-ms": 2000.0, "deadline-ms": 4000.0}],
        "tiers-of-service": [{"refill": 5.0, "peak-units": 5.0}],
        "limits": {"attempts-cap": 4},
    }
).encode()
SERVER = bytes((10, 0, 0, 1)) + struct.pack("<H", 9000)


def context(instance):
    """A record that names the instance of those after it."""
    return bytes((codec.CONTEXT,)) + struct.pack("<I", instance)


def launch(seed=1):
    """A record that starts an instance."""
    return bytes((codec.LAUNCH,)) + struct.pack("<QI", seed, len(INFO)) + INFO


def manifest(number, *states):
    """A record that declares a list of servers in these states."""
    entries = b"".join(
        codec.ENTRY.pack(0, 0, SERVER[:3] + bytes((i,)) + SERVER[4:], 0, state, 0.0, 1.0)
        for i, state in enumerate(states)
    )
    return bytes((codec.MANIFEST,)) + struct.pack("<II", number, len(states)) + entries


def discovery(number, how=2):
    """A record that gives an instance a declared list."""
    return bytes((codec.DISCOVERY,)) + struct.pack("<BII", how, 1, number)


def accept(rpc):
    """A record of an RPC that comes in."""
    return bytes((codec.ACCEPT,)) + struct.pack("<QQBfdfHHf", rpc, 5, 0, 0.0, 4000.0, 1.0, 0, 0, 1.0)


def batch(clock, *records):
    """Records in a batch."""
    body = b"".join(records)
    return codec.BATCH_HEADER.pack(len(body), clock, len(records)) + body


def run(*batches, host=None) -> list[bytes]:
    """The replies to batches, without their headers."""
    host = host or Host()
    source = io.BytesIO(b"".join(batches))
    replies = []
    while (read := codec.read_batch(source)) is not None:
        replies.append(host.batch(*read))
    return replies


def test_an_empty_batch_gets_an_empty_reply():
    """The protocol's own example, byte for byte."""
    source = io.BytesIO(bytes.fromhex("0000000000000000206ec04000000000"))
    sink = io.BytesIO()
    serve(source, sink)
    assert sink.getvalue() == bytes(4)


def test_an_rpc_is_sent_on_and_its_ids_come_back_unmodified():
    """Ids above 2^50 must not lose digits on the way through the index table."""
    (reply,) = run(batch(1000.0, context(3), launch(), manifest(0, 1), discovery(0), accept(2**51)))
    assert reply.startswith(codec.by(3)) and struct.pack("<BQ", 70, 2**51) in reply


def test_list_numbers_are_resolved_in_the_order_of_records():
    """A list that is declared again must not change what an earlier record named."""
    (reply,) = run(
        batch(
            1000.0,
            context(0),
            launch(),
            context(1),
            launch(),
            manifest(4, 1),
            context(0),
            discovery(4),
            manifest(4, 2),
            context(1),
            discovery(4),
            context(0),
            accept(1),
            context(1),
            accept(2),
        )
    )
    assert struct.pack("<BQ", 70, 1) in reply  # listed ready: sent on
    assert struct.pack("<BQ", 80, 2) in reply  # listed draining: pushed back


def test_a_restart_forgets_and_late_events_are_ignored():
    """An instance that starts anew knows no RPC of its earlier life."""
    expired = bytes((codec.EXPIRED,)) + struct.pack("<Q", 77)
    host = Host()
    replies = run(
        batch(1000.0, context(0), launch(), manifest(0, 1), discovery(0), accept(1)),
        batch(1001.0, context(0), bytes((codec.EXIT,)), launch(2), discovery(0), expired, accept(2)),
        host=host,
    )
    assert struct.pack("<BQ", 70, 2) in replies[1] and list(host.instances[0].index_table.rpcs) == [2]


def ended_ok(rpc):
    """A record of a call-out that ended OK after 50 ms with the final answer."""
    address = SERVER[:3] + b"\0" + SERVER[4:]
    return struct.pack("<BQH6sdHBBHB", codec.ENDED, rpc, 0, address, 50.0, 0, 0, 1, 0, 0)


def test_the_index_of_an_rpc_is_used_again():
    """The index table must not grow with the number of RPCs."""
    host = Host()
    run(batch(1000.0, context(0), launch(), manifest(0, 1), discovery(0)), host=host)
    for rpc in range(200):
        at = 2000.0 + rpc * 300
        run(batch(at, context(0), accept(rpc)), batch(at + 50, context(0), ended_ok(rpc)), host=host)
    index_table = host.instances[0].index_table
    assert len(index_table.rpc_entries) <= 2 and not index_table.rpcs


def test_a_failing_module_is_reported_with_its_error():
    """A failure of one module must not end the process that hosts others."""

    class Broken:
        """A module that fails at its first event."""

        def __init__(self, settings, now):
            pass

        def handle(self, now, event):
            """Fails."""
            raise ZeroDivisionError("no servers")

    (reply,) = run(batch(1000.0, context(0), launch(), manifest(0, 1), discovery(0)), host=Host(Broken))
    assert reply[5] == 110 and b"ZeroDivisionError: no servers (handle" in reply


@pytest.mark.parametrize(
    "data, text",
    [
        (b"\1\0", "truncated header"),
        (batch(1.0, context(0))[:-1], "truncated frame"),
        (batch(1.0, b"\xee"), "unknown event code 238 at byte 0"),
        (batch(1.0, context(0)[:3]), "Context at byte 0"),
        (batch(1.0, context(0), discovery(0)), "not launched"),
        (batch(1.0, accept(1)), "before any Context"),
        (batch(1.0, context(0), launch(), discovery(9)), "list 9 was never declared"),
        (batch(1.0, context(0), launch(), manifest(0, 7), discovery(0)), "Discovery"),
    ],
)
def test_bad_input_ends_with_one_line_that_says_what_is_wrong(data, text):
    """A protocol error must not end with a traceback."""
    ended = subprocess.run(
        [sys.executable, "-m", "oakfork.simulator_adapter"], input=data, capture_output=True, timeout=30
    )
    line = ended.stderr.decode()
    assert ended.returncode != 0 and line.count("\n") == 1 and line.startswith("simulator adapter: ") and text in line


def test_the_end_of_input_between_batches_is_no_error():
    """The simulator ends the adapter by closing its input."""
    command = [sys.executable, "-m", "oakfork.simulator_adapter"]
    ended = subprocess.run(command, input=batch(1.0), capture_output=True, timeout=30)
    assert (ended.returncode, ended.stdout, ended.stderr) == (0, bytes(4), b"")


def test_every_command_has_its_record():
    """Compares with the protocol's own examples, where it has them."""
    host = Host()
    expected = (
        (interface.SendPeerFrame(65535, b"hi 7"), "8cffff040068692037"),
        (interface.SubscribeToList(), "3201"),
        (interface.ReadServerList(), "0a"),
        (interface.WriteLog("two servers known"), "3c110074776f2073657276657273206b6e6f776e"),
        (interface.SetTimer(77, 5000), "644d000000000000000000000000407f40"),
        (interface.ProbeServer(0), "1e0a0000002823"),
        (interface.CloseIdleConnections(0), "280a0000002823"),
        (interface.AddToCounter(0x89F690, 4.0, 30_000), "8290f689000000000000008040000000000070a740"),
    )
    run(batch(1.0, context(0), launch(), manifest(0, 1), discovery(0)), host=host)
    for command, record in expected:
        assert host.instances[0].encode_command(command).hex() == record
