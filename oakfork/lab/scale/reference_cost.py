"""What a call costs: bytecode instructions, the same on any machine, and processor time beside that of a fixed loop."""

import gc
import sys
from statistics import median
from time import process_time
from types import FrameType
from typing import Any, Callable

TURNS = 100_000  # of the reference loop
LOOPS = 5  # of which the median counts


def operations(call: Callable[[], Any]) -> int:
    """Bytecode instructions executed during call(), in all Python functions it calls. What C functions do (sorting,
    copying, packing) isn't counted. Slows the call by some tens of times; a tracer that was set is set again."""
    count = 0

    def traced(frame: FrameType, event: str, _: Any) -> Callable:
        nonlocal count
        if event == "opcode":
            count += 1
        return traced

    def entered(frame: FrameType, event: str, _: Any) -> Callable:
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return traced

    before = sys.gettrace()
    sys.settrace(entered)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def processor_seconds(call: Callable[[], Any], times: int) -> list[float]:
    """Processor time of the process for each of several calls, in seconds; garbage is collected before each, and what
    a call returns is freed after its time is taken."""
    taken: list[float] = []
    kept: list[Any] = []
    for _ in range(times):
        kept.clear()
        gc.collect()
        begin = process_time()
        kept.append(call())
        taken.append(process_time() - begin)
    return taken


def _loop() -> int:
    """Arithmetic, a dictionary, a loop: never to be changed, or stored measures can't be compared."""
    table: dict[int, int] = {}
    total = 0
    for turn in range(TURNS):
        total = (total * 31 + turn) & 0xFFFF
        table[total & 255] = turn
    return total + len(table)


def reference_seconds(loops: int = LOOPS) -> float:
    """Processor time of the fixed loop in seconds: the median of a few."""
    taken = []
    for _ in range(loops):
        begin = process_time()
        _loop()
        taken.append(process_time() - begin)
    return median(taken)


def beside_reference(call: Callable[[], Any], times: int) -> tuple[list[float], list[float]]:
    """Processor time of each of several calls, in seconds, and the same in references: divided by the mean of two
    reference loops, one right before the call and one right after it, for the clock of a core changes."""
    seconds, references = [], []
    for _ in range(times):
        before = reference_seconds(1)
        seconds += processor_seconds(call, 1)
        references.append(seconds[-1] * 2 / (before + reference_seconds(1)))
    return seconds, references
