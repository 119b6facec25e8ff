"""Runs a publisher, a relay or a single follower as a process. Over trio."""

import json
import secrets
import zlib
from functools import partial
from typing import Any, Callable, Sequence

import trio
from structlog.stdlib import BoundLogger

from oakfork.control import change_schema
from oakfork.control.claim import Claim
from oakfork.control.config import PublisherConfig, RelayConfig
from oakfork.control.connections import listen
from oakfork.control.database import Database
from oakfork.control.engine import Engine, serve
from oakfork.control.events import InForce
from oakfork.control.follower import Follower
from oakfork.control.follower_server import FollowerServer
from oakfork.control.publisher import Publisher
from oakfork.control.relay import Relay
from oakfork.control.state import Records
from oakfork.control.state_index import StateIndex
from oakfork.control.vote_file import VoteFile
from oakfork.control.voter import Voter

MAX_NAMED_RELAYS = 64  # in a status
MAX_MARK = 1 << 53  # of a publisher's start; JSON carries no larger integers safely


def complete_status(document: bytes, follower_server: FollowerServer, engine: Engine) -> bytes:
    """Adds to a machine's status, as JSON, the relays that follow it and what only the engine knows."""
    relays = [downstream for downstream in follower_server.registry.links.values() if downstream.relay]
    additions = {
        "counts": dict(engine.counts),
        "links_here": engine.incoming_count,
        "relays": [
            {"who": relay.name, "position": relay.position, "reached": len(relay.reached) - 1}
            for relay in relays[:MAX_NAMED_RELAYS]
        ],
        "others_relays": max(0, len(relays) - MAX_NAMED_RELAYS),
    }
    return json.dumps(json.loads(document) | additions).encode()


class _Publisher(Publisher):
    """A publisher whose status includes the engine's figures."""

    engine: Engine

    def status(self, now: int) -> bytes:
        return complete_status(super().status(now), self.follower_server, self.engine)


class _Relay(Relay):
    """A relay whose status includes the engine's figures."""

    engine: Engine

    def status(self, now: int) -> bytes:
        return complete_status(super().status(now), self.follower_server, self.engine)


def publisher_engine(
    config: PublisherConfig, database: Database, log: BoundLogger, *, mark: int | None = None
) -> Engine:
    """A publisher that starts from the database's content, and settles its claim before it decides.

    `mark` is a random number of this start, above 0. Without one it decides at once, in a new term, which is durable
    when this returns. Waits for the disk; call it in a worker thread. Raises DatabaseError.
    """
    loaded = database.loaded
    database.loaded = None
    index = StateIndex(loaded.records)
    claims = mark is not None
    claim = None
    if claims:
        asked = tuple(dict.fromkeys((*config.others, *config.voters)))
        claim = Claim(asked, loaded.position, config.above_term, mark, database.begun_terms, voters=len(config.voters))
    machine = _Publisher(
        config.full_name,
        None if claims else database.begin_term(config.above_term),
        loaded.position,
        loaded.records,
        change_schema.parse,
        lambda store, rows: index.contradictions(rows),
        entries=loaded.entries,
        ids=loaded.ids,
        on_change=index.in_force,
        egress=config.egress,
        max_links=config.connections,
        others=config.others,
        claim=claim,
        voters=config.voters,
    )
    machine.engine = Engine(machine, log, config.connections, database=database)
    return machine.engine


def relay_engine(config: RelayConfig, log: BoundLogger, vote_file: VoteFile | None = None) -> Engine:
    """A relay that starts with an empty state; with a file for its votes it is a voter."""
    machine = _Relay(
        config.full_name,
        config.upstreams,
        Records(),
        seed=zlib.crc32(config.full_name.encode()),
        egress=config.egress,
        max_links=config.connections,
        voter=Voter(vote_file.state) if vote_file is not None else None,
    )
    machine.engine = Engine(machine, log, config.connections, vote_file=vote_file)
    return machine.engine


async def publisher(config: PublisherConfig, log: BoundLogger) -> None:
    """Runs a publisher until SIGTERM or SIGINT. Raises AddressInUseError and DatabaseError."""
    listener = listen(config.listen)
    database = await trio.to_thread.run_sync(Database, config.database, config.log_sets, config.ids)
    try:
        mark = 1 + secrets.randbelow(MAX_MARK)
        engine = await trio.to_thread.run_sync(partial(publisher_engine, config, database, log, mark=mark))
        await serve(engine, listener, log)
    finally:
        database.close()


async def relay(config: RelayConfig, log: BoundLogger) -> None:
    """Runs a relay until SIGTERM or SIGINT. Raises AddressInUseError, and DatabaseError for the file of its votes."""
    listener = listen(config.listen)
    if config.votes is None:
        await serve(relay_engine(config, log), listener, log)
        return
    vote_file = await trio.to_thread.run_sync(VoteFile, config.votes)
    try:
        await serve(relay_engine(config, log, vote_file), listener, log)
    finally:
        vote_file.close()


async def follow(
    name: str, relays: Sequence[str], seed: int, log: BoundLogger, report: Callable[[dict[str, Any]], None]
) -> None:
    """Runs a follower until SIGTERM or SIGINT.

    Calls `report` for each position that comes into force, with the number of changed records.
    """

    def in_force(change: InForce) -> None:
        report({"before": change.before, "position": change.position, "changes": len(change.changes)})

    await serve(Engine(Follower(name, relays, Records(), seed=seed), log, in_force=in_force), None, log)
