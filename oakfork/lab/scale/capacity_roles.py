"""The tables of the roles of a gateway: what each holds, sends and spends at the planned size."""

from oakfork.lab.scale.budget import DAY_S, MINUTE_S, MS_PER_S, View
from oakfork.lab.scale.capacity_figures import Figure, Row, exact
from oakfork.lab.scale.capacity_shared import (
    ASK_SERVED,
    ASKS_BY_RATE,
    AT_REST,
    CHANGE_BYTES,
    LIST_BYTES,
    MEMORY_BY_CUSTOMERS,
    PROCESSOR_TO_READY,
    RPC_AT_OWNER,
    RPC_THAT_ASKS,
    SECONDS_TO_READY,
    START_WITH_REPLIES,
    START_WITHOUT_REPLIES,
    VOTER_BYTES_RECEIVED,
    VOTER_BYTES_SENT,
    VOTER_FRAMES,
    VOTER_PROCESSOR,
    VOTER_STATE_BYTES,
    WATCHER_FRAMES,
    WHOLE_LIST,
    FleetFigures,
    bytes_a_second,
    in_bytes,
    seconds,
)


def request_path_rows(fleet: FleetFigures) -> list[Row]:
    """A gateway on the path of requests."""
    budget = fleet.budget
    at = fleet.store.at
    both = fleet.for_views
    own = both(lambda view: at(seconds(RPC_AT_OWNER, "servers"), view.servers) * MS_PER_S)
    asks = both(lambda view: at(seconds(RPC_THAT_ASKS, "peers"), view.gateways) * MS_PER_S)
    return [
        Row(
            "requests a second at the peak",
            both(lambda view: exact(budget.requests_per_gateway)),
            None,
            "spread by the clients",
        ),
        Row(
            "state: servers",
            both(lambda view: exact(view.servers)),
            None,
            "the list, one pool: the configuration has no form for a route or a service",
        ),
        Row("... gateways", both(lambda view: exact(view.gateways)), None, "settings, read once"),
        Row(
            "ms of processor, an RPC at its owner",
            own,
            budget.added_ms,
            "sixteen servers in a row: decision/servers.py",
        ),
        Row("ms of processor, an RPC that asks", asks, budget.added_ms, "an owner by hash: decision/quotas.py"),
        Row(
            "part of a core for deciding, at the peak",
            both(
                lambda view: at(seconds(RPC_AT_OWNER, "servers"), view.servers)
                * (budget.requests_per_gateway - fleet.asks_per_s(view))
                + at(seconds(RPC_THAT_ASKS, "peers"), view.gateways) * fleet.asks_per_s(view)
            ),
            None,
            "the module alone; sockets and HTTP: the table of time added",
        ),
        Row(
            "frames a second sent, asks and answers",
            both(lambda view: at(f"{ASKS_BY_RATE}: frames a second sent", fleet.asks_per_s(view))),
            None,
            "coalesced, paced: decision/peer_links.py",
        ),
        Row(
            "memory, the whole process, every tenant with a bucket",
            both(fleet.memory),
            budget.memory,
            "tables by server, gateway and bucket; full buckets are dropped",
        ),
    ]


def owner_rows(fleet: FleetFigures) -> list[Row]:
    """A gateway as the owner of its part of the tenants."""
    budget = fleet.budget
    both = fleet.for_views
    return [
        Row(
            "state: tenants that it owns",
            both(lambda view: exact(view.tenants / view.gateways)),
            None,
            "a hash over the gateways, no table",
        ),
        Row(
            "asks served a second at the peak",
            both(lambda view: exact(fleet.asks_per_s(view))),
            None,
            "one serial step each",
        ),
        Row(
            "part of a core for asks served",
            both(lambda view: fleet.store.at(seconds(ASK_SERVED, "peers"), view.gateways) * fleet.asks_per_s(view)),
            budget.core,
            "decision/quotas.py; counts only where asks are control",
        ),
        Row(
            "bytes a second received, asks and answers",
            both(lambda view: fleet.store.at(bytes_a_second(ASKS_BY_RATE, " received"), fleet.asks_per_s(view))),
            budget.traffic,
            "likewise",
        ),
        Row(
            "bytes of memory for the buckets it owns",
            both(lambda view: fleet.store.slope(MEMORY_BY_CUSTOMERS) * (view.tenants / view.gateways)),
            budget.memory,
            "dropped when full",
        ),
        Row(
            "bytes of memory, a bucket or slice for every tenant",
            both(lambda view: fleet.store.growth(MEMORY_BY_CUSTOMERS, view.tenants)),
            budget.memory,
            "as it is while owners are silent",
        ),
    ]


