"""Clients that send as much as they can, as a process of their own: each writes its load, reads all answers, and again.

Arguments: the gateway's address, the name of the load, the number of clients, and the seconds for which they send.
Prints the number of answers.
"""

import itertools
import socket
import sys
import threading
import time
from contextlib import suppress

from fake_services import request_bytes

from oakfork.sockets.configuration import parse_address

TIMEOUT = 5.0  # seconds for which an answer is waited for
READY_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED_HEAD = b"POST /-/nothing HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
STATUS_LINE = b"HTTP/1.1 "  # begins each answer
serial_numbers = itertools.count(1)


def ready_requests():
    """Five hundred questions whether the gateway is ready, one behind another."""
    return READY_REQUEST * 500, 500


def rpcs():
    """RPCs of a customer far beyond its quota, one behind another: as many as 64 KiB hold."""
    count = 250
    numbers = itertools.islice(serial_numbers, count)
    return b"".join(request_bytes(**{"X-Txn": f"f{number:x}", "X-Tier": "basic"}) for number in numbers), count


def small_chunks():
    """A request whose body comes in chunks of one byte."""
    return CHUNKED_HEAD + b"1\r\na\r\n" * 60_000 + b"0\r\n\r\n", 1


LOADS = {load.__name__: load for load in (ready_requests, rpcs, small_chunks)}


def received_answers(sock):
    """Yields the number of answers that have begun, for each read of a socket until its end."""
    rest = b""
    while received := sock.recv(1 << 20):
        received = rest + received
        yield received.count(STATUS_LINE)
        rest = received[1 - len(STATUS_LINE) :]  # an answer may begin in one read and go on in the next


class FloodingClient:
    """One client, which connects again when the gateway has closed its connection."""

    def __init__(self, address, load):
        self.address = address
        self.load = load
        self.answers = 0

    def run(self, end):
        """Sends its load again and again until `end`, on the clock of time.monotonic."""
        while time.monotonic() < end:
            with suppress(OSError), socket.create_connection(self.address, timeout=TIMEOUT) as sock:
                while time.monotonic() < end and self._exchange(sock):
                    pass

    def _exchange(self, sock):
        """Sends the load once; returns whether all of it was answered."""
        data, expected = self.load()
        sock.sendall(data)
        for answers in received_answers(sock):
            expected -= answers
            self.answers += answers
            if not expected:
                return True
        return False


def main(address, load, count, seconds):
    """Runs the clients side by side."""
    clients = [FloodingClient(parse_address(address), LOADS[load]) for _ in range(int(count))]
    end = time.monotonic() + float(seconds)
    threads = [threading.Thread(target=client.run, args=(end,), daemon=True) for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(float(seconds) + 2 * TIMEOUT)
    print(sum(client.answers for client in clients))


if __name__ == "__main__":
    main(*sys.argv[1:])
