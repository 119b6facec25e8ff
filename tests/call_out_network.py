"""A decision loop whose connections to servers are established when the test says so."""

import math
import socket

import h11
import structlog
import trio
import trio.testing
from fake_services import CUSTOMER, entry, read_test_configuration, settings

from oakfork.errors import ConnectionFailedError
from oakfork.sockets import server_connections as network
from oakfork.sockets.decision_loop import DecisionLoop
from oakfork.sockets.exchange import Exchange, Waiter
from oakfork.sockets.http_connection import LARGEST_BODY, HttpConnection, HttpMessage
from oakfork.sockets.messages import RpcReceived, enqueue
from oakfork.sockets.outcomes import Outcome
from oakfork.sockets.server_connections import ServerConnections

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
ROWS = [entry(0, "127.0.0.1:1001"), entry(1, "127.0.0.1:1002")]


class CallOutNetwork:
    """A decision loop with the real module and real connections, except that the test establishes them.

    `connections` holds, for each one that was asked for, its address, the event that establishes it and the server's
    end. `answers` holds the answer to each RPC by its number. `left` has the numbers of the RPCs whose clients have
    left, as their sockets show, although the decision loop may not have been told.
    """

    def __init__(self, tmp_path, monkeypatch, rows=ROWS, **changes):
        limits = settings()["limits"] | {"connect-timeout-ms": 1500.0, "parallel-tries": False}
        limits |= changes.pop("limits", {})
        self.configuration = read_test_configuration(
            tmp_path, known={"version": 1, "full": True, "servers": rows}, settings=settings(limits=limits, **changes)
        )
        self.connections = []
        self.answers = {}
        self.left = set()
        monkeypatch.setattr(network, "connect", self.connect)

    async def connect(self, address, timeout, max_body=LARGEST_BODY):
        """Stands in for http_connection.connect."""
        established = trio.Event()
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.settimeout(2)
        self.connections.append((address, established, theirs))
        with trio.CancelScope(deadline=trio.current_time() + timeout):
            await established.wait()
            return HttpConnection(ours, h11.CLIENT, max_body)
        raise ConnectionFailedError(Outcome.NEVER_UP)

    def ask(self, number, lane="read", waited=0.0, **changes):
        """Queues an RPC for the decision loop, which has waited for some seconds to be read."""
        fields = {"X-Txn": str(number), "X-Lane": lane, "X-Tier": "free", "X-Remaining-Ms": "2000", "Host": "a"}
        fields |= changes
        head = h11.Request(
            method="POST" if lane != "read" else "GET",
            target=f"/api?client={CUSTOMER}",
            headers=[*fields.items(), ("Idempotency-Key", "k")],
        )
        exchange = Exchange(
            HttpMessage(head, b""),
            self.configuration.names,
            self.configuration.settings,
            Waiter(lambda answer: self.answers.setdefault(number, answer), lambda: number in self.left),
            trio.current_time() - waited,
        )
        self.asked_until = exchange.until
        enqueue(self.queue, RpcReceived(exchange))
        return exchange

    async def settle(self):
        """Waits until no task has anything to do."""
        await trio.testing.wait_all_tasks_blocked(0.002)

    def run(self, test):
        """Runs the async function `test` beside the decision loop."""

        async def main():
            self.queue, inbox = trio.open_memory_channel(math.inf)
            self.servers = ServerConnections(50, LARGEST_BODY, self.configuration.connect_timeout, 15.0, ())
            async with trio.open_nursery() as nursery:
                self.decision_loop = DecisionLoop(
                    self.configuration,
                    inbox,
                    self.queue,
                    self.servers,
                    None,
                    None,
                    None,
                    nursery,
                    structlog.get_logger(),
                )
                nursery.start_soon(self.decision_loop.run)
                nursery.start_soon(self.decision_loop.tick)
                await test(self)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(rate=1.0))


def written(sock):
    """What the gateway has written to a connection so far, and whether it has closed it."""
    sock.settimeout(0.05)
    received = b""
    try:
        while more := sock.recv(65536):
            received += more
    except TimeoutError:
        return received, False
    return received, True
