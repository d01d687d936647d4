"""The caller's side of a relayed request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from crocuswick.relay.refusal_answer import WholeAnswer

__all__ = ["CallerExchange"]


class CallerExchange(Protocol):
    """Writes one answer to a caller and notices when it leaves."""

    @property
    def has_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Set what is called, once and from another thread, when the caller leaves."""

    def send_whole(self, answer: WholeAnswer) -> None:
        """Send a whole answer.

        Raises:
            OSError: The caller can't be reached.
        """

    def begin_stream(
        self, status: int, reason: str, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Send the head of an answer whose length is not known yet."""

    def send_chunk(self, data: bytes) -> None:
        """Send a piece of a stream."""

    def end_stream(self) -> None:
        """Mark a stream as complete."""

    def abort_answer(self) -> None:
        """End the connection so that the answer can't look complete."""
