"""Errors that end the part of a replica in consensus."""

from collections.abc import Iterator

from turmerichall import errors

__all__ = ["main_failure"]


def main_failure(
    group: BaseExceptionGroup[errors.StorageError],
) -> errors.StorageError:
    """Return the error of a group that decides how a replica goes on.

    A removed replica must not rejoin when its disk fails as well, so an error
    other than a failure of the disk comes first.

    Examples:
        >>> disk, removed = errors.DiskError("a"), errors.StorageError("b")
        >>> main_failure(ExceptionGroup("", [disk, removed]))
        StorageError('b')
    """
    failures = list(_leaves(group))
    lasting = [
        failure
        for failure in failures
        if not isinstance(failure, errors.DiskError)
    ]
    return (lasting or failures)[0]


def _leaves(
    error: errors.StorageError | BaseExceptionGroup[errors.StorageError],
) -> Iterator[errors.StorageError]:
    """Yield the exceptions in nested exception groups."""
    if isinstance(error, BaseExceptionGroup):
        for each in error.exceptions:
            yield from _leaves(each)
    else:
        yield error
