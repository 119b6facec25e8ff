"""Many followers in one process: real machines and real connections, with a store that shares its values.

    python -m oakfork.lab.scale.hollow_gateways CONFIG

Each follower has its own position and digests; the values, which are the same for all, are kept once. Each follower
hashes what it receives for itself, and the record that it replaces is the one in force at its own position, so that a
wrong frame is detected as in a gateway. A follower that is `full` keeps the records themselves.

The process writes lines of JSON to stdout: what came into force where and when (CLOCK_MONOTONIC, which all processes of
the machine share), bytes and processor time each second, and, on SIGTERM, the final positions, digests and counts.
"""

import json
import logging
import signal
import sys
import time
from array import array
from bisect import insort
from collections import Counter
from typing import Any, Callable, Collection, Iterator, Mapping

import msgspec
import structlog
import trio

from oakfork.control.connections import FrameConnection
from oakfork.control.engine import Engine
from oakfork.control.events import InForce, Key
from oakfork.control.follower import Follower
from oakfork.control.messages import EMPTY, RANGES, Kind, Position
from oakfork.control.state import Records, Store, range_of, record_digest, total_digest
from oakfork.lab.scale import generated_state

REPORT_INTERVAL_S = 0.2  # between reports of what came into force
MARK_INTERVAL_S = 1.0  # between reports of bytes and processor time
PAIR_CHECKS = 200  # of the pair of tenants after each change set, with a turn of the other tasks between two
PAIR_CHECK_INTERVAL_S = 0.02  # between checks of the pair once those are done


class FollowerConfig(msgspec.Struct):
    """A follower. A `cold` one begins without the state, a `full` one keeps the records themselves."""

    who: str
    relays: list[str]
    seed: int
    cold: bool = False
    full: bool = False


class Config(msgspec.Struct):
    """The followers of one process and where they begin."""

    sizes: generated_state.Sizes
    start: Position  # of the followers that aren't cold, which begin with the state of `generated_state`
    followers: list[FollowerConfig]


class SharedValues:
    """The values of all records, at the positions that any follower of this process has reached.

    It relies on no value coming again after another one (generated_state.py): between two positions a record has then
    either changed, and differs, or has not changed.
    """

    def __init__(self, base: Mapping[Key, bytes], start: Position) -> None:
        self.base = base
        self.start = start
        self.later: dict[Key, list[tuple[Position, bytes | None]]] = {}  # grows with the change sets of a run
        self.conflicts = 0  # times that two followers received different values for one position

    def value(self, key: Key, position: Position) -> bytes | None:
        """The value of a record at a position, None where there is none."""
        for changed_at, value in reversed(self.later.get(key, ())):
            if changed_at <= position:
                return value
        if position >= self.start:
            return self.base.get(key)
        return None

    def begin(self, values: Mapping[Key, bytes | None], position: Position) -> bool:
        """Takes the first complete state that a cold follower receives; returns whether it was the first."""
        if self.base or self.later:
            return False
        self.base = {key: value for key, value in values.items() if value is not None}
        self.start = position
        return True

    def put(self, key: Key, position: Position, value: bytes | None) -> None:
        """Stores the value that a follower received for a position, and counts a conflict with another follower's."""
        if self.value(key, position) == value:
            return
        history = self.later.setdefault(key, [])
        in_history = any(changed_at == position for changed_at, _ in history)
        if in_history or (position == self.start and key in self.base):
            self.conflicts += 1
        insort(history, (position, value), key=lambda entry: entry[0])

    def keys(self) -> Iterator[Key]:
        """Each record that has or had a value."""
        yield from list(self.base)
        yield from [key for key in self.later if key not in self.base]


class HollowStore:
    """A store, as state.Store, whose values are shared; `follower` is set once there is one."""

    def __init__(self, values: SharedValues, sums: array, position: Position) -> None:
        self.values = values
        self.sums = sums
        self.position = position
        self.follower: Follower | None = None

    def value(self, kind: Kind, name: str) -> bytes | None:
        """The record in force at the store's position."""
        return self.values.value((kind, name), self.position)

    def digest_of(self, kind: Kind, name: str) -> int:
        """The digest of the record in force, 0 where there is none."""
        value = self.value(kind, name)
        return 0 if value is None else record_digest(kind, name, value)

    def names(self, ranges: Collection[int]) -> Iterator[tuple[int, Kind, str] | None]:
        """The records in force in the given ranges; None for each other record, where the caller may pause."""
        if not self.position > EMPTY:
            return
        for kind, name in self.values.keys():
            number = range_of(kind, name)
            in_force = number in ranges and self.value(kind, name) is not None
            yield (number, kind, name) if in_force else None

    def commit(self, changes: Mapping[Key, bytes | None], sums: array) -> None:
        """Puts changes in force, at the position that the follower has already moved to."""
        position = self.follower.position
        if self.position > EMPTY or not self.values.begin(changes, position):
            for key, value in changes.items():
                self.values.put(key, position, value)
        self.sums = sums
        self.position = position

    def compact(self, most: int | None = None) -> bool:
        """There is nothing to compact."""
        return False


