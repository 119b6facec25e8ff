"""A publisher, a relay, or a follower by itself, as a process. Over trio."""

import json
import zlib
from typing import Any, Callable, Sequence

import trio
from structlog.stdlib import BoundLogger

from oakfork.control import change_schema
from oakfork.control.config import PublisherFile, RelayFile
from oakfork.control.connections import listen
from oakfork.control.database import Database
from oakfork.control.engine import Engine, serve
from oakfork.control.events import InForce
from oakfork.control.follower import Follower
from oakfork.control.follower_server import FollowerServer
from oakfork.control.publisher import Publisher
from oakfork.control.relay import Relay
from oakfork.control.state import Records

MOST_RELAYS = 64  # named in a status


def with_more(told: bytes, follower_server: FollowerServer, engine: Engine) -> bytes:
    """A status, and what only who drives the machine knows."""
    relays = [below for below in follower_server.registry.links.values() if below.relay]
    return json.dumps(
        json.loads(told)
        | {
            "counts": dict(engine.counts),
            "links_here": engine.coming,
            "relays": [
                {"who": below.who, "position": below.position, "reached": len(below.names) - 1}
                for below in relays[:MOST_RELAYS]
            ],
            "others_relays": max(0, len(relays) - MOST_RELAYS),
        }
    ).encode()


class _Publisher(Publisher):
    engine: Engine

    def status(self, now: int) -> bytes:
        return with_more(super().status(now), self.follower_server, self.engine)


class _Relay(Relay):
    engine: Engine

    def status(self, now: int) -> bytes:
        return with_more(super().status(now), self.follower_server, self.engine)


def publisher_engine(file: PublisherFile, database: Database, log: BoundLogger) -> Engine:
    """A publisher of a new term, upon what its database holds; the term is durable when this returns. Waits for the
    disk: call it in a thread."""
    loaded, database.loaded = database.loaded, None
    index = change_schema.StateIndex(loaded.records)
    machine = _Publisher(
        file.who,
        database.begin_term(file.above_term),
        loaded.position,
        loaded.records,
        change_schema.parse,
        lambda store, rows: index.contradictions(rows),
        entries=loaded.entries,
        ids=loaded.ids,
        told=index.in_force,
        egress=file.egress,
        most=file.connections,
        others=file.others,
    )
    machine.engine = Engine(machine, log, file.connections, database=database)
    return machine.engine


def relay_engine(file: RelayFile, log: BoundLogger) -> Engine:
    machine = _Relay(
        file.who,
        file.upstreams,
        Records(),
        seed=zlib.crc32(file.who.encode()),
        egress=file.egress,
        most=file.connections,
    )
    machine.engine = Engine(machine, log, file.connections)
    return machine.engine


async def publisher(file: PublisherFile, log: BoundLogger) -> None:
    """Raises AddressInUseError and DatabaseError."""
    listener = listen(file.listen)
    database = await trio.to_thread.run_sync(Database, file.database, file.log_sets, file.ids)
    try:
        engine = await trio.to_thread.run_sync(publisher_engine, file, database, log)
        await serve(engine, listener, log)
    finally:
        database.close()


async def relay(file: RelayFile, log: BoundLogger) -> None:
    """Raises AddressInUseError."""
    await serve(relay_engine(file, log), listen(file.listen), log)


async def follow(
    who: str, relays: Sequence[str], seed: int, log: BoundLogger, tell: Callable[[dict[str, Any]], None]
) -> None:
    """Tells of each position that comes into force, and how many records changed."""

    def in_force(told: InForce) -> None:
        tell({"before": told.before, "position": told.position, "changes": len(told.changes)})

    await serve(Engine(Follower(who, relays, Records(), seed=seed), log, in_force=in_force), None, log)
