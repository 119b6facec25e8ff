"""`oakfork lab scale`: measures, shows what is stored, writes the tables of a page. Imports what it needs where it is
used."""

import importlib
import sys
from pathlib import Path
from typing import NoReturn

import click

from oakfork.errors import EXIT_FAILURE, EXIT_USAGE, OakforkError, error_lines

GROUPS = {
    "module": "oakfork.lab.scale.module_costs",
    "process": "oakfork.lab.scale.process_costs",
    "frames": "oakfork.lab.scale.peer_frames",
    "lists": "oakfork.lab.scale.server_lists",
    "added": "oakfork.lab.scale.added_latency",
    "control": "oakfork.lab.scale.control_costs",
    "faults": "oakfork.lab.scale.control_faults",
    "leases": "oakfork.lab.scale.lease_costs",
}
STORED = "experiments/scale"


def _show(folder: Path) -> int:
    from oakfork.lab.scale.slopes import line_of, load

    try:
        found = load(folder)
    except (OSError, ValueError, KeyError, TypeError) as error:
        _end(f"{folder}: not usable: {error!r}")
    for measure in found.values():
        click.echo(line_of(measure))
    if not found:
        click.echo(f"{folder}: nothing is stored")
    return 0


def _page(page: Path, folder: Path, check: bool) -> int:
    from oakfork.lab.scale.capacity_tables import tables, written

    try:
        text = page.read_text()
        told = written(text, tables(folder))
    except (OSError, ValueError, KeyError, TypeError) as error:
        _end(f"{page}: not written: {error}")
    if check:
        click.echo(f"{page}: " + ("as stored" if told == text else f"differs from what {folder} gives"))
        return EXIT_FAILURE if told != text else 0
    if told != text:
        page.write_text(told)
    click.echo(f"{page}: {'written' if told != text else 'as it was'}")
    return 0


def _measure(name: str, folder: Path | None, small: bool) -> None:
    from oakfork.lab.scale.slopes import line_of, store

    try:
        group = importlib.import_module(GROUPS[name])
    except ModuleNotFoundError as error:
        _end(f"{name}: {error}")
    measures, more = group.measure(lambda line: click.echo(line, err=True), small)
    for measure in measures:
        click.echo(line_of(measure))
    if folder:
        click.echo(str(store(folder, group.GROUP, measures, more)))


@click.command()
@click.argument("groups", nargs=-1, type=click.Choice(sorted(GROUPS)))
@click.option(
    "--to",
    "to",
    type=click.Path(file_okay=False, path_type=Path),
    help=f"Where measures are stored; {STORED} if left out.",
)
@click.option("--small", is_flag=True, help="Tiny sizes, to see that it works; stored only with --to.")
@click.option("--show", is_flag=True, help="Print what is stored, and measure nothing.")
@click.option(
    "--page",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the tables of this page from what is stored, and measure nothing.",
)
@click.option("--check", is_flag=True, help="With --page: only say whether it differs.")
def scale(groups: tuple[str, ...], to: Path | None, small: bool, show: bool, page: Path | None, check: bool) -> int:
    """Measure how costs grow with the fleet, by groups (docs/CAPACITY.md); all of them if none is named."""
    if (show or page) and (groups or small) or show and page or check and not page:
        _end("--show and --page measure nothing and go one at a time; --check needs --page")
    folder = to or Path(STORED)
    if show:
        return _show(folder)
    if page:
        return _page(page, folder, check)
    for name in dict.fromkeys(groups) or GROUPS:
        try:
            _measure(name, to if small else folder, small)
        except OakforkError as error:
            return _failed(error_lines(error, name), error.status)
        except (OSError, ValueError) as error:
            return _failed(f"{name}: {error}")
    return 0


def _end(text: str) -> NoReturn:
    sys.exit(_failed(text, EXIT_USAGE))


def _failed(text: str, status: int = EXIT_FAILURE) -> int:
    for line in text.splitlines():
        click.echo(f"oakfork: {line}", err=True)
    return status
