"""Relays any caller's request to a replica of the service that its route names."""
