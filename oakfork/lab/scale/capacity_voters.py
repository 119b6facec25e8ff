"""The table of a voter of leases: what it sends, holds and spends at the planned size."""

from oakfork.lab.scale.capacity_figures import Row
from oakfork.lab.scale.capacity_measures import (
    VOTER_BYTES_RECEIVED,
    VOTER_BYTES_SENT,
    VOTER_FRAMES,
    VOTER_PROCESSOR,
    VOTER_STATE_BYTES,
    WATCHER_FRAMES,
)
from oakfork.lab.scale.capacity_roles import FleetFigures


def voter_rows(fleet: FleetFigures) -> list[Row]:
    """The voters of leases."""
    both = fleet.for_views
    at = fleet.store.at
    budget = fleet.budget
    return [
        Row(
            "frames a second of all voters together",
            both(lambda view: at(VOTER_FRAMES, view.gateways)),
            None,
            "three voters contend among themselves: docs/leases.md",
        ),
        Row(
            "frames a second of a watcher",
            both(lambda view: at(WATCHER_FRAMES, view.gateways)),
            None,
            "a gateway that is no voter neither sends nor gets any",
        ),
        Row(
            "bytes of state of all voters together",
            both(lambda view: at(VOTER_STATE_BYTES, view.gateways)),
            None,
            "one vote and one contender a task",
        ),
        Row(
            "bytes a second that a voter sends",
            both(lambda view: at(VOTER_BYTES_SENT, view.gateways)),
            budget.traffic,
            "one task; each more costs as much again: oakfork/leases/voter.py",
        ),
        Row("... that it gets", both(lambda view: at(VOTER_BYTES_RECEIVED, view.gateways)), budget.traffic, "likewise"),
        Row(
            "part of a core of a voter",
            both(lambda view: at(VOTER_PROCESSOR, view.gateways)),
            budget.core,
            "frames and machines, without the system's calls",
        ),
    ]
