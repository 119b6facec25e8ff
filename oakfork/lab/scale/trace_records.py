"""The record of where the time of one RPC went, which a traced gateway keeps (traced_gateway.py)."""

from time import perf_counter_ns
from typing import Any

# In the order in which an RPC that asks its owner goes through them. Stored files name the parts so.
PARTS = (
    "parse",
    "queue",
    "decision",
    "admission",
    "pace",
    "ask",
    "look",
    "start",
    "connection",
    "call-out",
    "way back",
)
PARSE, QUEUE, DECISION, ADMISSION, PACE, ASK, LOOK, START, CONNECTION, CALL_OUT, WAY_BACK = range(len(PARTS))


class Record:
    """Where the time of one RPC went.

    Time counts as the call-out while one is open, and as the way back from the answer until the end.
    """

    __slots__ = (
        "rpc",
        "begun",
        "since",
        "part",
        "parts",
        "open_call_outs",
        "asks",
        "replies",
        "call_outs",
        "connections",
        "ended",
        "status",
    )

    def __init__(self, rpc: str, begun: int) -> None:
        self.rpc = rpc
        self.begun = begun
        self.since = begun  # when the current part began
        self.part = PARSE
        self.parts = [0] * len(PARTS)  # nanoseconds by part
        self.open_call_outs = 0
        self.asks = 0
        self.replies = 0
        self.call_outs = 0
        self.connections = 0  # opened for its call-outs
        self.ended = 0  # 0 while it is open
        self.status: int | None = None  # None: no answer, or no client to receive it

    def enter(self, part: int) -> None:
        """Counts the time from now on as that part, unless a call-out is open or the RPC is on its way back."""
        if self.ended or self.part == WAY_BACK:
            return
        if not self.open_call_outs or part == WAY_BACK:
            self._switch(part, perf_counter_ns())

    def _switch(self, part: int, now: int) -> None:
        self.parts[self.part] += now - self.since
        self.since = now
        self.part = part

    def begin_call_out(self) -> None:
        """A call-out is about to be written."""
        self.enter(CALL_OUT)
        self.open_call_outs += 1
        self.call_outs += 1

    def end_call_out(self, answered: bool) -> None:
        """A call-out that was about to be written has ended."""
        self.open_call_outs -= 1
        self.enter(WAY_BACK if answered else QUEUE)

    def end(self, status: int | None) -> None:
        """Ends the record, the first time it is called."""
        if not self.ended:
            self.ended = perf_counter_ns()
            self.status = status
            self._switch(self.part, self.ended)

    def as_dict(self) -> dict[str, Any]:
        """The fields that are written to the file."""
        return {
            name: getattr(self, name)
            for name in ("rpc", "begun", "ended", "status", "asks", "replies", "call_outs", "connections", "parts")
        }
