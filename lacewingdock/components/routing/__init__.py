"""Support for choosing the version and the upstream of a request."""

from lacewingdock.components.routing.choice import choose_upstream
from lacewingdock.components.routing.plan import Plan, plan_request

__all__ = ["Plan", "choose_upstream", "plan_request"]
