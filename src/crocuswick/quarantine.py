"""Quarantine of requests that crashed endpoints.

A request is refused once two different endpoints have crashed while they ran it.
Each crash is reported to the other nodes, because the second crash is usually
observed by another node than the first.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok

from crocuswick.errors import Refusal

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from result import Result

__all__ = [
    "QUARANTINE_STEP",
    "CrashReport",
    "Loss",
    "Quarantine",
    "request_fingerprint",
]

CRASHES_TO_REFUSE = 2
"""Number of different endpoints that must have crashed while they ran a request before
it is refused."""

REPORT_LIFETIME_S = 600.0
"""A request is refused or treated as suspect for this time after its last crash."""

RECENT_S = 10.0
"""Age up to which a report is forwarded to other nodes."""

MAX_RECENT_REPORTS = 8
"""Maximum number of reports forwarded at the same time."""

MAX_REFUSED = 32
"""Maximum number of refused requests that a node that starts is told of."""

MAX_FINGERPRINTS = 1024
"""Maximum number of requests stored; those with the oldest last crash are evicted."""

QUARANTINE_STEP = "quarantine"
"""Value of `Refusal.step` for quarantined requests."""

FINGERPRINT_BYTES = 8
"""Bytes in a fingerprint, before its encoding as hexadecimal digits."""

_MS_PER_S = 1000


@attrs.frozen(kw_only=True)
class CrashReport:
    """Report of an endpoint that crashed while it ran a request."""

    fingerprint: str
    """Fingerprint of the request."""

    endpoint_id: str
    """Endpoint that crashed."""

    age_ms: int = 0
    """Time since the crash in milliseconds."""

    block_keys: tuple[int, ...] = ()
    """Keys of the first blocks of the request's prompt, in order."""

    run_ms: int = 0
    """Time for which the request had run at the endpoint, in milliseconds."""


@attrs.frozen(kw_only=True)
class Loss:
    """An attempt that ended with the crash of its endpoint."""

    sent_s: float
    """Monotonic time at which the attempt began."""

    lost_s: float
    """Monotonic time of the crash."""

    @classmethod
    def of_report(cls, report: CrashReport, *, now_s: float) -> Loss:
        """Return the loss that a report describes."""
        lost_s = now_s - report.age_ms / _MS_PER_S
        return cls(sent_s=lost_s - report.run_ms / _MS_PER_S, lost_s=lost_s)


