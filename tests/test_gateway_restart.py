"""A gateway that is killed with requests in every stage, and started again at the same address."""

import json
import signal
import socket
import subprocess
import sys
import threading
from contextlib import closing, contextmanager

from client_sockets import open_socket, read_to_any_end
from fake_services import (
    FakeDiscovery,
    FakeService,
    configuration_document,
    echo,
    entry,
    environment_without_settings,
    free_port,
    is_ready,
    request_bytes,
    rpc,
    settings,
    started,
    until,
)

SHARED_TERMS = {"X_Call_Terms": "units=1,spread=2,first=0", "tier": "basic"}  # customers whom both gateways serve


@contextmanager
def process_that_may_fail(folder, document):
    """A gateway process that the test itself ends."""
    path = folder / f"{document['name']}.json"
    path.write_text(json.dumps(document))
    environment = environment_without_settings() | {"LB_CONFIG": str(path)}
    process = subprocess.Popen([sys.executable, "-m", "oakfork"], env=environment)
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def post_bytes(number, lane, **changes):
    """The bytes of an RPC by POST, without a body."""
    fields = {"X-Txn": number, "X-Lane": lane, "X-Remaining-Ms": "8000"} | changes
    return request_bytes(**fields).replace(b"GET", b"POST")


def test_requests_of_a_killed_gateway_run_once_at_most_and_its_next_process_serves_at_once(tmp_path):
    """Guards against a second run of requests that a gateway had when it was killed, and against a slow restart.

    It is killed with requests that are sent on, accepted but hardly read, and accepted by its machine only. The other
    gateway, which shares all customers with it, goes on serving. The next process takes the address although ends of
    old connections are still on it.
    """

    def act(handler, body):
        if handler.headers["X-Txn"] in ("sent-on", "keyed"):
            release.wait(20)
        echo(handler, body)

    def runs(number):
        return sum(seen[2].get("x-txn") == number for seen in list(server.seen))

    def ask_for_customers(address):
        return [rpc(address, path=f"/api?client={number:016x}", **SHARED_TERMS)[0] for number in range(8)]

    server = FakeService(act)
    release = threading.Event()
    rows = [entry(0, server.address)]
    discovery = FakeDiscovery(rows)
    peers = [free_port(socket.SOCK_DGRAM) for _ in range(2)]
    documents = [
        configuration_document(
            discovery.address,
            rows,
            name=f"n{index}",
            peers=peers,
            peer_listen=peers[index],
            seed=f"{index + 1:x}",
            settings=settings(2, index, aim=4000.0),
        )
        for index in range(2)
    ]
    address, other = (document["listen"] for document in documents)
    with started(tmp_path, documents[1]):
        with process_that_may_fail(tmp_path, documents[0]) as process:
            assert until(lambda: is_ready(address))
            with closing(open_socket(address, request_bytes(**{"X-Lane": "nothing"}))) as ended:
                # The gateway ends this connection, so that its address stays in use.
                assert ended.recv(4096).startswith(b"HTTP/1.1 400")
            waiting = [
                open_socket(address, post_bytes("sent-on", "hand")),
                open_socket(address, post_bytes("keyed", "seal", **{"Idempotency-Key": "k"})),
            ]
            assert until(lambda: runs("sent-on") and runs("keyed"))
            waiting.append(open_socket(address, post_bytes("accepted", "hand")[:-2]))
            assert is_ready(address)  # this one is accepted after it
            waiting[-1].sendall(b"\r\n")
            process.send_signal(signal.SIGSTOP)
            waiting.append(open_socket(address, post_bytes("backlog", "hand")))
            process.kill()
            assert process.wait(5) == -signal.SIGKILL
            assert [read_to_any_end(sock) for sock in waiting] == [b""] * 4
        alone = ask_for_customers(other)
        assert set(alone) <= {200, 503} and alone.count(200) >= 4
        with started(tmp_path, documents[0]):
            assert rpc(address)[0] == rpc(other)[0] == 200
            # The client retries at the new process under the same key; the server knows whether that has run.
            assert rpc(address, "POST", lane="seal", X_Txn="retry", X_Resent="1", Idempotency_Key="k")[0] == 200
            assert set(ask_for_customers(address) + ask_for_customers(other)) <= {200, 503}
            release.set()
            assert rpc(address)[0] == rpc(other)[0] == 200
            assert runs("sent-on") == runs("keyed") == 1 and runs("accepted") <= 1 and runs("backlog") == 0
            assert sum(seen[2].get("idempotency-key") == "k" for seen in list(server.seen)) == 2
    server.stop()
    discovery.stop()
