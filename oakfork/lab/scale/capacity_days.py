"""The tables of unusual days (peak, failures, rollouts, bunched changes) and of the time added to a request."""

from oakfork.lab.scale.budget import HOUR_S, MINUTE_S, MS_PER_S, View, cold_server_budget, sharing_gateways
from oakfork.lab.scale.capacity_figures import NOT_MEASURED, Figure, Row, Store, exact, format_number, markdown_table
from oakfork.lab.scale.capacity_shared import (
    ASKS_BY_RATE,
    CHANGE_BYTES,
    PROCESSOR_TO_READY,
    SECONDS_TO_READY,
    START_WITH_REPLIES,
    START_WITHOUT_REPLIES,
    WHOLE_LIST,
    FleetFigures,
    bytes_a_second,
    in_bytes,
    seconds,
)


def zone_servers(fleet: FleetFigures, view: View) -> float:
    """The number of servers in one zone."""
    return view.servers / fleet.budget.zones


def peak_rows(fleet: FleetFigures) -> list[Row]:
    """All gateways at the peak, and with one zone of them lost."""
    budget = fleet.budget
    both = fleet.for_views
    overload = budget.zones / (budget.zones - 1)  # of the remaining zones, once one is lost
    return [
        Row("requests a second of a gateway", both(lambda view: exact(budget.requests_per_gateway))),
        Row("... with the gateways of one zone lost", both(lambda view: exact(budget.requests_per_gateway * overload))),
        Row("requests a second of a server", both(lambda view: exact(budget.requests / budget.servers))),
        Row(
            "... with the servers of one zone lost",
            both(lambda view: exact(budget.requests / budget.servers * overload)),
        ),
        Row(
            "s between two RPCs of a gateway to the same owner",
            both(lambda view: exact(view.gateways / budget.requests_per_gateway)),
        ),
        Row(
            "bytes a second sent, if asks are control",
            both(lambda view: fleet.store.at(bytes_a_second(ASKS_BY_RATE, " sent"), fleet.asks_per_s(view))),
            budget.traffic,
            "paced frames",
        ),
        Row(
            "... with a zone of gateways lost",
            both(lambda view: fleet.store.at(bytes_a_second(ASKS_BY_RATE, " sent"), fleet.asks_per_s(view) * overload)),
            budget.traffic,
            "paced frames",
        ),
        Row(
            "part of a core for asks, with a zone of gateways lost",
            both(lambda view: fleet.ask_cost(view) * fleet.asks_per_s(view) * overload),
            budget.core,
            "as above",
        ),
    ]


def _loss_rows(fleet: FleetFigures, what: str, servers: list[Figure]) -> list[Row]:
    """The rows of a loss of servers, whose number is given for each view."""
    budget = fleet.budget
    views = budget.views
    change_bytes = [fleet.store.at(CHANGE_BYTES, number.value) * exact(1, *number.assumed) for number in servers]
    return [
        Row(f"{what}: servers that change", servers, None, "discovery's watches"),
        Row(
            "... s of stalls, each told alone",
            [fleet.stall_seconds(view) * number for view, number in zip(views, servers, strict=True)],
            budget.in_force,
            "one change, one pass over the list",
        ),
        Row(
            "... ms of one stall, all told in one answer",
            fleet.for_views(lambda view: fleet.store.at(seconds(WHOLE_LIST, "servers"), view.servers) * MS_PER_S),
            budget.added_ms,
            "taken as a whole list's stall",
        ),
        Row(
            "... bytes to each gateway, one answer; the budget is the program's own bound of one",
            change_bytes,
            fleet.bounds.max_body,
            "a longer one is refused and asked for again, and nothing is told any more",
        ),
    ]


def burst_rows(fleet: FleetFigures) -> list[Row]:
    """A rack, a zone and a switch lost: their changes received one by one, or in one answer of a watch."""
    budget = fleet.budget
    rack = fleet.assumptions["rack"]
    racks = fleet.for_views(lambda view: exact(rack * view.servers / budget.servers, "rack"))
    return [
        *_loss_rows(fleet, "a rack gone", racks),
        *_loss_rows(fleet, "a zone gone", fleet.for_views(lambda view: exact(zone_servers(fleet, view)))),
        Row(
            "a switch: the rack's servers gone, and back warm: s of stalls",
            [fleet.stall_seconds(view) * number * 2 for view, number in zip(budget.views, racks, strict=True)],
            budget.in_force,
            "as a rack, twice; no cold ones",
        ),
    ]


