"""Hosts instances of the decision module that share nothing. No decision is taken here."""

import traceback
from typing import BinaryIO, Callable

from oakfork import interface
from oakfork.decision import DecisionModule
from oakfork.errors import SimulatorProtocolError, UnknownCommandError
from oakfork.index_table import IndexTable
from oakfork.simulator_adapter import codec

ModuleFactory = Callable[[interface.GatewaySettings, int], DecisionModule]

# What a Discovery record holds, by its first value. Anything else is a change.
COMPLETE_LISTS = (1, 2)
FAILED_LIST = 3
REPEATED_FLAG = 2  # of an Accept record


class Instance:
    """One gateway: its decision module and its index table."""

    def __init__(self, settings: interface.GatewaySettings, now: int, make_module: ModuleFactory) -> None:
        self.module = make_module(settings, now)
        self.index_table: IndexTable[int, bytes] = IndexTable()

    def handle(self, now: int, record: codec.Record, entries: bytes) -> bytes:
        """Passes a record to the module; returns its commands as records.

        `entries` are those of the list that a Discovery record names. Raises SimulatorProtocolError where the record
        holds a value that no event can have.
        """
        try:
            event, index = self.decode_event(record, entries)
        except (ValueError, OverflowError) as error:
            raise SimulatorProtocolError(f"malformed frame: {codec.EVENTS[record.code][0]}: {error}") from error
        commands = () if event is None else self.module.handle(now, event)
        encoded = []
        concerned = set() if index is None else {index}
        for command in commands:
            encoded.append(self.encode_command(command))
            if isinstance(command, (interface.PushBack, interface.Abort)):
                concerned.add(command.rpc)
        for rpc in sorted(concerned):
            self.index_table.release_rpc(rpc)
        return b"".join(encoded)

    def decode_event(self, record: codec.Record, entries: bytes) -> tuple[interface.Event | None, int | None]:
        """A record as an event of the module and the RPC it concerns, each None where there is none.

        A record of an RPC that is over leads to no event. Raises ValueError or OverflowError for a value that no event
        can have.
        """
        values = record.values
        match record.code:
            case codec.DISCOVERY:
                complete, failed = values[0] in COMPLETE_LISTS, values[0] == FAILED_LIST
                return interface.ServerList(complete, failed, self.decode_entries(entries)), None
            case codec.ACCEPT:
                event = self._rpc_arrived(values)
                return event, event.rpc
            case codec.TIMEOUT_FIRED:
                return interface.TimerFired(values[0]), None
            case codec.MESSAGE:
                return interface.PeerFrame(values[0], record.tail), None
            case codec.COUNTER_REPLY:
                return interface.CounterReplied(interface.Status(values[0]), values[1], values[2]), None
            case codec.CHECK_RESULT:
                return self._probe_ended(record), None
        return self._decode_rpc_event(record)

    def _decode_rpc_event(self, record: codec.Record) -> tuple[interface.Event | None, int | None]:
        """The events that concern an RPC in the table."""
        values = record.values
        index = self.index_table.rpcs.get(values[0])
        rpc_entry = None if index is None else self.index_table.rpc_entries[index]
        if rpc_entry is None:
            return None, None
        if record.code == codec.EXPIRED:
            was_answered = rpc_entry.answered
            rpc_entry.answered = True
            return (None if was_answered else interface.ClientDisconnected(index)), index
        if record.code == codec.ESTABLISHED:
            return interface.StreamStarted(index, values[3]), index
        _, call_out, address, elapsed, true_units, status, final, _, _ = values
        rpc_entry.open_call_outs -= 1
        rpc_entry.answered |= bool(final)
        event = interface.CallOutEnded(
            rpc=index,
            call_out=call_out,
            server=self.index_table.server_index(address),
            elapsed=codec.tenths(elapsed),
            status=interface.Status(status),
            final=bool(final),
            true_units=true_units,
            load=codec.floats(record.tail),
        )
        return event, index

    def _rpc_arrived(self, values: tuple) -> interface.RpcArrived:
        external_id, customer, flags, first_gateway, time_left, spread, method, plan, units = values
        return interface.RpcArrived(
            rpc=self.index_table.add_rpc(external_id),
            customer=customer,
            method=method,
            plan=plan,
            units=units,
            first_gateway=int(first_gateway),
            spread=int(spread),
            time_left=codec.tenths(time_left),
            repeated=bool(flags & REPEATED_FLAG),
        )

    def _probe_ended(self, record: codec.Record) -> interface.ProbeEnded:
        address, status, elapsed, _ = record.values
        return interface.ProbeEnded(
            server=self.index_table.server_index(address),
            status=interface.Status(status),
            elapsed=codec.tenths(elapsed),
            load=codec.floats(record.tail),
        )

    def decode_entries(self, data: bytes) -> tuple[interface.ServerEntry, ...]:
        """The entries of a server list; the servers get indices where they have none."""
        return tuple(
            interface.ServerEntry(
                server=self.index_table.server_index(address),
                global_id=int.from_bytes(address, "big"),
                zone=zone,
                cell=cell,
                state=interface.ServerState(state),
                up_since=codec.tenths(up_since),
                weight=weight,
            )
            for zone, _, address, cell, state, up_since, weight in codec.ENTRY.iter_unpack(data)
        )

    def encode_command(self, command: interface.Command) -> bytes:
        """A command as a record, or as nothing where the wire has none; UnknownCommandError for anything else."""
        table = self.index_table
        match command:
            case interface.SendCallOut(rpc, server, until, _):
                table.rpc_entries[rpc].open_call_outs += 1
                return codec.transmit(table.rpc_entries[rpc].external_id, table.server_ids[server], until / 10)
            case interface.PushBack(rpc, retry_after):
                table.rpc_entries[rpc].answered = True
                return codec.deny(table.rpc_entries[rpc].external_id, retry_after / 10)
            case interface.Abort(rpc):
                table.rpc_entries[rpc].answered = True
                return codec.abort(table.rpc_entries[rpc].external_id)
            case interface.CancelCallOut(rpc, call_out):
                return codec.retract(table.rpc_entries[rpc].external_id, call_out)
            case interface.CancelIfUnsent():  # in the simulator a call-out begins in the instant of its command
                return b""
            case interface.SetTimer(token, after):
                return codec.remind(token, after / 10)
            case interface.ProbeServer(server):
                return codec.check(table.server_ids[server])
            case interface.SendPeerFrame(peer, data):
                return codec.signal(peer, data)
            case interface.SubscribeToList(on):
                return codec.tail(on)
            case interface.ReadServerList():
                return codec.read_list()
            case interface.CloseIdleConnections(server):
                return codec.disconnect(table.server_ids[server])
            case interface.ForgetServer(server):
                table.forget_server(server)
                return b""
            case interface.AddToCounter(name, amount, ttl):
                return codec.enter(name, amount, ttl / 10)
            case interface.WriteLog(text):
                return codec.note_down(text)
        raise UnknownCommandError(f"the wire has no record for the command {command!r}")


