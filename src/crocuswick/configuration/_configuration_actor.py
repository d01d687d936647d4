"""The actor that applies the records of the configuration stream."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING, Any

import attrs
import logbook

from crocuswick.actor import Actor, Message
from crocuswick.configuration.apply_records import (
    adopt_state,
    apply_records,
    state_after_gap,
)
from crocuswick.configuration.state import EMPTY_STATE, ConfigurationState
from crocuswick.configuration.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.configuration.model import Configuration
    from crocuswick.platform_log import GapFound, LogUnavailable, PageRead

__all__ = [
    "AwaitRevision",
    "AwaitVerdict",
    "ConfigurationActor",
    "ConfigurationView",
    "PeerStateReceived",
]

_logger = logbook.Logger("configuration")


@attrs.frozen(kw_only=True)
class PeerStateReceived(Message):
    """A state was received from another node."""

    state: ConfigurationState
    """The received state."""


@attrs.frozen(kw_only=True)
class AwaitVerdict(Message):
    """Requests the verdict on a submission once it is known."""

    submission_id: str
    """Id of the submission."""

    verdict: Future[Verdict]
    """Future that is resolved with the verdict."""


@attrs.frozen(kw_only=True)
class AwaitRevision(Message):
    """Requests the state once it is complete and has reached a revision."""

    revision: int
    """Revision that the state must have reached."""

    state: Future[ConfigurationState]
    """Future that is resolved with the state."""


@attrs.frozen(kw_only=True)
class ConfigurationView:
    """An immutable view of the actor's state for other threads."""

    state: ConfigurationState = EMPTY_STATE
    """State after the records read so far."""

    is_caught_up: bool = False
    """Whether the end of the stream was reached at least once."""

    is_log_reachable: bool = False
    """Whether the last read succeeded."""

    snapshots_read: int = 0
    """Number of snapshots read from the stream so far."""


class ConfigurationActor(Actor):
    """Owns the configuration state and publishes an immutable view of each change."""

    def __init__(
        self,
        *,
        publish: Callable[[ConfigurationView], None],
        on_change: Callable[[Configuration], None],
    ):
        super().__init__()
        self._view = ConfigurationView()
        self._publish = publish
        self._on_change = on_change
        self._verdict_waiters: list[AwaitVerdict] = []
        self._revision_waiters: list[AwaitRevision] = []

    def on_page_read(self, message: PageRead) -> None:
        """Apply a page of the stream."""
        self._set_log_reachable(True)
        records = message.page.records
        snapshots = sum(_is_snapshot(record.value) for record in records)
        self._update(
            is_caught_up=self._view.is_caught_up or message.is_end,
            snapshots_read=self._view.snapshots_read + snapshots,
        )
        self._set_state(apply_records(self._view.state, records))

    def on_gap_found(self, message: GapFound) -> None:
        """Record that records were dropped before they were read."""
        self._set_log_reachable(True)
        first_retained = message.gap.first_retained
        self._set_state(state_after_gap(self._view.state, first_retained))

    def on_log_unavailable(self, message: LogUnavailable) -> None:
        """Record that the log cannot be read."""
        self._set_log_reachable(False, detail=str(message.error))

    def on_peer_state_received(self, message: PeerStateReceived) -> None:
        """Adopt another node's state if it is newer."""
        self._set_state(adopt_state(self._view.state, message.state))

    def on_await_verdict(self, message: AwaitVerdict) -> None:
        """Resolve the future once the submission has a verdict."""
        self._verdict_waiters.append(message)
        self._resolve_waiters()

    def on_await_revision(self, message: AwaitRevision) -> None:
        """Resolve the future once the state is complete and recent enough."""
        self._revision_waiters.append(message)
        self._resolve_waiters()

    def _set_state(self, state: ConfigurationState) -> None:
        before = self._view.state
        self._update(state=state)
        if before.is_complete != state.is_complete:
            _logger.warning(
                "configuration history {} at offset {}",
                "complete" if state.is_complete else "has a gap",
                state.next_offset,
            )
        if before.configuration.revision != state.configuration.revision:
            self._notify_listener(state.configuration)
        self._resolve_waiters()

    def _update(self, **changes: Any) -> None:
        self._view = attrs.evolve(self._view, **changes)
        self._publish(self._view)

    def _notify_listener(self, configuration: Configuration) -> None:
        _logger.info("configuration revision {} in force", configuration.revision)
        try:
            self._on_change(configuration)
        except Exception:
            # An exception in a listener must not stop record processing.
            _logger.exception("a listener failed on a configuration change")

    def _resolve_waiters(self) -> None:
        verdicts_by_id = self._view.state.verdicts_by_submission_id
        for waiter in self._verdict_waiters:
            verdict = verdicts_by_id.get(waiter.submission_id)
            if verdict is not None:
                _resolve(waiter.verdict, verdict)
        for waiter in self._revision_waiters:
            if self._can_evaluate(waiter.revision):
                _resolve(waiter.state, self._view.state)
        self._verdict_waiters = [
            waiter for waiter in self._verdict_waiters if not waiter.verdict.done()
        ]
        self._revision_waiters = [
            waiter for waiter in self._revision_waiters if not waiter.state.done()
        ]

    def _can_evaluate(self, revision: int) -> bool:
        state = self._view.state
        has_history = self._view.is_caught_up and state.is_complete
        return has_history and state.configuration.revision >= revision

    def _set_log_reachable(self, is_reachable: bool, *, detail: str = "") -> None:
        if self._view.is_log_reachable == is_reachable:
            return
        self._update(is_log_reachable=is_reachable)
        if is_reachable:
            _logger.info("the configuration stream is readable")
        else:
            _logger.warning("the configuration stream is not readable: {}", detail)


def _resolve(future: Future, result: Any) -> None:
    """Set a future's result unless the waiting thread has cancelled it."""
    if future.set_running_or_notify_cancel():
        future.set_result(result)


def _is_snapshot(value: Any) -> bool:
    return isinstance(value, dict) and "snapshot" in value