def zone_rows(fleet: FleetFigures) -> list[Row]:
    """A zone lost and back: its gateways are silent owners, its servers return cold."""
    budget = fleet.budget
    bounds = fleet.bounds
    both = fleet.for_views
    names = ("cold share", "fall multiple", "fall time")
    share, multiple, time = (fleet.assumptions[name] for name in names)
    allowed = budget.requests / budget.servers * time * share * multiple
    capacity = exact(cold_server_budget(allowed), *names)
    return [
        Row("gateways lost", both(lambda view: exact(view.gateways / budget.zones)), None, "no list of live gateways"),
        Row(
            "tenants whose owner is silent",
            both(lambda view: exact(view.tenants / budget.zones)),
            None,
            "their slices decide: docs/design.md",
        ),
        Row(
            "part of the RPCs that wait for a silent owner",
            both(lambda view: exact(1 / budget.zones)),
            budget.allowed_share,
            "a tenth of the soft deadline each, more under a ceiling",
        ),
        Row(
            "s between two asks of a gateway to one owner; budget: when a silent one is spared the second",
            both(lambda view: exact(view.gateways / budget.requests_per_gateway)),
            bounds.retry_s,
            "above it each ask waits anew: nobody tells the others",
        ),
        Row("servers back cold", both(lambda view: exact(zone_servers(fleet, view)))),
        Row(
            "requests that a cold server takes without a fall",
            both(lambda view: capacity),
            None,
            "pauses: decision/servers.py",
        ),
        Row(
            "gateways that share it where connections have a price",
            both(lambda view: exact(sharing_gateways(view, bounds.kept_servers))),
            capacity.value,
            "each keeps to its own servers",
        ),
        Row(
            "... where they have none",
            both(lambda view: exact(view.gateways)),
            capacity.value,
            "only the pause, drawn by chance, keeps them apart; it grows with their number, and turns are missed",
        ),
    ]


def partition_rows(fleet: FleetFigures) -> list[Row]:
    """Regions partitioned from each other: owners in other regions are silent; nothing is made up for afterwards."""
    budget = fleet.budget
    store = fleet.store
    view = budget.all_services
    away = 1 - 1 / budget.regions
    start = store.at(in_bytes(START_WITHOUT_REPLIES), view.gateways * away)

    def row(what: str, figure: Figure, limit: float | None = None, why: str = "") -> Row:
        return Row(what, [figure], limit, why)

    return [
        row(
            "part of the tenants whose owner is in another region",
            exact(away),
            budget.allowed_share,
            "part of the RPCs that wait: decision/quotas.py",
        ),
        row("asks a second without an answer, of one gateway", exact(budget.requests_per_gateway * away)),
        row("... sent up to so often where a slice has spent or a ceiling stands", exact(fleet.bounds.tries)),
        row(
            "the most that is granted of a quota while they are apart",
            exact(1 + away),
            1.0,
            "the owner's bucket and all slices outside its region; a ceiling holds",
        ),
        row(
            "the part that a tenant gets which comes through one other region",
            exact(1 / budget.regions),
            None,
            "the slices there",
        ),
        row(
            "... through one gateway there",
            exact(1 / view.gateways),
            None,
            "one slice; no less than one request at once without a ceiling",
        ),
        row(
            "bytes a second of greetings, a gateway that starts meanwhile, first minute",
            start / MINUTE_S,
            budget.traffic,
            "again and again, rarer: decision/peer_links.py",
        ),
        row("requests decided by slices while apart, all gateways", exact(budget.requests * away * budget.partition_s)),
    ]


def rollout_rows(fleet: FleetFigures) -> list[Row]:
    """All gateways restarted, in steps."""
    budget = fleet.budget
    store = fleet.store
    both = fleet.for_views
    name = "steps of a rollout"
    steps = fleet.assumptions["steps of a rollout"]

    def frames(view: View) -> Figure:
        return store.slope(in_bytes(START_WITH_REPLIES)) * (2 * view.gateways)

    return [
        Row(
            "bytes that a gateway sends to others in a rollout, its greetings and its replies",
            both(frames),
            None,
            "each life is told to each other gateway",
        ),
        Row(
            "s that a rollout must take to keep to the budget of bytes",
            both(lambda view: frames(view) / budget.traffic),
            None,
            "nothing holds it to that",
        ),
        Row(
            "ms of processor of the module for a birth",
            both(
                lambda view: (
                    store.at(seconds("birth", "servers"), view.servers)
                    + store.growth(seconds("birth", "peers"), view.gateways)
                )
                * MS_PER_S
            ),
            None,
            "before it is ready",
        ),
        Row(
            "s from the start of a process until it is ready",
            both(lambda view: store.at(SECONDS_TO_READY, view.servers)),
            None,
            "oakfork/serving.py",
        ),
        Row(
            "s of a rollout, if each step only waits for ready",
            both(lambda view: store.at(SECONDS_TO_READY, view.servers) * exact(steps, name)),
            budget.in_force,
            "beside what a change of configuration may take",
        ),
        Row(
            "tenants whose buckets are forgotten in a step",
            both(lambda view: exact(view.tenants / steps, name)),
            None,
            "missing reads as full, under a ceiling as empty until a first life is known",
        ),
    ]


