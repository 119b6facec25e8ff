"""Follows the list of servers: long polls (watches) of the discovery agent, one after another."""

import json
import random
from typing import Any, Mapping

import trio
from structlog.stdlib import BoundLogger

from oakfork.errors import ConnectionFailedError
from oakfork.sockets.configuration import Address, GatewayConfiguration
from oakfork.sockets.http_connection import HttpConnection, HttpMessage, connect, request_head
from oakfork.sockets.messages import LoopEvent, ServersListed, enqueue
from oakfork.sockets.outcomes import Outcome

# Seconds after which a change counts as known to the gateway, from when discovery has it and can be reached, whatever
# call failed, was refused or was given up just before. The longest way there: a watch that falls silent (until HOLD and
# ANSWER_TIMEOUT are over it looks like one without news), the longest pause, a connection that is established at the
# last moment (CONNECT_TIMEOUT), and an answer that takes ANSWER_TIMEOUT.
TOLD = 6.0
HOLD = 1.0  # seconds that the agent holds a watch until there is something new
ANSWER_TIMEOUT = 1.0  # seconds beyond that; an agent answers at once
CONNECT_TIMEOUT = 0.5  # seconds for a connection to the agent, even if the settings allow more for servers
# Seconds before a broken watch is resumed: twice as long after each failure, drawn from the upper half of that. The
# longest pause is what the rest leaves of TOLD, less a tenth of a second for a busy machine. Where lists come on
# request only, the decision module says when a call that was refused is repeated. Where they are pushed, a call that
# was not answered is repeated after the shortest pause at most.
SHORTEST_PAUSE = 0.1
LONGEST_PAUSE = TOLD - (HOLD + ANSWER_TIMEOUT) - CONNECT_TIMEOUT - ANSWER_TIMEOUT - 0.1
# Outcomes of calls that an agent answered: it is there, and may be overloaded.
AGENT_ANSWERED = frozenset((Outcome.ERROR, Outcome.MALFORMED, Outcome.OVERSIZED))
LIST_TARGET = "/api/targets"


class DiscoveryClient:
    """Watches the server list of the discovery agent, and queues each list and change for the decision loop."""

    def __init__(
        self, configuration: GatewayConfiguration, queue: trio.MemorySendChannel[LoopEvent], log: BoundLogger
    ) -> None:
        self.configuration = configuration
        self.queue = queue
        self.log = log
        self.address = configuration.discovery
        self.version = configuration.known.get("version")  # of the list; None: the whole list is read next
        self.subscribed = trio.Event()  # set while a watch is wanted
        self.watching = trio.CancelScope()
        self.broken = False  # logged once, until the watch works again
        self.pause = SHORTEST_PAUSE
        self.random = random.Random(configuration.settings.seed)
        if not configuration.settings.subscribes_to_list:
            self.subscribed.set()

    async def run(self) -> None:
        """Watches the list for good, whenever a watch is wanted."""
        while True:
            await self.subscribed.wait()
            self.watching = trio.CancelScope()
            with self.watching:
                try:
                    await self._watch()
                except ConnectionFailedError as error:
                    await self._recover(error)

    async def _recover(self, error: ConnectionFailedError) -> None:
        """Waits before the next watch, or reports a refused call where the module says when to repeat it."""
        if not self.broken:
            self.log.warning("server list watch failed", ending=error.outcome.name, todo=error.todo)
        self.broken = True
        if self.configuration.settings.subscribes_to_list and error.outcome is Outcome.ERROR:
            self.subscribed = trio.Event()
            enqueue(self.queue, ServersListed(False, True, ()))
            return
        if self._must_wait_at_agent(error.outcome):
            pause = 0.0 if error.outcome is Outcome.SILENT else SHORTEST_PAUSE
        else:
            pause = self.pause
            self.pause = min(2 * self.pause, LONGEST_PAUSE)
        await trio.sleep(pause * (1 + self.random.random()) / 2)

    def _must_wait_at_agent(self, outcome: Outcome) -> bool:
        """Whether the next call has to be made at once, so that it is waiting when the agent has something to tell.

        Guards against changes that are told at the return of discovery, while the gateway pauses: where lists are
        pushed they count from the moment at which the agent has them. An agent that answers anything is not away.
        """
        return not self.configuration.settings.subscribes_to_list and outcome not in AGENT_ANSWERED

    def subscribe(self, on: bool) -> None:
        """Starts or ends the watch."""
        if on:
            self.subscribed.set()
        elif self.subscribed.is_set():
            self.subscribed = trio.Event()
            self.watching.cancel()

    def change_address(self, address: Address) -> None:
        """Turns to another agent and asks it for the whole list, since its versions may differ from the old agent's.

        It is asked at once, even if the decision module waits for the time to ask the old agent again.
        """
        if address != self.address:
            self.address = address
            self.version = None
            self.broken = False
            self.pause = SHORTEST_PAUSE
            self.watching.cancel()
            self.subscribed.set()

    async def read_list_once(self) -> None:
        """Reads the whole list at the request of the decision module."""
        address = self.address
        try:
            connection = await self._connect(address)
            try:
                await self._ask(connection, address, LIST_TARGET)
            finally:
                connection.close()
        except ConnectionFailedError:
            enqueue(self.queue, ServersListed(False, True, ()))

    async def _connect(self, address: Address) -> HttpConnection:
        return await connect(address, min(self.configuration.connect_timeout, CONNECT_TIMEOUT))

    async def _watch(self) -> None:
        address = self.address
        connection = await self._connect(address)
        try:
            while True:
                if self.version is None:
                    await self._ask(connection, address, LIST_TARGET)
                else:
                    target = f"{LIST_TARGET}?from={self.version}&hold_ms={HOLD * 1000:.0f}"
                    await self._ask(connection, address, target, HOLD)
                if not connection.renew():
                    connection.close()
                    connection = await self._connect(address)
        finally:
            connection.close()

    async def _ask(self, connection: HttpConnection, address: Address, target: str, hold: float = 0.0) -> None:
        """Makes one call to the agent at that address, and queues the servers of its answer."""
        with trio.move_on_after(hold + ANSWER_TIMEOUT):
            await connection.write(request_head("GET", target, address))
            message = await connection.read()
            if address != self.address:  # another agent is used by now, and this version says nothing of its list
                raise ConnectionFailedError(Outcome.GIVEN_UP)
            if message.head.status_code != 200:
                raise ConnectionFailedError(Outcome.ERROR)
            version, complete, servers = self._parse_list(message)
            if not hold and self.version is not None and version < self.version:
                return  # read beside a watch that has received something newer
            # Nothing waits from here on, so that a version that counts as read has its servers queued, whatever is
            # cancelled.
            self.version = version
            self.broken = False
            self.pause = SHORTEST_PAUSE
            if servers or complete:
                enqueue(self.queue, ServersListed(complete, False, servers))
            return
        raise ConnectionFailedError(Outcome.SILENT)

    def _parse_list(self, message: HttpMessage) -> tuple[int, bool, list]:
        """Version, whether the list is complete, and its servers."""
        try:
            document = json.loads(message.body)
            return int(document["version"]), bool(document["full"]), list(document["servers"])
        except (ValueError, TypeError, KeyError, OverflowError, RecursionError):
            self.version = None  # what the answer said is not known: the whole list is read next
            raise ConnectionFailedError(Outcome.MALFORMED) from None


def server_rows(known: Mapping[str, Any]) -> list:
    """The servers that a gateway knows when it starts, in the format of discovery."""
    servers = known.get("servers", ())
    return list(servers) if isinstance(servers, list) else []
