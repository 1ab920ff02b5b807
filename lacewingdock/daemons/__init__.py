"""The processes: entry, sidecars and router, and how each is set up."""