class CountingStream:
    """A stream that counts the bytes going through it."""

    def __init__(self, stream: trio.SocketStream, metrics: Counter[str]) -> None:
        self.stream = stream
        self.metrics = metrics
        self.socket = stream.socket

    async def receive_some(self, most: int) -> bytes:
        """Receives at most `most` bytes."""
        data = await self.stream.receive_some(most)
        self.metrics["in"] += len(data)
        return data

    async def send_all(self, data: bytes) -> None:
        """Sends all of the data."""
        self.metrics["out"] += len(data)
        await self.stream.send_all(data)

    async def aclose(self) -> None:
        """Closes the stream."""
        await self.stream.aclose()


class CountingEngine(Engine):
    """An engine that counts the bytes of its connections in `metrics`."""

    metrics: Counter[str]

    async def _serve(self, link: FrameConnection, number: int, unpack: Callable[[bytes], Any]) -> None:
        link.stream = CountingStream(link.stream, self.metrics)
        await super()._serve(link, number, unpack)


def now_ms() -> int:
    """The machine's monotonic clock in milliseconds."""
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1_000_000


def write_report(report: dict[str, Any]) -> None:
    """Writes one line of JSON to stdout."""
    print(json.dumps(report, separators=(",", ":")), flush=True)


class HollowProcess:
    """All followers of one process."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.metrics: Counter[str] = Counter()
        self.engines: list[CountingEngine] = []
        self.in_force: list[list[int]] = []  # follower, term, number, ms, digest; emptied by each report
        self.half = 0  # times that the pair was seen unequal
        self.pending_pair_checks = 0
        log = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[structlog.processors.format_exc_info, structlog.processors.JSONRenderer()],
            wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING),
        )
        needs_state = any(not follower.cold and not follower.full for follower in config.followers)
        state = generated_state.store(config.sizes) if needs_state else Records()
        base = {(kind, name): value for kind in Kind for name, value in state.records[kind].items()}
        self.values = SharedValues(base, config.start)
        for number, follower in enumerate(config.followers):
            store = self._store(follower, state)
            start = EMPTY if follower.cold else config.start
            machine = Follower(follower.who, follower.relays, store, start, seed=follower.seed)
            if isinstance(store, HollowStore):
                store.follower = machine
            engine = CountingEngine(machine, log, in_force=self._in_force(number, machine))
            engine.metrics = self.metrics
            self.engines.append(engine)

    def _store(self, follower: FollowerConfig, state: Records) -> Store:
        if follower.full:
            return Records() if follower.cold else generated_state.store(self.config.sizes)
        if follower.cold:
            return HollowStore(self.values, array("Q", bytes(8 * RANGES)), EMPTY)
        return HollowStore(self.values, array("Q", state.sums), self.config.start)

    def _in_force(self, number: int, machine: Follower) -> Callable[[InForce], None]:
        def record(command: InForce) -> None:
            self.in_force.append([number, *command.position, now_ms(), machine.digest])
            if isinstance(machine.store, Records):
                self.pending_pair_checks = PAIR_CHECKS

        return record

    async def run(self) -> None:
        """Runs the followers until SIGTERM, then writes the final report."""
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async with trio.open_nursery() as nursery:
                for engine in self.engines:
                    nursery.start_soon(engine.run)
                nursery.start_soon(self._report_in_force)
                nursery.start_soon(self._report_marks)
                for engine in self.engines:
                    if isinstance(engine.machine.store, Records):
                        nursery.start_soon(self._check_pair, engine.machine.store)
                write_report({"serving": [follower.who for follower in self.config.followers], "ms": now_ms()})
                async for _ in signals:
                    break
                nursery.cancel_scope.cancel()
        self._flush()
        write_report(
            {
                "end": [
                    [*engine.machine.position, engine.machine.digest, _digest_of_records(engine.machine.store)]
                    for engine in self.engines
                ],
                "half": self.half,
                "conflicts": self.values.conflicts,
                "counts": dict(sum((engine.counts for engine in self.engines), Counter())),
            }
        )

    def _flush(self) -> None:
        if self.in_force:
            entries = self.in_force
            self.in_force = []
            write_report({"in_force": entries})

    async def _report_in_force(self) -> None:
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            self._flush()

    async def _report_marks(self) -> None:
        while True:
            write_report({"mark": now_ms(), "processor_s": time.process_time(), **self.metrics})
            await trio.sleep(MARK_INTERVAL_S)

    async def _check_pair(self, store: Records) -> None:
        """Reads, as requests would, two tenants that each change set changes together, and counts differences."""
        while True:
            first, second = (store.value(Kind.TENANT, name) for name in generated_state.PAIR)
            self.half += first != second
            if self.pending_pair_checks:
                self.pending_pair_checks -= 1
                await trio.lowlevel.checkpoint()
            else:
                await trio.sleep(PAIR_CHECK_INTERVAL_S)


def _digest_of_records(store: Store) -> int | None:
    """The digest computed from the records one by one, None where the store keeps none."""
    if not isinstance(store, Records):
        return None
    store.compact()
    sums = [
        sum(record_digest(kind, name, value) for name, value in store.records[kind].items()) % (1 << 64)
        for kind in Kind
    ]
    return total_digest(array("Q", sums))


if __name__ == "__main__":
    with open(sys.argv[1], "rb") as file:
        trio.run(HollowProcess(msgspec.json.decode(file.read(), type=Config)).run)
