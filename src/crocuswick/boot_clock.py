"""Clock that also advances while the machine is suspended."""

from __future__ import annotations

import time

__all__ = ["boot_clock_s"]


def boot_clock_s() -> float:
    """Return the time since the machine's start in seconds, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
