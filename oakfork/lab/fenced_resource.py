"""A resource protected by fencing tokens, and a check of the acts on it that knows nothing of the gateways' leases.

An act lasts from when it is accepted until its end. It is a fault if acts of different holders overlap, if an act of an
older term follows one of a newer term, and if one term has two holders.
"""

import random
import socket
from collections import Counter
from typing import NamedTuple, Sequence

import trio

from oakfork.fleet import codec
from oakfork.fleet.transport import OUTSIDE_GATEWAY, steady_clock
from oakfork.leases import fence
from oakfork.leases.messages import ActReply, ActRequest, ClockRequest

RECENT = 2_500  # tenths of a millisecond for which the last act names the holder


class AcceptedAct(NamedTuple):
    """One act that the resource accepted. Times are tenths of a millisecond."""

    at: int
    end: int
    gateway: int
    holder: int  # incarnation of the gateway's process
    term: int


class FencedResource:
    """Answers act and clock requests on a socket, and records what it accepts."""

    def __init__(self, sock: socket.socket, seed: int) -> None:
        """`sock` is closed when `run` ends."""
        self.sock = sock
        self.rng = random.Random(seed)
        self.guard = fence.Fence(self.rng.getrandbits(60))
        self.acts: list[AcceptedAct] = []  # grows over one drill
        self.refused: Counter[str] = Counter()  # by verdict
        self.fenced = True  # False: accepts every act

    async def run(self) -> None:
        """Answers requests until it is cancelled."""
        try:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                try:
                    data, source = self.sock.recvfrom(codec.LARGEST + 1)
                except OSError:
                    continue
                frame = codec.unpack(data)
                for message in frame.messages if frame else ():
                    reply = self.reply_to(message)
                    if reply:
                        self.sock.sendto(codec.pack(OUTSIDE_GATEWAY, frame.edition, [reply]), source)
        finally:
            self.sock.close()

    def reply_to(self, message: object) -> object | None:
        """The reply to a message; None for a message that needs none."""
        now = steady_clock()
        if isinstance(message, ClockRequest):
            return fence.clock_reply(self.guard, now, message)
        if not isinstance(message, ActRequest):
            return None
        self.guard, verdict = fence.check_act(self.guard, now, message.life, message.term, message.end)
        if verdict is fence.Verdict.TAKEN or not self.fenced:
            end = max(now, message.end)
            self.acts.append(AcceptedAct(now, end, message.gateway, message.holder, message.term))
        else:
            self.refused[verdict.value] += 1
        verdict_number = list(fence.Verdict).index(verdict)
        return ActReply(message.task, message.number, verdict_number, self.guard.highest, self.guard.life, now)

    def restart(self) -> None:
        """Forgets the terms seen so far; holders see a new incarnation of the resource."""
        self.guard = fence.Fence(self.rng.getrandbits(60))

    def holder(self) -> int | None:
        """The gateway of the last act, if that was accepted within a quarter of a second."""
        if self.acts and steady_clock() - self.acts[-1].at < RECENT:
            return self.acts[-1].gateway
        return None


def faults(acts: Sequence[AcceptedAct]) -> list[str]:
    """The faults in a sequence of acts, in the order in which they were accepted."""
    found: list[str] = []
    holder_of_term: dict[int, tuple[int, int]] = {}
    highest_term = 0
    last_end = 0
    last_holder: tuple[int, int] | None = None
    for act in acts:
        holder = act.gateway, act.holder
        if last_holder is not None and holder != last_holder and act.at < last_end:
            found.append(f"acts overlap: {holder} at {act.at} while an act of {last_holder} lasts until {last_end}")
        if act.term < highest_term:
            found.append(f"an act of term {act.term} after one of term {highest_term}")
        if holder_of_term.setdefault(act.term, holder) != holder:
            found.append(f"term {act.term} is held by {holder_of_term[act.term]} and by {holder}")
        highest_term = max(highest_term, act.term)
        last_end = max(last_end, act.end) if holder == last_holder else act.end
        last_holder = holder
    return found


def gap(acts: Sequence[AcceptedAct], moment: int, within: int) -> int | None:
    """The longest time between two consecutive acts around a moment, in tenths of a millisecond.

    Counts pairs of which the first act is the last one before the moment or comes at most `within` after it. None if no
    act followed.
    """
    times = [act.at for act in acts]
    first = max((at for at in times if at <= moment), default=moment)
    pairs = [(a, b) for a, b in zip(times, times[1:], strict=False) if first <= a <= moment + within]
    return max((b - a for a, b in pairs), default=None)
