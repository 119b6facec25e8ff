"""Stand-ins for servers, discovery's agent and clients, and gateway processes started by the deploy file's `run`.

Standard library only. Everything listens on 127.0.0.1 with free ports; one event loop holds all stand-ins.
"""

import asyncio
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
CUSTOMER = "00000000b4d65521"


class CannotRun(Exception):
    """The case could not be run; its script ends with 2."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.3f}  {text}\n")
        self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Lag:
    """How late this process itself was at most: what it saw may have come that much earlier. Taken off in favour of
    the gateways."""

    def __init__(self):
        self.most = 0.0

    async def run(self):
        while True:
            due = time.monotonic() + 0.005
            await asyncio.sleep(0.005)
            self.most = max(self.most, time.monotonic() - due)


class HttpProtocol(asyncio.Protocol):
    """One accepted connection: calls `owner.request(self, head, body, first, last)` for each whole request."""

    def __init__(self, owner):
        self.owner = owner
        self.buffer = b""
        self.first = None  # when the first byte of the request at hand came
        self.closed = False

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.owner.connections.add(self)

    def connection_lost(self, exc):
        self.closed = True
        self.owner.connections.discard(self)
        lost = getattr(self.owner, "lost", None)
        if lost:
            lost(self)

    def data_received(self, data):
        now = time.monotonic()
        if self.first is None:
            self.first = now
        self.buffer += data
        while True:
            head, found, rest = self.buffer.partition(b"\r\n\r\n")
            if not found:
                return
            lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", 0))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            first, self.first = self.first, now if self.buffer else None
            self.owner.request(self, lines[0], headers, rest[:length], first, now)

    def answer(self, status, body=b"", **headers):
        if self.closed:
            return
        extra = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)


class HttpService:
    """A listener of HttpProtocol connections."""

    def __init__(self):
        self.connections = set()
        self.listener = None
        self.port = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: HttpProtocol(self), HOST, self.port or 0, backlog=256)
        self.port = self.listener.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        return self


class Server(HttpService):
    """A server: runs each whole request once for `work` seconds, `cores` at a time, and answers 200.

    `seen` has (first byte, last byte, X-Txn, X-Remaining-Ms) of each request. `hangs`: takes requests, answers none; the
    process runs and still answers probes.
    """

    def __init__(self, number, record, work=0.05, cores=3, **entry):
        super().__init__()
        self.name = f"s-{number:08x}"
        self.record = record
        self.work = work
        self.room = asyncio.Semaphore(cores)
        self.seen = []
        self.hangs = False
        self.act = None  # replaces the usual answer
        self.entry = {"zone": "a", "kind": "k", "cell": number % 2, "state": "up", "weight": 1.0, "started_ms": 0}
        self.entry |= entry

    def row(self, **changes):
        return {"id": self.name, "addr": self.address} | self.entry | changes

    def request(self, link, line, headers, body, first, last):
        path = line.split(" ")[1]
        if path in ("/-/healthy", "/-/load"):
            link.answer(200, b"concurrent=0")
            return
        if "x-txn" not in headers:
            link.answer(404)
            return
        self.seen.append((first, last, headers["x-txn"], headers.get("x-remaining-ms")))
        self.record(f"{self.name} got {headers['x-txn']} told {headers.get('x-remaining-ms')} ms")
        asyncio.get_running_loop().create_task(self._run(link, headers["x-txn"]))

    async def _run(self, link, txn):
        if self.act:
            await self.act(self, link, txn)
            return
        if self.hangs:
            return
        async with self.room:
            await asyncio.sleep(self.work)
        if self.hangs:
            return
        self.record(f"{self.name} ran {txn}")
        link.answer(200, f"{self.name} ran {txn}".encode())


class Agent(HttpService):
    """Discovery's agent on the gateway's own machine, one for each gateway.

    `silent`: discovery is down, the agent takes calls and says nothing. `delay`: seconds by which an answer comes late.
    """

    def __init__(self, record, rows, name="agent"):
        super().__init__()
        self.name = name
        self.record = record
        self.rows = {row["id"]: row for row in rows}
        self.changed_at = {row["id"]: 1 for row in rows}
        self.version = 1
        self.silent = False
        self.delay = 0.0
        self.news = asyncio.Event()
        self.written = {}  # id -> when its last change was written to the gateway

    def change(self, *rows):
        self.version += 1
        for row in rows:
            self.rows[row["id"]] = row
            self.changed_at[row["id"]] = self.version
        self._wake()

    def silence(self, silent):
        self.silent = silent
        self._wake()

    def _wake(self):
        news, self.news = self.news, asyncio.Event()
        news.set()

    def request(self, link, line, headers, body, first, last):
        asyncio.get_running_loop().create_task(self._answer(link, line.split(" ")[1]))

    async def _answer(self, link, target):
        path, _, query = target.partition("?")
        if path != "/api/targets":
            link.answer(404)
            return
        pairs = dict(pair.split("=") for pair in query.split("&") if pair)
        since = int(pairs["from"]) if "from" in pairs else None
        self.record(f"{self.name} asked {target}")
        due = time.monotonic() + min(60.0, float(pairs.get("hold_ms", 0)) / 1000)
        while not link.closed:
            left = due - time.monotonic()
            if not self.silent and (since is None or since < self.version or left <= 0):
                break
            try:
                await asyncio.wait_for(self.news.wait(), None if self.silent else max(0.0, left))
            except asyncio.TimeoutError:
                pass
        if self.delay:
            await asyncio.sleep(self.delay)
        if link.closed:
            self.record(f"{self.name}: the gateway gave that call up")
            return
        if since is None:
            rows = [row for row in self.rows.values() if row["state"] != "removed"]
        else:
            rows = [row for name, row in self.rows.items() if self.changed_at[name] > since]
        document = {"version": self.version, "full": since is None, "servers": rows}
        link.answer(200, json.dumps(document).encode(), Content_Type="application/json")
        now = time.monotonic()
        for row in rows:
            self.written.setdefault((row["id"], row["state"]), now)
        if rows:
            told = ", ".join(f"{row['id']} {row['state']}" for row in rows)
            self.record(f"{self.name} wrote version {self.version}: {told}")


def method(name, aim, deadline, effect, group="all", ttl=5000.0):
    return {
        "name": name, "aim-ms": float(aim), "deadline-ms": float(deadline), "effect": effect, "group": group,
        "key-ttl-ms": float(ttl), "late-worth": 0.0, "streamed": False, "value": 1.0,
    }  # fmt: skip


def settings(index, gateways, classes, **changes):
    """Settings like those of a small deployment (the example of the wire page, with the classes of the case)."""
    return {
        "balancers": gateways, "index": index, "zones": ["a"], "zone": 0, "tick-ms": 4.0, "discovery": "automatic",
        "host-types": ["k"], "classes": classes,
        "tiers-of-service": [
            {"name": "basic", "refill": 200.0, "peak-units": 400.0, "concurrency": 0, "never-over-rate": 0.0,
             "ceiling-burst": 0.0, "cap-slack": 0.0, "over-worth": 0.0, "beyond-costs": 1.0, "value-factor": 1.1},
        ],
        "limits": {"attempts-cap": 4, "cancel": True, "conn-idle-ms": 15000.0, "connect-timeout-ms": 250.0,
                   "max-retry-after-ms": 500.0, "parallel-tries": True, "peers": gateways > 1, "probing": True,
                   "retry-after": True},
        "specifics": {"mail-per-s": 100.0, "units-top": 1, "shared-counter": False, "settles": False},
        "invariants": {"ask-within-ms": 10000.0, "cold-ms": 18000.0, "cold-share": 0.25, "fall-ms": 3000.0,
                       "fall-multiple": 3.0, "grace-to-answer-ms": 16.0, "stop-sending-within-ms": 500.0},
        "stats": {"how": "on_probe", "names": ["concurrent"]},
        "tariffs": {"probe": 0.01, "handshake": 0.0},
    } | changes  # fmt: skip


class Gateways:
    """The gateways of one tier, each a process of its own, started by the deploy file's `run`."""

    def __init__(self, record, agents, rows, classes, **changes):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="oakfork-case-"))
        self.command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        count = len(agents)
        self.listen = [f"{HOST}:{free_port()}" for _ in agents]
        peers = [f"{HOST}:{free_port(socket.SOCK_DGRAM)}" for _ in agents]
        self.documents = [
            {
                "name": f"n{number}", "listen": self.listen[number], "discovery": agents[number].address,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "peer_listen": peers[number], "peers": peers,
                "known": {"version": 1, "full": True, "servers": rows},
                "settings": settings(number, count, classes, **changes),
            }
            for number in range(count)
        ]  # fmt: skip
        self.processes = [None] * count
        self.ended = [None] * count

    def port(self, number):
        return int(self.listen[number].rpartition(":")[2])

    async def start(self, number):
        document = self.documents[number] | {"seed": secrets.token_hex(8)}
        path = self.folder / f"n{number}.json"
        path.write_text(json.dumps(document))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environment |= {
            "LB_CONFIG": str(path), "LB_NAME": document["name"], "LB_LISTEN": document["listen"],
            "LB_DISCOVERY": document["discovery"], "TMPDIR": str(self.folder),
        }  # fmt: skip
        log = open(self.folder / f"n{number}.log", "ab")
        self.processes[number] = subprocess.Popen(
            ["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        self.ended[number] = None
        give_up = time.monotonic() + 30
        while time.monotonic() < give_up:
            try:
                if (await ask(self.port(number), ready_request(), 1.0)).status == 200:
                    self.record(f"n{number} is ready")
                    return
            except OSError:
                pass
            if self.processes[number].poll() is not None:
                raise CannotRun(f"n{number} ended before it was ready: {self.log(number)}")
            await asyncio.sleep(0.05)
        raise CannotRun(f"n{number} was not ready within 30 s")

    async def start_all(self):
        await asyncio.gather(*(self.start(number) for number in range(len(self.processes))))

    def send_signal(self, number, what):
        self.record(f"n{number} gets {signal.Signals(what).name}")
        self.processes[number].send_signal(what)

    def alive(self, number):
        return self.processes[number].poll() is None

    def log(self, number):
        return (self.folder / f"n{number}.log").read_text(errors="replace")[-2000:]

    def stop(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
        for process in self.processes:
            if process is not None:
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """What a client got: a status, the body, when its last byte came; status 0 if the connection ended without one."""

    def __init__(self, status, body, at):
        self.status, self.body, self.at = status, body, at


def ready_request():
    return b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"


def request(txn, lane, remaining, *, post=False, key=False, body=b"", plan="basic", spread=1, first=0):
    lines = [
        f"{'POST' if post else 'GET'} /api?client={CUSTOMER} HTTP/1.1", "Host: app.svc", f"X-Txn: {txn}",
        f"X-Lane: {lane}", f"X-Tier: {plan}", f"X-Remaining-Ms: {remaining}",
        f"X-Call-Terms: units=1,spread={spread},first={first}",
    ]  # fmt: skip
    if key:
        lines.append(f"Idempotency-Key: {secrets.token_hex(16)}")
    if post:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader, timeout):
    """The next whole answer on a connection; status 0 if the connection ends or is reset before; None on time-out."""

    async def read():
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        body = await reader.readexactly(length)
        return Answer(status, body, time.monotonic())

    try:
        return await asyncio.wait_for(read(), timeout)
    except asyncio.TimeoutError:
        return None
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(0, b"", time.monotonic())


async def ask(port, data, timeout):
    """One request on a connection of its own."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        answer = await read_answer(reader, timeout)
        if answer is None:
            raise OSError("no answer")
        return answer
    finally:
        writer.close()


def new_id():
    return secrets.token_hex(8)


def trouble():
    """Whether the case runs with its disruption: TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder):
    """Runs a case, which returns a list of breaks, within 115 s; ends with 1 if there are some, 0 if none, 2 on error."""
    record = Record(folder)
    signal.signal(signal.SIGINT, signal.default_int_handler)  # ignored where a shell started it in the background
    for number in (signal.SIGTERM, signal.SIGHUP):  # the gateways are ended then too
        signal.signal(number, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record), 115))
    except BaseException as error:  # noqa: BLE001 - whatever it was, the case has not run
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        raise SystemExit(2) from error
    for line in breaks:
        record(f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    record("the rule was broken" if breaks else "the rule held")
    print("the rule was broken" if breaks else "the rule held")
    raise SystemExit(1 if breaks else 0)
