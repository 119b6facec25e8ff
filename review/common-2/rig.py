"""Stand-ins and process control for the cases of the second review. Standard library only; loopback addresses only.

A case makes a `Rig`, starts the project's programs with it, and ends with `Rig.finish`, which ends every process that
was started, writes record.txt beside the case and exits: 1 the rule was broken, 0 it held, 2 the case could not run.
"""

import atexit
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT = 115.0  # seconds after which a case gives up
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
COMMAND = RUN.removeprefix("exec ")  # the gateway without arguments, the command line with some


class CannotRunError(Exception):
    """The case could not be brought about."""


def free_addresses(count, kind=socket.SOCK_STREAM):
    """Loopback addresses on which nobody listens, HOST:PORT."""
    sockets = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, kind)
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    addresses = ["127.0.0.1:%d" % sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


def split(address):
    """HOST:PORT as a pair."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Rig:
    """The processes, the folder and the record of one run of a case."""

    def __init__(self, case):
        self.case = Path(case).resolve().parent
        self.began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.lines = []
        self.lock = threading.Lock()
        self.processes = {}
        atexit.register(self.end_all)
        watchdog = threading.Timer(LIMIT, self._out_of_time)
        watchdog.daemon = True
        watchdog.start()
        self.note("case", trouble=TROUBLE)

    def _out_of_time(self):
        self.note("out of time")
        self._write()
        self.end_all()
        os._exit(2)

    def note(self, what, **details):
        """Adds a line to the record: seconds since the start, what happened, details."""
        with self.lock:
            at = time.monotonic() - self.began
            self.lines.append(f"{at:8.3f} {what} " + json.dumps(details, sort_keys=True, default=str))

    def start(self, name, arguments=(), **environment):
        """Starts the program as the deploy file does, in its own session; its log goes to the folder."""
        clean = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        command = "exec " + " ".join([COMMAND, *arguments])
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=clean | environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )
        log.close()
        self.processes[name] = process
        self.note("started", name=name, command=command, pid=process.pid)
        return process

    def adopt(self, name, process):
        """Takes over a process that the case itself has started, which ends with the others."""
        (self.folder / f"{name}.log").touch()
        self.processes[name] = process

    def kill(self, name, number=signal.SIGKILL):
        """Sends a signal to a process that this rig started; waits for the end of one that is killed."""
        process = self.processes[name]
        self.note("signal", name=name, number=int(number))
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def log(self, name):
        """What a process has logged."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def end_all(self):
        """Ends every process that was started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _write(self):
        (self.case / "record.txt").write_text("\n".join(self.lines) + "\n")

    def finish(self, broken, why):
        """Writes the record and exits with the verdict; `broken` None: the case could not run."""
        status = {True: 1, False: 0, None: 2}[broken]
        self.note("verdict", status=status, why=why)
        for name in self.processes:
            for line in self.log(name).splitlines()[-12:]:
                self.lines.append(f"   log {name}: {line[:300]}")
        self._write()
        self.end_all()
        print({1: "BROKEN", 0: "held", 2: "could not run"}[status] + ": " + why)
        sys.stdout.flush()
        os._exit(status)


def run_case(rig, scenario):
    """Runs a scenario that returns (broken, why)."""
    try:
        broken, why = scenario(rig)
    except CannotRunError as error:
        broken, why = None, str(error)
    except Exception as error:  # a fault of the case itself is no verdict
        broken, why = None, f"{type(error).__name__}: {error}"
    rig.finish(broken, why)


def wait_for(condition, seconds, what):
    """Waits for a condition; CannotRunError if it does not come true in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise CannotRunError(f"not in {seconds} s: {what}")


# HTTP


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def message(self):
        """The first line, the headers (names in lower case) and the body; None at the end."""
        while b"\r\n\r\n" not in self.data:
            more = self.sock.recv(65536)
            if not more:
                return None
            self.data += more
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        first, *rows = head.decode("latin-1").split("\r\n")
        headers = {}
        for row in rows:
            name, _, value = row.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        while len(self.data) < length:
            more = self.sock.recv(65536)
            if not more:
                return None
            self.data += more
        body, self.data = self.data[:length], self.data[length:]
        return first, headers, body


def response(status, body=b"", **headers):
    """The bytes of an answer; underscores in names of headers stand for hyphens."""
    rows = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    rows += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join([*rows, "", ""])).encode() + body


class Service:
    """A listener on loopback with a thread for each connection. `act(first, headers, body, sock)` answers a request."""

    def __init__(self, act, address="127.0.0.1:0"):
        self.act = act
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(split(address))
        self.sock.listen(128)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = Reader(sock)
        try:
            while (message := reader.message()) is not None:
                if self.act(*message, sock) is False:
                    break
        except OSError:
            pass
        finally:
            sock.close()


