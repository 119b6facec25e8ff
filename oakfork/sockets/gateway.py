"""Runs a gateway: starts its parts, rereads addresses on SIGHUP, and shuts it down gracefully on SIGTERM or SIGINT."""

import dataclasses
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
from oakfork.sockets.discovery import DiscoveryClient, server_rows
from oakfork.sockets.http_connection import bind_socket
from oakfork.sockets.memory_account import KIB, MemoryAccount, ResourceLog, anonymous_memory, plan_memory
from oakfork.sockets.messages import LoopEvent, ServersListed, enqueue
from oakfork.sockets.peers import PeerSocket
from oakfork.sockets.server_connections import ServerConnections
from oakfork.sockets.shutdown import ACCEPT_AFTER_SIGTERM, LAST_ANSWERS_TIME, Shutdown

if TYPE_CHECKING:
    from oakfork.fleet.services import FleetServices

# Descriptors for the interpreter and for the services beside servers and clients. Twelve are usually open, more while
# server lists are read.
RESERVED_SOCKETS = 24
# The largest answer, as a fraction of the memory: the program takes a third of it, and only few answers are so large at
# the same time.
MEMORY_PER_ANSWER = 64
# A new configuration that is not usable may be half written: it is read so often, with pauses of so many seconds. It
# must be in force four seconds after SIGHUP.
REREAD_ATTEMPTS = 13
REREAD_PAUSE = 0.25


def logger(name: str) -> BoundLogger:
    """A logger that writes JSON lines to standard error; `name` is the gateway's."""
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


async def run(configuration: GatewayConfiguration) -> None:
    """Serves until SIGTERM or SIGINT and then leaves; exits the process if an address or a file can't be used."""
    log = logger(configuration.name)
    queue, inbox = trio.open_memory_channel(math.inf)  # messages.enqueue says why it is unbounded
    try:
        listener = bind_socket(socket.SOCK_STREAM, configuration.listen)
        datagrams = bind_socket(socket.SOCK_DGRAM, configuration.peer_listen) if configuration.peer_listen else None
        fleet = _fleet(configuration, log, queue)
    except AddressInUseError as error:
        log.error("listen address not available", **log_fields(error))
        sys.exit(error.status)
    except FileError as error:
        log.error("fleet file not usable", **log_fields(error))
        sys.exit(error.status)
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            # Two fifths of the descriptors are for servers, RESERVED_SOCKETS for the rest, the remainder for clients.
            server_sockets = configuration.sockets * 2 // 5
            client_sockets = max(1, configuration.sockets - server_sockets - RESERVED_SOCKETS)
            plan = plan_memory(configuration.memory, anonymous_memory(), len(server_rows(configuration.known)))
            settings = dataclasses.replace(configuration.settings, max_customers=plan.customers)
            configuration = dataclasses.replace(configuration, settings=settings)
            memory = MemoryAccount(plan.received)
            client_sockets = min(client_sockets, plan.connections)
            resource_log = ResourceLog(log, memory)
            servers = ServerConnections(
                server_sockets,
                configuration.memory // MEMORY_PER_ANSWER,
                configuration.connect_timeout,
                configuration.idle_timeout,
                configuration.settings.load_report_names,
                resource_log,
                memory,
            )
            clients = ClientConnections(
                configuration, listener, client_sockets, queue, nursery, log, memory, resource_log
            )
            discovery = DiscoveryClient(configuration, queue, log)
            peers = PeerSocket(configuration, datagrams, queue) if datagrams else None
            counter = CounterClient(configuration, queue) if configuration.counter else None
            contracts = fleet.contracts if fleet else None
            decision_loop = DecisionLoop(
                configuration, inbox, queue, servers, discovery, peers, counter, nursery, log, contracts
            )
            follows_control = fleet is not None and fleet.agent is not None  # which lists the servers then
            watch = None if follows_control else discovery
            for part in (decision_loop, clients, servers, watch, peers, counter):
                if part is not None:
                    nursery.start_soon(part.run)
            nursery.start_soon(decision_loop.tick)
            if fleet:
                nursery.start_soon(fleet.run)
            nursery.start_soon(clients.sweep)
            nursery.start_soon(clients.pass_monitor.run)
            nursery.start_soon(resource_log.run, clients.count_open)
            log.info(
                "serving",
                listen="%s:%d" % configuration.listen,
                max_connections=client_sockets,
                max_received_kib=plan.received // KIB,
            )
            shutdown = trio.Event()
            nursery.start_soon(_receive_signals, signals, shutdown, discovery, counter, fleet, log)
            await shutdown.wait()
            log.info("leaving", connections=len(clients.open))
            if fleet:
                nursery.start_soon(fleet.leave)
            await _drain(clients, Shutdown(configuration.longest_deadline))
            resource_log.write(clients.count_open())
            nursery.cancel_scope.cancel()
    log.info("left")


async def _drain(clients: ClientConnections, shutdown: Shutdown) -> None:
    """Returns once everything that clients have sent is answered, or when the process has to end."""
    clients.leave(shutdown)
    await trio.sleep_until(shutdown.began_at + ACCEPT_AFTER_SIGTERM)
    clients.accepting.cancel()
    with trio.move_on_at(shutdown.end - LAST_ANSWERS_TIME):
        await clients.empty.wait()
    clients.abort_unanswered()
    with trio.move_on_at(shutdown.end):
        await clients.empty.wait()


def _fleet(
    configuration: GatewayConfiguration, log: BoundLogger, queue: trio.MemorySendChannel[LoopEvent]
) -> "FleetServices | None":
    """The services that gateways run together, if LB_FLEET names a file.

    Nothing of them is imported otherwise: `run` of the platform sets no LB_FLEET.
    """
    path = os.environ.get("LB_FLEET")
    if not path:
        return None
    from oakfork.fleet.services import FleetServices

    return FleetServices(path, configuration, log, lambda rows: enqueue(queue, ServersListed(False, False, rows)))


async def _receive_signals(
    signals: AsyncIterator[int],
    shutdown: trio.Event,
    discovery: DiscoveryClient,
    counter: CounterClient | None,
    fleet: "FleetServices | None",
    log: BoundLogger,
) -> None:
    """Handles signals until the process ends, also while it leaves: an unhandled one would end it."""
    async with trio.open_nursery() as nursery:
        if early_signals.take_pending_hangup():
            nursery.start_soon(_reload, discovery, counter, log)
        async for number in signals:
            if number != signal.SIGHUP:
                shutdown.set()
                continue
            nursery.start_soon(_reload, discovery, counter, log)
            if fleet:
                fleet.reread()


async def _reload(discovery: DiscoveryClient, counter: CounterClient | None, log: BoundLogger) -> None:
    """Turns to the addresses that the configuration names now.

    A configuration that is not usable is read again for three seconds; if it stays so, nothing changes and the gateway
    serves on.
    """
    for attempt in range(REREAD_ATTEMPTS):
        try:
            discovery_address, counter_address = reread_addresses(os.environ)
            break
        except ConfigurationError as error:
            if attempt == REREAD_ATTEMPTS - 1:
                log.error("new configuration not usable, the old one stays in force", **log_fields(error))
                return
            await trio.sleep(REREAD_PAUSE)
    discovery.change_address(discovery_address)
    if counter is not None and counter_address is not None:
        counter.change_address(counter_address)
    log.info("configuration reloaded", discovery="%s:%d" % discovery_address)
