"""Discovery agents played by a test on plain sockets, and the configuration of a client of them."""

import json
import socket
from contextlib import contextmanager
from types import SimpleNamespace

import trio

ROW = {"id": "s-1", "addr": "127.0.0.1:1", "state": "up"}


def discovery_configuration(address, **changes):
    """What a DiscoveryClient reads of a GatewayConfiguration; `changes` replace single values."""
    values = {
        "discovery": address,
        "known": {"version": 1},
        "connect_timeout": 0.25,
        "settings": SimpleNamespace(subscribes_to_list=False, seed=5),
    }
    return SimpleNamespace(**(values | changes))


def list_body(version, full=True, servers=(ROW,)):
    """The body of a list."""
    return json.dumps({"version": version, "full": full, "servers": list(servers)}).encode()


def list_answer(version, full=True):
    """The bytes of an answer with a list of one server."""
    body = list_body(version, full)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@contextmanager
def listeners(count):
    """So many listening sockets on loopback addresses."""
    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    try:
        yield socks
    finally:
        for sock in socks:
            sock.close()


async def accept(listener):
    """The next connection, and the bytes of its first request."""
    sock, _ = await trio.to_thread.run_sync(listener.accept)
    sock.settimeout(5)
    return sock, await trio.to_thread.run_sync(sock.recv, 9000)


async def next_request(sock):
    """The bytes of the next request on a connection."""
    return await trio.to_thread.run_sync(sock.recv, 9000)
