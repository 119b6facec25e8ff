"""The services that a gateway runs for its fleet. Imported only where LB_FLEET names a file."""

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
    from oakfork.contracts.runner import Contracts
    from oakfork.control.agent import Agent


class FleetServices:
    """Leases and the datagram transport, and where they are configured, contracts and the control part's agent."""

    def __init__(
        self,
        path: str,
        configuration: GatewayConfiguration,
        log: BoundLogger,
        on_servers: Callable[[list[dict[str, Any]]], None],
    ) -> None:
        """Reads the fleet file at `path` and binds the socket.

        `on_servers` takes changes of the list of servers in discovery's form, and must not block. Raises FleetError,
        ContractsFileError or AddressInUseError if the services can't start.
        """
        self.file = read(path)
        gateway = configuration.settings.index
        if gateway >= len(self.file.addresses):
            raise FleetError([f"addresses: none for this gateway, whose settings.index is {gateway}"])
        self.log = log
        self.transport = DatagramTransport(self.file, gateway)
        self.leases = LeaseRunner(self.file, gateway, self.transport, log)
        self.contracts = self._contracts(gateway)
        self.on_servers = on_servers
        self.agent = self._agent(configuration)

    def _contracts(self, gateway: int) -> "Contracts | None":
        """The contracts of this gateway; None unless LB_CONTRACTS names a file."""
        path = os.environ.get("LB_CONTRACTS")
        if not path:
            return None
        from oakfork.contracts.runner import Contracts

        return Contracts(path, self.file, gateway, self.transport, self.leases, self.log)

    def _agent(self, configuration: GatewayConfiguration) -> "Agent | None":
        """What follows the control part; None if the fleet file has no `control` table."""
        control = self.file.control
        if not control:
            return None
        from oakfork.control.agent import Agent

        rows = server_rows(configuration.known)
        return Agent(
            configuration.name,
            control.relays,
            configuration.settings.seed,
            self.log,
            self.on_servers,
            control.service,
            known=[str(row["id"]) for row in rows if isinstance(row, dict) and "id" in row],
        )

    async def run(self) -> None:
        """Runs all services until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.transport.run)
            nursery.start_soon(self.leases.run)
            if self.contracts:
                nursery.start_soon(self.contracts.run)
            if self.agent:
                nursery.start_soon(self.agent.run)
            if self.file.drill:
                client = LeaseDrillClient(self.leases, self.file.drill.target, self.file.drill.interval)
                nursery.start_soon(client.run)

    def reread(self) -> None:
        """On SIGHUP, reads the contracts file again. A change of the fleet file takes a restart of the gateway."""
        if self.contracts:
            self.contracts.reread()

    async def leave(self) -> None:
        """Gives up the leases, and logs the counts of the transport.

        The agent goes on: servers may drain until the process ends.
        """
        await self.leases.leave()
        counts = {reason.replace(" ", "_"): count for reason, count in self.transport.counts.items()}
        self.log.info("left the fleet", **counts)
