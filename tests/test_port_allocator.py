"""Ports for processes that are started later: claimed for one process, not only looked up."""

import os
import socket
import subprocess
import sys
from contextlib import ExitStack

import pytest
from lab_worlds import ROOT

from oakfork.errors import DrillProcessError
from oakfork.lab.port_allocator import BLOCK, PortAllocator, free_addresses, text

RANGE = 9_000, 9_000 + 4 * BLOCK  # of these tests alone: below the default range
PRINT_PORTS = """
import socket, sys
from oakfork.lab.port_allocator import free_addresses
print(*(port for _, port in free_addresses(100, socket.SOCK_DGRAM)), flush=True)
sys.stdin.read()
"""


def test_processes_that_ask_at_the_same_moment_get_different_ports(monkeypatch):
    """Two drills can find the same port free before either has started the process that is to use it.

    It happened when all four test workers drew from one range: a gateway's address was in use.
    """
    monkeypatch.setenv("OAKFORK_RIG_PORTS", "{}-{}".format(*RANGE))
    with ExitStack() as stack:
        processes = [
            stack.enter_context(
                subprocess.Popen(
                    [sys.executable, "-c", PRINT_PORTS],
                    cwd=ROOT,
                    text=True,
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                )
            )
            for _ in range(4)
        ]
        ports = [port for process in processes for port in process.stdout.readline().split()]
        assert len(ports) == len(set(ports)) == 400
        with pytest.raises(DrillProcessError, match="claimed"):
            PortAllocator(*RANGE)
    allocator = PortAllocator(*RANGE)  # the processes have ended, and so have their claims
    allocator.claim.close()


def test_ports_are_given_out_in_turn_without_those_in_use():
    """A port is not given out again before the whole block was, nor while another socket has it."""
    allocator = PortAllocator(RANGE[0] - BLOCK, RANGE[0] - BLOCK + 20)
    with ExitStack() as stack:
        stack.callback(allocator.claim.close)
        first = allocator.free(5, socket.SOCK_STREAM)
        assert len(set(first)) == 5 and len(allocator.block) == 20
        taken = stack.enter_context(socket.socket())
        taken.bind(("127.0.0.1", first[-1][1] + 1))
        then = allocator.free(5, socket.SOCK_STREAM)
        assert len(set(first + then)) == 10 and taken.getsockname() not in then
        with pytest.raises(DrillProcessError, match="free"):
            allocator.free(20, socket.SOCK_STREAM)


def test_a_forked_child_has_a_block_of_its_own():
    """A child that used its parent's block would give out the same ports."""
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
