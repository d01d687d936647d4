"""Submissions: the change from a base revision to a set, as one log record."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from crocuswick.configuration.objects import ConfigurationObject, to_record

if TYPE_CHECKING:
    from crocuswick.configuration.checks import ObjectSet
    from crocuswick.configuration.model import Configuration

__all__ = [
    "Change",
    "ObjectName",
    "Submission",
    "change_between",
    "kept_objects",
    "submission_from_record",
    "submission_to_record",
]


@attrs.frozen(kw_only=True)
class ObjectName:
    """Names one object."""

    kind: str
    """Kind of the object."""

    id: str
    """Id of the object."""

    def __str__(self) -> str:
        return f"{self.kind} {self.id}"


@attrs.frozen(kw_only=True)
class Change:
    """The difference between two revisions."""

    added: tuple[dict[str, Any], ...] = ()
    """Objects that are new, in their plain form."""

    changed: tuple[dict[str, Any], ...] = ()
    """Objects that replace one of the same name, in their plain form."""

    removed: tuple[ObjectName, ...] = ()
    """Objects that are no longer there."""

    @property
    def is_empty(self) -> bool:
        """Whether there is no difference."""
        return not (self.added or self.changed or self.removed)


@attrs.frozen(kw_only=True)
class Submission:
    """One operator's wish to change the configuration."""

    submission_id: str
    """Id that the submitter chose; a repeat with the same id has no effect."""

    base_revision: int
    """Revision that the change was written against."""

    author: str = ""
    """Who submits, as far as the submitter said."""

    put: tuple[dict[str, Any], ...] = ()
    """Objects to add or replace, in their plain form."""

    removed: tuple[ObjectName, ...] = ()
    """Objects to remove."""


def change_between(base: Configuration, wanted: ObjectSet) -> Change:
    """Return what has to change for a revision to become a set.

    Args:
        base: The revision.
        wanted: The set.
    """
    old_by_name = {_name_of(item): item for item in base.objects()}
    new_by_name = {_name_of(item): item for item in wanted.objects}
    return Change(
        added=tuple(
            to_record(item)
            for name, item in new_by_name.items()
            if name not in old_by_name
        ),
        changed=tuple(
            to_record(item)
            for name, item in new_by_name.items()
            if name in old_by_name and old_by_name[name] != item
        ),
        removed=tuple(name for name in old_by_name if name not in new_by_name),
    )


def kept_objects(
    base: Configuration, submission: Submission
) -> list[ConfigurationObject]:
    """Return the objects of a revision that a submission leaves as they are.

    Args:
        base: The revision that the submission is based on.
        submission: The submission.
    """
    touched = set(submission.removed)
    for record in submission.put:
        touched.add(ObjectName(kind=str(record.get("kind")), id=str(record.get("id"))))
    return [item for item in base.objects() if _name_of(item) not in touched]


def submission_to_record(submission: Submission) -> dict[str, Any]:
    """Return the plain form of a submission, for the log."""
    return {
        "submission_id": submission.submission_id,
        "base_revision": submission.base_revision,
        "author": submission.author,
        "put": list(submission.put),
        "removed": [attrs.asdict(name) for name in submission.removed],
    }


def submission_from_record(record: Any) -> Submission | None:
    """Read a submission, or return None if the record is none."""
    if not isinstance(record, dict):
        return None
    submission_id = record.get("submission_id")
    base_revision = record.get("base_revision")
    put = record.get("put", [])
    removed = record.get("removed", [])
    if not (isinstance(submission_id, str) and type(base_revision) is int):
        return None
    if not (_are_dicts(put) and _are_dicts(removed)):
        return None
    return Submission(
        submission_id=submission_id,
        base_revision=base_revision,
        author=str(record.get("author", "")),
        put=tuple(put),
        removed=tuple(
            ObjectName(kind=str(name.get("kind")), id=str(name.get("id")))
            for name in removed
        ),
    )


def _are_dicts(values: Any) -> bool:
    return isinstance(values, list) and all(isinstance(each, dict) for each in values)


def _name_of(item: ConfigurationObject) -> ObjectName:
    return ObjectName(kind=item.kind_name, id=item.id)
