"""``crocuswickctl``, the operators' command-line tool."""

from __future__ import annotations

import sys
from pathlib import Path

from absl import app, flags

from crocuswick.operators._admin_client import AdminClient
from crocuswick.operators._commands import COMMANDS_BY_NAME, Command
from crocuswick.operators._output import Output
from crocuswick.operators._reports import Context
from crocuswick.operators.exit_code import ExitCode

__all__ = ["main"]

_JSON = flags.DEFINE_boolean("json", False, "Print JSON for programs.")
_NODE = flags.DEFINE_string(
    "node", "127.0.0.1:8081", "Operators' port of any node, as host:port."
)
_KEY_FILE = flags.DEFINE_string("key_file", "", "File with the operators' key.")
_WAIT_S = flags.DEFINE_float(
    "wait_s",
    10.0,
    "Longest time that apply waits for all nodes, in seconds; 0: do not wait.",
)
_LOGS = flags.DEFINE_multi_string(
    "log",
    [],
    "Log file of nodes, - for standard input; explain then needs no node.",
)
_PICTURE = flags.DEFINE_string(
    "picture",
    "",
    "File to which timeline and explain write an HTML page with a picture.",
)

EXAMPLES = """\
Examples:
  crocuswickctl check samples/swanfold.jsonc
  crocuswickctl --node=10.0.0.7:8081 --key_file=operator.key diff new.jsonc
  crocuswickctl --node=10.0.0.7:8081 --key_file=operator.key apply new.jsonc
  crocuswickctl --node=10.0.0.7:8081 --key_file=operator.key --json nodes
  crocuswickctl --node=10.0.0.7:8081 --key_file=operator.key \\
      --picture=timeline.html timeline
  crocuswickctl --log=node-1.log --log=node-2.log explain 5a1e0b7c9d3f2468
"""


def main() -> None:
    """Run the tool and exit with an `ExitCode`."""
    app.run(_run, flags_parser=_parse_flags)


def _parse_flags(argv: list[str]) -> list[str]:
    if any(argument in ("-h", "--help", "-help") for argument in argv[1:]):
        print(_help_text())
        sys.exit(ExitCode.OK)
    try:
        return flags.FLAGS(argv)
    except flags.Error as error:
        _fail_usage(str(error))


def _run(argv: list[str]) -> int:
    command = _command_of(argv)
    output = Output(is_json=_JSON.value)
    client = AdminClient(node=_NODE.value, secret=_read_secret(command))
    context = Context(
        client=client,
        output=output,
        wait_s=_WAIT_S.value,
        picture_file=_PICTURE.value,
        log_files=tuple(_LOGS.value),
    )
    argument = argv[2] if command.argument else ""
    return command.run(context, argument)


def _command_of(argv: list[str]) -> Command:
    if len(argv) < 2:
        _fail_usage("no command given")
    command = COMMANDS_BY_NAME.get(argv[1])
    if command is None:
        _fail_usage(f"unknown command {argv[1]!r}")
    expected_length = 3 if command.argument else 2
    if len(argv) != expected_length:
        _fail_usage(f"usage: crocuswickctl {command.name} {command.argument}")
    return command


def _read_secret(command: Command) -> str:
    if not command.needs_node or _LOGS.value:
        return ""
    if not _KEY_FILE.value:
        _fail_usage("--key_file is missing")
    try:
        return Path(_KEY_FILE.value).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        _fail_usage(str(error))


def _fail_usage(message: str) -> None:
    print(message, file=sys.stderr)
    print("crocuswickctl --help shows the commands.", file=sys.stderr)
    sys.exit(ExitCode.USAGE)


def _help_text() -> str:
    lines = ["usage: crocuswickctl [flags] COMMAND [ARGUMENT]", "", "Commands:"]
    for command in COMMANDS_BY_NAME.values():
        usage = f"{command.name} {command.argument}".strip()
        lines.append(f"  {usage:<22}{command.summary}")
    lines += ["", "Flags:"]
    for flag in (_NODE, _KEY_FILE, _JSON, _WAIT_S, _LOGS, _PICTURE):
        lines.append(f"  --{flag.name:<20}{flags.FLAGS[flag.name].help}")
    lines += ["", "Exit codes:"]
    lines += [f"  {code.value}  {code.name.lower()}" for code in ExitCode]
    return "\n".join([*lines, "", EXAMPLES])


if __name__ == "__main__":
    main()
