"""Frames between gateways, by count: the decision module itself on a virtual clock, through its interface.

Times are tenths of a millisecond. No frame is lost or refused, timers are exact, and frames take a fixed time; so the
counts are the same on any machine. Where a whole tier of modules would take too long, one module talks to scripted
peers, which answer as oakfork/decision/peer_links.py and quotas.py do: a greeting with an empty frame, an ask with a
yes.
"""

import random
import sys
from dataclasses import dataclass
from typing import Any, Callable, Sequence

from oakfork import interface, peer_codec as wire
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, ServerState, Status
from oakfork.lab.datagram_relay import HEADERS
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.lab.scale.server_lists import ZONES
from oakfork.lab.scale.slopes import Measure
from oakfork.settings import read_settings

GROUP = "frames"
GATEWAYS = (3, 30, 300, 1000, 2700)
RATES = (10, 30, 60, 118, 240)  # 118: 320,000 RPCs a second over 2,700 gateways, had each to ask
SEEDS = (1, 2, 3)
WHOLE = 300  # gateways up to which the others are modules too; beyond that they are scripted
CUSTOMERS = 59_000
SERVERS = 4
MAIL_PER_S = 100.0  # frames that a gateway takes in: docs/lab.md's default
WINDOW = 60  # seconds that are counted
SILENT_WINDOW = 64  # four greetings to one that never answers, 16 s apart
DELAY = 50  # of a frame, one way
LATENCY = 200  # of a call-out


def settings(gateways: int, index: int = 0) -> dict[str, Any]:
    """A deployment's settings in the operators' form (docs/configuration.md): three methods, one plan."""

    def method(name: str, effect: str) -> dict[str, Any]:
        return {
            "name": name,
            "aim-ms": 1000.0,
            "deadline-ms": 2000.0,
            "effect": effect,
            "group": "cell",
            "key-ttl-ms": 5000.0,
            "value": 1.0,
            "late-worth": 0.0,
            "streamed": False,
        }

    return {
        "balancers": gateways,
        "index": index,
        "zones": list(ZONES),
        "zone": 0,
        "tick-ms": 4.0,
        "discovery": "automatic",
        "classes": [method("read", "read_like"), method("seal", "idempotency_key"), method("hand", "unsafe")],
        "tiers-of-service": [{"name": "basic", "refill": 100.0, "peak-units": 200.0}],
        "limits": {
            "attempts-cap": 4,
            "cancel": True,
            "parallel-tries": True,
            "peers": gateways > 1,
            "probing": False,
            "retry-after": True,
            "conn-idle-ms": 15000.0,
            "connect-timeout-ms": 250.0,
        },
        "specifics": {"mail-per-s": MAIL_PER_S, "units-top": 2},
        "invariants": {"stop-sending-within-ms": 500.0},
        "stats": {"how": "off", "names": []},
    }


@dataclass(slots=True)
class Traffic:
    """Datagrams and their payload in bytes."""

    frames: int = 0
    payload: int = 0

    def add(self, data: bytes) -> None:
        self.frames, self.payload = self.frames + 1, self.payload + len(data)

    @property
    def with_headers(self) -> int:
        return self.payload + HEADERS * self.frames


