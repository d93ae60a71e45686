"""Levels of what is written to the log, by the release that brought it.

A release reads all levels up to `LATEST`.  What is written goes by the level in
force, which is part of the replicated state and is raised by a change, so that
every replica that may have to read it can.  See docs/design/releases.md.
"""

import msgspec

__all__ = [
    "FORGETTING",
    "LATEST",
    "LEVELS",
    "RaiseLevel",
    "describe",
]

# Removal of what has ended, by the change `Forget`.
FORGETTING = 1
# The level itself, by the change `RaiseLevel`.
RAISING = 2
LATEST = RAISING

# What each level brought: kinds of changes, which earlier releases can't read,
# and fields at the end of records, which they ignore.
LEVELS: dict[int, tuple[str, ...]] = {
    0: (
        "SetConfiguration",
        "AcceptJob",
        "CancelJob",
        "StartRuns",
        "EndRuns",
        "RegisterWorker",
        "DrainWorker",
        "LoseWorker",
        "NoteInterference",
        "ClearCrashes",
        "ResizeWorker",
        "BeginEvacuation",
        "EndEvacuation",
        "ReviseConfiguration",
    ),
    FORGETTING: ("Forget",),
    RAISING: (
        "RaiseLevel",
        "Forget.withdrawn",
        "_Snapshot.withdrawn",
        "_Snapshot.level",
        "Job.begun",
        "StepProgress.failed_runs",
        "StepProgress.latest_failed_run",
    ),
}


class RaiseLevel(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Change that raises the level in force.

    Attributes:
        level: The level; a lower one than that in force has no effect.
    """

    level: int


def describe(level: int) -> str:
    """Return what a level brought, for operators.

    Examples:
        >>> describe(1)
        'Forget'
    """
    return ", ".join(LEVELS.get(level, ()))
