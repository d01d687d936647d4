"""Collects records and counters while a scenario runs."""

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
    """Return the machine's clock, which the stand-ins' histories use too."""
    return time.time()


class Recorder:
    """Thread-safe collection of records, and counters that triggers wait for."""

    def __init__(self) -> None:
        self._records: list[Record] = []
        self._counts_by_name: Counter[str] = Counter()
        self._changed = threading.Condition()

    def add(self, record: Record) -> None:
        """Keep a record."""
        with self._changed:
            self._records.append(record)

    def count(self, name: str, number: int = 1) -> None:
        """Raise a counter."""
        with self._changed:
            self._counts_by_name[name] += number
            self._changed.notify_all()

    def counted(self, name: str) -> int:
        """Return a counter's value."""
        with self._changed:
            return self._counts_by_name[name]

    def wait_for_count(self, name: str, number: int, *, timeout_s: float) -> bool:
        """Wait until a counter has reached a number."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._counts_by_name[name] >= number, timeout=timeout_s
            )

    def records(self) -> list[Record]:
        """Return what was collected so far."""
        with self._changed:
            return list(self._records)

    def history(self) -> History:
        """Return the history of what was collected."""
        return History(records=self.records())


def interval_since(start_s: float) -> Interval:
    """Return the interval from a moment until now."""
    return Interval(start_s=start_s, end_s=now_s())
