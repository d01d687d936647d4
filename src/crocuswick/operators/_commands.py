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
    report_no_answer,
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
    """One command."""

    name: str
    """Name on the command line."""

    argument: str
    """Name of its argument, or an empty string if it takes none."""

    summary: str
    """What it does, in a line."""

    run: Callable[[Context, str], ExitCode]
    """Runs the command with its argument."""

    needs_node: bool = True
    """Whether the command talks to a node."""


COMMANDS_BY_NAME: dict[str, Command] = {}
"""Every command, filled by `_command`."""


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
    """Submit a set of objects and wait until all nodes have it in force."""
    read = _read_set(context, path)
    if read.is_err():
        return read.unwrap_err()
    body = _submission_body(read.unwrap())
    answer = context.client.post("configuration", body)
    if answer.is_err():
        return report_no_answer(context, answer.unwrap_err())
    found = answer.unwrap()
    if "verdict" not in found.body:
        return report_problem(context, found)
    verdict = found.body["verdict"]
    if found.status != 200:
        return report_rejection(context, verdict)
    missing = _await_nodes(context, verdict["revision"])
    report_accepted(context, verdict, missing)
    return ExitCode.NOT_EVERYWHERE if missing else ExitCode.OK


@_command("recover", argument="FILE")
def recover(context: Context, path: str) -> ExitCode:
    """Begin anew from a kept set, when no node knows a configuration."""
    read = _read_set(context, path)
    if read.is_err():
        return read.unwrap_err()
    answer = context.client.post("recovery", _submission_body(read.unwrap()))
    if answer.is_err():
        return report_no_answer(context, answer.unwrap_err())
    found = answer.unwrap()
    if found.status != 200:
        return report_problem(context, found)
    if context.output.is_json:
        context.output.json(found.body)
    else:
        context.output.line(f"Revision {found.body['revision']} is in force.")
    return ExitCode.OK


@_command("get")
def get(context: Context, _argument: str) -> ExitCode:
    """Print the configuration in force as a set file."""
    return _show(context, "configuration", print_configuration)


@_command("diff", argument="FILE")
def diff(context: Context, path: str) -> ExitCode:
    """Show what applying a set would change."""
    read = _read_set(context, path)
    if read.is_err():
        return read.unwrap_err()
    answer = context.client.get("configuration")
    if answer.is_err():
        return report_no_answer(context, answer.unwrap_err())
    found = answer.unwrap()
    if found.status != 200:
        return report_problem(context, found)
    current = Configuration.from_objects(
        revision=found.body["revision"],
        objects=check_objects(found.body["objects"]).unwrap(),
    )
    change = change_between(current, read.unwrap())
    print_change(context, current, change)
    return ExitCode.OK if change.is_empty else ExitCode.FAULTY


@_command("check", argument="FILE", needs_node=False)
def check(context: Context, path: str) -> ExitCode:
    """Check a set file without submitting it."""
    read = _read_set(context, path)
    if read.is_err():
        return read.unwrap_err()
    count = len(read.unwrap().objects)
    if context.output.is_json:
        context.output.json({"faults": [], "objects": count})
    else:
        context.output.line(f"{path}: {count} objects, no faults")
    return ExitCode.OK


@_command("nodes")
def nodes(context: Context, _argument: str) -> ExitCode:
    """List the nodes as the asked node sees them."""
    return _show(
        context,
        "nodes",
        lambda body: context.output.table(NODE_COLUMNS, body["nodes"]),
    )


@_command("endpoints")
def endpoints(context: Context, _argument: str) -> ExitCode:
    """List the endpoints as the asked node sees them."""
    return _show(
        context,
        "endpoints",
        lambda body: context.output.table(ENDPOINT_COLUMNS, body["endpoints"]),
    )


@_command("explain", argument="REQUEST_ID")
def explain(context: Context, request_id: str) -> ExitCode:
    """Show what happened to one request, from a node or from logs."""
    if context.log_files:
        return explain_from_logs(context, request_id)
    return _show_events(context, f"requests/{request_id}", title=request_id)


@_command("timeline")
def timeline(context: Context, _argument: str) -> ExitCode:
    """Show the events of all nodes, merged."""
    return _show_events(context, "timeline", title="Time line")


@_command("drain")
def drain(context: Context, _argument: str) -> ExitCode:
    """Take the asked node out of service; what is in flight finishes."""
    answer = context.client.post("drain", {})
    if answer.is_err():
        return report_no_answer(context, answer.unwrap_err())
    if answer.unwrap().status != 200:
        return report_problem(context, answer.unwrap())
    if context.output.is_json:
        context.output.json(answer.unwrap().body)
    else:
        context.output.line("The node drains.")
    return ExitCode.OK


def submission_id_of(wanted: ObjectSet) -> str:
    """Return the id of a set's submission.

    The id follows from the content, so that applying the same file again after a
    lost answer repeats the submission instead of making another one.
    """
    content = {
        "base_revision": wanted.base_revision,
        "objects": [to_record(item) for item in wanted.objects],
    }
    text = json.dumps(content, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _submission_body(wanted: ObjectSet) -> dict[str, Any]:
    return {
        "submission_id": submission_id_of(wanted),
        "author": getpass.getuser(),
        "base_revision": wanted.base_revision,
        "objects": [to_record(item) for item in wanted.objects],
    }


def _read_set(context: Context, path: str) -> Result[ObjectSet, ExitCode]:
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


def _await_nodes(context: Context, revision: int) -> list[str]:
    """Wait for live nodes to confirm a revision; return those that did not."""
    deadline_s = time.monotonic() + context.wait_s
    with context.output.progress(f"waiting for revision {revision}") as update:
        while True:
            missing = _nodes_without(context, revision)
            if not missing or time.monotonic() >= deadline_s:
                return missing
            update(f"waiting for revision {revision} at {', '.join(missing)}")
            time.sleep(POLL_INTERVAL_S)


def _nodes_without(context: Context, revision: int) -> list[str]:
    answer = context.client.get("nodes")
    if answer.is_err() or answer.unwrap().status != 200:
        return ["unknown nodes"]
    return [
        node["node_id"]
        for node in answer.unwrap().body["nodes"]
        if node["liveness"] == "live" and node["configuration_revision"] < revision
    ]


def _show(
    context: Context, path: str, print_body: Callable[[dict[str, Any]], None]
) -> ExitCode:
    answer = context.client.get(path)
    if answer.is_err():
        return report_no_answer(context, answer.unwrap_err())
    found = answer.unwrap()
    if found.status != 200:
        return report_problem(context, found)
    if context.output.is_json:
        context.output.json(found.body)
    else:
        print_body(found.body)
    return ExitCode.OK


def _show_events(context: Context, path: str, *, title: str) -> ExitCode:
    """Merge and show events; write them as a picture if a file is named."""
    answer = context.client.get(path)
    if answer.is_err():
        return report_no_answer(context, answer.unwrap_err())
    found = answer.unwrap()
    if found.status != 200:
        return report_problem(context, found)
    merged = merge_events(decode_event(event) for event in found.body["events"])
    if context.picture_file:
        Path(context.picture_file).write_text(render_page(merged, title=title))
    if context.output.is_json:
        print(render_json(merged))
    else:
        print(render_text(merged))
    return ExitCode.OK
