"""Quantities of processors, memory and accelerators."""

from typing import NamedTuple

__all__ = ["Resources", "ZERO"]


class Resources(NamedTuple):
    """Resources that a worker offers or a task needs.

    Attributes:
        processors: Processor cores; fractions are allowed.
        memory_mb: Memory in MiB.
        accelerators: Number of accelerators.

    Examples:
        >>> Resources(4, 1024).fits_in(Resources(8, 2048, 1))
        True
        >>> Resources(4, 1024).plus(Resources(1, 24))
        Resources(processors=5, memory_mb=1048, accelerators=0)
    """

    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_in(self, available: "Resources") -> bool:
        """Return whether no amount exceeds the same resource in `available`."""
        return (
            self.processors <= available.processors + 1e-9
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: "Resources") -> "Resources":
        """Return the sum of both amounts of each resource."""
        return Resources(
            self.processors + other.processors,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Return the amounts minus those of `other`; they may be negative."""
        return Resources(
            self.processors - other.processors,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def minimum(self, other: "Resources") -> "Resources":
        """Return the lower of both amounts of each resource."""
        return Resources(
            min(self.processors, other.processors),
            min(self.memory_mb, other.memory_mb),
            min(self.accelerators, other.accelerators),
        )

    def maximum(self, other: "Resources") -> "Resources":
        """Return the higher of both amounts of each resource."""
        return Resources(
            max(self.processors, other.processors),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )


ZERO = Resources()
