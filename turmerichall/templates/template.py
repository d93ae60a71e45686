"""Templates: named definitions of services and batch jobs, set by operators."""

import enum
from typing import NamedTuple

from turmerichall import errors
from turmerichall import resources

__all__ = ["Kind", "Template"]

MAX_NAME_CHARACTERS = 64


class Kind(enum.StrEnum):
    """Kind of a template: service or batch job."""

    SERVICE = "service"
    BATCH = "batch"


class Template(NamedTuple):
    """Definition of a service or a batch job, independent of any customer.

    Attributes:
        name: Unique name.
        kind: Whether its tasks serve requests (service) or run to completion
            (batch).
        size: Resources declared for one task.
        run_seconds: Declared run time of one batch task, in seconds.
        idempotent: Whether a request to the service may be executed more than
            once, unless the caller states otherwise for that request.
    """

    name: str
    kind: Kind
    size: resources.Resources
    run_seconds: float = 60.0
    idempotent: bool = False

    def findings(self) -> list[errors.Finding]:
        """Check the fields and return a finding for each invalid one."""
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
    """Check that a name is safe to use in paths, headers and logs.

    Args:
        place: Path of the field that holds the name, reported in the finding.
        name: The name to check.

    Returns:
        A list with one finding if the name is invalid, otherwise an empty list.

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
