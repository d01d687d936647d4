"""Fake of the platform's process supervisor, which restarts crashed processes."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from tests.scenarios.actions import restart_part

if TYPE_CHECKING:
    from tests.scenarios.run_state import RunState

__all__ = ["Supervisor"]

CHECK_INTERVAL_S = 0.1
CRASH_EXIT_CODE = 70
"""Exit code of a fake that crashed."""


class Supervisor:
    """Restarts crashed engines and services, which lose their state."""

    def __init__(self, *, state: RunState):
        self._state = state
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start watching the processes."""
        self._thread.start()

    def stop(self) -> None:
        """Stop; no process is restarted after this."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        deployment = self._state.deployment
        parts = [*deployment.parts("engine"), *deployment.parts("service")]
        while not self._stopped.wait(CHECK_INTERVAL_S):
            for part in parts:
                if deployment.process(part).exit_code == CRASH_EXIT_CODE:
                    self._state.lifetimes.record_end(part)
                    restart_part(self._state, part)
