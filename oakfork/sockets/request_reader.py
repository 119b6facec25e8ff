"""Reads the requests of a client from its connection and sees when the client leaves."""

import socket

import h11
import trio

from oakfork.errors import ConnectionFailedError
from oakfork.sockets.arrival_times import ArrivalTimes, time_unread
from oakfork.sockets.http_connection import LARGEST_BODY, SEGMENT_SIZE, HttpConnection
from oakfork.sockets.memory_account import MemoryCharge
from oakfork.sockets.outcomes import Outcome
from oakfork.sockets.read_scheduler import ReadScheduler

DISCARD_READS = 16  # reads of discarded bytes between two pauses
# Seconds of each pause. A client is bounded to 100 MB/s of discarded bytes, so that the megabytes that the system holds
# of a client that has left are read within a tenth of a second.
DISCARD_PAUSE = 0.01
END_OF_HEAD = b"\r\n\r\n"
DROPPED = bytearray(64 * 1024)  # receives what nobody reads
LAST_READS = 128  # reads in search of the end of a client, 8 MB; one that has sent more is taken for one that stays


class RequestReader(HttpConnection):
    """The connection of a client, as the side that answers."""

    def __init__(self, sock: socket.socket, scheduler: ReadScheduler, charge: MemoryCharge | None = None) -> None:
        super().__init__(sock, h11.SERVER, charge=charge)
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

        Receives without waiting what has come before the end. What exceeds the largest body is discarded, and what
        there is no memory for is left unread.
        """
        for _ in range(LAST_READS):
            self.flooded = self.flooded or self.buffered > LARGEST_BODY
            try:
                size = self._receive_and_drop() if self.flooded else self._receive_if_room()
            except ConnectionFailedError:
                return True
            if size is None:
                return False
            if not size:
                return True
        return False

    def _receive_and_drop(self) -> int | None:
        """How many bytes were there, which are dropped; None if there are none yet, 0 at the end of the sending."""
        try:
            return self.sock.recv_into(DROPPED)
        except BlockingIOError:
            return None
        except OSError:
            raise ConnectionFailedError(Outcome.BROKEN) from None

    def _receive_if_room(self) -> int | None:
        """How many bytes were received; None if there are none yet or no memory for them, 0 at the end of them."""
        try:
            data = self.sock.recv(SEGMENT_SIZE, socket.MSG_PEEK)
            if not data:
                return 0
            if not self.may_receive(len(data)):
                return None
            self.received(self.sock.recv(len(data)))
        except BlockingIOError:
            return None
        except OSError:
            raise ConnectionFailedError(Outcome.BROKEN) from None
        return len(data)

    def keep_unsent(self, size: int) -> None:
        """Charges what is left of an answer, 0 once all of it is written; raises ConnectionFailedError."""
        self.message_cost = size
        self.update_charge()

    def may_receive(self, size: int = SEGMENT_SIZE) -> bool:
        """Whether there is memory for so many bytes more; they are charged until the charge is next updated."""
        return self.charge is None or self.charge.resize(self.cost() + size)

    async def discard(self) -> bool:
        """Waits for bytes and discards them; False if the client has ended its sending.

        Takes a turn for what is more than one read, and pauses after some reads, so that clients that send without end
        cost little. Raises ConnectionFailedError.
        """
        await trio.lowlevel.wait_readable(self.sock)
        for reads in range(DISCARD_READS):
            size = self._receive_and_drop()
            if size is None:
                break
            if not size:
                return False
            if not reads:
                await self.scheduler.wait_turn()
        await trio.sleep(DISCARD_PAUSE)
        return True
