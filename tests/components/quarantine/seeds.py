"""Seeds of the randomised tests."""

import os

VARIABLE = "TEST_PAUSE_SEEDS"


def seeds(usual):
    """Return the seeds set in the environment, or the usual ones.

    Args:
        usual: First and last seed, as "0-7".
    """
    first, _, last = os.environ.get(VARIABLE, usual).partition("-")
    return range(int(first), int(last or first) + 1)
