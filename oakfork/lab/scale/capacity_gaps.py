"""The missing mechanisms, in order: no way at all, then by the part of the planned size at which a budget breaks."""

import math
from dataclasses import dataclass

from oakfork.lab.scale.budget import DAY, MINUTE, MS
from oakfork.lab.scale.capacity_days import DAYS, added_by, added_ms, lost
from oakfork.lab.scale.capacity_figures import NOT_MEASURED, SURE, Figure, exact, markdown, origin, plain
from oakfork.lab.scale.capacity_roles import (
    ASKING,
    CHANGE,
    LISTED,
    MEMORY,
    NEWS,
    READY,
    REST,
    SILENT_START,
    SPENT,
    START,
    Sums,
    bytes_a_second,
    in_bytes,
    seconds,
)

NO_WAY, MISSES, HOLDS = "no way at all", "misses", "holds"


@dataclass(frozen=True)
class Lack:
    """A mechanism: what today's way costs over its budget, and the size from which it is over."""

    name: str
    today: str
    budget: str
    factor: Figure
    size: Figure  # at which it crosses its budget
    planned: float
    by: str
    way: bool = True  # there is one today

    @property
    def part(self) -> float:
        """Of the planned size; none is above it where the budget is missed at the planned size."""
        return math.inf if self.size.value is None else self.size.value / self.planned

    @property
    def outcome(self) -> str:
        if not self.way:
            return NO_WAY
        if self.factor.value is None:
            return NOT_MEASURED
        return MISSES if _over(self.factor) else HOLDS

    @property
    def order(self) -> tuple[int, float, float]:
        return (NO_WAY, MISSES, NOT_MEASURED, HOLDS).index(self.outcome), self.part, -(self.factor.value or 0.0)


def _over(factor: Figure) -> bool:
    return factor.value is not None and factor.value > 1


