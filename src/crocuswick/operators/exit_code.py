"""Exit codes of ``crocuswickctl``."""

from __future__ import annotations

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """How a command ended."""

    OK = 0
    """Done; ``diff`` found no difference."""

    FAULTY = 1
    """The set has faults, or the request is not known; ``diff`` found a difference."""

    USAGE = 2
    """The command line or a file named on it cannot be used."""

    LOST = 3
    """Another submission changed the base revision first."""

    UNREACHABLE = 4
    """The node or the log could not be reached; nothing was submitted."""

    UNKNOWN = 5
    """The submission may take effect; run the same command again to learn more."""

    NOT_EVERYWHERE = 6
    """Accepted, but some live nodes have not confirmed the revision in time."""

    UNAUTHORISED = 7
    """The node did not take the operators' key."""
