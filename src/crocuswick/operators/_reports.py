"""Reports of the results of commands, as human-readable text or as JSON."""

from __future__ import annotations

import json
from typing import Any

import attrs

from crocuswick.configuration import (
    Change,
    Configuration,
    to_record,
)
from crocuswick.operators._admin_client import AdminClient, AdminError, AdminResponse
from crocuswick.operators._output import Output
from crocuswick.operators.exit_code import ExitCode
from crocuswick.outcome import Outcome

__all__ = [
    "Context",
    "print_change",
    "print_configuration",
    "report_accepted",
    "report_no_response",
    "report_problem",
    "report_rejection",
]


@attrs.frozen(kw_only=True)
class Context:
    """Client, output and options of a command."""

    client: AdminClient
    """Client of the node."""

    output: Output
    """Output of the command."""

    wait_s: float
    """Maximum time to wait for nodes to confirm a revision, in seconds."""

    picture_file: str = ""
    """File for an HTML page with a picture of the events, empty for none."""

    log_files: tuple[str, ...] = ()
    """Log files of nodes; ``-`` is standard input."""


def report_accepted(
    context: Context, verdict: dict[str, Any], unconfirmed: list[str]
) -> None:
    """Report that a set is in force, and which nodes have not confirmed it."""
    output = context.output
    if output.is_json:
        output.json({"verdict": verdict, "unconfirmed_nodes": unconfirmed})
        return
    revision = verdict["revision"]
    if verdict["kind"] == "unchanged":
        output.line(f"No change; revision {revision} is in force.")
    else:
        output.line(f"Accepted as revision {revision}.", style="green")
    if unconfirmed:
        output.error(f"Not confirmed in time by {', '.join(unconfirmed)}.")
    elif context.wait_s:
        output.line("In force on all live nodes.")


def report_rejection(context: Context, verdict: dict[str, Any]) -> ExitCode:
    """Report why a set was rejected, and return the exit code."""
    output = context.output
    if output.is_json:
        output.json({"verdict": verdict})
    if verdict["kind"] == "lost":
        author = verdict["lost_to_author"] or "unknown"
        output.error(
            f"Rejected: revision {verdict['revision']} is in force, made by {author} "
            f"(submission {verdict['lost_to'] or 'unknown'}). Review the difference, "
            f"set base_revision to {verdict['revision']} and apply again."
        )
        return ExitCode.LOST
    for fault in verdict["faults"]:
        output.error(f"{fault['object']}, {fault['field']}: {fault['message']}")
    return ExitCode.FAULTY


def report_no_response(context: Context, error: AdminError) -> ExitCode:
    """Report a call without a response, and return the exit code."""
    context.output.error(f"{error.detail} (outcome: {error.outcome})")
    if error.outcome is Outcome.NOT_RUN:
        return ExitCode.UNREACHABLE
    return ExitCode.UNKNOWN


def report_problem(context: Context, response: AdminResponse) -> ExitCode:
    """Report that a node refused a request, and return the exit code."""
    body = response.body
    if context.output.is_json:
        context.output.json(body)
    context.output.error(f"{body.get('title')}: {body.get('detail')}")
    for fault in body.get("faults", ()):
        context.output.error(f"{fault['object']}, {fault['field']}: {fault['message']}")
    if response.status == 401:
        return ExitCode.UNAUTHORISED
    if response.status != 503:
        return ExitCode.FAULTY
    is_not_run = body.get("outcome") == Outcome.NOT_RUN
    return ExitCode.UNREACHABLE if is_not_run else ExitCode.UNKNOWN


def print_configuration(body: dict[str, Any]) -> None:
    """Print a configuration in the format of a set file."""
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
