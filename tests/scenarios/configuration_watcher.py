"""Reads the configuration in force at every node again and again."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from tests.scenarios.operators import seen_at

if TYPE_CHECKING:
    from tests.scenarios.operators import OperatorsPort
    from tests.scenarios.recorder import Recorder

__all__ = ["ConfigurationWatcher"]

READ_INTERVAL_S = 0.2


class ConfigurationWatcher:
    """Records what each node has in force, on a thread for each node."""

    def __init__(self, *, ports: list[OperatorsPort], recorder: Recorder):
        self._recorder = recorder
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(port,), daemon=True)
            for port in ports
        ]

    def start(self) -> None:
        """Start reading."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop reading."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, port: OperatorsPort) -> None:
        while not self._stopped.wait(READ_INTERVAL_S):
            record = seen_at(port)
            if record is not None:
                self._recorder.add(record)