class Host:
    """All instances of one process and the numbered server lists, which belong to the process."""

    def __init__(self, make_module: ModuleFactory = DecisionModule) -> None:
        self.make_module = make_module
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, bytes] = {}

    def batch(self, now: int, records: list[codec.Record]) -> bytes:
        """Handles the records of a batch in order; returns the body of the reply.

        Raises SimulatorProtocolError for records that make no sense. Any other failure of an instance is reported to
        the simulator and leaves the other instances running.
        """
        body = []
        current = None  # the instance that records are for
        last_by = None  # the instance that the records in the reply come from
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
                encoded = self._deliver_or_bail_out(now, current, record)
                if encoded:
                    if last_by != current:
                        body.append(codec.by(current))
                        last_by = current
                    body.append(encoded)
        return b"".join(body)

    def _deliver_or_bail_out(self, now: int, current: int, record: codec.Record) -> bytes:
        try:
            return self.deliver(now, current, record)
        except SimulatorProtocolError:
            raise
        except Exception as error:  # of the module: the wire has a record for it
            where = traceback.extract_tb(error.__traceback__)[-1]
            return codec.bail_out(f"{type(error).__name__}: {error} ({where.name}, line {where.lineno})")

    def deliver(self, now: int, current: int, record: codec.Record) -> bytes:
        """Passes a record to an instance; returns the records that answer it.

        Raises SimulatorProtocolError where the instance was not launched or the record names a list that was never
        declared.
        """
        if record.code == codec.LAUNCH:
            settings = codec.parse_settings(record.values[0], record.tail)
            self.instances[current] = Instance(settings, now, self.make_module)
            return b""
        instance = self.instances.get(current)
        if instance is None:
            raise SimulatorProtocolError(
                f"malformed frame: event code {record.code} for instance {current}, not launched"
            )
        entries = b""
        if record.code == codec.DISCOVERY and record.values[0] != FAILED_LIST:
            list_number = record.values[2]
            if list_number not in self.lists:
                raise SimulatorProtocolError(f"malformed frame: list {list_number} was never declared")
            entries = self.lists[list_number]
        return instance.handle(now, record, entries)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the end of input; SimulatorProtocolError where it is truncated or malformed."""
    host = Host()
    while (batch := codec.read_batch(source)) is not None:
        now, records = batch
        sink.write(codec.reply(host.batch(now, records)))
        sink.flush()
