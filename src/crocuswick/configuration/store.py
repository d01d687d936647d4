"""Component that replicates the configuration to a node and submits changes."""

from __future__ import annotations

import random
import time
from concurrent.futures import Future
from typing import TYPE_CHECKING

import attrs
from result import Err, Ok, Result

from crocuswick.actor import Ticker
from crocuswick.configuration._configuration_actor import (
    AwaitRevision,
    AwaitVerdict,
    ConfigurationActor,
    ConfigurationView,
    PeerStateReceived,
)
from crocuswick.configuration.apply_records import snapshot_record
from crocuswick.configuration.model import Configuration
from crocuswick.configuration.state import (
    ConfigurationState,
    decode_state,
    encode_state,
)
from crocuswick.configuration.submission import (
    Submission,
    change_between,
    submission_to_record,
)
from crocuswick.configuration.verdict import Verdict, VerdictKind
from crocuswick.errors import PeerError
from crocuswick.outcome import Outcome
from crocuswick.platform_log import LogClient, LogFollower

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from crocuswick.configuration.checks import ObjectSet

__all__ = ["CONFIGURATION_STREAM", "ConfigurationStore"]

CONFIGURATION_STREAM = "configuration"
APPEND_TIMEOUT_MS = 2_000
SUBMIT_TIMEOUT_MS = 10_000
SUBMIT_RETRY_MS = 300
"""Time to wait for the verdict after a failed append, before appending again.

The record of a failed append may be in the log.
"""

VERDICT_WAIT_MS = 2_000
"""Time to wait for the verdict after a successful append, before appending again."""

SNAPSHOT_INTERVAL_MS = 600_000
RECOVERY_DELAY_MS = 5_000
"""Shortest wait for a snapshot that closes a gap, before starting a new history.

Up to half of it is added at random, so that nodes do not all write at once.
"""

TICK_INTERVAL_MS = 500


