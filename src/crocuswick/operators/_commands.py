"""The commands of ``crocuswickctl``."""

from __future__ import annotations

import getpass
import hashlib
import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

from crocuswick import jsonc
from crocuswick.configuration import (
    Configuration,
    ObjectSet,
    check_objects,
    parse_set,
    to_record,
)
from crocuswick.configuration.submission import change_between
from crocuswick.operators._log_explain import explain_from_logs
from crocuswick.operators._reports import (
    Context,
    print_change,
    print_configuration,
    report_accepted,
    report_no_response,
    report_problem,
    report_rejection,
)
from crocuswick.operators.exit_code import ExitCode
from crocuswick.time_line import decode_event
from crocuswick.time_line_merge import merge_events
from crocuswick.time_line_render import render_json, render_page, render_text

__all__ = ["COMMANDS_BY_NAME", "Command", "submission_id_of"]

POLL_INTERVAL_S = 0.1
NODE_COLUMNS = (
    "node_id",
    "zone",
    "phase",
    "liveness",
    "configuration_revision",
    "age_ms",
)
ENDPOINT_COLUMNS = (
    "id",
    "zone",
    "pool",
    "state",
    "is_leaving",
    "running",
    "queued",
    "sent",
    "indexed_blocks",
    "index_in_sync",
)


@attrs.frozen(kw_only=True)
class Command:
    """A command of ``crocuswickctl``."""

    name: str
    """Name on the command line."""

    argument: str
    """Name of its argument, empty if it takes none."""

    summary: str
    """One-line description for the help text."""

    run: Callable[[Context, str], ExitCode]
    """Runs the command with its argument."""

    needs_node: bool = True
    """Whether the command sends requests to a node."""


COMMANDS_BY_NAME: dict[str, Command] = {}
"""All commands, registered by `_command`."""


def _command(
    name: str, *, argument: str = "", needs_node: bool = True
) -> Callable[[Callable[[Context, str], ExitCode]], Callable]:
    def register(run: Callable[[Context, str], ExitCode]) -> Callable:
        COMMANDS_BY_NAME[name] = Command(
            name=name,
            argument=argument,
            summary=(run.__doc__ or "").split("\n", 1)[0],
            run=run,
            needs_node=needs_node,
        )
        return run

    return register


@_command("apply", argument="FILE")
def apply(context: Context, path: str) -> ExitCode:
    """Submit a set of objects and wait until it is in force on all nodes."""
    parsed = _read_set_file(context, path)
    if parsed.is_err():
        return parsed.unwrap_err()
    body = _submission_body(parsed.unwrap())
    result = context.client.post("configuration", body)
    if result.is_err():
        return report_no_response(context, result.unwrap_err())
    response = result.unwrap()
    if "verdict" not in response.body:
        return report_problem(context, response)
    verdict = response.body["verdict"]
    if response.status != 200:
        return report_rejection(context, verdict)
    unconfirmed = _wait_for_nodes(context, verdict["revision"])
    report_accepted(context, verdict, unconfirmed)
    return ExitCode.NOT_EVERYWHERE if unconfirmed else ExitCode.OK


@_command("recover", argument="FILE")
def recover(context: Context, path: str) -> ExitCode:
    """Start a new history from a saved set when no node knows a configuration."""
    parsed = _read_set_file(context, path)
    if parsed.is_err():
        return parsed.unwrap_err()
    result = context.client.post("recovery", _submission_body(parsed.unwrap()))
    if result.is_err():
        return report_no_response(context, result.unwrap_err())
    response = result.unwrap()
    if response.status != 200:
        return report_problem(context, response)
    if context.output.is_json:
        context.output.json(response.body)
    else:
        context.output.line(f"Revision {response.body['revision']} is in force.")
    return ExitCode.OK


@_command("get")
def get(context: Context, _argument: str) -> ExitCode:
    """Print the configuration in force, in the format of a set file."""
    return _show(context, "configuration", print_configuration)


@_command("diff", argument="FILE")
def diff(context: Context, path: str) -> ExitCode:
    """Show the changes that applying a set would make."""
    parsed = _read_set_file(context, path)
    if parsed.is_err():
        return parsed.unwrap_err()
    result = context.client.get("configuration")
    if result.is_err():
        return report_no_response(context, result.unwrap_err())
    response = result.unwrap()
    if response.status != 200:
        return report_problem(context, response)
    current = Configuration.from_objects(
        revision=response.body["revision"],
        objects=check_objects(response.body["objects"]).unwrap(),
    )
    change = change_between(current, parsed.unwrap())
    print_change(context, current, change)
    return ExitCode.OK if change.is_empty else ExitCode.FAULTY


@_command("check", argument="FILE", needs_node=False)
def check(context: Context, path: str) -> ExitCode:
    """Check a set file without submitting it."""
    parsed = _read_set_file(context, path)
    if parsed.is_err():
        return parsed.unwrap_err()
    count = len(parsed.unwrap().objects)
    if context.output.is_json:
        context.output.json({"faults": [], "objects": count})
    else:
        context.output.line(f"{path}: {count} objects, no faults")
    return ExitCode.OK


