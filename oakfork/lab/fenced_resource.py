"""What is acted upon in a drill, and the judge of it: knows nothing of who believes to hold a lease.

An act begins when it is taken, and ends at its end. Two acts of different holders that overlap, an act of an older term
after one of a newer, or one term of two holders is a fault.
"""

import random
import socket
from collections import Counter
from typing import NamedTuple

import trio

from oakfork.fleet import codec
from oakfork.fleet.transport import OUTSIDE_GATEWAY, steady_clock
from oakfork.leases import fence
from oakfork.leases.messages import ActReply, ActRequest, ClockRequest


class AcceptedAct(NamedTuple):
    at: int  # tenths of a millisecond
    end: int
    gateway: int
    holder: int  # its life
    term: int


class FencedResource:
    def __init__(self, sock: socket.socket, seed: int) -> None:
        self.sock, self.dice = sock, random.Random(seed)
        self.guard = fence.Fence(self.dice.getrandbits(60))
        self.acts: list[AcceptedAct] = []  # as many as acts of one drill
        self.refused: Counter[str] = Counter()
        self.fenced = True  # a variant of the drill takes what comes

    async def run(self) -> None:
        try:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                try:
                    data, place = self.sock.recvfrom(codec.LARGEST + 1)
                except OSError:
                    continue
                frame = codec.unpack(data)
                for message in frame.messages if frame else ():
                    if reply := self.take(message):
                        self.sock.sendto(codec.pack(OUTSIDE_GATEWAY, frame.edition, [reply]), place)
        finally:
            self.sock.close()

    def take(self, message: object) -> object | None:
        now = steady_clock()
        if isinstance(message, ClockRequest):
            return fence.clock_reply(self.guard, now, message)
        if not isinstance(message, ActRequest):
            return None
        self.guard, verdict = fence.check_act(self.guard, now, message.life, message.term, message.end)
        if verdict is fence.Verdict.TAKEN or not self.fenced:
            self.acts.append(AcceptedAct(now, max(now, message.end), message.gateway, message.holder, message.term))
        else:
            self.refused[verdict.value] += 1
        return ActReply(
            message.task, message.number, list(fence.Verdict).index(verdict), self.guard.highest, self.guard.life, now
        )

    def restart(self) -> None:
        """It forgets the terms it has seen, and is another to the holders."""
        self.guard = fence.Fence(self.dice.getrandbits(60))

    def holder(self) -> int | None:
        """Who acted within the last quarter of a second."""
        recent = [act.gateway for act in self.acts[-1:] if steady_clock() - act.at < 2_500]
        return recent[0] if recent else None


def faults(acts: list[AcceptedAct]) -> list[str]:
    """What is wrong with a list of acts, in the order in which they were taken."""
    found, highest, who, last_end, last = [], 0, {}, 0, None
    for act in acts:
        holder = act.gateway, act.holder
        if last is not None and holder != last and act.at < last_end:
            found.append(f"acts overlap: {holder} at {act.at} while an act of {last} lasts until {last_end}")
        if act.term < highest:
            found.append(f"an act of term {act.term} after one of term {highest}")
        if who.setdefault(act.term, holder) != holder:
            found.append(f"term {act.term} is held by {who[act.term]} and by {holder}")
        highest = max(highest, act.term)
        last_end = max(last_end, act.end) if holder == last else act.end
        last = holder
    return found


def gap(acts: list[AcceptedAct], moment: int, within: int) -> int | None:
    """The longest time between two acts, one after the other, of which the first is the last before a moment or comes
    `within` that time after it; in tenths of a millisecond. None where no act followed."""
    times = [act.at for act in acts]
    first = max((at for at in times if at <= moment), default=moment)
    pairs = [(a, b) for a, b in zip(times, times[1:], strict=False) if first <= a <= moment + within]
    return max((b - a for a, b in pairs), default=None)
