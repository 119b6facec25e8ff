"""The tables of the roles: what each holds, sends and spends at the planned size."""

from typing import Callable

from oakfork.lab.scale.budget import DAY, MINUTE, MS, Budget, Open, Today, View
from oakfork.lab.scale.capacity_figures import Figure, Row, Store, exact

OWN, ASKS, SERVED = "rpc at its owner", "rpc that asks", "ask served"
CHANGE, LIST, MEMORY = "change of one server", "whole list", "process by servers: bytes of memory"
PEERS, BUCKETS = "process by gateways: bytes of memory", "memory of the module by customers: bytes"
SILENT_START, START = "start by gateways, none replies", "start by gateways, all reply"
REST, ASKING, NEWS = "rest by gateways", "asks by rate", "changes by servers changed: bytes"
HEADS = ", with headers"  # of IPv4 and UDP
LISTED, READY, SPENT = (
    "whole list by servers: bytes",
    "process by servers: seconds to ready",
    "process by servers: processor seconds to ready",
)
VOTERS = "leases by gateways: frames a second of all voters"
WATCHERS = "leases by gateways: frames a second of a watcher"
VOTER_SENDS = "leases by gateways: bytes a second sent by a voter"
VOTER_GETS = "leases by gateways: bytes a second received by a voter"
VOTER_SPENDS = "leases by gateways: processor seconds of a voter a second"
VOTES = "leases by gateways: bytes of state of all voters"


def seconds(what: str, by: str) -> str:
    return f"{what} by {by}: seconds"


def in_bytes(what: str) -> str:
    """At a start."""
    return f"{what}: bytes{HEADS}"


def bytes_a_second(what: str, way: str = "") -> str:
    """At rest, or of asks: " sent" or " received"."""
    return f"{what}: bytes a second{way}{HEADS}"


class Sums:
    """Figures that several tables share."""

    def __init__(self, store: Store, budget: Budget, unknown: Open, today: Today) -> None:
        self.store, self.budget, self.open, self.today = store, budget, unknown, today

    def both(self, act: Callable[[View], Figure]) -> list[Figure]:
        return [act(view) for view in self.budget.views]

    def foreign(self, view: View) -> float:
        """The part of a gateway's RPCs whose owner is another."""
        return 1 - 1 / view.gateways

    def asks(self, view: View) -> float:
        """Asks a second that one gateway sends at the peak; it serves as many."""
        return self.budget.asked * self.foreign(view)

    def an_ask(self, view: View) -> Figure:
        """Processor seconds of the module for one ask sent and one served."""
        at = self.store.at
        sent = at(seconds(ASKS, "peers"), view.gateways) - at(seconds(OWN, "peers"), view.gateways)
        return sent + at(seconds(SERVED, "peers"), view.gateways)

    def stall(self, view: View) -> Figure:
        return self.store.at(seconds(CHANGE, "servers"), view.servers)

    def list_changes(self, view: View) -> Figure:
        """Changes of the list of servers, a day, of the part that a gateway knows."""
        names = "list changes of a restart", "list changes of a failure"
        each, fails = (self.open[name] for name in names)
        return exact(
            (self.budget.restarted * each + self.budget.failed * fails) * view.servers / self.budget.servers, *names
        )

    def grows(self, view: View) -> Figure:
        """Bytes that grow with the fleet, every tenant with a bucket here."""
        grown = self.store.grown
        return grown(MEMORY, view.servers) + grown(PEERS, view.gateways) + grown(BUCKETS, view.tenants)

    def memory(self, view: View) -> Figure:
        grown = self.store.grown
        return self.store.at(MEMORY, view.servers) + grown(PEERS, view.gateways) + grown(BUCKETS, view.tenants)

    def a_change(self) -> Figure:
        return self.store.at(NEWS, 1)


def path(sums: Sums) -> list[Row]:
    """A gateway on the path of requests."""
    budget, at, both = sums.budget, sums.store.at, sums.both
    own = both(lambda view: at(seconds(OWN, "servers"), view.servers) * MS)
    asks = both(lambda view: at(seconds(ASKS, "peers"), view.gateways) * MS)
    return [
        Row("requests a second at the peak", both(lambda view: exact(budget.asked)), None, "spread by the clients"),
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
                lambda view: at(seconds(OWN, "servers"), view.servers) * (budget.asked - sums.asks(view))
                + at(seconds(ASKS, "peers"), view.gateways) * sums.asks(view)
            ),
            None,
            "the module alone; sockets and HTTP: the table of time added",
        ),
        Row(
            "frames a second sent, asks and answers",
            both(lambda view: at(f"{ASKING}: frames a second sent", sums.asks(view))),
            None,
            "coalesced, paced: decision/peer_links.py",
        ),
        Row(
            "memory, the whole process, every tenant with a bucket",
            both(sums.memory),
            budget.memory,
            "tables by server, gateway and bucket; full buckets are dropped",
        ),
    ]


