"""The command line. `serve` does what `python -m oakfork` does; everything else is imported where it is used.

Exit codes: 0 done; 1 it went wrong while running (a run that failed, a rule broken, an address that can't be had);
2 the user's mistake (a word on the line, a file that is not usable), told on one line a fault.
"""

import dataclasses
import json
import os
import sys
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path
from typing import Any

import click

from oakfork import __version__
from oakfork.errors import (
    EXIT_FAILURE,
    EXIT_USAGE,
    ConfigurationError,
    ContractsFileError,
    DrillProcessError,
    ExperimentError,
    FleetError,
    LoadSettingsError,
    OakforkError,
    error_lines,
)


class Later(click.Group):
    """Takes up the commands of `later`, by name the module that has it, where they are asked for: `serve` imports
    nothing of them."""

    def __init__(self, *args: Any, later: dict[str, str] | None = None, **more: Any) -> None:
        super().__init__(*args, **more)
        self.later = later or {}

    def list_commands(self, context: click.Context) -> list[str]:
        return sorted([*super().list_commands(context), *self.later])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in self.later:
            return super().get_command(context, name)
        return getattr(import_module(self.later[name]), name)


class Group(Later):
    """Errors on one line, without the usage around them."""

    def main(self, *args: Any, **more: Any) -> Any:
        try:
            status = super().main(*args, standalone_mode=False, **more)
        except click.ClickException as error:
            _fail(error.format_message())
        except click.Abort:
            _fail("interrupted", EXIT_FAILURE)
        except BrokenPipeError:
            sys.stderr.close()
            sys.exit(EXIT_FAILURE)
        sys.exit(status if isinstance(status, int) else 0)


def _fail(text: str, status: int = EXIT_USAGE) -> None:
    for line in text.splitlines() or [""]:
        click.echo(f"oakfork: {line}", err=True)
    sys.exit(status)


def _refuse(error: OakforkError, where: str = "", faults: list[str] | None = None) -> None:
    _fail(error_lines(error, where, faults), error.status)


@click.group(
    cls=Group, later={"control": "oakfork.control.cli"}, context_settings={"help_option_names": ["-h", "--help"]}
)
@click.version_option(__version__, message="%(version)s")
def main() -> None:
    """A quota-keeping gateway for a shared API."""


@main.command()
@click.option("--config", type=click.Path(dir_okay=False), help="The configuration; otherwise LB_CONFIG names it.")
def serve(config: str | None) -> None:
    """Serve as a gateway, as `python -m oakfork` does, once the configuration has been found usable by its schema."""
    from oakfork.serving import serve as run

    if config:
        os.environ["LB_CONFIG"] = config
    path = os.environ.get("LB_CONFIG") or _fail("LB_CONFIG names no file, nor does --config")
    if faults := _faults(path):
        _refuse(ConfigurationError(), path, faults)
    run()


def _faults(path: str) -> list[str]:
    """All that the schema or the gateway's own reading finds wrong in a configuration."""
    from oakfork.configuration_schema import faults_in
    from oakfork.sockets.configuration import read_configuration

    try:
        told = json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        return [f"the file: {error}"]
    if faults := faults_in(told):
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
    """What gateways do together: leases, and what rests on them (docs/fleet.md)."""
    _needs("msgspec", what="fleet")


def _needs(*names: str, what: str) -> None:
    missing = [name for name in names if find_spec(name) is None]
    if missing:
        _fail(f"this needs more libraries ({', '.join(missing)}): pip install 'oakfork[{what}]'")


@fleet.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
def fleet_check(file: str) -> None:
    """Check a fleet file: its edition, or each fault by its path."""
    from oakfork.fleet.config import read

    try:
        told = read(file)
    except FleetError as error:
        _refuse(error, file)
    click.echo(f"{file}: usable, revision {told.edition.revision}, edition {told.edition.digest:016x}")


@main.group()
def contracts() -> None:
    """Reserved capacity contracts (docs/contracts.md)."""


@contracts.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
def contracts_check(file: str) -> None:
    """Check a book of contracts: each fault by its path, or the instant at which too much is reserved."""
    from oakfork.contracts.contracts_file import read

    try:
        book = read(file)
    except ContractsFileError as error:
        _refuse(error, file)
    click.echo(
        f"{file}: usable, {len(book.contracts)} contracts, {len(book.sites)} sites, " f"{book.capacity:g} legs a second"
    )


