"""`python -m oakfork.lab.scale.traced_gateway` serves as `python -m oakfork` does and records the time of each RPC.

The program is not changed: functions of it are wrapped from outside, which note the time and call what they wrap. An
RPC is in one part at a time, so its parts add up to what the gateway saw of it: from its last byte in hand until its
answer is handed to the socket. Its record is written as one JSON line to the file that OAKFORK_TRACE names, once the
gateway has left (SIGTERM). Times are nanoseconds of time.perf_counter_ns, one clock for all processes of a machine.
"""

import functools
import json
import os
import sys
from contextvars import ContextVar
from time import perf_counter_ns
from typing import Any, Callable, Generator, Iterator, NamedTuple

# In the order in which an RPC that asks goes through them.
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
MOST = 20_000  # records; RPCs beyond them are served and counted only
FILE = "OAKFORK_TRACE"

Wrap = Callable[[Callable[..., Any]], Callable[..., Any]]


class Record:
    """Where the time of one RPC went. It stays in its call-outs while one is out and in the way back to its end."""

    __slots__ = (
        "rpc",
        "begun",
        "since",
        "part",
        "parts",
        "out",
        "asks",
        "replies",
        "call_outs",
        "connections",
        "ended",
        "status",
    )

    def __init__(self, rpc: str, begun: int) -> None:
        self.rpc, self.begun, self.since, self.part = rpc, begun, begun, PARSE
        self.parts = [0] * len(PARTS)
        self.out = self.asks = self.replies = self.call_outs = self.connections = self.ended = 0
        self.status: int | None = None  # None: no answer, or nobody there to be answered

    def to(self, part: int) -> None:
        """From now on its time is that part's."""
        if not self.ended and self.part != WAY_BACK and (not self.out or part == WAY_BACK):
            self._turn(part, perf_counter_ns())

    def _turn(self, part: int, now: int) -> None:
        self.parts[self.part] += now - self.since
        self.since, self.part = now, part

    def written(self) -> None:
        """A call-out is about to be written."""
        self.to(CALL_OUT)
        self.out += 1
        self.call_outs += 1

    def over(self, answered: bool) -> None:
        """A call-out that was written, or came to that, is over."""
        self.out -= 1
        self.to(WAY_BACK if answered else QUEUE)

    def end(self, status: int | None) -> None:
        if not self.ended:
            self.ended = perf_counter_ns()
            self.status = status
            self._turn(self.part, self.ended)

    def told(self) -> dict[str, Any]:
        return {
            name: getattr(self, name)
            for name in ("rpc", "begun", "ended", "status", "asks", "replies", "call_outs", "connections", "parts")
        }


class Leg:
    """A call-out in its own task."""

    __slots__ = ("record", "written")

    def __init__(self, record: Record) -> None:
        self.record, self.written = record, False


class Wrapped(NamedTuple):
    owner: type
    name: str
    wrap: Wrap


