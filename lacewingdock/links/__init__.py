"""Support for persistent connections (links) between daemons."""
