"""Reads the requests of a client from its connection and sees when the client leaves."""

import socket

import h11
import trio

from oakfork.sockets.arrival_times import ArrivalTimes, time_unread
from oakfork.sockets.http_connection import LARGEST_BODY, RECEIVE_SIZE, HttpConnection
from oakfork.sockets.read_scheduler import ReadScheduler

DISCARD_READS = 16  # reads of discarded bytes between two pauses
# Seconds of each pause. A client is bounded to 100 MB/s of discarded bytes, so that the megabytes that the system holds
# of a client that has left are read within a tenth of a second.
DISCARD_PAUSE = 0.01
END_OF_HEAD = b"\r\n\r\n"
LAST_READS = 128  # reads in search of the end of a client, 8 MB; one that has sent more is taken for one that stays


class RequestReader(HttpConnection):
    """The connection of a client, as the side that answers."""

    def __init__(self, sock: socket.socket, scheduler: ReadScheduler) -> None:
        super().__init__(sock, h11.SERVER)
        self.scheduler = scheduler  # of the bytes that are discarded
        self.arrivals = ArrivalTimes()  # on trio's clock
        self.flooded = False  # so much was sent behind an RPC that the rest is discarded
        self.head_begins = 0  # position of the last read that no incomplete message preceded
        self.head_size = -1  # bytes of the head with which that read begins; -1: it was not whole

    def received(self, data: bytes) -> None:
        """Adds bytes to what is parsed next, with the time at which the system received them."""
        if data:
            if not self.buffered:
                self.head_begins = self.arrivals.received
                self.head_size = data.find(END_OF_HEAD)
            self.arrivals.add(len(data), trio.current_time() - time_unread(self.sock))
        super().received(data)

    def next_head_size(self) -> int:
        """Bytes of the head that `parse` handles next, 0 if that goes on with a body.

        All that is received where the head is not whole, or lies behind another request.
        """
        if self.head is not None:
            return 0
        is_known = self.head_size >= 0 and self.head_begins == self.arrivals.received - self.buffered
        return self.head_size if is_known else self.buffered

    def completed_at(self) -> float:
        """When the last byte came of the request that was parsed last, on trio's clock."""
        return self.arrivals.time_of(self.arrivals.received - self.buffered)

    def begun_at(self) -> float:
        """When the first byte came of what is received and not parsed, on trio's clock; there has to be some."""
        return self.arrivals.time_of(self.arrivals.received - self.buffered + 1)

    def client_has_left(self) -> bool:
        """Whether the client has ended its sending, which is its leaving by the protocol, or has reset the connection.

        Receives without waiting what has come before the end. What exceeds the largest body is discarded.
        """
        for _ in range(LAST_READS):
            try:
                data = self.sock.recv(RECEIVE_SIZE)
            except BlockingIOError:
                return False
            except OSError:
                return True
            if not data:
                return True
            self.flooded = self.flooded or self.buffered > LARGEST_BODY
            if not self.flooded:
                self.received(data)
        return False

    async def discard(self) -> bool:
        """Waits for bytes and discards them; False if the client has ended its sending.

        Takes a turn for what is more than one read, and pauses after some reads, so that clients that send without end
        cost little. Raises ConnectionFailedError.
        """
        await trio.lowlevel.wait_readable(self.sock)
        for reads in range(DISCARD_READS):
            data = self.receive()
            if data is None:
                break
            if not data:
                return False
            if not reads:
                await self.scheduler.wait_turn()
        await trio.sleep(DISCARD_PAUSE)
        return True
