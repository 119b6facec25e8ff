"""Group "faults": the control part at its full size through faults that a seed draws, judged by the witness apart: a
relay killed, one stopped for 20 s, the publisher killed twice, connections ended in a frame, a region cut and healed.
"""

import sys
from typing import Any, Callable

from oakfork.lab.scale.control_costs import SMALL, Player, Sizes
from oakfork.lab.scale.slopes import Measure

GROUP = "faults"


def measure(told: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """No measures; what was played and seen. Raises DrillProcessError where the witness finds a fault."""
    sizes = SMALL if small else Sizes()
    gateways = sizes.gateways[-1]
    played = Player(sizes, gateways, told).faults()
    told(f"{gateways} gateways, faults of seed {sizes.seed}: {played['change_sets']} change sets, {played['judged']}")
    return [], {"python": sys.version.split()[0], "gateways": gateways} | played
