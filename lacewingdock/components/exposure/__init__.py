"""Support for detecting a bad version early, with few false alarms."""

from lacewingdock.components.exposure.judge import Judge, Verdict

__all__ = ["Judge", "Verdict"]
