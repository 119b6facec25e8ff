"""Forwards TCP connections as a process of its own: a test stops it to cut a network, and lets it continue."""

import select
import socket
import subprocess
import sys

READ_SIZE = 65_536  # bytes


def start(listen, target):
    """Starts a forwarder from one address to another; both HOST:PORT."""
    process = subprocess.Popen([sys.executable, __file__, listen, target], stdout=subprocess.PIPE)
    process.stdout.readline()  # it listens
    return process


def _address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def _forward(listen, target):
    """Forwards until it is ended."""
    listener = socket.create_server(_address(listen))
    print("listening", flush=True)
    peers = {}  # the other end of each connection
    while True:
        for sock in select.select([listener, *peers], [], [])[0]:
            if sock is listener:
                _connect(listener.accept()[0], target, peers)
            elif sock in peers:
                _pass_on(sock, peers)


def _connect(client, target, peers):
    try:
        server = socket.create_connection(_address(target))
    except OSError:
        client.close()
        return
    peers[client] = server
    peers[server] = client


def _pass_on(sock, peers):
    """Passes on what came; closes both ends once one has ended."""
    try:
        data = sock.recv(READ_SIZE)
        if data:
            peers[sock].sendall(data)
    except OSError:
        data = b""
    if not data:
        for end in (sock, peers[sock]):
            del peers[end]
            end.close()


if __name__ == "__main__":
    _forward(*sys.argv[1:])
