"""When the bytes of a connection came, for requests that are read or parsed later than that."""

import socket
import struct
from collections import deque

LAST_DATA_RECEIVED = struct.Struct("=52xI")  # tcpi_last_data_recv of the struct tcp_info of Linux, in milliseconds
RESOLUTION = 0.05  # seconds: bytes that come closer together count as coming at the same time


class ArrivalTimes:
    """The times at which the bytes of one connection came, by their positions, counted from its first byte.

    Times are on the clock of whoever calls. One mark is kept for each RESOLUTION in which bytes came that have not been
    passed yet.
    """

    def __init__(self) -> None:
        self.received = 0  # bytes so far
        self.marks: deque[tuple[int, float]] = deque()  # a position, and when the last byte before it came; ascending

    def add(self, count: int, at: float) -> None:
        """Records that so many further bytes came."""
        self.received += count
        if self.marks and at - self.marks[-1][1] < RESOLUTION:
            at = self.marks.pop()[1]
        self.marks.append((self.received, at))

    def time_of(self, position: int) -> float:
        """When the last byte before a position came, which some byte has reached. Earlier marks are dropped."""
        while self.marks[0][0] < position:
            self.marks.popleft()
        return self.marks[0][1]


def time_unread(sock: socket.socket) -> float:
    """For how many seconds the last bytes that came on a socket have been in the system; 0 where it can't tell."""
    try:
        information = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.size)
        return LAST_DATA_RECEIVED.unpack(information)[0] / 1000
    except (AttributeError, OSError, struct.error):  # no TCP, no such option, or a shorter structure
        return 0.0
