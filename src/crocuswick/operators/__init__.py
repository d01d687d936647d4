"""HTTP port and command-line tool for operators."""

from __future__ import annotations

from crocuswick.operators.admin import AdminProviders, admin_application
from crocuswick.operators.exit_code import ExitCode

__all__ = ["AdminProviders", "ExitCode", "admin_application"]
