"""What a gateway runs for its fleet, put together. Imported only where LB_FLEET names a file."""

import os
from typing import TYPE_CHECKING, Any, Callable

import trio
from structlog.stdlib import BoundLogger

from oakfork.errors import FleetError
from oakfork.fleet.config import read
from oakfork.fleet.transport import DatagramTransport
from oakfork.leases.runner import LeaseDrillClient, LeaseRunner
from oakfork.sockets.configuration import GatewayConfiguration
from oakfork.sockets.discovery import server_rows

if TYPE_CHECKING:
    from oakfork.control.agent import Agent

LOOK = 0.1  # seconds between looks for the first state of the control part


class FleetServices:
    """`listed` takes servers in discovery's form, and must not wait. Raises FleetError or AddressInUseError where it
    can't start."""

    def __init__(
        self, path: str, here: GatewayConfiguration, log: BoundLogger, listed: Callable[[list[dict[str, Any]]], None]
    ) -> None:
        self.file = read(path)
        me = here.settings.index
        if me >= len(self.file.addresses):
            raise FleetError([f"addresses: none for this gateway, whose settings.index is {me}"])
        self.log = log
        self.transport = DatagramTransport(self.file, me)
        self.leases = LeaseRunner(self.file, me, self.transport, log)
        book = os.environ.get("LB_CONTRACTS")
        self.contracts = None
        if book:
            from oakfork.contracts.runner import Contracts

            self.contracts = Contracts(book, self.file, me, self.transport, self.leases, log)
        self.listed = listed
        self.known = [str(row["id"]) for row in server_rows(here.known) if isinstance(row, dict) and "id" in row]
        self.agent = self._agent(here, log)  # what follows the control part; None where the file has none

    def _agent(self, here: GatewayConfiguration, log: BoundLogger) -> "Agent | None":
        if not self.file.control:
            return None
        from oakfork.control.agent import Agent

        return Agent(
            here.name, self.file.control.relays, here.settings.seed, log, self.listed, self.file.control.service
        )

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.transport.run)
            nursery.start_soon(self.leases.run)
            if self.contracts:
                nursery.start_soon(self.contracts.run)
            if self.agent:
                nursery.start_soon(self.agent.run)
                nursery.start_soon(self._settle)
            if self.file.drill:
                nursery.start_soon(LeaseDrillClient(self.leases, self.file.drill.target, self.file.drill.every).run)

    async def _settle(self) -> None:
        """Once the first state is there, what the configuration knew and the state doesn't is gone."""
        from oakfork.control.agent import SLICE
        from oakfork.control.messages import EMPTY, Kind

        while self.agent.position == EMPTY:
            await trio.sleep(LOOK)
        names, self.known = self.known, []
        for at in range(0, len(names), SLICE):
            gone = [name for name in names[at : at + SLICE] if self.agent.record(Kind.SERVER, name) is None]
            if gone:
                self.listed([{"id": name, "state": "removed"} for name in gone])
            await trio.lowlevel.checkpoint()

    def reread(self) -> None:
        """On SIGHUP: the book of contracts. The fleet file is for the start: its editions follow each other by
        restarts."""
        if self.contracts:
            self.contracts.reread()

    async def leave(self) -> None:
        await self.leases.leave()  # the control part is followed to the end: servers may drain until then
        self.log.info("left the fleet", **{reason.replace(" ", "_"): n for reason, n in self.transport.counts.items()})
