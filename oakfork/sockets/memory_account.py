"""The memory that other parties make a gateway hold: its shares, its bound over all connections, and its log.

What a connection holds is charged at its cost as objects, not by its bytes alone. Where the bound is reached, clients
whose requests are incomplete give up what they hold, the one that has held the longest first.
"""

import os
from collections import Counter
from typing import Callable, NamedTuple

import trio
from structlog.stdlib import BoundLogger

# Bytes of a connection that are not charged: they belong to what every connection costs. A usual request takes half.
FREE_BYTES = 8 * 1024
FIELD_COST = 300  # bytes of one field of a head as objects, beyond its text
# Bytes of a client's connection with an open RPC of usual size: its tasks, parser and call-out, and FREE_BYTES.
CONNECTION_COST = 24 * 1024
SERVER_COST = 2 * 1024  # bytes of one server of the list
CUSTOMER_COST = 2048  # bytes of the quota tables for one customer
DEFAULT_OWN_MEMORY = 24 * 1024 * 1024  # bytes of the program where the system does not tell
# The least that is shared out, in bytes, however little the limit leaves: some clients can be served with it.
MIN_ROOM = 2 * 1024 * 1024
LOG_INTERVAL = 10.0  # seconds between two log lines
KIB = 1024  # bytes


class MemoryAccount:
    """The charges of all connections together; `capacity` is the most that they may come to, in bytes."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.charged = 0  # bytes
        self.charges: dict[MemoryCharge, None] = {}  # those above 0, the longest held one first
        self.evictions = 0  # since the process began
        self.refusals = 0  # likewise: charges for which there was no room

    def resize(self, charge: "MemoryCharge", amount: int) -> bool:
        """Changes a charge to `amount` bytes; False if there is no room for it, which leaves it as it was."""
        growth = amount - charge.amount
        if growth > 0 and not self._make_room(charge, growth):
            self.refusals += 1
            return False
        if amount:
            self.charges[charge] = None
        else:
            self.charges.pop(charge, None)
        charge.amount = amount
        self.charged += growth
        return True

    def _make_room(self, charge: "MemoryCharge", growth: int) -> bool:
        """Has other connections give up what they hold until there is room; returns whether there is."""
        if self.charged + growth <= self.capacity:
            return True
        for other in list(self.charges):
            if other is not charge and other.evict():
                self.evictions += 1
                if self.charged + growth <= self.capacity:
                    return True
        return False


def _keep() -> bool:
    return False


class MemoryCharge:
    """What one connection is charged.

    `evict` has the connection give up what it holds, if nobody is owed an answer for that; it returns whether it did.
    """

    __slots__ = ("account", "amount", "evict")

    def __init__(self, account: MemoryAccount, evict: Callable[[], bool] = _keep) -> None:
        self.account = account
        self.amount = 0  # bytes
        self.evict = evict

    def resize(self, cost: int) -> bool:
        """Charges a connection that costs so many bytes for what exceeds FREE_BYTES; False if there is no room."""
        amount = max(0, cost - FREE_BYTES)
        return amount == self.amount or self.account.resize(self, amount)

    def close(self) -> None:
        """Ends the charge, once its connection holds nothing any more."""
        self.resize(0)
        self.evict = _keep


class MemoryPlan(NamedTuple):
    """The bounds that follow from the configured limit of memory."""

    connections: int  # of clients
    received: int  # bytes, charged to the MemoryAccount
    customers: int  # whose quotas are kept


def anonymous_memory() -> int:
    """Bytes that the process holds apart from the pages of its files and libraries; 0 where the system can't tell."""
    try:
        with open("/proc/self/statm") as file:
            _, resident, shared, *_ = file.read().split()
        return (int(resident) - int(shared)) * os.sysconf("SC_PAGESIZE")
    except (OSError, ValueError):
        return 0


def plan_memory(limit: int, own: int, servers: int) -> MemoryPlan:
    """Shares out what a limit leaves beside the program itself, `own`, and its list of servers; all in bytes.

    Half goes to connections of clients, a quarter to what is received, a quarter to the quotas of customers.
    """
    room = max(MIN_ROOM, limit - (own or DEFAULT_OWN_MEMORY) - servers * SERVER_COST)
    return MemoryPlan(room // 2 // CONNECTION_COST, room // 4, room // 4 // CUSTOMER_COST)


class ResourceLog:
    """Counts ends of requests by their cause, and logs them with the memory in use if there were any.

    The causes are names in the program, so that outsiders can't make the table grow.
    """

    def __init__(self, log: BoundLogger, memory: MemoryAccount) -> None:
        self.log = log
        self.memory = memory
        self.ends: Counter[str] = Counter()  # since the last line, by cause
        self.logged_evictions = 0
        self.logged_refusals = 0

    def count(self, cause: str) -> None:
        """Counts the end of a request or of a connection."""
        self.ends[cause] += 1

    async def run(self, count_connections: Callable[[], int]) -> None:
        """Logs for good, one line in LOG_INTERVAL at most."""
        while True:
            await trio.sleep(LOG_INTERVAL)
            self.write(count_connections())

    def write(self, connections: int) -> None:
        """Writes a line about what happened since the last one; none if nothing did."""
        evictions = self.memory.evictions - self.logged_evictions
        refusals = self.memory.refusals - self.logged_refusals
        if not (self.ends or evictions or refusals):
            return
        self.log.info(
            "resources",
            connections=connections,
            memory_kib=anonymous_memory() // KIB,
            received_kib=self.memory.charged // KIB,
            received_limit_kib=self.memory.capacity // KIB,
            evicted=evictions,
            no_memory=refusals,
            ended=dict(sorted(self.ends.items())),
        )
        self.ends.clear()
        self.logged_evictions = self.memory.evictions
        self.logged_refusals = self.memory.refusals
