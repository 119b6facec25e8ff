"""The cost of a call: bytecode instructions, which any machine counts alike, and processor time.

Processor time is also given in references, as a multiple of the time of a fixed loop, to compare machines.
"""

import gc
import sys
from statistics import median
from time import process_time
from types import FrameType
from typing import Any, Callable

LOOP_TURNS = 100_000  # of one reference loop
LOOPS = 5  # reference loops whose median counts


def operations(call: Callable[[], Any]) -> int:
    """Bytecode instructions executed during call(), in all Python functions that it calls.

    The work of C functions (sorting, copying, packing) isn't counted. The call runs some tens of times slower. A tracer
    that was set before is restored.
    """
    count = 0

    def count_opcode(frame: FrameType, event: str, _: Any) -> Callable:
        nonlocal count
        if event == "opcode":
            count += 1
        return count_opcode

    def enter_function(frame: FrameType, event: str, _: Any) -> Callable:
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        return count_opcode

    before = sys.gettrace()
    sys.settrace(enter_function)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def processor_seconds(call: Callable[[], Any], times: int) -> list[float]:
    """Processor time of the process for each of several calls, in seconds.

    Garbage is collected before each call, and its result is freed after its time is taken.
    """
    seconds: list[float] = []
    results: list[Any] = []
    for _ in range(times):
        results.clear()
        gc.collect()
        begun = process_time()
        results.append(call())
        seconds.append(process_time() - begun)
    return seconds


def _loop() -> int:
    """Arithmetic, a dictionary and a loop. It must never change, or stored measures can't be compared."""
    table: dict[int, int] = {}
    total = 0
    for turn in range(LOOP_TURNS):
        total = (total * 31 + turn) & 0xFFFF
        table[total & 255] = turn
    return total + len(table)


def reference_seconds(loops: int = LOOPS) -> float:
    """Processor time of the fixed loop in seconds, the median of several runs."""
    seconds = []
    for _ in range(loops):
        begun = process_time()
        _loop()
        seconds.append(process_time() - begun)
    return median(seconds)


def seconds_and_references(call: Callable[[], Any], times: int) -> tuple[list[float], list[float]]:
    """Processor time of each of several calls, in seconds, and the same in references.

    A reference is the mean time of two reference loops, one right before the call and one right after it, because the
    clock rate of a core changes.
    """
    seconds: list[float] = []
    references: list[float] = []
    for _ in range(times):
        before = reference_seconds(1)
        seconds += processor_seconds(call, 1)
        references.append(seconds[-1] * 2 / (before + reference_seconds(1)))
    return seconds, references
