"""The control interface that every stand-in offers under ``/control/``.

==========================  ===================================================
``GET /control/ready``      200 once the stand-in serves
``GET /control/faults``     the fault settings in force
``POST /control/faults``    sets the given fields, leaves the others
``DELETE /control/faults``  puts back the settings of the start
``GET /control/history``    what the stand-in recorded for the checkers
==========================  ===================================================

Control calls are never hit by faults.
"""

from __future__ import annotations

import random
import threading
import time
from typing import TYPE_CHECKING, Any, ClassVar

import attrs
import cattrs

from tests.fakes.http_service import Reply, Request, Routes, drop_connection

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CallFaults", "Controlled", "apply_call_fault", "update_faults"]

CONTROL_PREFIX = "/control/"
SILENCE_STEP_S = 0.05

call_effects_by_name: dict[str, Callable[[Controlled], Reply | None]] = {}


def _call_effect(name: str) -> Callable[[Any], Any]:
    def register(effect: Callable[[Controlled], Reply | None]) -> Any:
        call_effects_by_name[name] = effect
        return effect

    return register


@attrs.frozen(kw_only=True)
class CallFaults:
    """Faults that any stand-in can have on its calls."""

    outage: str = "none"
    """``none``, ``unavailable`` (503), ``silent`` (no answer), ``drop``."""

    outage_rate: float = 1.0
    """Part of the calls that an outage hits."""

    delay_ms: int = 0
    """Time added before each call is handled."""

    paths: list[str] = attrs.field(factory=list)
    """Starts of the paths that outage and delay hit; all when empty."""


_converter = cattrs.Converter(forbid_extra_keys=True)


def update_faults(faults: Any, changes: dict[str, Any]) -> Any:
    """Return fault settings with some fields replaced.

    Args:
        faults: An ``attrs`` object.
        changes: New values by field name.

    Returns:
        A new object of the same class.
    """
    return _converter.structure({**attrs.asdict(faults), **changes}, type(faults))


class Controlled:
    """Base of the stand-ins: control routes, faults, and calls under faults."""

    control_routes: ClassVar[Routes] = Routes()
    routes: ClassVar[Routes] = Routes()

    def __init__(self, *, faults: Any):
        self._first_faults = faults
        # Server threads change the settings, too: they use up counts.
        self._faults_lock = threading.Lock()
        self.faults = faults
        """Replaced as a whole and never changed in place."""

    def answer(self, request: Request) -> Reply:
        """Answer a request, control calls first and without faults."""
        if request.path.startswith(CONTROL_PREFIX):
            reply = self.routes.dispatch(self, request)
            reply = reply or self.control_routes.dispatch(self, request)
        else:
            reply = self.hit_by_fault(request) or self.routes.dispatch(self, request)
        return reply or Reply(status=404, body={"error": "no such path"})

    def hit_by_fault(self, request: Request) -> Reply | None:
        """Apply faults before a call; an answer from here replaces the call's."""
        paths = tuple(self.faults.paths)
        if paths and not request.path.startswith(paths):
            return None
        return apply_call_fault(self)

    def take_count(self, name: str) -> int:
        """Use up one of a fault's count.

        Args:
            name: Name of a setting that counts down to 0.

        Returns:
            The count before, 0 if it was used up.
        """
        with self._faults_lock:
            count = getattr(self.faults, name)
            if count > 0:
                self.faults = attrs.evolve(self.faults, **{name: count - 1})
            return count

    def history(self) -> Any:
        """Return what was recorded for the checkers."""
        return {}

    def faults_changed(self, changed: frozenset[str]) -> None:
        """React to new fault settings, given the names of those that were set."""

    @control_routes.route("GET", "/control/ready")
    def get_ready(self, request: Request) -> Reply:
        """Answer that the stand-in serves."""
        return Reply(body={"ready": True})

    @control_routes.route("GET", "/control/faults")
    def get_faults(self, request: Request) -> Reply:
        """Give the fault settings."""
        return Reply(body=attrs.asdict(self.faults))

    @control_routes.route("POST", "/control/faults")
    def post_faults(self, request: Request) -> Reply:
        """Replace some of the fault settings."""
        changes = request.json()
        try:
            with self._faults_lock:
                self.faults = update_faults(self.faults, changes)
        except Exception as error:
            return Reply(status=400, body={"error": cattrs.transform_error(error)})
        self.faults_changed(frozenset(changes))
        return Reply(body=attrs.asdict(self.faults))

    @control_routes.route("DELETE", "/control/faults")
    def delete_faults(self, request: Request) -> Reply:
        """Put the first fault settings back."""
        with self._faults_lock:
            self.faults = self._first_faults
        self.faults_changed(frozenset(attrs.fields_dict(type(self.faults))))
        return Reply(body=attrs.asdict(self.faults))

    @control_routes.route("GET", "/control/history")
    def get_history(self, request: Request) -> Reply:
        """Give the records for the checkers."""
        return Reply(body=self.history())


def apply_call_fault(service: Controlled, *, outage: str | None = None) -> Reply | None:
    """Delay a call and put it under an outage if one is set.

    Args:
        service: Stand-in with `CallFaults` fields in its faults.
        outage: Kind of the outage, if not that of the settings.

    Returns:
        The answer of the outage, or None when the call may go on.
    """
    faults = service.faults
    time.sleep(faults.delay_ms / 1000)
    effect = call_effects_by_name[outage or faults.outage]
    if random.random() >= faults.outage_rate:
        return None
    return effect(service)


@_call_effect("none")
def _pass(service: Controlled) -> None:
    return None


@_call_effect("unavailable")
def _unavailable(service: Controlled) -> Reply:
    return Reply(
        status=503, body={"error": "unavailable"}, headers={"Retry-After": "1"}
    )


@_call_effect("drop")
def _drop(service: Controlled) -> None:
    drop_connection()


@_call_effect("silent")
def _stay_silent(service: Controlled) -> None:
    faults = service.faults
    # The answer never comes, but the thread is freed once the fault is lifted.
    while service.faults is faults:
        time.sleep(SILENCE_STEP_S)
    drop_connection()
