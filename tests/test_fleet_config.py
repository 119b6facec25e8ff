"""The fleet file, frames, and what comes in their name: refused, counted, never believed, never a crash."""

import copy
import random
import socket

import msgspec
import pytest
from click.testing import CliRunner
from fake_services import free_port
from lab_worlds import ROOT

from oakfork import errors
from oakfork.cli import main
from oakfork.fleet import codec, config as fleetfile
from oakfork.fleet.transport import DatagramTransport
from oakfork.leases.messages import Ask, ClockRequest
from oakfork.sockets.configuration import parse_address

GOOD = {
    "revision": 2,
    "addresses": [f"127.0.0.1:{7000 + n}" for n in range(5)],
    "leases": {"voters": [0, 1, 2], "length_ms": 3000, "act_ms": 250, "drift_permille": 10},
}


def changed(**places):
    told = copy.deepcopy(GOOD)
    for place, value in places.items():
        *path, last = place.split("__")
        table = told
        for part in path:
            table = table.setdefault(part, {})
        table[last] = value
    return told


@pytest.mark.parametrize(
    "told, place",
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
def test_each_fault_is_named_by_its_path(told, place):
    with pytest.raises(errors.FleetError) as refused:
        fleetfile.checked(told)
    assert any(fault.startswith(place) for fault in refused.value.faults)


def test_editions_agree_with_the_next_and_with_no_other():
    first = fleetfile.checked(GOOD)
    after = changed(
        revision=3,
        leases__voters=[0, 1, 2, 3],
        leases__before={"edition": fleetfile.digest(GOOD), "voters": [0, 1, 2], "length_ms": 3000},
    )
    second = fleetfile.checked(after)
    third = fleetfile.checked(
        changed(
            revision=4,
            leases__voters=[1, 2, 3],
            leases__before={"edition": fleetfile.digest(after), "voters": [0, 1, 2, 3], "length_ms": 3000},
        )
    )
    other = fleetfile.checked(changed(leases__length_ms=4000))
    assert first.edition.agrees(second.edition) and second.edition.agrees(first.edition)
    assert second.edition.agrees(third.edition) and third.edition.agrees(second.edition)
    assert not first.edition.agrees(third.edition) and not third.edition.agrees(first.edition)
    assert not first.edition.agrees(other.edition) and not second.edition.agrees(other.edition)
    mine = changed(addresses=[f"127.0.0.1:{8000 + n}" for n in range(5)])  # as another gateway reaches them
    assert fleetfile.checked(mine).edition == first.edition


def test_the_longest_lease_of_both_editions_is_what_a_voter_abstains_for():
    before = {"edition": "0" * 16, "voters": [0, 1, 2], "length_ms": 9000}
    assert fleetfile.checked(changed(leases__before=before)).durations.longest == 90_000


def box():
    told = changed(addresses=[free_port(socket.SOCK_DGRAM), "127.0.0.1:7001", "127.0.0.1:7002"])
    transport, taken = DatagramTransport(fleetfile.checked(told), 0), []
    transport.handlers[Ask] = lambda sender, message: taken.append((sender, message))
    transport.sock.close()
    return transport, taken


def test_only_whole_frames_of_known_senders_and_this_fleet_are_believed():
    transport, taken = box()
    ask, edition = Ask(0, 1, 5, 6, 7, 30_000), transport.file.edition
    good, place = codec.pack(1, edition, [ask]), parse_address("127.0.0.1:7001")
    foreign = edition._replace(digest=edition.digest ^ 1)
    for data, sender, reason in (
        (good[:-1], place, "malformed"),
        (good + b"\0", place, "malformed"),
        (b"", place, "malformed"),
        (b"\xc1" * 40, place, "malformed"),
        (good + b" " * codec.LARGEST, place, "malformed"),
        (codec.pack(1, edition, [ask] * 60), place, "malformed"),
        (good, parse_address("127.0.0.1:7999"), "from an unknown address"),
        (good, parse_address("127.0.0.1:7002"), "in another's name"),
        (codec.pack(1, foreign, [ask]), place, "of another fleet file"),
    ):
        before = transport.counts["refused: " + reason]
        transport.take(data, sender)
        assert transport.counts["refused: " + reason] == before + 1 and not taken
    transport.take(good, place)
    transport.take(good, place)  # doubled: the machines take that
    assert taken == [(1, ask)] * 2
    transport.take(codec.pack(1, edition, [ClockRequest(0, 1, 2)]), place)  # a kind that nobody takes here
    assert len(taken) == 2


def test_random_damage_never_crashes_and_wild_numbers_are_refused():
    transport, taken = box()
    dice, place = random.Random(4), parse_address("127.0.0.1:7001")
    good = codec.pack(1, transport.file.edition, [Ask(0, 1, 5, 6, 7, 30_000)])
    for _ in range(3000):
        data = bytearray(good)
        for _ in range(dice.randrange(1, 5)):
            data[dice.randrange(len(data))] = dice.randrange(256)
        transport.take(bytes(data[: dice.randrange(len(data) + 1)] if dice.random() < 0.3 else data), place)
    assert sum(transport.counts.values()) == 3000
    assert all(0 <= ask.length <= 1 << 40 and 0 <= ask.term < 1 << 63 for _, ask in taken)
    wild = msgspec.msgpack.encode([1, 1, *transport.file.edition, [[1, 0, 1, 5, -6, 7, 30_000]]])
    transport.take(wild, place)
    assert not any(ask.term < 0 for _, ask in taken)


def test_fleet_check_prints_the_edition_or_each_fault(tmp_path):
    import tomli_w

    path = tmp_path / "fleet.toml"
    path.write_bytes(tomli_w.dumps(GOOD).encode())
    done = CliRunner().invoke(main, ["fleet", "check", str(path)])
    assert done.exit_code == 0 and fleetfile.digest(GOOD) in done.output
    path.write_bytes(tomli_w.dumps(changed(leases__act_ms=2000, leases__voters=[0, 1])).encode())
    done = CliRunner().invoke(main, ["fleet", "check", str(path)])
    assert done.exit_code == 2 and len(done.output.splitlines()) == 3 and "leases.act_ms" in done.output
    example = CliRunner().invoke(main, ["fleet", "check", str(ROOT / "deploy/fleet.example.toml")])
    assert example.exit_code == 0
