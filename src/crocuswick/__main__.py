"""``crocuswickd``: the daemon that runs on every entry VM, also ``python3 -m crocuswick``.

Without arguments, where the platform names a settings file, it runs a node of a fleet on
that platform; otherwise it takes its own settings file.
"""

from __future__ import annotations

import sys

from crocuswick.platform.settings_file import has_settings

__all__ = ["main"]


def main() -> None:
    """Run the program; the entry point of ``crocuswickd``."""
    # Each form loads its own modules only, which keeps a node's memory small.
    if len(sys.argv) == 1 and has_settings():
        from crocuswick.platform.main import run_fleet_node  # noqa: PLC0415

        sys.exit(run_fleet_node())
    from crocuswick import daemon  # noqa: PLC0415

    daemon.main()


if __name__ == "__main__":
    main()
