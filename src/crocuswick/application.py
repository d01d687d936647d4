"""The application object: owns components and runs them through their life."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING, Protocol

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Application", "Component"]

logger = logbook.Logger(__name__)

POLL_INTERVAL_S = 0.2


class Component(Protocol):
    """What an application starts and stops."""

    def start(self) -> None:
        """Start working."""

    def stop(self) -> None:
        """Stop working and give back what is held."""


class Application:
    """Starts components in order and stops them in reverse order.

    Life-cycle hooks, each in the order of registration: ``on_start`` after all
    components have started, ``on_reload`` whenever files are to be read again,
    ``on_drain`` once when shutdown is asked for, and
    ``on_stop`` before the components stop.
    """

    def __init__(self):
        self._components: list[Component] = []
        self._started: list[Component] = []
        self._start_hooks: list[Callable[[], None]] = []
        self._reload_hooks: list[Callable[[], None]] = []
        self._drain_hooks: list[Callable[[], None]] = []
        self._stop_hooks: list[Callable[[], None]] = []
        self._shutdown = threading.Event()
        self._forced = threading.Event()
        self._reload = threading.Event()

    @property
    def forced(self) -> threading.Event:
        """Set when shutdown must not wait for requests in flight."""
        return self._forced

    def add(self, component: Component) -> None:
        """Add a component, to be started after those added before."""
        self._components.append(component)

    def on_start(self, hook: Callable[[], None]) -> Callable[[], None]:
        """Register a hook that runs when everything has started."""
        self._start_hooks.append(hook)
        return hook

    def on_reload(self, hook: Callable[[], None]) -> Callable[[], None]:
        """Register a hook that reads key and certificate files again."""
        self._reload_hooks.append(hook)
        return hook

    def on_drain(self, hook: Callable[[], None]) -> Callable[[], None]:
        """Register a hook that runs when shutdown begins."""
        self._drain_hooks.append(hook)
        return hook

    def on_stop(self, hook: Callable[[], None]) -> Callable[[], None]:
        """Register a hook that runs before the components stop."""
        self._stop_hooks.append(hook)
        return hook

    def reload(self) -> None:
        """Ask for the reload hooks to be run."""
        self._reload.set()

    def shut_down(self) -> None:
        """Ask for shutdown; a second call forces it at once."""
        if self._shutdown.is_set():
            self._forced.set()
        self._shutdown.set()

    def shut_down_once(self) -> None:
        """Ask for shutdown; further calls change nothing."""
        self._shutdown.set()

    def run(self) -> None:
        """Run until shutdown has been asked for and has finished."""
        try:
            self._start()
            while not self._shutdown.wait(POLL_INTERVAL_S):
                self._reload_if_asked()
            _call(self._drain_hooks)
            _call(self._stop_hooks)
        finally:
            self._stop()

    def _start(self) -> None:
        for component in self._components:
            component.start()
            self._started.append(component)
        _call(self._start_hooks)

    def _reload_if_asked(self) -> None:
        if not self._reload.is_set():
            return
        self._reload.clear()
        try:
            _call(self._reload_hooks)
        except (OSError, ValueError) as error:
            logger.error("reload failed, what was in force stays: {}", error)

    def _stop(self) -> None:
        for component in reversed(self._started):
            try:
                component.stop()
            except Exception:  # noqa: BLE001 - the others must still be stopped
                logger.exception("stopping {} failed", type(component).__name__)


def _call(hooks: list[Callable[[], None]]) -> None:
    for hook in hooks:
        hook()
