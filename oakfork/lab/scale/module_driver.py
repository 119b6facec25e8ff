"""The decision module by itself on a virtual clock. What it is told can be kept and told again to another one, whose
cost then has nothing of a host in it.

Only the module and the standard library are imported here: a fresh process measures memory by it.
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

from oakfork import interface, peer_codec as wire
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, Method, Plan, RepeatSafety, ServerState, Status

START = 3600 * SECOND
GAP = 84  # from RPC to RPC: 119 a second, as 320,000 over 2,700 gateways
REPLY, ANSWER = 20, 40  # until a peer replies, until a server answers
RELEASED = 60  # after its ask
LIFE = 7  # of all peers
OTHERS = 1_000_000  # customers from here on have no bucket at this gateway
IN_A_FRAME = 16  # asks, while the buckets are made
SETTLED = 5 * SECOND  # longer than any timer of an RPC

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
)  # a bucket lasts 100 s after its first use, longer than any play
MAIL_PER_S, PROBE_PRICE, SEED = 1000.0, 0.01, 11


@dataclass(frozen=True)
class Sizes:
    """What grows. `customers` are those with a bucket here."""

    servers: int = 40
    peers: int = 2
    customers: int = 200
    plans: int = 4
    connection_price: float = 0.02


def gateway_settings(sizes: Sizes) -> interface.GatewaySettings:
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
    return interface.ServerEntry(server, 1000 + server, server % 16, server % 3, ServerState.READY, up_since, 1.0)


def whole_list(servers: int) -> interface.ServerList:
    return interface.ServerList(True, False, tuple(entry(server) for server in range(servers)))


class Driven:
    """A module with its list, all peers heard and its customers' buckets made, at rest. Its timers come on time, each
    call-out is ok after 4 ms, each ask is granted after 2 ms; nothing else happens."""

    def __init__(self, sizes: Sizes, kept: bool = False) -> None:
        self.sizes, self.now, self.count = sizes, START, 0
        self.script: list[tuple[int, interface.Event]] | None = [] if kept else None  # all that it was told, and when
        self.queue: list[tuple[int, int, interface.Event]] = []
        self.order, self.wakes = itertools.count(), set[int]()
        self.life = 0  # the module's, as its frames say
        self.numbers = [0] * (sizes.peers + 1)  # of the last frame from each peer
        self.module = DecisionModule(gateway_settings(sizes), START)
        self.list = whole_list(sizes.servers)
        self.handle(self.list)
        for peer in range(1, sizes.peers + 1):
            self.until(self.now + 1)
            self.handle(self.frame(peer))
        for item in (self._ask, self._release):
            for first in range(0, sizes.customers, IN_A_FRAME):
                self.until(self.now + 20)
                customers = range(first, min(first + IN_A_FRAME, sizes.customers))
                self.handle(self.frame(1, *(item(customer & 0xFFFF, customer) for customer in customers)))
        self.until(self.now + SETTLED)

    def handle(self, event: interface.Event) -> None:
        if self.script is not None:
            self.script.append((self.now, event))
        for command in self.module.handle(self.now, event):
            self._carry_out(command)

    def until(self, time: int) -> None:
        """Plays what is due up to a time, which then it is."""
        while self.queue and self.queue[0][0] <= time:
            self.now, _, event = heapq.heappop(self.queue)
            if isinstance(event, interface.TimerFired):
                self.wakes.discard(self.now)
            self.handle(event)
        self.now = time

    def play(self, unit: Callable[["Driven"], None], times: int) -> list[int]:
        """Begins a unit each GAP; where each began in the script, and the end."""
        marks = []
        for _ in range(times):
            marks.append(len(self.script or ()))
            self.count += 1
            unit(self)
            self.until(self.now + GAP)
        return [*marks, len(self.script or ())]

    def frame(self, peer: int, *items: wire.Item) -> interface.PeerFrame:
        """The peer's next frame, sent now."""
        self.numbers[peer] = number = (self.numbers[peer] + 1) & 0xFFFF
        packed = [wire.pack_item(item) for item in items]
        return interface.PeerFrame(
            peer, wire.pack(LIFE, self.life, number, self.now // 10, packed, version=wire.VERSION)
        )

    def _ask(self, serial: int, customer: int) -> wire.Ask:
        return wire.Ask(serial, customer, customer % self.sizes.plans, 1.0)

    def _release(self, serial: int, customer: int) -> wire.Release:
        return wire.Release(serial, customer)

    def _later(self, after: int, event: interface.Event) -> None:
        heapq.heappush(self.queue, (self.now + after, next(self.order), event))

    def _carry_out(self, command: interface.Command) -> None:
        match command:
            case interface.SetTimer(token, after) if self.now + after not in self.wakes:  # the same again tells nothing
                self.wakes.add(self.now + after)
                self._later(after, interface.TimerFired(token))
            case interface.SendCallOut(rpc, server):
                self._later(ANSWER, interface.CallOutEnded(rpc, 0, server, ANSWER, Status.OK, True, 0.0, ()))
            case interface.ProbeServer(server):
                self._later(ANSWER, interface.ProbeEnded(server, Status.OK, ANSWER, ()))
            case interface.SendPeerFrame(peer, data):
                frame = wire.unpack(data)
                self.life = frame.life
                if asks := [item for item in frame.items if isinstance(item, wire.Ask)]:
                    self._later(REPLY, self.frame(peer, *(wire.Answer(ask.serial, 0) for ask in asks)))

    def _arrive(self, customer: int, owner: int) -> None:
        """An RPC whose customer has its bucket at that gateway: with a spread of one, its first is the owner."""
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
        self._arrive(self.count % self.sizes.customers, 0)

    def rpc_that_asks(self) -> None:
        self._arrive(OTHERS + self.count % self.sizes.customers, self._peer)

    def ask_served(self) -> None:
        """A peer asks, and releases its place when the call-out has ended."""
        peer, serial, customer = self._peer, self.count & 0xFFFF, self.count % self.sizes.customers
        self.handle(self.frame(peer, self._ask(serial, customer)))
        self._later(RELEASED, self.frame(peer, self._release(serial, customer)))

    def server_changed(self) -> None:
        """Another process is ready in a server's place."""
        self.handle(interface.ServerList(False, False, (entry(self.count * 7919 % self.sizes.servers, self.now),)))

    def list_again(self) -> None:
        self.handle(self.list)


class Replay:
    """Another module of the same birth that is told a script, step by step."""

    def __init__(self, sizes: Sizes, script: list[tuple[int, interface.Event]]) -> None:
        self.told = itertools.starmap(DecisionModule(gateway_settings(sizes), START).handle, script)

    def advance(self, events: int) -> None:
        deque(itertools.islice(self.told, events), maxlen=0)


def newborn(sizes: Sizes, first: interface.ServerList) -> DecisionModule:
    """A module that has been told its first list."""
    module = DecisionModule(gateway_settings(sizes), START)
    module.handle(START, first)
    return module


@contextmanager
def collected_as_served() -> Iterator[None]:
    """Garbage is collected as in a gateway that serves (oakfork/serving.py)."""
    before = gc.get_threshold()
    gc.freeze()
    gc.set_threshold(7_000, 10, 10)
    try:
        yield
    finally:
        gc.set_threshold(*before)
        gc.unfreeze()


def resident(sizes: str) -> int:
    """Resident bytes of this process with one module at rest; its sizes as JSON. For a fresh process."""
    told: dict[str, Any] = json.loads(sizes)
    with collected_as_served():
        driven = Driven(Sizes(**told))
        del driven.list
        gc.collect()
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
