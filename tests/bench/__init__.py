"""Placement benchmark: a discrete-event simulation in virtual time."""
