"""Drives a decision module by itself on a virtual clock, and replays the recorded events to another module.

The cost of a replay is that of the module alone, without the driver. Only the module and the standard library are
imported here, because a fresh process measures the module's memory with it. Times are tenths of a millisecond.
"""

import gc
import heapq
import itertools
import json
import os
from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Callable, Iterator

from oakfork import interface, peer_codec
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, Method, Plan, RepeatSafety, ServerState, Status

START = 3600 * SECOND
GAP = 84  # from RPC to RPC: 119 a second, as 320,000 over 2,700 gateways
REPLY = 20  # until a peer replies
ANSWER = 40  # until a server answers
RELEASE = 60  # from an ask until its release
FRAME_GAP = 20  # between frames while the buckets are created
PEER_LIFE = 7  # of all peers
FIRST_FOREIGN_CUSTOMER = 1_000_000  # customers from here on have no bucket at this gateway
ASKS_PER_FRAME = 16  # while the buckets are created
SETTLE_TIME = 5 * SECOND  # longer than any timer of an RPC
SERVER_STRIDE = 7919  # a prime, so that changes go through all servers
GC_THRESHOLDS = (7_000, 10, 10)  # as in oakfork/serving.py

METHODS = (
    Method(2 * SECOND, 4 * SECOND, RepeatSafety.IDEMPOTENT, "all", 0, 1.0, 0.0, False),
    Method(2 * SECOND, 4 * SECOND, RepeatSafety.DEDUPLICATED, "all", 6 * SECOND, 2.0, 0.2, False),
)
PLAN = Plan(
    rate=20.0,
    burst=2000.0,
    concurrency=8,
    ceiling_rate=0.0,
    ceiling_burst=0.0,
    ceiling_slack=0.0,
    price=1.0,
    beyond_utility=0.0,
    beyond_cost=1.0,
)  # a bucket lasts 100 s after its first use, longer than any run
MAIL_PER_S = 1000.0  # frames that a gateway takes in
PROBE_PRICE = 0.01
SEED = 11


@dataclass(frozen=True)
class Sizes:
    """The sizes that vary; `customers` are those with a bucket at this gateway."""

    servers: int = 40
    peers: int = 2
    customers: int = 200
    plans: int = 4
    connection_price: float = 0.02


def gateway_settings(sizes: Sizes) -> interface.GatewaySettings:
    """The settings of a gateway in a fleet of these sizes."""
    return interface.GatewaySettings(
        seed=SEED,
        index=0,
        gateways=sizes.peers + 1,
        zone=0,
        methods=METHODS,
        plans=(PLAN,) * sizes.plans,
        peer_frames_per_s=MAIL_PER_S,
        max_units=2,
        reports_true_units=False,
        peers=True,
        cancel=False,
        second_copies=True,
        retry_after=True,
        probing=True,
        max_call_outs=2,
        subscribes_to_list=False,
        list_timeout=SECOND,
        load_report_names=(),
        load_report_mode="off",
        drain_grace=SECOND // 4,
        cold_share=0.25,
        cold_time=15 * SECOND,
        fall_multiple=2.0,
        fall_time=2 * SECOND,
        probe_price=PROBE_PRICE,
        connection_price=sizes.connection_price,
        idle_timeout=15 * SECOND,
    )


def entry(server: int, up_since: int = 0) -> interface.ServerEntry:
    """The entry of a ready server in a list."""
    return interface.ServerEntry(server, 1000 + server, server % 16, server % 3, ServerState.READY, up_since, 1.0)


def whole_list(servers: int) -> interface.ServerList:
    """A complete list of that many ready servers."""
    return interface.ServerList(True, False, tuple(entry(server) for server in range(servers)))


