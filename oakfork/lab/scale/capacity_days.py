"""The tables of days that are not the mean one, and of the time added."""

from oakfork.lab.scale.budget import HOUR, MINUTE, MS, View, cold_budget, sharing
from oakfork.lab.scale.capacity_figures import NOT_MEASURED, Figure, Row, Store, exact, markdown, plain
from oakfork.lab.scale.capacity_roles import (
    ASKING,
    LIST,
    NEWS,
    READY,
    SILENT_START,
    SPENT,
    START,
    Sums,
    bytes_a_second,
    in_bytes,
    seconds,
)


def lost(sums: Sums, view: View) -> float:
    """Servers of one zone."""
    return view.servers / sums.budget.zones


def peak(sums: Sums) -> list[Row]:
    """All gateways at the peak, and with one zone of them lost."""
    budget, both = sums.budget, sums.both
    left = budget.zones / (budget.zones - 1)
    return [
        Row("requests a second of a gateway", both(lambda view: exact(budget.asked))),
        Row("... with the gateways of one zone lost", both(lambda view: exact(budget.asked * left))),
        Row("requests a second of a server", both(lambda view: exact(budget.requests / budget.servers))),
        Row("... with the servers of one zone lost", both(lambda view: exact(budget.requests / budget.servers * left))),
        Row(
            "s between two RPCs of a gateway to the same owner", both(lambda view: exact(view.gateways / budget.asked))
        ),
        Row(
            "bytes a second sent, if asks are control",
            both(lambda view: sums.store.at(bytes_a_second(ASKING, " sent"), sums.asks(view))),
            budget.traffic,
            "paced frames",
        ),
        Row(
            "... with a zone of gateways lost",
            both(lambda view: sums.store.at(bytes_a_second(ASKING, " sent"), sums.asks(view) * left)),
            budget.traffic,
            "paced frames",
        ),
        Row(
            "part of a core for asks, with a zone of gateways lost",
            both(lambda view: sums.an_ask(view) * sums.asks(view) * left),
            budget.core,
            "as above",
        ),
    ]


def _gone(sums: Sums, what: str, servers: list[Figure]) -> list[Row]:
    """So many servers gone, a figure a view."""
    budget, views = sums.budget, sums.budget.views
    news = [sums.store.at(NEWS, number.value) * exact(1, *number.assumed) for number in servers]
    return [
        Row(f"{what}: servers that change", servers, None, "discovery's watches"),
        Row(
            "... s of stalls, each told alone",
            [sums.stall(view) * number for view, number in zip(views, servers, strict=True)],
            budget.in_force,
            "one change, one pass over the list",
        ),
        Row(
            "... ms of one stall, all told in one answer",
            sums.both(lambda view: sums.store.at(seconds(LIST, "servers"), view.servers) * MS),
            budget.added_ms,
            "taken as a whole list's stall",
        ),
        Row(
            "... bytes to each gateway, one answer; the budget is the program's own bound of one",
            news,
            sums.today.body,
            "a longer one is refused and asked for again, and nothing is told any more",
        ),
    ]


def bursts(sums: Sums) -> list[Row]:
    """A rack, a switch, a zone: their changes told one by one, or in one answer of a watch."""
    budget, rack = sums.budget, sums.open["rack"]
    racks = sums.both(lambda view: exact(rack * view.servers / budget.servers, "rack"))
    return [
        *_gone(sums, "a rack gone", racks),
        *_gone(sums, "a zone gone", sums.both(lambda view: exact(lost(sums, view)))),
        Row(
            "a switch: the rack's servers gone, and back warm: s of stalls",
            [sums.stall(view) * number * 2 for view, number in zip(budget.views, racks, strict=True)],
            budget.in_force,
            "as a rack, twice; no cold ones",
        ),
    ]


def zone(sums: Sums) -> list[Row]:
    """A zone lost and back cold: its gateways are silent owners, its servers cold."""
    budget, today, both = sums.budget, sums.today, sums.both
    names = "cold share", "fall multiple", "fall time"
    share, multiple, time = (sums.open[name] for name in names)
    allowed = budget.requests / budget.servers * time * share * multiple
    held = exact(cold_budget(allowed), *names)
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
            budget.beyond,
            "a tenth of the soft deadline each, more under a ceiling",
        ),
        Row(
            "s between two asks of a gateway to one owner; budget: when a silent one is spared the second",
            both(lambda view: exact(view.gateways / budget.asked)),
            today.retry_s,
            "above it each ask waits anew: nobody tells the others",
        ),
        Row("servers back cold", both(lambda view: exact(lost(sums, view)))),
        Row(
            "requests that a cold server takes without a fall",
            both(lambda view: held),
            None,
            "pauses: decision/servers.py",
        ),
        Row(
            "gateways that share it where connections have a price",
            both(lambda view: exact(sharing(view, today.row))),
            held.value,
            "each keeps to its own servers",
        ),
        Row(
            "... where they have none",
            both(lambda view: exact(view.gateways)),
            held.value,
            "only the pause, drawn by chance, keeps them apart; it grows with their number, and turns are missed",
        ),
    ]


