"""Keeps up with the list of servers by watches, one after the other."""

import json
import random
from typing import Any, Mapping

import trio
from structlog.stdlib import BoundLogger

from oakfork.errors import ConnectionFailedError
from oakfork.sockets.configuration import Address, GatewayConfiguration
from oakfork.sockets.http_connection import HttpConnection, connect, request_head
from oakfork.sockets.messages import LoopEvent, ServersListed, enqueue
from oakfork.sockets.outcomes import Outcome

# Six seconds after discovery had a change and could be reached, it counts as told, whatever call failed, was refused or
# was given up just before. The longest way there: a watch that has gone silent (it looks like one with no news until
# HOLD and PROMPT are over), the longest pause, a connection that comes up at last (UP), and an answer after PROMPT.
TOLD = 6.0
HOLD = 1.0  # seconds that a watch waits for something new
PROMPT = 1.0  # and beyond that an agent, which answers at once, may take
UP = 0.5  # seconds for a connection to the agent, however patient the settings are with servers
# Seconds before a broken watch is taken up again: twice as long after each failure, drawn from the upper half of that.
# The longest is what is left of the six, less a tenth of a second for a busy machine. Where lists come on asking, the
# module says when a call that was refused is made again.
PAUSE = 0.1
LONGEST_PAUSE = TOLD - (HOLD + PROMPT) - UP - PROMPT - 0.1


class DiscoveryClient:
    def __init__(self, here: GatewayConfiguration, queue: trio.MemorySendChannel[LoopEvent], log: BoundLogger) -> None:
        self.here, self.queue, self.log = here, queue, log
        self.address = here.discovery
        self.version = here.known.get("version")
        self.asked = trio.Event()  # set while a watch is wanted
        self.watching = trio.CancelScope()
        self.broken = False  # told in the log once, until it goes on
        self.pause = PAUSE
        self.chance = random.Random(here.settings.seed)
        if not here.settings.subscribes_to_list:
            self.asked.set()

    async def run(self) -> None:
        while True:
            await self.asked.wait()
            self.watching = trio.CancelScope()
            with self.watching:
                try:
                    await self._watch()
                except ConnectionFailedError as end:
                    if not self.broken:
                        self.log.warning("the watch of the server list broke", ending=end.outcome.name, todo=end.todo)
                    self.broken = True
                    if (
                        self.here.settings.subscribes_to_list and end.outcome is Outcome.ERROR
                    ):  # the module says when to ask again
                        self.asked = trio.Event()
                        enqueue(self.queue, ServersListed(False, True, ()))
                        continue
                    pause, self.pause = self.pause, min(2 * self.pause, LONGEST_PAUSE)
                    await trio.sleep(pause * (1 + self.chance.random()) / 2)

    def subscribe(self, on: bool) -> None:
        if on:
            self.asked.set()
        elif self.asked.is_set():
            self.asked = trio.Event()
            self.watching.cancel()

    def change_address(self, address: Address) -> None:
        """Goes over to another agent at once, and asks it for the whole list: what the two count may differ. It is
        asked now, also where the module waits for the time to ask the old one again."""
        if address != self.address:
            self.address, self.version, self.broken, self.pause = address, None, False, PAUSE
            self.watching.cancel()
            self.asked.set()

    async def read_list_once(self) -> None:
        """The whole list, on the module's request."""
        address = self.address
        try:
            link = await self._connect(address)
            try:
                await self._ask(link, address, "/api/targets")
            finally:
                link.close()
        except ConnectionFailedError:
            enqueue(self.queue, ServersListed(False, True, ()))

    async def _connect(self, address: Address) -> HttpConnection:
        return await connect(address, min(self.here.connect_patience, UP))

    async def _watch(self) -> None:
        address = self.address
        link = await self._connect(address)
        try:
            while True:
                if self.version is None:
                    await self._ask(link, address, "/api/targets")
                else:
                    await self._ask(link, address, f"/api/targets?from={self.version}&hold_ms={HOLD * 1000:.0f}", HOLD)
                if not link.renew():
                    link.close()
                    link = await self._connect(address)
        finally:
            link.close()

    async def _ask(self, link: HttpConnection, address: Address, target: str, hold: float = 0.0) -> None:
        """One call to the agent at that address, whose answer goes to the keeper."""
        with trio.move_on_after(hold + PROMPT):
            await link.write(request_head("GET", target, address))
            message = await link.read()
            if address != self.address:  # that agent is ours no more: its version says nothing of the new one's
                raise ConnectionFailedError(Outcome.GIVEN_UP)
            if message.head.status_code != 200:
                raise ConnectionFailedError(Outcome.ERROR)
            try:
                told = json.loads(message.body)
                version, complete, servers = int(told["version"]), bool(told["full"]), list(told["servers"])
            except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
                self.version = None  # what was missed is not known: the whole list next
                raise ConnectionFailedError(Outcome.MALFORMED) from None
            if not hold and self.version is not None and version < self.version:
                return  # read beside a watch that has been told more since
            # From here to the end nothing waits: a version that counts as read is told, whatever is cancelled.
            self.version, self.broken, self.pause = version, False, PAUSE
            if servers or complete:
                enqueue(self.queue, ServersListed(complete, False, servers))
            return
        raise ConnectionFailedError(Outcome.SILENT)


def server_rows(known: Mapping[str, Any]) -> list:
    """The list that a gateway has when it starts."""
    servers = known.get("servers", ())
    return list(servers) if isinstance(servers, list) else []
