"""Fake servers and a fake discovery agent, gateway processes in front of them, and requests to a gateway."""

import http.client
import json
import os
import random
import re
import socket
import subprocess
import sys
import threading
import time
from contextlib import closing, contextmanager, suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from oakfork.lab.port_allocator import free_addresses, text
from oakfork.sockets import configuration

CUSTOMER = "00000000b4d65521"
http.client._MAXHEADERS = 2000  # of the fake servers; http.client allows a hundred by default


class FakeService(ThreadingHTTPServer):
    """An HTTP service beside the gateway.

    `act(handler, body)` answers a request. `seen` holds method, path, headers and body of each complete request.
    """

    daemon_threads = True
    request_queue_size = 64

    def __init__(self, act):
        self.act = act
        self.seen = []
        self.lock = threading.Lock()
        super().__init__(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server_address[1]
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignores broken connections: gateways break some on purpose."""

    def stop(self):
        """Stops serving and closes the listener."""
        self.shutdown()
        self.server_close()


class Handler(BaseHTTPRequestHandler):
    """Records a request and has the service's `act` answer it."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self):  # noqa: N802 - http.server looks methods up by this name
        """Handles a request of any method."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        with self.server.lock:
            self.server.seen.append((self.command, self.path, dict(self.headers), body))
        self.server.act(self, body)

    do_POST = do_PUT = do_GET  # noqa: N815 - http.server looks methods up by these names

    def log_message(self, *args):
        """Logs nothing."""

    def reply(self, status, body=b"", **headers):
        """Sends a complete response; underscores in names of headers stand for hyphens."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class FakeDiscovery(FakeService):
    """A discovery agent with one list of servers, which answers watches when the list changes."""

    def __init__(self, servers):
        self.version = 1
        self.servers = servers
        self.changed = threading.Condition()
        super().__init__(self.serve_list)

    def serve_list(self, handler, _):
        """Answers a request for the list; a watch waits until there is a newer version or its time is over."""
        watch = re.search(r"from=(\d+)&hold_ms=(\d+)", handler.path)
        with self.changed:
            if watch:
                self.changed.wait_for(lambda: self.version > int(watch[1]), int(watch[2]) / 1000)
            document = {"version": self.version, "full": not watch, "servers": self.servers}
        handler.reply(200, json.dumps(document).encode())

    def change(self, servers):
        """Replaces the list by a new version."""
        with self.changed:
            self.version += 1
            self.servers = servers
            self.changed.notify_all()


def entry(number, address, **changes):
    """A server of a list in the format of discovery."""
    return {
        "id": f"s-{number:08x}",
        "addr": address,
        "zone": "z",
        "kind": "k",
        "cell": 0,
        "state": "up",
        "weight": 1.0,
        "started_ms": 0,
    } | changes


def _method(name, effect, aim):
    return {
        "name": name,
        "aim-ms": aim,
        "deadline-ms": 2 * aim,
        "effect": effect,
        "group": "cell",
        "key-ttl-ms": 5000.0,
        "value": 1.0,
        "late-worth": 0.0,
        "streamed": False,
    }


def settings(gateways=1, index=0, aim=1000.0, **changes):
    """The settings of a configuration; `aim` is the soft deadline of all methods in milliseconds."""
    return {
        "balancers": gateways,
        "index": index,
        "zones": ["z"],
        "zone": 0,
        "tick-ms": 4.0,
        "discovery": "automatic",
        "classes": [
            _method("read", "read_like", aim),
            _method("seal", "idempotency_key", aim),
            _method("hand", "unsafe", aim),
        ],
        "tiers-of-service": [
            {"name": "basic", "refill": 0.1, "peak-units": 5.0},
            {"name": "free", "refill": 0.0, "peak-units": 0.0},
        ],
        "limits": {
            "attempts-cap": 4,
            "cancel": True,
            "parallel-tries": True,
            "peers": gateways > 1,
            "probing": False,
            "retry-after": True,
            "conn-idle-ms": 15000.0,
            "connect-timeout-ms": 250.0,
        },
        "specifics": {"mail-per-s": 100.0, "units-top": 2, "shared-counter": True, "count-limit-ms": 200.0},
        "invariants": {"stop-sending-within-ms": 500.0},
        "stats": {"how": "off", "names": []},
    } | changes


def free_port(kind=socket.SOCK_STREAM):
    """An address from this test process's block of ports, which no other test process uses."""
    return text(free_addresses(1, kind)[0])


def configuration_document(discovery, servers, **changes):
    """A complete configuration with a free address to listen on."""
    return {
        "name": "n0",
        "listen": free_port(),
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "peers": [],
        "counter": "127.0.0.1:9",
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": settings(),
    } | changes


def environment_without_settings():
    """The environment of the tests without the variables that configure a gateway."""
    return {key: value for key, value in os.environ.items() if not key.startswith("LB_")}


def is_ready(address):
    """Whether the gateway at an address answers and is ready."""
    with suppress(OSError):
        return rpc(address, path="/-/ready")[0] == 200
    return False


@contextmanager
def started(folder, document, **variables):
    """A gateway process that is ready; asserts that it does not fail by itself.

    `document` is its configuration and `variables` are added to its environment.
    """
    path = folder / f"{document['name']}.json"
    path.write_text(json.dumps(document))
    environment = environment_without_settings() | {"LB_CONFIG": str(path)} | variables
    process = subprocess.Popen([sys.executable, "-m", "oakfork"], env=environment)
    try:
        for _ in range(200):
            try:
                if rpc(document["listen"], path="/-/ready")[0] == 200:
                    break
            except OSError:
                time.sleep(0.05)
        yield process
        assert process.poll() in (None, 0)
    finally:
        process.kill()
        process.wait()


class GatewayProcess:
    """A gateway process with a fake server for each function of `acts`, and a fake discovery agent.

    `states` changes rows of the server list, as pairs of a server's number and the changed keys.
    """

    def __init__(self, folder, acts, states=(), **changes):
        self.servers = [FakeService(act) for act in acts]
        self.rows = [
            entry(number, server.address, **dict(states).get(number, {})) for number, server in enumerate(self.servers)
        ]
        self.discovery = FakeDiscovery(self.rows)
        self.document = configuration_document(self.discovery.address, self.rows, **changes)
        self.address = self.document["listen"]
        self.folder = folder
        self.context = started(folder, self.document)

    def __enter__(self):
        self.process = self.context.__enter__()
        return self

    def __exit__(self, *error):
        self.context.__exit__(*error)
        self.stop_services()

    def stop_services(self):
        """Stops the fake services."""
        for service in (*self.servers, self.discovery):
            service.stop()

    def requests(self):
        """All requests that the servers have received."""
        return [request for server in self.servers for request in server.seen]


def connection(address):
    """An HTTP client's connection to an address."""
    return http.client.HTTPConnection(*configuration.parse_address(address), timeout=5)


def headers(lane="read", tier="free", **changes):
    """The headers of an RPC; underscores in names of changed ones stand for hyphens."""
    return {
        "X-Txn": "%016x" % random.getrandbits(64),
        "X-Lane": lane,
        "X-Tier": tier,
        "X-Remaining-Ms": "1500",
        "X-Call-Terms": "units=1,spread=1,first=0",
    } | {key.replace("_", "-"): value for key, value in changes.items()}


def rpc(address, method="GET", path=f"/api?client={CUSTOMER}", body=None, link=None, **changes):
    """Sends an RPC, on a new connection if `link` is none; returns status, body and headers of the answer."""
    link = link or connection(address)
    link.request(method, path, body, headers(**changes))
    answer = link.getresponse()
    return answer.status, answer.read(), answer.headers


def echo(handler, body):
    """Answers with the id of the RPC and its body."""
    handler.reply(200, b"made for " + handler.headers["X-Txn"].encode() + b" " + body)


def raw(address, data, answers=1):
    """Sends bytes; returns what comes until so many answers are complete or the other side ends."""
    with closing(socket.create_connection(configuration.parse_address(address), timeout=8)) as sock:
        received = b""
        with suppress(ConnectionError):
            sock.sendall(data)
        with suppress(ConnectionError):
            while received.count(b"HTTP/1.1 ") < answers or not is_complete(received):
                more = sock.recv(65536)
                if not more:
                    break
                received += more
        return received


def is_complete(received):
    """Whether the last answer in these bytes is complete."""
    head, _, body = received[received.rindex(b"HTTP/1.1 ") :].partition(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head)
    return length is not None and len(body) == int(length[1])


def until(condition):
    """Waits up to five seconds for a condition; returns whether it came true."""
    for _ in range(100):
        if condition():
            return True
        time.sleep(0.05)
    return False


def request_bytes(**changes):
    """The bytes of an RPC without a body; a header that is changed to None is left out."""
    fields = {"X-Txn": "1", "X-Lane": "read", "X-Tier": "free", "X-Remaining-Ms": "500"} | changes
    lines = [f"{name}: {value}" for name, value in fields.items() if value is not None]
    return "\r\n".join(["GET /api?client=%s HTTP/1.1" % CUSTOMER, "Host: a", *lines, "", ""]).encode()


def read_test_configuration(tmp_path, **changes):
    """A GatewayConfiguration read from a file, with a discovery agent that nobody runs."""
    path = tmp_path / "here.json"
    path.write_text(json.dumps(configuration_document("127.0.0.1:9", [], **changes)))
    return configuration.read_configuration({"LB_CONFIG": str(path)})
