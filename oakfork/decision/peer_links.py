"""Links to the other gateways: frames paced and told apart, lives, and whether ours is the first."""

from collections import deque
from dataclasses import dataclass, field
from typing import Callable

from oakfork import interface, peer_codec as wire
from oakfork.decision.context import DecisionContext, Rpc
from oakfork.interface import SECOND


@dataclass(slots=True)
class Peer:
    due: float  # when the next frame would go, had all gone evenly
    life: int = 0  # 0 until it has been heard
    again: bool = False  # it was heard in an earlier life as well
    sent: int = 0  # number of the last frame to it
    window: wire.Window = field(default_factory=wire.Window)
    queue: deque[bytes] = field(default_factory=deque)  # emptied by Links.flush
    rate: float = 0.0  # frames a tenth of a millisecond
    version: int = 0  # the latest version of frames that it has sent
    missed: int = 0  # asks in a row without a reply
    next_try: int = 0
    asks: dict[int, tuple[Rpc, int]] = field(default_factory=dict)  # emptied by answers, or after 4 s


class PeerLinks:
    def __init__(
        self,
        settings: interface.GatewaySettings,
        context: DecisionContext,
        readings: Callable[[], list[bytes]],
    ) -> None:
        self.settings, self.context, self.readings = settings, context, readings
        self.life, self.strange = 1 + context.random(65535), 0  # names this start; frames not understood
        self.strangers = set(range(max(2, settings.gateways))) - {settings.index}  # may know our earlier life
        self.even = 0.9 * max(1.0, settings.peer_frames_per_s) / SECOND / max(1, settings.gateways - 1)
        self.swift = max(
            self.even, settings.peer_frames_per_s / 4 / SECOND
        )  # at first; an ask with no reply halves it
        self.peers = {
            i: Peer(context.now, rate=self.swift) for i in range(settings.gateways) if i != settings.index
        }
        for i in (
            self.peers if settings.peers and settings.peer_frames_per_s else ()
        ):  # as fast as answers are taken in
            turn = int(1 / self.even) * ((i - settings.index) % settings.gateways) // settings.gateways
            context.at(context.now + turn, self._greet, i, SECOND // 4)

    def first_life(self) -> bool:
        """Whether none knew us before. A twentieth may be missing, or more are left after a mass kill."""
        return -1 not in self.strangers and len(self.strangers) <= self.settings.gateways // 20

    def post(self, to: int, item: wire.Item) -> None:
        peer = self.peers[to]
        peer.queue.append(wire.pack_item(item))
        if len(peer.queue) == 1:
            self.context.at(
                self.context.now + 1, self.flush, to
            )  # later in this batch's reply or in the next

    def _greet(self, to: int, pause: int) -> None:
        """An empty frame, until the other is heard: those who never write could tell nobody's first life."""
        if not self.peers[to].life:
            self.flush(to, True)
            self.context.at(self.context.now + pause, self._greet, to, min(2 * pause, 16 * SECOND))

    def flush(self, to: int, empty: bool = False) -> None:
        peer, now = self.peers[to], self.context.now
        ahead = now + 2 / peer.rate  # three frames may go at once
        if (peer.queue or empty) and peer.due <= ahead:
            peer.due, peer.sent = max(peer.due, now) + 1 / peer.rate, (peer.sent + 1) & 0xFFFF
            version = peer.version if peer.queue else wire.VERSION  # a greeting says what we understand
            items = wire.fill(peer.queue, self.readings() if version == wire.VERSION else ())
            self.context.commands.append(
                interface.SendPeerFrame(
                    to,
                    wire.pack(
                        self.life, peer.life, peer.sent, now // 10, items, peer.again, version or wire.OLDEST
                    ),
                )
            )
        if peer.queue:
            self.context.at(now + int(peer.due - ahead) + 1, self.flush, to)

    def received(self, sender: int, data: bytes) -> list[wire.Item]:
        """What is to be acted on in a frame: not what was meant for the life before a restart."""
        frame, peer = wire.unpack(data), self.peers.get(sender)
        if frame is None or peer is None or not frame.life:
            self.strange += 1
            if not self.strange & self.strange - 1:  # told at each doubling
                self.context.commands.append(interface.WriteLog(f"{self.strange} frames not understood"))
            return []
        peer.version = max(frame.version, peer.version * (frame.life == peer.life))
        if frame.life != peer.life:  # it has restarted: what it held or was asked is void
            if peer.life:
                peer.again = True
                peer.asks.clear()
                peer.queue.clear()
            peer.life, peer.window = frame.life, wire.Window()
            earlier = self.strangers and (frame.again or frame.to_life not in (0, self.life))
            self.strangers = {-1} if earlier else self.strangers - {sender}
        if not peer.window.fresh(frame.number):
            return []
        if not (frame.to_life or frame.items):  # a greeting
            self.context.at(self.context.now + 1, self.flush, sender, True)
        # Exception: asks of a stale backlog are skipped: 300 ms above the least delay seen from that peer.
        stale = peer.window.delay(self.context.now // 10, frame.clock) > 300
        peer.missed = peer.missed if stale else 0
        return [
            item
            for item in frame.items
            if getattr(item, "plan", 0) < len(self.settings.plans)
            and (not stale if isinstance(item, wire.Ask | wire.Reading) else frame.to_life == self.life)
        ]
