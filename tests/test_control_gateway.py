"""A real gateway that is told its servers by the control part, in discovery's place: docs/control.md."""

import json
import os
import subprocess
import sys
from contextlib import contextmanager

import tomli_w
import trio
from fake_services import FakeService, configuration_document, echo, entry, free_port, rpc, started, until
from lab_worlds import ROOT

from oakfork.control import client, trial

SERVICE = {"name": "search", "methods": [{"name": "read", "aim_ms": 100, "deadline_ms": 400}]}


def server(number, address, state="up", service="search"):
    return entry(number, address) | {"state": state, "service": service}


def publish(place, id, **put):
    verdict = trio.run(client.publish, place, id, json.dumps({"id": id, "put": put}).encode())
    assert verdict.position is not None, verdict.faults
    return verdict.position


@contextmanager
def gateway(folder, relays, rows, **control):
    """The program behind a fleet file that names relays, and no discovery to be had."""
    fleet = folder / "fleet.toml"
    fleet.write_bytes(
        tomli_w.dumps(
            {
                "revision": 1,
                "addresses": [free_port()],
                "control": {"relays": relays} | control,
                "leases": {"voters": [0], "length_ms": 3000, "act_ms": 250, "drift_permille": 10},
            }
        ).encode()
    )
    configured = configuration_document("127.0.0.1:9", rows)
    with started(folder, configured, LB_FLEET=str(fleet)) as process:
        yield configured["listen"], process


def test_a_gateway_sends_to_the_servers_that_the_publisher_says(tmp_path):
    stand_ins = [FakeService(echo) for _ in range(4)]
    known, first, second, other = (party.address for party in stand_ins)

    def went_to():
        before = [len(party.seen) for party in stand_ins]
        status = rpc(at)[0]
        return status, [len(party.seen) - was for party, was in zip(stand_ins, before, strict=True)]

    processes = trial.Processes(tmp_path)
    try:
        publisher = trial.started(processes)
        relays = [processes.listens(name) for name in ("relay-2", "relay-1")]
        publish(
            publisher,
            "one",
            services=[SERVICE, SERVICE | {"name": "mail"}],
            servers=[server(1, first), server(3, other, service="mail")],
        )
        with gateway(tmp_path, relays, [entry(0, known)], service="search") as (at, process):
            # What the configuration knew is gone once the state is there; another service's servers are not ours.
            assert until(lambda: went_to() == (200, [0, 1, 0, 0]))
            assert all(went_to() == (200, [0, 1, 0, 0]) for _ in range(5))
            publish(publisher, "two", servers=[server(1, first, "draining"), server(2, second)])
            assert until(lambda: went_to() == (200, [0, 0, 1, 0]))
            processes.kill("relay-2")  # it turns to the other one
            publish(publisher, "three", servers=[server(2, second, "draining"), server(1, first)])
            assert until(lambda: went_to() == (200, [0, 1, 0, 0]))
            processes.kill("relay-1")  # it serves on, on what it has
            assert all(went_to() == (200, [0, 1, 0, 0]) for _ in range(5))
            process.terminate()
            assert process.wait(10) == 0
    finally:
        processes.close()
        for party in stand_ins:
            party.shutdown()
            party.server_close()


def test_nothing_of_it_is_imported_where_no_fleet_file_names_relays():
    found = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, oakfork.sockets.gateway, oakfork.fleet.services; "
            "print([name for name in sys.modules if name.startswith('oakfork.control')])",
        ],
        capture_output=True,
        text=True,
        timeout=30,
        cwd=ROOT,
        env=dict(os.environ),
    ).stdout
    assert found.strip() == "[]"
