"""Tools that speak to the platform's own bench; a tool for people."""
