"""Fakes: programs that take the place of external systems in tests.

Each fake runs in its own process and can inject faults.
"""
