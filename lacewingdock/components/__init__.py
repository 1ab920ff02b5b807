"""Components, a folder per domain, that the daemons are built from."""
