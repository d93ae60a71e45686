"""Compact encoding of batches of starts or ends of tasks for the log.

A batch is a table with one row for each task.  It is stored by columns, and a
value that occurs in several rows, such as the name of a worker, is stored once.
"""

from collections.abc import Iterable
from typing import Annotated, Any, NamedTuple, TypeVar

import msgspec

__all__ = ["PackedBatch", "pack", "unpack"]

Row = TypeVar("Row")
# Maximum digits of a task number that is stored as an integer.  The log's
# integers have 64 bits, which a number with more digits may exceed.
MAX_NUMBER_DIGITS = 18

_NonNegative = Annotated[int, msgspec.Meta(ge=0)]


class PackedBatch(NamedTuple):
    """A batch of starts or ends as the log stores it.

    Attributes:
        zone: The availability zone.
        epoch: Epoch of the zone's grant.
        wall_seconds: When the batch was created, Unix time.
        values: The distinct values of all columns.
        numbers: For each row, the number at the end of its task id plus one;
            0 if the id does not end in a number.
        columns: For each column of the table, the index into `values` for each
            row; just one index if it is the same for all rows.  The first
            column has the task ids without their numbers, each other column
            one field of the starts or ends.
    """

    zone: str
    epoch: int
    wall_seconds: float
    values: list[str | int]
    numbers: list[_NonNegative]
    columns: list[list[_NonNegative]]


def pack(
    zone: str, epoch: int, wall_seconds: float, rows: Iterable[tuple[Any, ...]]
) -> PackedBatch:
    """Pack rows, of which there is at least one, into a batch.

    The first field of each row is a task id.

    Examples:
        >>> packed = pack("z1", 1, 2.0, [("j1/0", "w1"), ("j1/4", "w2")])
        >>> packed.values, packed.numbers, packed.columns
        (['j1', 'w1', 'w2'], [1, 5], [[0], [1, 2]])
    """
    task_ids, *fields = zip(*rows)
    split = [_split(task_id) for task_id in task_ids]
    fields.insert(0, tuple(prefix for prefix, _ in split))
    indices: dict[str | int, int] = {}
    columns = []
    for field in fields:
        values = field[:1] if len(set(field)) == 1 else field
        columns.append(
            [indices.setdefault(value, len(indices)) for value in values]
        )
    numbers = [number for _, number in split]
    return PackedBatch(
        zone, epoch, wall_seconds, list(indices), numbers, columns
    )


def unpack(packed: PackedBatch, row_type: type[Row]) -> list[Row]:
    """Return the rows of a packed batch, each converted to `row_type`.

    Raises:
        IndexError: A column has an index beyond the end of `values`.
        ValueError: A column is missing, too short or too long.
        msgspec.ValidationError: A row can't be converted to `row_type`.

    Examples:
        >>> unpack(pack("z1", 1, 2.0, [("j1/0", "w1")]), tuple[str, str])
        [('j1/0', 'w1')]
    """
    count = len(packed.numbers)
    columns = []
    for column in packed.columns:
        values = [packed.values[index] for index in column]
        columns.append(values * count if len(values) == 1 else values)
    prefixes, *fields = columns
    task_ids = [
        f"{prefix}/{number - 1}" if number else prefix
        for prefix, number in zip(prefixes, packed.numbers, strict=True)
    ]
    rows = list(zip(task_ids, *fields, strict=True))
    return msgspec.convert(rows, list[row_type])  # type: ignore[valid-type]


def _split(task_id: str) -> tuple[str, int]:
    """Split a task id into its prefix and its number plus one.

    If the id does not end in a number, or if the number is too long or has
    leading zeros, which an integer does not preserve, returns the whole id
    and 0.

    Examples:
        >>> _split("j1/0"), _split("j1/007"), _split("j1")
        (('j1', 1), ('j1/007', 0), ('j1', 0))
    """
    prefix, slash, digits = task_id.rpartition("/")
    is_decimal = digits.isascii() and digits.isdigit()
    if not slash or not is_decimal or len(digits) > MAX_NUMBER_DIGITS:
        return task_id, 0
    number = int(digits)
    return (prefix, number + 1) if str(number) == digits else (task_id, 0)
