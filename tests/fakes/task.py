"""A task: a thread that owns its state and handles messages one by one.

Unlike `crocuswick.actor.Actor`, a task also has a timer, so that a fake can
simulate work that takes time without a second thread.
"""

from __future__ import annotations

import queue
import threading
import time
from concurrent.futures import Future
from typing import Any

import attrs

from crocuswick.actor import Message, handler_name

__all__ = ["Task"]

ASK_TIMEOUT_S = 60.0


@attrs.frozen(kw_only=True)
class Envelope:
    """A message with the future of its reply."""

    message: Message
    reply: Future[Any]


class Task:
    """A thread that handles messages and timed work."""

    def __init__(self, *, name: str):
        self._inbox: queue.SimpleQueue[Envelope] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def tell(self, message: Message) -> None:
        """Send a message without waiting for a reply."""
        self._inbox.put(Envelope(message=message, reply=Future()))

    def ask(self, message: Message, *, timeout_s: float = ASK_TIMEOUT_S) -> Any:
        """Send a message and wait for its reply.

        Args:
            message: Message, whose class selects the handler as in `Actor`.
            timeout_s: Longest time to wait for the reply.

        Returns:
            The handler's result. If that is a future, the result of the future.
        """
        envelope = Envelope(message=message, reply=Future())
        self._inbox.put(envelope)
        result = envelope.reply.result(timeout=timeout_s)
        if isinstance(result, Future):
            return result.result(timeout=timeout_s)
        return result

    def next_due_s(self) -> float | None:
        """Return the monotonic time at which work is due, or None."""
        return None

    def on_due(self) -> None:
        """Do the work that is due."""

    def _run(self) -> None:
        while True:
            envelope = self._next_envelope()
            if envelope is None:
                self.on_due()
            else:
                self._handle(envelope)

    def _next_envelope(self) -> Envelope | None:
        due_s = self.next_due_s()
        if due_s is None:
            return self._inbox.get()
        remaining_s = due_s - time.monotonic()
        if remaining_s <= 0:
            return None
        try:
            return self._inbox.get(timeout=remaining_s)
        except queue.Empty:
            return None

    def _handle(self, envelope: Envelope) -> None:
        handler = getattr(self, handler_name(type(envelope.message)))
        try:
            envelope.reply.set_result(handler(envelope.message))
        except Exception as error:
            # The error is raised in `ask`; the task continues with the next message.
            envelope.reply.set_exception(error)
