"""Group "leases": frames, bytes and processor time of the voters, and of those that only watch, in the model, by the
number of gateways."""

import platform
from typing import Any, Callable

from oakfork.interface import SECOND
from oakfork.lab.datagram_relay import HEADERS
from oakfork.lab.lease_model import LENGTHS, LeaseFleetModel
from oakfork.lab.scale.slopes import Measure

GROUP = "leases"
GATEWAYS, VOTERS, LOSS = (3, 30, 300, 2_700), 3, 0.01
BUSIEST = f"with {HEADERS} bytes of IPv4 and UDP a datagram, of the voter with most of them, one task"
SEEDS, SECONDS = (1, 2, 3), 120


def measure(told: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """The holder lives; the same on any machine."""
    sizes, seeds, seconds = ((4, 5, 6, 7), SEEDS[:1], 20) if small else (GATEWAYS, SEEDS, SECONDS)
    found = [(size, [LeaseFleetModel(size, VOTERS, LOSS, seed).run(seconds, 0) for seed in seeds]) for size in sizes]
    held = {"voters": VOTERS, "frames_lost": LOSS, "lease_s": LENGTHS.lease / SECOND}
    measures = [
        Measure(
            f"leases by gateways: {what}",
            unit,
            "gateways",
            [(size, [float(getattr(one, key)) for one in results]) for size, results in found],
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
        told(one.name)
    return measures, {
        "python": platform.python_version(),
        "seconds": seconds,
        "seeds": list(seeds),
        "overlaps": sum(one.overlaps for _, results in found for one in results),
    }
