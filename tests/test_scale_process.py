"""Memory and start of one real process by the size of what it is told: what is measured, and that it is gone."""

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


def written(folder, told):
    path = folder / "n0.json"
    path.write_text(json.dumps(told))
    return path


def test_a_process_of_one_server_gets_ready_whatever_the_environment_says_and_is_gone_afterwards(tmp_path, monkeypatch):
    monkeypatch.setenv("LB_FLEET", str(tmp_path / "none.toml"))
    monkeypatch.setenv("LB_LISTEN", "not an address")
    told = process_costs.configuration(1, 3)
    path = written(tmp_path, told)
    with process_costs.child(path) as child:
        process_costs.wait_ready(child, told["listen"], process_costs.log_of(path))
        now, most = process_costs.memory(child.pid)
        assert 0 < now <= most and process_costs.processor_seconds(child.pid) >= 0
        os.kill(child.pid, 0)
    assert child.returncode is not None
    with pytest.raises(ProcessLookupError):
        os.kill(child.pid, 0)
    with closing(socket.socket()) as sock, pytest.raises(ConnectionRefusedError):
        sock.connect(configuration.parse_address(told["listen"]))


def test_a_process_that_ends_is_told_with_its_log(tmp_path):
    told = process_costs.configuration(1, 3)
    with closing(socket.socket()) as taken:
        taken.bind(configuration.parse_address(told["listen"]))
        path = written(tmp_path, told)
        with (
            process_costs.child(path) as child,
            pytest.raises(DrillProcessError, match="listen address not available"),
        ):
            process_costs.wait_ready(child, told["listen"], process_costs.log_of(path))


def test_a_process_that_is_never_ready_is_given_up(tmp_path, monkeypatch):
    monkeypatch.setattr(process_costs, "READY", 0.0)
    told = process_costs.configuration(1, 3)
    path = written(tmp_path, told)
    with process_costs.child(path) as child, pytest.raises(DrillProcessError, match="was not ready"):
        process_costs.wait_ready(child, told["listen"], process_costs.log_of(path))
    assert child.returncode is not None


def test_what_a_process_is_told_is_a_configuration_of_that_size_with_nobody_elsewhere(tmp_path):
    told = process_costs.configuration(1000, 300)
    assert not faults_in(told)
    here = configuration.read_configuration({"LB_CONFIG": str(written(tmp_path, told))})
    assert (
        len(here.peers) == len(set(here.peers)) == here.settings.gateways == 300 and here.peers[0] == here.peer_listen
    )
    assert len({row["addr"] for row in here.known["servers"]}) == 1000 and not here.settings.probing
    hosts = {configuration.parse_address(row["addr"])[0] for row in here.known["servers"]} | {
        host for host, _ in here.peers
    }
    assert all(host.startswith("127.") for host in hosts)


@pytest.mark.timeout(120)
def test_memory_grows_with_servers_and_with_gateways():
    told: list[str] = []
    measures, held = process_costs.measure(told.append, small=True)
    assert told == [measure.name for measure in measures] == NAMES
    for measure in measures:
        assert all(value > 0 for _, values in measure.points for value in values)
        if measure.unit == "bytes":
            assert measure.fit().slope > 0
    assert held["children_a_size"] == 1
