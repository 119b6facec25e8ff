"""Datagrams between the gateways of a fleet: sent at once or not at all, taken from known addresses alone."""

import socket
import time
from collections import Counter
from typing import Any, Callable

import trio

from oakfork.fleet import codec
from oakfork.fleet.config import FleetFile
from oakfork.sockets.http_connection import bind_socket

OUTSIDE_GATEWAY = 0xFFFF  # what is no gateway of the fleet, such as a stand-in that is acted upon
Handler = Callable[[int, Any], None]  # the sender's number, the message


def steady_clock() -> int:
    """A machine's steady clock in tenths of a millisecond. It goes on while a process or the machine stands still."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 100_000


class DatagramTransport:
    """`handlers`: who takes which kind of message. `counts` has what came, went, and was refused, by reason."""

    def __init__(self, file: FleetFile, me: int) -> None:
        self.file, self.me = file, me
        self.numbers = {place: number for number, place in enumerate(file.addresses)}
        self.handlers: dict[type, Handler] = {}
        self.counts: Counter[str] = Counter()  # as many as reasons
        self.sock = bind_socket(socket.SOCK_DGRAM, file.listen or file.addresses[me])

    async def run(self) -> None:
        try:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                for _ in range(64):  # then others have their turn
                    try:
                        data, place = self.sock.recvfrom(codec.LARGEST + 1)
                    except BlockingIOError:
                        break
                    except OSError:  # an earlier datagram of ours found nobody there
                        continue
                    self.take(data, place)
                await trio.lowlevel.checkpoint()
        finally:
            self.sock.close()

    def take(self, data: bytes, place: tuple[str, int]) -> None:
        """A frame from a known address that names its sender as we know it, and whose file agrees with ours."""
        sender, frame = self.numbers.get(place), codec.unpack(data)
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
            for message in frame.messages:
                handler = self.handlers.get(type(message))
                if handler:
                    handler(sender, message)

    def send(self, to: int, *messages: Any) -> None:
        if to == self.me:  # by the same way in, without the network
            for message in messages:
                handler = self.handlers.get(type(message))
                if handler:
                    handler(to, message)
        elif to < len(self.file.addresses):
            self.send_to(self.file.addresses[to], *messages)

    def send_to(self, place: tuple[str, int], *messages: Any) -> None:
        self.counts["frames out"] += 1
        try:
            self.sock.sendto(codec.pack(self.me, self.file.edition, messages), place)
        except OSError:  # no room, or nobody there: lost, as any datagram may be
            self.counts["not sent"] += 1
