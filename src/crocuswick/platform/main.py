"""Runs a fleet node with the platform's settings file."""

from __future__ import annotations

import os
import signal
import sys

import logbook

from crocuswick.allocator_limits import limit_allocator
from crocuswick.fleet_node import FleetNode
from crocuswick.platform.adapter import fleet_platform
from crocuswick.platform.settings_file import load_fleet_settings, settings_path

__all__ = ["run_fleet_node"]

EXIT_BAD_SETTINGS = 2


def run_fleet_node() -> int:
    """Load the settings and run the node until it shuts down.

    Returns:
        Exit code: 0 after a shutdown, 2 for invalid settings.
    """
    path = settings_path()
    loaded = load_fleet_settings(path)
    if loaded.is_err():
        for fault in loaded.err_value:
            print(f"{path}: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logbook.StreamHandler(sys.stderr, level=logbook.INFO).push_application()
    settings = loaded.ok_value
    limit_allocator()
    node = FleetNode(
        settings=settings,
        platform=fleet_platform(settings),
        load_settings=lambda: load_fleet_settings(path),
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: node.application.request_shutdown())
    signal.signal(signal.SIGHUP, lambda *_: node.application.reload())
    node.run()
    sys.stdout.flush()
    # Threads that wait for an unresponsive peer would delay the exit.
    os._exit(0)
