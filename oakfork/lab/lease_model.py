"""Leases in simulated time, for sizes and lengths of time that processes don't reach: the same machines, links
that lose and delay, voters that restart, holders that are killed. Times are whole tenths of a millisecond. Messages go
as frames (oakfork/fleet/codec.py), so that bytes and processor time are those of real ones, less the system's calls."""

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

EDITION = FleetRevision(1, (1 << 63) - 1, 0)
LENGTHS = LeaseDurations(lease=3 * SECOND, drift=10, act=SECOND // 4, longest=3 * SECOND)


@dataclass(frozen=True, slots=True)
class Result:
    gateways: int
    voters: int
    loss: float
    seed: int
    frames: float  # between gateways, a second, over the whole fleet
    frames_of_a_watcher: float
    held: float  # share of the time in which one holds
    overlaps: int  # instants at which two did
    waits: tuple[float, ...]  # seconds from the death of a holder to the next
    state_bytes: int  # of the machines of the whole fleet
    sent_bytes: float  # a second, with headers, of the voter that sends most
    received_bytes: float  # of the one that gets most
    processor: float  # seconds a second, of the busiest voter: frames read and written, and its machines


class LeaseFleetModel:
    def __init__(self, gateways: int, voters: int, loss: float, seed: int, delay: int = 50) -> None:
        self.gateways, self.loss, self.delay, self.seed = gateways, loss, delay, seed
        self.loop, self.dice = EventLoop(), numpy.random.default_rng(seed)
        self.loop.now = 100 * SECOND
        self.rates = self.dice.integers(990, 1011, voters)  # per mille: each clock's own
        self.voters, self.lives, self.frames, self.sent = voters, 0, 0, [0] * gateways
        self.out, self.came, self.spent = [0] * gateways, [0] * gateways, [0] * gateways  # bytes, bytes, nanoseconds
        self.votes = [voter.Vote(0, 0) for _ in range(voters)]
        self.ones = [self.fresh(me) for me in range(voters)]
        self.up = [True] * voters
        self.overlaps, self.held, self.looks = 0, 0, 0
        self.dead_since: int | None = None
        self.waits: list[float] = []

    def fresh(self, me: int) -> holder.Contender:
        self.lives += 1
        return holder.Contender(me, self.lives, tuple(range(self.voters)))

    def clock(self, me: int) -> int:
        return self.loop.now * int(self.rates[me]) // 1000

    @contextmanager
    def spending(self, me: int) -> Iterator[None]:
        """Processor time of one of them."""
        begun = time.process_time_ns()
        yield
        self.spent[me] += time.process_time_ns() - begun

    def send(self, sender: int, to: int, message: Any) -> None:
        if sender == to:
            self.arrive(to, message)
            return
        with self.spending(sender):
            frame = pack(sender, EDITION, [message])
        self.out[sender] += len(frame) + HEADERS
        self.frames, self.sent[sender] = self.frames + 1, self.sent[sender] + 1
        if self.dice.random() >= self.loss:
            wait = self.delay // 2 + round(self.dice.exponential(self.delay / 2))
            self.loop.after(max(1, wait), EventKind.NEWS, self.read, to, frame)

    def read(self, to: int, frame: bytes) -> None:
        self.came[to] += len(frame) + HEADERS
        if self.up[to]:
            with self.spending(to):
                [message] = unpack(frame).messages
            self.arrive(to, message)

    def arrive(self, to: int, message: Any) -> None:
        if not self.up[to]:
            return
        now, chance = self.clock(to), float(self.dice.random())
        replies: list[tuple[int, Any]] = []
        said: holder.OutgoingMessages = ()
        with self.spending(to):
            match message:
                case Ask():
                    self.votes[to], reply = voter.on_ask(self.votes[to], now, message, LENGTHS, to)
                    replies = [(message.gateway, reply)]
                case Release():
                    self.votes[to], hint = voter.on_release(self.votes[to], now, message, to)
                    replies = [hint] if hint else []
                case Grant():
                    self.ones[to] = holder.on_grant(self.ones[to], now, message, LENGTHS)
                case Refusal():
                    self.ones[to], said = holder.on_refusal(self.ones[to], now, message, LENGTHS, 0, chance)
                case VoteFreed():
                    self.ones[to] = holder.on_free(self.ones[to], now)
        for reply in replies:
            self.send(to, *reply)
        self.say(to, said)
        self.plan(to)

    def say(self, sender: int, said: holder.OutgoingMessages) -> None:
        for message in said:
            for to in range(self.voters):
                self.send(sender, to, message)

    def plan(self, me: int) -> None:
        wait = max(1, (self.ones[me].wake - self.clock(me)) * 1000 // int(self.rates[me]) + 1)
        if wait < 3600 * SECOND:
            self.loop.after(wait, EventKind.TIMER, self.wake, me, self.ones[me].life)

    def wake(self, me: int, life: int) -> None:
        if self.up[me] and self.ones[me].life == life and self.clock(me) >= self.ones[me].wake:
            now, chance = self.clock(me), float(self.dice.random())
            with self.spending(me):
                self.ones[me], said = holder.on_timer(self.ones[me], now, LENGTHS, 0, chance)
            self.say(me, said)
            self.plan(me)

    def holding(self) -> list[int]:
        return [me for me in range(self.voters) if self.up[me] and self.ones[me].holds(self.clock(me))]

    def look(self) -> None:
        holding = self.holding()
        self.looks, self.held = self.looks + 1, self.held + bool(holding)
        self.overlaps += len(holding) > 1
        if holding and self.dead_since is not None:
            self.waits.append((self.loop.now - self.dead_since) / SECOND)
            self.dead_since = None
        self.loop.after(SECOND // 50, EventKind.LOOK, self.look)

    def kill_holder(self, every: int) -> None:
        """It is back after a second with nothing."""
        if holding := self.holding():
            me, self.dead_since = holding[0], self.loop.now
            self.up[me] = False
            self.loop.after(SECOND, EventKind.FAULT, self.back, me)
        self.loop.after(every, EventKind.FAULT, self.kill_holder, every)

    def back(self, me: int) -> None:
        self.up[me], self.ones[me] = True, self.fresh(me)
        self.votes[me] = voter.initial_vote(self.clock(me), LENGTHS, self.loop.now)
        self.plan(me)

    def run(self, seconds: int, kill_every: int) -> Result:
        for me in range(self.voters):
            self.wake(me, self.ones[me].life)
        self.look()
        if kill_every:
            self.loop.after(kill_every, EventKind.FAULT, self.kill_holder, kill_every)
        self.loop.run(self.loop.now + seconds * SECOND)
        size = sum(sys.getsizeof(one) + sys.getsizeof(one.grants) + sys.getsizeof(one.voters) for one in self.ones)
        size += sum(map(sys.getsizeof, self.votes))
        watchers = self.sent[self.voters :]
        return Result(
            self.gateways,
            self.voters,
            self.loss,
            self.seed,
            self.frames / seconds,
            sum(watchers) / len(watchers) / seconds if watchers else 0.0,
            self.held / self.looks,
            self.overlaps,
            tuple(self.waits),
            size,
            max(self.out) / seconds,
            max(self.came) / seconds,
            max(self.spent) / 1e9 / seconds,
        )
