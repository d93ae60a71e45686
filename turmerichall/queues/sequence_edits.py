"""Edits that turn one sequence into another of which it shares long runs."""

from collections.abc import Hashable, Sequence
from typing import NamedTuple, TypeVar

__all__ = ["Edit", "find"]

T = TypeVar("T", bound=Hashable)


class Edit(NamedTuple):
    """A run of the base, and the run of the target that takes its place.

    Attributes:
        start: Start of the run in the base.
        end: End of the run in the base, exclusive.
        target_start: Start of the run in the target.
        target_end: End of the run in the target, exclusive.
    """

    start: int
    end: int
    target_start: int
    target_end: int


def find(base: Sequence[T], target: Sequence[T]) -> list[Edit]:
    """Return edits that turn a base into a target, in order.

    One pass over both, which takes linear time.  Elements that were added,
    removed or changed in place cost only themselves; those that changed places
    may cost all elements between both places.

    Args:
        base: The elements before.
        target: The elements after.

    Examples:
        >>> find("abcdef", "abxdefg")
        [Edit(start=2, end=3, target_start=2, target_end=3), \
Edit(start=6, end=6, target_start=6, target_end=7)]
        >>> find("abc", "abc")
        []
    """
    positions = {element: index for index, element in enumerate(base)}
    edits: list[Edit] = []
    # Up to here, both are covered by edits and by what they have in common.
    done = target_done = 0
    for index, element in enumerate(target):
        expected = done + index - target_done
        if expected < len(base) and base[expected] == element:
            position = expected
        else:
            position = positions.get(element, -1)
        if position < done:
            continue
        if position != done or index != target_done:
            edits.append(Edit(done, position, target_done, index))
        done, target_done = position + 1, index + 1
    if done != len(base) or target_done != len(target):
        edits.append(Edit(done, len(base), target_done, len(target)))
    return edits
