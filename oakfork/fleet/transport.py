"""Datagrams between the gateways of a fleet: sent at once or not at all, accepted from known addresses alone."""

import socket
import time
from collections import Counter
from typing import Any, Callable

import trio

from oakfork.fleet import codec
from oakfork.fleet.config import FleetFile
from oakfork.sockets.configuration import Address
from oakfork.sockets.http_connection import bind_socket

OUTSIDE_GATEWAY = 0xFFFF  # the number of a sender that is no gateway of the fleet, such as a drill's fenced resource
MAX_DATAGRAMS_IN_A_ROW = 64  # received before other trio tasks run
Handler = Callable[[int, Any], None]  # the sender's number, the message


def steady_clock() -> int:
    """The machine's steady clock, in tenths of a millisecond.

    It goes on while the process is stopped or the machine is suspended.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 100_000


class DatagramTransport:
    """The datagram socket of one gateway.

    `handlers` has the function to call for each type of message; messages of other types are dropped. `counts` has the
    frames received, sent and refused, by reason.
    """

    def __init__(self, file: FleetFile, gateway: int) -> None:
        """Binds the socket; raises AddressInUseError if that is not possible. `gateway` is this gateway's number."""
        self.file = file
        self.gateway = gateway
        self.gateways: dict[Address, int] = {address: number for number, address in enumerate(file.addresses)}
        self.handlers: dict[type, Handler] = {}
        self.counts: Counter[str] = Counter()  # one entry a reason
        self.sock = bind_socket(socket.SOCK_DGRAM, file.listen or file.addresses[gateway])

    async def run(self) -> None:
        """Receives datagrams until cancelled; then closes the socket."""
        try:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                self._receive_available()
                await trio.lowlevel.checkpoint()
        finally:
            self.sock.close()

    def _receive_available(self) -> None:
        for _ in range(MAX_DATAGRAMS_IN_A_ROW):
            try:
                data, address = self.sock.recvfrom(codec.LARGEST + 1)
            except BlockingIOError:
                return
            except OSError:  # reports that an earlier datagram of this socket found no receiver
                continue
            self.receive(data, address)

    def receive(self, data: bytes, address: Address) -> None:
        """Passes the messages of a frame to their handlers, or counts why the frame is refused.

        A frame has to come from the address of the gateway that it names as its sender, and of a fleet file that agrees
        with this gateway's.
        """
        sender = self.gateways.get(address)
        frame = codec.unpack(data)
        if sender is None:
            self.counts["refused: from an unknown address"] += 1
        elif frame is None:
            self.counts["refused: malformed"] += 1
        elif frame.sender != sender:
            self.counts["refused: in another's name"] += 1
        elif not self.file.edition.agrees(frame.edition):
            self.counts["refused: of another fleet file"] += 1
        else:
            self.counts["frames in"] += 1
            self._handle(sender, frame.messages)

    def _handle(self, sender: int, messages: list[Any] | tuple[Any, ...]) -> None:
        for message in messages:
            handler = self.handlers.get(type(message))
            if handler:
                handler(sender, message)

    def send(self, to: int, *messages: Any) -> None:
        """Sends messages to a gateway in one frame; to this gateway itself without the network.

        Numbers beyond the fleet are ignored.
        """
        if to == self.gateway:
            self._handle(to, messages)
        elif to < len(self.file.addresses):
            self.send_to(self.file.addresses[to], *messages)

    def send_to(self, address: Address, *messages: Any) -> None:
        """Sends messages to an address in one frame, which may be lost."""
        self.counts["frames out"] += 1
        try:
            self.sock.sendto(codec.pack(self.gateway, self.file.edition, messages), address)
        except OSError:  # the send buffer is full, or the address has no receiver
            self.counts["not sent"] += 1
