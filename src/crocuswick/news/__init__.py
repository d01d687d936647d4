"""News between the nodes of a fleet: records, load and what replicas do."""
