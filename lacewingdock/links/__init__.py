"""Support for links between daemons."""
