"""Lines fitted through measured costs: slope, interval, residual, bend, crossed budgets, and the stored form."""

import json
import math
import random

import pytest

from oakfork.errors import MeasurementError
from oakfork.lab.scale.slopes import MIN_SIZES, Measure, load, store, summary_line

SIZES = (100, 1000, 4000, 10_000, 41_000)


def measure(cost, sizes=SIZES, values=1, name="change by servers: operations") -> Measure:
    """A measure with `values` values of a cost function at each size."""
    return Measure(name, "operations", "servers", [(size, [cost(size) for _ in range(values)]) for size in sizes])


def test_exact_line_has_a_slope_without_interval():
    """Rounding errors of an exact line must not show up as an interval."""
    fit = measure(lambda size: 7 + 3 * size).fit()
    assert fit.slope == pytest.approx(3)
    assert fit.low == fit.high == fit.slope
    assert fit.intercept == pytest.approx(7, abs=1e-6)
    assert fit.residual == pytest.approx(0, abs=1e-6)
    assert fit.bend == pytest.approx(0, abs=1e-9)
    assert fit.linear
    assert fit.exponent == pytest.approx(1)


@pytest.mark.parametrize("level", [0.0, 5.0])
def test_constant_cost_has_slope_zero(level):
    """A constant cost, zero included, fits without a division by zero."""
    fit = measure(lambda size: level).fit()
    assert (fit.slope, fit.low, fit.high, fit.intercept) == (0, 0, 0, pytest.approx(level))
    assert fit.linear


def test_slope_interval_is_students_t():
    """Computed by hand: x 1 to 6, y 2 4 5 4 5 7; for four degrees of freedom the tables give t(0.975) = 2.776445."""
    points = [(x, [float(y)]) for x, y in zip(range(1, 7), (2, 4, 5, 4, 5, 7), strict=True)]
    fit = Measure("a", "seconds", "servers", points).fit()
    slope = 13.5 / 17.5  # sums of (x - 3.5)(y - 4.5) and of (x - 3.5)^2
    squared_residuals = sum((y - 4.5 - slope * (x - 3.5)) ** 2 for x, (y,) in points)
    half_width = 2.776445 * math.sqrt(squared_residuals / 4 / 17.5)
    assert fit.slope == pytest.approx(slope)
    assert fit.intercept == pytest.approx(4.5 - 3.5 * slope)
    assert fit.residual == pytest.approx(math.sqrt(squared_residuals / 4))
    assert fit.low == pytest.approx(slope - half_width, rel=1e-6)
    assert fit.high == pytest.approx(slope + half_width, rel=1e-6)


def test_interval_counts_every_single_value():
    """Guards against an interval of the means only, which ignores how many values there were."""
    random_source = random.Random(5)
    points = [(size, [size + random_source.gauss(0, 300) for _ in range(9)]) for size in SIZES]
    many = Measure("a", "seconds", "servers", points).fit()
    few = Measure("a", "seconds", "servers", [(size, values[:2]) for size, values in points]).fit()
    assert 0 < many.high - many.low < few.high - few.low


def test_interval_contains_the_true_slope_95_times_in_100():
    """The stated confidence holds for normally distributed noise."""
    random_source = random.Random(1)
    contained = 0
    for _ in range(400):
        fit = measure(lambda size: 50 + 0.02 * size + random_source.gauss(0, 30), values=3).fit()
        contained += fit.low <= 0.02 <= fit.high
    assert 0.92 < contained / 400 < 0.98


@pytest.mark.parametrize(
    "cost, low, high, linear",
    [
        (lambda size: size**2, 1.9, 2.1, False),
        (lambda size: size**1.5, 1.4, 1.6, False),
        (lambda size: math.sqrt(size), 0.4, 0.7, False),
        (lambda size: size * math.log(size), 1.05, 1.2, True),
    ],
)
def test_growth_that_bends_is_not_linear(cost, low, high, linear):
    """A line misses size times its logarithm by less than a twentieth, so that only the exponent shows the bend."""
    fit = measure(cost).fit()
    assert low < fit.exponent < high
    assert fit.linear == linear
    assert fit.bend > 100 * measure(lambda size: 7 + 3 * size).fit().bend
    assert ("NOT LINEAR" in summary_line(measure(cost))) == (not linear)


def test_cost_at_a_measured_size_is_its_median_minimum_and_maximum():
    """Where values exist, the fitted line must not replace them."""
    stored = Measure("a", "bytes", "servers", [(10, [3.0, 1.0, 2.0]), (20, [4.0]), (30, [5.0]), (40, [6.0])])
    assert stored.at(10) == (2.0, 1.0, 3.0, True)


