"""Hosts instances of the decision module that share nothing. No decision is taken here."""

import traceback
from typing import BinaryIO, Callable

from oakfork import interface as face
from oakfork.decision import Brain
from oakfork.errors import CommandUnknown, WireError
from oakfork.index_table import Door
from oakfork.simulator_adapter import codec

Decider = Callable[[face.Birth, int], Brain]


class Instance:
    """One gateway: the module and its door."""

    def __init__(self, birth: face.Birth, now: int, decider: Decider) -> None:
        self.brain = decider(birth, now)
        self.door: Door[int, bytes] = Door()

    def event(self, record: codec.Record, entries: bytes) -> tuple[face.Event | None, int | None]:
        """The record as an event of the module, and the RPC it speaks of; None for what is already over."""
        code, values = record.code, record.values
        if code == codec.DISCOVERY:
            return face.ServerList(values[0] in (1, 2), values[0] == 3, self.entries(entries)), None
        if code == codec.ACCEPT:
            true_id, customer, flags, first, left, spread, method, plan, units = values
            index = self.door.admit(true_id)
            return face.Arrival(
                index, customer, method, plan, units, int(first), int(spread), codec.tenths(left), bool(flags & 2)
            ), index
        if code == codec.TIMEOUT_FIRED:
            return face.TimeCame(values[0]), None
        if code == codec.MESSAGE:
            return face.PeerFrame(values[0], record.tail), None
        if code == codec.COUNTER_REPLY:
            return face.CounterAnswered(face.Status(values[0]), values[1], values[2]), None
        if code == codec.CHECK_RESULT:
            address, status, elapsed, _ = values
            return face.ProbeEnded(
                self.door.server(address), face.Status(status), codec.tenths(elapsed), codec.floats(record.tail)
            ), None
        index = self.door.rpcs.get(values[0])
        ticket = None if index is None else self.door.tickets[index]
        if ticket is None:
            return None, None
        if code == codec.EXPIRED:
            was_over, ticket.over = ticket.over, True
            return (None if was_over else face.ClientGone(index)), index
        if code == codec.ESTABLISHED:
            return face.StreamStarted(index, values[3]), index
        _, call_out, address, elapsed, true_units, status, final, _, _ = values
        ticket.out -= 1
        ticket.over |= bool(final)
        return face.CallOutEnded(
            index,
            call_out,
            self.door.server(address),
            codec.tenths(elapsed),
            face.Status(status),
            bool(final),
            true_units,
            codec.floats(record.tail),
        ), index

    def entries(self, data: bytes) -> tuple[face.ServerEntry, ...]:
        return tuple(
            face.ServerEntry(
                self.door.server(address),
                int.from_bytes(address, "big"),
                zone,
                cell,
                face.State(state),
                codec.tenths(up_since),
                weight,
            )
            for zone, _, address, cell, state, up_since, weight in codec.ENTRY.iter_unpack(data)
        )

    def action(self, now: int, command: face.Command) -> bytes:
        match command:
            case face.Send(rpc, server, until, _):
                self.door.tickets[rpc].out += 1
                return codec.transmit(self.door.tickets[rpc].true_id, self.door.server_ids[server], until / 10)
            case face.PushBack(rpc, retry_after):
                self.door.tickets[rpc].over = True
                return codec.deny(self.door.tickets[rpc].true_id, retry_after / 10)
            case face.Abort(rpc):
                self.door.tickets[rpc].over = True
                return codec.abort(self.door.tickets[rpc].true_id)
            case face.Cancel(rpc, call_out):
                return codec.retract(self.door.tickets[rpc].true_id, call_out)
            case face.Recall():  # on this wire a call-out begins in the instant in which it is decided
                return b""
            case face.Wake(token, after):
                return codec.remind(token, after / 10)
            case face.Probe(server):
                return codec.check(self.door.server_ids[server])
            case face.Tell(peer, data):
                return codec.signal(peer, data)
            case face.Subscribe(on):
                return codec.tail(on)
            case face.ReadList():
                return codec.read_list()
            case face.CloseIdle(server):
                return codec.disconnect(self.door.server_ids[server])
            case face.Forget(server):
                self.door.forget(server)
                return b""
            case face.Count(name, amount, kept_for):
                return codec.enter(name, amount, kept_for / 10)
            case face.Note(text):
                return codec.note_down(text)
        raise CommandUnknown(f"no such command: {command!r}")

    def handle(self, now: int, record: codec.Record, entries: bytes) -> bytes:
        try:
            event, index = self.event(record, entries)
        except (ValueError, OverflowError) as error:
            raise WireError(f"malformed frame: {codec.EVENTS[record.code][0]}: {error}") from error
        commands = () if event is None else self.brain.handle(now, event)
        actions = []
        touched = set() if index is None else {index}
        for command in commands:
            actions.append(self.action(now, command))
            if isinstance(command, (face.PushBack, face.Abort)):
                touched.add(command.rpc)
        for rpc in sorted(touched):
            self.door.settle(rpc)
        return b"".join(actions)


class Host:
    """All instances of one process and the numbered server lists, which belong to the process."""

    def __init__(self, decider: Decider = Brain) -> None:
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
                raise WireError(f"malformed frame: event code {record.code} before any Context")
            elif record.code == codec.EXIT:
                self.instances.pop(current, None)
            else:
                try:
                    actions = self.deliver(now, current, record)
                except WireError:
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
            birth = codec.read_birth(record.values[0], record.tail)
            self.instances[current] = Instance(birth, now, self.decider)
            return b""
        instance = self.instances.get(current)
        if instance is None:
            raise WireError(f"malformed frame: event code {record.code} for instance {current}, not launched")
        entries = b""
        if record.code == codec.DISCOVERY and record.values[0] != 3:
            if record.values[2] not in self.lists:
                raise WireError(f"malformed frame: list {record.values[2]} was never declared")
            entries = self.lists[record.values[2]]
        return instance.handle(now, record, entries)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    while (batch := codec.read_batch(source)) is not None:
        sink.write(codec.reply(host.batch(*batch)))
        sink.flush()
