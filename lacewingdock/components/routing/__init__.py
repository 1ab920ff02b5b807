"""Support for choosing the version and the upstream of a request."""

from lacewingdock.components.routing.choice import choose_upstream
from lacewingdock.components.routing.plan import VersionPlan, plan_request

__all__ = ["VersionPlan", "choose_upstream", "plan_request"]
