"""The table of missing mechanisms: those without any way today, then by the size at which a budget is exceeded."""

import math
from dataclasses import dataclass

from oakfork.lab.scale.budget import DAY_S, MINUTE_S, MS_PER_S
from oakfork.lab.scale.capacity_days import DAY_NAMES, added_by, added_ms, zone_servers
from oakfork.lab.scale.capacity_figures import (
    DERIVED_DIGITS,
    NOT_MEASURED,
    Figure,
    exact,
    format_number,
    markdown_table,
    origin,
)
from oakfork.lab.scale.capacity_shared import (
    ASKS_BY_RATE,
    AT_REST,
    CHANGE_BYTES,
    LIST_BYTES,
    LIST_CHANGE,
    MEMORY_BY_SERVERS,
    PROCESSOR_TO_READY,
    SECONDS_TO_READY,
    START_WITH_REPLIES,
    START_WITHOUT_REPLIES,
    FleetFigures,
    bytes_a_second,
    in_bytes,
    seconds,
)

# Outcomes
NO_WAY = "no way at all"
MISSES = "misses"
HOLDS = "holds"


@dataclass(frozen=True)
class MissingMechanism:
    """A mechanism that may be missing: what today's way costs over its budget, and the size at which it exceeds it."""

    name: str
    bounds: str
    budget: str
    factor: Figure
    size: Figure  # at which it exceeds its budget
    planned: float  # size
    by: str  # the size that varies
    has_way: bool = True  # whether there is a way today

    @property
    def planned_share(self) -> float:
        """`size` as a share of the planned size, at most 1 where the budget is exceeded at the planned size."""
        return math.inf if self.size.value is None else self.size.value / self.planned

    @property
    def outcome(self) -> str:
        """Whether the budget holds at the planned size."""
        if not self.has_way:
            return NO_WAY
        if self.factor.value is None:
            return NOT_MEASURED
        return MISSES if _exceeds(self.factor) else HOLDS

    @property
    def order(self) -> tuple[int, float, float]:
        """The key by which the table is sorted."""
        return (
            (NO_WAY, MISSES, NOT_MEASURED, HOLDS).index(self.outcome),
            self.planned_share,
            -(self.factor.value or 0.0),
        )


def _exceeds(factor: Figure) -> bool:
    return factor.value is not None and factor.value > 1


def _configuration(fleet: FleetFigures) -> list[MissingMechanism]:
    budget = fleet.budget
    store = fleet.store
    servers = budget.servers
    none = exact(0)
    restarts = store.at(PROCESSOR_TO_READY, servers) * budget.changes / DAY_S / budget.core
    return [
        MissingMechanism(
            "routes, tenants and services in the decisions of a running gateway",
            "a follower of the control part "
            "keeps them in a store with look-ups; what decides reads its settings once at the start: a restart for "
            "each change",
            "a core",
            restarts,
            none,
            budget.changes,
            "changes a day",
            False,
        ),
        MissingMechanism(
            "changes of the tier itself: who owns whom",
            "no kind of record of the control part; peers and their " "number are read once at the start",
            "a core",
            restarts,
            none,
            budget.changes,
            "changes a day",
            False,
        ),
        MissingMechanism(
            "a start within the time of a change, while a restart is its only way",
            "as many seconds until ready",
            "in force everywhere",
            store.at(SECONDS_TO_READY, servers) / budget.in_force,
            store.crosses(SECONDS_TO_READY, budget.in_force),
            servers,
            "servers",
        ),
    ]


def _list(fleet: FleetFigures) -> list[MissingMechanism]:
    budget = fleet.budget
    store = fleet.store
    servers = budget.servers
    change = seconds(LIST_CHANGE, "servers")
    zone = zone_servers(fleet, budget.all_services)
    other_memory = fleet.memory(budget.all_services) - store.at(MEMORY_BY_SERVERS, servers)
    body = fleet.bounds.max_body
    list_bytes = store.at(LIST_BYTES, servers)
    change_bytes = store.at(CHANGE_BYTES, zone)
    return [
        MissingMechanism(
            "a whole list in parts, or taken in at that length",
            "a longer answer of discovery is refused: only "
            "the list in the configuration gets in, or the control part's, off in `run`",
            "in force everywhere; the program's bound",
            list_bytes / body,
            store.crosses(LIST_BYTES, body),
            servers,
            "servers",
            not _exceeds(list_bytes / body),
        ),
        MissingMechanism(
            "many changes at once, in parts or taken in at that length",
            "a longer answer is refused and asked for "
            "again, no change is told any more; the control part coalesces them, off in `run`",
            "in force everywhere, a zone lost; the program's bound",
            change_bytes / body,
            store.crosses(CHANGE_BYTES, body),
            zone,
            "servers changed",
            not _exceeds(change_bytes / body),
        ),
        MissingMechanism(
            "a change of one server at a cost that does not grow with the list",
            "what one change costs while " "every request waits",
            "ms added",
            store.at(change, servers) * MS_PER_S / budget.added_ms,
            store.crosses(change, budget.added_ms / MS_PER_S),
            servers,
            "servers",
        ),
        MissingMechanism(
            "changes taken together while a zone goes",
            "one after the other, if told one by one",
            "in force everywhere",
            store.at(change, servers) * zone / budget.in_force,
            store.crosses(change, budget.in_force / zone),
            servers,
            "servers",
        ),
        MissingMechanism(
            "tables small enough",
            "an object a server, gateway and bucket, the whole process counted",
            "memory",
            fleet.memory(budget.all_services) / budget.memory,
            store.crosses(MEMORY_BY_SERVERS, exact(budget.memory) - other_memory),
            servers,
            "servers, the others as planned",
        ),
        MissingMechanism(
            "a start without the whole list at once",
            "one call, within the first minute",
            "bytes a second",
            store.at(LIST_BYTES, servers) / MINUTE_S / budget.traffic,
            store.crosses(LIST_BYTES, budget.traffic * MINUTE_S),
            servers,
            "servers",
        ),
    ]


