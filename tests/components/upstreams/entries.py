"""Entries of upstream instances for tests."""

from lacewingdock.world.backend import UpstreamEntry


def entry(name, **changes):
    """Return the entry of an instance of the service `svc`."""
    fields = {
        "id": name,
        "service": "svc",
        "host": "10.0.0.1",
        "port": 80,
        "failure_domain": "a",
        "version": "v1",
        "slots": 4,
        **changes,
    }
    return UpstreamEntry(**fields)
