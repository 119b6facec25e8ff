"""Lines through measured costs: slope and interval, residual, bend, where a budget is crossed, and the stored form."""

import json
import math
import random

import pytest

from oakfork.errors import MeasurementError
from oakfork.lab.scale.slopes import FEWEST, Measure, line_of, load, store

SIZES = (100, 1000, 4000, 10_000, 41_000)


def measure(cost, sizes=SIZES, values=1, name="change by servers: operations") -> Measure:
    return Measure(name, "operations", "servers", [(size, [cost(size) for _ in range(values)]) for size in sizes])


def test_an_exact_line_has_its_slope_and_no_interval():
    fit = measure(lambda size: 7 + 3 * size).fit()
    assert fit.slope == pytest.approx(3) and fit.low == fit.high == fit.slope
    assert fit.intercept == pytest.approx(7, abs=1e-6) and fit.residual == pytest.approx(0, abs=1e-6)
    assert fit.bend == pytest.approx(0, abs=1e-9) and fit.linear and fit.exponent == pytest.approx(1)


@pytest.mark.parametrize("level", [0.0, 5.0])
def test_what_does_not_grow_has_no_slope(level):
    fit = measure(lambda size: level).fit()
    assert (fit.slope, fit.low, fit.high, fit.intercept) == (0, 0, 0, pytest.approx(level)) and fit.linear


def test_the_interval_is_students():
    """By hand: x 1 to 6, y 2 4 5 4 5 7; four degrees of freedom, of which t at 0.975 is 2.776445 by the tables."""
    points = [(x, [float(y)]) for x, y in zip(range(1, 7), (2, 4, 5, 4, 5, 7), strict=True)]
    fit = Measure("a", "seconds", "servers", points).fit()
    slope = 13.5 / 17.5  # sums of (x - 3.5)(y - 4.5) and of (x - 3.5)^2
    left = sum((y - 4.5 - slope * (x - 3.5)) ** 2 for x, (y,) in points)
    reach = 2.776445 * math.sqrt(left / 4 / 17.5)
    assert fit.slope == pytest.approx(slope) and fit.intercept == pytest.approx(4.5 - 3.5 * slope)
    assert fit.residual == pytest.approx(math.sqrt(left / 4))
    assert (fit.low, fit.high) == (pytest.approx(slope - reach, rel=1e-6), pytest.approx(slope + reach, rel=1e-6))


def test_all_single_values_count_for_the_interval():
    """Guards against an interval of the means only, which forgets how many values there were."""
    dice = random.Random(5)
    points = [(size, [size + dice.gauss(0, 300) for _ in range(9)]) for size in SIZES]
    many = Measure("a", "seconds", "servers", points).fit()
    few = Measure("a", "seconds", "servers", [(size, values[:2]) for size, values in points]).fit()
    assert 0 < many.high - many.low < few.high - few.low


def test_the_interval_holds_the_true_slope_nineteen_times_in_twenty():
    dice, held = random.Random(1), 0
    for _ in range(400):
        fit = measure(lambda size: 50 + 0.02 * size + dice.gauss(0, 30), values=3).fit()
        held += fit.low <= 0.02 <= fit.high
    assert 0.92 < held / 400 < 0.98


@pytest.mark.parametrize(
    "cost, low, high, linear",
    [
        (lambda size: size**2, 1.9, 2.1, False),
        (lambda size: size**1.5, 1.4, 1.6, False),
        (lambda size: math.sqrt(size), 0.4, 0.7, False),
        (lambda size: size * math.log(size), 1.05, 1.2, True),
    ],
)
def test_a_bend_is_told_from_a_line(cost, low, high, linear):
    """Of size times its logarithm a line misses less than the twentieth: only the exponent tells."""
    fit = measure(cost).fit()
    assert low < fit.exponent < high and fit.linear == linear
    assert fit.bend > 100 * measure(lambda size: 7 + 3 * size).fit().bend
    assert ("NOT LINEAR" in line_of(measure(cost))) == (not linear)


