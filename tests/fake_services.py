"""Stand-ins for the parties beside a gateway, and the program started before them."""

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
http.client._MAXHEADERS = 2000  # of the stand-ins, which take a hundred otherwise


class FakeService(ThreadingHTTPServer):
    """A party beside the gateway; `act` answers a request, and `seen` has what came whole."""

    daemon_threads = True
    request_queue_size = 64

    def __init__(self, act):
        self.act, self.seen, self.lock = act, [], threading.Lock()
        super().__init__(("127.0.0.1", 0), Handler)
        self.address = "127.0.0.1:%d" % self.server_address[1]
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request, client_address):
        pass  # gateways break connections on purpose


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_GET(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        with self.server.lock:
            self.server.seen.append((self.command, self.path, dict(self.headers), body))
        self.server.act(self, body)

    do_POST = do_PUT = do_GET

    def log_message(self, *args):
        pass

    def reply(self, status, body=b"", **headers):
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class FakeDiscovery(FakeService):
    """An agent that tells one list, and changes of it to those who watch."""

    def __init__(self, servers):
        self.version, self.servers, self.changed = 1, servers, threading.Condition()
        super().__init__(self.tell)

    def tell(self, handler, _):
        asked = re.search(r"from=(\d+)&hold_ms=(\d+)", handler.path)
        with self.changed:
            if asked:
                self.changed.wait_for(lambda: self.version > int(asked[1]), int(asked[2]) / 1000)
            told = {"version": self.version, "full": not asked, "servers": self.servers}
        handler.reply(200, json.dumps(told).encode())

    def change(self, servers):
        with self.changed:
            self.version, self.servers = self.version + 1, servers
            self.changed.notify_all()


def entry(number, address, **more):
    return {
        "id": f"s-{number:08x}",
        "addr": address,
        "zone": "z",
        "kind": "k",
        "cell": 0,
        "state": "up",
        "weight": 1.0,
        "started_ms": 0,
    } | more


def settings(gateways=1, index=0, aim=1000.0, **more):
    def method(name, effect, **rest):
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
        } | rest

    return {
        "balancers": gateways,
        "index": index,
        "zones": ["z"],
        "zone": 0,
        "tick-ms": 4.0,
        "discovery": "automatic",
        "classes": [method("read", "read_like"), method("seal", "idempotency_key"), method("hand", "unsafe")],
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
    } | more


def free_port(kind=socket.SOCK_STREAM):
    """An address of this test worker's alone: its process's block of ports, which no other process gets."""
    return text(free_addresses(1, kind)[0])


def told(discovery, servers, **more):
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
    } | more


@contextmanager
def started(folder, configuration_told, **variables):
    """The program, ready; asserts that it has not ended by itself. `variables`: more of its environment."""
    path = folder / f"{configuration_told['name']}.json"
    path.write_text(json.dumps(configuration_told))
    environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
    variables = environment | {"LB_CONFIG": str(path)} | variables
    process = subprocess.Popen([sys.executable, "-m", "oakfork"], env=variables)
    try:
        for _ in range(200):
            try:
                if rpc(configuration_told["listen"], path="/-/ready")[0] == 200:
                    break
            except OSError:
                time.sleep(0.05)
        yield process
        assert process.poll() in (None, 0)
    finally:
        process.kill()
        process.wait()


class GatewayProcess:
    """One gateway before a few servers."""

    def __init__(self, folder, acts, states=(), **more):
        self.servers = [FakeService(act) for act in acts]
        self.list = [entry(i, server.address, **dict(states).get(i, {})) for i, server in enumerate(self.servers)]
        self.discovery = FakeDiscovery(self.list)
        self.told = told(self.discovery.address, self.list, **more)
        self.at = self.told["listen"]
        self.folder, self.context = folder, started(folder, self.told)

    def __enter__(self):
        self.process = self.context.__enter__()
        return self

    def __exit__(self, *error):
        self.context.__exit__(*error)
        for party in (*self.servers, self.discovery):
            party.shutdown()
            party.server_close()

    def seen(self):
        return [request for server in self.servers for request in server.seen]


def connection(at):
    return http.client.HTTPConnection(*configuration.parse_address(at), timeout=5)


def headers(lane="read", tier="free", **more):
    return {
        "X-Txn": "%016x" % random.getrandbits(64),
        "X-Lane": lane,
        "X-Tier": tier,
        "X-Remaining-Ms": "1500",
        "X-Call-Terms": "units=1,spread=1,first=0",
    } | {key.replace("_", "-"): value for key, value in more.items()}


def rpc(at, method="GET", path=f"/api?client={CUSTOMER}", body=None, link=None, **more):
    link = link or connection(at)
    link.request(method, path, body, headers(**more))
    answer = link.getresponse()
    return answer.status, answer.read(), answer.headers


def echo(handler, body):
    handler.reply(200, b"made for " + handler.headers["X-Txn"].encode() + b" " + body)


def raw(at, data, answers=1):
    """What comes back for some bytes, until so many answers have come whole or the other side ends."""
    with closing(socket.create_connection(configuration.parse_address(at), timeout=8)) as sock:
        got = b""
        with suppress(ConnectionError):
            sock.sendall(data)
        with suppress(ConnectionError):
            while got.count(b"HTTP/1.1 ") < answers or not whole(got):
                more = sock.recv(65536)
                if not more:
                    break
                got += more
        return got


def whole(got):
    """Whether the last answer in these bytes is."""
    head, _, body = got[got.rindex(b"HTTP/1.1 ") :].partition(b"\r\n\r\n")
    length = re.search(rb"content-length: (\d+)", head)
    return length is not None and len(body) == int(length[1])


def until(condition):
    """Waits for what is expected within a moment."""
    for _ in range(100):
        if condition():
            return True
        time.sleep(0.05)
    return False


def request_bytes(**changes):
    fields = {"X-Txn": "1", "X-Lane": "read", "X-Tier": "free", "X-Remaining-Ms": "500"} | changes
    lines = [f"{name}: {value}" for name, value in fields.items() if value is not None]
    return "\r\n".join(["GET /api?client=%s HTTP/1.1" % CUSTOMER, "Host: a", *lines, "", ""]).encode()


def surroundings(tmp_path, **more):
    path = tmp_path / "here.json"
    path.write_text(json.dumps(told("127.0.0.1:9", [], **more)))
    return configuration.read_configuration({"LB_CONFIG": str(path)})
