"""Datagrams between the gateways of a tier."""

import socket

import trio

from oakfork import interface
from oakfork.peer_codec import LARGEST
from oakfork.sockets.configuration import Address, GatewayConfiguration
from oakfork.sockets.messages import LoopEvent, enqueue_datagram

EVERYONE = 0xFFFF  # the decision module's index for all gateways of the tier


class PeerSocket:
    """The UDP socket on which a gateway exchanges frames with its peers."""

    def __init__(
        self, configuration: GatewayConfiguration, sock: socket.socket, queue: trio.MemorySendChannel[LoopEvent]
    ) -> None:
        self.configuration = configuration
        self.queue = queue
        self.indices = {address: index for index, address in enumerate(configuration.peers)}
        self.sock = sock

    async def run(self) -> None:
        """Receives datagrams of known peers and queues them; those for which the queue has no room are lost."""
        while True:
            await trio.lowlevel.wait_readable(self.sock)
            try:
                data, sender = self.sock.recvfrom(LARGEST + 1)
            except OSError:  # nothing to read after all, or an earlier datagram reached a port that nobody listens on
                continue
            if sender in self.indices:
                enqueue_datagram(self.queue, interface.PeerFrame(self.indices[sender], data))

    def tell(self, peer: int, data: bytes) -> None:
        """Sends a frame to a peer, or to all peers (EVERYONE), at once or not at all."""
        address = self._address(peer)
        if address is None or len(data) > LARGEST:
            return
        try:
            self.sock.sendto(data, address)
        except OSError:  # no room in the buffer, or nobody listens there: the datagram is lost
            pass

    def _address(self, peer: int) -> Address | None:
        if peer == EVERYONE:
            return self.configuration.peers_all
        if peer < len(self.configuration.peers):
            return self.configuration.peers[peer]
        return None
