"""`python -m oakfork.lab.scale.traced_gateway` serves as `python -m oakfork` does and records the time of each RPC.

The program is not changed: some of its functions are wrapped from outside, by functions that take the time and call the
original. An RPC is in one part at a time, so its parts add up to what the gateway saw of it: from receiving its last
byte until its answer is passed to the socket. Its record is written as one JSON line to the file that OAKFORK_TRACE
names, once the gateway has ended (SIGTERM). Times are nanoseconds of time.perf_counter_ns, which is one clock for all
processes of a machine.
"""

import functools
import json
import os
import sys
from contextvars import ContextVar
from time import perf_counter_ns
from typing import Any, Callable, Generator, Iterator, NamedTuple

from oakfork.lab.scale.trace_records import (
    ADMISSION,
    ASK,
    CONNECTION,
    DECISION,
    LOOK,
    PACE,
    QUEUE,
    START,
    WAY_BACK,
    Record,
)

MAX_RECORDS = 20_000  # RPCs beyond them are served and counted only
FILE_VARIABLE = "OAKFORK_TRACE"  # names the file to write

Wrapper = Callable[[Callable[..., Any]], Callable[..., Any]]


class CallOutTrace:
    """A call-out in its own task."""

    __slots__ = ("record", "written")

    def __init__(self, record: Record) -> None:
        self.record = record
        self.written = False  # whether it was about to be written


class WrappedFunction(NamedTuple):
    """A function of the program and what it is replaced by."""

    owner: type
    name: str
    wrap: Wrapper


