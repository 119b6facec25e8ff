"""The commands of `oakfork lab`, which import what they need when they run; exit codes as in oakfork/cli.py."""

import dataclasses
import json
import os
from pathlib import Path
from typing import Any

import click

from oakfork.cli_common import LazyGroup, fail, refuse, require_libraries
from oakfork.errors import EXIT_FAILURE, DrillProcessError, ExperimentError, LoadSettingsError


@click.group(cls=LazyGroup, lazy_commands={"scale": "oakfork.lab.scale.cli"})
def lab() -> None:
    """The laboratory: simulated experiments, and load and drills on real gateways."""
    require_libraries("hdrh", "numpy", "scipy", extra="lab")


def _experiment(path: str) -> Any:
    from oakfork.lab.experiment import read

    try:
        return read(path)
    except ExperimentError as error:
        refuse(error, path)


def _results(folder: str) -> list[dict[str, Any]]:
    from oakfork.lab.sweep import load

    try:
        return load(Path(folder))
    except (OSError, ValueError) as error:
        fail(f"{folder}: no results: {error}")
        return []


def _summary(result: dict[str, Any]) -> str:
    """The result of a run on one line."""
    from oakfork.lab.compare import figures, plain

    if "failed" in result:
        return "FAILED: " + result["failed"]
    broken = ", ".join(f"{rule} {times} times" for rule, times in result["broken"].items())
    values = figures(result)
    names = ("utility share", "beyond quota per try", "p99 ms")
    text = "  ".join(f"{name} {plain(values[name])}" for name in names)
    return text + ("  BROKEN: " + broken if broken else "  rules kept")


@lab.command("run")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--policy", help="A policy of the file; the first one by default.")
@click.option("--seed", type=int, help="A seed of the file; the first one by default.")
@click.option("--json", "as_json", is_flag=True, help="The whole result as JSON.")
def lab_run(file: str, policy: str | None, seed: int | None, as_json: bool) -> int:
    """Run one policy of an experiment with one seed, at the first point of its sweep."""
    from oakfork.lab.sweep import play

    experiment = _experiment(file)
    policy = policy or experiment.policies[0]
    if seed is None:
        seed = experiment.seeds[0]
    run = next((run for run in experiment.runs if run.policy == policy and run.seed == seed), None)
    if run is None:
        fail(f"{file}: no run of policy {policy!r} with seed {seed}")
    result = play(run)
    click.echo(json.dumps(result, sort_keys=True) if as_json else f"{policy}, seed {seed}: {_summary(result)}")
    if not as_json:
        for line in result["lines"]:
            click.echo("  " + line)
    return EXIT_FAILURE if result["broken"] else 0


@lab.command("sweep")
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--workers", type=click.IntRange(1, 256), default=max(1, (os.cpu_count() or 2) // 2), show_default=True)
@click.option("--quiet", is_flag=True, help="Print no line for each run.")
def lab_sweep(file: str, folder: str, workers: int, quiet: bool) -> int:
    """Run all of an experiment in several processes; an interrupted sweep continues when it is started again."""
    from oakfork.lab.sweep import Sweep

    experiment = _experiment(file)

    def report(run: Any, result: dict[str, Any]) -> None:
        if not quiet:
            click.echo(f"{run.number}  {run.policy}  seed {run.seed}  {dict(run.point) or ''}  {_summary(result)}")

    try:
        failed = Sweep(experiment, Path(folder), workers).run(report)
    except OSError as error:
        fail(f"{folder}: {error}", EXIT_FAILURE)
    click.echo(f"{len(experiment.runs)} runs, {failed} failed, in {folder}")
    return EXIT_FAILURE if failed else 0


@lab.command("compare")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--base", default="two choices", show_default=True, help="The baseline policy.")
@click.option("--other", default="oakfork", show_default=True, help="The policy to compare with it.")
@click.option(
    "--with",
    "second",
    type=click.Path(file_okay=False),
    help="Take the other policy from this sweep with the same seeds.",
)
@click.option("--json", "as_json", is_flag=True, help="The differences as JSON.")
def lab_compare(folder: str, base: str, other: str, second: str | None, as_json: bool) -> int:
    """Compare two policies by runs of the same seeds, with 95% confidence intervals."""
    from oakfork.lab.compare import compare, plain

    differences = compare(_results(folder), base, other, _results(second) if second else None)
    if not differences:
        fail(f"{folder}: no runs of {base!r} and {other!r} with the same seeds")
    for row in differences:
        if as_json:
            click.echo(json.dumps(row._asdict() | {"point": dict(row.point), "told apart": row.told_apart}))
            continue
        point = ", ".join(f"{path}={value}" for path, value in row.point)
        interval = f"{plain(row.low)} to {plain(row.high)}" if row.told_apart else "not significant"
        click.echo(
            f"{point + ': ' if point else ''}{row.figure}: {plain(row.base)} -> {plain(row.other)}  "
            f"difference {plain(row.mean)} ({interval}; {row.pairs} pairs)"
        )
    return 0


