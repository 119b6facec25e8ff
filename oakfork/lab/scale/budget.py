"""The planned size of the fleet, the budgets, the assumptions where those leave a choice, and the program's own bounds.

Nothing here is measured; measures are stored in experiments/scale. Bytes are counted in thousands.
"""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

DAY_S = 86_400
HOUR_S = 3_600
MINUTE_S = 60
MS_PER_S = 1_000


class View(NamedTuple):
    """How much of the fleet one gateway knows: so many servers, gateways (itself included), tenants and regions."""

    name: str
    servers: float
    gateways: float
    tenants: float
    regions: float


class Assumption(NamedTuple):
    """A choice that the budgets leave open: taken as a value, or described in words where it is not one figure."""

    name: str
    value: float | None
    taken: str
    other: str  # the other reading, and where its outcome is shown


@dataclass(frozen=True)
class Budget:
    """The planned fleet and its budgets, of the whole fleet unless a comment names one gateway."""

    gateways: float = 2_700
    servers: float = 41_000
    services: float = 2_000
    regions: float = 7
    zones: float = 16
    requests: float = 320_000  # a second, at the peak
    routes: float = 58_000
    tenants: float = 59_000
    added_ms: float = 4.9  # to a request, for the share of requests that `within` gives
    within: float = 0.99
    changes: float = 2_000  # of configuration, a day
    in_force: float = 16  # seconds, everywhere
    core: float = 0.011  # of a gateway's control
    memory: float = 128e6  # bytes, of a gateway's control
    traffic: float = 2e3  # bytes a second, of a gateway's control
    machines: float = 12  # for control
    failed: float = 63  # machines, on an ordinary day
    restarted: float = 2_500  # or replaced machines, on an ordinary day
    partition_s: float = HOUR_S  # seconds for which regions lose each other

    @property
    def requests_per_gateway(self) -> float:
        """Requests a second of one gateway at the peak."""
        return self.requests / self.gateways

    @property
    def allowed_share(self) -> float:
        """The share of the requests that may take longer."""
        return round(1 - self.within, 9)

    @property
    def all_services(self) -> View:
        """A gateway that knows the whole fleet."""
        return View("all services", self.servers, self.gateways, self.tenants, self.regions)

    @property
    def own_region(self) -> View:
        """A gateway that knows an even part of the fleet, its region's."""
        return View(
            "its region's", self.servers / self.regions, self.gateways / self.regions, self.tenants / self.regions, 1
        )

    @property
    def views(self) -> tuple[View, View]:
        """Both views, in the order of the columns of a table."""
        return self.all_services, self.own_region

    def rows(self) -> list[tuple[str, list[tuple[str, float]]]]:
        """The lines of the page's table of budgets: a name, and values with their units."""
        return [
            (
                "fleet",
                [
                    ("gateways", self.gateways),
                    ("servers", self.servers),
                    ("services", self.services),
                    ("regions", self.regions),
                    ("zones", self.zones),
                ],
            ),
            (
                "load",
                [("requests a second at the peak", self.requests), ("routes", self.routes), ("tenants", self.tenants)],
            ),
            ("time", [("ms added", self.added_ms), ("part of the requests", self.within)]),
            ("changes", [("a day", self.changes), ("s until in force everywhere", self.in_force)]),
            (
                "control of one gateway",
                [("of a core", self.core), ("bytes of memory", self.memory), ("bytes a second", self.traffic)],
            ),
            ("control machines", [("machines", self.machines)]),
            (
                "failures",
                [
                    ("machines fail a day", self.failed),
                    ("restarted or replaced a day", self.restarted),
                    ("s for which regions lose each other", self.partition_s),
                ],
            ),
        ]


def _assumptions() -> tuple[Assumption, ...]:
    return (
        Assumption(
            "asks",
            None,
            "an ask for a quota, and its answer, counts as control",
            "it belongs to the request: both in the table of asks",
        ),
        Assumption(
            "services",
            None,
            "a gateway serves all services: it knows every server, gateway and tenant",
            "it serves its region's, an even part of each: the second column of every table",
        ),
        Assumption(
            "sent",
            None,
            "the budget of bytes counts what a gateway sends",
            "what it receives as well: the table of asks",
        ),
        Assumption("headers", None, "bytes count the headers of IPv4 and UDP", "payload alone: the table of asks"),
        Assumption(
            "spread",
            None,
            "any gateway that knows a tenant takes its requests, and may own it",
            "fewer: fewer owners, longer slices, the same number of asks but for the part that falls to itself",
        ),
        Assumption(
            "memory",
            None,
            "the budget of memory counts the whole process",
            "only what grows with the fleet: the table of the control part",
        ),
        Assumption(
            "zones",
            None,
            "the zones are those of all regions together",
            "of each region: then a lost zone is smaller by the number of regions, and every figure of it",
        ),
        Assumption("rack", 40, "machines in a rack; each is one server", "gateways are among them: fewer servers"),
        Assumption("list changes of a restart", 3, "draining, gone, up again", "a failed one: gone, up again"),
        Assumption("list changes of a failure", 2, "gone, up again", "replaced: the same"),
        Assumption(
            "steps of a rollout",
            10,
            "the gateways in so many parts, one after the other",
            "all at once: greetings as at a start of all",
        ),
        Assumption(
            "round trip between regions",
            None,
            "over the time that may be added, as the operators say",
            "none: no figure rests on its length",
        ),
        Assumption(
            "cold share",
            0.25,
            "of its work, that a server can do at its start (the laboratory's)",
            "the operators' settings: the budget of a cold server moves with it",
        ),
        Assumption("fall multiple", 3, "sent so many times more, a cold server falls (the laboratory's)", "likewise"),
        Assumption("fall time", 3, "seconds over which that counts (the laboratory's)", "likewise"),
    )


@dataclass(frozen=True)
class Assumptions:
    """All assumptions; those with a value are indexed by name."""

    rows: tuple[Assumption, ...] = field(default_factory=_assumptions)

    def __getitem__(self, name: str) -> float:
        return next(row.value for row in self.rows if row.name == name and row.value is not None)


@dataclass(frozen=True)
class ProgramBounds:
    """Constants of the program on which figures rest; a test compares each with the code."""

    kept_servers: float = 16  # servers that a gateway keeps to, or chooses from (decision/servers.py)
    retry_s: float = 0.25  # between two asks to a silent owner (decision/quotas.py)
    silent_after: float = 2  # asks in a row without an answer (decision/quotas.py)
    wait_part: float = 0.1  # of the soft deadline, for an answer (decision/quotas.py)
    tries: float = 3  # of an ask, where the slice has spent or the plan has a ceiling (decision/quotas.py)
    watch_s: float = 1.0  # that a watch without news takes (sockets/discovery.py)
    max_body: float = 64 * 1024  # bytes of an answer that the program accepts (sockets/http_connection.py)
    change_delay_s: float = 6.0  # until a change of the list arrives at most, whatever failed (sockets/discovery.py)


def sharing_gateways(view: View, kept_servers: float) -> float:
    """Gateways that share a cold server where connections have a price, as Servers.update_list computes them.

    Like Servers.update_list it adds the square root of the mean number.
    """
    each = kept_servers * view.gateways / view.servers
    return min(view.gateways, int(each + math.sqrt(each)) + 1)


def cold_server_budget(allowed: float) -> float:
    """Requests that a cold server takes without being overloaded: N + 2 * sqrt(N) + 2, where the settings allow N."""
    return allowed + 2 * math.sqrt(allowed) + 2