class ConfigurationStore:
    """Follows the configuration stream and provides the current revision.

    Every node applies the same records with the same function, so all nodes agree
    on each submission's verdict. The revision never decreases: a state from the
    log, a snapshot or another node is adopted only if it is newer.
    """

    def __init__(
        self,
        *,
        log_address: str,
        on_change: Callable[[Configuration], None],
        append_timeout_ms: int = APPEND_TIMEOUT_MS,
        snapshot_interval_ms: int = SNAPSHOT_INTERVAL_MS,
        recovery_delay_ms: int = RECOVERY_DELAY_MS,
    ):
        self._client = LogClient(address=log_address, timeout_ms=append_timeout_ms)
        self._peer = f"log {log_address}"
        self._view = ConfigurationView()
        self._actor = ConfigurationActor.start(
            publish=self._set_view, on_change=on_change
        )
        self._follower = LogFollower(
            client=self._client,
            stream=CONFIGURATION_STREAM,
            post=self._actor.tell,
        )
        self._snapshots = _SnapshotSchedule(
            interval_ms=snapshot_interval_ms, recovery_delay_ms=recovery_delay_ms
        )
        self._ticker = Ticker(
            name="configuration-snapshots",
            interval_s=TICK_INTERVAL_MS / 1000,
            callback=self._append_due_snapshot,
        )

    @property
    def current(self) -> Configuration:
        """The current revision."""
        return self._view.state.configuration

    @property
    def has_configuration(self) -> bool:
        """Whether the node can serve: it has a revision or knows there is none yet."""
        view = self._view
        return view.state.configuration.revision > 0 or (
            view.is_caught_up and view.state.is_complete
        )

    @property
    def is_log_reachable(self) -> bool:
        """Whether the last read of the stream succeeded."""
        return self._view.is_log_reachable

    def start(self) -> None:
        """Start following the stream."""
        self._follower.start()
        self._ticker.start()

    def stop(self) -> None:
        """Stop following; the current revision stays readable."""
        self._follower.stop()
        self._ticker.stop()
        self._actor.stop(block=False)

    def snapshot(self) -> bytes:
        """Return the encoded state for other nodes."""
        return encode_state(self._view.state)

    def adopt_snapshot(self, snapshot: bytes) -> Result[None, str]:
        """Adopt another node's snapshot if it is newer.

        Args:
            snapshot: Bytes returned by `snapshot`.

        Returns:
            Nothing, or the reason why the snapshot is invalid.
        """
        decoded = decode_state(snapshot)
        if decoded.is_err():
            return decoded
        self._actor.tell(PeerStateReceived(state=decoded.unwrap()))
        return Ok(None)

    def submit(
        self,
        wanted: ObjectSet,
        *,
        submission_id: str,
        author: str = "",
        timeout_ms: int = SUBMIT_TIMEOUT_MS,
    ) -> Result[Verdict, PeerError]:
        """Submit a set and return the verdict that was read back from the log.

        Args:
            wanted: A valid set.
            submission_id: Id of the submission; a repeat gets the same verdict.
            author: Name of the submitter.
            timeout_ms: Longest wait for the verdict.

        Returns:
            The verdict, or an error. Its outcome is ``not_run`` only if no append
            was sent; after ``unknown``, repeat with the same id to get the verdict.
        """
        deadline_s = time.monotonic() + timeout_ms / 1000
        found = self._await_revision(wanted.base_revision, deadline_s)
        if found.is_err():
            return found
        state = found.unwrap()
        known = _known_verdict(state, wanted, submission_id)
        if known is not None:
            return Ok(known)
        change = change_between(state.configuration, wanted)
        if change.is_empty:
            return Ok(_verdict(state, submission_id, VerdictKind.UNCHANGED))
        submission = Submission(
            submission_id=submission_id,
            base_revision=wanted.base_revision,
            author=author,
            put=(*change.added, *change.changed),
            removed=change.removed,
        )
        return self._append_until_verdict(submission, deadline_s)

    def recover(
        self, wanted: ObjectSet, *, timeout_ms: int = SUBMIT_TIMEOUT_MS
    ) -> Result[int, PeerError]:
        """Start a new history from a set that an operator has saved.

        This is needed when every node has restarted and the log has dropped the last
        snapshot. If a node still has a higher revision, that one takes precedence
        over the set.

        Args:
            wanted: A valid set based on the last known revision.
            timeout_ms: Longest wait until the set is applied.

        Returns:
            The current revision, or an error with outcome ``not_run`` if this node
            knows a configuration.
        """
        view = self._view
        has_gap = view.is_caught_up and not view.state.is_complete
        if not has_gap or view.state.configuration.revision > 0:
            detail = "this node knows a configuration or can still read one"
            return Err(self._error("recover", detail, Outcome.NOT_RUN))
        deadline_s = time.monotonic() + timeout_ms / 1000
        revision = max(1, wanted.base_revision)
        state = ConfigurationState(
            configuration=Configuration.from_objects(
                revision=revision, objects=wanted.objects
            )
        )
        record = snapshot_record(state, is_recovery=True)
        appended = self._client.append(CONFIGURATION_STREAM, [record])
        if appended.is_err():
            return appended
        found = self._await_revision(revision, deadline_s)
        return found.map(lambda state: state.configuration.revision)

    def _await_revision(
        self, revision: int, deadline_s: float
    ) -> Result[ConfigurationState, PeerError]:
        future: Future[ConfigurationState] = Future()
        self._actor.tell(AwaitRevision(revision=revision, state=future))
        state = _result_before(future, deadline_s)
        if state is not None:
            return Ok(state)
        detail = (
            f"this node has revision {self.current.revision}, the set is based "
            f"on {revision}, and no newer one was read from the log in time"
        )
        return Err(self._error("await_base", detail, Outcome.NOT_RUN))

    def _append_until_verdict(
        self, submission: Submission, deadline_s: float
    ) -> Result[Verdict, PeerError]:
        future: Future[Verdict] = Future()
        self._actor.tell(
            AwaitVerdict(submission_id=submission.submission_id, verdict=future)
        )
        record = submission_to_record(submission)
        outcome = Outcome.NOT_RUN
        detail = "no time left"
        while time.monotonic() < deadline_s:
            # Appending twice is harmless: only the first record of an id counts.
            appended = self._client.append(CONFIGURATION_STREAM, [record])
            if appended.is_err():
                detail = appended.unwrap_err().detail
            if appended.is_ok() or appended.unwrap_err().outcome != Outcome.NOT_RUN:
                outcome = Outcome.UNKNOWN
            wait_ms = VERDICT_WAIT_MS if appended.is_ok() else SUBMIT_RETRY_MS
            until_s = min(deadline_s, time.monotonic() + wait_ms / 1000)
            verdict = _result_before(future, until_s, cancel=False)
            if verdict is not None:
                return Ok(verdict)
        future.cancel()
        return Err(self._error("append", f"no verdict read back: {detail}", outcome))

    def _append_due_snapshot(self) -> None:
        record = self._snapshots.due_record(self._view)
        if record is not None:
            self._client.append(CONFIGURATION_STREAM, [record])

    def _set_view(self, view: ConfigurationView) -> None:
        self._view = view

    def _error(self, step: str, detail: str, outcome: Outcome) -> PeerError:
        return PeerError(step=step, peer=self._peer, detail=detail, outcome=outcome)


