"""Group "control": what it costs to bring changes to every gateway, at several numbers of hollow gateways.

Real processes (oakfork/control) run over loopback on one machine; fleet_measurement.py measures each fleet. At each
size: at rest, single changes, one relay gone. At the largest, which runs first, also the bursts, real gateways beside
the hollow ones, and a cold zone. control_faults.py has the run with faults.
All processes share the processors of one machine, so the times until everywhere are upper bounds for many.
"""

import sys
from typing import Any, Callable

from oakfork.lab.scale.fleet_measurement import SMALL, FleetMeasurement, FleetResult, Sizes
from oakfork.lab.scale.slopes import Measure

GROUP = "control"
CHANGES_PER_DAY = 2_000  # on a mean day
DAY_S = 86_400


def measure(report: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Measures all sizes; returns the measures by gateways and what else the stored file holds.

    Raises DrillProcessError where processes do not start or end, a change set is not in force everywhere in time, or
    the verifier finds a violation.
    """
    sizes = SMALL if small else Sizes()
    results = {gateways: FleetMeasurement(sizes, gateways, report).run() for gateways in reversed(sizes.gateways)}
    return _measures(sizes, results), {
        "python": sys.version.split()[0],
        "plays": {str(gateways): result.details for gateways, result in results.items()},
        "mean_day": _mean_day(sizes, results[sizes.gateways[-1]]),
    }


def _for_a_change(result: FleetResult, sizes: Sizes, field: str) -> float:
    """A field of Cost for one change set, beyond rest."""
    return getattr(result.changes.beyond(result.rest), field) / sizes.changes


def _at_rest(result: FleetResult, field: str) -> float:
    """A field of Cost for a second at rest."""
    return getattr(result.rest, field) / result.rest.seconds


def _measures(sizes: Sizes, results: dict[int, FleetResult]) -> list[Measure]:
    shape = sizes.shape
    held = {
        "relays": shape.relays,
        "regions": shape.regions,
        "records": sum(shape.sizes),
        "relay_egress": shape.relay_egress,
    }

    def at_rest(field: str) -> Callable[[FleetResult], list[float]]:
        return lambda result: [_at_rest(result, field)]

    def for_a_change(field: str) -> Callable[[FleetResult], list[float]]:
        return lambda result: [_for_a_change(result, sizes, field)]

    definitions: list[tuple[str, str, Callable[[FleetResult], list[float]], str]] = [
        ("bytes to all a second, at rest", "bytes", at_rest("received"), "beats"),
        ("bytes from all a second, at rest", "bytes", at_rest("sent"), ""),
        (
            "processor seconds of all a second, at rest",
            "seconds",
            at_rest("gateways_s"),
            "of hollow processes, their own reports included",
        ),
        ("processor seconds of publisher and relays a second, at rest", "seconds", at_rest("serving_s"), ""),
        ("bytes to all for a change", "bytes", for_a_change("received"), "of one record, beyond rest"),
        ("bytes from all for a change", "bytes", for_a_change("sent"), "beyond rest"),
        ("processor seconds of all for a change", "seconds", for_a_change("gateways_s"), "beyond rest"),
        (
            "processor seconds of publisher and relays for a change",
            "seconds",
            for_a_change("serving_s"),
            "beyond rest",
        ),
        ("seconds to everywhere, the last", "seconds", lambda one: one.last_s, "from acknowledged; one machine"),
        ("seconds to everywhere, the median", "seconds", lambda one: one.median_s, "from acknowledged; one machine"),
    ]
    return [
        Measure(
            f"control by gateways: {what}",
            unit,
            "gateways",
            [(gateways, values(results[gateways])) for gateways in sizes.gateways],
            held,
            note,
        )
        for what, unit, values, note in definitions
    ]


def _mean_day(sizes: Sizes, largest: FleetResult) -> dict[str, float]:
    """What a gateway of the largest fleet takes on a mean day."""
    gateways = sizes.gateways[-1]
    change_bytes = _for_a_change(largest, sizes, "received") + _for_a_change(largest, sizes, "sent")
    return {
        "bytes_a_second_a_gateway": (largest.rest.received + largest.rest.sent) / largest.rest.seconds / gateways
        + change_bytes * CHANGES_PER_DAY / DAY_S / gateways,
        "processor_part_of_a_core_a_gateway": largest.rest.gateways_s / largest.rest.seconds / gateways
        + _for_a_change(largest, sizes, "gateways_s") * CHANGES_PER_DAY / DAY_S / gateways,
    }
