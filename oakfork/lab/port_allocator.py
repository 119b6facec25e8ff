"""Ports on loopback for processes that are started later, each given to one process of the laboratory or the tests.

A port that is free when it is looked up can be taken before the process that is to use it has started, by another
drill that looked at the same moment. So each process claims a block of ports for its lifetime, by binding an abstract
Unix socket that only one process can bind, and gives out the ports of its block in turn.
"""

import os
import socket
from contextlib import suppress
from typing import Any

from oakfork.errors import DrillProcessError

BLOCK = 250  # ports; one process of the laboratory needs about twenty at a time
CLAIM = "\0oakfork ports {}"  # name of the abstract socket that claims a block

SocketAddress = tuple[str, int]


def _range() -> tuple[int, int]:
    """The first port and the one after the last.

    The default is below the ports that systems assign by themselves, so that none is taken while its process is down.
    """
    first, last = os.environ.get("OAKFORK_RIG_PORTS", "10000-32000").split("-")
    return int(first), int(last)


class PortAllocator:
    """A claimed block of ports."""

    def __init__(self, first: int, last: int) -> None:
        """Claims the first unclaimed block of a range; raises DrillProcessError if all are claimed."""
        self.claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        # Blocks are numbered from port 0, so that ranges that overlap have the same blocks.
        for number in range(first // BLOCK, -(-last // BLOCK)):
            with suppress(OSError):
                self.claim.bind(CLAIM.format(number))
                self.block = range(max(number * BLOCK, first), min((number + 1) * BLOCK, last))
                break
        else:
            self.claim.close()
            raise DrillProcessError(
                f"all ports from {first} to {last} are claimed by other processes of the laboratory"
            )
        self.owner = os.getpid()
        self.given = 0  # ports given out or skipped so far

    def free(self, number: int, kind: Any) -> list[SocketAddress]:
        """That many distinct free addresses for a kind of socket; a port comes again after the whole block.

        Raises DrillProcessError if the block has too few.
        """
        addresses: list[SocketAddress] = []
        for _ in self.block:
            if len(addresses) == number:
                break
            address = "127.0.0.1", self.block[self.given % len(self.block)]
            self.given += 1
            with socket.socket(socket.AF_INET, kind) as sock, suppress(OSError):
                sock.bind(address)  # fails if a program outside the laboratory or a process that is ending has it
                addresses.append(address)
        if len(addresses) < number:
            raise DrillProcessError(f"fewer than {number} ports are free from {self.block.start} to {self.block.stop}")
        return addresses


_allocators: list[PortAllocator] = []  # at most one, of this process; a forked child claims a block of its own


def free_addresses(number: int, kind: Any) -> list[SocketAddress]:
    """Addresses for processes that this one starts; raises DrillProcessError.

    The environment variable `OAKFORK_RIG_PORTS` names the range of ports, as FIRST-LAST.
    """
    if not _allocators or _allocators[0].owner != os.getpid():
        _allocators[:] = [PortAllocator(*_range())]
    return _allocators[0].free(number, kind)


def text(address: SocketAddress) -> str:
    """An address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"
