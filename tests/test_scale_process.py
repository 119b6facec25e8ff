"""Memory and start-up of one real process by the size of its configuration, and that no process is left running."""

import json
import os
import socket
from contextlib import closing

import pytest

from oakfork.configuration_schema import faults_in
from oakfork.errors import DrillProcessError
from oakfork.lab.scale import process_costs
from oakfork.sockets import configuration

NAMES = [
    "process by servers: bytes of memory",
    "process by servers: bytes of memory at the peak",
    "process by servers: seconds to ready",
    "process by servers: processor seconds to ready",
    "process by gateways: bytes of memory",
    "process by gateways: bytes of memory at the peak",
]


def write_configuration(folder, document):
    """Writes a configuration file and returns its path."""
    path = folder / "n0.json"
    path.write_text(json.dumps(document))
    return path


def test_child_ignores_the_environment_and_ends_with_the_context(tmp_path, monkeypatch):
    """LB_ variables of the caller must not reach the child, and it must not outlive the measurement."""
    monkeypatch.setenv("LB_FLEET", str(tmp_path / "none.toml"))
    monkeypatch.setenv("LB_LISTEN", "not an address")
    document = process_costs.configuration(1, 3)
    path = write_configuration(tmp_path, document)
    with process_costs.child(path) as child:
        process_costs.wait_ready(child, document["listen"], process_costs.log_of(path))
        now, peak = process_costs.memory(child.pid)
        assert 0 < now <= peak
        assert process_costs.processor_seconds(child.pid) >= 0
        os.kill(child.pid, 0)
    assert child.returncode is not None
    with pytest.raises(ProcessLookupError):
        os.kill(child.pid, 0)
    with closing(socket.socket()) as sock, pytest.raises(ConnectionRefusedError):
        sock.connect(configuration.parse_address(document["listen"]))


def test_child_that_ends_early_is_reported_with_its_log(tmp_path):
    """The error quotes the log, so that the cause (gateway: its port is in use) is visible."""
    document = process_costs.configuration(1, 3)
    with closing(socket.socket()) as other:
        other.bind(configuration.parse_address(document["listen"]))
        path = write_configuration(tmp_path, document)
        with (
            process_costs.child(path) as child,
            pytest.raises(DrillProcessError, match="listen address not available"),
        ):
            process_costs.wait_ready(child, document["listen"], process_costs.log_of(path))


def test_waiting_for_a_child_that_is_never_ready_times_out(tmp_path, monkeypatch):
    """A child that hangs must not block the measurement, and is killed."""
    monkeypatch.setattr(process_costs, "READY_TIMEOUT_S", 0.0)
    document = process_costs.configuration(1, 3)
    path = write_configuration(tmp_path, document)
    with process_costs.child(path) as child, pytest.raises(DrillProcessError, match="was not ready"):
        process_costs.wait_ready(child, document["listen"], process_costs.log_of(path))
    assert child.returncode is not None


def test_configuration_has_the_size_and_only_loopback_addresses(tmp_path):
    """The generated configuration is valid, and a measured process cannot reach another machine."""
    document = process_costs.configuration(1000, 300)
    assert not faults_in(document)
    gateway = configuration.read_configuration({"LB_CONFIG": str(write_configuration(tmp_path, document))})
    assert len(gateway.peers) == len(set(gateway.peers)) == gateway.settings.gateways == 300
    assert gateway.peers[0] == gateway.peer_listen
    assert len({row["addr"] for row in gateway.known["servers"]}) == 1000
    assert not gateway.settings.probing
    hosts = {configuration.parse_address(row["addr"])[0] for row in gateway.known["servers"]}
    hosts |= {host for host, _ in gateway.peers}
    assert all(host.startswith("127.") for host in hosts)


@pytest.mark.timeout(120)
def test_memory_grows_with_servers_and_with_gateways():
    """The measures exist under the names that the capacity page reads, and their memory has a positive slope."""
    lines: list[str] = []
    measures, held = process_costs.measure(lines.append, small=True)
    assert lines == [measure.name for measure in measures] == NAMES
    for measure in measures:
        assert all(value > 0 for _, values in measure.points for value in values)
        if measure.unit == "bytes":
            assert measure.fit().slope > 0
    assert held["children_a_size"] == 1
