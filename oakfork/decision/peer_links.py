"""Links to the other gateways: pacing and numbering of frames, and restarts.

A life is the time between two starts of a gateway, named by a number drawn at the start.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Callable

from oakfork import interface, peer_codec as wire
from oakfork.decision.context import DecisionContext, Rpc
from oakfork.interface import SECOND

STALE_AFTER = 300  # milliseconds above the least delay seen from that peer
MAX_QUEUED_ITEMS = 512  # for one peer; more are lost, as frames may be
EARLIER_LIFE_TIME = 16 * SECOND  # for which frames of a peer's earlier life are dropped as late
MAX_EARLIER_LIVES = 8  # of one peer
BURST_FRAMES = 2  # frames that may go ahead of an even pace


@dataclass(slots=True)
class Peer:
    """The link to one other gateway."""

    due: float  # when the next frame would go, had all gone evenly
    life: int = 0  # 0 until a frame from it has come in
    known_before: bool = False  # frames of an earlier life of it have come in as well
    # Its earlier lives, each with until when it counts as one: the number may be drawn again.
    earlier_lives: dict[int, int] = field(default_factory=dict)
    last_number: int = 0  # of the frames sent to it
    window: wire.ReceiveWindow = field(default_factory=wire.ReceiveWindow)
    queue: deque[bytes] = field(default_factory=deque)  # emptied by PeerLinks.flush
    rate: float = 0.0  # frames a tenth of a millisecond
    version: int = 0  # the latest version of frames that it has sent
    unanswered_asks: int = 0  # in a row
    next_ask_at: int = 0
    open_asks: dict[int, tuple[Rpc, int]] = field(default_factory=dict)  # emptied by answers, or after 4 s


class PeerLinks:
    """The links to all other gateways."""

    def __init__(
        self,
        settings: interface.GatewaySettings,
        context: DecisionContext,
        readings: Callable[[], list[bytes]],
    ) -> None:
        self.settings = settings
        self.context = context
        self.readings = readings
        self.life = 1 + context.random(65535)
        self.rejected_frames = 0
        # Peers that may know an earlier life of this gateway; {-1} once one of them is known to.
        self.unheard_peers = set(range(max(2, settings.gateways))) - {settings.index}
        # Frames a tenth of a millisecond to one peer, if all were written to alike.
        total_rate = 0.9 * max(1.0, settings.peer_frames_per_s) / SECOND
        self.even_rate = total_rate / max(1, settings.gateways - 1)
        # The rate at first; each ask without a reply halves it.
        self.initial_rate = max(self.even_rate, settings.peer_frames_per_s / 4 / SECOND)
        self.peers = {
            index: Peer(context.now, rate=self.initial_rate)
            for index in range(settings.gateways)
            if index != settings.index
        }
        if settings.peers and settings.peer_frames_per_s:
            self._schedule_greetings()

    def _schedule_greetings(self) -> None:
        """Spreads the first greetings over the time in which a peer can take in the answers."""
        gateways = self.settings.gateways
        for peer in self.peers:
            distance = (peer - self.settings.index) % gateways
            delay = int(1 / self.even_rate) * distance // gateways
            self.context.at(self.context.now + delay, self._greet, peer, SECOND // 4)

    def first_life(self) -> bool:
        """Whether no peer knew this gateway before.

        A twentieth of the peers may be missing; after a mass kill more of them are left to answer for it.
        """
        return -1 not in self.unheard_peers and len(self.unheard_peers) <= self.settings.gateways // 20

    def enqueue(self, to: int, item: wire.Item) -> None:
        """Queues an item for a peer; it goes with the commands of this event or of a later one.

        Where MAX_QUEUED_ITEMS wait already, it is lost, as it may be on its way.
        """
        peer = self.peers[to]
        if len(peer.queue) >= MAX_QUEUED_ITEMS:
            return
        peer.queue.append(wire.pack_item(item))
        if len(peer.queue) == 1:
            self.context.at(self.context.now + 1, self.flush, to)  # so that items of one batch share a frame

    def _greet(self, to: int, pause: int) -> None:
        """Sends empty frames until one from the peer comes in.

        Without them, peers that never write could not say whether they know an earlier life of this gateway.
        """
        if not self.peers[to].life:
            self.flush(to, True)
            self.context.at(self.context.now + pause, self._greet, to, min(2 * pause, 16 * SECOND))

    def flush(self, to: int, empty: bool = False) -> None:
        """Sends a frame of what is queued for a peer, or an empty one, as soon as the pace allows it."""
        peer = self.peers[to]
        now = self.context.now
        ahead = now + BURST_FRAMES / peer.rate
        if (peer.queue or empty) and peer.due <= ahead:
            self._send(to, peer)
        if peer.queue:
            self.context.at(now + int(peer.due - ahead) + 1, self.flush, to)

    def _send(self, to: int, peer: Peer) -> None:
        now = self.context.now
        peer.due = max(peer.due, now) + 1 / peer.rate
        peer.last_number = (peer.last_number + 1) & 0xFFFF
        version = (
            peer.version if peer.queue else wire.VERSION
        )  # a greeting says what this gateway understands
        items = wire.fill_frame(peer.queue, self.readings() if version == wire.VERSION else ())
        data = wire.pack(
            self.life,
            peer.life,
            peer.last_number,
            now // 10,
            items,
            peer.known_before,
            version or wire.OLDEST,
        )
        self.context.commands.append(interface.SendPeerFrame(to, data))

    def received(self, sender: int, data: bytes) -> list[wire.Item]:
        """The items of a frame that are to be acted on: none that was meant for the life before a restart."""
        frame = wire.unpack(data)
        peer = self.peers.get(sender)
        if frame is None or peer is None or not frame.life:
            self._count_rejected(sender)
            return []
        # Guards against a process that has ended and is taken for the one that came after it.
        if self.context.now < peer.earlier_lives.get(frame.life, 0):
            return []
        if frame.life != peer.life:
            peer.version = frame.version
            self._peer_restarted(sender, peer, frame)
        else:
            peer.version = max(frame.version, peer.version)
        if not peer.window.accept(frame.number):
            return []
        if not (frame.to_life or frame.items):  # a greeting: answered with an empty frame
            self.context.at(self.context.now + 1, self.flush, sender, True)
        # Exception: asks of a stale backlog are skipped.
        stale = peer.window.delay(self.context.now // 10, frame.clock) > STALE_AFTER
        if not stale:
            peer.unanswered_asks = 0
        return [item for item in frame.items if self._acts_on(item, frame, stale)]

    def _count_rejected(self, sender: int) -> None:
        self.rejected_frames += 1
        count = self.rejected_frames
        if not count & (count - 1):  # logged at each doubling
            text = (
                f"dropped a malformed or unexpected frame from gateway {sender}; {count} such frames so far"
            )
            self.context.commands.append(interface.WriteLog(text))

    def _peer_restarted(self, sender: int, peer: Peer, frame: wire.Frame) -> None:
        """Takes up the new life of a peer: what it held or was asked in the earlier one is void."""
        if peer.life:
            peer.known_before = True
            peer.earlier_lives[peer.life] = self.context.now + EARLIER_LIFE_TIME
            if len(peer.earlier_lives) > MAX_EARLIER_LIVES:
                del peer.earlier_lives[next(iter(peer.earlier_lives))]
            peer.open_asks.clear()
            peer.queue.clear()
        peer.life = frame.life
        peer.window = wire.ReceiveWindow()
        knows_earlier_life = frame.knew_receiver or frame.to_life not in (0, self.life)
        if self.unheard_peers and knows_earlier_life:
            self.unheard_peers = {-1}
        else:
            self.unheard_peers = self.unheard_peers - {sender}

    def _acts_on(self, item: wire.Item, frame: wire.Frame, stale: bool) -> bool:
        if getattr(item, "plan", 0) >= len(self.settings.plans):
            return False
        if isinstance(item, wire.Ask | wire.Reading):
            return not stale
        return frame.to_life == self.life
