"""Applies settings that change while a fleet node runs."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from crocuswick.decision_log import DecisionLog
    from crocuswick.fleet_settings import FleetSettings

__all__ = ["RELOAD_INTERVAL_S", "SettingsReload"]

RELOAD_INTERVAL_S = 2.0
"""Interval at which the settings file is to be read, because it may change without a
signal."""

_RELOADABLE = ("seeds", "bounds")
"""Fields that a running node applies; changes of the others need a restart."""


class SettingsReload:
    """Reloads the settings file.

    If the file is unreadable or has faults, the settings in force stay.

    Args:
        settings: Settings in force.
        load: Reads and checks the settings file.
        on_change: Called with the settings now in force.
        log: Log of decisions.
    """

    def __init__(
        self,
        *,
        settings: FleetSettings,
        load: Callable[[], Result[FleetSettings, list[str]]],
        on_change: Callable[[FleetSettings], None],
        log: DecisionLog,
    ):
        self._in_force = settings
        self._last_read = settings
        self._last_faults: list[str] = []
        self._load = load
        self._on_change = on_change
        self._log = log
        self._lock = threading.Lock()

    def check(self) -> None:
        """Read the file and apply changed settings."""
        with self._lock:
            loaded = self._load()
            if loaded.is_err():
                self._log_faults(loaded.err_value)
                return
            self._last_faults = []
            if loaded.ok_value != self._last_read:
                self._last_read = loaded.ok_value
                self._apply(loaded.ok_value)

    def _log_faults(self, faults: list[str]) -> None:
        if faults != self._last_faults:
            self._last_faults = faults
            self._log.record_state("settings not taken", faults=faults)

    def _apply(self, read: FleetSettings) -> None:
        changed = [
            field.name
            for field in attrs.fields(type(read))
            if getattr(read, field.name) != getattr(self._in_force, field.name)
        ]
        applied = {name: getattr(read, name) for name in _RELOADABLE}
        self._in_force = attrs.evolve(self._in_force, **applied)
        self._on_change(self._in_force)
        self._log.record_state(
            "settings reloaded",
            taken=[name for name in changed if name in _RELOADABLE],
            need_restart=[name for name in changed if name not in _RELOADABLE],
        )
