"""Limits on what the connections of one port may take together."""

import resource
from typing import NamedTuple

__all__ = ["CONNECTION_BYTES", "Limits"]

BYTES_PER_MB = 1_000_000
# Memory of an open connection with its task: 4,096 of them took 106 MB.
CONNECTION_BYTES = 26_000
# Smallest machine that the defaults are for.
DEFAULT_MEMORY_MB = 160
# Share of a process's memory that the main port may take for bytes, and as much
# again for its connections.
SHARE = 1 / 8
# Share of the main port that a port for probes gets, whose requests have no
# body.
SIDE_SHARE = 1 / 8
# Where the system allows more descriptors, memory is what limits connections.
MAX_DESCRIPTORS = 4096
DESCRIPTOR_SHARE = 1 / 2


class Limits(NamedTuple):
    """Limits of one port.

    Attributes:
        max_bytes: Maximum size of all requests and responses that are in
            memory.
        max_connections: Maximum number of connections.
        descriptor_share: Share of the process's descriptors that they may take.
    """

    max_bytes: int
    max_connections: int
    descriptor_share: float = DESCRIPTOR_SHARE

    @classmethod
    def from_memory(cls, memory_mb: int) -> "Limits":
        """Return the limits of the main port of a process.

        Args:
            memory_mb: Memory that the process may use, in MB; 0 if unknown.

        Examples:
            >>> Limits.from_memory(200)[:2]
            (25000000, 961)
        """
        size = int((memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB * SHARE)
        return cls(size, size // CONNECTION_BYTES)

    def for_probes(self) -> "Limits":
        """Return the limits of a port for probes beside a main port.

        Examples:
            >>> Limits.from_memory(200).for_probes()[:2]
            (3125000, 120)
        """
        return Limits(
            int(self.max_bytes * SIDE_SHARE),
            int(self.max_connections * SIDE_SHARE),
            self.descriptor_share * SIDE_SHARE,
        )

    def connections(self) -> int:
        """Return the maximum number of connections at present.

        The limit of the process on descriptors may change while it runs.
        """
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft == resource.RLIM_INFINITY:
            soft = MAX_DESCRIPTORS
        allowed = min(soft, MAX_DESCRIPTORS) * self.descriptor_share
        return max(1, min(self.max_connections, int(allowed)))
