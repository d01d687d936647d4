"""Small stand-ins for the outside systems, one module each."""
