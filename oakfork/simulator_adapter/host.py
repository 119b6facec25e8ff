"""Hosts instances of the decision module that share nothing. No decision is taken here."""

import traceback
from typing import BinaryIO, Callable

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.errors import SimulatorProtocolError, UnknownCommandError
from oakfork.index_table import IndexTable
from oakfork.simulator_adapter import codec

Decider = Callable[[interface.GatewaySettings, int], DecisionModule]


class Instance:
    """One gateway: the module and its door."""

    def __init__(self, settings: interface.GatewaySettings, now: int, decider: Decider) -> None:
        self.module = decider(settings, now)
        self.index_table: IndexTable[int, bytes] = IndexTable()

    def event(self, record: codec.Record, entries: bytes) -> tuple[interface.Event | None, int | None]:
        """The record as an event of the module, and the RPC it speaks of; None for what is already over."""
        code, values = record.code, record.values
        if code == codec.DISCOVERY:
            return interface.ServerList(values[0] in (1, 2), values[0] == 3, self.entries(entries)), None
        if code == codec.ACCEPT:
            external_id, customer, flags, first, left, spread, method, plan, units = values
            index = self.index_table.add_rpc(external_id)
            return interface.RpcArrived(
                index, customer, method, plan, units, int(first), int(spread), codec.tenths(left), bool(flags & 2)
            ), index
        if code == codec.TIMEOUT_FIRED:
            return interface.TimerFired(values[0]), None
        if code == codec.MESSAGE:
            return interface.PeerFrame(values[0], record.tail), None
        if code == codec.COUNTER_REPLY:
            return interface.CounterReplied(interface.Status(values[0]), values[1], values[2]), None
        if code == codec.CHECK_RESULT:
            address, status, elapsed, _ = values
            return interface.ProbeEnded(
                self.index_table.server_index(address),
                interface.Status(status),
                codec.tenths(elapsed),
                codec.floats(record.tail),
            ), None
        index = self.index_table.rpcs.get(values[0])
        rpc_entry = None if index is None else self.index_table.rpc_entries[index]
        if rpc_entry is None:
            return None, None
        if code == codec.EXPIRED:
            was_over, rpc_entry.answered = rpc_entry.answered, True
            return (None if was_over else interface.ClientDisconnected(index)), index
        if code == codec.ESTABLISHED:
            return interface.StreamStarted(index, values[3]), index
        _, call_out, address, elapsed, true_units, status, final, _, _ = values
        rpc_entry.open_call_outs -= 1
        rpc_entry.answered |= bool(final)
        return interface.CallOutEnded(
            index,
            call_out,
            self.index_table.server_index(address),
            codec.tenths(elapsed),
            interface.Status(status),
            bool(final),
            true_units,
            codec.floats(record.tail),
        ), index

    def entries(self, data: bytes) -> tuple[interface.ServerEntry, ...]:
        return tuple(
            interface.ServerEntry(
                self.index_table.server_index(address),
                int.from_bytes(address, "big"),
                zone,
                cell,
                interface.ServerState(state),
                codec.tenths(up_since),
                weight,
            )
            for zone, _, address, cell, state, up_since, weight in codec.ENTRY.iter_unpack(data)
        )

    def action(self, now: int, command: interface.Command) -> bytes:
        match command:
            case interface.SendCallOut(rpc, server, until, _):
                self.index_table.rpc_entries[rpc].open_call_outs += 1
                return codec.transmit(
                    self.index_table.rpc_entries[rpc].external_id, self.index_table.server_ids[server], until / 10
                )
            case interface.PushBack(rpc, retry_after):
                self.index_table.rpc_entries[rpc].answered = True
                return codec.deny(self.index_table.rpc_entries[rpc].external_id, retry_after / 10)
            case interface.Abort(rpc):
                self.index_table.rpc_entries[rpc].answered = True
                return codec.abort(self.index_table.rpc_entries[rpc].external_id)
            case interface.CancelCallOut(rpc, call_out):
                return codec.retract(self.index_table.rpc_entries[rpc].external_id, call_out)
            case interface.CancelIfUnsent():  # on this wire a call-out begins in the instant in which it is decided
                return b""
            case interface.SetTimer(token, after):
                return codec.remind(token, after / 10)
            case interface.ProbeServer(server):
                return codec.check(self.index_table.server_ids[server])
            case interface.SendPeerFrame(peer, data):
                return codec.signal(peer, data)
            case interface.SubscribeToList(on):
                return codec.tail(on)
            case interface.ReadServerList():
                return codec.read_list()
            case interface.CloseIdleConnections(server):
                return codec.disconnect(self.index_table.server_ids[server])
            case interface.ForgetServer(server):
                self.index_table.forget_server(server)
                return b""
            case interface.AddToCounter(name, amount, ttl):
                return codec.enter(name, amount, ttl / 10)
            case interface.WriteLog(text):
                return codec.note_down(text)
        raise UnknownCommandError(f"no such command: {command!r}")

    def handle(self, now: int, record: codec.Record, entries: bytes) -> bytes:
        try:
            event, index = self.event(record, entries)
        except (ValueError, OverflowError) as error:
            raise SimulatorProtocolError(f"malformed frame: {codec.EVENTS[record.code][0]}: {error}") from error
        commands = () if event is None else self.module.handle(now, event)
        actions = []
        touched = set() if index is None else {index}
        for command in commands:
            actions.append(self.action(now, command))
            if isinstance(command, (interface.PushBack, interface.Abort)):
                touched.add(command.rpc)
        for rpc in sorted(touched):
            self.index_table.release_rpc(rpc)
        return b"".join(actions)


class Host:
    """All instances of one process and the numbered server lists, which belong to the process."""

    def __init__(self, decider: Decider = DecisionModule) -> None:
        self.decider = decider
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, bytes] = {}

    def batch(self, now: int, records: list[codec.Record]) -> bytes:
        body, current, speaker = [], None, None
        for record in records:
            if record.code == codec.CONTEXT:
                current = record.values[0]
            elif record.code == codec.MANIFEST:
                self.lists[record.values[0]] = record.tail
            elif current is None:
                raise SimulatorProtocolError(f"malformed frame: event code {record.code} before any Context")
            elif record.code == codec.EXIT:
                self.instances.pop(current, None)
            else:
                try:
                    actions = self.deliver(now, current, record)
                except SimulatorProtocolError:
                    raise
                except Exception as error:  # the module failed: the wire has a word for it
                    where = traceback.extract_tb(error.__traceback__)[-1]
                    actions = codec.bail_out(f"{type(error).__name__}: {error} ({where.name}, line {where.lineno})")
                if actions:
                    if speaker != current:
                        body.append(codec.by(current))
                        speaker = current
                    body.append(actions)
        return b"".join(body)

    def deliver(self, now: int, current: int, record: codec.Record) -> bytes:
        if record.code == codec.LAUNCH:
            settings = codec.parse_settings(record.values[0], record.tail)
            self.instances[current] = Instance(settings, now, self.decider)
            return b""
        instance = self.instances.get(current)
        if instance is None:
            raise SimulatorProtocolError(
                f"malformed frame: event code {record.code} for instance {current}, not launched"
            )
        entries = b""
        if record.code == codec.DISCOVERY and record.values[0] != 3:
            if record.values[2] not in self.lists:
                raise SimulatorProtocolError(f"malformed frame: list {record.values[2]} was never declared")
            entries = self.lists[record.values[2]]
        return instance.handle(now, record, entries)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    while (batch := codec.read_batch(source)) is not None:
        sink.write(codec.reply(host.batch(*batch)))
        sink.flush()
