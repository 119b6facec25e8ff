"""Group "frames": frames between gateways, counted with decision modules on a virtual clock.

Times are tenths of a millisecond. No frame is lost or refused, timers are exact, and frames take a fixed time, so that
the counts are the same on any machine. Where a complete tier of modules would take too long, one module talks to
scripted peers, which answer as oakfork/decision/peer_links.py and quotas.py do: a greeting with an empty frame, an ask
with a yes.
"""

import random
import sys
from dataclasses import dataclass
from typing import Any, Callable, Sequence

from oakfork import interface, peer_codec
from oakfork.decision import DecisionModule
from oakfork.interface import SECOND, ServerState, Status
from oakfork.lab.datagram_relay import HEADERS
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.lab.scale.server_lists import ZONES
from oakfork.lab.scale.slopes import Measure
from oakfork.settings import read_settings

GROUP = "frames"
GATEWAYS = (3, 30, 300, 1000, 2700)
RATES = (10, 30, 60, 118, 240)  # asks a second; 118 is 320,000 RPCs a second over 2,700 gateways if each has to ask
SEEDS = (1, 2, 3)
MAX_MODULES = 300  # gateways up to which the others are modules too; beyond that they are scripted
CUSTOMERS = 59_000
SERVERS = 4
MAIL_PER_S = 100.0  # frames that a gateway takes in: the default of docs/lab.md
WINDOW_S = 60  # of counting
SILENT_WINDOW_S = 64  # four greetings to a gateway that never answers, 16 s apart
FRAME_DELAY = 50  # one way, in tenths of a millisecond
CALL_OUT_LATENCY = 200  # in tenths of a millisecond
MEETING_S = 5  # until gateways have greeted each other, beside the time that their paced frames take
PACED_SHARE = 0.9  # of MAIL_PER_S: the pace at which greetings are expected
SMALL_GATEWAYS = (3, 6, 12, 24)
SMALL_MAX_MODULES = 12
SMALL_RATES = (2, 4, 8, 16)
SMALL_WINDOW_S = 5


def settings(gateways: int, index: int = 0) -> dict[str, Any]:
    """A deployment's settings in the form of docs/configuration.md: three methods, one plan."""

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
        """Counts a datagram."""
        self.frames += 1
        self.payload += len(data)

    @property
    def with_headers(self) -> int:
        """Bytes with the headers of IPv4 and UDP."""
        return self.payload + HEADERS * self.frames