def owner(sums: Sums) -> list[Row]:
    """A gateway as the owner of its part of the tenants."""
    budget, both = sums.budget, sums.both
    return [
        Row(
            "state: tenants that it owns",
            both(lambda view: exact(view.tenants / view.gateways)),
            None,
            "a hash over the gateways, no table",
        ),
        Row(
            "asks served a second at the peak", both(lambda view: exact(sums.asks(view))), None, "one serial step each"
        ),
        Row(
            "part of a core for asks served",
            both(lambda view: sums.store.at(seconds(SERVED, "peers"), view.gateways) * sums.asks(view)),
            budget.core,
            "decision/quotas.py; counts only where asks are control",
        ),
        Row(
            "bytes a second received, asks and answers",
            both(lambda view: sums.store.at(bytes_a_second(ASKING, " received"), sums.asks(view))),
            budget.traffic,
            "likewise",
        ),
        Row(
            "bytes of memory for the buckets it owns",
            both(lambda view: sums.store.slope(BUCKETS) * (view.tenants / view.gateways)),
            budget.memory,
            "dropped when full",
        ),
        Row(
            "bytes of memory, a bucket or slice for every tenant",
            both(lambda view: sums.store.grown(BUCKETS, view.tenants)),
            budget.memory,
            "as it is while owners are silent",
        ),
    ]


def control(sums: Sums) -> list[Row]:
    """The control part of a gateway: the list of servers, the others, its start."""
    budget, store, both = sums.budget, sums.store, sums.both
    return [
        Row("changes of its list a day", both(sums.list_changes), None, "watches: sockets/discovery.py"),
        Row(
            "bytes a second of changes, the mean day",
            both(lambda view: sums.list_changes(view) * sums.a_change() / DAY),
            budget.traffic,
            "each watch brings what is new",
        ),
        Row(
            "bytes a second of watches without news",
            both(lambda view: store.at(NEWS, 0) / sums.today.watch_s),
            budget.traffic,
            "one a second, its answer alone, by the line; to an agent on its machine it is no traffic",
        ),
        Row(
            "ms for which a change of one server stalls the gateway",
            both(lambda view: sums.stall(view) * MS),
            budget.added_ms,
            "Servers.told looks at what the change names and at the few that any change may concern",
        ),
        Row(
            "part of a core for changes, the mean day",
            both(lambda view: sums.stall(view) * sums.list_changes(view) / DAY),
            budget.core,
            "likewise",
        ),
        Row(
            "s until a change of the list is told, at most",
            both(lambda view: exact(sums.today.told_s)),
            budget.in_force,
            "whatever call failed before: docs/design.md",
        ),
        Row(
            "bytes a second at rest, to other gateways",
            both(lambda view: store.at(bytes_a_second(REST), view.gateways)),
            budget.traffic,
            "nothing is kept up between gateways that have heard each other",
        ),
        Row(
            "bytes a second in the first minute, all reply",
            both(lambda view: store.at(in_bytes(START), view.gateways) / MINUTE),
            budget.traffic,
            "greetings: decision/peer_links.py",
        ),
        Row(
            "... none replies",
            both(lambda view: store.at(in_bytes(SILENT_START), view.gateways) / MINUTE),
            budget.traffic,
            "likewise, repeated",
        ),
        Row(
            "bytes of the whole list; the budget is the program's own bound of an answer",
            both(lambda view: store.at(LISTED, view.servers)),
            sums.today.body,
            "one call; a longer answer is refused, and nothing is told any more: sockets/http_connection.py",
        ),
        Row(
            "... a second, over the first minute",
            both(lambda view: store.at(LISTED, view.servers) / MINUTE),
            budget.traffic,
            "likewise",
        ),
        Row(
            "ms of processor for a whole list",
            both(lambda view: store.at(seconds(LIST, "servers"), view.servers) * MS),
            budget.added_ms,
            "one event, one stall",
        ),
        Row(
            "s from the start of the process until it is ready",
            both(lambda view: store.at(READY, view.servers)),
            budget.in_force,
            "the only way of a change of routes, tenants, services or tier into its decisions",
        ),
        Row(
            "part of a core, each change of configuration a restart",
            both(lambda view: store.at(SPENT, view.servers) * budget.changes / DAY),
            budget.core,
            "likewise",
        ),
        Row(
            "memory that grows with the fleet",
            both(sums.grows),
            budget.memory,
            "the process less its smallest measured",
        ),
    ]


