"""Group "leases": frames, bytes and processor time of voters and watchers by the number of gateways, in the model."""

import platform
from typing import Any, Callable

from oakfork.interface import SECOND
from oakfork.lab.datagram_relay import HEADERS
from oakfork.lab.lease_model import LENGTHS, LeaseFleetModel
from oakfork.lab.scale.slopes import Measure

GROUP = "leases"
GATEWAYS = (3, 30, 300, 2_700)
SMALL_GATEWAYS = (4, 5, 6, 7)
VOTERS = 3
LOSS = 0.01  # share of frames that are lost
BUSIEST = f"with {HEADERS} bytes of IPv4 and UDP a datagram, of the voter with most of them, one task"
SEEDS = (1, 2, 3)
DURATION_S = 120
SMALL_DURATION_S = 20


def measure(report: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Measures all sizes with a holder that stays alive; counts are the same on any machine."""
    sizes = SMALL_GATEWAYS if small else GATEWAYS
    seeds = SEEDS[:1] if small else SEEDS
    seconds = SMALL_DURATION_S if small else DURATION_S
    results_by_size = [
        (size, [LeaseFleetModel(size, VOTERS, LOSS, seed).run(seconds, 0) for seed in seeds]) for size in sizes
    ]
    held = {"voters": VOTERS, "frames_lost": LOSS, "lease_s": LENGTHS.lease / SECOND}
    measures = [
        Measure(
            f"leases by gateways: {what}",
            unit,
            "gateways",
            [(size, [float(getattr(result, key)) for result in results]) for size, results in results_by_size],
            held,
            note,
        )
        for what, unit, key, note in (
            ("frames a second of all voters", "frames a second", "frames", "between voters, one task"),
            ("frames a second of a watcher", "frames a second", "frames_of_a_watcher", "the mean of them"),
            ("bytes of state of all voters", "bytes", "state_bytes", "of the machines, without the process"),
            ("bytes a second sent by a voter", "bytes a second", "sent_bytes", BUSIEST),
            ("bytes a second received by a voter", "bytes a second", "received_bytes", BUSIEST),
            (
                "processor seconds of a voter a second",
                "seconds",
                "processor",
                "of the busiest one: frames read and written and its machines, without the system's calls",
            ),
        )
    ]
    for one in measures:
        report(one.name)
    return measures, {
        "python": platform.python_version(),
        "seconds": seconds,
        "seeds": list(seeds),
        "overlaps": sum(result.overlaps for _, results in results_by_size for result in results),
    }
