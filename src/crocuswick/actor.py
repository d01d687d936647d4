"""Actors: each owns its state and handles typed messages one at a time."""

from __future__ import annotations

import re
import threading
import time
from typing import TYPE_CHECKING, Any

import attrs
import pykka

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

__all__ = ["Actor", "Message", "Ticker"]

_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")


@attrs.frozen(kw_only=True)
class Message:
    """Base class of the messages that actors exchange."""


def handler_name(message_type: type) -> str:
    """Return the name of the handler of a message class.

    For example, ``on_first_token_received`` for ``FirstTokenReceived``.
    """
    return "on_" + _WORD_START.sub("_", message_type.__name__).lower()


class Actor(pykka.ThreadingActor):
    """An actor whose ``on_…`` methods handle messages by class name."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> Any:
        """Dispatch a message to its handler.

        Args:
            message: A `Message`; its class determines the handler.

        Returns:
            The handler's result, which ``ActorRef.ask`` returns.
        """
        return getattr(self, handler_name(type(message)))(message)

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Keep the actor running after a handler has failed.

        Pykka has logged the failure and is about to stop the actor, but the node
        can't work without it.
        """
        pykka.ActorRegistry.register(self.actor_ref)
        self.actor_stopped.clear()


class Ticker:
    """Calls a function at a fixed interval on its own thread."""

    def __init__(self, *, name: str, interval_s: float, callback: Callable[[], None]):
        self._interval_s = interval_s
        self._callback = callback
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start calling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop calling and wait for a call in progress, up to a time limit."""
        self._stopped.set()
        if self._thread.is_alive() and self._thread is not threading.current_thread():
            self._thread.join(timeout=self._interval_s + 1.0)

    def _run(self) -> None:
        due_s = time.monotonic() + self._interval_s
        while not self._stopped.wait(max(0.0, due_s - time.monotonic())):
            self._callback()
            due_s = max(due_s + self._interval_s, time.monotonic())
