"""Fixtures that several files use."""
import pytest
from standins import World


@pytest.fixture
def world(tmp_path):
    return lambda *acts, **more: World(tmp_path, acts, **more)
