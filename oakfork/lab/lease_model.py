"""Leases in simulated time, at numbers of gateways and lengths of time that drills on processes do not reach.

Uses the state machines of holders and voters themselves, on links that lose and delay, with voters that restart and
holders that are killed. Times are whole tenths of a millisecond. Messages are encoded as frames by
`oakfork.fleet.codec`, so that bytes and processor time are those of real frames, without the system calls.
"""

import sys
import time
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, Iterator

import numpy

from oakfork.fleet.codec import pack, unpack
from oakfork.fleet.config import FleetRevision
from oakfork.interface import SECOND
from oakfork.lab.datagram_relay import HEADERS
from oakfork.lab.event_loop import EventKind, EventLoop
from oakfork.leases import holder, voter
from oakfork.leases.durations import LeaseDurations
from oakfork.leases.messages import Ask, Grant, Refusal, Release, VoteFreed

REVISION = FleetRevision(1, (1 << 63) - 1, 0)
LENGTHS = LeaseDurations(lease=3 * SECOND, drift=10, act=SECOND // 4, longest=3 * SECOND)
MAX_TIMER = 3600 * SECOND  # later wake-ups are not scheduled
SAMPLE_PERIOD = SECOND // 50  # between two samples of who holds
RESTART_DELAY = SECOND  # from the death of a holder until it restarts


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one run."""

    gateways: int
    voters: int
    loss: float
    seed: int
    frames: float  # between gateways, per second, in the whole fleet
    frames_of_a_watcher: float  # per second
    held: float  # fraction of the time in which one gateway holds
    overlaps: int  # samples in which two gateways held
    waits: tuple[float, ...]  # seconds from the death of a holder until the next one holds
    state_bytes: int  # of the state machines of the whole fleet
    sent_bytes: float  # per second, with headers, of the voter that sends most
    received_bytes: float  # per second, of the voter that receives most
    processor: float  # seconds per second of the busiest voter: frames encoded and decoded, and its state machines


class LeaseFleetModel:
    """Gateways of which the first `voters` vote and contend for one task; the others only watch."""

    def __init__(self, gateways: int, voters: int, loss: float, seed: int, delay: int = 50) -> None:
        """`loss` is the fraction of frames lost; half of the mean `delay` is fixed, the rest exponential."""
        self.gateways = gateways
        self.voters = voters
        self.loss = loss
        self.delay = delay
        self.seed = seed
        self.loop = EventLoop()
        self.rng = numpy.random.default_rng(seed)
        self.loop.now = 100 * SECOND
        self.clock_rates = self.rng.integers(990, 1011, voters)  # per mille of true time
        self.incarnations = 0
        self.frames = 0
        self.sent = [0] * gateways  # frames
        self.sent_bytes = [0] * gateways
        self.received_bytes = [0] * gateways
        self.processor_ns = [0] * gateways
        self.votes = [voter.Vote(0, 0) for _ in range(voters)]
        self.contenders = [self.new_contender(gateway) for gateway in range(voters)]
        self.up = [True] * voters
        self.overlaps = 0
        self.held_samples = 0
        self.samples = 0
        self.dead_since: int | None = None
        self.waits: list[float] = []

    def new_contender(self, gateway: int) -> holder.Contender:
        """The state of a gateway that starts, under a new incarnation."""
        self.incarnations += 1
        return holder.Contender(gateway, self.incarnations, tuple(range(self.voters)))

    def clock(self, gateway: int) -> int:
        """The time on a gateway's own clock."""
        return self.loop.now * int(self.clock_rates[gateway]) // 1000

    @contextmanager
    def measured(self, gateway: int) -> Iterator[None]:
        """Charges the processor time of the context to a gateway."""
        begun = time.process_time_ns()
        yield
        self.processor_ns[gateway] += time.process_time_ns() - begun

    # Frames

    def send(self, sender: int, receiver: int, message: Any) -> None:
        """Sends a message as a frame, which may be lost; one to the sender itself arrives at once."""
        if sender == receiver:
            self.receive(receiver, message)
            return
        with self.measured(sender):
            frame = pack(sender, REVISION, [message])
        self.sent_bytes[sender] += len(frame) + HEADERS
        self.frames += 1
        self.sent[sender] += 1
        if self.rng.random() >= self.loss:
            delay = self.delay // 2 + round(self.rng.exponential(self.delay / 2))
            self.loop.after(max(1, delay), EventKind.NEWS, self.receive_frame, receiver, frame)

    def receive_frame(self, receiver: int, frame: bytes) -> None:
        """Decodes a frame at a gateway that is up."""
        self.received_bytes[receiver] += len(frame) + HEADERS
        if self.up[receiver]:
            with self.measured(receiver):
                [message] = unpack(frame).messages
            self.receive(receiver, message)

    def receive(self, receiver: int, message: Any) -> None:
        """Passes a message to the state machine that it is for, and sends the replies."""
        if not self.up[receiver]:
            return
        now = self.clock(receiver)
        random_value = float(self.rng.random())
        replies: list[tuple[int, Any]] = []
        broadcast: holder.OutgoingMessages = ()
        contender = self.contenders[receiver]
        with self.measured(receiver):
            match message:
                case Ask():
                    self.votes[receiver], reply = voter.on_ask(self.votes[receiver], now, message, LENGTHS, receiver)
                    replies = [(message.gateway, reply)]
                case Release():
                    self.votes[receiver], hint = voter.on_release(self.votes[receiver], now, message, receiver)
                    replies = [hint] if hint else []
                case Grant():
                    self.contenders[receiver] = holder.on_grant(contender, now, message, LENGTHS)
                case Refusal():
                    self.contenders[receiver], broadcast = holder.on_refusal(
                        contender, now, message, LENGTHS, 0, random_value
                    )
                case VoteFreed():
                    self.contenders[receiver] = holder.on_free(contender, now, message)
        for target, reply in replies:
            self.send(receiver, target, reply)
        self.broadcast(receiver, broadcast)
        self.schedule_timer(receiver)

    def broadcast(self, sender: int, messages: holder.OutgoingMessages) -> None:
        """Sends messages to all voters."""
        for message in messages:
            for receiver in range(self.voters):
                self.send(sender, receiver, message)

    # Timers

    def schedule_timer(self, gateway: int) -> None:
        """Schedules the wake-up that a contender asks for, unless it is later than MAX_TIMER."""
        contender = self.contenders[gateway]
        on_own_clock = contender.wake - self.clock(gateway)
        delay = max(1, on_own_clock * 1000 // int(self.clock_rates[gateway]) + 1)
        if delay < MAX_TIMER:
            self.loop.after(delay, EventKind.TIMER, self.fire_timer, gateway, contender.life)

    def fire_timer(self, gateway: int, life: int) -> None:
        """Wakes a contender if it is due and has not restarted since."""
        if not self.up[gateway] or self.contenders[gateway].life != life:
            return
        now = self.clock(gateway)
        if now < self.contenders[gateway].wake:
            return
        random_value = float(self.rng.random())
        with self.measured(gateway):
            self.contenders[gateway], messages = holder.on_timer(
                self.contenders[gateway], now, LENGTHS, 0, random_value
            )
        self.broadcast(gateway, messages)
        self.schedule_timer(gateway)

    # Measurements and faults

    def holding(self) -> list[int]:
        """The gateways that hold the lease now, by their own clocks."""
        return [
            gateway
            for gateway in range(self.voters)
            if self.up[gateway] and self.contenders[gateway].holds(self.clock(gateway))
        ]

    def sample(self) -> None:
        """Records who holds, and schedules the next sample."""
        holding = self.holding()
        self.samples += 1
        self.held_samples += bool(holding)
        self.overlaps += len(holding) > 1
        if holding and self.dead_since is not None:
            self.waits.append((self.loop.now - self.dead_since) / SECOND)
            self.dead_since = None
        self.loop.after(SAMPLE_PERIOD, EventKind.MEASUREMENT, self.sample)

    def kill_holder(self, period: int) -> None:
        """Kills the holder, which restarts with no state after RESTART_DELAY; schedules the next kill."""
        holding = self.holding()
        if holding:
            killed = holding[0]
            self.dead_since = self.loop.now
            self.up[killed] = False
            self.loop.after(RESTART_DELAY, EventKind.FAULT, self.restart, killed)
        self.loop.after(period, EventKind.FAULT, self.kill_holder, period)

    def restart(self, gateway: int) -> None:
        """Starts a gateway with new state; as a voter it abstains at first."""
        self.up[gateway] = True
        self.contenders[gateway] = self.new_contender(gateway)
        self.votes[gateway] = voter.initial_vote(self.clock(gateway), LENGTHS, self.loop.now)
        self.schedule_timer(gateway)

    def run(self, seconds: int, kill_every: int) -> Result:
        """Runs for some seconds; kills the holder every `kill_every` tenths of a millisecond, never if that is 0."""
        for gateway in range(self.voters):
            self.fire_timer(gateway, self.contenders[gateway].life)
        self.sample()
        if kill_every:
            self.loop.after(kill_every, EventKind.FAULT, self.kill_holder, kill_every)
        self.loop.run(self.loop.now + seconds * SECOND)
        watchers = self.sent[self.voters :]
        return Result(
            gateways=self.gateways,
            voters=self.voters,
            loss=self.loss,
            seed=self.seed,
            frames=self.frames / seconds,
            frames_of_a_watcher=sum(watchers) / len(watchers) / seconds if watchers else 0.0,
            held=self.held_samples / self.samples,
            overlaps=self.overlaps,
            waits=tuple(self.waits),
            state_bytes=self._state_bytes(),
            sent_bytes=max(self.sent_bytes) / seconds,
            received_bytes=max(self.received_bytes) / seconds,
            processor=max(self.processor_ns) / 1e9 / seconds,
        )

    def _state_bytes(self) -> int:
        size = sum(map(sys.getsizeof, self.votes))
        for contender in self.contenders:
            size += sum(map(sys.getsizeof, (contender, contender.grants, contender.voters)))
        return size
