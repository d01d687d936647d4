"""The era of the platform's store, as far as this node knows it."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import logbook

from crocuswick.boot_clock import boot_clock_s
from crocuswick.records.position import MAX_ERA

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["StoreEra"]

logger = logbook.Logger(__name__)

MAX_STEP = 1_000
"""Largest accepted rise of a known era. A larger one is taken for a malformed answer,
since it would make all later answers look outdated."""


class StoreEra:
    """The highest era that the store or a peer has reported; safe for threads."""

    def __init__(self):
        self._lock = threading.Lock()
        self._era: int | None = None
        self._since_s = boot_clock_s()
        self._callbacks: list[Callable[[int], None]] = []

    @property
    def current(self) -> int:
        """The era, 0 if none was reported."""
        return self._era or 0

    @property
    def since_s(self) -> float:
        """When this node first knew of the era.

        The time is from a clock that also advances while the machine is suspended.
        """
        return self._since_s

    def on_step(self, callback: Callable[[int], None]) -> None:
        """Register a function that is called with each later era.

        It is called on the thread that reports the era.
        """
        self._callbacks.append(callback)

    def report(self, era: int) -> bool:
        """Record an era that the store or a peer has named.

        Args:
            era: The era.

        Returns:
            Whether it is the current era now.
        """
        with self._lock:
            known = self._era
            if era == known:
                return True
            if not self._is_plausible(era):
                return False
            self._era = era
            is_step = known is not None or era > 0
            if is_step:
                self._since_s = boot_clock_s()
        if known is not None:
            logger.info("the store's era has risen from {} to {}", known, era)
            for callback in self._callbacks:
                callback(era)
        return True

    def _is_plausible(self, era: int) -> bool:
        if not 0 <= era <= MAX_ERA:
            return False
        return self._era is None or self._era < era <= self._era + MAX_STEP