def request_fingerprint(*, organisation: str, model: str, body: bytes) -> str:
    """Return a fingerprint that is shared only by identical requests.

    Args:
        organisation: Organisation of the caller.
        model: Model or service requested.
        body: Content of the request, in a form that is the same for each repeat.
    """
    parts = (organisation.encode(), model.encode(), body)
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class Quarantine:
    """Crash reports by request; not thread-safe, has a single owner."""

    def __init__(
        self,
        *,
        max_fingerprints: int = MAX_FINGERPRINTS,
        crashes_to_refuse: int = CRASHES_TO_REFUSE,
    ):
        """Create an empty quarantine.

        Args:
            max_fingerprints: Maximum number of requests stored.
            crashes_to_refuse: Number of different endpoints that must have crashed
                while they ran a request before it is refused.
        """
        self._max_fingerprints = max_fingerprints
        self._crashes_to_refuse = crashes_to_refuse
        self._losses_by_fingerprint: dict[str, dict[str, Loss]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there are no crash reports, so that requests need no check."""
        return not self._losses_by_fingerprint

    def add(self, reports: Iterable[CrashReport], *, now_s: float) -> list[CrashReport]:
        """Add reports of any node; their order and duplicates don't matter.

        Args:
            reports: Crash reports.
            now_s: Monotonic time.

        Returns:
            The reports that are new.
        """
        new_reports = []
        for report in reports:
            if self._add_one(report, now_s=now_s):
                new_reports.append(report)
        self._evict_oldest()
        return new_reports

    def check(
        self,
        fingerprint: str,
        *,
        now_s: float,
        is_explained: Callable[[str], bool] | None = None,
    ) -> Result[None, Refusal]:
        """Return a refusal if several endpoints crashed while they ran this request.

        Args:
            fingerprint: Fingerprint of the request.
            now_s: Monotonic time.
            is_explained: Returns whether another request is known to have crashed an
                endpoint, None if that is never known.
        """
        losses = self._losses_by_fingerprint.get(fingerprint)
        if losses is None:
            return Ok(None)
        expires_s = _last_s(losses) + REPORT_LIFETIME_S
        if now_s >= expires_s:
            del self._losses_by_fingerprint[fingerprint]
            return Ok(None)
        unexplained = [
            endpoint_id
            for endpoint_id in losses
            if is_explained is None or not is_explained(endpoint_id)
        ]
        if len(unexplained) < self._crashes_to_refuse:
            return Ok(None)
        return Err(_refusal(losses, retry_after_s=expires_s - now_s))

    def is_suspect(self, fingerprint: str, *, now_s: float) -> bool:
        """Return whether there is an unexpired crash report of this request.

        Args:
            fingerprint: Fingerprint of the request.
            now_s: Monotonic time.
        """
        return any(
            now_s - loss.lost_s < REPORT_LIFETIME_S
            for loss in self.losses(fingerprint).values()
        )

    def losses(self, fingerprint: str) -> Mapping[str, Loss]:
        """Return the loss of a request at each endpoint that crashed while it ran it.

        Args:
            fingerprint: Fingerprint of the request.
        """
        return self._losses_by_fingerprint.get(fingerprint, {})

    def clear(self, fingerprint: str) -> bool:
        """Remove the crash reports of a request that ran to completion.

        Args:
            fingerprint: Fingerprint of the request.

        Returns:
            Whether there were any.
        """
        return self._losses_by_fingerprint.pop(fingerprint, None) is not None

    def recent(self, *, now_s: float) -> tuple[CrashReport, ...]:
        """Return the latest reports, to be forwarded to other nodes.

        Args:
            now_s: Monotonic time.
        """
        reports = [
            report
            for report in self.all(now_s=now_s)
            if report.age_ms < RECENT_S * _MS_PER_S
        ]
        reports.sort(key=lambda report: report.age_ms)
        return tuple(reports[:MAX_RECENT_REPORTS])

    def all(self, *, now_s: float) -> tuple[CrashReport, ...]:
        """Return all unexpired reports, for a node that has just started.

        Args:
            now_s: Monotonic time.
        """
        return tuple(
            CrashReport(
                fingerprint=fingerprint,
                endpoint_id=endpoint_id,
                age_ms=max(0, round((now_s - loss.lost_s) * _MS_PER_S)),
                run_ms=max(0, round((loss.lost_s - loss.sent_s) * _MS_PER_S)),
            )
            for fingerprint, losses in self._losses_by_fingerprint.items()
            for endpoint_id, loss in losses.items()
            if now_s - loss.lost_s < REPORT_LIFETIME_S
        )

    def refused(self, *, now_s: float) -> tuple[CrashReport, ...]:
        """Return the reports of the requests that are refused, at most `MAX_REFUSED`.

        Args:
            now_s: Monotonic time.
        """
        reports_by_fingerprint: dict[str, list[CrashReport]] = {}
        for report in self.all(now_s=now_s):
            reports_by_fingerprint.setdefault(report.fingerprint, []).append(report)
        refused = [
            reports
            for reports in reports_by_fingerprint.values()
            if len(reports) >= self._crashes_to_refuse
        ]
        refused.sort(key=lambda reports: min(report.age_ms for report in reports))
        return tuple(
            report
            for reports in refused[:MAX_REFUSED]
            for report in sorted(reports, key=lambda report: report.age_ms)[
                : self._crashes_to_refuse
            ]
        )

    def _add_one(self, report: CrashReport, *, now_s: float) -> bool:
        loss = Loss.of_report(report, now_s=now_s)
        if now_s - loss.lost_s >= REPORT_LIFETIME_S:
            return False
        losses = self._losses_by_fingerprint.setdefault(report.fingerprint, {})
        is_new = report.endpoint_id not in losses
        # The same endpoint may have crashed again. The time of a duplicate report differs
        # by less than `RECENT_S`.
        if is_new or loss.lost_s > losses[report.endpoint_id].lost_s + RECENT_S:
            losses[report.endpoint_id] = loss
        return is_new

    def _evict_oldest(self) -> None:
        excess = len(self._losses_by_fingerprint) - self._max_fingerprints
        if excess <= 0:
            return
        oldest_first = sorted(
            self._losses_by_fingerprint,
            key=lambda key: _last_s(self._losses_by_fingerprint[key]),
        )
        for fingerprint in oldest_first[:excess]:
            del self._losses_by_fingerprint[fingerprint]


def _last_s(losses: Mapping[str, Loss]) -> float:
    return max(loss.lost_s for loss in losses.values())


def _refusal(losses: Iterable[str], *, retry_after_s: float) -> Refusal:
    endpoints = ", ".join(sorted(losses))
    return Refusal(
        status=422,
        title="request crashed endpoints",
        detail=f"An identical request crashed {endpoints}; it will not be run again.",
        step=QUARANTINE_STEP,
        retry_after_s=retry_after_s,
    )
