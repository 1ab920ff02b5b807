"""Support for the domains that daemons are put together from."""
