"""Names of measures and figures that several tables of the capacity page share."""

from typing import Callable

from oakfork.lab.scale.budget import Assumptions, Budget, ProgramBounds, View
from oakfork.lab.scale.capacity_figures import Figure, Store, exact

# Names of measures, or of what they measure
RPC_AT_OWNER = "rpc at its owner"
RPC_THAT_ASKS = "rpc that asks"
ASK_SERVED = "ask served"
LIST_CHANGE = "change of one server"
WHOLE_LIST = "whole list"
MEMORY_BY_SERVERS = "process by servers: bytes of memory"
MEMORY_BY_GATEWAYS = "process by gateways: bytes of memory"
MEMORY_BY_CUSTOMERS = "memory of the module by customers: bytes"
START_WITHOUT_REPLIES = "start by gateways, none replies"
START_WITH_REPLIES = "start by gateways, all reply"
AT_REST = "rest by gateways"
ASKS_BY_RATE = "asks by rate"
CHANGE_BYTES = "changes by servers changed: bytes"
WITH_HEADERS = ", with headers"  # of IPv4 and UDP
LIST_BYTES = "whole list by servers: bytes"
SECONDS_TO_READY = "process by servers: seconds to ready"
PROCESSOR_TO_READY = "process by servers: processor seconds to ready"
VOTER_FRAMES = "leases by gateways: frames a second of all voters"
WATCHER_FRAMES = "leases by gateways: frames a second of a watcher"
VOTER_BYTES_SENT = "leases by gateways: bytes a second sent by a voter"
VOTER_BYTES_RECEIVED = "leases by gateways: bytes a second received by a voter"
VOTER_PROCESSOR = "leases by gateways: processor seconds of a voter a second"
VOTER_STATE_BYTES = "leases by gateways: bytes of state of all voters"


def seconds(what: str, by: str) -> str:
    """The name of a measure of the decision module's processor time."""
    return f"{what} by {by}: seconds"


def in_bytes(what: str) -> str:
    """The name of a measure of the bytes of a start, with headers."""
    return f"{what}: bytes{WITH_HEADERS}"


def bytes_a_second(what: str, way: str = "") -> str:
    """The name of a measure of bytes a second, with headers: at rest, or of asks (" sent" or " received")."""
    return f"{what}: bytes a second{way}{WITH_HEADERS}"


class FleetFigures:
    """Figures that several tables share, computed from the store, the budget and the assumptions."""

    def __init__(self, store: Store, budget: Budget, assumptions: Assumptions, bounds: ProgramBounds) -> None:
        self.store = store
        self.budget = budget
        self.assumptions = assumptions
        self.bounds = bounds

    def for_views(self, figure: Callable[[View], Figure]) -> list[Figure]:
        """A figure for each view, in the order of the columns."""
        return [figure(view) for view in self.budget.views]

    def foreign_share(self, view: View) -> float:
        """The share of a gateway's RPCs whose owner is another gateway."""
        return 1 - 1 / view.gateways

    def asks_per_s(self, view: View) -> float:
        """Asks a second that one gateway sends at the peak; it serves as many."""
        return self.budget.requests_per_gateway * self.foreign_share(view)

    def ask_cost(self, view: View) -> Figure:
        """Processor seconds of the module for one ask sent and one served."""
        at = self.store.at
        sent = at(seconds(RPC_THAT_ASKS, "peers"), view.gateways) - at(seconds(RPC_AT_OWNER, "peers"), view.gateways)
        return sent + at(seconds(ASK_SERVED, "peers"), view.gateways)

    def stall_seconds(self, view: View) -> Figure:
        """Seconds for which a change of one server stalls the gateway."""
        return self.store.at(seconds(LIST_CHANGE, "servers"), view.servers)

    def list_changes(self, view: View) -> Figure:
        """Changes a day of the list of servers, for the part of the list that a gateway knows."""
        names = ("list changes of a restart", "list changes of a failure")
        of_restart, of_failure = (self.assumptions[name] for name in names)
        changes = self.budget.restarted * of_restart + self.budget.failed * of_failure
        return exact(changes * view.servers / self.budget.servers, *names)

    def growing_memory(self, view: View) -> Figure:
        """Bytes of memory that grow with the fleet, where every tenant has a bucket at this gateway."""
        growth = self.store.growth
        return (
            growth(MEMORY_BY_SERVERS, view.servers)
            + growth(MEMORY_BY_GATEWAYS, view.gateways)
            + growth(MEMORY_BY_CUSTOMERS, view.tenants)
        )

    def memory(self, view: View) -> Figure:
        """Bytes of memory of the whole process, where every tenant has a bucket at this gateway."""
        growth = self.store.growth
        return (
            self.store.at(MEMORY_BY_SERVERS, view.servers)
            + growth(MEMORY_BY_GATEWAYS, view.gateways)
            + growth(MEMORY_BY_CUSTOMERS, view.tenants)
        )

    def change_bytes(self) -> Figure:
        """Bytes of an answer of discovery that has one changed server."""
        return self.store.at(CHANGE_BYTES, 1)