class TrackServer(Service):
    """A sound server: answers every RPC with 200 and its own name, and keeps what it ran.

    `behave(number, headers, sock)` may do something else with an RPC, the number counting from 0; it returns True if
    it has dealt with it, and False to have the connection ended.
    """

    def __init__(self, rig, name, behave=None):
        self.rig = rig
        self.name = name
        self.behave = behave
        self.ran = []  # (time, X-Txn, key)
        super().__init__(self._answer)

    def _answer(self, first, headers, body, sock):
        if "x-txn" not in headers:
            sock.sendall(response(404))
            return None
        number = len(self.ran)
        self.ran.append((time.monotonic(), headers["x-txn"], headers.get("idempotency-key")))
        self.rig.note(
            "server got", server=self.name, txn=headers["x-txn"], request=first, key=headers.get("idempotency-key")
        )
        if self.behave is not None:
            result = self.behave(number, headers, sock)
            if result is not None:
                return result
        sock.sendall(response(200, b"served by " + self.name.encode()))
        return None


class Discovery(Service):
    """A discovery agent as PROTOCOL describes it: whole lists, and watches that wait for a newer version."""

    def __init__(self, rig, servers, version=1):
        self.rig = rig
        self.version = version
        self.servers = servers  # whole list of now
        self.changes = []  # (version, rows)
        self.condition = threading.Condition()
        super().__init__(self._answer)

    def change(self, rows, servers):
        """Something newer: `rows` are the entries that changed, `servers` the whole list afterwards."""
        with self.condition:
            self.version += 1
            self.servers = servers
            self.changes.append((self.version, rows))
            self.rig.note("discovery has", version=self.version, rows=rows)
            self.condition.notify_all()

    def _answer(self, first, headers, body, sock):
        target = first.split()[1]
        path, _, query = target.partition("?")
        if path != "/api/targets":
            sock.sendall(response(404))
            return
        terms = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        with self.condition:
            if "from" in terms:
                known = int(terms["from"])
                self.condition.wait_for(lambda: self.version > known, int(terms.get("hold_ms", 0)) / 1000)
                rows = [row for version, changed in self.changes if version > known for row in changed]
                document = {"version": self.version, "full": False, "servers": rows}
            else:
                document = {"version": self.version, "full": True, "servers": self.servers}
        sock.sendall(response(200, json.dumps(document).encode(), Content_Type="application/json"))


_txn = iter(range(1, 1 << 60))


def new_txn():
    """An X-Txn that was not used before."""
    return "%08x%08x" % (os.getpid(), next(_txn))


