"""Measurement of CPU time and memory."""

from __future__ import annotations

import gc
import subprocess
import sys
import time
import tracemalloc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ROUNDS", "allocated_bytes", "best_us", "child_rss_bytes"]

ROUNDS = 5
_RSS_SCRIPT = """
import gc
{code}
gc.collect()
status = open("/proc/self/status").read()
print(status.split("VmRSS:")[1].split()[0])
"""


def best_us(work: Callable[[], int], *, rounds: int = ROUNDS) -> float:
    """Return the minimum CPU time per item in µs.

    Args:
        work: Processes some items and returns their number.
        rounds: Number of times that the work is measured.
    """
    return min(_us_per_item(work) for _ in range(rounds))


def allocated_bytes(create: Callable[[], object]) -> int:
    """Return the bytes that stay allocated for an object after its creation."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    created = create()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return after - before


def child_rss_bytes(code: str) -> int:
    """Return the resident memory of a new interpreter that has run some code."""
    script = _RSS_SCRIPT.format(code=code)
    output = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    )
    return int(output.stdout) * 1024


def _us_per_item(work: Callable[[], int]) -> float:
    started_ns = time.thread_time_ns()
    items = work()
    return (time.thread_time_ns() - started_ns) / 1000.0 / items
