"""Batches for the log, with each name that rows have in common written once."""

from collections.abc import Iterable
from typing import Annotated, Any, NamedTuple, TypeVar

import msgspec

__all__ = ["Packed", "pack", "unpack"]

Row = TypeVar("Row")
# Larger numbers don't fit into the log as integers.
MAX_NUMBER_DIGITS = 18

_Natural = Annotated[int, msgspec.Meta(ge=0)]


class Packed(NamedTuple):
    """A batch of starts or ends as the log holds it.

    Attributes:
        zone: The availability zone.
        epoch: Epoch of its grant.
        wall_seconds: When the batch was made, Unix time.
        values: Each value that columns refer to, once.
        numbers: For each row the number at the end of its task id plus one,
            or 0 if the id has none.
        columns: Indices in `values`: of the task ids without their numbers,
            then of each other field.  A column of equal indices has one.
    """

    zone: str
    epoch: int
    wall_seconds: float
    values: list[str | int]
    numbers: list[_Natural]
    columns: list[list[_Natural]]


def pack(
    zone: str, epoch: int, wall_seconds: float, rows: Iterable[tuple[Any, ...]]
) -> Packed:
    """Packs rows, at least one, of which the first field is a task id.

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
        different = field[:1] if len(set(field)) == 1 else field
        columns.append(
            [indices.setdefault(value, len(indices)) for value in different]
        )
    numbers = [number for _, number in split]
    return Packed(zone, epoch, wall_seconds, list(indices), numbers, columns)


def unpack(packed: Packed, row_type: type[Row]) -> list[Row]:
    """Returns the rows that were packed.

    Raises:
        IndexError: A column refers to a value that is not there.
        ValueError: A column is missing, too short or too long.
        msgspec.ValidationError: A row is none of `row_type`.

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
    """Splits a task id into what stands before its number, and the number.

    Examples:
        >>> _split("j1/0"), _split("j1/007"), _split("j1")
        (('j1', 1), ('j1/007', 0), ('j1', 0))
    """
    prefix, slash, digits = task_id.rpartition("/")
    plain = digits.isascii() and digits.isdigit()
    if not slash or not plain or len(digits) > MAX_NUMBER_DIGITS:
        return task_id, 0
    number = int(digits)
    return (prefix, number + 1) if str(number) == digits else (task_id, 0)
