"""One real gateway, told by its environment where it stands: python -m oakfork."""
import os
import sys

import trio

from oakfork.sockets import configuration, gateway

if __name__ == "__main__":
    try:
        here = configuration.read(os.environ)
    except configuration.ConfigurationError as error:
        sys.exit(f"oakfork: {error}")
    trio.run(gateway.run, here)
