"""Which version of a model's weights is wanted, and which one replicas serve."""

from __future__ import annotations

import attrs

__all__ = ["AnnouncedWeights", "WeightsTable"]

MAX_ANNOUNCED_VERSIONS = 16
"""Versions of a model that are remembered; older ones are long out of bounds."""


@attrs.frozen(kw_only=True)
class AnnouncedWeights:
    """A version of a model's weights that replicas are to serve."""

    model: str
    version: int
    announced_s: float
    """Monotonic time since when it is known to have been named."""


class WeightsTable:
    """Merges entries, answers and orders; versions of an incarnation only rise."""

    def __init__(self):
        self._announced_s_by_model: dict[str, dict[int, float]] = {}
        self._served_by_key: dict[tuple[str, str], int] = {}

    def record_announced(self, model: str, version: int, announced_s: float) -> None:
        """Take a version that was named.

        Several nodes may tell of the same version; the earliest time counts.

        Args:
            model: The model.
            version: The version.
            named_s: Monotonic time since when it is known to have been named.
        """
        announced_s_by_version = self._announced_s_by_model.setdefault(model, {})
        earliest_s = announced_s_by_version.get(version, announced_s)
        announced_s_by_version[version] = min(earliest_s, announced_s)
        if len(announced_s_by_version) > MAX_ANNOUNCED_VERSIONS:
            del announced_s_by_version[min(announced_s_by_version)]

    def all_announced(self) -> list[AnnouncedWeights]:
        """Return the newest versions of all models."""
        return [
            AnnouncedWeights(model=model, version=version, announced_s=announced_s)
            for model, announced_s_by_version in self._announced_s_by_model.items()
            for version, announced_s in announced_s_by_version.items()
        ]

    def outdated_since(self, model: str, served: int | None) -> float | None:
        """Return since when a version newer than the served one has been named.

        Each version counts from its own naming, however many follow it.

        Args:
            model: The model.
            served: Version that a replica serves, None where it is not known.

        Returns:
            Monotonic time, None where the served version is the newest.
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
        """Note that a replica serves a version.

        Returns:
            Whether that is news.
        """
        key = (incarnation, model)
        if version <= self._served_by_key.get(key, 0):
            return False
        self._served_by_key[key] = version
        return True

    def served(self, incarnation: str, model: str) -> int | None:
        """Return the version that a replica serves, None where it is not known."""
        return self._served_by_key.get((incarnation, model))

    def discard(self, incarnation: str) -> None:
        """Drop what is known of an incarnation that has ended."""
        gone = [key for key in self._served_by_key if key[0] == incarnation]
        for key in gone:
            del self._served_by_key[key]