def test_the_cost_at_a_size_is_what_was_measured_there():
    told = Measure("a", "bytes", "servers", [(10, [3.0, 1.0, 2.0]), (20, [4.0]), (30, [5.0]), (40, [6.0])])
    assert told.at(10) == (2.0, 1.0, 3.0, True)


def test_the_cost_at_another_size_is_by_the_line():
    there = measure(lambda size: 7 + 3 * size).at(20_000)
    assert there.value == pytest.approx(60_007) and not there.measured and there.low <= there.value <= there.high


def test_the_interval_elsewhere_is_that_of_the_lines_mean():
    """By hand, with the values of the test of Student's interval: sqrt(1/6 + 6.5^2 / 17.5) of the residual at 10."""
    told = Measure("a", "seconds", "servers", [(x, [float(y)]) for x, y in enumerate((2, 4, 5, 4, 5, 7), 1)])
    there, reach = told.at(10), 2.776445 * told.fit().residual * math.sqrt(1 / 6 + 6.5**2 / 17.5)
    assert there.value == pytest.approx(4.5 + 6.5 * 13.5 / 17.5)
    assert (there.low, there.high) == (pytest.approx(there.value - reach), pytest.approx(there.value + reach))


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
def test_where_a_budget_is_crossed(cost, budget, size):
    assert measure(cost).crosses(budget) == pytest.approx(size)


def test_a_budget_kept_at_all_sizes_is_not_crossed_before_the_last():
    """Guards against a fitted line that lies above the values where growth bends down."""
    bent = measure(math.sqrt)
    assert bent.crosses(math.sqrt(SIZES[-1]) + 1) >= SIZES[-1]


def test_measures_come_back_as_they_were_stored(tmp_path):
    dice = random.Random(3)
    kept = [
        measure(lambda size: size * dice.random(), values=3, name="a by servers: seconds"),
        Measure("b by peers: bytes", "bytes", "peers", [(size, [3.0]) for size in SIZES], {"servers": 40}, "y"),
    ]
    path = store(tmp_path / "scale", "module", kept, {"python": "3"})
    store(tmp_path / "scale", "lists", [measure(lambda size: 1.0, name="c")])
    assert load(tmp_path / "scale") == {told.name: told for told in kept} | {"c": measure(lambda size: 1.0, name="c")}
    document = json.loads(path.read_text())
    assert path.name == "module.json" and document["group"] == "module" and document["python"] == "3"
    row = document["measures"][1]
    assert row["fit"]["slope"] == pytest.approx(0) and row["fit"]["linear"] is True


@pytest.mark.parametrize(
    "points",
    [
        [(size, [1.0]) for size in SIZES[: FEWEST - 1]],
        [(5, [1.0])] * FEWEST,
        [(size, [1.0]) for size in SIZES[:3]] + [(7, [])],
        [(size, [1.0]) for size in reversed(SIZES)],
    ],
)
def test_fewer_than_four_sizes_with_a_value_and_sizes_out_of_order_are_refused(points):
    with pytest.raises(MeasurementError, match="at least 4 sizes"):
        Measure("a", "bytes", "servers", points)


def test_scatter_alone_is_no_bend_and_a_slope_not_told_from_none_crosses_nothing():
    dice = random.Random(5)
    flat = measure(lambda size: 100 + dice.uniform(-10, 10), values=5)
    assert flat.fit().linear and flat.fit().low <= 0 and flat.crosses(1_000) == math.inf
    dice = random.Random(5)
    bent = measure(lambda size: 100 + size**2 / SIZES[-1] + dice.uniform(-10, 10), values=5)
    assert not bent.fit().linear


def test_a_line_for_people_names_slope_and_interval():
    told = measure(lambda size: 7 + 3 * size)
    assert (
        line_of(told)
        == "change by servers: operations: 3 operations for one more of servers (3 to 3), "
        + f"7 at none, residual {told.fit().residual:.3g}"
    )
