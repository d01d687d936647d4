"""Record of what a case sent, answered and ran."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Record"]


class Record:
    """Lines with times, written to a file as they come."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()
        self.failures: list[str] = []
        """Errors of the stand-ins themselves, with which a case can't be judged."""

    def now_s(self) -> float:
        """Return the time since the record began."""
        return time.monotonic() - self._began_s

    def add(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()

    def add_failure(self, error: BaseException | None) -> None:
        """Add an error of a stand-in, unless it is that of a connection."""
        if isinstance(error, OSError):
            return
        self.failures.append(repr(error))
        self.add(f"a stand-in has failed: {error!r}")
