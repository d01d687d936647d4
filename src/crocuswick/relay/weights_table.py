"""Table of target versions and served versions of the models' weights."""

from __future__ import annotations

import attrs

__all__ = ["TargetVersion", "WeightsTable"]

MAX_TARGET_VERSIONS = 16
"""Versions remembered per model; older ones have long exceeded their maximum age."""


@attrs.frozen(kw_only=True)
class TargetVersion:
    """A version of a model's weights that is or was the target."""

    model: str
    version: int
    announced_s: float
    """Earliest time at which the target is known to have been announced, from a clock
    that also advances while the machine is suspended."""


class WeightsTable:
    """Merges weights versions from entries, answers and orders.

    The served version of an incarnation never decreases.
    """

    def __init__(self):
        self._announced_s_by_model: dict[str, dict[int, float]] = {}
        self._assumed: set[tuple[str, int]] = set()
        self._served_by_key: dict[tuple[str, str], int] = {}

    def set_target(self, model: str, version: int, announced_s: float) -> None:
        """Record a target version.

        Several nodes may report the same version; the earliest time counts, and any of
        them replaces an assumed one.

        Args:
            model: The model.
            version: The version.
            announced_s: Time at which it was announced.
        """
        announced_s_by_version = self._announced_s_by_model.setdefault(model, {})
        if (model, version) in self._assumed:
            self._assumed.discard((model, version))
            announced_s_by_version[version] = announced_s
        earliest_s = announced_s_by_version.get(version, announced_s)
        announced_s_by_version[version] = min(earliest_s, announced_s)
        self._drop_oldest(model)

    def assume_target(self, model: str, version: int, announced_s: float) -> None:
        """Record a target version whose time of announcement is unknown.

        Args:
            model: The model.
            version: The version.
            announced_s: Time that is assumed until a peer reports the true one.
        """
        announced_s_by_version = self._announced_s_by_model.setdefault(model, {})
        if version not in announced_s_by_version:
            self._assumed.add((model, version))
            announced_s_by_version[version] = announced_s
            self._drop_oldest(model)

    def _drop_oldest(self, model: str) -> None:
        announced_s_by_version = self._announced_s_by_model[model]
        if len(announced_s_by_version) > MAX_TARGET_VERSIONS:
            oldest = min(announced_s_by_version)
            del announced_s_by_version[oldest]
            self._assumed.discard((model, oldest))

    def observed_targets(self) -> list[TargetVersion]:
        """Return the remembered target versions whose announcement a node has seen."""
        return [
            TargetVersion(model=model, version=version, announced_s=announced_s)
            for model, announced_s_by_version in self._announced_s_by_model.items()
            for version, announced_s in announced_s_by_version.items()
            if (model, version) not in self._assumed
        ]

    def outdated_since(self, model: str, served: int | None) -> float | None:
        """Return when the first version newer than the served one was announced.

        The announcement of further versions does not change that time.

        Args:
            model: The model.
            served: Version that a replica serves, None if unknown.

        Returns:
            Time of announcement, or None if the served version is the newest.
        """
        newer_s = [
            announced_s
            for version, announced_s in self._announced_s_by_model.get(
                model, {}
            ).items()
            if version > (served or 0)
        ]
        return min(newer_s, default=None)

    def record_served(self, incarnation: str, model: str, version: int) -> bool:
        """Record that a replica serves a version.

        Returns:
            Whether the version is newer than the recorded one.
        """
        key = (incarnation, model)
        if version <= self._served_by_key.get(key, 0):
            return False
        self._served_by_key[key] = version
        return True

    def served(self, incarnation: str, model: str) -> int | None:
        """Return the version that a replica serves, or None if unknown."""
        return self._served_by_key.get((incarnation, model))

    def discard(self, incarnation: str) -> None:
        """Discard the versions of an incarnation that has ended."""
        ended = [key for key in self._served_by_key if key[0] == incarnation]
        for key in ended:
            del self._served_by_key[key]
