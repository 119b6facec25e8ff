"""`oakfork lab scale`: measures, shows what is stored, and writes the tables of the capacity page.

It imports the measuring modules only when they are used, so that other commands start without them.
"""

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
DEFAULT_FOLDER = "experiments/scale"


def _show(folder: Path) -> int:
    from oakfork.lab.scale.slopes import load, summary_line

    try:
        measures = load(folder)
    except (OSError, ValueError, KeyError, TypeError) as error:
        _exit_with_usage_error(f"{folder}: not usable: {error!r}")
    for measure in measures.values():
        click.echo(summary_line(measure))
    if not measures:
        click.echo(f"{folder}: nothing is stored")
    return 0


def _page(page: Path, folder: Path, check: bool) -> int:
    from oakfork.lab.scale.capacity_tables import fill_page, tables

    try:
        text = page.read_text()
        expected = fill_page(text, tables(folder))
    except (OSError, ValueError, KeyError, TypeError) as error:
        _exit_with_usage_error(f"{page}: not written: {error}")
    differs = expected != text
    if check:
        click.echo(f"{page}: " + (f"differs from what {folder} gives" if differs else "as stored"))
        return EXIT_FAILURE if differs else 0
    if differs:
        page.write_text(expected)
    click.echo(f"{page}: {'written' if differs else 'as it was'}")
    return 0


def _measure(name: str, folder: Path | None, small: bool) -> None:
    from oakfork.lab.scale.slopes import store, summary_line

    try:
        group = importlib.import_module(GROUPS[name])
    except ModuleNotFoundError as error:
        _exit_with_usage_error(f"{name}: {error}")
    measures, run_facts = group.measure(lambda line: click.echo(line, err=True), small)
    for measure in measures:
        click.echo(summary_line(measure))
    if folder:
        click.echo(str(store(folder, group.GROUP, measures, run_facts)))


@click.command()
@click.argument("groups", nargs=-1, type=click.Choice(sorted(GROUPS)))
@click.option(
    "--to",
    "to",
    type=click.Path(file_okay=False, path_type=Path),
    help=f"Where measures are stored; {DEFAULT_FOLDER} if left out.",
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
    measures_nothing = show or page
    if (measures_nothing and (groups or small)) or (show and page) or (check and not page):
        _exit_with_usage_error("--show and --page measure nothing and go one at a time; --check needs --page")
    folder = to or Path(DEFAULT_FOLDER)
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


def _exit_with_usage_error(text: str) -> NoReturn:
    sys.exit(_failed(text, EXIT_USAGE))


def _failed(text: str, status: int = EXIT_FAILURE) -> int:
    for line in text.splitlines():
        click.echo(f"oakfork: {line}", err=True)
    return status
