"""Support for metrics of the daemons and one log line for each request."""

from lacewingdock.components.metrics.entry import EntryMetrics
from lacewingdock.components.metrics.entry import setup as setup_entry
from lacewingdock.components.metrics.sidecar import SidecarMetrics
from lacewingdock.components.metrics.sidecar import setup as setup_sidecar

__all__ = ["EntryMetrics", "SidecarMetrics", "setup_entry", "setup_sidecar"]
