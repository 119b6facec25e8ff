"""The command line of this package, `oakfork control`. Modules that a command runs are imported when it is called.

Exit codes are those of oakfork/cli.py: 0 success, 1 failure while running, 2 a mistake in the arguments or files.
"""

import json
import logging
import sys
from importlib.util import find_spec
from pathlib import Path
from typing import TYPE_CHECKING, Any, Coroutine

import click

from oakfork.errors import EXIT_FAILURE, EXIT_USAGE, ChangeSetError, ControlConfigError, OakforkError, error_lines

if TYPE_CHECKING:
    from structlog.stdlib import BoundLogger

ADDRESS = "HOST:PORT"  # how usage messages show an address
MAX_PORT = 65_535


def _fail(text: str, status: int = EXIT_USAGE) -> None:
    for line in text.splitlines():
        click.echo(f"oakfork: {line}", err=True)
    sys.exit(status)


def _refuse(error: OakforkError, where: str = "") -> None:
    _fail(error_lines(error, where), error.status)


def _check_address(_: click.Context, __: click.Parameter, value: Any) -> Any:
    """Ends the command if an address, or one of several, is malformed."""
    for text in (value,) if isinstance(value, str) else value:
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or int(port) > MAX_PORT:
            _fail(f"not an address, HOST:PORT: {text!r}")
    return value


def _log(who: str) -> "BoundLogger":
    import structlog

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger(who=who)


def _run(work: Coroutine[Any, Any, Any], where: str = "") -> Any:
    """Runs a coroutine and returns its result; ends the process with a message on one of our own errors."""
    import trio

    async def run() -> Any:
        return await work

    try:
        return trio.run(run)
    except OakforkError as error:
        _refuse(error, where)
    except KeyboardInterrupt:
        _fail("interrupted", EXIT_FAILURE)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def control() -> None:
    """Distribute configuration changes to every gateway (docs/control.md)."""
    if find_spec("msgspec") is None:
        _fail("this command needs another library (msgspec): pip install 'oakfork[fleet]'")


@control.command("publisher")
@click.argument("file", type=click.Path(dir_okay=False))
def publisher(file: str) -> None:
    """Run the publisher that a file configures."""
    from oakfork.control import config as files, processes

    try:
        settings = files.read_publisher(file)
    except ControlConfigError as error:
        _refuse(error, file)
    _run(processes.publisher(settings, _log(settings.full_name)))


@control.command("relay")
@click.argument("file", type=click.Path(dir_okay=False))
def relay(file: str) -> None:
    """Run the relay that a file configures."""
    from oakfork.control import config as files, processes

    try:
        settings = files.read_relay(file)
    except ControlConfigError as error:
        _refuse(error, file)
    _run(processes.relay(settings, _log(settings.full_name)))


@control.command("follow")
@click.argument("relays", nargs=-1, required=True, callback=_check_address)
@click.option("--name", required=True, help="The name in the status, unique among followers.")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of the random part of the retry delays.")
def follow(relays: tuple[str, ...], name: str, seed: int) -> None:
    """Follow relays, HOST:PORT each, as a gateway does; print a line of JSON for what comes into force."""
    from oakfork.control import processes

    _run(processes.follow(name, relays, seed, _log(name), lambda change: click.echo(json.dumps(change))))


@control.command("publish")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--to", "place", required=True, callback=_check_address, metavar=ADDRESS, help="The publisher.")
@click.option(
    "--seconds",
    type=click.FloatRange(0.1, 3600),
    default=30.0,
    show_default=True,
    help="How long to retry while no answer comes.",
)
def publish(file: str, place: str, seconds: float) -> None:
    """Submit a change file: print the position at which it is in force, or each fault. Safe to repeat."""
    from oakfork.control import change_schema, client

    try:
        with open(file, "rb") as opened:
            data = opened.read(change_schema.MAX_FILE_BYTES + 1)
    except OSError as error:
        _refuse(ChangeSetError([f"the file: {error}"]), file)
    id = change_schema.id_of(data)
    faults = change_schema.parse(data)[1] if id is None else []
    if faults:
        _refuse(ChangeSetError(faults), file)
    result = _run(client.publish(place, id, data, seconds), file)
    if result.position is None:
        _refuse(ChangeSetError(list(result.faults) or ["refused"]), file)
    click.echo(f"{file}: in force at the publisher, position {result.position.term}.{result.position.number}")


@control.command("status")
@click.argument("place", callback=_check_address, metavar=ADDRESS)
@click.option("--json", "as_json", is_flag=True, help="The whole status as JSON.")
@click.option(
    "--seconds",
    type=click.FloatRange(0.1, 3600),
    default=10.0,
    show_default=True,
    help="How long to retry while no answer comes.",
)
def status(place: str, as_json: bool, seconds: float) -> None:
    """Ask the publisher what is in force everywhere, who is behind and since when."""
    from oakfork.control import client, status_text

    document = _run(client.status(place, seconds))
    click.echo(json.dumps(document, sort_keys=True) if as_json else status_text.text(document))


@control.command("try")
@click.option(
    "--keep", type=click.Path(file_okay=False), help="Keep the files, the database and the logs in this folder."
)
def try_all(keep: str | None) -> None:
    """Start a publisher, two relays and three followers on this machine, publish an example, show the status."""
    from oakfork.control import trial

    try:
        trial.run(Path(keep) if keep else None, click.echo)
    except OakforkError as error:
        _refuse(error)


if __name__ == "__main__":
    control()
