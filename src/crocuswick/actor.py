"""Actors, which own their state and handle typed messages, and periodic calls."""

from __future__ import annotations

import functools
import heapq
import itertools
import re
import threading
import time
from typing import TYPE_CHECKING, Any

import attrs
import logbook
import pykka

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

__all__ = ["Actor", "Message", "Ticker", "Tickers"]

logger = logbook.Logger(__name__)

_WORD_START = re.compile(r"(?<!^)(?=[A-Z])")


@attrs.frozen(kw_only=True)
class Message:
    """Base class of the messages that actors exchange."""


@functools.cache
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
            _call_logged(self._thread.name, self._callback)
            due_s = max(due_s + self._interval_s, time.monotonic())


class Tickers:
    """Calls several short functions, each at its own interval, on one thread."""

    def __init__(self):
        self._due: list[tuple[float, int, float, str, Callable[[], None]]] = []
        self._order = itertools.count()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="tickers", daemon=True)

    def add(self, name: str, interval_s: float, callback: Callable[[], None]) -> None:
        """Add a function; call this before `start`.

        Args:
            name: Name for the log.
            interval_s: Interval between calls.
            callback: The function. What it raises is logged.
        """
        due_s = time.monotonic() + interval_s
        entry = (due_s, next(self._order), interval_s, name, callback)
        heapq.heappush(self._due, entry)

    def start(self) -> None:
        """Start calling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop calling and wait for a call in progress, up to a time limit."""
        self._stopped.set()
        self._thread.join(timeout=1.0)

    def _run(self) -> None:
        while not self._stopped.wait(max(0.0, self._due[0][0] - time.monotonic())):
            due_s, order, interval_s, name, callback = self._due[0]
            _call_logged(name, callback)
            next_s = max(due_s + interval_s, time.monotonic())
            heapq.heapreplace(self._due, (next_s, order, interval_s, name, callback))


def _call_logged(name: str, callback: Callable[[], None]) -> None:
    try:
        callback()
    except Exception:  # noqa: BLE001 - one failed call must not end the later ones
        logger.exception("periodic call {} failed", name)
