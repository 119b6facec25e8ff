"""The fleet file, and frames: what is malformed or from elsewhere is refused and counted, and never raises."""

import copy
import random
import socket

import msgspec
import pytest
import tomli_w
from click.testing import CliRunner
from fake_services import free_port
from lab_worlds import ROOT

from oakfork import errors
from oakfork.cli import main
from oakfork.fleet import codec, config
from oakfork.fleet.transport import DatagramTransport
from oakfork.leases.messages import Ask, ClockRequest
from oakfork.sockets.configuration import parse_address

DOCUMENT = {
    "revision": 2,
    "addresses": [f"127.0.0.1:{7000 + n}" for n in range(5)],
    "leases": {"voters": [0, 1, 2], "length_ms": 3000, "act_ms": 250, "drift_permille": 10},
}
ASK = Ask(0, 1, 5, 6, 7, 30_000)
SENDER = 1  # a gateway's number
SENDER_ADDRESS = parse_address("127.0.0.1:7001")


def changed(**values):
    """The document with some values changed, each named by its path with `__` between the keys."""
    document = copy.deepcopy(DOCUMENT)
    for path, value in values.items():
        *parents, last = path.split("__")
        table = document
        for key in parents:
            table = table.setdefault(key, {})
        table[last] = value
    return document


@pytest.mark.parametrize(
    "document, path",
    [
        (changed(leases__voters=[0, 1, 9]), "leases.voters"),
        (changed(leases__voters=[0, 1]), "leases.voters"),
        (changed(leases__voters=[]), "leases.voters"),
        (changed(leases__act_ms=2000), "leases.act_ms"),
        (changed(leases__drift_permille=500), "leases.drift_permille"),
        (changed(addresses=["a:1", "a:1"]), "leases.voters"),
        (changed(leases__length_ms="long"), "leases.length_ms"),
        (changed(colour=1), "the file"),
        (changed(leases__before={"edition": "0" * 16, "voters": [2, 3, 4], "length_ms": 3000}), "leases.before.voters"),
        (changed(leases__before={"edition": "zz", "voters": [0, 1], "length_ms": 3000}), "leases.before.edition"),
        (changed(drill={"target": "nowhere", "every_ms": 10}), "drill.target"),
    ],
)
def test_each_fault_is_named_by_its_path(document, path):
    """An operator has to find the key that is wrong."""
    with pytest.raises(errors.FleetError) as refused:
        config.parse(document)
    assert any(fault.startswith(path) for fault in refused.value.faults)


def test_revision_agrees_with_the_next_and_with_no_other():
    """Majorities of revisions further apart, or of two files with one number, may have no voter in common."""
    first = config.parse(DOCUMENT)
    after = changed(
        revision=3,
        leases__voters=[0, 1, 2, 3],
        leases__before={"edition": config.leases_digest(DOCUMENT), "voters": [0, 1, 2], "length_ms": 3000},
    )
    second = config.parse(after)
    third = config.parse(
        changed(
            revision=4,
            leases__voters=[1, 2, 3],
            leases__before={"edition": config.leases_digest(after), "voters": [0, 1, 2, 3], "length_ms": 3000},
        )
    )
    other = config.parse(changed(leases__length_ms=4000))
    assert first.edition.agrees(second.edition) and second.edition.agrees(first.edition)
    assert second.edition.agrees(third.edition) and third.edition.agrees(second.edition)
    assert not first.edition.agrees(third.edition) and not third.edition.agrees(first.edition)
    assert not first.edition.agrees(other.edition) and not second.edition.agrees(other.edition)
    other_addresses = changed(addresses=[f"127.0.0.1:{8000 + n}" for n in range(5)])  # as another gateway reaches them
    assert config.parse(other_addresses).edition == first.edition


def test_voter_abstains_for_the_longest_lease_of_both_revisions():
    """A voter that restarts may have voted for a longer lease of the revision before."""
    before = {"edition": "0" * 16, "voters": [0, 1, 2], "length_ms": 9000}
    assert config.parse(changed(leases__before=before)).durations.longest == 90_000


