"""Damping of members that flap, in the manner of BGP route-flap damping.

A member flaps when it restarts or is seen again after a silence.
"""

from __future__ import annotations

__all__ = ["FlapDamper"]

SUPPRESS_PENALTY = 2.5
"""Penalty above which a member is suppressed."""

REUSE_PENALTY = 1.0
"""Penalty below which a suppressed member is reinstated."""

HALF_LIFE_S = 15.0
"""Half-life of the penalty."""


class FlapDamper:
    """Penalty of one member; each flap adds 1 and the total decays exponentially."""

    __slots__ = ("_penalty", "_suppressed", "_updated_s")

    def __init__(self):
        self._penalty = 0.0
        self._updated_s = 0.0
        self._suppressed = False

    def record_flap(self, *, now_s: float) -> None:
        """Add one flap to the penalty.

        Args:
            now_s: Monotonic time.
        """
        self._penalty = self._decayed(now_s) + 1.0
        self._updated_s = now_s
        if self._penalty > SUPPRESS_PENALTY:
            self._suppressed = True

    def is_suppressed(self, *, now_s: float) -> bool:
        """Return whether the member is suppressed.

        Args:
            now_s: Monotonic time.
        """
        if self._suppressed and self._decayed(now_s) < REUSE_PENALTY:
            self._suppressed = False
        return self._suppressed

    def _decayed(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._penalty * 0.5 ** (elapsed_s / HALF_LIFE_S)
