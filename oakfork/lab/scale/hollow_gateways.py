"""Many followers in one process, for plays: the real machine, the real connections, and a store that is hollow. Each
has its own position and digests; the values, which all have alike, are shared.
`python -m oakfork.lab.scale.hollow_gateways F`.

What came is hashed by each for itself, and the record that it replaces is the one in force at its own position: so a
wrong frame is found as in a gateway. One of `full` keeps the records themselves. Tells on stdout, by lines of JSON:
what came into force where and when (CLOCK_MONOTONIC, the same for all processes of the machine), bytes and processor
time each second, and in the end (SIGTERM) the positions, digests and counts.
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

TOLD_EVERY, MARKED_EVERY = 0.2, 1.0  # seconds
LOOKS = 200  # at the pair after each change set, a turn of others between two


class One(msgspec.Struct):
    """A follower. `cold`: it begins with nothing."""

    who: str
    relays: list[str]
    seed: int
    cold: bool = False
    full: bool = False


class Config(msgspec.Struct):
    sizes: generated_state.Sizes
    start: Position  # where those that aren't cold stand, with the state of `generated_state`
    followers: list[One]


class Values:
    """Of all records, at the positions that any follower of this process has come to. Right as long as no value comes
    again after another (generated_state.py): then between two positions a record either changed, and differs, or did
    not."""

    def __init__(self, base: Mapping[Key, bytes], at: Position) -> None:
        self.base, self.at = base, at
        self.later: dict[Key, list[tuple[Position, bytes | None]]] = {}  # grows with the change sets of a play
        self.conflicts = 0  # two told different values of one position

    def value(self, key: Key, position: Position) -> bytes | None:
        for there, value in reversed(self.later.get(key, ())):
            if there <= position:
                return value
        return self.base.get(key) if position >= self.at else None

    def begin(self, values: Mapping[Key, bytes | None], position: Position) -> bool:
        """The first whole state that comes to those who are cold; whether it was the first."""
        if self.base or self.later:
            return False
        self.base, self.at = {key: value for key, value in values.items() if value is not None}, position
        return True

    def put(self, key: Key, position: Position, value: bytes | None) -> None:
        if self.value(key, position) == value:
            return
        told = self.later.setdefault(key, [])
        if any(there == position for there, _ in told) or position == self.at and key in self.base:
            self.conflicts += 1
        insort(told, (position, value), key=lambda each: each[0])

    def keys(self) -> Iterator[Key]:
        yield from list(self.base)
        yield from [key for key in self.later if key not in self.base]


class HollowStore:
    """As state.Store; `follower` is set once there is one."""

    def __init__(self, values: Values, sums: array, position: Position) -> None:
        self.values, self.sums, self.position = values, sums, position
        self.follower: Follower | None = None

    def value(self, kind: Kind, name: str) -> bytes | None:
        return self.values.value((kind, name), self.position)

    def digest_of(self, kind: Kind, name: str) -> int:
        value = self.value(kind, name)
        return 0 if value is None else record_digest(kind, name, value)

    def names(self, ranges: Collection[int]) -> Iterator[tuple[int, Kind, str] | None]:
        for kind, name in self.values.keys() if self.position > EMPTY else ():
            number = range_of(kind, name)
            yield (number, kind, name) if number in ranges and self.value(kind, name) is not None else None

    def commit(self, changes: Mapping[Key, bytes | None], sums: array) -> None:
        position = self.follower.position  # the new one already
        if self.position > EMPTY or not self.values.begin(changes, position):
            for key, value in changes.items():
                self.values.put(key, position, value)
        self.sums, self.position = sums, position

    def compact(self, most: int | None = None) -> bool:
        return False


class Counted:
    """A stream, and the bytes that go through it."""

    def __init__(self, stream: trio.SocketStream, metrics: Counter[str]) -> None:
        self.stream, self.metrics, self.socket = stream, metrics, stream.socket

    async def receive_some(self, most: int) -> bytes:
        data = await self.stream.receive_some(most)
        self.metrics["in"] += len(data)
        return data

    async def send_all(self, data: bytes) -> None:
        self.metrics["out"] += len(data)
        await self.stream.send_all(data)

    async def aclose(self) -> None:
        await self.stream.aclose()


class CountedEngine(Engine):
    metrics: Counter[str]

    async def _serve(self, link: FrameConnection, number: int, unpack: Callable[[bytes], Any]) -> None:
        link.stream = Counted(link.stream, self.metrics)
        await super()._serve(link, number, unpack)


def now_ms() -> int:
    return time.clock_gettime_ns(time.CLOCK_MONOTONIC) // 1_000_000


def tell(told: dict[str, Any]) -> None:
    print(json.dumps(told, separators=(",", ":")), flush=True)


class Host:
    """All followers of one process."""

    def __init__(self, config: Config) -> None:
        self.config, self.metrics = config, Counter()
        self.engines: list[CountedEngine] = []
        self.reached: list[list[int]] = []  # follower, term, number, ms, digest; emptied by telling
        self.half = 0  # times that the pair was seen unequal
        self.looks = 0
        log = structlog.wrap_logger(
            structlog.PrintLogger(sys.stderr),
            processors=[structlog.processors.format_exc_info, structlog.processors.JSONRenderer()],
            wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING),
        )
        needed = any(not one.cold and not one.full for one in config.followers)
        filled = generated_state.store(config.sizes) if needed else Records()
        base = {(kind, name): value for kind in Kind for name, value in filled.records[kind].items()}
        self.values = Values(base, config.start)
        for number, one in enumerate(config.followers):
            store = self._store(one, filled)
            machine = Follower(one.who, one.relays, store, EMPTY if one.cold else config.start, seed=one.seed)
            if isinstance(store, HollowStore):
                store.follower = machine
            engine = CountedEngine(machine, log, in_force=self._in_force(number, machine))
            engine.metrics = self.metrics
            self.engines.append(engine)

    def _store(self, one: One, filled: Records) -> Store:
        if one.full:
            return Records() if one.cold else generated_state.store(self.config.sizes)
        sums = array("Q", bytes(8 * RANGES)) if one.cold else array("Q", filled.sums)
        return HollowStore(self.values, sums, EMPTY if one.cold else self.config.start)

    def _in_force(self, number: int, machine: Follower) -> Callable[[InForce], None]:
        def told(command: InForce) -> None:
            self.reached.append([number, *command.position, now_ms(), machine.digest])
            if isinstance(machine.store, Records):
                self.looks = LOOKS

        return told

    async def run(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM) as signals:
            async with trio.open_nursery() as nursery:
                for engine in self.engines:
                    nursery.start_soon(engine.run)
                nursery.start_soon(self._tell)
                nursery.start_soon(self._mark)
                for engine in self.engines:
                    if isinstance(engine.machine.store, Records):
                        nursery.start_soon(self._look, engine.machine.store)
                tell({"serving": [one.who for one in self.config.followers], "ms": now_ms()})
                async for _ in signals:
                    break
                nursery.cancel_scope.cancel()
        self._flush()
        tell(
            {
                "end": [
                    [*engine.machine.position, engine.machine.digest, _brute(engine.machine.store)]
                    for engine in self.engines
                ],
                "half": self.half,
                "conflicts": self.values.conflicts,
                "counts": dict(sum((engine.counts for engine in self.engines), Counter())),
            }
        )

    def _flush(self) -> None:
        if self.reached:
            told, self.reached = self.reached, []
            tell({"in_force": told})

    async def _tell(self) -> None:
        while True:
            await trio.sleep(TOLD_EVERY)
            self._flush()

    async def _mark(self) -> None:
        while True:
            tell({"mark": now_ms(), "processor_s": time.process_time(), **self.metrics})
            await trio.sleep(MARKED_EVERY)

    async def _look(self, store: Records) -> None:
        """As requests would, at what one change set always changes together."""
        while True:
            one, other = (store.value(Kind.TENANT, name) for name in generated_state.PAIR)
            self.half += one != other
            if self.looks:
                self.looks -= 1
                await trio.lowlevel.checkpoint()
            else:
                await trio.sleep(0.02)


def _brute(store: Store) -> int | None:
    """The digest of the records themselves, where there are such."""
    if not isinstance(store, Records):
        return None
    store.compact()
    return total_digest(
        array(
            "Q",
            [
                sum(record_digest(kind, name, value) for name, value in store.records[kind].items()) % (1 << 64)
                for kind in Kind
            ],
        )
    )


if __name__ == "__main__":
    with open(sys.argv[1], "rb") as file:
        trio.run(Host(msgspec.json.decode(file.read(), type=Config)).run)
