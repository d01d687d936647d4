"""Relaying of callers' requests to replicas of the services that their routes name."""