class Network:
    """Gateways of one tier on one clock; what gateway 0 sends and receives is counted.

    Gateways without a module answer by script where `scripted` is set, and are silent otherwise.
    """

    def __init__(self, gateways: int, seed: int = 1, scripted: bool = False) -> None:
        self.gateways = gateways
        self.seed = seed
        self.scripted = scripted
        self.loop = EventLoop()
        self.modules: dict[int, DecisionModule] = {}
        self.numbers = [0] * gateways  # frames sent by scripted peers
        self.sent = Traffic()
        self.received = Traffic()
        self.asked = 0  # RPCs that reached gateway 0
        self.ok = 0  # of those, the ones answered
        self.not_sent_on = 0  # of those, the ones pushed back or aborted

    def start(self, index: int = 0) -> None:
        """Starts or restarts a gateway; the timers of its earlier life have no effect."""
        restarted = index in self.modules
        parsed = read_settings((self.seed << 20) + 2 * index + restarted, settings(self.gateways, index))
        self.modules[index] = DecisionModule(parsed, self.loop.now)
        entries = tuple(
            interface.ServerEntry(number, number, 0, 0, ServerState.READY, 0, 1.0) for number in range(SERVERS)
        )
        self.handle(index, interface.ServerList(True, False, entries))

    def reset_counts(self) -> None:
        """Starts counting from zero."""
        self.sent = Traffic()
        self.received = Traffic()

    def run(self, seconds: float) -> None:
        """Runs the clock for that time."""
        self.loop.run(self.loop.now + int(seconds * SECOND))

    def handle(self, index: int, event: interface.Event) -> None:
        """Passes an event to a gateway's module and carries out its commands."""
        module = self.modules[index]
        for command in module.handle(self.loop.now, event):
            match command:
                case interface.SetTimer(token, after):
                    self.loop.after(after, EventKind.TIMER, self._fire_timer, index, module, token)
                case interface.SendPeerFrame(peer, data):
                    self._send(index, peer, data)
                case interface.SendCallOut(rpc, server):
                    self.loop.after(CALL_OUT_LATENCY, EventKind.ENDING, self._end_call_out, index, rpc, server)
                case interface.PushBack() | interface.Abort():
                    self.not_sent_on += 1

    def _fire_timer(self, index: int, module: DecisionModule, token: int) -> None:
        if self.modules[index] is module:
            self.handle(index, interface.TimerFired(token))

    def _end_call_out(self, index: int, rpc: int, server: int) -> None:
        self.ok += 1
        self.handle(index, interface.CallOutEnded(rpc, 0, server, CALL_OUT_LATENCY, Status.OK, True, 0.0, ()))

    def _send(self, sender: int, to: int, data: bytes) -> None:
        if sender == 0:
            self.sent.add(data)
        if to in self.modules or self.scripted:
            self.loop.after(FRAME_DELAY, EventKind.NEWS, self._receive, sender, to, data)

    def _receive(self, sender: int, to: int, data: bytes) -> None:
        if to == 0:
            self.received.add(data)
        if to in self.modules:
            self.handle(to, interface.PeerFrame(sender, data))
            return
        frame = peer_codec.unpack(data)
        answers = [peer_codec.Answer(item.serial, 0) for item in frame.items if isinstance(item, peer_codec.Ask)]
        if answers or not (frame.to_life or frame.items):
            self.loop.after(1, EventKind.TIMER, self._send_scripted, to, sender, frame.life, answers)

    def _send_scripted(self, peer: int, to: int, to_life: int, items: Sequence[peer_codec.Item]) -> None:
        """Sends a frame of a scripted peer, which knew an earlier life of the receiver."""
        self.numbers[peer] = (self.numbers[peer] + 1) & 0xFFFF
        packed = [peer_codec.pack_item(item) for item in items]
        self._send(
            peer,
            to,
            peer_codec.pack(
                1 + peer, to_life, self.numbers[peer], self.loop.now // 10, packed, True, peer_codec.VERSION
            ),
        )

    # RPCs of gateway 0, and asks to it

    def arrival(self, customer: int) -> interface.RpcArrived:
        """The event of an RPC of a customer."""
        method = self.modules[0].settings.methods[0]
        return interface.RpcArrived(self.asked, customer, 0, 0, 1.0, 0, self.gateways, method.deadline, False)

    def ask(self, customer: int) -> None:
        """An RPC of that customer reaches gateway 0."""
        self.asked += 1
        self.handle(0, self.arrival(customer))

    def serve(self, peer: int, serial: int, customer: int) -> None:
        """A scripted peer asks gateway 0 for a customer's quota."""
        self._send_scripted(peer, 0, self.modules[0].links.life, [peer_codec.Ask(serial & 0xFFFF, customer, 0, 1.0)])


def none_replies(gateways: int) -> Network:
    """A network in which one gateway has just started and all others are silent."""
    network = Network(gateways)
    network.start()
    return network


def all_reply(gateways: int, all_modules: bool) -> Network:
    """A network in which one gateway has just restarted among others that have run for long.

    The others are modules too where `all_modules` is set, and scripted otherwise.
    """
    network = Network(gateways, scripted=not all_modules)
    if all_modules:
        for index in range(gateways):
            network.start(index)
        network.run(MEETING_S + gateways / MAIL_PER_S / PACED_SHARE)
    network.reset_counts()
    network.start()
    return network


def asks(rate: int, gateways: int, customers: int, seconds: int, seed: int) -> Network:
    """Runs asks of one gateway and as many to it, at uniformly drawn instants, once it has met all others.

    `rate` is the asks a second each way. Returns the network with its counts.
    """
    network = all_reply(gateways, False)
    random_source = random.Random(seed)
    network.run(WINDOW_S)
    network.reset_counts()
    ids = [random_source.getrandbits(33) for _ in range(customers)]
    owner = network.modules[0].quotas.owner
    begun = network.loop.now
    others = [customer for customer in ids if owner(network.arrival(customer))[0]]
    own = [customer for customer in ids if not owner(network.arrival(customer))[0]]
    for number in range(rate * seconds):
        ask_at = begun + random_source.randrange(seconds * SECOND)
        serve_at = begun + random_source.randrange(seconds * SECOND)
        network.loop.at(ask_at, EventKind.CLIENT, network.ask, random_source.choice(others))
        peer = random_source.randrange(1, gateways)
        network.loop.at(serve_at, EventKind.CLIENT, network.serve, peer, number, random_source.choice(own))
    network.run(seconds + 1)  # one more second, for the last answers
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
    """Measures of bytes of payload, bytes with headers, and frames, each divided by `per` (seconds, or 1)."""

    def values(count: Callable[[Traffic], int]) -> list[tuple[float, list[float]]]:
        return [(size, [count(each) / per for each in traffic]) for size, traffic in points]

    return [
        Measure(
            f"{name}: bytes{unit}{end}",
            f"bytes{unit}",
            by,
            values(lambda traffic: traffic.payload),
            held,
            f"payload of the datagrams; {note}",
        ),
        Measure(
            f"{name}: bytes{unit}{end}, with headers",
            f"bytes{unit}",
            by,
            values(lambda traffic: traffic.with_headers),
            held,
            f"{HEADERS} bytes of IPv4 and UDP a datagram; {note}",
        ),
        Measure(f"{name}: frames{unit}{end}", f"frames{unit}", by, values(lambda traffic: traffic.frames), held, note),
    ]


