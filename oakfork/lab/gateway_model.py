"""A gateway of the model: hosts a policy as the real gateway hosts the module, and carries out its commands."""

from typing import Sequence

from oakfork import interface
from oakfork.index_table import IndexTable
from oakfork.interface import SECOND, ServerState, Status
from oakfork.lab.environment import CallOut, Exchange, GatewayEnvironment, Policy
from oakfork.lab.event_loop import EventKind
from oakfork.lab.server_model import Server

EVERYONE = 0xFFFF


class GatewayModel:
    """All that dies with a process stands in `life`: what was planned for an earlier life is void."""

    def __init__(self, world: GatewayEnvironment, number: int, zone: int) -> None:
        self.world, self.number, self.zone = world, number, zone
        self.life, self.up, self.deaf = 0, False, False
        self.policy: Policy | None = None
        self.index_table: IndexTable[int, int] = IndexTable()
        self.exchanges: dict[int, Exchange] = {}  # by the door's index; emptied as RPCs end
        self.idle: dict[int, list[int]] = {}  # server -> idle connections, since when; emptied by use
        self.list: dict[int, Server] = {}  # by the true number: what it was told last
        self.mail = 0.0  # frames of this second
        self.mail_second = -1

    def start(self) -> None:
        world = self.world
        self.life, self.up = self.life + 1, True
        self.index_table, self.exchanges, self.idle, self.list = IndexTable(), {}, {}, {}
        self.policy = world.decide(world.gateway_settings(self.number, self.zone), world.loop.now)
        known = [server for server in world.servers.values() if server.up]
        self.told(known, True)

    def kill(self) -> None:
        self.life, self.up, self.policy = self.life + 1, False, None
        self.world.checker.gateway_killed(self.number)
        for exchange in self.exchanges.values():
            for call_out in exchange.call_outs.values():
                self._withdraw(call_out)

    # What the module is told

    def told(self, servers: Sequence[Server], complete: bool = False, life: int | None = None) -> None:
        if not self.up or life not in (None, self.life):
            return
        entries, checker, now = [], self.world.checker, self.world.loop.now
        for server in servers:
            state = (
                ServerState.GONE if not server.up else ServerState.DRAINING if server.draining else ServerState.READY
            )
            if state == ServerState.GONE and server.number not in self.index_table.servers:
                continue
            known = self.list.get(server.number)
            if known is not None and known is not server:
                self.idle.pop(server.number, None)  # another process there
            self.list[server.number] = server
            if state == ServerState.READY:
                checker.ready_told(self.number, server.number)
            else:
                checker.drain_told(self.number, server.number, now)
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

    def arrive(self, exchange: Exchange, arrival: interface.RpcArrived) -> None:
        exchange.index = self.index_table.add_rpc(exchange.rpc)
        self.exchanges[exchange.index] = exchange
        self.handle(arrival._replace(rpc=exchange.index), exchange.index)

    def client_gone(self, exchange: Exchange, life: int) -> None:
        if self.up and life == self.life and not exchange.over:
            self._over(exchange)
            self.handle(interface.ClientDisconnected(exchange.index), exchange.index)

    def frame(self, sender: int, data: bytes, life: int) -> None:
        """A frame arrives; beyond what a gateway takes in a second it is lost unseen."""
        now = self.world.loop.now
        if not self.up or self.deaf or life != self.life:
            return
        if self.mail_second != now // SECOND:
            self.mail_second, self.mail = now // SECOND, 0.0
        self.mail += 1
        if self.mail > self.world.plan.links.peer_frames_per_s:
            self.world.metrics.add("frames not taken", now)
            return
        self.handle(interface.PeerFrame(sender, data))

    def timer(self, token: int, life: int) -> None:
        if self.up and life == self.life:
            self.handle(interface.TimerFired(token))

    def handle(self, event: interface.Event, index: int | None = None) -> None:
        touched = {index} if index is not None else set()
        own = [event]
        while own:
            event = own.pop(0)
            for command in self.policy.handle(self.world.loop.now, event):
                self._carry_out(command, own, touched)
        for index in sorted(touched):
            self.index_table.release_rpc(index)
            if self.index_table.rpc_entries[index] is None:
                self.exchanges.pop(index, None)

    def _over(self, exchange: Exchange) -> None:
        exchange.over = True
        self.index_table.rpc_entries[exchange.index].answered = True

    def _carry_out(self, command: interface.Command, own: list[interface.Event], touched: set[int]) -> None:
        world, loop = self.world, self.world.loop
        match command:
            case interface.SendCallOut(index, server):
                self._send(self.exchanges[index], server, own)
            case interface.PushBack(index, advice):
                self._finish(self.exchanges[index], "pushed back", advice)
                touched.add(index)
            case interface.Abort(index):
                self._finish(self.exchanges[index], "aborted", 0)
                touched.add(index)
            case interface.CancelCallOut(index, number):
                exchange = self.exchanges.get(index)
                call_out = exchange.call_outs.get(number) if exchange else None
                if call_out and not call_out.over:
                    self._withdraw(call_out)
                    loop.after(1, EventKind.ENDING, self.ended, exchange, call_out, Status.CANCELLED, self.life)
            case interface.SetTimer(token, after):
                loop.after(after, EventKind.TIMER, self.timer, token, self.life)
            case interface.SendPeerFrame(peer, data):
                world.frame(self, peer, data)
            case interface.ProbeServer(server):
                world.probe(self, server)
            case interface.AddToCounter():
                world.counter.call(self, command)
            case interface.CloseIdleConnections(server) | interface.ForgetServer(server):
                true_number = self.index_table.server_ids[server]
                self.idle.pop(true_number, None)
                if isinstance(command, interface.ForgetServer):
                    self.index_table.forget_server(server)
                    self.list.pop(true_number, None)

    def _finish(self, exchange: Exchange, answer: str, advice: int) -> None:
        if not exchange.over:
            self._over(exchange)
            exchange.answered(answer, advice)

    # Call-outs

    def _send(self, exchange: Exchange, index: int, own: list[interface.Event]) -> None:
        world, now = self.world, self.world.loop.now
        server = self.list[self.index_table.server_ids[index]]
        number, exchange.sent = exchange.sent, exchange.sent + 1
        if exchange.over or now >= exchange.watched.dl:
            own.append(
                interface.CallOutEnded(exchange.index, number, index, 0, Status.NEVER_STARTED, exchange.over, 0.0, ())
            )
            return
        self.index_table.rpc_entries[exchange.index].open_call_outs += 1
        call_out = exchange.call_outs[number] = CallOut(number, server, now)
        world.checker.sent(exchange.rpc, self.number, server.number, now)
        world.metrics.add("call-outs", now)
        if number == 0:
            world.metrics.asks.record_value(max(1, now - exchange.watched.taken))
        fresh = self.connection(server)
        wait = world.distance(self.zone, server.zone) + (world.plan.links.handshake if fresh else 0)
        world.loop.after(wait, EventKind.SERVER, world.reach, self, exchange, call_out, fresh, self.life)
        left = exchange.watched.dl - now + 10
        world.loop.after(left, EventKind.ENDING, self._timed_out, exchange, call_out, self.life)

    def connection(self, server: Server) -> bool:
        """True for a new one."""
        kept, now = self.idle.get(server.number, []), self.world.loop.now
        while kept:
            if now - kept.pop() < self.world.plan.links.idle:
                return False
            server.connections -= 1
        self.world.metrics.add("connections", now)
        return True

    def _timed_out(self, exchange: Exchange, call_out: CallOut, life: int) -> None:
        if life == self.life and not call_out.over:
            self._withdraw(call_out)
            self.ended(exchange, call_out, Status.TIMED_OUT, life)

    def _withdraw(self, call_out: CallOut) -> None:
        if call_out.job is not None:
            call_out.server.drop(call_out.job)

    def ended(self, exchange: Exchange, call_out: CallOut, status: Status, life: int) -> None:
        """How a call-out ended, told once; whole answers give their connection back."""
        if life != self.life or call_out.over:
            return
        call_out.over = True
        del exchange.call_outs[call_out.number]
        now, server = self.world.loop.now, call_out.server
        if status in (Status.OK, Status.FULL, Status.ERROR) and server.up and server is self.list.get(server.number):
            self.idle.setdefault(server.number, []).append(now)
        elif call_out.reached:
            server.connections -= 1
        self.world.checker.ended(exchange.rpc)
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
