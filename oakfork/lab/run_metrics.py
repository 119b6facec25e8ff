"""Measurements of one simulated run: latencies in HDR histograms, counts as sums and by second."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from oakfork.interface import SECOND

MAX_LATENCY = 600 * SECOND  # tenths of a millisecond
QUANTILES = (50, 90, 99)  # percent


class RunMetrics:
    """Collects counts and latencies over a run of `seconds` seconds. Times are tenths of a millisecond."""

    def __init__(self, seconds: int, start: int) -> None:
        """`start` is the simulated time of the first second."""
        self.seconds = seconds
        self.start = start
        self.sums: Counter[str] = Counter()
        self.latency = HdrHistogram(1, MAX_LATENCY, 3)
        self.by_second: dict[str, list[float]] = {}  # each list has `seconds` values
        self.latency_by_second = [HdrHistogram(1, MAX_LATENCY, 2) for _ in range(seconds)]
        self.server_work: Counter[int] = Counter()  # core time by server number
        self.to_first_call_out = HdrHistogram(1, MAX_LATENCY, 3)  # from arrival to the first call-out

    def _second(self, now: int) -> int:
        return min(self.seconds - 1, (now - self.start) // SECOND)

    def add(self, name: str, now: int, amount: float = 1.0) -> None:
        """Adds to a named sum and to its value in the current second."""
        self.sums[name] += amount
        values = self.by_second.setdefault(name, [0.0] * self.seconds)
        values[self._second(now)] += amount

    def record_latency(self, now: int, latency: int) -> None:
        """Records the latency of an RPC that ended now."""
        self.latency.record_value(max(1, latency))
        self.latency_by_second[self._second(now)].record_value(max(1, latency))

    def result(self) -> dict[str, Any]:
        """Plain numbers in a fixed order."""
        sums = {key: round(value, 6) for key, value in sorted(self.sums.items())}
        by_second = {key: [round(value, 6) for value in values] for key, values in sorted(self.by_second.items())}
        return {
            "sums": sums,
            "latency_ms": _quantiles(self.latency),
            "to_first_call_out_ms": _quantiles(self.to_first_call_out),
            "by_second": by_second,
            "latency_by_second_ms": {
                f"p{q}": [histogram.get_value_at_percentile(q) / 10 for histogram in self.latency_by_second]
                for q in QUANTILES
            },
            "server_work_s": [round(work / SECOND, 4) for _, work in sorted(self.server_work.items())],
        }


def _quantiles(histogram: HdrHistogram) -> dict[str, float]:
    """Milliseconds by the name of the quantile."""
    return {f"p{q}": histogram.get_value_at_percentile(q) / 10 for q in QUANTILES}
