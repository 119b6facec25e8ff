"""Contracts files, as parsed TOML documents."""

import copy
import socket

import structlog
import tomli_w
from fake_services import free_port

from oakfork.contracts.runner import Contracts
from oakfork.fleet import config
from oakfork.fleet.transport import DatagramTransport
from oakfork.leases.runner import LeaseRunner

WINDOW = {"from": "2027-01-01T00:00:00Z", "until": "2027-03-01T00:00:00Z"}
DOCUMENT = {
    "site": [{"name": name, "legs_per_s": 100.0} for name in ("hai-phong", "cai-mep", "can-tho")],
    "contract": [
        {
            "tenant": "gemadept",
            "customers": ["00000000000000a1"],
            "legs_per_s": 80.0,
            "burst": 20,
            "open": 40,
            "window": [WINDOW | {"daily_from": "22:00", "daily_until": "04:00"}],
            "goes": 1,
        },
        {
            "tenant": "viconship",
            "customers": ["00000000000000b1"],
            "legs_per_s": 120.0,
            "burst": 20,
            "open": 40,
            "window": [WINDOW],
            "goes": 2,
        },
    ],
}


def changed(**values):
    """The document with some values changed, each named by its path with `__` between the keys."""
    document = copy.deepcopy(DOCUMENT)
    for path, value in values.items():
        *parents, last = path.split("__")
        table = document
        for key in parents:
            table = table[int(key)] if key.isdigit() else table[key]
        table[last] = value
    return document


def gateway_contracts(folder, log=None, **changes):
    """The contracts of gateway 0 of 3, without a socket; their windows hold now."""
    path = folder / "contracts.toml"
    path.write_text(tomli_w.dumps(holding_now(**changes)))
    fleet_file = config.parse(
        {
            "revision": 1,
            "addresses": [free_port(socket.SOCK_DGRAM), "127.0.0.1:1", "127.0.0.1:2"],
            "leases": {"voters": [0], "length_ms": 300, "act_ms": 50, "drift_permille": 10},
        }
    )
    transport = DatagramTransport(fleet_file, 0)
    transport.sock.close()
    log = log or structlog.get_logger()
    return Contracts(str(path), fleet_file, 0, transport, LeaseRunner(fleet_file, 0, transport, log), log)


def holding_now(**changes):
    """A document whose contracts hold now, with changes as of `changed`."""
    always = [{"from": "2020-01-01T00:00:00Z", "until": "2099-01-01T00:00:00Z"}]
    return changed(contract__0__window=always, contract__1__window=always, **changes)
