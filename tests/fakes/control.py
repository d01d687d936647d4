"""The control interface that every fake offers under ``/control/``.

==========================  ===================================================
``GET /control/ready``      200 once the fake serves
``GET /control/faults``     the current fault settings
``POST /control/faults``    sets the given fields, leaves the others
``DELETE /control/faults``  restores the initial settings
``GET /control/history``    what the fake recorded for the checkers
==========================  ===================================================

Faults never affect control calls.
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
SILENCE_POLL_INTERVAL_S = 0.05

outage_effects_by_kind: dict[str, Callable[[Controlled], Reply | None]] = {}


def _outage_effect(name: str) -> Callable[[Any], Any]:
    def register(effect: Callable[[Controlled], Reply | None]) -> Any:
        outage_effects_by_kind[name] = effect
        return effect

    return register


@attrs.frozen(kw_only=True)
class CallFaults:
    """Fault settings of calls, common to all fakes."""

    outage: str = "none"
    """Kind of outage.

    ``none``, ``unavailable`` (status 503), ``silent`` (no response) or ``drop`` (the
    connection is closed without a response).
    """

    outage_rate: float = 1.0
    """Fraction of the calls that an outage affects."""

    delay_ms: int = 0
    """Delay before each call is handled."""

    paths: list[str] = attrs.field(factory=list)
    """Path prefixes of the calls that outage and delay affect; empty: all."""


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
    """Base class of fakes, with control routes and fault injection."""

    control_routes: ClassVar[Routes] = Routes()
    routes: ClassVar[Routes] = Routes()

    def __init__(self, *, faults: Any):
        self._initial_faults = faults
        # Server threads change the settings too, as they decrement counters.
        self._faults_lock = threading.Lock()
        self.faults = faults
        """Current settings. Replaced as a whole and never changed in place."""

    def answer(self, request: Request) -> Reply:
        """Respond to a request; faults apply unless it is a control call."""
        if request.path.startswith(CONTROL_PREFIX):
            reply = self.routes.dispatch(self, request)
            reply = reply or self.control_routes.dispatch(self, request)
        else:
            reply = self.apply_faults(request) or self.routes.dispatch(self, request)
        return reply or Reply(status=404, body={"error": "no such path"})

    def apply_faults(self, request: Request) -> Reply | None:
        """Apply faults before a call, and return a response that replaces its own."""
        paths = tuple(self.faults.paths)
        if paths and not request.path.startswith(paths):
            return None
        return apply_call_fault(self)

    def consume_count(self, name: str) -> int:
        """Decrement the counter of a fault if it is positive.

        Args:
            name: Name of a setting that counts down to 0.

        Returns:
            The count before the decrement, 0 if it was used up.
        """
        with self._faults_lock:
            count = getattr(self.faults, name)
            if count > 0:
                self.faults = attrs.evolve(self.faults, **{name: count - 1})
            return count

    def history(self) -> Any:
        """Return the history for the checkers."""
        return {}

    def faults_changed(self, changed: frozenset[str]) -> None:
        """React to new fault settings, given the names of those that were set."""

    @control_routes.route("GET", "/control/ready")
    def get_ready(self, request: Request) -> Reply:
        """Report that the fake serves."""
        return Reply(body={"ready": True})

    @control_routes.route("GET", "/control/faults")
    def get_faults(self, request: Request) -> Reply:
        """Return the fault settings."""
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
        """Restore the initial fault settings."""
        with self._faults_lock:
            self.faults = self._initial_faults
        self.faults_changed(frozenset(attrs.fields_dict(type(self.faults))))
        return Reply(body=attrs.asdict(self.faults))

    @control_routes.route("GET", "/control/history")
    def get_history(self, request: Request) -> Reply:
        """Return the history for the checkers."""
        return Reply(body=self.history())


def apply_call_fault(service: Controlled, *, outage: str | None = None) -> Reply | None:
    """Apply the delay and the outage of the fault settings to a call.

    Args:
        service: Fake whose faults have the fields of `CallFaults`.
        outage: Kind of the outage; defaults to that of the settings.

    Returns:
        The response of the outage, or None if the call is to be handled.
    """
    faults = service.faults
    time.sleep(faults.delay_ms / 1000)
    effect = outage_effects_by_kind[outage or faults.outage]
    if random.random() >= faults.outage_rate:
        return None
    return effect(service)


@_outage_effect("none")
def _pass(service: Controlled) -> None:
    return None


@_outage_effect("unavailable")
def _unavailable(service: Controlled) -> Reply:
    return Reply(
        status=503, body={"error": "unavailable"}, headers={"Retry-After": "1"}
    )


@_outage_effect("drop")
def _drop(service: Controlled) -> None:
    drop_connection()


@_outage_effect("silent")
def _silence(service: Controlled) -> None:
    faults = service.faults
    # No response is sent, but the thread is released once the fault is removed.
    while service.faults is faults:
        time.sleep(SILENCE_POLL_INTERVAL_S)
    drop_connection()
