"""Reports of crashes that routers exchange."""

from dataclasses import dataclass, field

# Names of the instances that lost a request with a trait, by the trait.
Losses = dict[str, list[str]]


@dataclass(slots=True)
class CrashReport:
    """What one router knows of traits whose requests were lost.

    Attributes:
        losses: The crashed instances that lost requests of this router, by
            trait.
        recurrent: Traits whose losses recurred at this router.
        cleared: Instances whose loss does not count against a trait, since a
            request with it was answered at this router, by trait.
    """

    losses: Losses = field(default_factory=dict)
    recurrent: list[str] = field(default_factory=list)
    cleared: Losses = field(default_factory=dict)
