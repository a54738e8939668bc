"""Conversion of table rows to CSV and from the CSV of spreadsheet programs."""

from collections.abc import Iterable, Iterator, Mapping
import csv
import dataclasses
import decimal
import io
from typing import Any, Final

from cicadahook.core import errors
from cicadahook.core import table as table_lib

LIST_SEPARATOR: Final = " "
MAX_EXPONENT: Final = 17
BYTE_ORDER_MARK: Final = "\ufeff"
TRUE_WORDS: Final = frozenset({"true", "yes", "1"})
FALSE_WORDS: Final = frozenset({"false", "no", "0"})
COLUMNS: Final = tuple(
    field.name for field in dataclasses.fields(table_lib.Row)
)
DEFAULTS: Final = table_lib.Row("", table_lib.RowKind.MODEL)

Cell = str | int | float | bool | tuple[str, ...]


@dataclasses.dataclass
class CellError(errors.CicadaError):
    """A cell has an invalid value or is missing.

    Attributes:
        location: position of the cell's row, such as `line 3`.
        column: column of the cell.
        reason: what is wrong or which values are allowed.
    """

    location: str
    column: str
    reason: str

    def __str__(self) -> str:
        return f"{self.location}, column {self.column!r}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class RowPatch:
    """New values for some columns of a row.

    Attributes:
        name: name of the row.
        location: origin of the values, for error messages.
        cells: new values by column; other columns keep theirs.
    """

    name: str
    location: str
    cells: Mapping[str, Any]

    def apply(self, base: table_lib.Row | None) -> table_lib.Row:
        """Return `base`, or a new row if it is None, with the cells set.

        Raises:
            CellError: the row is new and has no kind.
        """
        if base is not None:
            return dataclasses.replace(base, **self.cells)
        if "kind" not in self.cells:
            raise CellError(self.location, "kind", "is needed for a new row")
        blank = dataclasses.replace(DEFAULTS, name=self.name)
        return dataclasses.replace(blank, **self.cells)


def create_patch(
    name: str, texts: Mapping[str, str], location: str
) -> RowPatch:
    """Return a patch of row `name` from the texts of its cells by column.

    Raises:
        CellError: a column is unknown, or a text is invalid in its column.
    """
    cells = {
        column: _parse_cell(column, text.strip(), location)
        for column, text in texts.items()
    }
    return RowPatch(name, location, cells)


def format_csv(rows: Iterable[table_lib.Row]) -> str:
    """Return `rows` as CSV text with a header line."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in rows:
        writer.writerow(format_cell(getattr(row, column)) for column in COLUMNS)
    return output.getvalue()


def format_cell(value: Cell) -> str:
    """Return the text of one cell."""
    if isinstance(value, tuple):
        return LIST_SEPARATOR.join(value)
    if isinstance(value, bool):
        return str(value).lower()
    return str(value)


def parse_csv(content: str) -> Iterator[RowPatch]:
    """Yield a patch for each line of a CSV text; blank lines are skipped.

    The delimiter is a comma or a semicolon, since spreadsheet programs write
    one or the other depending on the language. A blank cell means the default
    of its column.

    Raises:
        CellError: a column is unknown, or a cell is invalid in its column.
    """
    lines = content.removeprefix(BYTE_ORDER_MARK)
    header = lines.partition("\n")[0]
    delimiter = ";" if header.count(";") > header.count(",") else ","
    reader = csv.reader(io.StringIO(lines), delimiter=delimiter)
    columns = [cell.strip() for cell in next(reader, [])]
    _check_header(columns)
    for cells in reader:
        location = f"line {reader.line_num}"
        if any(cell.strip() for cell in cells):
            yield _parse_line(columns, cells, location, delimiter)


def _check_header(columns: list[str]) -> None:
    """Raise CellError unless columns are known, unique and include name."""
    if "name" not in columns:
        raise CellError("line 1", "name", "must be in the header")
    for column in columns:
        if column not in COLUMNS:
            known = ", ".join(COLUMNS)
            raise CellError("line 1", column, f"must be one of {known}")
        if columns.count(column) > 1:
            raise CellError("line 1", column, "appears twice in the header")


def _parse_line(
    columns: list[str], cells: list[str], location: str, delimiter: str
) -> RowPatch:
    """Return the patch of one line of the text."""
    if len(cells) > len(columns):
        raise CellError(
            location, columns[-1], "the line has more cells than columns"
        )
    padded = cells + [""] * (len(columns) - len(cells))
    texts = dict(zip(columns, padded, strict=True))
    name = texts.pop("name").strip()
    if not name:
        raise CellError(location, "name", "must not be blank")
    if delimiter == ";":
        texts = {
            column: _use_point(column, text) for column, text in texts.items()
        }
    return create_patch(name, texts, f"{location} ({name})")


def _use_point(column: str, text: str) -> str:
    """Return `text` with a decimal point if `column` holds decimal numbers.

    Languages that use a semicolon as delimiter use a decimal comma.
    """
    is_number = isinstance(getattr(DEFAULTS, column, None), float)
    return text.replace(",", ".") if is_number else text


def _parse_cell(column: str, text: str, location: str) -> Cell:
    """Return the value of a cell, or raise CellError if it is invalid."""
    if column not in COLUMNS or column == "name":
        known = ", ".join(COLUMNS[1:])
        raise CellError(location, column, f"must be one of {known}")
    if not text and column != "kind":
        default: Cell = getattr(DEFAULTS, column)
        return default
    try:
        return _convert(column, text)
    except ValueError as error:
        raise CellError(location, column, f"{error}, not {text!r}") from error


def _convert(column: str, text: str) -> Cell:
    """Return `text` as the type of `column`, or raise ValueError."""
    default = getattr(DEFAULTS, column)
    match default:
        case table_lib.RowKind():
            return _convert_kind(text)
        case bool():
            return _convert_bool(text)
        case int() | float():
            return _convert_number(text, isinstance(default, int))
        case tuple():
            return tuple(text.split())
    return text


def _convert_kind(text: str) -> table_lib.RowKind:
    try:
        return table_lib.RowKind(text.lower())
    except ValueError as error:
        kinds = ", ".join(table_lib.RowKind)
        raise ValueError(f"must be one of {kinds}") from error


def _convert_bool(text: str) -> bool:
    if text.lower() in TRUE_WORDS:
        return True
    if text.lower() in FALSE_WORDS:
        return False
    raise ValueError("must be true or false")


def _convert_number(text: str, is_whole: bool) -> int | float:
    """Return a number.

    Spreadsheets write large whole numbers with an exponent, such as 2E+10.
    """
    try:
        number = decimal.Decimal(text)
    except decimal.InvalidOperation as error:
        raise ValueError("must be a number") from error
    if not number.is_finite() or number.adjusted() > MAX_EXPONENT:
        raise ValueError("must be a finite number of a usual size")
    if not is_whole:
        return float(number)
    if number != number.to_integral_value():
        raise ValueError("must be a whole number")
    return int(number)
