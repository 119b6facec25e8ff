"""Calls to the counter: written one behind another on one connection, answered in their order."""

import math
from collections import deque

import trio

from oakfork import interface
from oakfork.errors import ConnectionFailedError
from oakfork.sockets.configuration import Address, GatewayConfiguration
from oakfork.sockets.http_connection import HttpConnection, HttpMessage, connect, request_head
from oakfork.sockets.messages import LoopEvent, enqueue
from oakfork.sockets.outcomes import STATUS_OF_OUTCOME, Outcome

MOST_WAITING = 256  # calls not yet written; one more is answered as if there were no connection


class CounterClient:
    """The calls of this gateway. The module's `kept_for` is in tenths of a millisecond."""

    def __init__(self, here: GatewayConfiguration, queue: trio.MemorySendChannel[LoopEvent]) -> None:
        self.here, self.queue = here, queue
        self.address = here.counter
        self.turned = False  # the connection leads to where the counter was
        self.calls: deque[tuple[interface.AddToCounter, float]] = deque()  # emptied by run, or after the patience
        self.more = trio.Event()

    def count(self, call: interface.AddToCounter) -> bool:
        if len(self.calls) >= MOST_WAITING:
            return False
        self.calls.append((call, trio.current_time() + self.here.count_patience))
        self.more.set()
        return True

    def change_address(self, address: Address) -> None:
        """The call that is out may still be answered by the old one; the next goes to the new one."""
        self.turned = self.turned or address != self.address
        self.address = address

    async def run(self) -> None:
        link: HttpConnection | None = None
        while True:
            await self.more.wait()
            self.more = trio.Event()
            while self.calls:
                call, until = self.calls.popleft()
                if link is not None and (self.turned or not link.is_reusable()):  # the counter closes idle connections
                    link.close()
                    link = None
                self.turned = False
                link = await self._call(link, call, until)

    async def _call(
        self, link: HttpConnection | None, call: interface.AddToCounter, until: float
    ) -> HttpConnection | None:
        """One call; the connection if it can be used again."""
        outcome, total = Outcome.NEVER_UP, 0.0
        with trio.move_on_at(until):
            try:
                link = link or await connect(self.address, self.here.count_patience)
                outcome = Outcome.SILENT  # from here on it may have been added
                target = f"/counters/{call.name:x}?by={call.amount:.6f}&expire_ms={max(1, call.ttl // 10)}"
                await link.write(request_head("POST", target, self.address))
                message = await link.read()
                outcome, total = _result(message)
                if not link.renew():
                    link.close()
                    link = None
            except ConnectionFailedError as end:
                outcome = end.outcome
        if link is not None and outcome not in (Outcome.ANSWERED, Outcome.TURNED_AWAY):
            link.close()
            link = None
        enqueue(self.queue, interface.CounterReplied(STATUS_OF_OUTCOME[outcome], total, call.name))
        return link


def _result(message: HttpMessage) -> tuple[Outcome, float]:
    if message.head.status_code != 200:
        return Outcome.TURNED_AWAY, 0.0  # 503, 400 and 404 alike: nothing was added
    try:
        total = float(message.body)
    except ValueError:
        total = math.nan
    return (Outcome.ANSWERED, total) if math.isfinite(total) else (Outcome.MALFORMED, 0.0)