@main.group(cls=Later, later={"scale": "oakfork.lab.scale.cli"})
def lab() -> None:
    """The laboratory: a model of the gateways' world, experiments with it, load on real gateways."""
    _needs("hdrh", "numpy", "scipy", what="lab")


def _experiment(path: str) -> Any:
    from oakfork.lab.experiment import read

    try:
        return read(path)
    except ExperimentError as error:
        _refuse(error, path)


def _results(folder: str) -> list[dict[str, Any]]:
    from oakfork.lab.sweep import load

    try:
        return load(Path(folder))
    except (OSError, ValueError) as error:
        _fail(f"{folder}: no results: {error}")
        return []


def _row(result: dict[str, Any]) -> str:
    from oakfork.lab.compare import figures, plain

    if "failed" in result:
        return "FAILED: " + result["failed"]
    broken = ", ".join(f"{rule} {times} times" for rule, times in result["broken"].items())
    shown = figures(result)
    words = "  ".join(f"{name} {plain(shown[name])}" for name in ("utility share", "beyond quota per try", "p99 ms"))
    return words + ("  BROKEN: " + broken if broken else "  rules kept")


@lab.command("run")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--policy", help="One of the file's; otherwise its first.")
@click.option("--seed", type=int, help="One of the file's; otherwise its first.")
@click.option("--json", "as_json", is_flag=True, help="The whole result as JSON.")
def lab_run(file: str, policy: str | None, seed: int | None, as_json: bool) -> int:
    """Play one run of an experiment, at the first point of its sweep."""
    from oakfork.lab.sweep import play

    experiment = _experiment(file)
    policy, seed = policy or experiment.policies[0], experiment.seeds[0] if seed is None else seed
    run = next((run for run in experiment.runs if run.policy == policy and run.seed == seed), None)
    if run is None:
        _fail(f"{file}: no run of policy {policy!r} with seed {seed}")
    result = play(run)
    click.echo(json.dumps(result, sort_keys=True) if as_json else f"{policy}, seed {seed}: {_row(result)}")
    if not as_json:
        for line in result["lines"]:
            click.echo("  " + line)
    return EXIT_FAILURE if result["broken"] else 0


@lab.command("sweep")
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--workers", type=click.IntRange(1, 256), default=max(1, (os.cpu_count() or 2) // 2), show_default=True)
@click.option("--quiet", is_flag=True, help="No line a run.")
def lab_sweep(file: str, folder: str, workers: int, quiet: bool) -> int:
    """Play all runs of an experiment over processes; run again, it goes on where it was."""
    from oakfork.lab.sweep import Sweep

    experiment = _experiment(file)

    def told(run: Any, result: dict[str, Any]) -> None:
        if not quiet:
            click.echo(f"{run.number}  {run.policy}  seed {run.seed}  {dict(run.point) or ''}  {_row(result)}")

    try:
        failed = Sweep(experiment, Path(folder), workers).run(told)
    except OSError as error:
        _fail(f"{folder}: {error}", EXIT_FAILURE)
    click.echo(f"{len(experiment.runs)} runs, {failed} failed, in {folder}")
    return EXIT_FAILURE if failed else 0


@lab.command("compare")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--base", default="two choices", show_default=True, help="The policy compared with.")
@click.option("--other", default="oakfork", show_default=True, help="The policy compared.")
@click.option(
    "--with", "second", type=click.Path(file_okay=False), help="Take the other from this sweep of the same seeds."
)
@click.option("--json", "as_json", is_flag=True, help="The differences as JSON.")
def lab_compare(folder: str, base: str, other: str, second: str | None, as_json: bool) -> int:
    """Compare two policies by runs of the same seeds, with 95% confidence intervals."""
    from oakfork.lab.compare import compare, plain

    found = compare(_results(folder), base, other, _results(second) if second else None)
    if not found:
        _fail(f"{folder}: no runs of {base!r} and {other!r} with the same seeds")
    for row in found:
        if as_json:
            click.echo(json.dumps(row._asdict() | {"point": dict(row.point), "told apart": row.told_apart}))
            continue
        point = ", ".join(f"{path}={value}" for path, value in row.point)
        verdict = f"{plain(row.low)} to {plain(row.high)}" if row.told_apart else "can't be told from noise"
        click.echo(
            f"{point + ': ' if point else ''}{row.figure}: {plain(row.base)} -> {plain(row.other)}  "
            f"difference {plain(row.mean)} ({verdict}; {row.pairs} pairs)"
        )
    return 0


