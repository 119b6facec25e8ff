"""Checks that the digest of decisions follows values and kinds, and not the names of types."""

import importlib
import sys
from typing import NamedTuple

import pytest
from lab_worlds import ROOT

from oakfork import interface

sys.path.insert(0, str(ROOT / "experiments"))
same_commands = importlib.import_module("same_commands")

PUSH_BACK = interface.PushBack(rpc=7, retry_after=10_000)


@pytest.mark.parametrize(
    "other",
    [
        interface.PushBack(rpc=7, retry_after=10_001),
        interface.PushBack(rpc=8, retry_after=10_000),
        interface.CancelCallOut(7, 10_000),
        (7, 10_000),
        [PUSH_BACK],
    ],
)
def test_a_changed_value_or_kind_changes_the_encoding(other):
    """A decision that changed would otherwise pass for the same."""
    assert same_commands.encoded(other) != same_commands.encoded(PUSH_BACK)


def test_a_renamed_kind_keeps_its_encoding(monkeypatch):
    """A digest over names would change with every renamed class and could not compare two revisions."""

    class Refuse(NamedTuple):
        """A push back under another name, with other names for its fields."""

        call: int
        wait: int

    monkeypatch.setitem(same_commands.KINDS, Refuse, same_commands.KINDS[interface.PushBack])
    assert same_commands.encoded(Refuse(7, 10_000)) == same_commands.encoded(PUSH_BACK)


def test_every_kind_of_event_and_command_has_a_number_of_its_own():
    """Two kinds with one number could stand for each other unnoticed."""
    assert len(set(same_commands.KINDS.values())) == len(same_commands.KINDS) == 23