class Trace:
    """The records by X-Txn, MOST at most."""

    def __init__(self) -> None:
        self.records: dict[bytes, Record] = {}
        self.missed = 0
        self.index_table: Any = None  # of the keeper: leads from the module's index of an RPC to its exchange
        self.leg: ContextVar[Leg | None] = ContextVar("leg", default=None)
        self.asked: dict[tuple[int, int], Record] = {}  # owner, serial -> whose ask waits; emptied as it leaves
        self.owed: dict[tuple[int, int], int] = {}  # who asks, serial -> since when; emptied as it leaves
        self.served: list[int] = []  # what asks took here, as their owner; MOST at most
        self.answering: tuple[Record, int] | None = None  # with its status, until it is handed to the socket

    def of(self, index: int) -> Record | None:
        rpc_entry = self.index_table.rpc_entries[index] if self.index_table else None
        return getattr(rpc_entry.external_id, "record", None) if rpc_entry else None

    def lines(self) -> Iterator[str]:
        for record in self.records.values():
            yield json.dumps(record.told())
        yield json.dumps({"missed": self.missed, "served": self.served})

    def wraps(self) -> list[Wrapped]:
        """What is wrapped, and how."""
        from oakfork.decision.quotas import Quotas
        from oakfork.decision.rpcs import DecisionModule
        from oakfork.sockets.client_connections import ClientConnection
        from oakfork.sockets.decision_loop import DecisionLoop
        from oakfork.sockets.exchange import Exchange
        from oakfork.sockets.http_connection import HttpConnection
        from oakfork.sockets.peers import PeerSocket
        from oakfork.sockets.server_connections import ServerConnections

        return [
            Wrapped(HttpConnection, "fill", self._fill),
            Wrapped(ClientConnection, "_take", self._client_take),
            Wrapped(DecisionLoop, "_take", self._loop_take),
            Wrapped(Quotas, "admit", self._waits(ADMISSION, PACE)),
            Wrapped(PeerSocket, "tell", self._tell),
            Wrapped(Quotas, "received", self._received),
            Wrapped(DecisionModule, "_probe_and_choose", self._waits(DECISION, LOOK)),
            Wrapped(DecisionLoop, "_send", self._send),
            Wrapped(DecisionLoop, "_call_out", self._call_out),
            Wrapped(ServerConnections, "_new", self._new),
            Wrapped(ServerConnections, "call", self._call),
            Wrapped(HttpConnection, "write", self._write),
            Wrapped(DecisionLoop, "_finish", self._finish),
            Wrapped(Exchange, "answer", self._answer),
            Wrapped(HttpConnection, "_push", self._push),
        ]

    def install(self) -> None:
        for owner, name, wrap in self.wraps():
            original = owner.__dict__[name]
            setattr(owner, name, functools.wraps(original)(wrap(original)))

    # The wraps, in the order of an RPC's way.

    @staticmethod
    def _fill(original: Callable) -> Callable:
        async def fill(link: Any) -> bool:
            more = await original(link)
            link.filled = perf_counter_ns()
            return more

        return fill

    def _client_take(self, original: Callable) -> Callable:
        """Parse: from the last bytes in hand until the RPC has been told to the keeper."""

        def take(client: Any, message: Any) -> None:
            original(client, message)
            exchange = client.exchange
            if exchange is None or hasattr(exchange, "record"):  # answered at once, or there already
                return
            if len(self.records) >= MOST:
                self.missed += 1
                exchange.record = None
                return
            record = Record(exchange.id.decode("latin-1"), getattr(client.link, "filled", perf_counter_ns()))
            exchange.record = self.records[exchange.id] = record
            record.to(QUEUE)

        return take

    def _loop_take(self, original: Callable) -> Callable:
        def take(decision_loop: Any, told: Any) -> None:
            self.index_table = decision_loop.index_table
            if record := getattr(getattr(told, "exchange", None), "record", None):  # RpcReceived, ClientLeft, ...
                record.to(DECISION)
            original(decision_loop, told)

        return take

    def _waits(self, running: int, waiting: int) -> Wrap:
        """A generator of the module: one part while it runs, another while it waits. An ask waits for its frame's pace
        first, and is on its way once that has left."""
        from oakfork.peer_codec import Answer

        def wrap(original: Callable) -> Callable:
            def waits(module: Any, rpc: Any, *args: Any) -> Generator:
                record = self.of(rpc.request.rpc)
                if record is None:
                    return (yield from original(module, rpc, *args))
                run, value, key = original(module, rpc, *args), None, None
                record.to(running)
                try:
                    while True:
                        until = run.send(value)
                        if waiting == PACE:
                            key = module.owner(rpc.request)[0], rpc.ask_serial
                            self.asked[key] = record
                            record.asks += 1
                        record.to(waiting)
                        value = yield until
                        record.replies += isinstance(value, Answer)
                        record.to(running)
                except StopIteration as end:
                    return end.value
                finally:
                    run.close()
                    self.asked.pop(key, None)
                    record.to(DECISION)

            return waits

        return wrap

    def _tell(self, original: Callable) -> Callable:
        from oakfork.peer_codec import Answer, Ask, unpack

        def tell(peers: Any, peer: int, data: bytes) -> None:
            frame = unpack(data)
            for item in frame.items if frame else ():
                if isinstance(item, Ask) and (record := self.asked.pop((peer, item.serial), None)):
                    record.to(ASK)
                elif isinstance(item, Answer) and (since := self.owed.pop((peer, item.serial), 0)):
                    self.served.append(perf_counter_ns() - since)
            original(peers, peer, data)

        return tell

    def _received(self, original: Callable) -> Callable:
        """An ask at its owner: from when the module takes it up until the frame with its answer leaves."""
        from oakfork.peer_codec import Ask

        def received(quotas: Any, sender: int, item: Any) -> Any:
            if isinstance(item, Ask) and len(self.served) + len(self.owed) < MOST:
                self.owed.setdefault((sender, item.serial), perf_counter_ns())
            return original(quotas, sender, item)

        return received

    def _send(self, original: Callable) -> Callable:
        """Start: from the command to send until the first byte is about to be written, but for a new connection."""

        def send(decision_loop: Any, command: Any) -> None:
            rpc_entry = decision_loop.index_table.rpc_entries[command.rpc]
            out = rpc_entry.open_call_outs
            original(decision_loop, command)
            if rpc_entry.open_call_outs > out and (record := getattr(rpc_entry.external_id, "record", None)):
                record.to(START)

        return send

    def _call_out(self, original: Callable) -> Callable:
        async def call_out(decision_loop: Any, exchange: Any, *args: Any) -> None:
            if record := getattr(exchange, "record", None):
                self.leg.set(Leg(record))  # of this task alone
            await original(decision_loop, exchange, *args)

        return call_out

    def _new(self, original: Callable) -> Callable:
        async def new(servers: Any, *args: Any) -> Any:
            if (leg := self.leg.get()) is None:
                return await original(servers, *args)
            leg.record.connections += 1
            leg.record.to(CONNECTION)
            try:
                return await original(servers, *args)
            finally:
                leg.record.to(START)

        return new

    def _write(self, original: Callable) -> Callable:
        async def write(link: Any, *args: Any) -> None:
            if leg := self.leg.get():
                leg.written = True
                leg.record.written()
            await original(link, *args)

        return write

    def _call(self, original: Callable) -> Callable:
        """Call-out: from the first byte about to be written until the whole answer is read, or there will be none.
        From the answer read on it is the way back."""

        async def call(servers: Any, *args: Any, **more: Any) -> Any:
            if (leg := self.leg.get()) is None:
                return await original(servers, *args, **more)
            answered = False
            try:
                ended = await original(servers, *args, **more)
                answered = ended[0].name == "ANSWERED"
                return ended
            finally:
                if leg.written:
                    leg.record.over(answered)
                else:
                    leg.record.to(QUEUE)

        return call

    def _finish(self, original: Callable) -> Callable:
        def finish(decision_loop: Any, rpc: int, answer: Any) -> None:
            if record := self.of(rpc):
                record.to(WAY_BACK)
            original(decision_loop, rpc, answer)

        return finish

    def _answer(self, original: Callable) -> Callable:
        def answer(exchange: Any, given: Any) -> None:
            record = getattr(exchange, "record", None)
            if record is None:
                return original(exchange, given)
            self.answering = record, given.status
            try:
                original(exchange, given)
            finally:
                self.answering = None
                record.end(None)  # unless it has been handed to a socket

        return answer

    def _push(self, original: Callable) -> Callable:
        """The end, just before: nothing of it can be at the client earlier."""

        def push(link: Any, left: Any) -> Any:
            if self.answering:
                record, status = self.answering
                self.answering = None
                record.end(status)
            return original(link, left)

        return push


def main() -> None:
    from oakfork import early_signals

    early_signals.install_handlers()
    path = os.environ.get(FILE)
    if not path:
        sys.exit(f"{FILE} names no file")
    from oakfork.serving import serve

    trace = Trace()
    trace.install()
    try:
        serve()
    finally:
        with open(path, "w", encoding="ascii") as file:
            file.writelines(line + "\n" for line in trace.lines())


if __name__ == "__main__":
    main()