class Network:
    """Gateways of one tier on one clock; what gateway 0 sends and gets is counted. `scripted`: those that have no
    module answer by script, otherwise they are silent."""

    def __init__(self, gateways: int, seed: int = 1, scripted: bool = False) -> None:
        self.gateways, self.seed, self.scripted = gateways, seed, scripted
        self.loop = EventLoop()
        self.modules: dict[int, DecisionModule] = {}
        self.numbers = [0] * gateways  # frames sent by scripted peers
        self.sent, self.received = Traffic(), Traffic()
        self.asked = self.ok = self.not_sent_on = 0  # RPCs of gateway 0

    def start(self, index: int = 0) -> None:
        """Starts a gateway, or starts it anew: its earlier life's timers are void."""
        again = index in self.modules
        parsed = read_settings((self.seed << 20) + 2 * index + again, settings(self.gateways, index))
        self.modules[index] = DecisionModule(parsed, self.loop.now)
        entries = tuple(
            interface.ServerEntry(number, number, 0, 0, ServerState.READY, 0, 1.0) for number in range(SERVERS)
        )
        self.handle(index, interface.ServerList(True, False, entries))

    def count_anew(self) -> None:
        self.sent, self.received = Traffic(), Traffic()

    def run(self, seconds: float) -> None:
        self.loop.run(self.loop.now + int(seconds * SECOND))

    def handle(self, index: int, event: interface.Event) -> None:
        module = self.modules[index]
        for command in module.handle(self.loop.now, event):
            match command:
                case interface.SetTimer(token, after):
                    self.loop.after(after, EventKind.TIMER, self._timer, index, module, token)
                case interface.SendPeerFrame(peer, data):
                    self._tell(index, peer, data)
                case interface.SendCallOut(rpc, server):
                    self.loop.after(LATENCY, EventKind.ENDING, self._ended, index, rpc, server)
                case interface.PushBack() | interface.Abort():
                    self.not_sent_on += 1

    def _timer(self, index: int, module: DecisionModule, token: int) -> None:
        if self.modules[index] is module:
            self.handle(index, interface.TimerFired(token))

    def _ended(self, index: int, rpc: int, server: int) -> None:
        self.ok += 1
        self.handle(index, interface.CallOutEnded(rpc, 0, server, LATENCY, Status.OK, True, 0.0, ()))

    def _tell(self, sender: int, to: int, data: bytes) -> None:
        if sender == 0:
            self.sent.add(data)
        if to in self.modules or self.scripted:
            self.loop.after(DELAY, EventKind.NEWS, self._arrive, sender, to, data)

    def _arrive(self, sender: int, to: int, data: bytes) -> None:
        if to == 0:
            self.received.add(data)
        if to in self.modules:
            self.handle(to, interface.PeerFrame(sender, data))
            return
        frame = wire.unpack(data)
        answers = [wire.Answer(item.serial, 0) for item in frame.items if isinstance(item, wire.Ask)]
        if answers or not (frame.to_life or frame.items):
            self.loop.after(1, EventKind.TIMER, self._write, to, sender, frame.life, answers)

    def _write(self, peer: int, to: int, to_life: int, items: Sequence[wire.Item]) -> None:
        """A frame of a scripted peer, which knew an earlier life of the other."""
        self.numbers[peer] = self.numbers[peer] + 1 & 0xFFFF
        packed = [wire.pack_item(item) for item in items]
        self._tell(
            peer, to, wire.pack(1 + peer, to_life, self.numbers[peer], self.loop.now // 10, packed, True, wire.VERSION)
        )

    # RPCs of gateway 0, and asks to it

    def arrival(self, customer: int) -> interface.RpcArrived:
        method = self.modules[0].settings.methods[0]
        return interface.RpcArrived(self.asked, customer, 0, 0, 1.0, 0, self.gateways, method.deadline, False)

    def ask(self, customer: int) -> None:
        self.asked += 1
        self.handle(0, self.arrival(customer))

    def serve(self, peer: int, serial: int, customer: int) -> None:
        self._write(peer, 0, self.modules[0].links.life, [wire.Ask(serial & 0xFFFF, customer, 0, 1.0)])


def none_replies(gateways: int) -> Network:
    """One gateway just started among others that are all silent."""
    network = Network(gateways)
    network.start()
    return network


def all_reply(gateways: int, whole: bool) -> Network:
    """One gateway just started anew among others that have run for long; those are modules too where it is `whole`."""
    network = Network(gateways, scripted=not whole)
    if whole:
        for index in range(gateways):
            network.start(index)
        network.run(5 + gateways / MAIL_PER_S / 0.9)  # all have met
    network.count_anew()
    network.start()
    return network


def asks(rate: int, gateways: int, customers: int, seconds: int, seed: int) -> Network:
    """Asks of one gateway and as many to it, at instants drawn evenly, once it has met all others."""
    network, dice = all_reply(gateways, False), random.Random(seed)
    network.run(WINDOW)
    network.count_anew()
    ids = [dice.getrandbits(33) for _ in range(customers)]
    owner, begun = network.modules[0].quotas.owner, network.loop.now
    others = [one for one in ids if owner(network.arrival(one))[0]]
    own = [one for one in ids if not owner(network.arrival(one))[0]]
    for number in range(rate * seconds):
        at, came = (begun + dice.randrange(seconds * SECOND) for _ in range(2))
        network.loop.at(at, EventKind.CLIENT, network.ask, dice.choice(others))
        network.loop.at(came, EventKind.CLIENT, network.serve, dice.randrange(1, gateways), number, dice.choice(own))
    network.run(seconds + 1)  # the last answers too
    return network


def _measures(
    name: str,
    unit: str,
    by: str,
    points: list[tuple[float, list[Traffic]]],
    per: int,
    held: dict[str, Any],
    note: str,
    end: str = "",
) -> list[Measure]:
    """Bytes of payload, bytes with headers, and frames, each divided by `per` seconds where that isn't 1."""

    def values(of: Callable[[Traffic], int]) -> list[tuple[float, list[float]]]:
        return [(size, [of(one) / per for one in traffic]) for size, traffic in points]

    return [
        Measure(
            f"{name}: bytes{unit}{end}",
            f"bytes{unit}",
            by,
            values(lambda one: one.payload),
            held,
            f"payload of the datagrams; {note}",
        ),
        Measure(
            f"{name}: bytes{unit}{end}, with headers",
            f"bytes{unit}",
            by,
            values(lambda one: one.with_headers),
            held,
            f"{HEADERS} bytes of IPv4 and UDP a datagram; {note}",
        ),
        Measure(f"{name}: frames{unit}{end}", f"frames{unit}", by, values(lambda one: one.frames), held, note),
    ]


def _starts(told: Callable[[str], None], sizes: Sequence[int], held: dict[str, Any], whole: int) -> list[Measure]:
    kept: dict[str, list[tuple[float, list[Traffic]]]] = {name: [] for name in ("silent", "quiet", "met", "rest")}
    for size in sizes:
        for network, start, rest, seconds in (
            (none_replies(size), "silent", "quiet", SILENT_WINDOW),
            (all_reply(size, size <= whole), "met", "rest", WINDOW),
        ):
            network.run(WINDOW)
            kept[start].append((size, [network.sent]))
            network.count_anew()
            network.run(seconds)
            kept[rest].append((size, [network.sent]))
    others = f"the others are modules too up to {whole} gateways and scripted beyond"
    first = f"sent by one gateway in the first {WINDOW} s of its life"
    by = "gateways"
    groups = [
        _measures("start by gateways, none replies", "", by, kept["silent"], 1, held, first),
        _measures(
            "start by gateways, all reply",
            "",
            by,
            kept["met"],
            1,
            held,
            f"{first}, among others that knew its earlier one; {others}",
        ),
        _measures(
            "rest by gateways",
            " a second",
            by,
            kept["rest"],
            WINDOW,
            held,
            f"sent by one gateway in the {WINDOW} s after that, with no RPC; {others}",
        ),
        _measures(
            "rest by gateways, none replies",
            " a second",
            by,
            kept["quiet"],
            SILENT_WINDOW,
            held,
            f"greetings sent by one gateway in the {SILENT_WINDOW} s after its first {WINDOW}",
        ),
    ]
    for group in groups:
        for one in group:
            told(one.name)
    return [one for group in groups for one in group]


def measure(told: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Frames and bytes of one gateway at its start, at rest, and by its asks; the same on any machine."""
    sizes, whole = ((3, 6, 12, 24), 12) if small else (GATEWAYS, WHOLE)
    rates, seeds, seconds = ((2, 4, 8, 16), SEEDS[:1], 5) if small else (RATES, SEEDS, WINDOW)
    gateways, customers = (30, 600) if small else (GATEWAYS[-1], CUSTOMERS)
    held = {"mail_per_s": MAIL_PER_S, "servers": SERVERS, "frame_ms": DELAY / 10, "frames_lost": 0, "probes": False}
    measures = _starts(told, sizes, held, whole)
    played = [(rate, [asks(rate, gateways, customers, seconds, seed) for seed in seeds]) for rate in rates]
    held = held | {
        "gateways": gateways,
        "customers": customers,
        "spread": gateways,
        "plan": "rate only",
        "call_out_ms": LATENCY / 10,
    }
    note = (
        "one gateway asks so many times a second and is asked as often, all yes; owners by hash over all gateways; "
        "peers are scripted; frames beyond mail_per_s are taken in too; no probes' readings, releases or returns"
    )
    for way in ("sent", "received"):
        points = [(rate, [getattr(network, way) for network in networks]) for rate, networks in played]
        asked = _measures("asks by rate", " a second", "rate", points, seconds, held, note, f" {way}")
        for one in asked:
            told(one.name)
        measures += asked
    every = [network for _, networks in played for network in networks]
    return measures, {
        "python": sys.version.split()[0],
        "mail_per_s": MAIL_PER_S,
        "seeds": list(seeds),
        "rpcs": sum(network.asked for network in every),
        "rpcs_ok": sum(network.ok for network in every),
        "rpcs_not_sent_on": sum(network.not_sent_on for network in every),
    }
