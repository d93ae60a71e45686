"""Differences between two configurations, entry by entry."""

from collections.abc import Iterable
import enum
from typing import Any, NamedTuple

from turmerichall.queues import configuration as configurations

__all__ = ["Change", "Difference", "EntryKind", "FieldChange", "compare"]


class Change(enum.StrEnum):
    """What happened to an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class EntryKind(enum.StrEnum):
    """Part of the configuration that an entry belongs to."""

    ROUTE = "route"
    SERVICE = "service"
    LIMIT = "limit"


class FieldChange(NamedTuple):
    """A field of an entry before and after the change.

    Attributes:
        name: Name of the field.
        before: Its value before; None for an entry that was added.
        after: Its value after; None for an entry that was removed.
    """

    name: str
    before: Any
    after: Any


class Difference(NamedTuple):
    """An entry that two configurations don't have in common.

    Attributes:
        change: What happened to the entry.
        kind: Part of the configuration.
        key: Host and path prefix of a route, name of a service or limit.
        fields: Its fields that changed; all that have a value if it was added
            or removed.
    """

    change: Change
    kind: EntryKind
    key: str
    fields: tuple[FieldChange, ...]


def compare(
    before: configurations.Configuration, after: configurations.Configuration
) -> list[Difference]:
    """Return the entries that were added, removed and changed.

    Neither the version nor the order of entries counts.  Of several entries
    with one key the first is compared.

    Examples:
        >>> queue = configurations.Queue("q", "a.example", "/jobs/", "s")
        >>> old = configurations.Configuration(1, (queue,))
        >>> new = configurations.Configuration(2, (queue._replace(priority=0),))
        >>> compare(old, new)[0].fields
        (FieldChange(name='priority', before=1, after=0),)
    """
    differences = _compare_entries(
        EntryKind.ROUTE, _routes(before), _routes(after)
    )
    differences += _compare_entries(
        EntryKind.SERVICE, _services(before), _services(after)
    )
    old_limits, new_limits = before.limits._asdict(), after.limits._asdict()
    for name, value in old_limits.items():
        if value != new_limits[name]:
            change = FieldChange(name, value, new_limits[name])
            differences.append(
                Difference(Change.CHANGED, EntryKind.LIMIT, name, (change,))
            )
    return differences


def _routes(
    configuration: configurations.Configuration,
) -> dict[str, dict[str, Any]]:
    return _by_key(
        (queue.key, {**queue._asdict(), "advice": _advice(queue.advice)})
        for queue in configuration.queues
    )


def _advice(advice: configurations.Advice | None) -> dict[str, int] | None:
    return None if advice is None else advice._asdict()


def _services(
    configuration: configurations.Configuration,
) -> dict[str, dict[str, Any]]:
    return _by_key(
        (service.name, service._asdict()) for service in configuration.services
    )


def _by_key(
    entries: Iterable[tuple[str, dict[str, Any]]],
) -> dict[str, dict[str, Any]]:
    fields_by_key: dict[str, dict[str, Any]] = {}
    for key, fields in entries:
        fields_by_key.setdefault(key, fields)
    return fields_by_key


def _compare_entries(
    kind: EntryKind,
    before: dict[str, dict[str, Any]],
    after: dict[str, dict[str, Any]],
) -> list[Difference]:
    differences = []
    for key in sorted(before.keys() | after.keys()):
        old, new = before.get(key), after.get(key)
        if old == new:
            continue
        change = Change.CHANGED
        if old is None:
            change = Change.ADDED
        elif new is None:
            change = Change.REMOVED
        fields = _compare_fields(old or {}, new or {})
        differences.append(Difference(change, kind, key, fields))
    return differences


def _compare_fields(
    before: dict[str, Any], after: dict[str, Any]
) -> tuple[FieldChange, ...]:
    return tuple(
        FieldChange(name, before.get(name), after.get(name))
        for name in before | after
        if before.get(name) != after.get(name)
    )
