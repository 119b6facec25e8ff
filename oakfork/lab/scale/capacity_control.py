"""The tables of the control plane (docs/control.md): its runs at full size, beside the budget and beside predictions.

The predictions are those of the line through the smaller sizes.
"""

from oakfork.lab.scale.budget import DAY_S, MS_PER_S, Budget
from oakfork.lab.scale.capacity_figures import GIVEN_DIGITS, Figure, Row, exact, format_number
from oakfork.lab.scale.capacity_shared import FleetFigures

GROUP = "control"


def measure(what: str) -> str:
    """The name of a measure of the control plane."""
    return f"control by gateways: {what}"


RECEIVED_AT_REST = measure("bytes to all a second, at rest")
SENT_AT_REST = measure("bytes from all a second, at rest")
RECEIVED_FOR_CHANGE = measure("bytes to all for a change")
SENT_FOR_CHANGE = measure("bytes from all for a change")
GATEWAYS_AT_REST = measure("processor seconds of all a second, at rest")
GATEWAYS_FOR_CHANGE = measure("processor seconds of all for a change")
SERVING_AT_REST = measure("processor seconds of publisher and relays a second, at rest")
SERVING_FOR_CHANGE = measure("processor seconds of publisher and relays for a change")
LAST_GATEWAY_S = measure("seconds to everywhere, the last")
MEDIAN_GATEWAY_S = measure("seconds to everywhere, the median")
PREDICTED_MEASURES = (
    RECEIVED_AT_REST,
    SENT_AT_REST,
    RECEIVED_FOR_CHANGE,
    SENT_FOR_CHANGE,
    GATEWAYS_AT_REST,
    GATEWAYS_FOR_CHANGE,
    SERVING_AT_REST,
    SERVING_FOR_CHANGE,
    LAST_GATEWAY_S,
    MEDIAN_GATEWAY_S,
)
QUANTILE_NAME = "99 in 100"
BURSTS = ("zone gone", "zone back", "bunched")


def relayed_rows(fleet: FleetFigures) -> list[Row]:
    """The rows of the runs at the planned size; what is measured of all gateways together is divided evenly."""
    budget = fleet.budget
    store = fleet.store
    gateways = budget.gateways
    rate = exact(budget.changes / DAY_S)

    def each(rest: str, change: str) -> Figure:
        return (store.at(rest, gateways) + store.at(change, gateways) * rate) / exact(gateways)

    def stored(*path: str) -> Figure:
        return store.stored_figure(GROUP, "plays", str(gateways), *path)

    received = each(RECEIVED_AT_REST, RECEIVED_FOR_CHANGE)
    sent = each(SENT_AT_REST, SENT_FOR_CHANGE)
    rows = [
        Row("bytes a second that a gateway gets, the mean day", [received], budget.traffic, "a beat each two seconds"),
        Row("... that it sends", [sent], budget.traffic, "an Ack for each frame of the state"),
        Row(
            "part of a core of a gateway, the mean day",
            [each(GATEWAYS_AT_REST, GATEWAYS_FOR_CHANGE)],
            budget.core,
            "hollow ones, many in a process, with their own reports",
        ),
        Row(
            "part of a core of publisher and relays together, the mean day",
            [store.at(SERVING_AT_REST, gateways) + store.at(SERVING_FOR_CHANGE, gateways) * rate],
            budget.machines,
            "oakfork/control/follower_server.py; the budget is a core of each machine set aside",
        ),
        Row(
            "s from acknowledged to in force, the last gateway",
            [store.at(LAST_GATEWAY_S, gateways)],
            budget.in_force,
            "single changes, one machine for all processes",
        ),
        Row("... the median", [store.at(MEDIAN_GATEWAY_S, gateways)], budget.in_force, "likewise"),
        Row(
            "... the last, with one relay gone",
            [stored("one relay gone", "last_ms") / MS_PER_S],
            budget.in_force,
            "its gateways turn to another relay",
        ),
    ]
    for name in BURSTS:
        rows += [
            Row(
                f"{name}: s to in force, the last",
                [stored(name, "spread", "last_ms") / MS_PER_S],
                budget.in_force,
                "merged into as few frames as hold them",
            ),
            Row(
                "... bytes a second to and from a gateway while it lasts",
                [stored(name, "bytes_a_second_a_gateway")],
                budget.traffic,
                "frames by zlib",
            ),
            Row("... seconds that it lasts", [stored(name, "seconds")], None, "one machine for all processes"),
        ]
    rows += [
        Row(
            "cold gateways, a zone's: ready, of those that started",
            [stored("cold", "ready") / stored("cold", "gateways")],
            None,
            "ranges, paced by each relay",
        ),
        Row("... s until the last of those that are", [stored("cold", "last_s")], budget.in_force, "likewise"),
        Row("... one alone, s", [stored("cold", "one_alone_s")], budget.in_force, "likewise"),
        Row(
            "bytes of memory of a process with the state, one follower",
            [stored("cold", "memory_bytes_with_the_state")],
            budget.memory,
            "oakfork/control/state.py; without the rest of a gateway",
        ),
        Row(
            "... with nothing", [stored("cold", "memory_bytes_with_nothing")], budget.memory, "the interpreter, imports"
        ),
        Row("bytes of memory of a relay, the largest", [stored("relay_memory_bytes")], None, "likewise"),
        Row(
            f"ms added to a request at real gateways beside it, with changes, {QUANTILE_NAME}",
            [stored("beside", "added", "with changes", "p99_ms")],
            budget.added_ms,
            "one machine for all processes",
        ),
        Row(
            "... without changes", [stored("beside", "added", "without changes", "p99_ms")], budget.added_ms, "likewise"
        ),
        Row(
            "... with over without",
            [stored("beside", "with changes over without", "p99_ms")],
            None,
            "in one run, blocks by turns",
        ),
    ]
    return rows


def agreement_rows(fleet: FleetFigures) -> list[Row]:
    """Rows that show whether the slopes hold up to the planned size: predicted there, measured, and their ratio."""
    rows = []
    for name in PREDICTED_MEASURES:
        predicted, measured = fleet.store.predicted(name)
        ratio = (measured / predicted).value  # without interval, which is meaningless where the line's contains zero
        rows.append(
            Row(
                name.removeprefix(measure("")),
                [predicted, measured, Figure(ratio, ratio, ratio, (name,))],
                None,
                "one machine for all processes",
            )
        )
    return rows


AGREED = ["the line through the smaller sizes", "played", "played over line"]


def gateways_of(budget: Budget) -> str:
    """The head of the column of the planned size."""
    return f"at {format_number(budget.gateways, GIVEN_DIGITS)} gateways"