@lab.command("plot")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--to", "to", type=click.Path(file_okay=False), help="Where the plots go; otherwise FOLDER/plots.")
def lab_plot(folder: str, to: str | None) -> int:
    """Plot a finished sweep into PNG files."""
    results = _results(folder)
    try:
        from oakfork.lab.plots import over_sweep, over_time
    except ImportError as error:
        _fail(f"plots need more libraries ({error.name}): pip install 'oakfork[lab]'")
    target = Path(to) if to else Path(folder) / "plots"
    for path in over_sweep(results, target) + over_time(results, target):
        click.echo(str(path))
    return 0


@lab.group("drill")
def lab_drill() -> None:
    """Drills on real processes of the program, with relays between them (docs/drills.md)."""
    _needs("msgspec", "tomli_w", what="drills")


@lab_drill.command("leases")
@click.option("--seed", "seeds", type=int, multiple=True, default=(1,), show_default=True, help="One drill a seed.")
@click.option("--gateways", type=click.IntRange(3, 64), default=3, show_default=True)
@click.option("--length-ms", type=click.IntRange(100, 60_000), default=400, show_default=True, help="Of a lease.")
@click.option("--seconds", type=click.FloatRange(1, 3600), default=5.0, show_default=True)
@click.option("--keep", type=click.Path(file_okay=False), help="A folder for the record of each drill.")
def lab_drill_leases(seeds: tuple[int, ...], keep: str | None, **told: Any) -> int:
    """Kill, stop, cut and delay gateways that take turns at one task; say what the witness saw."""
    from oakfork.lab.lease_drill import lease_drill

    broken = 0
    for seed in seeds:
        try:
            drill = lease_drill(seed, keep=Path(keep) if keep else None, **told)
        except DrillProcessError as error:
            _refuse(error)
        click.echo(
            f"seed {seed}: {len(drill.done)} troubles, {drill.acts} acts in {drill.terms} terms, "
            f"{sum(drill.refused.values())} refused; " + ("; ".join(drill.faults) or "no overlap, terms grow")
        )
        broken += bool(drill.faults)
    return EXIT_FAILURE if broken else 0


@lab_drill.command("contracts")
@click.option(
    "--kind",
    default="allotter killed",
    show_default=True,
    type=click.Choice(
        ("calm", "allotter killed", "allotter stopped", "a gateway cut off", "a third of the servers gone")
    ),
)
@click.option(
    "--policy", type=click.Choice(("contracts", "even parts", "no contracts")), default="contracts", show_default=True
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--gateways", type=click.IntRange(3, 64), default=3, show_default=True)
def lab_drill_contracts(**told: Any) -> None:
    """All others ask for three times what the sites can do; say what a tenant got of what is reserved, by second."""
    from oakfork.lab.contract_drill import RESERVED, contract_drill

    try:
        drill = contract_drill(**told)
    except DrillProcessError as error:
        _refuse(error)
    click.echo(
        f"{drill.kind}, {drill.policy}: the tenant has {RESERVED:g} legs a second reserved, asked for "
        f"{' '.join(map(str, drill.tenant_asked))} and got {' '.join(map(str, drill.tenant_ok))}; others got "
        f"{' '.join(map(str, drill.others_ok))}"
    )


@lab.command("load")
@click.argument("gateways", nargs=-1, required=True)
@click.option("--rate", type=click.FloatRange(0.1, 20_000), default=50.0, show_default=True, help="RPCs a second.")
@click.option("--seconds", type=click.FloatRange(0.1, 600), default=10.0, show_default=True)
@click.option("--connections", type=click.IntRange(1, 1000), default=64, show_default=True, help="At most, in all.")
@click.option("--customers", type=click.IntRange(1, 1_000_000), default=200, show_default=True)
@click.option("--method", "method", default="GET", show_default=True)
@click.option("--lane", default="read", show_default=True, help="The method's name, as X-Lane.")
@click.option("--tier", default="basic", show_default=True, help="The plan's name, as X-Tier.")
@click.option("--deadline-ms", type=click.IntRange(1, 600_000), default=3000, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
def lab_load(gateways: tuple[str, ...], as_json: bool, **told: Any) -> int:
    """Send an open-loop load to real gateways on loopback addresses, HOST:PORT each."""
    from oakfork.lab.load_generator import LoadSettings, run

    try:
        report = run(LoadSettings(gateways=gateways, **told))
    except LoadSettingsError as error:
        _refuse(error)
    click.echo(json.dumps(dataclasses.asdict(report)) if as_json else report.text())
    return EXIT_FAILURE if report.answers.get("none") else 0


if __name__ == "__main__":
    main()
