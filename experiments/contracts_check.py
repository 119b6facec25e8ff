"""What the check of a book of contracts costs, and how long reading one holds up the event loop.

python experiments/contracts_check.py            # processor seconds by contracts and windows, with slopes
python experiments/contracts_check.py loop       # the longest time that the event loop had no turn
"""

import math
import multiprocessing
import sys
import tempfile
import time
from datetime import UTC, datetime, timedelta
from functools import partial
from pathlib import Path
from typing import Any, Callable

import tomli_w
import trio

from oakfork.contracts import contracts_file
from oakfork.contracts.book import read_book
from oakfork.contracts.overbooking import first_overbooked

SITE_RATE = 10_000.0  # legs a second
SITES = 3
SIZES = [(contracts, windows) for windows in (26, 100) for contracts in (100, 300, 500)]
LOOP_SIZES = ((100, 26), (500, 13))  # the second is nearly as large as a file may be
TICK = 0.001  # seconds
PLAYS = 3


def season(contracts: int, windows: int) -> dict[str, Any]:
    """A usable book: each contract has so many windows of three nights, a week apart."""
    return {
        "site": [{"name": f"site {number}", "legs_per_s": SITE_RATE} for number in range(SITES)],
        "contract": [_contract(number, contracts, windows) for number in range(contracts)],
    }


def _contract(number: int, contracts: int, windows: int) -> dict[str, Any]:
    first = datetime(2027, 1, 1, tzinfo=UTC) + timedelta(hours=7 * number % 168, minutes=number % 60)
    return {
        "tenant": f"firm {number}",
        "customers": [f"{number + 4096:016x}"],
        "legs_per_s": 1.2 * SITE_RATE * (SITES - 1) / contracts,
        "burst": 10.0,
        "open": 10,
        "window": [_window(first + timedelta(days=7 * week), number) for week in range(windows)],
        "goes": number,
    }


def _window(begins: datetime, number: int) -> dict[str, str]:
    return {
        "from": begins.isoformat(),
        "until": (begins + timedelta(days=3)).isoformat(),
        "daily_from": f"{8 + number % 12:02d}:{number * 5 % 60:02d}",
        "daily_until": f"{20 + number % 4:02d}:00",
    }


def _seconds(call: Callable[[], Any]) -> float:
    """Processor seconds of a call, the least of some plays."""
    plays = []
    for _ in range(PLAYS):
        begin = time.process_time()
        call()
        plays.append(time.process_time() - begin)
    return min(plays)


def measure_check() -> None:
    """Prints the cost of the whole check and of the sweep alone, and the slopes over the number of windows."""
    measured = []
    for contracts, windows in SIZES:
        book = season(contracts, windows)
        file = contracts_file.parse(book)
        whole = _seconds(partial(contracts_file.parse, book))
        sweep = _seconds(partial(first_overbooked, file))
        measured.append((contracts * windows, whole, sweep))
        print(
            f"{contracts} contracts of {windows} windows: {whole:.2f} s, of these the sweep {sweep:.2f} s", flush=True
        )
    for name, column in (("whole", 1), ("sweep", 2)):
        slope = math.log(measured[-1][column] / measured[0][column]) / math.log(measured[-1][0] / measured[0][0])
        print(f"{name}: exponent {slope:.2f} over {measured[0][0]} to {measured[-1][0]} windows")


async def _longest_wait(read: Callable[[], Any]) -> tuple[float, float]:
    """The longest time without a turn for a task that wants one each millisecond, and how long the reading took."""
    longest = 0.0

    async def tick() -> None:
        nonlocal longest
        last = time.perf_counter()
        while True:
            await trio.sleep(TICK)
            now = time.perf_counter()
            longest = max(longest, now - last - TICK)
            last = now

    async with trio.open_nursery() as nursery:
        nursery.start_soon(tick)
        await trio.sleep(10 * TICK)
        begin = time.perf_counter()
        await read()
        took = time.perf_counter() - begin
        await trio.sleep(10 * TICK)
        nursery.cancel_scope.cancel()
    return longest, took


def _read_in_process(path: str) -> Any:
    with multiprocessing.get_context("spawn").Pool(1) as pool:
        return pool.apply(read_book, (path,))


def measure_loop() -> None:
    """Prints how long the event loop had no turn, by the way in which a book is read."""

    async def in_loop(path: str) -> Any:
        return read_book(path)

    async def in_thread(path: str) -> Any:
        return await trio.to_thread.run_sync(read_book, path)

    async def in_process(path: str) -> Any:
        return await trio.to_thread.run_sync(_read_in_process, path)

    for contracts, windows in LOOP_SIZES:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "contracts.toml"
            path.write_text(tomli_w.dumps(season(contracts, windows)))
            size = path.stat().st_size
            for name, read in (("loop", in_loop), ("thread", in_thread), ("process", in_process)):
                plays = [trio.run(_longest_wait, partial(read, str(path))) for _ in range(PLAYS)]
                text = ", ".join(f"{longest * 1000:.1f} ms of {took:.2f} s" for longest, took in plays)
                print(f"{contracts} contracts of {windows} windows, {size} bytes, in the {name}: {text}", flush=True)


if __name__ == "__main__":
    measure_loop() if sys.argv[1:] == ["loop"] else measure_check()
