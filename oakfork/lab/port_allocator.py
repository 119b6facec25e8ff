"""Ports on loopback for processes that are started later: no other process of the laboratory or the tests gets them.

A port that was free when it was looked up can be taken before its process is there, by another drill that looks at the
same moment: a look alone is no claim. So each process claims a block of ports for as long as it lives, by an abstract
socket that only one process can have, and hands out the ports of its block in turn.
"""

import os
import socket
from contextlib import suppress
from typing import Any

from oakfork.errors import DrillProcessError

BLOCK = 250  # ports; a process of the laboratory asks for some twenty at a time, at most
CLAIM = "\0oakfork ports {}"

Place = tuple[str, int]


def _range() -> tuple[int, int]:
    """Below those that systems give out by themselves, so that nothing takes a port while its process is down."""
    first, last = os.environ.get("OAKFORK_RIG_PORTS", "10000-32000").split("-")
    return int(first), int(last)


class PortAllocator:
    """A block of ports and the claim to it. Raises DrillProcessError if all blocks of the range are claimed."""

    def __init__(self, first: int, last: int) -> None:
        self.claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        for number in range(first // BLOCK, -(-last // BLOCK)):  # alike for ranges that overlap
            with suppress(OSError):
                self.claim.bind(CLAIM.format(number))
                self.block = range(max(number * BLOCK, first), min((number + 1) * BLOCK, last))
                break
        else:
            self.claim.close()
            raise DrillProcessError(
                f"all ports from {first} to {last} are claimed by other processes of the laboratory"
            )
        self.owner, self.given = os.getpid(), 0

    def free(self, number: int, kind: Any) -> list[Place]:
        """`number` places of that kind of socket, each another one, in turn: one comes again after the whole block."""
        places: list[Place] = []
        for _ in self.block:
            if len(places) == number:
                break
            place = "127.0.0.1", self.block[self.given % len(self.block)]
            self.given += 1
            with socket.socket(socket.AF_INET, kind) as sock, suppress(OSError):
                sock.bind(place)  # may still be somebody else's, or one that has not quite ended
                places.append(place)
        if len(places) < number:
            raise DrillProcessError(f"fewer than {number} ports are free from {self.block.start} to {self.block.stop}")
        return places


_ours: list[PortAllocator] = []  # one at most: the block of this process; a child made by a fork claims its own


def free_addresses(number: int, kind: Any) -> list[Place]:
    """Places for processes that this one starts; raises DrillProcessError.
    `OAKFORK_RIG_PORTS` names the range of ports."""
    if not _ours or _ours[0].owner != os.getpid():
        _ours[:] = [PortAllocator(*_range())]
    return _ours[0].free(number, kind)


def text(place: Place) -> str:
    return f"{place[0]}:{place[1]}"
