"""Serves the simulator's protocol on standard input and output; on a protocol error ends with one line."""

import sys

from oakfork.errors import SimulatorProtocolError
from oakfork.simulator_adapter.host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except SimulatorProtocolError as error:
        sys.exit(f"simulator adapter: {error}; {error.todo}")
