"""Keyed records of the platform's store, cached by every node."""