class Client:
    """One connection of a client: a request at a time. A new connection where the last one has ended."""

    def __init__(self, rig, address):
        self.rig = rig
        self.address = address
        self.sock = None
        self.reader = None

    def _connect(self):
        self.sock = socket.create_connection(split(self.address), timeout=2)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def close(self):
        """Ends the connection."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def rpc(
        self,
        lane="read",
        tier="free",
        customer="00000000b4d65521",
        remaining=1500,
        method="GET",
        body=b"",
        key=None,
        terms="units=1,spread=1,first=0",
        txn=None,
        path="/api",
        note=True,
        patience=0.55,
    ):
        """Sends an RPC; (status, body), or (None, why) if there is no answer `patience` seconds after its time."""
        txn = txn or new_txn()
        head = [
            f"{method} {path}?client={customer} HTTP/1.1",
            "Host: app.svc",
            f"X-Txn: {txn}",
            f"X-Lane: {lane}",
            f"X-Tier: {tier}",
            f"X-Remaining-Ms: {remaining}",
            f"X-Call-Terms: {terms}",
        ]
        if key:
            head.append(f"Idempotency-Key: {key}")
        if method != "GET" or body:
            head.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*head, "", ""]).encode() + body
        began = time.monotonic()
        if note:
            self.rig.note("client sends", gateway=self.address, txn=txn, lane=lane, key=key, remaining=remaining)
        try:
            if self.sock is None:
                self._connect()
            self.sock.settimeout(remaining / 1000 + patience)
            self.sock.sendall(data)
            message = self.reader.message()
        except OSError as error:
            message, why = None, repr(error)
        else:
            why = "the connection ended"
        if message is None:
            self.close()
            answer = (None, why)
        else:
            first, headers, content = message
            if headers.get("connection", "").lower() == "close":
                self.close()
            answer = (int(first.split()[1]), content.decode("latin-1"))
        if note:
            self.rig.note(
                "client got",
                txn=txn,
                status=answer[0],
                body=answer[1][:80],
                ms=round(1000 * (time.monotonic() - began)),
            )
        return answer


def is_ready(address):
    """Whether a gateway answers that it is ready."""
    try:
        with socket.create_connection(split(address), timeout=1) as sock:
            sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
            return sock.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


# The configuration of a gateway


def row(name, address, **changes):
    """A server in the form of discovery."""
    return {
        "id": name,
        "addr": address,
        "zone": "hp-dc1",
        "kind": "std-3c",
        "cell": 0,
        "state": "up",
        "weight": 1.0,
        "started_ms": 0,
    } | changes


def method(name, effect, aim=1000.0, deadline=2000.0, **changes):
    """A method in the settings."""
    return {
        "name": name,
        "aim-ms": aim,
        "deadline-ms": deadline,
        "effect": effect,
        "group": "all",
        "key-ttl-ms": 6000.0,
        "value": 1.0,
        "late-worth": 0.0,
        "streamed": False,
    } | changes


def settings(gateways=1, index=0, **changes):
    """Settings like those of a small deployment, as WIRE describes them."""
    return {
        "balancers": gateways,
        "index": index,
        "zones": ["hp-dc1"],
        "zone": 0,
        "tick-ms": 4.0,
        "discovery": "automatic",
        "classes": [
            method("read", "read_like"),
            method("seal", "idempotency_key", group="cell"),
            method("hand", "non_idempotent"),
        ],
        "tiers-of-service": [
            {"name": "free", "refill": 0.0, "peak-units": 0.0},
            {"name": "basic", "refill": 1.5, "peak-units": 6.0},
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
        "specifics": {"mail-per-s": 100.0, "units-top": 2, "shared-counter": False},
        "invariants": {
            "stop-sending-within-ms": 500.0,
            "cold-share": 0.25,
            "cold-ms": 18000.0,
            "fall-multiple": 3.0,
            "fall-ms": 3000.0,
            "grace-to-answer-ms": 16.0,
        },
        "stats": {"how": "off", "names": []},
    } | changes


def configuration(listen, discovery, servers, seed="8c1f30d27a5be964", version=1, **changes):
    """A gateway's configuration, as DEPLOY describes it."""
    return {
        "name": "n0",
        "listen": listen,
        "discovery": discovery,
        "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peers": [],
        "known": {"version": version, "full": True, "servers": servers},
        "settings": settings(),
    } | changes


def start_gateway(rig, document, wait=True, **environment):
    """Starts a gateway by the deploy file's `run` and waits until it is ready."""
    path = rig.folder / f"{document['name']}.json"
    path.write_text(json.dumps(document))
    process = rig.start(document["name"], LB_CONFIG=str(path), **environment)
    if wait:
        wait_for(lambda: process.poll() is not None or is_ready(document["listen"]), 20, f"{document['name']} ready")
        if process.poll() is not None:
            raise CannotRunError(f"{document['name']} ended: {rig.log(document['name'])[-300:]}")
    return process


# The control part


def start_control(rig, name, kind, text):
    """Starts `oakfork control publisher` or `relay` on a file with this text and waits until it serves; its address."""
    path = rig.folder / f"{name}.toml"
    path.write_text(text)
    log = rig.folder / f"{name}.log"
    before = log.stat().st_size if log.exists() else 0
    process = rig.start(name, ["control", kind, str(path)])

    def address():
        for line in log.read_text()[before:].splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                continue
            if entry.get("event") == "serving":
                return entry["listen"]
        return None

    wait_for(lambda: process.poll() is not None or address(), 20, f"{name} serves")
    if process.poll() is not None:
        raise CannotRunError(f"{name} ended: {rig.log(name)[-400:]}")
    return address()


def command(rig, *arguments, seconds=30):
    """Runs a command of the program; (exit status, what it printed)."""
    done = subprocess.run(
        ["/bin/sh", "-c", "exec " + " ".join([COMMAND, *arguments])],
        cwd=ROOT,
        stdin=subprocess.DEVNULL,
        capture_output=True,
        text=True,
        timeout=seconds,
    )
    rig.note("command", arguments=arguments, status=done.returncode, out=done.stdout[-400:], err=done.stderr[-400:])
    return done.returncode, done.stdout + done.stderr


def publish(rig, address, change, seconds=10):
    """Publishes a change set by the command line; its exit status and what it printed."""
    path = rig.folder / f"{change['id']}.json"
    path.write_text(json.dumps(change))
    return command(
        rig, "control", "publish", str(path), "--to", address, "--seconds", str(seconds), seconds=seconds + 15
    )


if sys.version_info < (3, 11):
    sys.exit(2)
