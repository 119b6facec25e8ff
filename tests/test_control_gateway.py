"""A real gateway that gets its servers from the control part instead of discovery (docs/control.md)."""

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
    """A server's item in a change file."""
    return entry(number, address) | {"state": state, "service": service}


def publish(address, id, **put):
    """Publishes a change set that must be accepted; returns its position."""
    result = trio.run(client.publish, address, id, json.dumps({"id": id, "put": put}).encode())
    assert result.position is not None, result.faults
    return result.position


@contextmanager
def gateway(folder, relays, rows, **control):
    """Runs a gateway whose fleet file names relays, and whose discovery is unreachable."""
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


def test_a_gateway_uses_the_servers_that_the_publisher_has(tmp_path):
    """RPCs go to the published servers of the gateway's service, also while relays fail one by one."""
    services = [FakeService(echo) for _ in range(4)]
    known, first, second, other = (service.address for service in services)

    def send_rpc():
        """The status of an RPC, and how many requests each server got from it."""
        before = [len(service.seen) for service in services]
        status = rpc(gateway_address)[0]
        return status, [len(service.seen) - count for service, count in zip(services, before, strict=True)]

    processes = trial.Processes(tmp_path)
    try:
        publisher = trial.start_all(processes)
        relays = [processes.address_of(name) for name in ("relay-2", "relay-1")]
        publish(
            publisher,
            "one",
            services=[SERVICE, SERVICE | {"name": "mail"}],
            servers=[server(1, first), server(3, other, service="mail")],
        )
        configured = [entry(0, known), entry(3, other)]
        with gateway(tmp_path, relays, configured, service="search") as (gateway_address, process):
            # Once the state is there, servers of the configuration that it does not have, or has as those of another
            # service by now, are gone.
            assert until(lambda: send_rpc() == (200, [0, 1, 0, 0]))
            assert all(send_rpc() == (200, [0, 1, 0, 0]) for _ in range(5))
            publish(publisher, "two", servers=[server(1, first, "draining"), server(2, second)])
            assert until(lambda: send_rpc() == (200, [0, 0, 1, 0]))
            processes.kill("relay-2")  # the gateway switches to the other one
            publish(publisher, "three", servers=[server(2, second, "draining"), server(1, first)])
            assert until(lambda: send_rpc() == (200, [0, 1, 0, 0]))
            processes.kill("relay-1")  # the gateway goes on with the state that it has
            assert all(send_rpc() == (200, [0, 1, 0, 0]) for _ in range(5))
            process.terminate()
            assert process.wait(10) == 0
    finally:
        processes.close()
        for service in services:
            service.shutdown()
            service.server_close()


def test_a_gateway_without_relays_does_not_import_the_control_part():
    """Gateways whose fleet file has no `control` table don't pay for the package."""
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
