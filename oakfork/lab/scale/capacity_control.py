"""The tables of the control part as built (docs/control.md): what its plays at full size gave, beside the budget and
beside what the smaller sizes foretell."""

from oakfork.lab.scale.budget import DAY, MS, Budget
from oakfork.lab.scale.capacity_figures import WHOLE, Figure, Row, exact, plain
from oakfork.lab.scale.capacity_roles import Sums

GROUP = "control"


def measure(what: str) -> str:
    return f"control by gateways: {what}"


CAME, WENT = measure("bytes to all a second, at rest"), measure("bytes from all a second, at rest")
CHANGE_CAME, CHANGE_WENT = measure("bytes to all for a change"), measure("bytes from all for a change")
SPENT, SPENT_CHANGE = (
    measure("processor seconds of all a second, at rest"),
    measure("processor seconds of all for a change"),
)
SERVING, SERVING_CHANGE = (
    measure("processor seconds of publisher and relays a second, at rest"),
    measure("processor seconds of publisher and relays for a change"),
)
LAST, MEDIAN = measure("seconds to everywhere, the last"), measure("seconds to everywhere, the median")
WHICH = "99 in 100"
BURSTS = "zone gone", "zone back", "bunched"


def relayed(sums: Sums) -> list[Row]:
    """What is measured of all gateways together is shared evenly."""
    budget, store = sums.budget, sums.store
    gateways, rate = budget.gateways, exact(budget.changes / DAY)

    def each(rest: str, change: str) -> Figure:
        return (store.at(rest, gateways) + store.at(change, gateways) * rate) / exact(gateways)

    def play(*path: str) -> Figure:
        return store.part(GROUP, "plays", str(gateways), *path)

    down, up = each(CAME, CHANGE_CAME), each(WENT, CHANGE_WENT)
    rows = [
        Row("bytes a second that a gateway gets, the mean day", [down], budget.traffic, "a beat each two seconds"),
        Row("... that it sends", [up], budget.traffic, "an Ack for each frame of the state"),
        Row(
            "part of a core of a gateway, the mean day",
            [each(SPENT, SPENT_CHANGE)],
            budget.core,
            "hollow ones, many in a process, with their own reports",
        ),
        Row(
            "part of a core of publisher and relays together, the mean day",
            [store.at(SERVING, gateways) + store.at(SERVING_CHANGE, gateways) * rate],
            budget.machines,
            "oakfork/control/follower_server.py; the budget is a core of each machine set aside",
        ),
        Row(
            "s from acknowledged to in force, the last gateway",
            [store.at(LAST, gateways)],
            budget.in_force,
            "single changes, one machine for all processes",
        ),
        Row("... the median", [store.at(MEDIAN, gateways)], budget.in_force, "likewise"),
        Row(
            "... the last, with one relay gone",
            [play("one relay gone", "last_ms") / MS],
            budget.in_force,
            "its gateways turn to another relay",
        ),
    ]
    for name in BURSTS:
        rows += [
            Row(
                f"{name}: s to in force, the last",
                [play(name, "spread", "last_ms") / MS],
                budget.in_force,
                "merged into as few frames as hold them",
            ),
            Row(
                "... bytes a second to and from a gateway while it lasts",
                [play(name, "bytes_a_second_a_gateway")],
                budget.traffic,
                "frames by zlib",
            ),
            Row("... seconds that it lasts", [play(name, "seconds")], None, "one machine for all processes"),
        ]
    rows += [
        Row(
            "cold gateways, a zone's: ready, of those that started",
            [play("cold", "ready") / play("cold", "gateways")],
            None,
            "ranges, paced by each relay",
        ),
        Row("... s until the last of those that are", [play("cold", "last_s")], budget.in_force, "likewise"),
        Row("... one alone, s", [play("cold", "one_alone_s")], budget.in_force, "likewise"),
        Row(
            "bytes of memory of a process with the state, one follower",
            [play("cold", "memory_bytes_with_the_state")],
            budget.memory,
            "oakfork/control/state.py; without the rest of a gateway",
        ),
        Row("... with nothing", [play("cold", "memory_bytes_with_nothing")], budget.memory, "the interpreter, imports"),
        Row("bytes of memory of a relay, the largest", [play("relay_memory_bytes")], None, "likewise"),
        Row(
            f"ms added to a request at real gateways beside it, with changes, {WHICH}",
            [play("beside", "added", "with changes", "p99_ms")],
            budget.added_ms,
            "one machine for all processes",
        ),
        Row("... without changes", [play("beside", "added", "without changes", "p99_ms")], budget.added_ms, "likewise"),
        Row(
            "... with over without",
            [play("beside", "with changes over without", "p99_ms")],
            None,
            "in one run, blocks by turns",
        ),
    ]
    return rows


def agreed(sums: Sums) -> list[Row]:
    """Whether the slopes hold up to the planned size: what the smaller sizes foretell, and what was played."""
    rows = []
    for name in (CAME, WENT, CHANGE_CAME, CHANGE_WENT, SPENT, SPENT_CHANGE, SERVING, SERVING_CHANGE, LAST, MEDIAN):
        foretold, played = sums.store.foretold(name)
        ratio = (played / foretold).value  # of the values alone: a line's interval that holds zero says nothing here
        rows.append(
            Row(
                name.removeprefix(measure("")),
                [foretold, played, Figure(ratio, ratio, ratio, (name,))],
                None,
                "one machine for all processes",
            )
        )
    return rows


AGREED = ["the line through the smaller sizes", "played", "played over line"]


def gateways_of(budget: Budget) -> str:
    return f"at {plain(budget.gateways, WHOLE)} gateways"