def transport_without_socket():
    """The transport of gateway 0, and the list of asks that its handler gets, each with its sender."""
    document = changed(addresses=[free_port(socket.SOCK_DGRAM), "127.0.0.1:7001", "127.0.0.1:7002"])
    transport = DatagramTransport(config.parse(document), 0)
    asks = []
    transport.handlers[Ask] = lambda sender, message: asks.append((sender, message))
    transport.sock.close()
    return transport, asks


def test_only_well_formed_frames_of_known_senders_and_this_fleet_are_handled():
    """Guards against datagrams of anybody else that change the state of leases."""
    transport, asks = transport_without_socket()
    edition = transport.file.edition
    good = codec.pack(SENDER, edition, [ASK])
    foreign = edition._replace(digest=edition.digest ^ 1)
    for data, address, reason in (
        (good[:-1], SENDER_ADDRESS, "malformed"),
        (good + b"\0", SENDER_ADDRESS, "malformed"),
        (b"", SENDER_ADDRESS, "malformed"),
        (b"\xc1" * 40, SENDER_ADDRESS, "malformed"),
        (good + b" " * codec.LARGEST, SENDER_ADDRESS, "malformed"),
        (codec.pack(SENDER, edition, [ASK] * 60), SENDER_ADDRESS, "malformed"),
        (good, parse_address("127.0.0.1:7999"), "from an unknown address"),
        (good, parse_address("127.0.0.1:7002"), "in another's name"),
        (codec.pack(SENDER, foreign, [ASK]), SENDER_ADDRESS, "of another fleet file"),
    ):
        before = transport.counts["refused: " + reason]
        transport.receive(data, address)
        assert transport.counts["refused: " + reason] == before + 1 and not asks
    transport.receive(good, SENDER_ADDRESS)
    transport.receive(good, SENDER_ADDRESS)  # repeated frames are handled again: the pure functions allow for that
    assert asks == [(SENDER, ASK)] * 2
    without_handler = codec.pack(SENDER, edition, [ClockRequest(0, 1, 2)])
    transport.receive(without_handler, SENDER_ADDRESS)
    assert len(asks) == 2


def test_random_damage_never_raises_and_numbers_out_of_range_are_refused():
    """Guards against a frame that is damaged in a way that the decoder does not expect."""
    transport, asks = transport_without_socket()
    generator = random.Random(4)
    good = codec.pack(SENDER, transport.file.edition, [ASK])
    for _ in range(3000):
        data = bytearray(good)
        for _ in range(generator.randrange(1, 5)):
            data[generator.randrange(len(data))] = generator.randrange(256)
        if generator.random() < 0.3:
            data = data[: generator.randrange(len(data) + 1)]
        transport.receive(bytes(data), SENDER_ADDRESS)
    assert sum(transport.counts.values()) == 3000
    assert all(0 <= ask.length <= 1 << 40 and 0 <= ask.term < 1 << 63 for _, ask in asks)
    negative_term = msgspec.msgpack.encode([1, SENDER, *transport.file.edition, [[1, 0, 1, 5, -6, 7, 30_000]]])
    transport.receive(negative_term, SENDER_ADDRESS)
    assert not any(ask.term < 0 for _, ask in asks)


def test_fleet_check_prints_the_digest_or_each_fault(tmp_path):
    """The next revision of the file names the digest that the command prints; the example must pass."""
    path = tmp_path / "fleet.toml"
    path.write_bytes(tomli_w.dumps(DOCUMENT).encode())
    result = CliRunner().invoke(main, ["fleet", "check", str(path)])
    assert result.exit_code == 0 and config.leases_digest(DOCUMENT) in result.output
    path.write_bytes(tomli_w.dumps(changed(leases__act_ms=2000, leases__voters=[0, 1])).encode())
    result = CliRunner().invoke(main, ["fleet", "check", str(path)])
    assert result.exit_code == 2 and len(result.output.splitlines()) == 3 and "leases.act_ms" in result.output
    example = CliRunner().invoke(main, ["fleet", "check", str(ROOT / "deploy/fleet.example.toml")])
    assert example.exit_code == 0
