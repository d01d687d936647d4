"""Interface to the caller of a relayed request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.relay.refusal_answer import CompleteAnswer

__all__ = ["CallerExchange"]


class CallerExchange(Protocol):
    """Sends one answer to a caller and detects its disconnect."""

    @property
    def has_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Set the callback for a disconnect of the caller.

        It is called once, from another thread.
        """

    def send_complete(self, answer: CompleteAnswer) -> None:
        """Send a complete answer.

        Raises:
            OSError: The caller can't be reached.
        """

    def begin_stream(
        self, status: int, reason: str, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Send the head of an answer of unknown length."""

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a stream."""

    def end_stream(self) -> None:
        """Send the end of a stream."""

    def abort_answer(self) -> None:
        """Close the connection so that the answer can't appear complete."""

    def finish(self) -> None:
        """Wait until the caller has read the answer or was cut off."""

    def want_room(self, size_bytes: int) -> None:
        """Cut off other callers that don't read, so that bytes become free."""
