"""Support for generated requests of the cascade benchmark.

Assumptions: a request belongs to one of six classes; at each step its
answer is good with a chance that depends on class and step, and an answer
that is good at a cheap step is good at a dearer one in most cases. A verdict
is a noisy score of the answer (two overlapping beta distributions). A rating
is the truth of one answer, sampled and late. At half of the run the cheap
step becomes worse for two classes and better for one.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

PRICES: Final = [0.3, 1.0, 3.0]
CLASSES: Final = {
    "slot-offer": (0.30, [0.93, 0.96, 0.99]),
    "note-tags": (0.25, [0.97, 0.98, 0.99]),
    "quote-draft": (0.15, [0.60, 0.85, 0.98]),
    "layout": (0.10, [0.40, 0.70, 0.97]),
    "route-plan": (0.12, [0.25, 0.55, 0.97]),
    "site-advice": (0.08, [0.75, 0.90, 0.98]),
}
DRIFT: Final = {"slot-offer": 0.70, "quote-draft": 0.35, "route-plan": 0.55}
GOOD_SCORE: Final = (8.0, 2.0)
POOR_SCORE: Final = (2.5, 4.0)


@dataclass(slots=True)
class Generated:
    """A request with the truth that no policy sees.

    Attributes:
        name: Its class.
        good: Whether each step's answer is good.
        scores: The verdict on each step's answer.
        costs: What each step costs.
    """

    name: str
    good: list[bool]
    scores: list[float]
    costs: list[float]


def generate(seed: int, count: int) -> Iterator[Generated]:
    """Yield requests, with the drift at half of them."""
    source = random.Random(seed)
    names = list(CLASSES)
    weights = [CLASSES[name][0] for name in names]
    for index in range(count):
        name = source.choices(names, weights)[0]
        chances = list(CLASSES[name][1])
        if index >= count // 2 and name in DRIFT:
            chances[0] = DRIFT[name]
        yield _request(source, name, chances)


def _request(
    source: random.Random, name: str, chances: list[float]
) -> Generated:
    difficulty = source.random()
    good = [difficulty < chance for chance in chances]
    # A few cheap answers are good where the dear one is not.
    good = [g ^ (source.random() < 0.01) for g in good]
    scores = [
        source.betavariate(*(GOOD_SCORE if g else POOR_SCORE)) for g in good
    ]
    size = source.lognormvariate(0.0, 0.5) / 1.133
    return Generated(name, good, scores, [price * size for price in PRICES])
