"""Stand-ins for external systems, each a process of its own."""