class ModuleDriver:
    """A module at rest that has its list of servers, has heard all peers and holds its customers' buckets.

    Timers fire on time, each call-out succeeds after 4 ms, each ask is granted after 2 ms; nothing else happens. With
    `recorded`, the script keeps every event and when it was handled.
    """

    def __init__(self, sizes: Sizes, recorded: bool = False) -> None:
        self.sizes = sizes
        self.now = START
        self.count = 0  # of the units begun
        self.script: list[tuple[int, interface.Event]] | None = [] if recorded else None  # time and event
        self.queue: list[tuple[int, int, interface.Event]] = []
        self.sequence = itertools.count()  # orders events of one time
        self.timers = set[int]()  # times at which a timer is due
        self.life = 0  # of the module, as its frames state it
        self.numbers = [0] * (sizes.peers + 1)  # of the last frame from each peer
        self.module = DecisionModule(gateway_settings(sizes), START)
        self.list = whole_list(sizes.servers)
        self.handle(self.list)
        for peer in range(1, sizes.peers + 1):
            self.advance_to(self.now + 1)
            self.handle(self.frame(peer))
        for item in (self._ask, self._release):
            for first in range(0, sizes.customers, ASKS_PER_FRAME):
                self.advance_to(self.now + FRAME_GAP)
                customers = range(first, min(first + ASKS_PER_FRAME, sizes.customers))
                self.handle(self.frame(1, *(item(customer & 0xFFFF, customer) for customer in customers)))
        self.advance_to(self.now + SETTLE_TIME)

    def handle(self, event: interface.Event) -> None:
        """Passes an event to the module now, records it, and schedules what its commands lead to."""
        if self.script is not None:
            self.script.append((self.now, event))
        for command in self.module.handle(self.now, event):
            self._carry_out(command)

    def advance_to(self, time: int) -> None:
        """Handles all events that are due up to a time, and sets the clock to it."""
        while self.queue and self.queue[0][0] <= time:
            self.now, _, event = heapq.heappop(self.queue)
            if isinstance(event, interface.TimerFired):
                self.timers.discard(self.now)
            self.handle(event)
        self.now = time

    def run_units(self, unit: Callable[["ModuleDriver"], None], times: int) -> list[int]:
        """Begins a unit every GAP; returns the index in the script at which each began, and the script's length."""
        marks = []
        for _ in range(times):
            marks.append(len(self.script or ()))
            self.count += 1
            unit(self)
            self.advance_to(self.now + GAP)
        return [*marks, len(self.script or ())]

    def frame(self, peer: int, *items: peer_codec.Item) -> interface.PeerFrame:
        """The peer's next frame, sent now."""
        number = (self.numbers[peer] + 1) & 0xFFFF
        self.numbers[peer] = number
        packed = [peer_codec.pack_item(item) for item in items]
        return interface.PeerFrame(
            peer, peer_codec.pack(PEER_LIFE, self.life, number, self.now // 10, packed, version=peer_codec.VERSION)
        )

    def _ask(self, serial: int, customer: int) -> peer_codec.Ask:
        return peer_codec.Ask(serial, customer, customer % self.sizes.plans, 1.0)

    def _release(self, serial: int, customer: int) -> peer_codec.Release:
        return peer_codec.Release(serial, customer)

    def _schedule(self, after: int, event: interface.Event) -> None:
        heapq.heappush(self.queue, (self.now + after, next(self.sequence), event))

    def _carry_out(self, command: interface.Command) -> None:
        match command:
            case interface.SetTimer(token, after) if self.now + after not in self.timers:  # one at a time is enough
                self.timers.add(self.now + after)
                self._schedule(after, interface.TimerFired(token))
            case interface.SendCallOut(rpc, server):
                self._schedule(ANSWER, interface.CallOutEnded(rpc, 0, server, ANSWER, Status.OK, True, 0.0, ()))
            case interface.ProbeServer(server):
                self._schedule(ANSWER, interface.ProbeEnded(server, Status.OK, ANSWER, ()))
            case interface.SendPeerFrame(peer, data):
                frame = peer_codec.unpack(data)
                self.life = frame.life
                if asks := [item for item in frame.items if isinstance(item, peer_codec.Ask)]:
                    self._schedule(REPLY, self.frame(peer, *(peer_codec.Answer(ask.serial, 0) for ask in asks)))

    def _arrive(self, customer: int, owner: int) -> None:
        """An RPC whose customer has its bucket at `owner`: with a spread of one, the first gateway is the owner."""
        method = self.count % len(METHODS)
        self.handle(
            interface.RpcArrived(
                self.count & 1023,
                customer,
                method,
                customer % self.sizes.plans,
                1.0,
                owner,
                1,
                METHODS[method].deadline,
                False,
            )
        )

    @property
    def _peer(self) -> int:
        return 1 + self.count % self.sizes.peers

    # Units

    def rpc_at_owner(self) -> None:
        """An RPC whose customer has its bucket at this gateway."""
        self._arrive(self.count % self.sizes.customers, 0)

    def rpc_that_asks(self) -> None:
        """An RPC whose customer has its bucket at a peer."""
        self._arrive(FIRST_FOREIGN_CUSTOMER + self.count % self.sizes.customers, self._peer)

    def ask_served(self) -> None:
        """A peer asks, and releases its place when the call-out has ended."""
        peer = self._peer
        serial = self.count & 0xFFFF
        customer = self.count % self.sizes.customers
        self.handle(self.frame(peer, self._ask(serial, customer)))
        self._schedule(RELEASE, self.frame(peer, self._release(serial, customer)))

    def server_changed(self) -> None:
        """A change of the list in which another process is ready in a server's place."""
        changed = entry(self.count * SERVER_STRIDE % self.sizes.servers, self.now)
        self.handle(interface.ServerList(False, False, (changed,)))

    def whole_list_again(self) -> None:
        """The whole list, which the module has already."""
        self.handle(self.list)


class Replay:
    """Replays a recorded script to another module with the same settings, step by step."""

    def __init__(self, sizes: Sizes, script: list[tuple[int, interface.Event]]) -> None:
        self.commands = itertools.starmap(DecisionModule(gateway_settings(sizes), START).handle, script)

    def advance(self, events: int) -> None:
        """Passes that many events to the module."""
        deque(itertools.islice(self.commands, events), maxlen=0)


def create_module(sizes: Sizes, first: interface.ServerList) -> DecisionModule:
    """Creates a module and passes it its first list of servers."""
    module = DecisionModule(gateway_settings(sizes), START)
    module.handle(START, first)
    return module


@contextmanager
def collect_garbage_as_served() -> Iterator[None]:
    """Sets the garbage collector as in a gateway that serves (oakfork/serving.py), and restores it."""
    before = gc.get_threshold()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    try:
        yield
    finally:
        gc.set_threshold(*before)
        gc.unfreeze()


def resident_bytes(sizes: str) -> int:
    """Resident bytes of this process with one module at rest, to be called in a fresh process.

    `sizes` are the fields of Sizes as JSON.
    """
    fields: dict[str, Any] = json.loads(sizes)
    with collect_garbage_as_served():
        driver = ModuleDriver(Sizes(**fields))
        del driver.list
        gc.collect()
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
