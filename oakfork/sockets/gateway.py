"""Puts the parts of a gateway together, turns them to new addresses on SIGHUP, takes it out of service on SIGTERM."""

import logging
import math
import os
import signal
import socket
import sys
from typing import TYPE_CHECKING, AsyncIterator

import structlog
import trio
from structlog.stdlib import BoundLogger

from oakfork import early_signals
from oakfork.errors import AddressInUseError, ConfigurationError, FileError, log_fields
from oakfork.sockets.client_connections import ClientConnections
from oakfork.sockets.configuration import GatewayConfiguration, reread_addresses
from oakfork.sockets.counter_client import CounterClient
from oakfork.sockets.decision_loop import DecisionLoop
from oakfork.sockets.discovery import DiscoveryClient
from oakfork.sockets.http_connection import bind_socket
from oakfork.sockets.messages import LoopEvent, ServersListed, enqueue
from oakfork.sockets.peers import PeerSocket
from oakfork.sockets.server_connections import ServerConnections

if TYPE_CHECKING:
    from oakfork.fleet.services import FleetServices

OTHERS = 24  # descriptors for the other parties and the interpreter: twelve were seen, more where lists are read
ANSWERS = 64  # an answer may take that part of the memory: a third is the program's, few are so large at once
LINGER = 0.6  # seconds after SIGTERM in which new connections are still taken: they come for 0.4 s
# A new configuration that is not usable is read again so often, so many seconds apart: it may be half written. What it
# says counts four seconds after SIGHUP.
READINGS, BETWEEN = 13, 0.25
MARGIN = 0.7  # seconds beyond the longest deadline after which it ends in any case, as in PROTOCOL


def logger(name: str) -> BoundLogger:
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger(gateway=name)


async def run(here: GatewayConfiguration) -> None:
    log = logger(here.name)
    queue, inbox = trio.open_memory_channel(math.inf)  # see messages.tell
    try:
        listener = bind_socket(socket.SOCK_STREAM, here.listen)
        datagrams = bind_socket(socket.SOCK_DGRAM, here.peer_listen) if here.peer_listen else None
        fleet = _fleet(here, log, queue)
    except AddressInUseError as error:
        log.error("an address of its own can't be had", **log_fields(error))
        sys.exit(error.status)
    except FileError as error:
        log.error("a file of the fleet is not usable", **log_fields(error))
        sys.exit(error.status)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            # Two fifths of the descriptors for the servers, OTHERS for the rest, what is left for the clients.
            to_servers = here.sockets * 2 // 5
            largest = here.memory // ANSWERS
            servers = ServerConnections(
                to_servers, largest, here.connect_patience, here.idle_patience, here.settings.load_report_names
            )
            clients = ClientConnections(here, listener, max(1, here.sockets - to_servers - OTHERS), queue, nursery, log)
            discovery = DiscoveryClient(here, queue, log)
            peers = PeerSocket(here, datagrams, queue) if datagrams else None
            counter = CounterClient(here, queue) if here.counter else None
            decision_loop = DecisionLoop(
                here, inbox, queue, servers, discovery, peers, counter, nursery, log, fleet.contracts if fleet else None
            )
            told_by_fleet = fleet is not None and fleet.agent is not None  # of the servers, in discovery's place
            for part in (decision_loop, clients, servers, None if told_by_fleet else discovery, peers, counter):
                if part is not None:
                    nursery.start_soon(part.run)
            nursery.start_soon(decision_loop.tick)
            if fleet:
                nursery.start_soon(fleet.run)
            nursery.start_soon(clients.sweep)
            log.info("serving", listen="%s:%d" % here.listen)
            to_leave = trio.Event()
            nursery.start_soon(_heed, signals, to_leave, discovery, counter, fleet, log)
            await to_leave.wait()
            log.info("leaving", connections=len(clients.open))
            clients.leave()
            if fleet:
                nursery.start_soon(fleet.leave)
            await trio.sleep(LINGER)
            clients.accepting.cancel()
            with trio.move_on_after(max(3.0, here.longest_deadline) + MARGIN - LINGER):
                await clients.empty.wait()
            nursery.cancel_scope.cancel()
    log.info("left")


def _fleet(
    here: GatewayConfiguration, log: BoundLogger, queue: trio.MemorySendChannel[LoopEvent]
) -> "FleetServices | None":
    """What is done with the other gateways beside the module, where LB_FLEET names a file: nothing of it is imported
    otherwise, and `run` of the platform names none."""
    path = os.environ.get("LB_FLEET")
    if not path:
        return None
    from oakfork.fleet.services import FleetServices

    return FleetServices(path, here, log, lambda servers: enqueue(queue, ServersListed(False, False, servers)))


async def _heed(
    signals: AsyncIterator[int],
    to_leave: trio.Event,
    discovery: DiscoveryClient,
    counter: CounterClient | None,
    fleet: "FleetServices | None",
    log: BoundLogger,
) -> None:
    """Takes signals until the end of the process, while it leaves too: one that nobody takes would end it."""
    async with trio.open_nursery() as nursery:
        if early_signals.take_pending_hangup():
            nursery.start_soon(_turn, discovery, counter, log)
        async for number in signals:
            if number != signal.SIGHUP:
                to_leave.set()
                continue
            nursery.start_soon(_turn, discovery, counter, log)
            if fleet:
                fleet.reread()


async def _turn(discovery: DiscoveryClient, counter: CounterClient | None, log: BoundLogger) -> None:
    """Goes over to what the configuration names now. One that is not usable is read again for three seconds, and then
    changes nothing: the gateway serves on."""
    for reading in range(READINGS):
        try:
            to_discovery, to_counter = reread_addresses(os.environ)
            break
        except ConfigurationError as error:
            if reading == READINGS - 1:
                log.error("the new configuration is not usable, the old one holds", **log_fields(error))
                return
            await trio.sleep(BETWEEN)
    discovery.change_address(to_discovery)
    if counter is not None and to_counter is not None:
        counter.change_address(to_counter)
    log.info("configuration read anew", discovery="%s:%d" % to_discovery)
