"""One real gateway, told by its environment where it stands: python -m oakfork."""
import gc
import os
import sys

import trio

from oakfork.sockets import configuration, gateway

if __name__ == "__main__":
    try:
        here = configuration.read(os.environ)
    except configuration.ConfigurationError as error:
        sys.exit(f"oakfork: {error}")
    # What is loaded stays: no collection need look at it again. The rest is collected a tenth as often as by default:
    # an RPC leaves few cycles behind.
    gc.freeze()
    gc.set_threshold(7_000, 10, 10)
    trio.run(gateway.run, here)