def control_rows(fleet: FleetFigures) -> list[Row]:
    """The control of a gateway: the list of servers, the other gateways, its start."""
    budget = fleet.budget
    store = fleet.store
    both = fleet.for_views
    return [
        Row("changes of its list a day", both(fleet.list_changes), None, "watches: sockets/discovery.py"),
        Row(
            "bytes a second of changes, the mean day",
            both(lambda view: fleet.list_changes(view) * fleet.change_bytes() / DAY_S),
            budget.traffic,
            "each watch brings what is new",
        ),
        Row(
            "bytes a second of watches without news",
            both(lambda view: store.at(CHANGE_BYTES, 0) / fleet.bounds.watch_s),
            budget.traffic,
            "one a second, its answer alone, by the line; to an agent on its machine it is no traffic",
        ),
        Row(
            "ms for which a change of one server stalls the gateway",
            both(lambda view: fleet.stall_seconds(view) * MS_PER_S),
            budget.added_ms,
            "Servers.update_list looks at what the change names and at the few that any change may concern",
        ),
        Row(
            "part of a core for changes, the mean day",
            both(lambda view: fleet.stall_seconds(view) * fleet.list_changes(view) / DAY_S),
            budget.core,
            "likewise",
        ),
        Row(
            "s until a change of the list is told, at most",
            both(lambda view: exact(fleet.bounds.change_delay_s)),
            budget.in_force,
            "whatever call failed before: docs/design.md",
        ),
        Row(
            "bytes a second at rest, to other gateways",
            both(lambda view: store.at(bytes_a_second(AT_REST), view.gateways)),
            budget.traffic,
            "nothing is kept up between gateways that have heard each other",
        ),
        Row(
            "bytes a second in the first minute, all reply",
            both(lambda view: store.at(in_bytes(START_WITH_REPLIES), view.gateways) / MINUTE_S),
            budget.traffic,
            "greetings: decision/peer_links.py",
        ),
        Row(
            "... none replies",
            both(lambda view: store.at(in_bytes(START_WITHOUT_REPLIES), view.gateways) / MINUTE_S),
            budget.traffic,
            "likewise, repeated",
        ),
        Row(
            "bytes of the whole list; the budget is the program's own bound of an answer",
            both(lambda view: store.at(LIST_BYTES, view.servers)),
            fleet.bounds.max_body,
            "one call; a longer answer is refused, and nothing is told any more: sockets/http_connection.py",
        ),
        Row(
            "... a second, over the first minute",
            both(lambda view: store.at(LIST_BYTES, view.servers) / MINUTE_S),
            budget.traffic,
            "likewise",
        ),
        Row(
            "ms of processor for a whole list",
            both(lambda view: store.at(seconds(WHOLE_LIST, "servers"), view.servers) * MS_PER_S),
            budget.added_ms,
            "one event, one stall",
        ),
        Row(
            "s from the start of the process until it is ready",
            both(lambda view: store.at(SECONDS_TO_READY, view.servers)),
            budget.in_force,
            "the only way of a change of routes, tenants, services or tier into its decisions",
        ),
        Row(
            "part of a core, each change of configuration a restart",
            both(lambda view: store.at(PROCESSOR_TO_READY, view.servers) * budget.changes / DAY_S),
            budget.core,
            "likewise",
        ),
        Row(
            "memory that grows with the fleet",
            both(fleet.growing_memory),
            budget.memory,
            "the process less its smallest measured",
        ),
    ]


def control_machine_rows(fleet: FleetFigures) -> list[Row]:
    """The machines set aside for control: what each sends if it serves an even part of the gateways."""
    budget = fleet.budget
    store = fleet.store
    each = budget.gateways / budget.machines
    parts = [(view, view.servers / budget.servers) for view in budget.views]
    none = "discovery is the operators'; a publisher and relays of the control part could run there: docs/control.md"
    return [
        Row(
            "bytes a second of what runs there today",
            [exact(0.0, "nothing of the program runs on them") for _ in parts],
            None,
            none,
        ),
        Row("watches held open on each, if they serve all gateways", [exact(each) for _ in parts], None, none),
        Row(
            "bytes sent by each for a change of one server, to all that know it",
            [fleet.change_bytes() * each * part for _, part in parts],
            None,
            none,
        ),
        Row(
            "bytes a second, the mean day",
            [fleet.change_bytes() * fleet.list_changes(view) * each / DAY_S for view, _ in parts],
            None,
            none,
        ),
        Row(
            "bytes sent by each when all gateways start",
            [store.at(LIST_BYTES, view.servers) * each for view, _ in parts],
            None,
            none,
        ),
    ]


