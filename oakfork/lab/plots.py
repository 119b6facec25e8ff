"""Plots of a finished sweep, by a library, into files."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import numpy  # noqa: E402
from matplotlib import pyplot  # noqa: E402

from oakfork.lab.compare import grouped, interval  # noqa: E402

OVER_SWEEP = (
    "utility share",
    "goodput share",
    "beyond quota per try",
    "pushed back with room per try",
    "p99 ms",
    "to first call-out p50 ms",
    "probes per try",
    "frames per try",
)


def over_sweep(results: list[dict[str, Any]], folder: Path) -> list[Path]:
    """Each figure over the first swept value, a line a policy, with confidence intervals."""
    groups, made = grouped(results), []
    axis = next((point[0][0] for point in groups if point), None)
    if axis is None:
        return made
    for figure in OVER_SWEEP:
        canvas, axes = pyplot.subplots(figsize=(7, 4.5))
        lines: dict[str, list[tuple[Any, float, float, float]]] = {}
        for point, policies in groups.items():
            rest = ", ".join(f"{path}={value}" for path, value in point[1:])
            for policy, by_seed in policies.items():
                name = f"{policy} ({rest})" if rest else policy
                lines.setdefault(name, []).append((point[0][1], *interval([row[figure] for row in by_seed.values()])))
        for name, rows in lines.items():
            rows.sort(key=lambda row: row[0])
            x, mean, low, high = (numpy.array(column) for column in zip(*rows, strict=True))
            axes.errorbar(x, mean, yerr=[mean - low, high - mean], label=name, marker="o", capsize=3)
        axes.set(xlabel=axis, ylabel=figure)
        axes.legend(fontsize=8)
        made.append(_save(canvas, folder / f"{figure.replace(' ', '-')}.png"))
    return made


def over_time(results: list[dict[str, Any]], folder: Path) -> list[Path]:
    """Utility asked and got by second, latency, and work by server, of the first point of the sweep and its first seed:
    how a fault is got over."""
    rows = [row for row in results if "failed" not in row["result"]]
    if not rows:
        return []
    first = rows[0]["run"]
    rows = [row for row in rows if row["run"]["point"] == first["point"] and row["run"]["seed"] == first["seed"]]
    made = []
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
    made.append(_save(canvas, folder / "over-time.png"))
    canvas, axes = pyplot.subplots(figsize=(7, 4.5))
    for row in rows:
        axes.plot(sorted(row["result"]["server_work_s"]), label=row["run"]["policy"])
    axes.set(xlabel="servers, by their work", ylabel="core seconds of work")
    axes.legend(fontsize=8)
    made.append(_save(canvas, folder / "load-per-server.png"))
    return made


def _save(canvas: pyplot.Figure, path: Path) -> Path:
    path.parent.mkdir(parents=True, exist_ok=True)
    canvas.tight_layout()
    canvas.savefig(path, dpi=110, metadata={"Software": None})
    pyplot.close(canvas)
    return path
