"""Gossip between the nodes of a fleet: records, load and replica state."""
