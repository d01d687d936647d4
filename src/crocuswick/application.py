"""The application: owns components and manages their life cycle."""

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
    """A part of the application that is started and stopped."""

    def start(self) -> None:
        """Start working."""

    def stop(self) -> None:
        """Stop working and release all resources."""


class Application:
    """Starts components in order and stops them in reverse order.

    Life-cycle hooks, each in the order of registration: ``on_start`` after all
    components have started, ``on_reload`` at each request to reload files,
    ``on_drain`` once when shutdown is requested, and ``on_stop`` before the
    components stop.
    """

    def __init__(self):
        self._components: list[Component] = []
        self._started: list[Component] = []
        self._start_hooks: list[Callable[[], None]] = []
        self._reload_hooks: list[Callable[[], None]] = []
        self._drain_hooks: list[Callable[[], None]] = []
        self._stop_hooks: list[Callable[[], None]] = []
        self._shutdown = threading.Event()
        self._shutdown_forced = threading.Event()
        self._reload = threading.Event()

    @property
    def shutdown_forced(self) -> threading.Event:
        """Set when shutdown must not wait for requests in flight."""
        return self._shutdown_forced

    def add(self, component: Component) -> None:
        """Add a component, which starts after those added earlier."""
        self._components.append(component)

    def on_start(self, hook: Callable[[], None]) -> Callable[[], None]:
        """Register a hook that runs when all components have started."""
        self._start_hooks.append(hook)
        return hook

    def on_reload(self, hook: Callable[[], None]) -> Callable[[], None]:
        """Register a hook that reloads key and certificate files."""
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
        """Request a run of the reload hooks."""
        self._reload.set()

    def shut_down(self) -> None:
        """Request shutdown, or force it without waiting if it was requested before."""
        if self._shutdown.is_set():
            self._shutdown_forced.set()
        self._shutdown.set()

    def request_shutdown(self) -> None:
        """Request shutdown; unlike `shut_down`, a repeated call does not force it."""
        self._shutdown.set()

    def run(self) -> None:
        """Run until shutdown is requested and complete."""
        try:
            self._start()
            while not self._shutdown.wait(POLL_INTERVAL_S):
                self._reload_if_requested()
            _run_hooks(self._drain_hooks)
            _run_hooks(self._stop_hooks)
        finally:
            self._stop()

    def _start(self) -> None:
        for component in self._components:
            component.start()
            self._started.append(component)
        _run_hooks(self._start_hooks)

    def _reload_if_requested(self) -> None:
        if not self._reload.is_set():
            return
        self._reload.clear()
        try:
            _run_hooks(self._reload_hooks)
        except (OSError, ValueError) as error:
            logger.error(
                "reload failed, previously loaded files stay in use: {}", error
            )

    def _stop(self) -> None:
        for component in reversed(self._started):
            try:
                component.stop()
            except Exception:  # noqa: BLE001 - the others must still be stopped
                logger.exception("stopping {} failed", type(component).__name__)


def _run_hooks(hooks: list[Callable[[], None]]) -> None:
    for hook in hooks:
        hook()