def bunched_rows(fleet: FleetFigures) -> list[Row]:
    """A day's changes in one hour: as changes of the list, and as changes of configuration."""
    budget = fleet.budget
    store = fleet.store
    both = fleet.for_views
    rate = budget.changes / HOUR_S
    name = "steps of a rollout"
    steps = fleet.assumptions["steps of a rollout"]
    return [
        Row("changes a second", both(lambda view: exact(rate))),
        Row(
            "of the list: part of a core, and of the time in stalls",
            both(lambda view: fleet.stall_seconds(view) * rate),
            budget.core,
            "one change, one pass over the list",
        ),
        Row(
            "... bytes a second to each gateway",
            both(lambda view: fleet.change_bytes() * rate),
            budget.traffic,
            "watches",
        ),
        Row(
            "of configuration: part of a core, each a restart",
            both(lambda view: store.at(PROCESSOR_TO_READY, view.servers) * rate),
            budget.core,
            "no other way to a running gateway",
        ),
        Row(
            "... s that a rollout takes; the budget is the time between two",
            both(lambda view: store.at(SECONDS_TO_READY, view.servers) * exact(steps, name)),
            1 / rate,
            "likewise",
        ),
    ]


DAY_NAMES = ("quiet", "bad")
QUANTILES = ("p50_ms", "p99_ms")


def added_by(mode: str, which: str) -> str:
    """The name of a measure of time added, by the length of the list."""
    return f"added by servers, {mode}: milliseconds, {which}"


def added_ms(store: Store, day: str, quantile: str) -> Figure:
    """Milliseconds that are added on a day, over the median of the direct calls."""
    return store.stored_figure("added", day, "added", quantile)


def added_rows(fleet: FleetFigures) -> list[Row]:
    """Time added to a request: on two days, and behind a list of the planned length."""
    store = fleet.store
    budget = fleet.budget
    rows = []
    for day in DAY_NAMES:
        rows += [
            Row(
                f"{day} day: ms beside the server's work, {what}",
                [store.stored_figure("added", day, kind, "beside the server", quantile) for quantile in QUANTILES],
            )
            for kind, what in (("direct", "no gateway"), ("through", "a gateway"), ("traced through", "a traced one"))
        ]
        rows += [
            Row(
                f"{day} day: ms added",
                [added_ms(store, day, quantile) for quantile in QUANTILES],
                budget.added_ms,
                "over the median of the bare calls, the stricter way",
            ),
            Row(
                "... over their own quantile",
                [added_ms(store, day, quantile) for quantile in (QUANTILES[0], "p99_over_p99_ms")],
                budget.added_ms,
                "over the same quantile of the bare calls",
            ),
        ]
    return rows + [
        Row(
            f"ms added behind a list of {format_number(budget.servers)}, {mode}",
            [store.at(added_by(mode, which), budget.servers) for which in ("median", "99 in 100")],
            budget.added_ms,
            why,
        )
        for mode, why in (("without changes", "one pool"), ("with changes", "each change stalls all requests"))
    ]


def parts_table(fleet: FleetFigures) -> str:
    """The table of the time inside the gateway by parts, as traced."""
    store = fleet.store
    rows = []
    document = store.files.get("added", {})
    columns = (*QUANTILES, "count")
    runs = [(f"{day} day", (day,)) for day in DAY_NAMES]
    for size, modes in (document.get("by servers") or {}).items():
        name = f"behind a list of {format_number(float(size))}"
        runs += [(f"{name}, {mode}", ("by servers", size, mode)) for mode in modes]
    for run, keys in runs:
        by_part = document
        for key in (*keys, "parts"):
            by_part = by_part.get(key, {})
        for part in by_part:
            rows.append(
                [run, part, *(str(store.stored_figure("added", *keys, "parts", part, column)) for column in columns)]
            )
        if not by_part:
            rows.append([run, "all", *[NOT_MEASURED] * len(columns)])
    return markdown_table(["run", "part", "p50 ms", "p99 ms", "count"], rows)
