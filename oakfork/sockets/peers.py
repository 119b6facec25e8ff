"""Datagrams between gateways."""

import socket

import trio

from oakfork import interface
from oakfork.peer_codec import LARGEST
from oakfork.sockets.configuration import GatewayConfiguration
from oakfork.sockets.messages import LoopEvent, enqueue_datagram

EVERYONE = 0xFFFF  # the module's number for all gateways of the tier


class PeerSocket:
    def __init__(
        self, here: GatewayConfiguration, sock: socket.socket, queue: trio.MemorySendChannel[LoopEvent]
    ) -> None:
        self.here, self.queue = here, queue
        self.numbers = {address: number for number, address in enumerate(here.peers)}
        self.sock = sock

    async def run(self) -> None:
        """Takes in datagrams; what the queue has no room for is lost, as datagrams may be."""
        while True:
            await trio.lowlevel.wait_readable(self.sock)
            try:
                data, sender = self.sock.recvfrom(LARGEST + 1)
            except OSError:  # nothing after all, or an earlier datagram of ours found nobody there
                continue
            if sender in self.numbers:
                enqueue_datagram(self.queue, interface.PeerFrame(self.numbers[sender], data))

    def tell(self, peer: int, data: bytes) -> None:
        """Sends at once or not at all."""
        address = (
            self.here.peers_all if peer == EVERYONE else self.here.peers[peer] if peer < len(self.here.peers) else None
        )
        if address is None or len(data) > LARGEST:
            return
        try:
            self.sock.sendto(data, address)
        except OSError:  # no room in the buffer, or nobody there: lost, as any datagram may be
            pass
