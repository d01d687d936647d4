"""Isolation of retried requests that may have crashed an endpoint.

Any request that ran at an endpoint when it crashed may have caused the crash. Those
that had delivered no token are the most likely cause: they are retried later than the
others, one after the other and at different endpoints, so that a second crash
identifies the request that caused it.
"""

from __future__ import annotations

import random

import attrs

__all__ = ["AttemptId", "Suspects"]

RETRY_DELAY_MS = 700
"""Minimum delay before a request that had delivered no token is retried."""

RETRY_JITTER_MS = 1500
"""Maximum random addition to the delay, so that these requests run one by one."""


@attrs.frozen(kw_only=True)
class AttemptId:
    """Identifies one attempt of a request at an endpoint."""

    endpoint_id: str
    """Endpoint id."""

    request_id: str
    """Id of the request at the endpoint."""


class Suspects:
    """Running attempts of suspect requests; not thread-safe, has a single owner."""

    def __init__(self):
        self._fingerprints_by_attempt: dict[AttemptId, str] = {}

    def add(self, attempt: AttemptId, fingerprint: str) -> None:
        """Record that a suspect request runs at an endpoint."""
        self._fingerprints_by_attempt[attempt] = fingerprint

    def remove(self, attempt: AttemptId) -> None:
        """Record that an attempt has ended; unknown attempts are ignored."""
        self._fingerprints_by_attempt.pop(attempt, None)

    def endpoints_of_others(self, fingerprint: str) -> frozenset[str]:
        """Return the endpoints at which another suspect request runs.

        Args:
            fingerprint: Fingerprint of the suspect request to be placed.
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
                Such a request is retried immediately, so that it is past its first
                token when a more likely cause of the crash runs again.
        """
        if progressed:
            return 0.0
        return random.uniform(RETRY_DELAY_MS, RETRY_DELAY_MS + RETRY_JITTER_MS) / 1000
