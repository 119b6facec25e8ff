"""Keeps up with the list of servers by watches, one after the other."""
import json
import random
from typing import Any, Mapping

import trio
from structlog.stdlib import BoundLogger

from oakfork.errors import Break
from oakfork.sockets.configuration import Address, Surroundings
from oakfork.sockets.endings import Ending
from oakfork.sockets.heads import Link, connect, plain
from oakfork.sockets.messages import Listed, Told

# Seconds that a watch waits for something new, and beyond that an agent, which answers at once, may take. Together with
# a new connection well under the six seconds after which news counts as told: a watch that has gone silent looks like
# one with no news until it is over.
HOLD = 1.0
PROMPT = 1.0
# Seconds before a broken watch is taken up again: twice as long after each failure, drawn from the upper half of that.
# The longest is what is left of the six seconds after a silent watch and a new connection. Where lists come on asking,
# the module says when a call that failed is made again.
PAUSE = 0.1
LONGEST_PAUSE = 3.2


class Discovery:
    def __init__(self, here: Surroundings, queue: trio.MemorySendChannel[Told], log: BoundLogger) -> None:
        self.here, self.queue, self.log = here, queue, log
        self.address = here.discovery
        self.version = here.known.get("version")
        self.asked = trio.Event()       # set while a watch is wanted
        self.watching = trio.CancelScope()
        self.broken = False             # told in the log once, until it goes on
        self.pause = PAUSE
        self.chance = random.Random(here.birth.seed)
        if not here.birth.asks_list:
            self.asked.set()

    async def run(self) -> None:
        while True:
            await self.asked.wait()
            self.watching = trio.CancelScope()
            with self.watching:
                try:
                    await self._watch()
                except Break as end:
                    if not self.broken:
                        self.log.warning("the watch of the server list broke", ending=end.ending.name, todo=end.todo)
                    self.broken = True
                    if self.here.birth.asks_list and end.ending is Ending.ERROR:    # the module says when to ask again
                        self.asked = trio.Event()
                        await self.queue.send(Listed(False, True, ()))
                        continue
                    pause, self.pause = self.pause, min(2 * self.pause, LONGEST_PAUSE)
                    await trio.sleep(pause * (1 + self.chance.random()) / 2)

    def subscribe(self, on: bool) -> None:
        if on:
            self.asked.set()
        elif self.asked.is_set():
            self.asked = trio.Event()
            self.watching.cancel()

    def turn_to(self, address: Address) -> None:
        """Goes over to another agent at once, and asks it for the whole list: what the two count may differ."""
        if address != self.address:
            self.address, self.version, self.broken, self.pause = address, None, False, PAUSE
            self.watching.cancel()

    async def read_once(self) -> None:
        """The whole list, on the module's request."""
        try:
            link = await connect(self.address, self.here.connect_patience)
            try:
                await self._ask(link, "/api/targets")
            finally:
                link.close()
        except Break:
            await self.queue.send(Listed(False, True, ()))

    async def _watch(self) -> None:
        link = await connect(self.address, self.here.connect_patience)
        try:
            while True:
                if self.version is None:
                    await self._ask(link, "/api/targets")
                else:
                    await self._ask(link, f"/api/targets?from={self.version}&hold_ms={HOLD * 1000:.0f}", HOLD)
                if not link.renew():
                    link.close()
                    link = await connect(self.address, self.here.connect_patience)
        finally:
            link.close()

    async def _ask(self, link: Link, target: str, hold: float = 0.0) -> None:
        """One call, whose answer goes to the keeper."""
        with trio.move_on_after(hold + PROMPT):
            await link.write(plain("GET", target, self.address))
            message = await link.read()
            if message.head.status_code != 200:
                raise Break(Ending.ERROR)
            try:
                told = json.loads(message.body)
                version, complete, servers = int(told["version"]), bool(told["full"]), list(told["servers"])
            except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
                self.version = None     # what was missed is not known: the whole list next
                raise Break(Ending.MALFORMED) from None
            self.version, self.broken, self.pause = version, False, PAUSE
            if servers or complete:
                await self.queue.send(Listed(complete, False, servers))
            return
        raise Break(Ending.SILENT)


def rows(known: Mapping[str, Any]) -> list:
    """The list that a gateway has when it starts."""
    servers = known.get("servers", ())
    return list(servers) if isinstance(servers, list) else []
