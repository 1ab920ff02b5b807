"""Tests of parsing the operators' language and of choosing rows."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewingdock.components.language.const import KEYWORDS, SHOW_KINDS
from lacewingdock.components.language.parser import parse
from lacewingdock.components.language.query import select_rows
from lacewingdock.components.language.statements import (
    Change,
    CommandError,
    Explain,
    RollOut,
    SetState,
    Show,
    Stop,
    Tail,
    Unload,
    Word,
)

COLUMNS = ("name", "running", "targets", "linked")
ROWS = [
    {"name": "w1", "running": 3, "targets": ["v1", "v2"], "linked": True},
    {"name": "w2", "running": 10, "targets": ["v1"], "linked": False},
    {"name": "w3", "running": 0, "targets": [], "linked": True},
]


@pytest.mark.parametrize(
    ("line", "statement"),
    [
        ("show leases", Show(Word("leases", 5))),
        (
            "show versions order by name desc limit 3",
            Show(Word("versions", 5), [], Word("name", 23), True, 3),
        ),
        ("explain route a b", Explain(Word("a", 14), Word("b", 16))),
        (
            'roll out "v 2" steps 0.1, 1 every 5 parallel 2 in p dry run',
            RollOut(
                Word("v 2", 10),
                Tail(dry_run=True),
                [0.1, 1.0],
                5.0,
                2,
                "p",
            ),
        ),
        (
            "roll out v evidence 400 every 5",
            RollOut(Word("v", 9), Tail(), dwell_s=5.0, evidence=400),
        ),
        (
            "pause m if revision 7 as c-1",
            Change("pause", Word("m", 6), Tail(7, False, "c-1")),
        ),
        ("withdraw v", SetState(Word("v", 9), "withdrawn", Tail())),
        ("offer v", SetState(Word("v", 6), "offered", Tail())),
        (
            "unload v parallel 3 as c",
            Unload(Word("v", 7), Tail(command_id="c"), 3),
        ),
        ("stop w1", Stop(Word("w1", 5), Tail())),
    ],
)
def test_statements(line, statement):
    assert parse(line) == statement


@pytest.mark.parametrize(
    ("line", "column", "words"),
    [
        ("", 0, "show"),
        ("show", 4, "a name"),
        ("show bills", 5, "bills"),
        ("shw versions", 0, "show"),
        ("show versions where", 19, "a name"),
        ("show versions limit -1", 20, "-1"),
        ("show versions limit 1.5", 20, "whole"),
        ("show versions limit nan", 20, "nan"),
        ("show versions ; stop", 14, "';'"),
        ("roll out v steps 2", 17, "from 0 to 1"),
        ("roll out v every 1 every 2", 25, "twice"),
        ("showversions", 0, "show"),
        ("withdraw v as r-1", 14, "id"),
        ("withdraw v if revision x", 23, "number"),
        ("x" * 3000, 2000, "longer"),
    ],
)
def test_errors_point_at_the_place(line, column, words):
    with pytest.raises(CommandError) as caught:
        parse(line)
    assert caught.value.column == column
    assert words in caught.value.detail


@given(
    st.one_of(
        st.text(max_size=80),
        st.lists(
            st.sampled_from(
                [*KEYWORDS, *SHOW_KINDS, "a", "1", "0.5", '"', '"b"', ",", "="]
            ),
            max_size=14,
        ).map(" ".join),
    )
)
@settings(derandomize=True, deadline=None, max_examples=1500)
def test_any_line_is_a_statement_or_a_coded_error(line):
    try:
        statement = parse(line)
    except CommandError as error:
        assert 0 <= error.column <= max(len(line), 0)
        return
    if isinstance(statement, Show):
        try:
            select_rows(statement, COLUMNS, ROWS)
        except CommandError as error:
            assert 0 <= error.column < len(line)


@pytest.mark.parametrize(
    ("query", "names"),
    [
        ("", ["w1", "w2", "w3"]),
        ("where running > 2", ["w1", "w2"]),
        ("where running >= 10 or name = w3", ["w2", "w3"]),
        ("where targets = v1 and linked = true", ["w1"]),
        ("where targets != v2", ["w2", "w3"]),
        ("where name ~ 2", ["w2"]),
        ("order by running desc", ["w2", "w1", "w3"]),
        ("order by running limit 1", ["w3"]),
    ],
)
def test_rows(query, names):
    show = parse(f"show upstreams {query}")
    assert [r["name"] for r in select_rows(show, COLUMNS, ROWS)] == names


def test_unknown_columns_are_pointed_at():
    with pytest.raises(CommandError) as caught:
        select_rows(parse("show upstreams where load > 1"), COLUMNS, ROWS)
    assert caught.value.column == 21
