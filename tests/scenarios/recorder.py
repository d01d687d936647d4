"""Collection of records and counters during a run."""

from __future__ import annotations

import threading
import time
from collections import Counter
from typing import TYPE_CHECKING

from tests.scenarios.history import History, Interval

if TYPE_CHECKING:
    from tests.scenarios.history import Record

__all__ = ["Recorder", "interval_since", "now_s"]


def now_s() -> float:
    """Return the time of the machine's clock, which the fakes use too."""
    return time.time()


class Recorder:
    """Thread-safe collection of records, and counters that triggers wait for."""

    def __init__(self) -> None:
        self._records: list[Record] = []
        self._counts_by_name: Counter[str] = Counter()
        self._changed = threading.Condition()

    def add(self, record: Record) -> None:
        """Add a record."""
        with self._changed:
            self._records.append(record)

    def increment(self, name: str, number: int = 1) -> None:
        """Increment a counter."""
        with self._changed:
            self._counts_by_name[name] += number
            self._changed.notify_all()

    def count_of(self, name: str) -> int:
        """Return a counter's value."""
        with self._changed:
            return self._counts_by_name[name]

    def wait_for_count(self, name: str, number: int, *, timeout_s: float) -> bool:
        """Wait until a counter reaches a value; return whether it did."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._counts_by_name[name] >= number, timeout=timeout_s
            )

    def records(self) -> list[Record]:
        """Return the records collected so far."""
        with self._changed:
            return list(self._records)

    def history(self) -> History:
        """Return the collected records as a history."""
        return History(records=self.records())


def interval_since(start_s: float) -> Interval:
    """Return the interval from a given time until now."""
    return Interval(start_s=start_s, end_s=now_s())