def apart(sums: Sums) -> list[Row]:
    """Regions apart: owners in other regions are silent; afterwards nothing has to be made up."""
    budget, store = sums.budget, sums.store
    view = budget.all_services
    away = 1 - 1 / budget.regions
    start = store.at(in_bytes(SILENT_START), view.gateways * away)

    def row(what: str, figure: Figure, limit: float | None = None, why: str = "") -> Row:
        return Row(what, [figure], limit, why)

    return [
        row(
            "part of the tenants whose owner is in another region",
            exact(away),
            budget.beyond,
            "part of the RPCs that wait: decision/quotas.py",
        ),
        row("asks a second without an answer, of one gateway", exact(budget.asked * away)),
        row("... sent up to so often where a slice has spent or a ceiling stands", exact(sums.today.tries)),
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
            start / MINUTE,
            budget.traffic,
            "again and again, rarer: decision/peer_links.py",
        ),
        row("requests decided by slices while apart, all gateways", exact(budget.requests * away * budget.apart)),
    ]


def rollout(sums: Sums) -> list[Row]:
    """All gateways restarted, in steps."""
    budget, store, both = sums.budget, sums.store, sums.both
    steps, name = sums.open["steps of a rollout"], "steps of a rollout"

    def frames(view: View) -> Figure:
        return store.slope(in_bytes(START)) * (2 * view.gateways)

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
                    + store.grown(seconds("birth", "peers"), view.gateways)
                )
                * MS
            ),
            None,
            "before it is ready",
        ),
        Row(
            "s from the start of a process until it is ready",
            both(lambda view: store.at(READY, view.servers)),
            None,
            "oakfork/serving.py",
        ),
        Row(
            "s of a rollout, if each step only waits for ready",
            both(lambda view: store.at(READY, view.servers) * exact(steps, name)),
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


def bunched(sums: Sums) -> list[Row]:
    """A day's changes in one hour: as changes of the list, and as changes of configuration."""
    budget, store, both = sums.budget, sums.store, sums.both
    rate = budget.changes / HOUR
    steps, name = sums.open["steps of a rollout"], "steps of a rollout"
    return [
        Row("changes a second", both(lambda view: exact(rate))),
        Row(
            "of the list: part of a core, and of the time in stalls",
            both(lambda view: sums.stall(view) * rate),
            budget.core,
            "one change, one pass over the list",
        ),
        Row("... bytes a second to each gateway", both(lambda view: sums.a_change() * rate), budget.traffic, "watches"),
        Row(
            "of configuration: part of a core, each a restart",
            both(lambda view: store.at(SPENT, view.servers) * rate),
            budget.core,
            "no other way to a running gateway",
        ),
        Row(
            "... s that a rollout takes; the budget is the time between two",
            both(lambda view: store.at(READY, view.servers) * exact(steps, name)),
            1 / rate,
            "likewise",
        ),
    ]


DAYS = "quiet", "bad"
QUANTILES = "p50_ms", "p99_ms"


def added_by(mode: str, which: str) -> str:
    """The measure of time added, by the length of the list."""
    return f"added by servers, {mode}: milliseconds, {which}"


def added_ms(store: Store, day: str, quantile: str) -> Figure:
    """Over the median of the bare calls."""
    return store.part("added", day, "added", quantile)


def added(sums: Sums) -> list[Row]:
    """Time added to a request: on two days, and behind a list of the planned length."""
    store, rows, budget = sums.store, [], sums.budget
    for day in DAYS:
        rows += [
            Row(
                f"{day} day: ms beside the server's work, {what}",
                [store.part("added", day, kind, "beside the server", quantile) for quantile in QUANTILES],
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
            f"ms added behind a list of {plain(budget.servers)}, {mode}",
            [store.at(added_by(mode, which), budget.servers) for which in ("median", "99 in 100")],
            budget.added_ms,
            why,
        )
        for mode, why in (("without changes", "one pool"), ("with changes", "each change stalls all requests"))
    ]


def parts(sums: Sums) -> str:
    """The time inside the gateway by parts, as traced."""
    store, rows = sums.store, []
    told = store.files.get("added", {})
    runs = [(f"{day} day", (day,)) for day in DAYS]
    for size, modes in (told.get("by servers") or {}).items():
        runs += [(f"behind a list of {plain(float(size))}, {mode}", ("by servers", size, mode)) for mode in modes]
    for run, keys in runs:
        found = told
        for key in (*keys, "parts"):
            found = found.get(key, {})
        for name in found:
            rows.append(
                [run, name, *(str(store.part("added", *keys, "parts", name, key)) for key in (*QUANTILES, "count"))]
            )
        if not found:
            rows.append([run, "all", *[NOT_MEASURED] * len((*QUANTILES, "count"))])
    return markdown(["run", "part", "p50 ms", "p99 ms", "count"], rows)
