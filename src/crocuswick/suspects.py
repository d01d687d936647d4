"""Keeps requests that may have crashed an endpoint apart when they are retried.

All requests that ran at an endpoint when it crashed look alike. Those that had
delivered no token are the likely culprits: they are retried later than the others,
one after the other and at different endpoints, so that a second crash tells which
of them is to blame.
"""

from __future__ import annotations

import random

import attrs

__all__ = ["AttemptId", "Suspects"]

RETRY_DELAY_MS = 700
RETRY_SPREAD_MS = 1500


@attrs.frozen(kw_only=True)
class AttemptId:
    """One try of a request at an endpoint."""

    endpoint_id: str
    """The endpoint."""

    request_id: str
    """Id of the request at the endpoint."""


class Suspects:
    """The suspects that run now, by attempt; has a single owner."""

    def __init__(self):
        self._fingerprints_by_attempt: dict[AttemptId, str] = {}

    def add(self, attempt: AttemptId, fingerprint: str) -> None:
        """Note that a suspect runs at an endpoint."""
        self._fingerprints_by_attempt[attempt] = fingerprint

    def remove(self, attempt: AttemptId) -> None:
        """Note that an attempt has ended; other attempts than suspects' are ignored."""
        self._fingerprints_by_attempt.pop(attempt, None)

    def endpoints_of_others(self, fingerprint: str) -> frozenset[str]:
        """Return the endpoints at which another suspect runs.

        Args:
            fingerprint: Fingerprint of the suspect to be placed.
        """
        return frozenset(
            attempt.endpoint_id
            for attempt, other in self._fingerprints_by_attempt.items()
            if other != fingerprint
        )

    @staticmethod
    def retry_delay_s(*, progressed: bool) -> float:
        """Return how long a request waits after a crash before its next attempt.

        Args:
            progressed: Whether it had delivered a token at the crashed endpoint.
                Such a request goes at once, and is past its first token by the
                time that a likely culprit runs again.
        """
        if progressed:
            return 0.0
        return random.uniform(RETRY_DELAY_MS, RETRY_DELAY_MS + RETRY_SPREAD_MS) / 1000
