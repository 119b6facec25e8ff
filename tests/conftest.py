"""Fixtures that several files use, and the handling of KNOWN-RED.txt."""

import pytest
from fake_services import GatewayProcess
from known_red import (
    pytest_collection_modifyitems as pytest_collection_modifyitems,
    pytest_terminal_summary as pytest_terminal_summary,
)


@pytest.fixture
def start_gateway(tmp_path):
    """A function that prepares a GatewayProcess; it takes the answering functions of the servers."""
    return lambda *acts, **changes: GatewayProcess(tmp_path, acts, **changes)
