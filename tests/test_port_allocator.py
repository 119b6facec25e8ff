"""Ports for processes that are started later: claimed, not only looked at."""

import os
import socket
import subprocess
import sys
from contextlib import ExitStack

import pytest
from lab_worlds import ROOT

from oakfork.errors import DrillProcessError
from oakfork.lab.port_allocator import BLOCK, PortAllocator, free_addresses, text

RANGE = 9_000, 9_000 + 4 * BLOCK  # of these tests alone: below the range that all others take from
ASK = """
import socket, sys
from oakfork.lab.port_allocator import free_addresses
print(*(port for _, port in free_addresses(100, socket.SOCK_DGRAM)), flush=True)
sys.stdin.read()
"""


def test_processes_that_look_at_the_same_moment_get_ports_of_their_own(monkeypatch):
    """Guards against two drills that find the same port free before either has started what is to have it: all four
    workers of a run of the tests drew from one range, and a gateway met an address in use."""
    monkeypatch.setenv("OAKFORK_RIG_PORTS", "{}-{}".format(*RANGE))
    with ExitStack() as stack:
        asked = [
            stack.enter_context(
                subprocess.Popen(
                    [sys.executable, "-c", ASK], cwd=ROOT, text=True, stdin=subprocess.PIPE, stdout=subprocess.PIPE
                )
            )
            for _ in range(4)
        ]
        ports = [port for process in asked for port in process.stdout.readline().split()]
        assert len(ports) == len(set(ports)) == 400
        with pytest.raises(DrillProcessError, match="claimed"):
            PortAllocator(*RANGE)
    ours = PortAllocator(*RANGE)  # all have ended, and nothing of their claims is left
    ours.claim.close()


def test_ports_come_in_turn_and_taken_ones_are_left_out():
    ours = PortAllocator(RANGE[0] - BLOCK, RANGE[0] - BLOCK + 20)
    with ExitStack() as stack:
        stack.callback(ours.claim.close)
        first = ours.free(5, socket.SOCK_STREAM)
        assert len(set(first)) == 5 and len(ours.block) == 20
        taken = stack.enter_context(socket.socket())
        taken.bind(("127.0.0.1", first[-1][1] + 1))
        then = ours.free(5, socket.SOCK_STREAM)
        assert len(set(first + then)) == 10 and taken.getsockname() not in then
        with pytest.raises(DrillProcessError, match="free"):
            ours.free(20, socket.SOCK_STREAM)


def test_a_child_made_by_a_fork_has_a_block_of_its_own():
    before = free_addresses(1, socket.SOCK_STREAM)[0]
    reader, writer = os.pipe()
    child = os.fork()
    if child == 0:
        os.write(writer, text(free_addresses(1, socket.SOCK_STREAM)[0]).encode())
        os._exit(0)
    os.waitpid(child, 0)
    port = int(os.read(reader, 100).decode().rpartition(":")[2])
    os.close(reader)
    os.close(writer)
    assert port // BLOCK != before[1] // BLOCK
