"""The one task that owns the decision module, its clock and its timers. Others reach it through a queue only."""

import heapq
import math
import time
from collections import deque
from typing import TYPE_CHECKING, Any, Mapping, Sequence

import trio
from structlog.stdlib import BoundLogger

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.errors import ConfigurationError
from oakfork.index_table import IndexTable
from oakfork.sockets.configuration import Address, GatewayConfiguration, parse_address
from oakfork.sockets.counter_client import CounterClient
from oakfork.sockets.discovery import DiscoveryClient, server_rows
from oakfork.sockets.exchange import Answer, CallOut, Exchange
from oakfork.sockets.messages import CallOutFinished, ClientLeft, LoopEvent, RpcReceived, ServersListed, enqueue
from oakfork.sockets.outcomes import STATUS_OF_OUTCOME, Outcome
from oakfork.sockets.peers import PeerSocket
from oakfork.sockets.server_connections import ServerConnections

if TYPE_CHECKING:
    from oakfork.contracts.runner import Contracts

TOO_SHORT = 5  # tenths of a millisecond: less than a sleep and its wake-up take on a busy machine
STATES = {
    "up": interface.ServerState.READY,
    "draining": interface.ServerState.DRAINING,
    "removed": interface.ServerState.GONE,
}


class DecisionLoop:
    """Turns what it is told into events, and the module's commands into work of other tasks."""

    def __init__(
        self,
        here: GatewayConfiguration,
        inbox: trio.MemoryReceiveChannel[LoopEvent],
        queue: trio.MemorySendChannel[LoopEvent],
        servers: ServerConnections,
        discovery: DiscoveryClient,
        peers: PeerSocket | None,
        counter: CounterClient | None,
        nursery: trio.Nursery,
        log: BoundLogger,
        contracts: "Contracts | None" = None,
    ) -> None:
        self.contracts = contracts  # who says what is reserved; None where there are none
        self.here, self.inbox, self.queue, self.servers = here, inbox, queue, servers
        self.discovery, self.peers, self.counter, self.nursery, self.log = discovery, peers, counter, nursery, log
        self.epoch = time.time() - trio.current_time()  # the module's clock counts as Unix time does
        self.index_table: IndexTable[Exchange, str] = IndexTable()
        self.starts: list[tuple[Address, int]] = []  # by the server's index: where and since when it runs
        self.wakes: list[tuple[int, int]] = []  # when, token; emptied as they come
        self.alarm = trio.CancelScope()  # comes when the first of them is due
        self.latest = 0
        self.grain = 2 * here.tick
        self.own: deque[interface.Event] = deque()  # events that the commands themselves cause
        self.with_load = here.settings.load_report_mode == "on_probe"
        self.module = DecisionModule(here.settings, self.now())
        self._handle(interface.ServerList(True, False, self._entries(server_rows(here.known))))
        self._count_ready()

    def _real(self) -> int:
        return int((trio.current_time() + self.epoch) * 10_000)

    def now(self) -> int:
        """The module's clock; it never goes back behind a timer that came early."""
        self.latest = max(self.latest, self._real())
        return self.latest

    async def run(self) -> None:
        self._wake()
        async for told in self.inbox:
            while True:  # all that is there, with one turn of the scheduler
                if told is not None:
                    try:
                        self._take(told)
                    except Exception:  # what fails over one of them costs no other
                        self.log.exception("the keeper failed", told_type=type(told).__name__)
                try:
                    told = self.inbox.receive_nowait()
                except trio.WouldBlock:
                    break
            self._wake()

    async def tick(self) -> None:
        """Says through the queue that a timer is due."""
        while True:
            with self.alarm:
                await trio.sleep_forever()
            self.alarm = trio.CancelScope()  # the keeper sets it anew
            enqueue(self.queue, None)

    def _wake(self) -> None:
        """Brings the timers that are due. One due within TOO_SHORT comes now, with the clock set to its time; one that
        nothing else wakes the keeper for waits for company, two of the settings' ticks at most."""
        while self.wakes and self.wakes[0][0] <= self._real() + TOO_SHORT:
            due, token = heapq.heappop(self.wakes)
            if self.wakes and self.wakes[0][1] == token and self.wakes[0][0] <= self._real():
                continue  # the same again
            self.latest = max(self.latest, due)
            self._handle(interface.TimerFired(token))
        self.alarm.deadline = (self.wakes[0][0] + self.grain) / 10_000 - self.epoch if self.wakes else math.inf

    def _take(self, told: LoopEvent) -> None:
        match told:
            case RpcReceived(exchange):
                if self.contracts and not self._reserved(exchange):
                    return
                index = self.index_table.add_rpc(exchange)
                waited = int((trio.current_time() - exchange.received) * 10_000)
                self._handle(
                    interface.RpcArrived(
                        index,
                        exchange.customer,
                        exchange.method,
                        exchange.plan,
                        exchange.units,
                        exchange.first_gateway,
                        exchange.spread,
                        max(0, exchange.time_left - waited),
                        exchange.repeated,
                        exchange.contract is not None,
                    ),
                    index,
                )
            case ClientLeft(exchange):
                self._ended(exchange)
                index = self.index_table.rpcs.get(exchange)
                if index is not None and not self.index_table.rpc_entries[index].answered:
                    self.index_table.rpc_entries[index].answered = True
                    self._handle(interface.ClientDisconnected(index), index)
            case CallOutFinished(exchange, call_out, outcome, message):
                self._call_out_over(exchange, call_out, outcome, message)
            case ServersListed(complete, failed, servers):
                self._handle(interface.ServerList(complete, failed, self._entries(servers)))
                self._count_ready()
            case _:
                self._handle(told)

    def _call_out_over(self, exchange: Exchange, call_out: CallOut, outcome: Outcome, message: Any) -> None:
        index = self.index_table.rpcs[exchange]
        rpc_entry = self.index_table.rpc_entries[index]
        exchange.call_outs.pop(call_out.number, None)
        rpc_entry.open_call_outs -= 1
        if outcome is Outcome.ANSWERED:  # the first answer goes to the client by itself
            self._finish(index, Answer(200, message.body, message.header(b"content-type")))
        elapsed = int((trio.current_time() - call_out.started) * 10_000)
        self._handle(
            interface.CallOutEnded(
                index,
                call_out.number,
                call_out.server,
                elapsed,
                STATUS_OF_OUTCOME[outcome],
                rpc_entry.answered,
                0.0,
                self.servers.load(message),
            ),
            index,
        )

    def _handle(self, event: interface.Event, index: int | None = None) -> None:
        """Has the module decide, and carries out what it says."""
        self.own.append(event)
        touched = [] if index is None else [index]
        while self.own:
            event = self.own.popleft()
            try:
                commands = self.module.handle(self.now(), event)
            except Exception:  # a decision that fails costs its own RPC, not all that this gateway holds
                self.log.exception("the decision module failed", event_type=type(event).__name__)
                commands = [interface.Abort(index)] if index is not None and self.index_table.rpc_entries[index] else []
            for command in commands:
                self._carry_out(command)
                if isinstance(command, (interface.PushBack, interface.Abort)):
                    touched.append(command.rpc)
        for rpc in touched:
            self.index_table.release_rpc(rpc)

    def _carry_out(self, command: interface.Command) -> None:
        """Starts what the command says, without waiting for it."""
        match command:
            case interface.SendCallOut():
                self._send(command)
            case interface.PushBack(rpc, retry_after):
                self._finish(rpc, Answer(503, retry_after=retry_after / 10_000))
            case interface.Abort(rpc):
                self._finish(rpc, Answer(502))
            case interface.CancelCallOut(rpc, number):
                rpc_entry = self.index_table.rpc_entries[rpc]
                if rpc_entry and number in rpc_entry.external_id.call_outs:
                    rpc_entry.external_id.call_outs[number].withdraw()
            case interface.CancelIfUnsent(rpc, number):
                rpc_entry = self.index_table.rpc_entries[rpc]
                if rpc_entry and number in rpc_entry.external_id.call_outs:
                    rpc_entry.external_id.call_outs[number].recall()
            case interface.SetTimer(token, after):
                heapq.heappush(self.wakes, (self.latest + after, token))
            case interface.ProbeServer(server):
                self.nursery.start_soon(self._probe, server)
            case interface.SendPeerFrame(peer, data) if self.peers:
                self.peers.tell(peer, data)
            case interface.SubscribeToList(on):
                self.discovery.subscribe(on)
            case interface.ReadServerList():
                self.nursery.start_soon(self.discovery.read_list_once)
            case interface.CloseIdleConnections(server):
                self.servers.close_idle(server)
            case interface.ForgetServer(server):
                self.servers.close_idle(server)
                self.index_table.forget_server(server)
            case interface.AddToCounter():
                if not self.counter or not self.counter.count(command):
                    self.own.append(interface.CounterReplied(STATUS_OF_OUTCOME[Outcome.NO_ROOM], 0.0, command.name))
            case interface.WriteLog(text):
                self.log.info("note", text=text)

    def _finish(self, rpc: int, answer: Answer) -> None:
        """Only the first answer counts."""
        rpc_entry = self.index_table.rpc_entries[rpc]
        if rpc_entry and not rpc_entry.answered:
            rpc_entry.answered = True
            self._ended(rpc_entry.external_id)
            rpc_entry.external_id.answer(answer)

    def _reserved(self, exchange: Exchange) -> bool:
        """Whether an RPC, a gather of one leg, may go now; otherwise it has been answered."""
        exchange.contract, verdict = self.contracts.admit_rpc(exchange.customer)
        exchange.taken = not verdict.wait
        if verdict.wait:
            exchange.answer(Answer(503, retry_after=max(1.0, math.ceil(verdict.wait / 10_000))))
        return exchange.taken

    def _count_ready(self) -> None:
        if self.contracts:
            self.contracts.set_ready_servers(len(self.module.servers.ready))

    def _ended(self, exchange: Exchange) -> None:
        """Its leg is over; one that was never sent comes back."""
        if self.contracts and exchange.taken:
            exchange.taken = False
            self.contracts.rpc_ended(exchange.contract, exchange.sent > 0)

    def _send(self, command: interface.SendCallOut) -> None:
        rpc, server, until, write_deadline = command
        rpc_entry = self.index_table.rpc_entries[rpc]
        exchange = rpc_entry.external_id
        end = min(exchange.until, until / 10_000 - self.epoch) if until else exchange.until
        # A millisecond more: the module is to hear of it when its deadline is past, not just before.
        call_out = CallOut(
            exchange.sent, server, end + 0.001, write_deadline / 10_000 - self.epoch if write_deadline else math.inf
        )
        exchange.sent += 1
        if rpc_entry.answered or end <= trio.current_time():
            status = STATUS_OF_OUTCOME[Outcome.TOO_LATE]
            self.own.append(
                interface.CallOutEnded(rpc, call_out.number, server, 0, status, rpc_entry.answered, 0.0, ())
            )
            return
        rpc_entry.open_call_outs += 1
        exchange.call_outs[call_out.number] = call_out
        self.nursery.start_soon(self._call_out, exchange, call_out)

    async def _call_out(self, exchange: Exchange, call_out: CallOut) -> None:
        outcome, message = Outcome.GIVEN_UP, None
        with call_out.scope:
            if call_out.scope.deadline <= trio.current_time():
                outcome = Outcome.TOO_LATE
            else:
                outcome, message = await self.servers.call(
                    call_out.server,
                    self.starts[call_out.server][0],
                    lambda: exchange.passed_on(call_out.scope.deadline - trio.current_time()),
                    exchange.message.body,
                    call_out,
                )
        if call_out.scope.cancelled_caught:
            if call_out.begun:
                outcome = Outcome.GIVEN_UP if call_out.withdrawn else Outcome.SILENT
            else:
                outcome = Outcome.TOO_LATE if call_out.withdrawn else Outcome.NEVER_UP
        enqueue(self.queue, CallOutFinished(exchange, call_out, outcome, message))

    async def _probe(self, server: int) -> None:
        started = trio.current_time()
        outcome, message = await self.servers.probe(server, self.starts[server][0], self.with_load)
        elapsed = int((trio.current_time() - started) * 10_000)
        enqueue(
            self.queue,
            interface.ProbeEnded(server, STATUS_OF_OUTCOME[outcome], elapsed, self.servers.load(message, probe=True)),
        )

    def _entries(self, listed: Sequence[Mapping[str, Any]]) -> tuple[interface.ServerEntry, ...]:
        """The entries that make sense; a list with others is used without those."""
        entries = []
        for row in listed:
            try:
                state, name = STATES[row["state"]], str(row["id"])
                place = parse_address(row["addr"]) if row.get("addr") else None
                zone, cell = self.here.names.zones.get(row.get("zone"), 0), int(row.get("cell", 0))
                up_since, weight = int(row.get("started_ms", 0) * 10), float(row.get("weight", 1.0))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError, ConfigurationError):
                self.log.warning("an entry of the server list is not usable", entry=str(row)[:200])
                continue
            if place is None and name not in self.index_table.servers:  # removed before it was known
                continue
            index = self.index_table.server_index(name)
            if index == len(self.starts):
                self.starts.append((place, up_since))
            # Guards against connections to what ran there before: its machine may have gone without a word.
            if state == interface.ServerState.GONE or self.starts[index] != (place or self.starts[index][0], up_since):
                self.servers.close_idle(index)
                self.starts[index] = place or self.starts[index][0], up_since
            external_id = int.from_bytes(name.encode(), "big")
            entries.append(interface.ServerEntry(index, external_id, zone, cell, state, up_since, weight))
        return tuple(entries)
