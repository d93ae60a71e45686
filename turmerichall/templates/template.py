"""A template: the kind of work that operators define once."""

import enum
from typing import NamedTuple

from turmerichall import errors
from turmerichall import resources

__all__ = ["Kind", "Template"]

MAX_NAME_CHARACTERS = 64


class Kind(enum.StrEnum):
    """What a template describes."""

    SERVICE = "service"
    BATCH = "batch"


class Template(NamedTuple):
    """A service or a batch job, independent of any customer.

    Attributes:
        name: Unique name.
        kind: Whether tasks serve requests or run to an end.
        size: Declared size of one task.
        run_seconds: Declared run time of one batch task, in seconds.
        idempotent: Whether a request may be run more than once unless the
            caller says otherwise.
    """

    name: str
    kind: Kind
    size: resources.Resources
    run_seconds: float = 60.0
    idempotent: bool = False

    def findings(self) -> list[errors.Finding]:
        """Checks the values and returns all faults."""
        found = name_findings("template.name", self.name)
        if self.size.processors <= 0:
            found.append(
                errors.Finding("template.size.processors", "must be above 0")
            )
        if self.size.memory_mb <= 0:
            found.append(
                errors.Finding("template.size.memory_mb", "must be above 0")
            )
        if self.size.accelerators < 0:
            found.append(
                errors.Finding(
                    "template.size.accelerators", "must not be negative"
                )
            )
        if self.run_seconds <= 0:
            found.append(
                errors.Finding("template.run_seconds", "must be above 0")
            )
        return found


def name_findings(place: str, name: str) -> list[errors.Finding]:
    """Checks that a name is safe in paths, headers and logs.

    Args:
        place: Where the name stands, for the finding.
        name: The name to check.

    Returns:
        No finding, or one.

    Examples:
        >>> name_findings("customer.name", "blue-mountain")
        []
        >>> len(name_findings("customer.name", "a/b"))
        1
    """
    allowed = name.replace("-", "").replace("_", "").replace(".", "")
    if allowed.isascii() and allowed.isalnum():
        if len(name) <= MAX_NAME_CHARACTERS:
            return []
    reason = (
        f"{name[:80]!r} is not a name: 1 to {MAX_NAME_CHARACTERS} letters,"
        " digits, '-', '_' or '.'"
    )
    return [errors.Finding(place, reason)]