@lab.command("plot")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--to", "to", type=click.Path(file_okay=False), help="The folder for the plots; FOLDER/plots otherwise.")
def lab_plot(folder: str, to: str | None) -> int:
    """Plot a finished sweep as PNG files."""
    results = _results(folder)
    try:
        from oakfork.lab.plots import over_sweep, over_time
    except ImportError as error:
        fail(f"plots need more libraries ({error.name}): pip install 'oakfork[lab]'")
    target = Path(to) if to else Path(folder) / "plots"
    for path in over_sweep(results, target) + over_time(results, target):
        click.echo(str(path))
    return 0


@lab.group("drill")
def lab_drill() -> None:
    """Fault drills on real gateway processes, with relays between them (docs/drills.md)."""
    require_libraries("msgspec", "tomli_w", extra="drills")


@lab_drill.command("leases")
@click.option(
    "--seed", "seeds", type=int, multiple=True, default=(1,), show_default=True, help="One drill for each seed."
)
@click.option("--gateways", type=click.IntRange(3, 64), default=3, show_default=True)
@click.option(
    "--length-ms", type=click.IntRange(100, 60_000), default=400, show_default=True, help="Duration of a lease."
)
@click.option("--seconds", type=click.FloatRange(1, 3600), default=5.0, show_default=True)
@click.option("--keep", type=click.Path(file_okay=False), help="A folder for the record of each drill.")
def lab_drill_leases(seeds: tuple[int, ...], keep: str | None, **options: Any) -> int:
    """Kill, stop, disconnect and delay gateways that take turns at one task; print what the fenced resource saw."""
    from oakfork.lab.lease_drill import lease_drill

    broken = 0
    for seed in seeds:
        try:
            drill = lease_drill(seed, keep=Path(keep) if keep else None, **options)
        except DrillProcessError as error:
            refuse(error)
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
def lab_drill_contracts(**options: Any) -> None:
    """Overload the sites threefold by other customers; print what a tenant got of its reserved capacity, by second."""
    from oakfork.lab.contract_drill import RESERVED, contract_drill

    try:
        drill = contract_drill(**options)
    except DrillProcessError as error:
        refuse(error)
    click.echo(
        f"{drill.kind}, {drill.policy}: the tenant has {RESERVED:g} legs a second reserved, asked for "
        f"{' '.join(map(str, drill.tenant_asked))} and got {' '.join(map(str, drill.tenant_ok))}; others got "
        f"{' '.join(map(str, drill.others_ok))}"
    )


@lab.command("load")
@click.argument("gateways", nargs=-1, required=True)
@click.option("--rate", type=click.FloatRange(0.1, 20_000), default=50.0, show_default=True, help="RPCs a second.")
@click.option("--seconds", type=click.FloatRange(0.1, 600), default=10.0, show_default=True)
@click.option("--connections", type=click.IntRange(1, 1000), default=64, show_default=True, help="Maximum in all.")
@click.option("--customers", type=click.IntRange(1, 1_000_000), default=200, show_default=True)
@click.option("--method", "method", default="GET", show_default=True)
@click.option("--lane", default="read", show_default=True, help="The method's name, as X-Lane.")
@click.option("--tier", default="basic", show_default=True, help="The plan's name, as X-Tier.")
@click.option("--deadline-ms", type=click.IntRange(1, 600_000), default=3000, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
def lab_load(gateways: tuple[str, ...], as_json: bool, **options: Any) -> int:
    """Send an open-loop load to real gateways on loopback addresses, each given as HOST:PORT."""
    from oakfork.lab.load_generator import LoadSettings, run

    try:
        report = run(LoadSettings(gateways=gateways, **options))
    except LoadSettingsError as error:
        refuse(error)
    click.echo(json.dumps(dataclasses.asdict(report)) if as_json else report.text())
    return EXIT_FAILURE if report.answers.get("none") else 0
