"""Serves as one real gateway, told by its environment where it stands."""

import gc
import json
import os
import sys

import trio

from oakfork import early_signals
from oakfork.errors import ConfigurationError, error_lines
from oakfork.sockets import configuration, gateway


def _faults() -> list[str]:
    """Where the configuration can't be read: what is wrong, each by its path, if the library is there and finds it."""
    try:
        from oakfork.configuration_schema import faults_in

        with open(os.environ["LB_CONFIG"], "rb") as file:
            return faults_in(json.load(file))
    except (ImportError, OSError, KeyError, ValueError, RecursionError):
        return []


def serve() -> None:
    try:
        here = configuration.read_configuration(os.environ)
    except ConfigurationError as error:
        sys.exit("\n".join(f"oakfork: {line}" for line in error_lines(error, faults=_faults()).splitlines()))
    # What is loaded stays: no collection need look at it again. The rest is collected a tenth as often as by default:
    # an RPC leaves few cycles behind.
    gc.freeze()
    gc.set_threshold(7_000, 10, 10)
    trio.run(gateway.run, here)
    early_signals.ignore_signals()