def machines(sums: Sums) -> list[Row]:
    """The machines set aside: what is sent if each serves an even part of the gateways."""
    budget, store = sums.budget, sums.store
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
            [sums.a_change() * each * part for _, part in parts],
            None,
            none,
        ),
        Row(
            "bytes a second, the mean day",
            [sums.a_change() * sums.list_changes(view) * each / DAY for view, _ in parts],
            None,
            none,
        ),
        Row(
            "bytes sent by each when all gateways start",
            [store.at(LISTED, view.servers) * each for view, _ in parts],
            None,
            none,
        ),
    ]


def voters(sums: Sums) -> list[Row]:
    """Leases' voters."""
    both, at, budget = sums.both, sums.store.at, sums.budget
    return [
        Row(
            "frames a second of all voters together",
            both(lambda view: at(VOTERS, view.gateways)),
            None,
            "three voters contend among themselves: docs/leases.md",
        ),
        Row(
            "frames a second of a watcher",
            both(lambda view: at(WATCHERS, view.gateways)),
            None,
            "a gateway that is no voter neither sends nor gets any",
        ),
        Row(
            "bytes of state of all voters together",
            both(lambda view: at(VOTES, view.gateways)),
            None,
            "one vote and one contender a task",
        ),
        Row(
            "bytes a second that a voter sends",
            both(lambda view: at(VOTER_SENDS, view.gateways)),
            budget.traffic,
            "one task; each more costs as much again: oakfork/leases/voter.py",
        ),
        Row("... that it gets", both(lambda view: at(VOTER_GETS, view.gateways)), budget.traffic, "likewise"),
        Row(
            "part of a core of a voter",
            both(lambda view: at(VOTER_SPENDS, view.gateways)),
            budget.core,
            "frames and machines, without the system's calls",
        ),
    ]


def asks(sums: Sums) -> list[Row]:
    """Both readings of an ask, for a gateway that knows all and for one that knows its region."""
    budget, store = sums.budget, sums.store

    def sent(view: View, way: str) -> Figure:
        return store.at(bytes_a_second(ASKING, f" {way}"), sums.asks(view))

    def resting(view: View) -> Figure:
        return store.at(bytes_a_second(REST), view.gateways)

    def changes(view: View) -> Figure:
        return sums.stall(view) * sums.list_changes(view) / DAY

    rows = [Row("asks a second sent, and as many served, at the peak", sums.both(lambda view: exact(sums.asks(view))))]
    rows += [
        Row("asks are control: bytes a second sent", sums.both(lambda view: sent(view, "sent")), budget.traffic),
        Row(
            "... sent and received", sums.both(lambda view: sent(view, "sent") + sent(view, "received")), budget.traffic
        ),
        Row(
            "... part of a core, with the changes of the mean day",
            sums.both(lambda view: sums.an_ask(view) * sums.asks(view) + changes(view)),
            budget.core,
        ),
        Row(
            "... bytes a second sent, of payload alone",
            sums.both(lambda view: store.at(f"{ASKING}: bytes a second sent", sums.asks(view))),
            budget.traffic,
        ),
        Row(
            "frames a second received; the budget is what the run's settings let a gateway take in",
            sums.both(lambda view: store.at(f"{ASKING}: frames a second received", sums.asks(view))),
            store.part("frames", "mail_per_s").value,
            "frames beyond it are lost",
        ),
        Row("asks are not: bytes a second sent", sums.both(resting), budget.traffic),
        Row("... part of a core, the changes of the mean day", sums.both(changes), budget.core),
        Row(
            "microseconds of processor for one ask sent and one served",
            sums.both(lambda view: sums.an_ask(view) * MS * MS),
        ),
        Row(
            "asks a second at which the budget of bytes sent is spent",
            [store.crosses(bytes_a_second(ASKING, " sent"), budget.traffic)] * len(budget.views),
            None,
        ),
        Row("... the budget of a core", sums.both(lambda view: exact(budget.core) / sums.an_ask(view)), None),
    ]
    return [row._replace(why=row.why or "decision/quotas.py, decision/peer_links.py") for row in rows]
