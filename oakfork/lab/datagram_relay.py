"""Relays datagrams between real processes on loopback, and can cut, lose, delay, duplicate and reorder them.

Each endpoint sees every other endpoint at an address of a relay. A datagram that arrives there from the one goes to the
other, sent from the address at which the other sees the first.
"""

import random
import socket
from dataclasses import dataclass
from typing import Hashable

import trio

LARGEST = 2048  # bytes of a datagram
HEADERS = 28  # bytes of IPv4 and UDP before each datagram's payload
MAX_DELAYED = 10_000  # datagrams that are delayed at the same time; further ones are lost

Endpoint = Hashable
SocketAddress = tuple[str, int]


@dataclass(slots=True)
class RelayPath:
    """One direction between two endpoints."""

    cut: bool = False
    loss: float = 0.0  # fraction
    delay: float = 0.0  # mean seconds; drawn for each datagram, so that they overtake each other
    double: float = 0.0  # fraction


def bound_socket(kind: socket.SocketKind = socket.SOCK_DGRAM) -> socket.socket:
    """A non-blocking socket on a loopback port that the system assigns."""
    sock = socket.socket(socket.AF_INET, kind)
    sock.setblocking(False)
    sock.bind(("127.0.0.1", 0))
    return sock


class DatagramRelays:
    """Relays for all pairs of endpoints. `places` has the address at which each endpoint really receives datagrams."""

    def __init__(self, places: dict[Endpoint, SocketAddress], seed: int) -> None:
        """Binds one socket for each ordered pair; `run` relays."""
        self.places = places
        self.rng = random.Random(seed)
        # The socket at (a, b) is where a sends what is for b.
        self.sockets = {(a, b): bound_socket() for a in places for b in places if a != b}
        self.ways = {pair: RelayPath() for pair in self.sockets}
        self.delayed = 0
        self.carried = 0
        self.dropped = 0

    def seen(self, by: Endpoint, other: Endpoint) -> SocketAddress:
        """Where one endpoint is to send what is for another; for itself, its real address."""
        return self.places[by] if by == other else self.sockets[by, other].getsockname()

    async def run(self) -> None:
        """Relays until it is cancelled, then closes the sockets."""
        try:
            async with trio.open_nursery() as nursery:
                for pair in self.sockets:
                    nursery.start_soon(self._relay, pair, nursery)
        finally:
            for sock in self.sockets.values():
                sock.close()

    async def _relay(self, pair: tuple[Endpoint, Endpoint], nursery: trio.Nursery) -> None:
        """Relays one direction."""
        sender, receiver = pair
        sock, path = self.sockets[pair], self.ways[pair]
        while True:
            await trio.lowlevel.wait_readable(sock)
            try:
                data, source = sock.recvfrom(LARGEST)
            except OSError:
                continue
            if source != self.places[sender] or path.cut or self.rng.random() < path.loss:
                self.dropped += 1
                continue
            for _ in range(2 if self.rng.random() < path.double else 1):
                delay = self.rng.expovariate(1 / path.delay) if path.delay else 0.0
                if not delay:
                    self._forward(sender, receiver, data)
                elif self.delayed < MAX_DELAYED:
                    self.delayed += 1
                    nursery.start_soon(self._forward_later, sender, receiver, data, delay)

    async def _forward_later(self, sender: Endpoint, receiver: Endpoint, data: bytes, delay: float) -> None:
        await trio.sleep(delay)
        self.delayed -= 1
        if not self.ways[sender, receiver].cut:
            self._forward(sender, receiver, data)

    def _forward(self, sender: Endpoint, receiver: Endpoint, data: bytes) -> None:
        self.carried += 1
        try:
            self.sockets[receiver, sender].sendto(data, self.places[receiver])
        except OSError:
            self.dropped += 1

    def set(self, one: Endpoint, other: Endpoint, both: bool = True, **changes: float | bool) -> None:
        """Changes fields of the path from one endpoint to another, and of the path back if `both`."""
        pairs = [(one, other), (other, one)] if both else [(one, other)]
        for pair in pairs:
            for name, value in changes.items():
                setattr(self.ways[pair], name, value)
