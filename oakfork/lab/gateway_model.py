"""Simulated gateway: hosts a policy as the real gateway hosts the decision module, and executes its commands."""

from typing import Sequence

from oakfork import interface
from oakfork.index_table import IndexTable
from oakfork.interface import SECOND, ServerState, Status
from oakfork.lab.environment import CallOut, Exchange, GatewayEnvironment, Policy
from oakfork.lab.event_loop import EventKind
from oakfork.lab.server_model import Server

EVERYONE = 0xFFFF  # peer number that addresses all peers
CALL_OUT_TIMEOUT_MARGIN = 10  # tenths of a millisecond after the RPC's deadline


class GatewayModel:
    """One gateway. `incarnation` counts starts and kills: callbacks scheduled for an earlier one are ignored."""

    def __init__(self, world: GatewayEnvironment, number: int, zone: int) -> None:
        """Creates the gateway; it is down until `start`."""
        self.world = world
        self.number = number
        self.zone = zone
        self.incarnation = 0
        self.up = False
        self.deaf = False  # receives no frames from peers
        self.policy: Policy | None = None
        self.index_table: IndexTable[int, int] = IndexTable()
        self.exchanges: dict[int, Exchange] = {}  # by index in index_table; removed as RPCs end
        self.idle: dict[int, list[int]] = {}  # server number -> when each idle connection was last used
        self.list: dict[int, Server] = {}  # by number: the server that the last list named
        self.frames_this_second = 0.0
        self.frame_second = -1

    def start(self) -> None:
        """Starts the process with empty state and the current list of servers."""
        world = self.world
        self.incarnation += 1
        self.up = True
        self.index_table = IndexTable()
        self.exchanges = {}
        self.idle = {}
        self.list = {}
        self.policy = world.policy_factory(world.gateway_settings(self.number, self.zone), world.loop.now)
        self.receive_list([server for server in world.servers.values() if server.up], True)

    def kill(self) -> None:
        """Ends the process: its RPCs are lost, its call-outs are dropped."""
        self.incarnation += 1
        self.up = False
        self.policy = None
        self.world.checker.gateway_killed(self.number)
        for exchange in self.exchanges.values():
            for call_out in exchange.call_outs.values():
                self._drop_job(call_out)

    # Events

    def receive_list(self, servers: Sequence[Server], complete: bool = False, incarnation: int | None = None) -> None:
        """Takes a list of servers from discovery: a whole list if `complete`, otherwise changed entries."""
        if not self.up or incarnation not in (None, self.incarnation):
            return
        entries = []
        for server in servers:
            state = _state_of(server)
            if state == ServerState.GONE and server.number not in self.index_table.servers:
                continue
            self._record_server(server, state)
            entries.append(
                interface.ServerEntry(
                    self.index_table.server_index(server.number),
                    server.number + 1,
                    server.zone,
                    server.cell,
                    state,
                    server.since,
                    1.0,
                )
            )
        self.handle(interface.ServerList(complete, False, tuple(entries)))

    def _record_server(self, server: Server, state: ServerState) -> None:
        checker = self.world.checker
        known = self.list.get(server.number)
        if known is not None and known is not server:
            self.idle.pop(server.number, None)  # connections to the process that was replaced
        self.list[server.number] = server
        if state == ServerState.READY:
            checker.server_ready(self.number, server.number)
        else:
            checker.server_withdrawn(self.number, server.number, self.world.loop.now)

    def receive_rpc(self, exchange: Exchange, arrival: interface.RpcArrived) -> None:
        """Takes an RPC from a client."""
        exchange.index = self.index_table.add_rpc(exchange.rpc)
        self.exchanges[exchange.index] = exchange
        self.handle(arrival._replace(rpc=exchange.index), exchange.index)

    def client_disconnected(self, exchange: Exchange, incarnation: int) -> None:
        """Takes notice that the client of an RPC gave up."""
        if self.up and incarnation == self.incarnation and not exchange.over:
            self._mark_answered(exchange)
            self.handle(interface.ClientDisconnected(exchange.index), exchange.index)

    def receive_peer_frame(self, sender: int, data: bytes, incarnation: int) -> None:
        """Takes a frame from a peer; frames beyond the accepted rate are dropped unread."""
        now = self.world.loop.now
        if not self.up or self.deaf or incarnation != self.incarnation:
            return
        if self.frame_second != now // SECOND:
            self.frame_second = now // SECOND
            self.frames_this_second = 0.0
        self.frames_this_second += 1
        if self.frames_this_second > self.world.config.links.peer_frames_per_s:
            self.world.metrics.add("frames not taken", now)
            return
        self.handle(interface.PeerFrame(sender, data))

    def _timer_fired(self, token: int, incarnation: int) -> None:
        if self.up and incarnation == self.incarnation:
            self.handle(interface.TimerFired(token))

    def handle(self, event: interface.Event, index: int | None = None) -> None:
        """Passes an event to the policy and executes its commands; `index` is an RPC that may be over now."""
        touched = {index} if index is not None else set()
        events = [event]
        while events:
            event = events.pop(0)
            for command in self.policy.handle(self.world.loop.now, event):
                self._execute(command, events, touched)
        for index in sorted(touched):
            self.index_table.release_rpc(index)
            if self.index_table.rpc_entries[index] is None:
                self.exchanges.pop(index, None)

    # Commands

    def _execute(self, command: interface.Command, events: list[interface.Event], touched: set[int]) -> None:
        """Executes one command; events that it causes at once are appended to `events`."""
        world = self.world
        match command:
            case interface.SendCallOut(index, server):
                self._send(self.exchanges[index], server, events)
            case interface.PushBack(index, advice):
                self._finish(self.exchanges[index], "pushed back", advice)
                touched.add(index)
            case interface.Abort(index):
                self._finish(self.exchanges[index], "aborted", 0)
                touched.add(index)
            case interface.CancelCallOut(index, number):
                self._cancel(index, number)
            case interface.SetTimer(token, delay):
                world.loop.after(delay, EventKind.TIMER, self._timer_fired, token, self.incarnation)
            case interface.SendPeerFrame(peer, data):
                world.send_peer_frame(self, peer, data)
            case interface.ProbeServer(server):
                world.server_access.probe(self, server)
            case interface.AddToCounter():
                world.counter.call(self, command)
            case interface.CloseIdleConnections(server) | interface.ForgetServer(server):
                number = self.index_table.server_ids[server]
                self.idle.pop(number, None)
                if isinstance(command, interface.ForgetServer):
                    self.index_table.forget_server(server)
                    self.list.pop(number, None)

    def _mark_answered(self, exchange: Exchange) -> None:
        exchange.over = True
        self.index_table.rpc_entries[exchange.index].answered = True

    def _finish(self, exchange: Exchange, answer: str, advice: int) -> None:
        if not exchange.over:
            self._mark_answered(exchange)
            exchange.on_answer(answer, advice)

    # Call-outs

    def _send(self, exchange: Exchange, index: int, events: list[interface.Event]) -> None:
        world, now = self.world, self.world.loop.now
        server = self.list[self.index_table.server_ids[index]]
        number = exchange.sent
        exchange.sent += 1
        if exchange.over or now >= exchange.watched.deadline:
            events.append(
                interface.CallOutEnded(exchange.index, number, index, 0, Status.NEVER_STARTED, exchange.over, 0.0, ())
            )
            return
        self.index_table.rpc_entries[exchange.index].open_call_outs += 1
        call_out = CallOut(number, server, now)
        exchange.call_outs[number] = call_out
        world.checker.call_out_sent(exchange.rpc, self.number, server.number, now)
        world.metrics.add("call-outs", now)
        if number == 0:
            world.metrics.to_first_call_out.record_value(max(1, now - exchange.watched.accepted_at))
        fresh = self.take_connection(server)
        delay = world.distance(self.zone, server.zone) + (world.config.links.handshake_time if fresh else 0)
        world.loop.after(
            delay, EventKind.SERVER, world.server_access.deliver, self, exchange, call_out, fresh, self.incarnation
        )
        timeout = exchange.watched.deadline - now + CALL_OUT_TIMEOUT_MARGIN
        world.loop.after(timeout, EventKind.ENDING, self._time_out, exchange, call_out, self.incarnation)

    def take_connection(self, server: Server) -> bool:
        """Takes an idle connection to a server, or opens one; returns whether it is new."""
        idle = self.idle.get(server.number, [])
        now = self.world.loop.now
        while idle:
            if now - idle.pop() < self.world.config.links.idle_timeout:
                return False
            server.connections -= 1
        self.world.metrics.add("connections", now)
        return True

    def _cancel(self, index: int, number: int) -> None:
        exchange = self.exchanges.get(index)
        call_out = exchange.call_outs.get(number) if exchange else None
        if call_out and not call_out.over:
            self._drop_job(call_out)
            self.world.loop.after(
                1, EventKind.ENDING, self.call_out_ended, exchange, call_out, Status.CANCELLED, self.incarnation
            )

    def _time_out(self, exchange: Exchange, call_out: CallOut, incarnation: int) -> None:
        if incarnation == self.incarnation and not call_out.over:
            self._drop_job(call_out)
            self.call_out_ended(exchange, call_out, Status.TIMED_OUT, incarnation)

    def _drop_job(self, call_out: CallOut) -> None:
        if call_out.job is not None:
            call_out.server.drop(call_out.job)

    def call_out_ended(self, exchange: Exchange, call_out: CallOut, status: Status, incarnation: int) -> None:
        """Ends a call-out once; a connection that carried a complete answer becomes idle."""
        if incarnation != self.incarnation or call_out.over:
            return
        call_out.over = True
        del exchange.call_outs[call_out.number]
        now, server = self.world.loop.now, call_out.server
        complete = status in (Status.OK, Status.FULL, Status.ERROR)
        if complete and server.up and server is self.list.get(server.number):
            self.idle.setdefault(server.number, []).append(now)
        elif call_out.reached:
            server.connections -= 1
        self.world.checker.call_out_ended(exchange.rpc)
        self.index_table.rpc_entries[exchange.index].open_call_outs -= 1
        if status == Status.OK and not exchange.over:
            self._finish(exchange, "ok", 0)
        index = self.index_table.servers.get(server.number)
        if index is None:
            self.index_table.release_rpc(exchange.index)
            return
        self.handle(
            interface.CallOutEnded(
                exchange.index, call_out.number, index, now - call_out.sent_at, status, exchange.over, 0.0, ()
            ),
            exchange.index,
        )


def _state_of(server: Server) -> ServerState:
    if not server.up:
        return ServerState.GONE
    if server.draining:
        return ServerState.DRAINING
    return ServerState.READY
