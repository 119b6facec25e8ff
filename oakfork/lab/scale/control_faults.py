"""Group "faults": the control plane at its full size through faults that a seed draws, checked by the fleet verifier.

A relay is killed, one is stopped for 20 s, the publisher is killed twice, connections end within a frame, and a region
is cut off and reconnected.
"""

import sys
from typing import Any, Callable

from oakfork.lab.scale.fleet_measurement import SMALL, FleetMeasurement, Sizes
from oakfork.lab.scale.slopes import Measure

GROUP = "faults"


def measure(report: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Runs the faults; returns no measures, and what was injected and seen.

    Raises DrillProcessError where the verifier finds a violation.
    """
    sizes = SMALL if small else Sizes()
    gateways = sizes.gateways[-1]
    result = FleetMeasurement(sizes, gateways, report).run_faults()
    report(f"{gateways} gateways, faults of seed {sizes.seed}: {result['change_sets']} change sets, {result['judged']}")
    return [], {"python": sys.version.split()[0], "gateways": gateways} | result
