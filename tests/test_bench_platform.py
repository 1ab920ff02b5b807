"""Tests of the tools that account for a day on the platform's bench."""

from pathlib import Path

import msgspec
import pytest

from bench.platform.landing import HUNTED, HUNTED_LARGE, SWEPT, commands
from bench.platform.losses import Cause, Request, cause_of, requests_of, summary
from bench.platform.pairs import Row, table
from bench.platform.plays import BENCH_VARIABLE, Outcome, read_report

LINE = {
    "message": "request",
    "logger": "gateway",
    "request": "c-1",
    "goal_s": 2.0,
    "first_s": 0.1,
    "pause_s": 0.1,
    "seconds": 1.0,
    "outcome": "streamed",
}


def attempt(result, detail=""):
    return {"message": "attempt", "result": result, "detail": detail}


@pytest.mark.parametrize(
    ("changes", "attempts", "cause"),
    [
        ({}, [], None),
        ({"outcome": "status 200", "first_s": None}, [], None),
        ({"outcome": "caller_left"}, [], Cause.LEFT),
        ({"outcome": "broken off: reset"}, [], Cause.CUT),
        ({"outcome": "status 500"}, [], Cause.UPSTREAM),
        ({"outcome": "deadline: silent"}, [], Cause.DEADLINE),
        ({"outcome": "upstream_failed: x"}, [], Cause.OWN),
        ({"outcome": "no_upstream: x"}, [], Cause.REFUSED),
        ({"first_s": 3.0}, [attempt("Streamed")], Cause.QUEUED),
        ({"first_s": 3.0}, [attempt("Unsure")], Cause.LARGER),
        ({"first_s": 3.0}, [attempt("Broken", "reset")], Cause.BROKEN),
        ({"first_s": 3.0}, [attempt("Broken", "silent")], Cause.SILENT),
        ({"pause_s": 2.0}, [attempt("Broken", "silent")], Cause.PAUSED),
    ],
)
def test_cause(changes, attempts, cause):
    one = Request(line={**LINE, **changes}, attempts=attempts)
    assert cause_of(one) is cause


def test_lines_written_at_once_share_the_time_of_the_first():
    first = msgspec.json.encode(LINE).decode()
    second = msgspec.json.encode({**LINE, "request": "c-2"}).decode()
    text = f"built\n  7.5 front-1 {first}\n{second}\n  8 front-1 {{odd\n"
    found = requests_of(text)
    assert [(one.line["request"], one.at_s) for one in found] == [
        ("c-1", 6.5),
        ("c-2", 6.5),
    ]


REPORT = {
    "G": 0.5,
    "served": 0.9,
    "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.25, 0.5]],
    "prices": [["cloud calls", 900.0, 0.015], ["probes", 0.0, 0.0]],
    "classes": [
        {
            "name": "draft",
            "n": 9,
            "in_aim": 7,
            "late": 1,
            "refused": 0,
            "failed": 1,
            "worth": 0.8,
        }
    ],
    "windows": [
        {
            "name": "4",
            "n": 9,
            "in_aim": 7,
            "late": 1,
            "refused": 0,
            "failed": 1,
            "worth": 0.8,
        }
    ],
    "breaks": {},
}


def test_report_and_summary(tmp_path):
    path = tmp_path / "report.json"
    path.write_bytes(msgspec.json.encode(REPORT))
    found = read_report(path)
    assert found.prices == {"cloud calls": 0.015}
    late = Request(4.2, {**LINE, "first_s": 3.0}, [attempt("Unsure")])
    text = summary(found, [late])
    assert f"| {Cause.LARGER} | 1 | 1.0 | 4: 1 |" in text
    assert "| draft | 9 | 7 | 1 | 0 | 1 | 0.800 |" in text
    assert "| 4 | 9 | 7 | 1 | 0 | 1 | 0.80 |" in text


def test_pairs_show_mean_difference_and_standard_error():
    before = [Outcome(0.5, 0.9), Outcome(0.7, 0.9)]
    after = [Outcome(0.6, 0.9), Outcome(0.7, 0.9, broken={"LOST": 1})]
    lines = table([Row("day", before, after)]).splitlines()
    assert lines[2].startswith("| day | 0.600 | 0.650 | +0.050 | 0.050 |")
    assert lines[3].endswith("| 0; 1 |")


def test_landing_scores_first_and_hunts_each_deployment(monkeypatch):
    monkeypatch.setenv(BENCH_VARIABLE, "bench")
    found = commands(Path("sites"), "why", 3)
    verbs = ["score"] * 6 + ["hunt"] * 6 + ["sweep"] * len(SWEPT)
    assert [one[1] for one in found] == verbs
    for one in found:
        assert one[0] == "bench"
        assert one[2].startswith("sites/")
        assert one[-4:] == ["--jobs", "3", "--why", "why"]
    hunted = {one[2]: int(one[4]) for one in found[6:12]}
    assert min(hunted.values()) >= HUNTED_LARGE
    assert hunted["sites/further/tasnifu-dar.toml"] >= HUNTED
