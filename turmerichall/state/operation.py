"""Origin and idempotency key of a change."""

from typing import NamedTuple

__all__ = ["Operation"]


class Operation(NamedTuple):
    """The origin of a change, and its idempotency key.

    Attributes:
        operation_id: Idempotency key; a retry of the operation has the same.
        operator: Name of the operator or instance that requested the change.
        wall_seconds: When the change was requested, Unix time.
    """

    operation_id: str
    operator: str
    wall_seconds: float
