"""What became of a submission."""

from __future__ import annotations

from enum import StrEnum

import attrs

from crocuswick.configuration.checks import Fault

__all__ = ["Verdict", "VerdictKind"]


class VerdictKind(StrEnum):
    """The ways a submission can end."""

    ACCEPTED = "accepted"
    """The submission made a revision."""

    UNCHANGED = "unchanged"
    """The submission equals the revision that it was based on."""

    LOST = "lost"
    """Another submission had changed the revision that it was based on."""

    FAULTY = "faulty"
    """The set has faults."""


@attrs.frozen(kw_only=True)
class Verdict:
    """The verdict on one submission; the same at every node."""

    submission_id: str
    """Id of the submission."""

    kind: VerdictKind
    """How the submission ended."""

    revision: int
    """Revision in force after the submission was looked at."""

    lost_to: str = ""
    """Id of the submission that made the revision in force, for `LOST`."""

    lost_to_author: str = ""
    """Who submitted that one, as far as it said."""

    faults: tuple[Fault, ...] = ()
    """Every fault, for `FAULTY`."""
