"""Adapter of the platform: settings, store, headers and orders to engines."""
