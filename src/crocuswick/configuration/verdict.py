"""The verdict on a submission."""

from __future__ import annotations

from enum import StrEnum

import attrs

from crocuswick.configuration.checks import Fault

__all__ = ["Verdict", "VerdictKind"]


class VerdictKind(StrEnum):
    """The possible verdicts on a submission."""

    ACCEPTED = "accepted"
    """The submission created a revision."""

    UNCHANGED = "unchanged"
    """The submission changes nothing in the revision that it is based on."""

    CONFLICT = "lost"
    """The submission conflicts with a newer revision than the one it is based on."""

    FAULTY = "faulty"
    """The resulting set has faults."""


@attrs.frozen(kw_only=True)
class Verdict:
    """The verdict on one submission; the same at every node."""

    submission_id: str
    """Id of the submission."""

    kind: VerdictKind
    """The verdict."""

    revision: int
    """Current revision after the submission was evaluated."""

    lost_to: str = ""
    """Id of the submission that created the current revision, for `CONFLICT`."""

    lost_to_author: str = ""
    """Author of that submission, or an empty string if it gave none."""

    faults: tuple[Fault, ...] = ()
    """All faults, for `FAULTY`."""
