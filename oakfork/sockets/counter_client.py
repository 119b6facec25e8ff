"""Calls to the shared counter, one after another on one connection and answered in their order."""

import math
from collections import deque

import trio

from oakfork import interface
from oakfork.errors import ConnectionFailedError
from oakfork.sockets.configuration import Address, GatewayConfiguration
from oakfork.sockets.http_connection import HttpConnection, HttpMessage, connect, request_head
from oakfork.sockets.messages import LoopEvent, enqueue
from oakfork.sockets.outcomes import STATUS_OF_OUTCOME, Outcome

MAX_WAITING = 256  # calls not yet written; one more fails as if there were no connection


class CounterClient:
    """The calls of this gateway to the counter. The `ttl` of a call is in tenths of a millisecond."""

    def __init__(self, configuration: GatewayConfiguration, queue: trio.MemorySendChannel[LoopEvent]) -> None:
        self.configuration = configuration
        self.queue = queue
        self.address = configuration.counter
        self.address_changed = False  # since the connection was established
        # Calls that are not written yet, and until when a reply is waited for, on trio's clock.
        self.calls: deque[tuple[interface.AddToCounter, float]] = deque()
        self.call_added = trio.Event()

    def count(self, call: interface.AddToCounter) -> bool:
        """Queues a call, whose reply goes to the decision loop; False if too many are waiting."""
        if len(self.calls) >= MAX_WAITING:
            return False
        self.calls.append((call, trio.current_time() + self.configuration.counter_timeout))
        self.call_added.set()
        return True

    def change_address(self, address: Address) -> None:
        """Sends later calls to another counter; the old one may still answer the call that is out."""
        self.address_changed = self.address_changed or address != self.address
        self.address = address

    async def run(self) -> None:
        """Makes the queued calls, one at a time."""
        connection: HttpConnection | None = None
        while True:
            await self.call_added.wait()
            self.call_added = trio.Event()
            while self.calls:
                call, until = self.calls.popleft()
                # The counter closes connections that have been idle.
                if connection is not None and (self.address_changed or not connection.is_reusable()):
                    connection.close()
                    connection = None
                self.address_changed = False
                connection = await self._call(connection, call, until)

    async def _call(
        self, connection: HttpConnection | None, call: interface.AddToCounter, until: float
    ) -> HttpConnection | None:
        """Makes one call and queues its reply; returns the connection if it can be used again."""
        outcome = Outcome.NEVER_UP
        total = 0.0
        with trio.move_on_at(until):
            try:
                connection = connection or await connect(self.address, self.configuration.counter_timeout)
                outcome = Outcome.SILENT  # from here on the amount may have been added
                target = f"/counters/{call.name:x}?by={call.amount:.6f}&expire_ms={max(1, call.ttl // 10)}"
                await connection.write(request_head("POST", target, self.address))
                message = await connection.read()
                outcome, total = _result(message)
                if not connection.renew():
                    connection.close()
                    connection = None
            except ConnectionFailedError as error:
                outcome = error.outcome
        if connection is not None and outcome not in (Outcome.ANSWERED, Outcome.TURNED_AWAY):
            connection.close()
            connection = None
        enqueue(self.queue, interface.CounterReplied(STATUS_OF_OUTCOME[outcome], total, call.name))
        return connection


def _result(message: HttpMessage) -> tuple[Outcome, float]:
    """The outcome and the counter's total."""
    if message.head.status_code != 200:
        return Outcome.TURNED_AWAY, 0.0  # 503, 400 and 404 alike: nothing was added
    try:
        total = float(message.body)
    except ValueError:
        total = math.nan
    if not math.isfinite(total):
        return Outcome.MALFORMED, 0.0
    return Outcome.ANSWERED, total
