"""What is measured of a run. Latencies go into histograms of a library, counts by second into plain lists."""

from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from oakfork.interface import SECOND

LONGEST = 600 * SECOND


class RunMetrics:
    def __init__(self, seconds: int, start: int) -> None:
        self.seconds, self.start = seconds, start
        self.sums: Counter[str] = Counter()
        self.latency = HdrHistogram(1, LONGEST, 3)
        self.by_second: dict[str, list[float]] = {}  # as many as seconds
        self.slices: list[HdrHistogram] = [HdrHistogram(1, LONGEST, 2) for _ in range(seconds)]
        self.server_work: Counter[int] = Counter()  # as many as servers
        self.asks = HdrHistogram(1, LONGEST, 3)  # from arrival to the first call-out

    def _second(self, now: int) -> int:
        return min(self.seconds - 1, (now - self.start) // SECOND)

    def add(self, what: str, now: int, amount: float = 1.0) -> None:
        self.sums[what] += amount
        row = self.by_second.setdefault(what, [0.0] * self.seconds)
        row[self._second(now)] += amount

    def latency_of(self, now: int, took: int) -> None:
        self.latency.record_value(max(1, took))
        self.slices[self._second(now)].record_value(max(1, took))

    def result(self) -> dict[str, Any]:
        """Plain numbers, in one order."""
        quantiles = (50, 90, 99)
        sums = {key: round(value, 6) for key, value in sorted(self.sums.items())}
        return {
            "sums": sums,
            "latency_ms": {f"p{q}": self.latency.get_value_at_percentile(q) / 10 for q in quantiles},
            "to_first_call_out_ms": {f"p{q}": self.asks.get_value_at_percentile(q) / 10 for q in quantiles},
            "by_second": {key: [round(value, 6) for value in row] for key, row in sorted(self.by_second.items())},
            "latency_by_second_ms": {
                f"p{q}": [h.get_value_at_percentile(q) / 10 for h in self.slices] for q in quantiles
            },
            "server_work_s": [round(work / SECOND, 4) for _, work in sorted(self.server_work.items())],
        }
