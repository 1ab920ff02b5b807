"""Seeds of tests that draw at random."""

import os

VARIABLE = "TEST_PAUSE_SEEDS"


def seeds(usual):
    """Return the seeds asked for by hand, or the usual ones.

    Args:
        usual: First and last seed, as "0-7".
    """
    first, _, last = os.environ.get(VARIABLE, usual).partition("-")
    return range(int(first), int(last or first) + 1)