@_command("nodes")
def nodes(context: Context, _argument: str) -> ExitCode:
    """List the nodes as known to the queried node."""
    return _show(
        context,
        "nodes",
        lambda body: context.output.table(NODE_COLUMNS, body["nodes"]),
    )


@_command("endpoints")
def endpoints(context: Context, _argument: str) -> ExitCode:
    """List the endpoints as known to the queried node."""
    return _show(
        context,
        "endpoints",
        lambda body: context.output.table(ENDPOINT_COLUMNS, body["endpoints"]),
    )


@_command("explain", argument="REQUEST_ID")
def explain(context: Context, request_id: str) -> ExitCode:
    """Show the events of a request, from a node or from log files."""
    if context.log_files:
        return explain_from_logs(context, request_id)
    return _show_events(context, f"requests/{request_id}", title=request_id)


@_command("timeline")
def timeline(context: Context, _argument: str) -> ExitCode:
    """Show the merged events of all nodes."""
    return _show_events(context, "timeline", title="Time line")


@_command("drain")
def drain(context: Context, _argument: str) -> ExitCode:
    """Take the queried node out of service; requests in flight finish."""
    result = context.client.post("drain", {})
    if result.is_err():
        return report_no_response(context, result.unwrap_err())
    if result.unwrap().status != 200:
        return report_problem(context, result.unwrap())
    if context.output.is_json:
        context.output.json(result.unwrap().body)
    else:
        context.output.line("The node is draining.")
    return ExitCode.OK


def submission_id_of(object_set: ObjectSet) -> str:
    """Return the submission id of a set.

    The id is derived from the content, so that applying the same file again after a
    lost response repeats the submission instead of creating another one.
    """
    content = {
        "base_revision": object_set.base_revision,
        "objects": [to_record(item) for item in object_set.objects],
    }
    text = json.dumps(content, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _submission_body(object_set: ObjectSet) -> dict[str, Any]:
    return {
        "submission_id": submission_id_of(object_set),
        "author": getpass.getuser(),
        "base_revision": object_set.base_revision,
        "objects": [to_record(item) for item in object_set.objects],
    }


def _read_set_file(context: Context, path: str) -> Result[ObjectSet, ExitCode]:
    output = context.output
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        output.error(f"{path}: {error}")
        return Err(ExitCode.USAGE)
    document = jsonc.parse(text)
    if document.is_err():
        output.error(f"{path}: {document.unwrap_err()}")
        return Err(ExitCode.FAULTY)
    checked = parse_set(document.unwrap())
    if checked.is_ok():
        return Ok(checked.unwrap())
    faults = checked.unwrap_err()
    if output.is_json:
        output.json({"faults": [attrs.asdict(fault) for fault in faults]})
    for fault in faults:
        output.error(f"{path}: {fault}")
    output.error(f"{path}: {len(faults)} faults, nothing was submitted")
    return Err(ExitCode.FAULTY)


def _wait_for_nodes(context: Context, revision: int) -> list[str]:
    """Wait until live nodes confirm a revision; return the ids of those that did not."""
    deadline_s = time.monotonic() + context.wait_s
    with context.output.progress(f"waiting for revision {revision}") as update:
        while True:
            unconfirmed = _unconfirmed_nodes(context, revision)
            if not unconfirmed or time.monotonic() >= deadline_s:
                return unconfirmed
            update(f"waiting for revision {revision} at {', '.join(unconfirmed)}")
            time.sleep(POLL_INTERVAL_S)


def _unconfirmed_nodes(context: Context, revision: int) -> list[str]:
    result = context.client.get("nodes")
    if result.is_err() or result.unwrap().status != 200:
        return ["unknown nodes"]
    return [
        node["node_id"]
        for node in result.unwrap().body["nodes"]
        if node["liveness"] == "live" and node["configuration_revision"] < revision
    ]


def _show(
    context: Context, path: str, print_body: Callable[[dict[str, Any]], None]
) -> ExitCode:
    result = context.client.get(path)
    if result.is_err():
        return report_no_response(context, result.unwrap_err())
    response = result.unwrap()
    if response.status != 200:
        return report_problem(context, response)
    if context.output.is_json:
        context.output.json(response.body)
    else:
        print_body(response.body)
    return ExitCode.OK


def _show_events(context: Context, path: str, *, title: str) -> ExitCode:
    """Print merged events; also write them as a page if a picture file is given."""
    result = context.client.get(path)
    if result.is_err():
        return report_no_response(context, result.unwrap_err())
    response = result.unwrap()
    if response.status != 200:
        return report_problem(context, response)
    merged = merge_events(decode_event(event) for event in response.body["events"])
    if context.picture_file:
        Path(context.picture_file).write_text(render_page(merged, title=title))
    if context.output.is_json:
        print(render_json(merged))
    else:
        print(render_text(merged))
    return ExitCode.OK
