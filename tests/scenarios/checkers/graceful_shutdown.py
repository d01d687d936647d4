"""A graceful shutdown interrupts no request in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.scenarios.checkers.registry import Checked, Violation, checker
from tests.scenarios.history import Booking, Completion, Ending, NodeShutdown

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.scenarios.history import History

_INTERRUPTED_ENDINGS = (Ending.CUT, Ending.SILENT, Ending.ERROR)


def _was_in_flight(request: Booking | Completion, shutdown: NodeShutdown) -> bool:
    """Return whether a request was in flight at the node when its shutdown began."""
    sent_here = request.node == shutdown.node
    return sent_here and request.interval.contains(shutdown.interval.start_s)


def _had_first_token(request: Booking | Completion, shutdown: NodeShutdown) -> bool:
    """Return whether the caller had the first token when the shutdown began."""
    first_token_s = getattr(request, "first_token_s", None)
    return first_token_s is not None and first_token_s <= shutdown.interval.start_s


def _was_interrupted(request: Booking | Completion, shutdown: NodeShutdown) -> bool:
    """Return whether the shutdown interrupted a request.

    An answer that had begun must continue on its connection; a request that had
    no answer yet may be refused.
    """
    if _had_first_token(request, shutdown):
        return request.ending is not Ending.DONE or request.resumptions > 0
    return request.ending in _INTERRUPTED_ENDINGS


def _check_requests(
    history: History, shutdown: NodeShutdown
) -> Iterator[Violation | Checked]:
    for request in [*history.of(Completion), *history.of(Booking)]:
        if not _was_in_flight(request, shutdown) or getattr(request, "poison", False):
            continue
        yield Checked(record=request)
        if _was_interrupted(request, shutdown):
            reason = (
                f"{request.request_id} was interrupted by the end of {shutdown.node}"
            )
            yield Violation(reason=f"{reason}: {request.ending}", record=request)


@checker(
    property_name="graceful-shutdown",
    title="A graceful shutdown cuts no request in flight",
)
def check_graceful_shutdown(history: History) -> Iterator[Violation | Checked]:
    """Check that requests in flight were completed on their own connections."""
    for shutdown in history.of(NodeShutdown):
        if shutdown.exit_code != 0:
            reason = f"{shutdown.node} ended with exit code {shutdown.exit_code}"
            yield Violation(reason=reason, record=shutdown)
        yield from _check_requests(history, shutdown)
