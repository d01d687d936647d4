"""Tells people and programs how a command ended."""

from __future__ import annotations

import json
from typing import Any

import attrs

from crocuswick.configuration import (
    Change,
    Configuration,
    to_record,
)
from crocuswick.operators._admin_client import AdminAnswer, AdminClient, AdminError
from crocuswick.operators._output import Output
from crocuswick.operators.exit_code import ExitCode
from crocuswick.outcome import Outcome

__all__ = [
    "Context",
    "print_change",
    "print_configuration",
    "report_accepted",
    "report_no_answer",
    "report_problem",
    "report_rejection",
]


@attrs.frozen(kw_only=True)
class Context:
    """What a command works with."""

    client: AdminClient
    """The node."""

    output: Output
    """Where results go."""

    wait_s: float
    """Longest wait for nodes to confirm a revision."""

    picture_file: str = ""
    """File to write events to as a page with a picture, or an empty string."""

    log_files: tuple[str, ...] = ()
    """Files with logs of nodes; ``-`` stands for standard input."""


def report_accepted(
    context: Context, verdict: dict[str, Any], missing: list[str]
) -> None:
    """Tell that a set is in force, and which nodes have not confirmed it."""
    output = context.output
    if output.is_json:
        output.json({"verdict": verdict, "unconfirmed_nodes": missing})
        return
    revision = verdict["revision"]
    if verdict["kind"] == "unchanged":
        output.line(f"Nothing to change; revision {revision} is in force.")
    else:
        output.line(f"Accepted as revision {revision}.", style="green")
    if missing:
        output.error(f"Not confirmed in time by {', '.join(missing)}.")
    elif context.wait_s:
        output.line("In force on all live nodes.")


def report_rejection(context: Context, verdict: dict[str, Any]) -> ExitCode:
    """Tell why a set was rejected, and return the exit code."""
    output = context.output
    if output.is_json:
        output.json({"verdict": verdict})
    if verdict["kind"] == "lost":
        author = verdict["lost_to_author"] or "unknown"
        output.error(
            f"Rejected: revision {verdict['revision']} is in force, made by {author} "
            f"(submission {verdict['lost_to'] or 'unknown'}). Look at the difference, "
            f"set base_revision to {verdict['revision']} and apply again."
        )
        return ExitCode.LOST
    for fault in verdict["faults"]:
        output.error(f"{fault['object']}, {fault['field']}: {fault['message']}")
    return ExitCode.FAULTY


def report_no_answer(context: Context, error: AdminError) -> ExitCode:
    """Tell that no answer came, and return the exit code."""
    context.output.error(f"{error.detail} (outcome: {error.outcome})")
    if error.outcome is Outcome.NOT_RUN:
        return ExitCode.UNREACHABLE
    return ExitCode.UNKNOWN


def report_problem(context: Context, answer: AdminAnswer) -> ExitCode:
    """Tell what a node refused, and return the exit code."""
    body = answer.body
    if context.output.is_json:
        context.output.json(body)
    context.output.error(f"{body.get('title')}: {body.get('detail')}")
    for fault in body.get("faults", ()):
        context.output.error(f"{fault['object']}, {fault['field']}: {fault['message']}")
    if answer.status == 401:
        return ExitCode.UNAUTHORISED
    if answer.status != 503:
        return ExitCode.FAULTY
    is_not_run = body.get("outcome") == Outcome.NOT_RUN
    return ExitCode.UNREACHABLE if is_not_run else ExitCode.UNKNOWN


def print_configuration(body: dict[str, Any]) -> None:
    """Print a configuration as a set file."""
    print("{")
    print(f'  "base_revision": {body["revision"]},')
    print('  "objects": [')
    lines = [f"    {json.dumps(item)}" for item in body["objects"]]
    print(",\n".join(lines))
    print("  ]")
    print("}")


def print_change(context: Context, current: Configuration, change: Change) -> None:
    """Print the difference between a revision and a set."""
    output = context.output
    if output.is_json:
        output.json(
            {
                "revision": current.revision,
                "added": change.added,
                "changed": change.changed,
                "removed": [attrs.asdict(name) for name in change.removed],
            }
        )
        return
    old_by_name = {
        (item.kind_name, item.id): to_record(item) for item in current.objects()
    }
    output.line(f"against revision {current.revision}:")
    for record in change.added:
        output.line(f"+ {record['kind']} {record['id']}", style="green")
    for name in change.removed:
        output.line(f"- {name}", style="red")
    for record in change.changed:
        output.line(f"~ {record['kind']} {record['id']}", style="yellow")
        old = old_by_name[(record["kind"], record["id"])]
        for field, value in record.items():
            if old[field] != value:
                output.line(f"    {field}: {old[field]} -> {value}")
    if change.is_empty:
        output.line("no difference")
