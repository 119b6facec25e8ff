"""Fixtures that several files use, and the handling of KNOWN-RED.txt."""

import pytest
from fake_services import GatewayProcess
from known_red import (
    pytest_collection_modifyitems as pytest_collection_modifyitems,
    pytest_terminal_summary as pytest_terminal_summary,
)


@pytest.fixture
def world(tmp_path):
    return lambda *acts, **more: GatewayProcess(tmp_path, acts, **more)
