"""Stand-ins of review cases 11 to 15: the platform, replicas, callers and nodes."""
