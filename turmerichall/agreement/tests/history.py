"""Histories of operations, and checks of their consistency.

Each entry of the configuration is a compare-and-set register with numbered
versions.  A history of such a register is linearizable if each version has
one writer, each read of a version returns the value of that writer, and no
call sees an older version than a call that had ended before it began.
"""

import enum
from typing import NamedTuple

__all__ = ["Attempt", "Call", "Kind", "findings"]


class Kind(enum.StrEnum):
    """Outcome of a call."""

    WRITE = "write"
    READ = "read"
    CONFLICT = "conflict"
    REFUSED = "refused"


class Call(NamedTuple):
    """A call whose outcome is known.

    Attributes:
        kind: Outcome of the call.
        key: Key of the configuration entry.
        began: When the call began, mocked seconds.
        ended: When its outcome was known, mocked seconds.
        version: Version that it wrote, read or conflicted with.
        value: Value that it wrote or read; for a refusal, the value that it
            would have written.
    """

    kind: Kind
    key: str
    began: float
    ended: float
    version: int = 0
    value: float = 0.0


class Attempt(NamedTuple):
    """A granted attempt of a task.

    Attributes:
        task_id: Id of the task.
        number: Number of the attempt.
        worker: Worker that it was granted for.
        granted: When the grant was known, mocked seconds.
    """

    task_id: str
    number: int
    worker: str
    granted: float


def findings(calls: list[Call]) -> list[str]:
    """Return the violations of linearizability in a history.

    Args:
        calls: All calls whose outcome is known, in any order.

    Returns:
        A sentence per violation.
    """
    found = []
    writers: dict[tuple[str, int], float] = {}
    for call in calls:
        place = (call.key, call.version)
        if call.kind == Kind.WRITE:
            if writers.setdefault(place, call.value) != call.value:
                found.append(f"{place} was written twice")
    for call in calls:
        written = writers.get((call.key, call.version), call.value)
        if call.kind == Kind.READ and written != call.value:
            found.append(f"{call} read a value that was not written")
        if call.kind == Kind.REFUSED and call.value in writers.values():
            found.append(f"{call} was refused and written")
    for key in {call.key for call in calls}:
        found += _order_findings([call for call in calls if call.key == key])
    return found


def _order_findings(calls: list[Call]) -> list[str]:
    found = []
    ended = sorted(
        (call for call in calls if call.kind != Kind.REFUSED),
        key=lambda call: call.ended,
    )
    began = sorted(ended, key=lambda call: call.began)
    newest = 0
    position = 0
    for call in began:
        while position < len(ended) and ended[position].ended < call.began:
            newest = max(newest, ended[position].version)
            position += 1
        # Only reads are checked: a resent write may begin after the version
        # that its first transmission created.
        if call.kind == Kind.READ and call.version < newest:
            found.append(f"{call} is older than version {newest}")
    return found


def attempt_findings(attempts: list[Attempt]) -> list[str]:
    """Return a sentence per task attempt that was granted twice."""
    found = []
    granted: dict[tuple[str, int], Attempt] = {}
    for attempt in attempts:
        place = (attempt.task_id, attempt.number)
        if granted.setdefault(place, attempt) != attempt:
            found.append(f"{place} was granted twice")
    return found
