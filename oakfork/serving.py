"""Starts the gateway that the environment configures, in this process."""

import gc
import json
import os
import sys

import trio

from oakfork import early_signals
from oakfork.errors import ConfigurationError, error_lines
from oakfork.sockets import configuration, gateway

# Objects after which the youngest generation is collected: ten times Python's default, since an RPC leaves few cycles.
GC_THRESHOLDS = (7_000, 10, 10)


def _faults() -> list[str]:
    """What the schema finds wrong in a configuration that can't be read; nothing if its library is not installed."""
    try:
        from oakfork.configuration_schema import faults_in

        with open(os.environ["LB_CONFIG"], "rb") as file:
            return faults_in(json.load(file))
    except (ImportError, OSError, KeyError, ValueError, RecursionError):
        return []


def serve() -> None:
    """Serves until a signal ends the process; exits with a message if the configuration can't be used."""
    try:
        gateway_configuration = configuration.read_configuration(os.environ)
    except ConfigurationError as error:
        sys.exit("\n".join(f"oakfork: {line}" for line in error_lines(error, faults=_faults()).splitlines()))
    gc.freeze()  # the modules stay loaded: no collection needs to visit their objects
    gc.set_threshold(*GC_THRESHOLDS)
    trio.run(gateway.run, gateway_configuration)
    early_signals.ignore_signals()
