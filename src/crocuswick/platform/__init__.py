"""Adapter of the platform: its settings, store, headers and engines' orders."""
