"""Change of a configuration that holds only what differs from the one before.

The document and the decoded form are edited separately, so that no replica has
to decode a document, which releases might do differently.
"""

from collections.abc import Iterable, Iterator, Sequence
import itertools
from typing import NamedTuple, TypeVar

import msgspec

from turmerichall.http1 import server
from turmerichall.queues import configuration as configurations

__all__ = ["Described", "ReviseConfiguration", "apply"]

S = TypeVar("S", bound=Sequence[object])
T = TypeVar("T")


class Described(NamedTuple):
    """A configuration with the document that describes it.

    Attributes:
        configuration: The configuration.
        document: The document as the operator sent it.
    """

    configuration: configurations.Configuration
    document: bytes


class ReviseConfiguration(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Change of a configuration that applies to one version only.

    Each edit holds start and end in the version that it applies to, and what
    takes the place of what is between them.  Edits are in order.

    Attributes:
        base_version: Version that the edits apply to.
        version: Version of the new configuration.
        queues: Edits of the queues.
        services: Edits of the services.
        limits: The new limits on callers' requests.
        document: Edits of the document, in bytes.
    """

    base_version: int
    version: int
    queues: tuple[tuple[int, int, tuple[configurations.Queue, ...]], ...]
    services: tuple[tuple[int, int, tuple[configurations.Service, ...]], ...]
    limits: server.Limits
    document: tuple[tuple[int, int, bytes], ...]


def apply(change: ReviseConfiguration, base: Described) -> Described | None:
    """Return the new configuration; None if the change is for another version.

    Args:
        change: The change.
        base: The configuration in force.

    Examples:
        >>> limits = server.Limits()
        >>> change = ReviseConfiguration(1, 2, (), (), limits, ((1, 2, b"b"),))
        >>> base = Described(configurations.Configuration(1), b"xyz")
        >>> apply(change, base).document
        b'xbz'
        >>> apply(change, Described(configurations.Configuration(3), b"xyz"))
    """
    before = base.configuration
    if change.base_version != before.version:
        return None
    configuration = configurations.Configuration(
        change.version,
        _chain(_splice(before.queues, change.queues)),
        _chain(_splice(before.services, change.services)),
        change.limits,
    )
    document = b"".join(_splice(base.document, change.document))
    return Described(configuration, document)


def _chain(runs: Iterable[tuple[T, ...]]) -> tuple[T, ...]:
    return tuple(itertools.chain.from_iterable(runs))


def _splice(base: S, edits: Iterable[tuple[int, int, S]]) -> Iterator[S]:
    """Yield runs of the base and replacements, in the order of the result."""
    done = 0
    for start, end, replacement in edits:
        yield base[done:start]  # type: ignore[misc]
        yield replacement
        done = end
    yield base[done:]  # type: ignore[misc]
