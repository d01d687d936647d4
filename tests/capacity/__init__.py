"""Measurements of unit costs, from which ``docs/CAPACITY.md`` derives its limits."""
