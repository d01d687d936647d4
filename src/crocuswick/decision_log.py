"""Structured log of decisions: one JSON object per line, never blocking a request."""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from collections import deque
from typing import Any

import logbook

__all__ = ["DecisionLog"]

MAX_QUEUED_LINES = 2_000
"""Maximum number of lines waiting to be written; about half a megabyte."""

MAX_LINES_PER_S = 400
"""Rate of all lines beyond which lines of successful requests are dropped."""

UNRESERVED_FRACTION = 0.5
"""Fraction of the queue open to lines of successful requests.

The rest is reserved for lines of failures and state changes.
"""

FLUSH_INTERVAL_S = 0.1


class DecisionLog:
    """Writes log lines on its own thread and drops lines when the queue is full.

    Lines of successful requests are dropped first. The number of dropped lines is added
    to the last line of the next batch that is written.

    Args:
        node_id: Value of the ``node`` field of each line.
        descriptor: File descriptor to write to, standard output by default.
    """

    def __init__(self, *, node_id: str, descriptor: int | None = None):
        self._node_id = node_id
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._queue: deque[dict[str, Any]] = deque()
        self._lock = threading.Lock()
        self._dropped = 0
        self.total_dropped = 0
        self._second = 0
        self._lines_in_second = 0
        self._stopped = threading.Event()
        self._has_lines = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)

    def start(self) -> None:
        """Start writing."""
        self._thread.start()

    def stop(self) -> None:
        """Write the queued lines and stop."""
        self._stopped.set()
        self._has_lines.set()
        self._thread.join(timeout=1.0)

    def record(self, event: str, *, failed: bool = False, **fields: Any) -> None:
        """Add a line about a request.

        Args:
            event: What happened.
            failed: Whether the line is needed to explain a failure.
            fields: Inputs and outcome of the decision, as plain JSON values.
        """
        self._enqueue(event, fields, is_important=failed)

    def record_state(self, event: str, **fields: Any) -> None:
        """Add a line about a change in the process's view of the system.

        Args:
            event: What happened.
            fields: Details of the change, as plain JSON values.
        """
        self._enqueue(event, fields, is_important=True)

    def _enqueue(
        self, event: str, fields: dict[str, Any], *, is_important: bool
    ) -> None:
        now_s = time.time()
        line = {"t": round(now_s, 3), "node": self._node_id, "event": event, **fields}
        with self._lock:
            if self._has_room(int(now_s), is_important=is_important):
                self._queue.append(line)
                self._has_lines.set()
            else:
                self._dropped += 1
                self.total_dropped += 1

    def _has_room(self, second: int, *, is_important: bool) -> bool:
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if is_important:
            return len(self._queue) < MAX_QUEUED_LINES
        within_rate = self._lines_in_second <= MAX_LINES_PER_S
        return within_rate and len(self._queue) < UNRESERVED_FRACTION * MAX_QUEUED_LINES

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._has_lines.wait()
            self._has_lines.clear()
            self._stopped.wait(FLUSH_INTERVAL_S)
            self._flush()
        self._flush()

    def _flush(self) -> None:
        with self._lock:
            lines, self._queue = self._queue, deque()
            dropped, self._dropped = self._dropped, 0
        if dropped and lines:
            lines[-1]["dropped"] = dropped
        if not lines:
            return
        text = "".join(json.dumps(line, default=str) + "\n" for line in lines)
        data = text.encode()
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError as error:
            logbook.Logger(__name__).warning("log output failed: {}", error)