def voter_rows(fleet: FleetFigures) -> list[Row]:
    """The voters of leases."""
    both = fleet.for_views
    at = fleet.store.at
    budget = fleet.budget
    return [
        Row(
            "frames a second of all voters together",
            both(lambda view: at(VOTER_FRAMES, view.gateways)),
            None,
            "three voters contend among themselves: docs/leases.md",
        ),
        Row(
            "frames a second of a watcher",
            both(lambda view: at(WATCHER_FRAMES, view.gateways)),
            None,
            "a gateway that is no voter neither sends nor gets any",
        ),
        Row(
            "bytes of state of all voters together",
            both(lambda view: at(VOTER_STATE_BYTES, view.gateways)),
            None,
            "one vote and one contender a task",
        ),
        Row(
            "bytes a second that a voter sends",
            both(lambda view: at(VOTER_BYTES_SENT, view.gateways)),
            budget.traffic,
            "one task; each more costs as much again: oakfork/leases/voter.py",
        ),
        Row("... that it gets", both(lambda view: at(VOTER_BYTES_RECEIVED, view.gateways)), budget.traffic, "likewise"),
        Row(
            "part of a core of a voter",
            both(lambda view: at(VOTER_PROCESSOR, view.gateways)),
            budget.core,
            "frames and machines, without the system's calls",
        ),
    ]


def ask_rows(fleet: FleetFigures) -> list[Row]:
    """Both readings of the budget, with asks counted as control and without."""
    budget = fleet.budget
    store = fleet.store

    def sent(view: View, way: str) -> Figure:
        return store.at(bytes_a_second(ASKS_BY_RATE, f" {way}"), fleet.asks_per_s(view))

    def resting(view: View) -> Figure:
        return store.at(bytes_a_second(AT_REST), view.gateways)

    def changes(view: View) -> Figure:
        return fleet.stall_seconds(view) * fleet.list_changes(view) / DAY_S

    rows = [
        Row(
            "asks a second sent, and as many served, at the peak",
            fleet.for_views(lambda view: exact(fleet.asks_per_s(view))),
        )
    ]
    rows += [
        Row("asks are control: bytes a second sent", fleet.for_views(lambda view: sent(view, "sent")), budget.traffic),
        Row(
            "... sent and received",
            fleet.for_views(lambda view: sent(view, "sent") + sent(view, "received")),
            budget.traffic,
        ),
        Row(
            "... part of a core, with the changes of the mean day",
            fleet.for_views(lambda view: fleet.ask_cost(view) * fleet.asks_per_s(view) + changes(view)),
            budget.core,
        ),
        Row(
            "... bytes a second sent, of payload alone",
            fleet.for_views(lambda view: store.at(f"{ASKS_BY_RATE}: bytes a second sent", fleet.asks_per_s(view))),
            budget.traffic,
        ),
        Row(
            "frames a second received; the budget is what the run's settings let a gateway take in",
            fleet.for_views(lambda view: store.at(f"{ASKS_BY_RATE}: frames a second received", fleet.asks_per_s(view))),
            store.stored_figure("frames", "mail_per_s").value,
            "frames beyond it are lost",
        ),
        Row("asks are not: bytes a second sent", fleet.for_views(resting), budget.traffic),
        Row("... part of a core, the changes of the mean day", fleet.for_views(changes), budget.core),
        Row(
            "microseconds of processor for one ask sent and one served",
            fleet.for_views(lambda view: fleet.ask_cost(view) * MS_PER_S * MS_PER_S),
        ),
        Row(
            "asks a second at which the budget of bytes sent is spent",
            [store.crosses(bytes_a_second(ASKS_BY_RATE, " sent"), budget.traffic)] * len(budget.views),
            None,
        ),
        Row("... the budget of a core", fleet.for_views(lambda view: exact(budget.core) / fleet.ask_cost(view)), None),
    ]
    return [row._replace(why=row.why or "decision/quotas.py, decision/peer_links.py") for row in rows]