def _configuration(sums: Sums) -> list[Lack]:
    budget, store, servers = sums.budget, sums.store, sums.budget.servers
    none, restarts = exact(0), store.at(SPENT, servers) * budget.changes / DAY / budget.core
    return [
        Lack(
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
        Lack(
            "changes of the tier itself: who owns whom",
            "no kind of record of the control part; peers and their " "number are read once at the start",
            "a core",
            restarts,
            none,
            budget.changes,
            "changes a day",
            False,
        ),
        Lack(
            "a start within the time of a change, while a restart is its only way",
            "as many seconds until ready",
            "in force everywhere",
            store.at(READY, servers) / budget.in_force,
            store.crosses(READY, budget.in_force),
            servers,
            "servers",
        ),
    ]


def _list(sums: Sums) -> list[Lack]:
    budget, store, servers = sums.budget, sums.store, sums.budget.servers
    change, zone = seconds(CHANGE, "servers"), lost(sums, budget.all_services)
    over = sums.memory(budget.all_services) - store.at(MEMORY, servers)
    body, whole, news = sums.today.body, store.at(LISTED, servers), store.at(NEWS, zone)
    return [
        Lack(
            "a whole list in parts, or taken in at that length",
            "a longer answer of discovery is refused: only "
            "the list in the configuration gets in, or the control part's, off in `run`",
            "in force everywhere; the program's bound",
            whole / body,
            store.crosses(LISTED, body),
            servers,
            "servers",
            not _over(whole / body),
        ),
        Lack(
            "many changes at once, in parts or taken in at that length",
            "a longer answer is refused and asked for "
            "again, no change is told any more; the control part coalesces them, off in `run`",
            "in force everywhere, a zone lost; the program's bound",
            news / body,
            store.crosses(NEWS, body),
            zone,
            "servers changed",
            not _over(news / body),
        ),
        Lack(
            "a change of one server at a cost that does not grow with the list",
            "what one change costs while " "every request waits",
            "ms added",
            store.at(change, servers) * MS / budget.added_ms,
            store.crosses(change, budget.added_ms / MS),
            servers,
            "servers",
        ),
        Lack(
            "changes taken together while a zone goes",
            "one after the other, if told one by one",
            "in force everywhere",
            store.at(change, servers) * zone / budget.in_force,
            store.crosses(change, budget.in_force / zone),
            servers,
            "servers",
        ),
        Lack(
            "tables small enough",
            "an object a server, gateway and bucket, the whole process counted",
            "memory",
            sums.memory(budget.all_services) / budget.memory,
            store.crosses(MEMORY, exact(budget.memory) - over),
            servers,
            "servers, the others as planned",
        ),
        Lack(
            "a start without the whole list at once",
            "one call, within the first minute",
            "bytes a second",
            store.at(LISTED, servers) / MINUTE / budget.traffic,
            store.crosses(LISTED, budget.traffic * MINUTE),
            servers,
            "servers",
        ),
    ]


def _links(sums: Sums) -> list[Lack]:
    budget, store, gateways = sums.budget, sums.store, sums.budget.gateways
    asking, asks, once = (
        bytes_a_second(ASKING, " sent"),
        sums.asks(budget.all_services),
        sums.an_ask(budget.all_services),
    )
    rows = [(in_bytes(START), "all reply"), (in_bytes(SILENT_START), "none replies")]
    lacks = [
        Lack(
            f"lives told without a greeting to each ({said})",
            "one to each gateway in the first minute",
            "bytes a second",
            store.at(name, gateways) / MINUTE / budget.traffic,
            store.crosses(name, budget.traffic * MINUTE),
            gateways,
            "gateways",
        )
        for name, said in rows
    ]
    return lacks + [
        Lack(
            "quiet links at rest",
            "no frame without a need",
            "bytes a second",
            store.at(bytes_a_second(REST), gateways) / budget.traffic,
            store.crosses(bytes_a_second(REST), budget.traffic),
            gateways,
            "gateways",
        ),
        Lack(
            "quotas without an ask for each request, if asks are control: bytes",
            "an ask and an answer each",
            "bytes a second",
            store.at(asking, asks) / budget.traffic,
            store.crosses(asking, budget.traffic),
            asks,
            "asks a second",
        ),
        Lack(
            "quotas without an ask for each request, if asks are control: processor",
            "an ask and an answer each",
            "a core",
            once * asks / budget.core,
            exact(budget.core) / once,
            asks,
            "asks a second",
        ),
    ]


def _owners(sums: Sums) -> list[Lack]:
    budget = sums.budget
    away, regions = 1 - 1 / budget.regions, math.floor(1 / (1 - budget.beyond)) + 1
    spared = budget.asked * sums.today.retry_s
    return [
        Lack(
            "an owner in each region",
            "one in all: an RPC waits for another region's owner",
            "ms added",
            exact(away / budget.beyond, "round trip between regions"),
            exact(regions),
            budget.regions,
            "regions",
        ),
        Lack(
            "word of silent gateways, passed on",
            "each gateway finds out by its own asks, none of which comes soon " "enough after the last to be spared",
            "ms added, a zone lost",
            exact(1 / budget.zones / budget.beyond),
            exact(spared),
            budget.gateways,
            "gateways",
        ),
    ]


def _time(sums: Sums) -> list[Lack]:
    budget, store, lacks = sums.budget, sums.store, []
    for mode in ("with changes", "without changes"):
        name = added_by(mode, "99 in 100")
        lacks.append(
            Lack(
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
    for day, name in zip(DAYS, names, strict=True):
        factor, measured = added_ms(store, day, "p99_ms") / budget.added_ms, store.part("added", "held", "servers")
        lacks.append(
            Lack(
                name,
                "as measured in a small tier, the only size",
                "ms added",
                factor,
                measured if _over(factor) or factor.value is None else exact(math.inf),
                budget.servers,
                "servers",
            )
        )
    return lacks


def lacks(sums: Sums) -> list[Lack]:
    found = [*_configuration(sums), *_list(sums), *_links(sums), *_owners(sums), *_time(sums)]
    return sorted(found, key=lambda lack: lack.order)


def missing(sums: Sums) -> str:
    rows = []
    for place, lack in enumerate(lacks(sums), 1):
        never = lack.size.value is None or math.isinf(lack.size.value)
        size = "any size" if lack.size.value == 0 else str(lack.size) if never else f"{lack.size} {lack.by}"
        part = "" if never else plain(lack.part, 2)
        rows.append(
            [
                str(place),
                lack.name,
                lack.today,
                lack.budget,
                lack.outcome,
                str(lack.factor),
                size,
                f"{plain(lack.planned, SURE)} {lack.by}",
                part,
                origin([lack.factor, lack.size], sums.store.groups),
            ]
        )
    return markdown(
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
