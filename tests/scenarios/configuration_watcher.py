"""Polls the configuration in force at every node."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from tests.scenarios.operators import observe_configuration

if TYPE_CHECKING:
    from tests.scenarios.operators import OperatorsPort
    from tests.scenarios.recorder import Recorder

__all__ = ["ConfigurationWatcher"]

READ_INTERVAL_S = 0.2


class ConfigurationWatcher:
    """Records the configuration in force at each node, on one thread per node."""

    def __init__(self, *, ports: list[OperatorsPort], recorder: Recorder):
        self._recorder = recorder
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(port,), daemon=True)
            for port in ports
        ]

    def start(self) -> None:
        """Start polling."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop polling and wait for the threads."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, port: OperatorsPort) -> None:
        while not self._stopped.wait(READ_INTERVAL_S):
            record = observe_configuration(port)
            if record is not None:
                self._recorder.add(record)
