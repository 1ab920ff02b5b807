"""Support for routing requests to model versions and plain services."""

from lacewingdock import const

__version__ = const.VERSION
