"""The one task that owns the decision module, its clock and its timers; other tasks reach it through a queue only."""

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
from oakfork.sockets.http_connection import HttpMessage
from oakfork.sockets.messages import CallOutFinished, ClientLeft, LoopEvent, RpcReceived, ServersListed, enqueue
from oakfork.sockets.outcomes import STATUS_OF_OUTCOME, Outcome
from oakfork.sockets.peers import PeerSocket
from oakfork.sockets.server_connections import ServerConnections
from oakfork.sockets.zone_indices import ServerAddresses, ZoneIndices

if TYPE_CHECKING:
    from oakfork.contracts.runner import Contracts

# Tenths of a millisecond; a timer that is due sooner fires at once, since a sleep and its wake-up take longer on a busy
# machine.
MIN_SLEEP = 5
MAX_LOGGED_ZONES = 16  # names in one log line
MAX_LOGGED_SERVERS = 16  # likewise
STATE_OF_NAME = {
    "up": interface.ServerState.READY,
    "draining": interface.ServerState.DRAINING,
    "removed": interface.ServerState.GONE,
}


class DecisionLoop:
    """Turns queued messages into events of the module, and the module's commands into work of other tasks."""

    def __init__(
        self,
        configuration: GatewayConfiguration,
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
        self.contracts = contracts  # admits RPCs by reserved capacity; None where there are no contracts
        self.configuration = configuration
        self.inbox = inbox
        self.queue = queue  # whose receiving end is the inbox
        self.servers = servers
        self.discovery = discovery
        self.peers = peers
        self.counter = counter
        self.nursery = nursery
        self.log = log
        self.epoch = time.time() - trio.current_time()  # the module's clock counts as Unix time does
        self.index_table: IndexTable[Exchange, str] = IndexTable()
        self.starts: list[tuple[Address, int]] = []  # by the server's index: its address and since when it runs
        self.timers: list[tuple[int, int]] = []  # a heap: when a timer is due, on the module's clock, and its token
        self.alarm = trio.CancelScope()  # its deadline is when the first timer is due
        self.latest = 0  # the highest time that the module's clock has shown
        self.max_timer_delay = 2 * configuration.tick
        self.own_events: deque[interface.Event] = deque()  # caused by the commands themselves; not handled yet
        self.zones = ZoneIndices(configuration.names.zones)
        self.probes_with_load = configuration.settings.load_report_mode == "on_probe"
        self.module = DecisionModule(configuration.settings, self.now())
        self.server_addresses = ServerAddresses()
        self._handle(interface.ServerList(True, False, self._entries(True, server_rows(configuration.known))))
        self._count_ready()

    def _wall_clock(self) -> int:
        """Unix time in tenths of a millisecond."""
        return int((trio.current_time() + self.epoch) * 10_000)

    def now(self) -> int:
        """The module's clock, in tenths of a millisecond; it never goes back behind a timer that fired early."""
        self.latest = max(self.latest, self._wall_clock())
        return self.latest

    async def run(self) -> None:
        """Handles queued messages and timers for good."""
        self._fire_timers()
        async for message in self.inbox:
            while True:  # all that is queued, in one turn of the scheduler
                if message is not None:
                    try:
                        self._take(message)
                    except Exception:  # a message that fails must not cost the others
                        self.log.exception("message handling failed", told_type=type(message).__name__)
                try:
                    message = self.inbox.receive_nowait()
                except trio.WouldBlock:
                    break
            self._fire_timers()

    async def tick(self) -> None:
        """Queues a wake-up whenever a timer is due."""
        while True:
            with self.alarm:
                await trio.sleep_forever()
            self.alarm = trio.CancelScope()  # _fire_timers sets its deadline
            enqueue(self.queue, None)

    def _fire_timers(self) -> None:
        """Fires the timers that are due.

        A timer that is due within MIN_SLEEP fires now, with the clock set to its time. One for which nothing else wakes
        the loop is delayed so that several can fire together, by two of the settings' ticks at most.
        """
        while self.timers and self.timers[0][0] <= self._wall_clock() + MIN_SLEEP:
            due, token = heapq.heappop(self.timers)
            if self.timers and self.timers[0][1] == token and self.timers[0][0] <= self._wall_clock():
                continue  # the same timer is due again at once
            self.latest = max(self.latest, due)
            self._handle(interface.TimerFired(token))
        if self.timers:
            self.alarm.deadline = (self.timers[0][0] + self.max_timer_delay) / 10_000 - self.epoch
        else:
            self.alarm.deadline = math.inf

    def _take(self, message: LoopEvent) -> None:
        match message:
            case RpcReceived(exchange):
                self._rpc_received(exchange)
            case ClientLeft(exchange):
                self._release_leg(exchange)
                index = self.index_table.rpcs.get(exchange)
                if index is not None and not self.index_table.rpc_entries[index].answered:
                    self.index_table.rpc_entries[index].answered = True
                    self._handle(interface.ClientDisconnected(index), index)
            case CallOutFinished(exchange, call_out, outcome, answer):
                self._call_out_finished(exchange, call_out, outcome, answer)
            case ServersListed(complete, failed, servers):
                self._handle(interface.ServerList(complete, failed, self._entries(complete, servers)))
                self._count_ready()
            case _:
                self._handle(message)

    def _rpc_received(self, exchange: Exchange) -> None:
        if self.contracts and not self._admit(exchange):
            return
        index = self.index_table.add_rpc(exchange)
        waited = int((trio.current_time() - exchange.received) * 10_000)
        event = interface.RpcArrived(
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
            exchange.repeats_run,
        )
        self._handle(event, index)

    def _call_out_finished(
        self, exchange: Exchange, call_out: CallOut, outcome: Outcome, message: HttpMessage | None
    ) -> None:
        index = self.index_table.rpcs[exchange]
        rpc_entry = self.index_table.rpc_entries[index]
        exchange.call_outs.pop(call_out.number, None)
        exchange.may_have_run = exchange.may_have_run or STATUS_OF_OUTCOME[outcome] not in interface.NEVER_RAN
        rpc_entry.open_call_outs -= 1
        if outcome is Outcome.ANSWERED:  # the first answer goes to the client without a decision of the module
            self._finish(index, Answer(200, message.body, message.header(b"content-type")))
        elapsed = int((trio.current_time() - call_out.started) * 10_000)
        event = interface.CallOutEnded(
            index,
            call_out.number,
            call_out.server,
            elapsed,
            STATUS_OF_OUTCOME[outcome],
            rpc_entry.answered,
            0.0,
            self.servers.load(message),
        )
        self._handle(event, index)

    def _handle(self, event: interface.Event, index: int | None = None) -> None:
        """Has the module decide on an event, of the RPC with that index if one is given, and carries out its commands.

        Events that the commands cause are handled too. The indices of RPCs that are over are released at the end.
        """
        self.own_events.append(event)
        touched = [] if index is None else [index]
        while self.own_events:
            event = self.own_events.popleft()
            for command in self._decide(event, index):
                self._carry_out(command)
                if isinstance(command, (interface.PushBack, interface.Abort)):
                    touched.append(command.rpc)
        for rpc in touched:
            self.index_table.release_rpc(rpc)

    def _decide(self, event: interface.Event, index: int | None) -> Sequence[interface.Command]:
        """The module's commands for an event. A decision that fails aborts its own RPC and costs no other."""
        try:
            return self.module.handle(self.now(), event)
        except Exception:
            self.log.exception("the decision module failed", event_type=type(event).__name__)
            if index is not None and self.index_table.rpc_entries[index]:
                return [interface.Abort(index)]
            return []

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
                if call_out := self._open_call_out(rpc, number):
                    call_out.withdraw()
            case interface.CancelIfUnsent(rpc, number):
                if call_out := self._open_call_out(rpc, number):
                    call_out.withdraw_if_unsent()
            case interface.SetTimer(token, after):
                heapq.heappush(self.timers, (self.latest + after, token))
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
                    status = STATUS_OF_OUTCOME[Outcome.NO_ROOM]
                    self.own_events.append(interface.CounterReplied(status, 0.0, command.name))
            case interface.WriteLog(text):
                self.log.info("note", text=text)

    def _open_call_out(self, rpc: int, number: int) -> CallOut | None:
        rpc_entry = self.index_table.rpc_entries[rpc]
        return rpc_entry.external_id.call_outs.get(number) if rpc_entry else None

    def _finish(self, rpc: int, answer: Answer) -> None:
        """Answers an RPC; only the first answer counts."""
        rpc_entry = self.index_table.rpc_entries[rpc]
        if rpc_entry and not rpc_entry.answered:
            rpc_entry.answered = True
            self._release_leg(rpc_entry.external_id)
            rpc_entry.external_id.answer(answer)

    def _admit(self, exchange: Exchange) -> bool:
        """Whether contracts admit an RPC, which takes one leg, now; if they don't, it is pushed back."""
        exchange.contract, result = self.contracts.admit_rpc(exchange.customer)
        exchange.admitted = not result.wait
        if result.wait:
            exchange.answer(Answer(503, retry_after=max(1.0, math.ceil(result.wait / 10_000))))
        return exchange.admitted

    def _count_ready(self) -> None:
        if self.contracts:
            self.contracts.set_ready_servers(len(self.module.servers.ready))

    def _release_leg(self, exchange: Exchange) -> None:
        """Reports the end of an admitted RPC to the contracts; the leg of one that was never sent is given back."""
        if self.contracts and exchange.admitted:
            exchange.admitted = False
            self.contracts.rpc_ended(exchange.contract, exchange.sent > 0)

    def _send(self, command: interface.SendCallOut) -> None:
        rpc, server, until, write_deadline = command
        rpc_entry = self.index_table.rpc_entries[rpc]
        exchange = rpc_entry.external_id
        end = exchange.until
        if until:
            end = min(exchange.until, until / 10_000 - self.epoch)
        last_write = write_deadline / 10_000 - self.epoch if write_deadline else math.inf
        # One millisecond more: the module must receive the end after its deadline has passed, not just before.
        call_out = CallOut(exchange.sent, server, end + 0.001, last_write, exchange.is_awaited)
        exchange.sent += 1
        if rpc_entry.answered or end <= trio.current_time():
            status = STATUS_OF_OUTCOME[Outcome.TOO_LATE]
            event = interface.CallOutEnded(rpc, call_out.number, server, 0, status, rpc_entry.answered, 0.0, ())
            self.own_events.append(event)
            return
        rpc_entry.open_call_outs += 1
        exchange.call_outs[call_out.number] = call_out
        self.nursery.start_soon(self._call_out, exchange, call_out)

    async def _call_out(self, exchange: Exchange, call_out: CallOut) -> None:
        outcome = Outcome.GIVEN_UP
        message = None
        with call_out.scope:
            if call_out.scope.deadline <= trio.current_time():
                outcome = Outcome.TOO_LATE
            else:
                outcome, message = await self.servers.call(
                    call_out.server,
                    self.starts[call_out.server][0],
                    lambda: exchange.server_head(call_out.scope.deadline - trio.current_time()),
                    exchange.message.body,
                    call_out,
                )
        if call_out.scope.cancelled_caught:
            outcome = _outcome_of_cancelled(call_out)
        enqueue(self.queue, CallOutFinished(exchange, call_out, outcome, message))

    async def _probe(self, server: int) -> None:
        started = trio.current_time()
        outcome, message = await self.servers.probe(server, self.starts[server][0], self.probes_with_load)
        elapsed = int((trio.current_time() - started) * 10_000)
        load = self.servers.load(message, probe=True)
        enqueue(self.queue, interface.ProbeEnded(server, STATUS_OF_OUTCOME[outcome], elapsed, load))

    def _entries(self, complete: bool, rows: Sequence[Mapping[str, Any]]) -> tuple[interface.ServerEntry, ...]:
        """The usable rows of a list as entries for the module; rows that are not usable are logged and left out."""
        entries, displaced = self.server_addresses.update(complete, self._listed(rows))
        for server in displaced:
            self.servers.close_idle(server)
        if displaced:
            names = [self.index_table.server_ids[server] for server in displaced[:MAX_LOGGED_SERVERS]]
            self.log.warning("servers displaced at their addresses", servers=names, count=len(displaced))
        return entries

    def _listed(self, rows: Sequence[Mapping[str, Any]]) -> list[tuple[Address, interface.ServerEntry]]:
        """The usable rows of a list as entries, each with its address."""
        entries = []
        unnamed_zones = set()
        for row in rows:
            try:
                state = STATE_OF_NAME[row["state"]]
                name = str(row["id"])
                address = parse_address(row["addr"]) if row.get("addr") else None
                zone = self.zones.index_of(row.get("zone"))
                cell = int(row.get("cell", 0))
                up_since = int(row.get("started_ms", 0) * 10)
                weight = float(row.get("weight", 1.0))
            except (KeyError, TypeError, ValueError, AttributeError, OverflowError, ConfigurationError):
                self.log.warning("server list entry not usable", entry=str(row)[:200])
                continue
            if address is None and name not in self.index_table.servers:  # removed before it was known
                continue
            if row.get("zone") in self.zones.unnamed or zone is None:
                unnamed_zones.add(str(row["zone"]))
            if zone is None:  # it can't be told from others, so a server there gets nothing new
                zone = 0
                state = interface.ServerState.DRAINING if state is interface.ServerState.READY else state
            index = self._register(name, state, address, up_since)
            global_id = int.from_bytes(name.encode(), "big")
            found = interface.ServerEntry(index, global_id, zone, cell, state, up_since, weight)
            entries.append((self.starts[index][0], found))
        if unnamed_zones:
            named = sorted(unnamed_zones)[:MAX_LOGGED_ZONES]
            self.log.warning("zones not named in the settings", zones=named, count=len(unnamed_zones))
        return entries

    def _register(self, name: str, state: interface.ServerState, address: Address | None, up_since: int) -> int:
        """The index of a server, with its address and start brought up to date.

        Guards against connections to an earlier process at that address, whose machine may have gone silently.
        """
        index = self.index_table.server_index(name)
        if index == len(self.starts):
            self.starts.append((address, up_since))
        start = address or self.starts[index][0], up_since
        if state == interface.ServerState.GONE or self.starts[index] != start:
            self.servers.close_idle(index)
            self.starts[index] = start
        return index


def _outcome_of_cancelled(call_out: CallOut) -> Outcome:
    if call_out.begun:
        return Outcome.GIVEN_UP if call_out.withdrawn else Outcome.SILENT
    return Outcome.TOO_LATE if call_out.withdrawn else Outcome.NEVER_UP
