"""Support for stopping a bad version early without blaming healthy ones."""

from lacewingdock.components.exposure.judge import Judge, Verdict

__all__ = ["Judge", "Verdict"]
