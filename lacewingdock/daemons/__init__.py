"""Support for the daemons."""
