"""Plays a case and turns its result into an exit code."""

from __future__ import annotations

import os
import signal
import sys
import threading
from pathlib import Path
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.standins3.deployment import Deployment

__all__ = ["Case", "CaseError", "run_case"]

BROKEN, HELD, NOT_PLAYED = 10, 0, 2
"""Exit codes. A Python process that fails for another reason exits with 1, so that the
script `run.sh` turns 10 into 1 and all other codes except 0 into 2."""


class CaseError(Exception):
    """The case can't be judged."""


class Case(Protocol):
    """A case: its deployment, and the breaks of its rule that it saw."""

    rule: str
    deployment: Deployment
    broken: list[str]

    def play(self, *, has_trouble: bool) -> None:
        """Play the case."""

    def stop(self) -> None:
        """End all stand-ins of the case."""


def run_case(make_case: Callable[[Path], Case]) -> None:
    """Play a case in the folder that the command line names, and exit.

    The exit code is 10 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    signal.signal(signal.SIGTERM, _end)
    case = make_case(Path(sys.argv[1]))
    record = case.deployment.record
    threading.excepthook = lambda failure: record.add_failure(failure.exc_value)
    try:
        case.play(has_trouble=os.environ.get("TROUBLE") != "0")
        case.deployment.check_nodes()
        if record.failures:
            raise CaseError("a stand-in has failed")
    except (CaseError, OSError, RuntimeError) as error:
        case.deployment.record_nodes()
        record.add(f"the case couldn't run: {error!r}")
        sys.exit(NOT_PLAYED)
    finally:
        case.stop()
        case.deployment.stop()
    for line in case.broken:
        record.add(f"{case.rule} broken: {line}")
    record.add(f"{case.rule}: broken {len(case.broken)} times")
    sys.exit(BROKEN if case.broken else HELD)


def _end(*_: object) -> None:
    # `timeout` sends the signal to its child and then to the whole group.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(NOT_PLAYED)
