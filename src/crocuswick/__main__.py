"""Entry point of ``crocuswickd`` and ``python3 -m crocuswick``.

Without arguments, if the platform provides a settings file, it runs a fleet node on
that platform. Otherwise it runs the daemon with its own settings file.
"""

from __future__ import annotations

import sys

from crocuswick.platform.settings_file import has_settings

__all__ = ["main"]


def main() -> None:
    """Run ``crocuswickd``."""
    # Import only the modules of the mode in use, to keep a node's memory small.
    if len(sys.argv) == 1 and has_settings():
        from crocuswick.platform.main import run_fleet_node  # noqa: PLC0415

        sys.exit(run_fleet_node())
    from crocuswick import daemon  # noqa: PLC0415

    daemon.main()


if __name__ == "__main__":
    main()
