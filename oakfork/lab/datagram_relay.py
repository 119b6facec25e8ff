"""Relays for datagrams between real processes: cut one way or both, lose, delay, double, reorder. Loopback only.

Each party sees each other party at an address of its own, a relay's. What comes there from that party goes to the
other, from the address at which the other sees the first.
"""

import random
import socket
from dataclasses import dataclass
from typing import Hashable

import trio

LARGEST = 2048
HEADERS = 28  # bytes of IPv4 and UDP before each datagram's payload
MOST_WAITING = 10_000  # datagrams under way in all; more are lost

Party = Hashable
Place = tuple[str, int]


@dataclass(slots=True)
class RelayPath:
    """One direction between two parties. Times are seconds."""

    cut: bool = False
    loss: float = 0.0
    delay: float = 0.0  # mean; drawn anew for each, so that they overtake each other
    double: float = 0.0


def socket_here(kind: socket.SocketKind = socket.SOCK_DGRAM) -> socket.socket:
    """On a port of its own that the system gives out."""
    sock = socket.socket(socket.AF_INET, kind)
    sock.setblocking(False)
    sock.bind(("127.0.0.1", 0))
    return sock


class DatagramRelays:
    """`places`: where each party really takes datagrams. `seen[a][b]`: where a is to send what is for b."""

    def __init__(self, places: dict[Party, Place], seed: int) -> None:
        self.places, self.dice = places, random.Random(seed)
        self.socks = {(a, b): socket_here() for a in places for b in places if a != b}
        self.ways = {pair: RelayPath() for pair in self.socks}
        self.waiting = 0
        self.carried = self.dropped = 0

    def seen(self, by: Party, other: Party) -> Place:
        return self.places[by] if by == other else self.socks[by, other].getsockname()

    async def run(self) -> None:
        try:
            async with trio.open_nursery() as nursery:
                for pair in self.socks:
                    nursery.start_soon(self._carry, pair, nursery)
        finally:
            for sock in self.socks.values():
                sock.close()

    async def _carry(self, pair: tuple[Party, Party], nursery: trio.Nursery) -> None:
        sender, receiver = pair
        sock, way = self.socks[pair], self.ways[pair]
        while True:
            await trio.lowlevel.wait_readable(sock)
            try:
                data, place = sock.recvfrom(LARGEST)
            except OSError:
                continue
            if place != self.places[sender] or way.cut or self.dice.random() < way.loss:
                self.dropped += 1
                continue
            for _ in range(2 if self.dice.random() < way.double else 1):
                wait = self.dice.expovariate(1 / way.delay) if way.delay else 0.0
                if not wait:
                    self._give(sender, receiver, data)
                elif self.waiting < MOST_WAITING:
                    self.waiting += 1
                    nursery.start_soon(self._later, sender, receiver, data, wait)

    async def _later(self, sender: Party, receiver: Party, data: bytes, wait: float) -> None:
        await trio.sleep(wait)
        self.waiting -= 1
        if not self.ways[sender, receiver].cut:
            self._give(sender, receiver, data)

    def _give(self, sender: Party, receiver: Party, data: bytes) -> None:
        self.carried += 1
        try:
            self.socks[receiver, sender].sendto(data, self.places[receiver])
        except OSError:
            self.dropped += 1

    def set(self, one: Party, other: Party, both: bool = True, **changes: float | bool) -> None:
        """Changes how the way from one to the other is, and the way back too if `both`."""
        for pair in ((one, other), (other, one)) if both else ((one, other),):
            for name, value in changes.items():
                setattr(self.ways[pair], name, value)
