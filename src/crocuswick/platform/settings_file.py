"""Reads the settings of a fleet node from the platform's settings file."""

from __future__ import annotations

import os
from pathlib import Path
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from crocuswick.fleet_settings import FleetBounds, FleetSettings
from crocuswick.host_port import HostPort
from crocuswick.platform import _names as names

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "has_settings",
    "load_fleet_settings",
    "parse_fleet_settings",
    "settings_path",
]

MAX_PORT = 65_535


def has_settings() -> bool:
    """Return whether the platform has specified a settings file for this process."""
    return names.SETTINGS_VARIABLE in os.environ


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(names.SETTINGS_VARIABLE, names.DEFAULT_SETTINGS_PATH))


def load_fleet_settings(path: Path) -> Result[FleetSettings, list[str]]:
    """Read and check a settings file.

    Args:
        path: The file.

    Returns:
        The settings, or every fault that was found.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([f"can't be read: {error}"])
    return parse_fleet_settings(text)


def parse_fleet_settings(text: str) -> Result[FleetSettings, list[str]]:
    """Parse and check the content of a settings file.

    Unknown fields are ignored; list items are separated by commas.

    Args:
        text: Lines of the form ``a.b=value``.

    Returns:
        The settings, or every fault that was found.
    """
    reader = _FieldReader(_values(text))
    bounds = FleetBounds(
        grace_ms=int(1000 * reader.non_negative_float("Bounds.GraceS", default=8.0)),
        retry_ratio=reader.non_negative_float("Bounds.BudgetRatio", default=0.2),
        retry_window_ms=int(
            1000 * reader.non_negative_float("Bounds.BudgetWindowS", default=10)
        ),
        # All nodes of the fleet share these retries.
        retry_slack=reader.non_negative_int("Bounds.BudgetSlack", default=50),
        lease_ms=reader.non_negative_int("Bounds.LeaseMs", default=3_000),
        configuration_ms=reader.non_negative_int("Bounds.ConfigApplyMs", default=2_000),
        departure_ms=reader.non_negative_int("Bounds.DrainMs", default=2_000),
        weights_ms=reader.non_negative_int("Bounds.VersionMs", default=10_000),
        quota_window_s=reader.non_negative_float("Bounds.QuotaWindowS", default=8.0),
        quota_over=reader.non_negative_float("Bounds.QuotaOver", default=0.1),
        # Without a stated slack, the quota is enforced as strictly as possible.
        quota_slack=reader.non_negative_float("Bounds.QuotaSlack", default=0.0),
    )
    contracts = reader.items("Contracts")
    settings = FleetSettings(
        node_id=reader.text("NodeName"),
        zone=reader.text("Zone"),
        callers_address=reader.address("Listen.Front"),
        readiness_address=reader.address("Listen.Ready"),
        # The control listener carries the traffic between nodes.
        peers_address=reader.address("Listen.Control"),
        metrics_port=reader.first_port("InternalPorts"),
        seeds=reader.addresses("Seeds"),
        store_address=reader.address("Platform.Address"),
        bounds=bounds,
        memory_mb=reader.non_negative_int("Limits.MemoryMb", default=0),
        max_descriptors=reader.non_negative_int("Limits.MaxFds", default=0),
        is_first_start=reader.flag("FirstStart"),
        admits_by_room=names.PRESSURE_CONTRACT in contracts,
        requires_keys=names.TENANTS_CONTRACT in contracts,
    )
    return Err(reader.faults) if reader.faults else Ok(settings)


def _values(text: str) -> dict[str, str]:
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values


class _FieldReader:
    """Reads typed fields and collects the faults found in them."""

    def __init__(self, values: Mapping[str, str]):
        self._values = values
        self.faults: list[str] = []

    def text(self, name: str) -> str:
        """Return a required text."""
        value = self._values.get(name, "")
        if not value:
            self.faults.append(f"{name}: is missing")
        return value

    def non_negative_int(self, name: str, *, default: int) -> int:
        """Return a number of 0 or more, rounded down to an integer."""
        return int(self.non_negative_float(name, default=default))

    def non_negative_float(self, name: str, *, default: float) -> float:
        """Return a number of 0 or more."""
        value = self._values.get(name, "")
        if not value:
            return default
        try:
            parsed = float(value)
        except ValueError:
            parsed = -1.0
        if not 0 <= parsed < float("inf"):
            self.faults.append(f"{name}: must be a number of 0 or more, not {value!r}")
            return default
        return parsed

    def flag(self, name: str) -> bool:
        """Return whether a field is true; without a value it is false."""
        value = self._values.get(name, "").lower()
        if value not in ("", "true", "false"):
            self.faults.append(f"{name}: must be true or false, not {value!r}")
        return value == "true"

    def items(self, name: str) -> tuple[str, ...]:
        """Return a list of texts."""
        listed = (value.strip() for value in self._values.get(name, "").split(","))
        return tuple(value for value in listed if value)

    def address(self, name: str) -> str:
        """Return a required address."""
        value = self.text(name)
        if value and not _is_address(value):
            self.faults.append(f"{name}: must be HOST:PORT, not {value!r}")
        return value

    def addresses(self, name: str) -> tuple[str, ...]:
        """Return a list of addresses; malformed ones are faults."""
        listed = [value for value in self._values.get(name, "").split(",") if value]
        for value in listed:
            if not _is_address(value):
                self.faults.append(f"{name}: must be HOST:PORT, not {value!r}")
        return tuple(listed)

    def first_port(self, name: str) -> int:
        """Return the first of a list of ports, 0 for an empty list."""
        value = self._values.get(name, "").split(",")[0]
        if not value:
            return 0
        if not value.isdigit() or int(value) > MAX_PORT:
            self.faults.append(f"{name}: must be a list of ports, not {value!r}")
            return 0
        return int(value)


def _is_address(value: str) -> bool:
    parsed = HostPort.try_parse(value)
    return parsed is not None and 0 < parsed.port <= MAX_PORT