def _starts(
    report: Callable[[str], None], sizes: Sequence[int], held: dict[str, Any], max_modules: int
) -> list[Measure]:
    """Measures by the number of gateways: a start and the time after it, with and without replies."""
    counted: dict[str, list[tuple[float, list[Traffic]]]] = {name: [] for name in ("silent", "quiet", "met", "rest")}
    for size in sizes:
        for network, start, rest, seconds in (
            (none_replies(size), "silent", "quiet", SILENT_WINDOW_S),
            (all_reply(size, size <= max_modules), "met", "rest", WINDOW_S),
        ):
            network.run(WINDOW_S)
            counted[start].append((size, [network.sent]))
            network.reset_counts()
            network.run(seconds)
            counted[rest].append((size, [network.sent]))
    others = f"the others are modules too up to {max_modules} gateways and scripted beyond"
    first = f"sent by one gateway in the first {WINDOW_S} s of its life"
    by = "gateways"
    groups = [
        _measures("start by gateways, none replies", "", by, counted["silent"], 1, held, first),
        _measures(
            "start by gateways, all reply",
            "",
            by,
            counted["met"],
            1,
            held,
            f"{first}, among others that knew its earlier one; {others}",
        ),
        _measures(
            "rest by gateways",
            " a second",
            by,
            counted["rest"],
            WINDOW_S,
            held,
            f"sent by one gateway in the {WINDOW_S} s after that, with no RPC; {others}",
        ),
        _measures(
            "rest by gateways, none replies",
            " a second",
            by,
            counted["quiet"],
            SILENT_WINDOW_S,
            held,
            f"greetings sent by one gateway in the {SILENT_WINDOW_S} s after its first {WINDOW_S}",
        ),
    ]
    measures = [measure for group in groups for measure in group]
    for one in measures:
        report(one.name)
    return measures


def measure(report: Callable[[str], None], small: bool = False) -> tuple[list[Measure], dict[str, Any]]:
    """Measures frames and bytes of one gateway at its start, at rest, and by its asks; the same on any machine."""
    sizes = SMALL_GATEWAYS if small else GATEWAYS
    max_modules = SMALL_MAX_MODULES if small else MAX_MODULES
    rates = SMALL_RATES if small else RATES
    seeds = SEEDS[:1] if small else SEEDS
    seconds = SMALL_WINDOW_S if small else WINDOW_S
    gateways, customers = (30, 600) if small else (GATEWAYS[-1], CUSTOMERS)
    held = {
        "mail_per_s": MAIL_PER_S,
        "servers": SERVERS,
        "frame_ms": FRAME_DELAY / 10,
        "frames_lost": 0,
        "probes": False,
    }
    measures = _starts(report, sizes, held, max_modules)
    networks_by_rate = [(rate, [asks(rate, gateways, customers, seconds, seed) for seed in seeds]) for rate in rates]
    held = held | {
        "gateways": gateways,
        "customers": customers,
        "spread": gateways,
        "plan": "rate only",
        "call_out_ms": CALL_OUT_LATENCY / 10,
    }
    note = (
        "one gateway asks so many times a second and is asked as often, all yes; owners by hash over all gateways; "
        "peers are scripted; frames beyond mail_per_s are taken in too; no probes' readings, releases or returns"
    )
    for direction in ("sent", "received"):
        points = [(rate, [getattr(network, direction) for network in networks]) for rate, networks in networks_by_rate]
        asked = _measures("asks by rate", " a second", "rate", points, seconds, held, note, f" {direction}")
        for one in asked:
            report(one.name)
        measures += asked
    every = [network for _, networks in networks_by_rate for network in networks]
    return measures, {
        "python": sys.version.split()[0],
        "mail_per_s": MAIL_PER_S,
        "seeds": list(seeds),
        "rpcs": sum(network.asked for network in every),
        "rpcs_ok": sum(network.ok for network in every),
        "rpcs_not_sent_on": sum(network.not_sent_on for network in every),
    }
