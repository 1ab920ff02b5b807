"""Tests for the cascades' learning policy."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.cascades.const import MAX_CLASSES
from lacewingdock.components.cascades.policy import CascadePolicy
from lacewingdock.components.cascades.stats import StepStats, VerdictStats

PRICES = [0.3, 3.0]
events = st.lists(
    st.tuples(
        st.sampled_from(["a", "b"]),
        st.integers(0, 1),
        st.floats(0, 1),
        st.floats(0, 1),
        st.booleans(),
    ),
    max_size=80,
)


@given(events)
@settings(derandomize=True, deadline=None, max_examples=50)
def test_every_choice_ends_in_a_step_that_gives_its_answer(history):
    policy = CascadePolicy(0.9, PRICES)
    for name, step, score, rating, given_ in history:
        policy.add_answer(name, step, score, 1.0)
        policy.add_rating(name, step, score, rating, given_)
        choice = policy.choose(name, rating)
        indexes = [s.index for s in choice]
        assert indexes == sorted(set(indexes))
        assert choice[-1].accept is None
        assert all(s.accept is not None for s in choice[:-1])


@given(st.lists(st.tuples(st.floats(0, 1), st.floats(0, 1)), max_size=80))
@settings(derandomize=True, deadline=None, max_examples=50)
def test_a_better_verdict_never_means_a_lower_chance(ratings):
    verdicts, step = VerdictStats(), StepStats(1.0)
    for score, rating in ratings:
        verdicts.add_rating(score, rating)
        step.add_answer(score, 1.0)
        step.add_rating(score, rating)
    chances = step.chances(verdicts.ratios())
    assert chances == sorted(chances)
    assert all(0.0 <= chance <= 1.0 for chance in chances)


@pytest.mark.parametrize(
    ("cheap_is_good", "first", "why"),
    [
        (1.0, 0, "a cheap step that always suffices is taken"),
        (0.0, 1, "a cheap step that never suffices is skipped"),
    ],
)
def test_learns_which_step_suffices(cheap_is_good, first, why):
    policy = CascadePolicy(0.9, PRICES)
    score = 0.95 if cheap_is_good else 0.05
    for _ in range(400):
        policy.choose("plan")
        policy.add_answer("plan", 0, score, 0.3)
        policy.add_rating("plan", 0, score, cheap_is_good, True)
        policy.add_rating("plan", 1, None, 1.0, True)
    assert policy.choose("plan")[0].index == first, why


def test_a_step_that_always_suffices_is_streamed():
    policy = CascadePolicy(0.9, PRICES)
    for _ in range(400):
        policy.choose("tags")
        policy.add_answer("tags", 0, 0.95, 0.3)
        policy.add_rating("tags", 0, 0.95, 1.0, True)
    assert policy.choose("tags")[0].accept is None


def test_class_names_from_callers_do_not_fill_the_memory():
    policy = CascadePolicy(0.9, PRICES)
    for index in range(3 * MAX_CLASSES):
        policy.choose(f"class-{index}")
    assert len(policy.classes) <= MAX_CLASSES
