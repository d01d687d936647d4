"""Active objects: each owns its state and handles typed messages one by one."""

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
    """Base class of the messages that active objects exchange."""


def handler_name(message_type: type) -> str:
    """Return the handler's name for a message class, ``LoadSeen`` -> ``on_load_seen``."""
    return "on_" + _WORD_START.sub("_", message_type.__name__).lower()


class Actor(pykka.ThreadingActor):
    """An active object whose ``on_…`` methods handle messages by class name."""

    use_daemon_thread = True

    def on_receive(self, message: Any) -> Any:
        """Dispatch one message to its handler.

        Args:
            message: A `Message`; its class decides the handler.

        Returns:
            The handler's result, which ``ActorRef.ask`` hands to the asker.
        """
        return getattr(self, handler_name(type(message)))(message)

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Go on with the next message after one whose handler failed.

        The library has logged the failure and is about to stop the actor, which
        would leave the node without it.
        """
        pykka.ActorRegistry.register(self.actor_ref)
        self.actor_stopped.clear()


class Ticker:
    """Calls a function at a fixed interval on a thread of its own."""

    def __init__(self, *, name: str, interval_s: float, call: Callable[[], None]):
        self._interval_s = interval_s
        self._call = call
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start calling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop calling; returns when the last call has ended."""
        self._stopped.set()
        if self._thread.is_alive() and self._thread is not threading.current_thread():
            self._thread.join(timeout=self._interval_s + 1.0)

    def _run(self) -> None:
        due = time.monotonic() + self._interval_s
        while not self._stopped.wait(max(0.0, due - time.monotonic())):
            self._call()
            due = max(due + self._interval_s, time.monotonic())