class Trace:
    """The records of the gateway's RPCs, at most MAX_RECORDS, and the functions that make them."""

    def __init__(self) -> None:
        self.records: dict[bytes, Record] = {}  # by X-Txn
        self.missed = 0  # RPCs beyond MAX_RECORDS
        self.index_table: Any = None  # of the decision loop: leads from the module's index of an RPC to its exchange
        self.call_out: ContextVar[CallOutTrace | None] = ContextVar("call_out", default=None)
        # Asks whose frame has not left yet, by owner and serial
        self.waiting_asks: dict[tuple[int, int], Record] = {}
        # When an ask of a peer was received, by peer and serial, until the frame with its answer leaves
        self.unanswered_asks: dict[tuple[int, int], int] = {}
        self.served: list[int] = []  # nanoseconds that asks of peers took; at most MAX_RECORDS
        self.answering: tuple[Record, int] | None = None  # with its status, until the answer is passed to the socket

    def record_of(self, index: int) -> Record | None:
        """The record of the RPC with that index in the module."""
        rpc_entry = self.index_table.rpc_entries[index] if self.index_table else None
        return getattr(rpc_entry.external_id, "record", None) if rpc_entry else None

    def lines(self) -> Iterator[str]:
        """The lines of the file: one for each record, and one with the counts."""
        for record in self.records.values():
            yield json.dumps(record.as_dict())
        yield json.dumps({"missed": self.missed, "served": self.served})

    def wrapped_functions(self) -> list[WrappedFunction]:
        """The functions that are wrapped, each with its wrapper."""
        from oakfork.decision.quotas import Quotas
        from oakfork.decision.rpcs import DecisionModule
        from oakfork.sockets.client_connection import ClientConnection
        from oakfork.sockets.decision_loop import DecisionLoop
        from oakfork.sockets.exchange import Exchange
        from oakfork.sockets.http_connection import HttpConnection
        from oakfork.sockets.peers import PeerSocket
        from oakfork.sockets.server_connections import ServerConnections

        return [
            WrappedFunction(HttpConnection, "fill", self._wrap_fill),
            WrappedFunction(ClientConnection, "_take", self._wrap_client_take),
            WrappedFunction(DecisionLoop, "_take", self._wrap_loop_take),
            WrappedFunction(Quotas, "admit", self._wrap_generator(ADMISSION, PACE)),
            WrappedFunction(PeerSocket, "tell", self._wrap_tell),
            WrappedFunction(Quotas, "received", self._wrap_received),
            WrappedFunction(DecisionModule, "_probe_and_choose", self._wrap_generator(DECISION, LOOK)),
            WrappedFunction(DecisionLoop, "_send", self._wrap_send),
            WrappedFunction(DecisionLoop, "_call_out", self._wrap_call_out),
            WrappedFunction(ServerConnections, "_new", self._wrap_new),
            WrappedFunction(ServerConnections, "call", self._wrap_call),
            WrappedFunction(HttpConnection, "write", self._wrap_write),
            WrappedFunction(DecisionLoop, "_finish", self._wrap_finish),
            WrappedFunction(Exchange, "answer", self._wrap_answer),
            WrappedFunction(HttpConnection, "_push", self._wrap_push),
        ]

    def install(self) -> None:
        """Replaces the functions of the program."""
        for owner, name, wrap in self.wrapped_functions():
            original = owner.__dict__[name]
            setattr(owner, name, functools.wraps(original)(wrap(original)))

    # The wrappers, in the order in which an RPC passes through them

    @staticmethod
    def _wrap_fill(original: Callable) -> Callable:
        async def fill(connection: Any) -> bool:
            received = await original(connection)
            connection.filled = perf_counter_ns()
            return received

        return fill

    def _wrap_client_take(self, original: Callable) -> Callable:
        """Parse: from receiving the last bytes until the decision loop's queue has the RPC."""

        def take(client: Any, message: Any) -> None:
            original(client, message)
            exchange = client.exchange
            if exchange is None or hasattr(exchange, "record"):  # answered at once, or recorded already
                return
            if len(self.records) >= MAX_RECORDS:
                self.missed += 1
                exchange.record = None
                return
            record = Record(exchange.id.decode("latin-1"), getattr(client.link, "filled", perf_counter_ns()))
            self.records[exchange.id] = record
            exchange.record = record
            record.enter(QUEUE)

        return take

    def _wrap_loop_take(self, original: Callable) -> Callable:
        def take(decision_loop: Any, event: Any) -> None:
            self.index_table = decision_loop.index_table
            if record := getattr(getattr(event, "exchange", None), "record", None):  # RpcReceived, ClientLeft, ...
                record.enter(DECISION)
            original(decision_loop, event)

        return take

    def _wrap_generator(self, running: int, waiting: int) -> Wrapper:
        """For a generator of the module: counts as one part while it runs and as another while it waits.

        An ask waits for the pace of frames first, and counts as the ask once its frame has left.
        """
        from oakfork.peer_codec import Answer

        def wrap(original: Callable) -> Callable:
            def generator(module: Any, rpc: Any, *args: Any) -> Generator:
                record = self.record_of(rpc.request.rpc)
                if record is None:
                    return (yield from original(module, rpc, *args))
                run = original(module, rpc, *args)
                value = None
                key = None
                record.enter(running)
                try:
                    while True:
                        until = run.send(value)
                        if waiting == PACE:
                            key = module.owner(rpc.request)[0], rpc.ask_serial
                            self.waiting_asks[key] = record
                            record.asks += 1
                        record.enter(waiting)
                        value = yield until
                        record.replies += isinstance(value, Answer)
                        record.enter(running)
                except StopIteration as end:
                    return end.value
                finally:
                    run.close()
                    self.waiting_asks.pop(key, None)
                    record.enter(DECISION)

            return generator

        return wrap

    def _wrap_tell(self, original: Callable) -> Callable:
        from oakfork.peer_codec import Answer, Ask, unpack

        def tell(peers: Any, peer: int, data: bytes) -> None:
            frame = unpack(data)
            for item in frame.items if frame else ():
                if isinstance(item, Ask) and (record := self.waiting_asks.pop((peer, item.serial), None)):
                    record.enter(ASK)
                elif isinstance(item, Answer) and (since := self.unanswered_asks.pop((peer, item.serial), 0)):
                    self.served.append(perf_counter_ns() - since)
            original(peers, peer, data)

        return tell

    def _wrap_received(self, original: Callable) -> Callable:
        """For an ask of a peer: its time is from when the module handles it until the frame with its answer leaves."""
        from oakfork.peer_codec import Ask

        def received(quotas: Any, sender: int, item: Any) -> Any:
            if isinstance(item, Ask) and len(self.served) + len(self.unanswered_asks) < MAX_RECORDS:
                self.unanswered_asks.setdefault((sender, item.serial), perf_counter_ns())
            return original(quotas, sender, item)

        return received

    def _wrap_send(self, original: Callable) -> Callable:
        """Start: from the command to send until the first byte is about to be written, without a new connection."""

        def send(decision_loop: Any, command: Any) -> None:
            rpc_entry = decision_loop.index_table.rpc_entries[command.rpc]
            before = rpc_entry.open_call_outs
            original(decision_loop, command)
            if rpc_entry.open_call_outs > before and (record := getattr(rpc_entry.external_id, "record", None)):
                record.enter(START)

        return send

    def _wrap_call_out(self, original: Callable) -> Callable:
        async def call_out(decision_loop: Any, exchange: Any, *args: Any) -> None:
            if record := getattr(exchange, "record", None):
                self.call_out.set(CallOutTrace(record))  # of this task only
            await original(decision_loop, exchange, *args)

        return call_out

    def _wrap_new(self, original: Callable) -> Callable:
        async def new(servers: Any, *args: Any) -> Any:
            if (call_out := self.call_out.get()) is None:
                return await original(servers, *args)
            call_out.record.connections += 1
            call_out.record.enter(CONNECTION)
            try:
                return await original(servers, *args)
            finally:
                call_out.record.enter(START)

        return new

    def _wrap_write(self, original: Callable) -> Callable:
        async def write(connection: Any, *args: Any) -> None:
            if call_out := self.call_out.get():
                call_out.written = True
                call_out.record.begin_call_out()
            await original(connection, *args)

        return write

    def _wrap_call(self, original: Callable) -> Callable:
        """Call-out: from the first byte about to be written until the whole answer is read, or fails.

        Once the answer is read, the time counts as the way back.
        """

        async def call(servers: Any, *args: Any, **keywords: Any) -> Any:
            if (call_out := self.call_out.get()) is None:
                return await original(servers, *args, **keywords)
            answered = False
            try:
                result = await original(servers, *args, **keywords)
                answered = result[0].name == "ANSWERED"
                return result
            finally:
                if call_out.written:
                    call_out.record.end_call_out(answered)
                else:
                    call_out.record.enter(QUEUE)

        return call

    def _wrap_finish(self, original: Callable) -> Callable:
        def finish(decision_loop: Any, rpc: int, answer: Any) -> None:
            if record := self.record_of(rpc):
                record.enter(WAY_BACK)
            original(decision_loop, rpc, answer)

        return finish

    def _wrap_answer(self, original: Callable) -> Callable:
        def answer(exchange: Any, response: Any) -> None:
            record = getattr(exchange, "record", None)
            if record is None:
                return original(exchange, response)
            self.answering = record, response.status
            try:
                original(exchange, response)
            finally:
                self.answering = None
                record.end(None)  # has no effect if the answer was passed to a socket

        return answer

    def _wrap_push(self, original: Callable) -> Callable:
        """Ends the record just before the socket gets the answer: no byte of it can reach the client earlier."""

        def push(connection: Any, unsent: Any) -> Any:
            if self.answering:
                record, status = self.answering
                self.answering = None
                record.end(status)
            return original(connection, unsent)

        return push


def main() -> None:
    """Serves as the program does and writes the records at the end."""
    from oakfork import early_signals

    early_signals.install_handlers()
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        sys.exit(f"environment variable {FILE_VARIABLE} names no file to write the trace to")
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