def test_cost_at_another_size_is_taken_from_the_line():
    """A size without values gets the line's value, marked as not measured."""
    estimate = measure(lambda size: 7 + 3 * size).at(20_000)
    assert estimate.value == pytest.approx(60_007)
    assert not estimate.measured
    assert estimate.low <= estimate.value <= estimate.high


def test_interval_at_another_size_is_that_of_the_lines_mean():
    """By hand, with the values of the test of Student's interval: sqrt(1/6 + 6.5^2 / 17.5) of the residual at 10."""
    points = [(x, [float(y)]) for x, y in enumerate((2, 4, 5, 4, 5, 7), 1)]
    stored = Measure("a", "seconds", "servers", points)
    estimate = stored.at(10)
    half_width = 2.776445 * stored.fit().residual * math.sqrt(1 / 6 + 6.5**2 / 17.5)
    assert estimate.value == pytest.approx(4.5 + 6.5 * 13.5 / 17.5)
    assert estimate.low == pytest.approx(estimate.value - half_width)
    assert estimate.high == pytest.approx(estimate.value + half_width)


@pytest.mark.parametrize(
    "cost, budget, size",
    [
        (lambda size: 2 * size, 100, 100),  # over it from the first
        (lambda size: 2 * size, 1000, 500),  # between two sizes
        (lambda size: 2 * size, 8000, 4000),  # at a size the budget is kept, beyond it is not
        (lambda size: 2 * size, 100_000, 50_000),  # beyond them all
        (lambda size: 5.0, 6, math.inf),
        (lambda size: 100 - size / 1000, 101, math.inf),
    ],
)
def test_budget_is_crossed_at(cost, budget, size):
    """Before, between, at and beyond the measured sizes, and never."""
    assert measure(cost).crosses(budget) == pytest.approx(size)


def test_budget_kept_at_all_sizes_is_not_crossed_before_the_last():
    """Guards against a fitted line that lies above the values where growth bends down."""
    bent = measure(math.sqrt)
    assert bent.crosses(math.sqrt(SIZES[-1]) + 1) >= SIZES[-1]


def test_stored_measures_load_unchanged(tmp_path):
    """Measures survive the round trip through the files, whose layout other tools read."""
    random_source = random.Random(3)
    kept = [
        measure(lambda size: size * random_source.random(), values=3, name="a by servers: seconds"),
        Measure("b by peers: bytes", "bytes", "peers", [(size, [3.0]) for size in SIZES], {"servers": 40}, "y"),
    ]
    path = store(tmp_path / "scale", "module", kept, {"python": "3"})
    store(tmp_path / "scale", "lists", [measure(lambda size: 1.0, name="c")])
    assert load(tmp_path / "scale") == {stored.name: stored for stored in kept} | {
        "c": measure(lambda size: 1.0, name="c")
    }
    document = json.loads(path.read_text())
    assert path.name == "module.json"
    assert document["group"] == "module"
    assert document["python"] == "3"
    row = document["measures"][1]
    assert row["fit"]["slope"] == pytest.approx(0)
    assert row["fit"]["linear"] is True


@pytest.mark.parametrize(
    "points",
    [
        [(size, [1.0]) for size in SIZES[: MIN_SIZES - 1]],
        [(5, [1.0])] * MIN_SIZES,
        [(size, [1.0]) for size in SIZES[:3]] + [(7, [])],
        [(size, [1.0]) for size in reversed(SIZES)],
    ],
)
def test_measure_rejects_too_few_or_unordered_sizes(points):
    """Fewer than four sizes, repeated sizes, a size without values and descending sizes are errors."""
    with pytest.raises(MeasurementError, match="at least 4 sizes"):
        Measure("a", "bytes", "servers", points)


def test_scatter_alone_is_neither_a_bend_nor_a_crossing():
    """Noise must not count as a bend, and a slope that may be zero must not cross a budget."""
    random_source = random.Random(5)
    flat = measure(lambda size: 100 + random_source.uniform(-10, 10), values=5)
    assert flat.fit().linear
    assert flat.fit().low <= 0
    assert flat.crosses(1_000) == math.inf
    random_source = random.Random(5)
    bent = measure(lambda size: 100 + size**2 / SIZES[-1] + random_source.uniform(-10, 10), values=5)
    assert not bent.fit().linear


def test_summary_line_states_slope_and_interval():
    """The text that `oakfork lab scale --show` prints for a measure."""
    stored = measure(lambda size: 7 + 3 * size)
    assert summary_line(stored) == (
        "change by servers: operations: 3 operations for one more of servers (3 to 3), "
        f"7 at none, residual {stored.fit().residual:.3g}"
    )
