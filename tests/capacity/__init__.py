"""Measurements of the unit costs on which ``docs/CAPACITY.md`` is based."""