def _links(fleet: FleetFigures) -> list[MissingMechanism]:
    budget = fleet.budget
    store = fleet.store
    gateways = budget.gateways
    sent = bytes_a_second(ASKS_BY_RATE, " sent")
    asks = fleet.asks_per_s(budget.all_services)
    ask_cost = fleet.ask_cost(budget.all_services)
    starts = [(in_bytes(START_WITH_REPLIES), "all reply"), (in_bytes(START_WITHOUT_REPLIES), "none replies")]
    mechanisms = [
        MissingMechanism(
            f"lives told without a greeting to each ({replies})",
            "one to each gateway in the first minute",
            "bytes a second",
            store.at(name, gateways) / MINUTE_S / budget.traffic,
            store.crosses(name, budget.traffic * MINUTE_S),
            gateways,
            "gateways",
        )
        for name, replies in starts
    ]
    return mechanisms + [
        MissingMechanism(
            "quiet links at rest",
            "no frame without a need",
            "bytes a second",
            store.at(bytes_a_second(AT_REST), gateways) / budget.traffic,
            store.crosses(bytes_a_second(AT_REST), budget.traffic),
            gateways,
            "gateways",
        ),
        MissingMechanism(
            "quotas without an ask for each request, if asks are control: bytes",
            "an ask and an answer each",
            "bytes a second",
            store.at(sent, asks) / budget.traffic,
            store.crosses(sent, budget.traffic),
            asks,
            "asks a second",
        ),
        MissingMechanism(
            "quotas without an ask for each request, if asks are control: processor",
            "an ask and an answer each",
            "a core",
            ask_cost * asks / budget.core,
            exact(budget.core) / ask_cost,
            asks,
            "asks a second",
        ),
    ]


def _owners(fleet: FleetFigures) -> list[MissingMechanism]:
    budget = fleet.budget
    away = 1 - 1 / budget.regions  # share of the owners in other regions
    regions = math.floor(1 / (1 - budget.allowed_share)) + 1
    gateways = budget.requests_per_gateway * fleet.bounds.retry_s
    return [
        MissingMechanism(
            "an owner in each region",
            "one in all: an RPC waits for another region's owner",
            "ms added",
            exact(away / budget.allowed_share, "round trip between regions"),
            exact(regions),
            budget.regions,
            "regions",
        ),
        MissingMechanism(
            "word of silent gateways, passed on",
            "each gateway finds out by its own asks, none of which comes soon " "enough after the last to be spared",
            "ms added, a zone lost",
            exact(1 / budget.zones / budget.allowed_share),
            exact(gateways),
            budget.gateways,
            "gateways",
        ),
    ]


def _time(fleet: FleetFigures) -> list[MissingMechanism]:
    budget = fleet.budget
    store = fleet.store
    mechanisms = []
    for mode in ("with changes", "without changes"):
        name = added_by(mode, "99 in 100")
        mechanisms.append(
            MissingMechanism(
                f"a shorter way through the gateway ({mode} of the list)",
                "one loop for lists and requests",
                "ms added",
                store.at(name, budget.servers) / budget.added_ms,
                store.crosses(name, budget.added_ms),
                budget.servers,
                "servers",
            )
        )
    names = (
        "a shorter way through the gateway (quiet day)",
        "answers in time beside lost frames and servers that hang (bad day)",
    )
    for day, name in zip(DAY_NAMES, names, strict=True):
        factor = added_ms(store, day, "p99_ms") / budget.added_ms
        measured_size = store.stored_figure("added", "held", "servers")
        unknown_or_exceeded = factor.value is None or _exceeds(factor)
        mechanisms.append(
            MissingMechanism(
                name,
                "as measured in a small tier, the only size",
                "ms added",
                factor,
                measured_size if unknown_or_exceeded else exact(math.inf),
                budget.servers,
                "servers",
            )
        )
    return mechanisms


def missing_mechanisms(fleet: FleetFigures) -> list[MissingMechanism]:
    """All mechanisms, in the order of the table."""
    mechanisms = [*_configuration(fleet), *_list(fleet), *_links(fleet), *_owners(fleet), *_time(fleet)]
    return sorted(mechanisms, key=lambda mechanism: mechanism.order)


def missing_table(fleet: FleetFigures) -> str:
    """The table in Markdown."""
    rows = []
    for place, mechanism in enumerate(missing_mechanisms(fleet), 1):
        never = mechanism.size.value is None or math.isinf(mechanism.size.value)
        if mechanism.size.value == 0:
            size = "any size"
        elif never:
            size = str(mechanism.size)
        else:
            size = f"{mechanism.size} {mechanism.by}"
        share = "" if never else format_number(mechanism.planned_share, 2)
        rows.append(
            [
                str(place),
                mechanism.name,
                mechanism.bounds,
                mechanism.budget,
                mechanism.outcome,
                str(mechanism.factor),
                size,
                f"{format_number(mechanism.planned, DERIVED_DIGITS)} {mechanism.by}",
                share,
                origin([mechanism.factor, mechanism.size], fleet.store.groups),
            ]
        )
    return markdown_table(
        [
            "",
            "mechanism",
            "today",
            "budget",
            "outcome",
            "factor",
            "over it from",
            "planned",
            "part of the planned size",
            "from",
        ],
        rows,
    )
