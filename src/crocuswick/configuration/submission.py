"""Submissions: a change to a base revision, stored as one log record."""

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
    "submission_from_record",
    "submission_to_record",
    "unchanged_objects",
]


@attrs.frozen(kw_only=True)
class ObjectName:
    """Kind and id that identify an object."""

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
    """New objects, in plain form."""

    changed: tuple[dict[str, Any], ...] = ()
    """Objects that replace one of the same kind and id, in plain form."""

    removed: tuple[ObjectName, ...] = ()
    """Names of removed objects."""

    @property
    def is_empty(self) -> bool:
        """Whether there is no difference."""
        return not (self.added or self.changed or self.removed)


@attrs.frozen(kw_only=True)
class Submission:
    """An operator's request to change the configuration."""

    submission_id: str
    """Id chosen by the submitter; a repeat with the same id has no effect."""

    base_revision: int
    """Revision that the change is based on."""

    author: str = ""
    """Name of the submitter, or an empty string if none is given."""

    put: tuple[dict[str, Any], ...] = ()
    """Objects to add or replace, in plain form."""

    removed: tuple[ObjectName, ...] = ()
    """Names of the objects to remove."""


def change_between(base: Configuration, wanted: ObjectSet) -> Change:
    """Return the difference between a revision and a set.

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


def unchanged_objects(
    base: Configuration, submission: Submission
) -> list[ConfigurationObject]:
    """Return the objects of a revision that a submission leaves unchanged.

    Args:
        base: The revision that the submission is based on.
        submission: The submission.
    """
    changed_names = set(submission.removed)
    for record in submission.put:
        changed_names.add(
            ObjectName(kind=str(record.get("kind")), id=str(record.get("id")))
        )
    return [item for item in base.objects() if _name_of(item) not in changed_names]


def submission_to_record(submission: Submission) -> dict[str, Any]:
    """Return the log record of a submission."""
    return {
        "submission_id": submission.submission_id,
        "base_revision": submission.base_revision,
        "author": submission.author,
        "put": list(submission.put),
        "removed": [attrs.asdict(name) for name in submission.removed],
    }


def submission_from_record(record: Any) -> Submission | None:
    """Decode a submission, or return None if the record is not a valid one."""
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
