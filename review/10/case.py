"""A deduplicated RPC is sent again to a zone that a change set brought: it runs in two zones."""

import socket
import struct
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from fleet import METHODS, fleet_file, publisher_text, relay_text, server_item  # noqa: E402
from rig import (  # noqa: E402
    TROUBLE,
    CannotRunError,
    Client,
    Rig,
    TrackServer,
    configuration,
    free_addresses,
    method,
    publish,
    row,
    run_case,
    settings,
    start_control,
    start_gateway,
)

RPCS = 60
CLIENTS = 4


def reset(sock):
    """Ends a connection by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return False


def scenario(rig):
    """Every third key's first attempt is run and its connection reset; no key may run in two zones."""
    attempts = {}  # key -> [server]
    servers = {}

    def behaviour(name):
        def behave(number, headers, sock):
            key = headers.get("idempotency-key")
            tries = attempts.setdefault(key, [])
            tries.append(name)
            if TROUBLE and len(tries) == 1 and int(key, 16) % 3 == 0:
                rig.note("run, then reset", server=name, key=key)
                return reset(sock)
            time.sleep(0.1)
            return None

        return behave

    for name in ("a-1", "a-2", "b-1", "b-2"):
        servers[name] = TrackServer(rig, name, behaviour(name))
    zones = {name: "hall-" + name[0] for name in servers}
    publisher = start_control(rig, "publisher", "publisher", publisher_text(rig, "publisher-1"))
    relay = start_control(rig, "relay", "relay", relay_text("relay-1", [publisher]))

    def items(letter):
        return [
            server_item(name, server.address, "track", zone=zones[name])
            for name, server in servers.items()
            if name[0] == letter
        ]

    begin = {"id": "begin", "put": {"services": [{"name": "track", "methods": METHODS}], "servers": items("a")}}
    if publish(rig, publisher, begin)[0]:
        raise CannotRunError("the first change set was not accepted")
    listen = free_addresses(1)[0]
    seal = method("seal", "idempotency_key", group="zone")
    known = [row(name, server.address, zone=zones[name]) for name, server in servers.items() if name[0] == "a"]
    document = configuration(
        listen,
        free_addresses(1)[0],
        known,
        settings=settings(zones=["hall-a"], classes=[method("read", "read_like"), seal]),
    )
    start_gateway(rig, document, LB_FLEET=fleet_file(rig, relay))
    if publish(rig, publisher, {"id": "hall-b", "put": {"servers": items("b")}})[0]:
        raise CannotRunError("the change set of the new zone was not accepted")
    time.sleep(3)
    answers = []

    def send(first):
        client = Client(rig, listen)
        for number in range(first, RPCS, CLIENTS):
            answers.append(client.rpc(lane="seal", method="POST", body=b"door event", key=f"{number:032x}"))

    clients = [threading.Thread(target=send, args=(first,)) for first in range(CLIENTS)]
    for each in clients:
        each.start()
    for each in clients:
        each.join()
    time.sleep(1)
    served = sum(status == 200 for status, _ in answers)
    twice = {key: tries for key, tries in attempts.items() if len({zones[name] for name in tries}) > 1}
    rig.note("end", served=served, ran_in_two_zones=twice)
    if not served or not {zones[name] for tries in attempts.values() for name in tries} >= {"hall-a", "hall-b"}:
        raise CannotRunError("nothing was served, or one zone was not used")
    return bool(twice), f"{len(twice)} of {len(attempts)} marks ran in both zones"


run_case(Rig(__file__), scenario)
