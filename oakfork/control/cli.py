"""The command line of this package, `oakfork control`. Everything that it runs is imported where it is used.

Exit codes as in oakfork/cli.py: 0 done; 1 it went wrong while running; 2 the user's mistake.
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

PLACE = r"HOST:PORT"


def _fail(text: str, status: int = EXIT_USAGE) -> None:
    for line in text.splitlines():
        click.echo(f"oakfork: {line}", err=True)
    sys.exit(status)


def _refuse(error: OakforkError, where: str = "") -> None:
    _fail(error_lines(error, where), error.status)


def _place(_: click.Context, __: click.Parameter, told: Any) -> Any:
    for text in (told,) if isinstance(told, str) else told:
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or int(port) > 65_535:
            _fail(f"not an address, HOST:PORT: {text!r}")
    return told


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
    """What comes of it, or the end of the process by one of our own errors."""
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
    """Changes of configuration on their way to every gateway (docs/control.md)."""
    if find_spec("msgspec") is None:
        _fail("this needs more libraries (msgspec): pip install 'oakfork[fleet]'")


@control.command("publisher")
@click.argument("file", type=click.Path(dir_okay=False))
def publisher(file: str) -> None:
    """Run the publisher that a file sets."""
    from oakfork.control import config as files, processes

    try:
        told = files.read_publisher(file)
    except ControlConfigError as error:
        _refuse(error, file)
    _run(processes.publisher(told, _log(told.who)))


@control.command("relay")
@click.argument("file", type=click.Path(dir_okay=False))
def relay(file: str) -> None:
    """Run the relay that a file sets."""
    from oakfork.control import config as files, processes

    try:
        told = files.read_relay(file)
    except ControlConfigError as error:
        _refuse(error, file)
    _run(processes.relay(told, _log(told.who)))


@control.command("follow")
@click.argument("relays", nargs=-1, required=True, callback=_place)
@click.option("--name", required=True, help="As status is to name it; no other has it.")
@click.option("--seed", type=int, default=1, show_default=True, help="Of the chance in its pauses.")
def follow(relays: tuple[str, ...], name: str, seed: int) -> None:
    """Follow relays, HOST:PORT each, as a gateway does; print a line of JSON for what comes into force."""
    from oakfork.control import processes

    _run(processes.follow(name, relays, seed, _log(name), lambda told: click.echo(json.dumps(told))))


@control.command("publish")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--to", "place", required=True, callback=_place, metavar=PLACE, help="The publisher.")
@click.option(
    "--seconds",
    type=click.FloatRange(0.1, 3600),
    default=30.0,
    show_default=True,
    help="How long to ask again where no answer comes.",
)
def publish(file: str, place: str, seconds: float) -> None:
    """Submit a change file: print the position at which it is in force, or each fault. Safe to repeat."""
    from oakfork.control import change_schema, client

    try:
        with open(file, "rb") as opened:
            data = opened.read(change_schema.LARGEST_CHANGE + 1)
    except OSError as error:
        _refuse(ChangeSetError([f"the file: {error}"]), file)
    id = change_schema.id_of(data)
    faults = change_schema.parse(data)[1] if id is None else []
    if faults:
        _refuse(ChangeSetError(faults), file)
    verdict = _run(client.publish(place, id, data, seconds), file)
    if verdict.position is None:
        _refuse(ChangeSetError(list(verdict.faults) or ["refused"]), file)
    click.echo(f"{file}: in force at the publisher, position {verdict.position.term}.{verdict.position.number}")


@control.command("status")
@click.argument("place", callback=_place, metavar=PLACE)
@click.option("--json", "as_json", is_flag=True, help="The whole status as JSON.")
@click.option(
    "--seconds",
    type=click.FloatRange(0.1, 3600),
    default=10.0,
    show_default=True,
    help="How long to ask again where no answer comes.",
)
def status(place: str, as_json: bool, seconds: float) -> None:
    """Ask the publisher what is in force everywhere, who is behind and since when."""
    from oakfork.control import client, status_text

    told = _run(client.status(place, seconds))
    click.echo(json.dumps(told, sort_keys=True) if as_json else status_text.text(told))


@control.command("try")
@click.option("--keep", type=click.Path(file_okay=False), help="A folder for files, database and logs, to look at.")
def try_all(keep: str | None) -> None:
    """Start a publisher, two relays and three followers on this machine, publish an example, show the status."""
    from oakfork.control import trial

    try:
        trial.run(Path(keep) if keep else None, click.echo)
    except OakforkError as error:
        _refuse(error)


if __name__ == "__main__":
    control()
