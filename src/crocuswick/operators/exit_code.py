"""Exit codes of ``crocuswickctl``."""

from __future__ import annotations

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Result of a command."""

    OK = 0
    """The command succeeded; ``diff`` found no difference."""

    FAULTY = 1
    """The set has faults, or the request is unknown; ``diff`` found a difference."""

    USAGE = 2
    """The command line is invalid, or a file named on it is unreadable."""

    LOST = 3
    """Another submission replaced the base revision first."""

    UNREACHABLE = 4
    """The node or the log was unreachable; nothing was submitted."""

    UNKNOWN = 5
    """The submission may take effect; run the same command again to find out."""

    NOT_EVERYWHERE = 6
    """Accepted, but some live nodes did not confirm the revision in time."""

    UNAUTHORISED = 7
    """The node rejected the operators' key."""
