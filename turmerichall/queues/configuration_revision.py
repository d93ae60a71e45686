"""Making and applying changes of the configuration."""

import itertools
import re
from typing import TypeAlias

from turmerichall.queues import change as changes
from turmerichall.queues import configuration_edits
from turmerichall.queues import sequence_edits

__all__ = ["AnyChange", "make", "resolve"]

# A document is compared in pieces that end with a brace, such as one route.
_PIECE = re.compile(rb"[^}]*\}|[^}]+")
# A change is as large as the configuration once most of that has changed.
MAX_SHARE = 0.5

AnyChange: TypeAlias = (
    changes.SetConfiguration | configuration_edits.ReviseConfiguration
)


def make(
    base: configuration_edits.Described, new: configuration_edits.Described
) -> AnyChange:
    """Return the smaller one of the changes that lead to a configuration.

    A change that holds only what differs is returned only if it leads to
    exactly the new configuration and document.

    Args:
        base: The configuration in force.
        new: The new configuration.
    """
    whole = changes.SetConfiguration(new.configuration, new.document)
    before, after = base.configuration, new.configuration
    revision = configuration_edits.ReviseConfiguration(
        before.version,
        after.version,
        tuple(
            (
                each.start,
                each.end,
                after.queues[each.target_start : each.target_end],
            )
            for each in sequence_edits.find(before.queues, after.queues)
        ),
        tuple(
            (
                each.start,
                each.end,
                after.services[each.target_start : each.target_end],
            )
            for each in sequence_edits.find(before.services, after.services)
        ),
        after.limits,
        _document_edits(base.document, new.document),
    )
    size = sum(len(replacement) for _, _, replacement in revision.document)
    if size > MAX_SHARE * len(new.document):
        return whole
    return (
        revision if configuration_edits.apply(revision, base) == new else whole
    )


def _document_edits(
    before: bytes, after: bytes
) -> tuple[tuple[int, int, bytes], ...]:
    old: list[bytes] = _PIECE.findall(before)
    new: list[bytes] = _PIECE.findall(after)
    offsets = list(itertools.accumulate(map(len, old), initial=0))
    return tuple(
        (
            offsets[each.start],
            offsets[each.end],
            b"".join(new[each.target_start : each.target_end]),
        )
        for each in sequence_edits.find(old, new)
    )


def resolve(
    change: AnyChange, base: configuration_edits.Described
) -> configuration_edits.Described:
    """Return the configuration that is in force after a change.

    It is the one in force before if that has the same version or a higher one,
    or is another one than the change applies to.

    Args:
        change: The change.
        base: The configuration in force before.
    """
    if isinstance(change, configuration_edits.ReviseConfiguration):
        new = configuration_edits.apply(change, base) or base
    else:
        new = configuration_edits.Described(
            change.configuration, change.document
        )
    is_newer = new.configuration.version > base.configuration.version
    return new if is_newer else base
