"""CSV of the table: round trip, spreadsheet formats, locations of bad cells."""

import dataclasses

import pytest

from cicadahook.core import table
from cicadahook.core import table_csv

MODEL = table.Row(
    "a", table.RowKind.MODEL, memory_bytes=20_000_000_000, weight=1.5
)
SERVICE = table.Row(
    "portal",
    table.RowKind.SERVICE,
    non_idempotent=("/bookings", "/notices"),
    allow_keyless=True,
)


def read(content: str) -> list[table.Row]:
    """Return the rows of a CSV text that has only new rows."""
    return [patch.apply(None) for patch in table_csv.parse_csv(content)]


def test_rows_survive_the_round_trip() -> None:
    content = table_csv.format_csv([MODEL, SERVICE])
    assert read(content) == [MODEL, SERVICE]
    assert read("\ufeff" + content.replace("\n", "\r\n") + ",,\n") == [
        MODEL,
        SERVICE,
    ]


def test_german_spreadsheet_is_read() -> None:
    content = "name;kind;memory_bytes;weight\na;MODEL;2E+10;1,5\n"
    assert read(content) == [MODEL]


def test_columns_not_given_keep_their_values() -> None:
    (patch,) = table_csv.parse_csv("name,priority\na,7\n")
    assert patch.apply(MODEL) == dataclasses.replace(MODEL, priority=7)


@pytest.mark.parametrize(
    ("content", "location", "column", "reason"),
    [
        ("", "line 1", "name", "header"),
        ("name,colour\n", "line 1", "colour", "must be one of"),
        ("name,kind,kind\n", "line 1", "kind", "twice"),
        ("name,kind\n,model\n", "line 2", "name", "blank"),
        ("name,kind\na,car\n", "line 2 (a)", "kind", "model, adapter"),
        ("name,weight\n\na,heavy\n", "line 3 (a)", "weight", "'heavy'"),
        ("name,weight\na,nan\n", "line 2 (a)", "weight", "finite"),
        ("name,priority\na,1.5\n", "line 2 (a)", "priority", "whole"),
        ("name,min_copies\na,1e999999\n", "line 2 (a)", "min_copies", "usual"),
        ("name,drained\na,maybe\n", "line 2 (a)", "drained", "true or false"),
        ("name,weight\na,1,2\n", "line 2", "weight", "more cells"),
        ("name,weight\na,1\n", "line 2 (a)", "kind", "needed"),
    ],
)
def test_bad_cell_is_located(
    content: str, location: str, column: str, reason: str
) -> None:
    with pytest.raises(table_csv.CellError) as caught:
        read(content)
    assert (caught.value.location, caught.value.column) == (location, column)
    assert reason in caught.value.reason
