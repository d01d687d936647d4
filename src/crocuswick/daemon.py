"""``crocuswickd``: the daemon that runs on each entry VM."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

import cherrypy
import logbook
from absl import app, flags

from crocuswick.node import Node
from crocuswick.settings import load_settings

__all__ = ["main"]

SETTINGS_FLAG = flags.DEFINE_string(
    "settings", None, "Settings file in JSON with comments.", required=True
)
CHECK_FLAG = flags.DEFINE_bool(
    "check", False, "Check the settings, print all faults and exit."
)

EXIT_BAD_SETTINGS = 2


def run(arguments: list[str]) -> int:
    """Load the settings and run the daemon until it has shut down.

    Args:
        arguments: Program name and positional arguments, without flags.

    Returns:
        Exit code: 0 after a shutdown, 2 for bad settings.
    """
    if len(arguments) > 1:
        print(f"unexpected argument: {arguments[1]}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    loaded = load_settings(Path(SETTINGS_FLAG.value))
    if loaded.is_err():
        for fault in loaded.err_value:
            print(f"{SETTINGS_FLAG.value}: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if CHECK_FLAG.value:
        print(f"{SETTINGS_FLAG.value}: ok")
        return 0
    settings = loaded.ok_value
    cherrypy.config.update({"log.screen": False, "environment": "embedded"})
    level = logbook.lookup_level(settings.log_level.upper())
    logbook.StreamHandler(sys.stderr, level=level).push_application()
    node = Node(settings=settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: node.application.shut_down())
    signal.signal(signal.SIGHUP, lambda *_: node.application.reload())
    node.run()
    return 0


def main() -> None:
    """Run ``crocuswickd``."""
    app.run(run)


if __name__ == "__main__":
    main()
