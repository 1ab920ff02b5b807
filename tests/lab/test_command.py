"""Tests of the simulate command."""

import pytest

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.lab.command import simulate
from lacewingdock.lab.deployment import load_deployment
from lacewingdock.lab.results import Day, Outcome, Row, compare
from lacewingdock.settings import SimulateSettings
from tests.lab.small_deployment import TEXT


def write_deployment(tmp_path, before="", after=""):
    """Write a deployment file with one text replaced; return its path."""
    assert before in TEXT
    path = tmp_path / "small.toml"
    path.write_text(TEXT.replace(before, after) if before else TEXT + after)
    return str(path)


CORDON = '[[faults]]\nkind = "cordon"\nat_s = 1\ndomain = "z"\n'


@pytest.mark.parametrize(
    ("before", "after", "message_part"),
    [
        ("seconds = 10.0", "seconds = -1", "`$.seconds`, not -1"),
        ('domains = ["a", "b"]', "domains = []", "`$.domains`"),
        ("slots = 16", "slots = 0", "`$.engines.slots`, not 0"),
        ("routers = 2", "routers = 2\ncolour = 3", "colour"),
        ("", CORDON, "faults.domain is none of domains, not 'z'"),
        ("", CORDON.replace("cordon", "flood"), "flood"),
        ("[engines]", "[engines", "small.toml"),
    ],
)
def test_invalid_file_error_names_key_and_value(
    tmp_path, before, after, message_part
):
    path = write_deployment(tmp_path, before, after)
    with pytest.raises(LacewingdockError) as caught:
        load_deployment(path)
    assert caught.value.kind is ErrorKind.BAD_SETTING
    assert message_part in str(caught.value)


@pytest.mark.parametrize(
    ("verb", "policies", "kind"),
    [
        ("walk", "router", ErrorKind.BAD_COMMAND),
        ("run", "router,what", ErrorKind.BAD_SETTING),
        ("compare", "router", ErrorKind.BAD_SETTING),
    ],
)
def test_invalid_arguments(tmp_path, verb, policies, kind):
    settings = SimulateSettings(policies=policies)
    with pytest.raises(LacewingdockError) as caught:
        simulate(verb, write_deployment(tmp_path), settings)
    assert caught.value.kind is kind


def test_stored_days_are_not_simulated_again(tmp_path, capsys):
    path = write_deployment(tmp_path, "seconds = 10.0", "seconds = 2.0")
    out = str(tmp_path / "rows.jsonl")
    settings = SimulateSettings(policies="router,largest", seeds=2, out=out)
    first = simulate("run", path, settings)
    assert capsys.readouterr().err.count("played") == 4
    assert simulate("run", path, settings) == first
    assert capsys.readouterr().err == ""
    found = simulate("compare", path, settings)
    assert "worst windows" in found and "route offer" in found
    # Results of another deployment are not reused.
    other = write_deployment(tmp_path, "seconds = 10.0", "seconds = 2.5")
    simulate("run", other, SimulateSettings(seeds=1, out=out))
    assert capsys.readouterr().err.count("played") == 1


def test_invalid_results_file_is_refused(tmp_path):
    out = tmp_path / "rows.jsonl"
    out.write_text("what\n")
    settings = SimulateSettings(out=str(out))
    with pytest.raises(LacewingdockError) as caught:
        simulate("run", write_deployment(tmp_path), settings)
    assert caught.value.kind is ErrorKind.BAD_SETTING


def day(policy, seed, *credits):
    """Return a day with one request a second, which earn `credits`."""
    rows = [
        Row("r", float(at), Outcome.ON_TIME, 1.0, credit, 0.1, 2.0)
        for at, credit in enumerate(credits)
    ]
    return Day(policy, seed, rows, 0, 0)


def test_differences_are_paired_by_seed():
    before = [day("a", 1, 1.0, 0.0), day("a", 2, 0.5, 0.5)]
    after = [day("b", 1, 1.0, 0.5), day("b", 2, 0.5, 1.0)]
    found = {one.name: one for one in compare(before, after)}
    credit = found["credit"]
    assert (credit.before, credit.after) == (0.5, 0.75)
    # All seeds gained the same, so the variance between days does not count.
    assert credit.error == 0.0
    assert found["second 0"].after == 0.75
