"""One real gateway where nothing else is said, python -m oakfork; a sub-command otherwise."""

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