class _SnapshotSchedule:
    """Decides when this node appends a snapshot; used only by the ticker's thread.

    Every node adds a random delay to the interval and restarts the wait when it
    reads a snapshot, so that usually a single node writes for the whole fleet.
    """

    def __init__(self, *, interval_ms: int, recovery_delay_ms: int):
        self._interval_s = interval_ms / 1000
        self._recovery_delay_s = recovery_delay_ms / 1000
        self._snapshots_read = 0
        self._due_s = self._next_due_s()
        self._recovery_due_s: float | None = None

    def due_record(self, view: ConfigurationView) -> dict[str, Any] | None:
        """Return the snapshot record to append now, or None.

        Args:
            view: The node's current view of the stream.
        """
        state = view.state
        if view.snapshots_read != self._snapshots_read:
            self._snapshots_read = view.snapshots_read
            self._due_s = self._next_due_s()
        is_caught_up = view.is_caught_up and view.is_log_reachable
        if not is_caught_up or state.configuration.revision == 0:
            return None
        if not state.is_complete:
            return self._due_recovery(state)
        self._recovery_due_s = None
        if time.monotonic() < self._due_s:
            return None
        self._due_s = self._next_due_s()
        return snapshot_record(state)

    def _due_recovery(self, state: ConfigurationState) -> dict[str, Any] | None:
        now_s = time.monotonic()
        if self._recovery_due_s is None:
            jitter = random.uniform(1.0, 1.5)
            self._recovery_due_s = now_s + self._recovery_delay_s * jitter
        if now_s < self._recovery_due_s:
            return None
        self._recovery_due_s = None
        return snapshot_record(state, is_recovery=True)

    def _next_due_s(self) -> float:
        return time.monotonic() + self._interval_s * random.uniform(1.0, 1.5)


def _known_verdict(
    state: ConfigurationState, wanted: ObjectSet, submission_id: str
) -> Verdict | None:
    verdict = state.verdicts_by_submission_id.get(submission_id)
    if verdict is not None:
        return verdict
    if wanted.base_revision == state.configuration.revision:
        return None
    # Revisions only increase, so a set with an older base can never be accepted.
    return attrs.evolve(
        _verdict(state, submission_id, VerdictKind.CONFLICT),
        lost_to=state.made_by,
        lost_to_author=state.made_by_author,
    )


def _verdict(
    state: ConfigurationState, submission_id: str, kind: VerdictKind
) -> Verdict:
    return Verdict(
        submission_id=submission_id, kind=kind, revision=state.configuration.revision
    )


def _result_before(future: Future, deadline_s: float, *, cancel: bool = True) -> Any:
    """Return a future's result, or None if the deadline passes first."""
    try:
        return future.result(timeout=max(0.0, deadline_s - time.monotonic()))
    except TimeoutError:
        if cancel:
            future.cancel()
        return None
