"""Protection of a router against more work than its process can do."""
