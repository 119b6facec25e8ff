"""Plots of a finished sweep, written as PNG files."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import numpy  # noqa: E402 - the backend has to be chosen before pyplot is imported
from matplotlib import pyplot  # noqa: E402

from oakfork.lab.compare import FiguresBySeed, grouped, interval  # noqa: E402

FIGURES_OVER_SWEEP = (
    "utility share",
    "goodput share",
    "beyond quota per try",
    "pushed back with room per try",
    "p99 ms",
    "to first call-out p50 ms",
    "probes per try",
    "frames per try",
)

Interval = tuple[Any, float, float, float]  # swept value, mean, ends of the confidence interval


def over_sweep(results: list[dict[str, Any]], folder: Path) -> list[Path]:
    """Plots each figure over the first swept value, one line per policy, and returns the files."""
    groups = grouped(results)
    swept = next((point[0][0] for point in groups if point), None)
    if swept is None:
        return []
    paths: list[Path] = []
    for figure in FIGURES_OVER_SWEEP:
        canvas, axes = pyplot.subplots(figsize=(7, 4.5))
        for name, intervals in _lines(groups, figure).items():
            intervals.sort(key=lambda row: row[0])
            x, mean, low, high = (numpy.array(column) for column in zip(*intervals, strict=True))
            axes.errorbar(x, mean, yerr=[mean - low, high - mean], label=name, marker="o", capsize=3)
        axes.set(xlabel=swept, ylabel=figure)
        axes.legend(fontsize=8)
        paths.append(_save(canvas, folder / f"{figure.replace(' ', '-')}.png"))
    return paths


def _lines(groups: dict[tuple, dict[str, FiguresBySeed]], figure: str) -> dict[str, list[Interval]]:
    """The intervals of a figure by the name of their line: the policy, and the other swept values if any."""
    lines: dict[str, list[Interval]] = {}
    for point, policies in groups.items():
        other_values = ", ".join(f"{path}={value}" for path, value in point[1:])
        for policy, by_seed in policies.items():
            name = f"{policy} ({other_values})" if other_values else policy
            values = [figures[figure] for figures in by_seed.values()]
            lines.setdefault(name, []).append((point[0][1], *interval(values)))
    return lines


def over_time(results: list[dict[str, Any]], folder: Path) -> list[Path]:
    """Plots one point and seed of the sweep, the first, by second and by server, and returns the files.

    They show utility asked and obtained, latency, and work by server: how a policy recovers from a fault.
    """
    rows = [row for row in results if "failed" not in row["result"]]
    if not rows:
        return []
    first = rows[0]["run"]
    rows = [row for row in rows if row["run"]["point"] == first["point"] and row["run"]["seed"] == first["seed"]]
    return [_plot_seconds(rows, folder), _plot_server_work(rows, folder)]


def _plot_seconds(rows: list[dict[str, Any]], folder: Path) -> Path:
    canvas, (upper, lower) = pyplot.subplots(2, 1, figsize=(7, 6.5), sharex=True)
    for row in rows:
        by_second = row["result"]["by_second"]
        upper.plot(by_second.get("utility", []), label=row["run"]["policy"])
        quantiles = row["result"]["latency_by_second_ms"]
        (line,) = lower.plot(quantiles["p99"], label=row["run"]["policy"])
        lower.plot(quantiles["p50"], linestyle="--", color=line.get_color())
    upper.plot(rows[0]["result"]["by_second"].get("utility asked", []), "k:", label="asked inside quotas")
    upper.set(ylabel="utility a second")
    lower.set(xlabel="seconds", ylabel="latency, ms: p99, p50 dashed")
    upper.legend(fontsize=8)
    return _save(canvas, folder / "over-time.png")


def _plot_server_work(rows: list[dict[str, Any]], folder: Path) -> Path:
    canvas, axes = pyplot.subplots(figsize=(7, 4.5))
    for row in rows:
        axes.plot(sorted(row["result"]["server_work_s"]), label=row["run"]["policy"])
    axes.set(xlabel="servers, by their work", ylabel="core seconds of work")
    axes.legend(fontsize=8)
    return _save(canvas, folder / "load-per-server.png")


def _save(canvas: pyplot.Figure, path: Path) -> Path:
    """Writes a PNG whose bytes do not depend on the version of the plotting library's metadata."""
    path.parent.mkdir(parents=True, exist_ok=True)
    canvas.tight_layout()
    canvas.savefig(path, dpi=110, metadata={"Software": None})
    pyplot.close(canvas)
    return path
