"""A claims table of a fleet, as the platform's store would keep it."""

from lacewingdock.components.poison_requests.trials import TrialClaim


class Claims:
    """Grants each trial of a hold once.

    Attributes:
        trials: Number of the latest trial of each hold.
        is_away: Whether the table can't be reached.
    """

    def __init__(self):
        self.trials = {}
        self.is_away = False

    def claim(self, hold, known_trials):
        """Claim the next trial of a hold, as `TrialClaims.claim` does."""
        if self.is_away:
            return None
        latest = self.trials.get(hold, 0)
        if latest > known_trials:
            return TrialClaim(False, latest)
        self.trials[hold] = known_trials + 1
        return TrialClaim(True, known_trials + 1)
