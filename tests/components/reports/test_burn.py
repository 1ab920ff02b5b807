"""Tests for judging kept samples by objectives."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools.matchers import AfterPreprocessing, AllMatch, Equals

from lacewingdock.components.reports.burn import count, judge
from lacewingdock.components.reports.const import HOUR_S
from lacewingdock.components.reports.page import render_page
from lacewingdock.components.reports.samples import (
    Sample,
    increase,
    load_samples,
    parse_metrics,
    save_samples,
    thin,
)
from lacewingdock.components.reports.text import table
from lacewingdock.exceptions import LacewingdockError
from lacewingdock.world.objects import Objective

NOW = 1_000_000.0
WHOLE = "requests/w/whole/"
ENDS = {
    WHOLE: 90.0,
    "requests/w/refused/no_upstream": 4.0,
    "requests/w/refused/overloaded": 3.0,
    "requests/w/refused/bad_request": 50.0,
    "requests/w/refused/unauthorized": 50.0,
    "requests/w/cut/upstream_failed": 3.0,
    "requests/w/gone/": 20.0,
    "requests/other/refused/internal": 70.0,
    "first_token/w/0.5": 60.0,
    "first_token/w/1.0": 80.0,
    "first_token/w/2.0": 95.0,
    "first_token/w/+Inf": 100.0,
    "quality/w/good": 9.0,
    "quality/w/poor": 1.0,
}


@pytest.mark.parametrize(
    ("measure", "limit", "good", "total", "bound"),
    [
        ("availability", None, 90, 100, None),
        ("whole_answer", None, 90, 93, None),
        ("quality", None, 9, 10, None),
        ("first_token", 1.0, 80, 100, 1.0),
        # Between two bounds nothing is known: the lower one counts.
        ("first_token", 1.9, 80, 100, 1.0),
        ("first_token", 0.1, 0, 100, 0.0),
        ("inter_token", 0.029, 0, 0, None),
    ],
)
def test_events_of_each_measure(measure, limit, good, total, bound):
    events, judged_at = count(ENDS, "w", measure, limit)
    assert (events.good, events.total, judged_at) == (good, total, bound)


def series(*points, target="a:1"):
    """Samples of (seconds before now, start before now, whole answers)."""
    return [
        Sample(NOW - ago, target, NOW - start, {WHOLE: float(count_)})
        for ago, start, count_ in points
    ]


@pytest.mark.parametrize(
    ("samples", "seconds", "whole", "covered"),
    [
        # One reading of a process younger than the window: all it counted.
        (series((0, 100, 7)), 200, 7, 100),
        # One reading of an older process says nothing of the window.
        (series((0, 300, 7)), 200, None, 0),
        (series((150, 300, 4), (0, 300, 7)), 200, 3, 150),
        (series((250, 900, 4), (100, 900, 5), (0, 900, 7)), 200, 3, 200),
        # A restart in between: the new process counts from nothing.
        (series((150, 300, 4), (0, 100, 2)), 200, 2, 100),
        # The counter fell though the start time did not change.
        (series((150, 300, 4), (0, 300, 1)), 200, 1, 150),
        (series((0, 50, 1)) + series((0, 50, 2), target="b:1"), 200, 3, 50),
    ],
)
def test_increase_over_a_window(samples, seconds, whole, covered):
    span = increase(samples, NOW, seconds)
    assert (span.counts.get(WHOLE), span.covered_s) == (whole, covered)


steps = st.lists(
    st.tuples(st.integers(1, 50), st.integers(0, 9), st.booleans()), max_size=12
)


@settings(derandomize=True, deadline=None)
@given(steps)
def test_nothing_is_counted_twice_or_below_zero(steps):
    at, start, value, made = NOW - 1000.0, NOW - 1000.0, 0, 0
    samples = []
    for seconds, more, restart in steps:
        at += seconds
        if restart:
            start, value = at - seconds / 2, 0
        value += more
        made += more
        samples.append(Sample(at, "a:1", start, {WHOLE: float(value)}))
    counted = increase(samples, at, 5000.0).counts.get(WHOLE, 0.0)
    assert counted == made
    parts = [
        increase(samples, at - ago, 100.0).counts.get(WHOLE, 0.0)
        for ago in range(0, 700, 100)
    ]
    assert min(parts) >= 0.0
    assert sum(parts) <= made


def outage(bad_from_s, bad_part):
    """Samples each 5 minutes for 8 hours; bad from a time on."""
    samples, good, bad = [], 0.0, 0.0
    for step in range(97):
        at = NOW - 8 * HOUR_S + step * 300
        rate = bad_part if NOW - at < bad_from_s else 0.0
        good, bad = good + 1000 * (1 - rate), bad + 1000 * rate
        counts = {WHOLE: good, "requests/w/refused/internal": bad}
        samples.append(Sample(at, "a:1", NOW - 9 * HOUR_S, counts))
    return samples


@pytest.mark.parametrize(
    ("bad_from_s", "bad_part", "alert"),
    [
        (0, 0.0, "ok"),
        # Fast: within an hour, and still going on.
        (HOUR_S, 0.5, "page"),
        # Slow: 2% for 7 hours at a target of 99%.
        (7 * HOUR_S, 0.02, "ticket"),
        (7 * HOUR_S, 0.09, "page"),
        (7 * HOUR_S, 0.005, "ok"),
    ],
)
def test_alerts_on_fast_and_slow_burn(bad_from_s, bad_part, alert):
    objective = Objective(measure="availability", target=0.99)
    burn = judge("w", objective, outage(bad_from_s, bad_part), NOW)
    assert burn.alert == alert
    assert alert in table([burn])


def test_no_events_are_no_verdict():
    objective = Objective(measure="availability", target=0.99)
    burn = judge("w", objective, [], NOW)
    assert (burn.alert, burn.budget_left) == ("no data", None)


def test_page_stands_alone_and_escapes_what_it_shows():
    objective = Objective(measure="availability", target=0.99)
    samples = outage(HOUR_S, 0.5)
    burn = judge("w", objective, samples, NOW)
    burn.workspace = "<script>x</script>"
    page = render_page([burn], samples, {"1.2.3.4:5": "<b>"}, NOW)
    assert page.count("<svg") == page.count("</svg>") == 2
    assert "<script" not in page and "<b>" not in page
    for outside in ("src=", "@import", "url(http", "<link"):
        assert outside not in page


def test_samples_are_thinned_and_kept(tmp_path):
    samples = [
        Sample(NOW - 60 * minute, "a:1", 1.0, {WHOLE: 1.0})
        for minute in range(60 * 24 * 40)
    ]
    kept = thin(samples)
    assert 30 * 24 < len(kept) < 30 * 24 + 200
    path = str(tmp_path / "samples")
    save_samples(path, kept)
    assert load_samples(path) == kept
    assert load_samples(str(tmp_path / "none")) == []


@pytest.mark.parametrize("text", ["[", "{}", "x", '{"time": "x"}'])
def test_a_file_that_holds_no_samples_is_left_alone(tmp_path, text):
    path = tmp_path / "notes"
    path.write_text(text)
    with pytest.raises(LacewingdockError, match="bad_command: samples"):
        load_samples(str(path))
    assert path.read_text() == text


@settings(derandomize=True, deadline=None)
@given(st.text(max_size=80))
def test_odd_metrics_are_a_fault_of_that_daemon(text):
    try:
        found = parse_metrics(text, "a:1", NOW)
    except ValueError:
        return
    plain = AfterPreprocessing(type, Equals(float))
    assert AllMatch(plain).match(found.counts.values()) is None
