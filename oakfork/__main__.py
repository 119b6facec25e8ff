"""`python -m oakfork`: serves as a gateway without arguments, and runs the command line with them.

The handlers of early signals are installed before the gateway is imported.
"""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from oakfork.cli import main

        main(prog_name="oakfork")
    else:
        from oakfork import early_signals

        early_signals.install_handlers()
        from oakfork.serving import serve

        serve()
