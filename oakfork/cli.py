"""The command line. `serve` does what `python -m oakfork` does; other commands import what they need when they run.

Exit codes: 0 for success; 1 if the command failed while it ran (a failed run, a broken rule, an address that is not
available); 2 for a mistake of the user (an argument, a file that is not usable), printed with one line for each fault.
"""

import json
import os
import sys
from pathlib import Path
from typing import Any

import click

from oakfork import __version__
from oakfork.cli_common import LazyGroup, fail, refuse, require_libraries
from oakfork.errors import EXIT_FAILURE, EXIT_USAGE, ConfigurationError, ContractsFileError, FleetError


class MainGroup(LazyGroup):
    """The top-level group, which prints an error on one line without the usage."""

    def main(self, *args: Any, **options: Any) -> Any:
        """Runs a command and exits with its status."""
        try:
            status = super().main(*args, standalone_mode=False, **options)
        except click.ClickException as error:
            fail(error.format_message())
        except click.Abort:
            fail("interrupted", EXIT_FAILURE)
        except BrokenPipeError:
            sys.stderr.close()
            sys.exit(EXIT_FAILURE)
        sys.exit(status if isinstance(status, int) else 0)


@click.group(
    cls=MainGroup,
    lazy_commands={"control": "oakfork.control.cli", "lab": "oakfork.lab.cli"},
    context_settings={"help_option_names": ["-h", "--help"]},
)
@click.version_option(__version__, message="%(version)s")
def main() -> None:
    """A quota-keeping gateway for a shared API."""


@main.command()
@click.option("--config", type=click.Path(dir_okay=False), help="The configuration file; LB_CONFIG names it otherwise.")
def serve(config: str | None) -> None:
    """Serve as a gateway, as `python -m oakfork` does, if the schema accepts the configuration."""
    from oakfork.serving import serve as run

    if config:
        os.environ["LB_CONFIG"] = config
    path = os.environ.get("LB_CONFIG") or fail("LB_CONFIG names no file, nor does --config")
    if faults := _faults(path):
        refuse(ConfigurationError(), path, faults)
    run()


def _faults(path: str) -> list[str]:
    """What the schema, or else the gateway itself, finds wrong in a configuration."""
    from oakfork.configuration_schema import faults_in
    from oakfork.sockets.configuration import read_configuration

    try:
        document = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        return [f"the file: {error}"]
    if faults := faults_in(document):
        return faults
    try:
        read_configuration({"LB_CONFIG": path})
    except ConfigurationError as error:
        return [f"the file: {error}"]
    return []


@main.command()
@click.argument("config", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
def check(config: str, as_json: bool) -> int:
    """Check a configuration and name each fault by its path in the file."""
    faults = _faults(config)
    if as_json:
        click.echo(json.dumps({"usable": not faults, "faults": faults}))
    else:
        for fault in faults:
            click.echo(f"{config}: {fault}", err=True)
        if not faults:
            click.echo(f"{config}: usable")
    return EXIT_USAGE if faults else 0


@main.group()
def fleet() -> None:
    """Services that gateways run together: leases, and what depends on them (docs/fleet.md)."""
    require_libraries("msgspec", extra="fleet")


@fleet.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
def fleet_check(file: str) -> None:
    """Check a fleet file: print its edition, or each fault by its path."""
    from oakfork.fleet.config import read

    try:
        config = read(file)
    except FleetError as error:
        refuse(error, file)
    click.echo(f"{file}: usable, revision {config.edition.revision}, edition {config.edition.digest:016x}")


@main.group()
def contracts() -> None:
    """Reserved capacity contracts (docs/contracts.md)."""


@contracts.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
def contracts_check(file: str) -> None:
    """Check a contracts file: print each fault by its path, or the instant at which too much is reserved."""
    from oakfork.contracts.contracts_file import read

    try:
        contracts_file = read(file)
    except ContractsFileError as error:
        refuse(error, file)
    click.echo(
        f"{file}: usable, {len(contracts_file.contracts)} contracts, {len(contracts_file.sites)} sites, "
        f"{contracts_file.capacity:g} legs a second"
    )


if __name__ == "__main__":
    main()
