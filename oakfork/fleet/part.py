"""What a gateway runs for its fleet, put together. Imported only where LB_FLEET names a file."""
import os

import trio
from structlog.stdlib import BoundLogger

from oakfork.errors import FleetError
from oakfork.fleet.file import read
from oakfork.fleet.post import Post
from oakfork.leases.runner import Drill, Leases


class Part:
    """Raises FleetError or AddressTaken where it can't start."""

    def __init__(self, path: str, me: int, log: BoundLogger) -> None:
        self.file = read(path)
        if me >= len(self.file.addresses):
            raise FleetError([f"addresses: none for this gateway, whose settings.index is {me}"])
        self.log = log
        self.post = Post(self.file, me)
        self.leases = Leases(self.file, me, self.post, log)
        book = os.environ.get("LB_CONTRACTS")
        self.contracts = None
        if book:
            from oakfork.contracts.runner import Contracts
            self.contracts = Contracts(book, self.file, me, self.post, self.leases, log)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.post.run)
            nursery.start_soon(self.leases.run)
            if self.contracts:
                nursery.start_soon(self.contracts.run)
            if self.file.drill:
                nursery.start_soon(Drill(self.leases, self.file.drill.target, self.file.drill.every).run)

    def reread(self) -> None:
        """On SIGHUP: the book of contracts. The fleet file is for the start: its editions follow each other by
        restarts."""
        if self.contracts:
            self.contracts.reread()

    async def leave(self) -> None:
        await self.leases.leave()
        self.log.info("left the fleet", **{reason.replace(" ", "_"): n for reason, n in self.post.counts.items()})
