"""Keyed records of the platform's store, mirrored by every node."""
