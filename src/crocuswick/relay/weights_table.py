"""Which version of a model's weights is wanted, and which one replicas serve."""

from __future__ import annotations

import attrs

__all__ = ["NamedWeights", "WeightsTable"]


@attrs.frozen(kw_only=True)
class NamedWeights:
    """The version of a model's weights that replicas are to serve."""

    model: str
    version: int
    named_s: float
    """Monotonic time at which this node learned of it."""


class WeightsTable:
    """Merges entries, answers and orders; versions of an incarnation only rise."""

    def __init__(self):
        self._named_by_model: dict[str, NamedWeights] = {}
        self._served_by_key: dict[tuple[str, str], int] = {}

    def name(self, model: str, version: int, now_s: float) -> bool:
        """Take a version that was named.

        Returns:
            Whether it is newer than the one known.
        """
        known = self._named_by_model.get(model)
        if known is not None and version <= known.version:
            return False
        self._named_by_model[model] = NamedWeights(
            model=model, version=version, named_s=now_s
        )
        return True

    def named(self, model: str) -> NamedWeights | None:
        """Return the wanted version, or None where none was named."""
        return self._named_by_model.get(model)

    def learn(self, incarnation: str, model: str, version: int) -> bool:
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

    def forget(self, incarnation: str) -> None:
        """Drop what is known of an incarnation that has ended."""
        gone = [key for key in self._served_by_key if key[0] == incarnation]
        for key in gone:
            del self._served_by_key[key]
