"""Change of the state that operators request for an availability zone."""

import enum
from typing import NamedTuple

from turmerichall.state import operation as operations

__all__ = ["SetZoneState", "ZoneState"]


class ZoneState(enum.StrEnum):
    """The state that operators request for an availability zone.

    In an evacuated zone no task is started; running tasks continue.
    """

    SERVING = "serving"
    EVACUATED = "evacuated"


class SetZoneState(NamedTuple):
    """Change of the state that operators request for an availability zone.

    If the zone is already in that state, nothing changes and the result is the
    current version, whatever the base version.

    Attributes:
        operation: Origin and idempotency key.
        base_version: Version that the change is based on; 0 if the state of
            the zone was never changed.
        zone: Name of the zone.
        state: The requested state.
    """

    operation: operations.Operation
    base_version: int
    zone: str
    state: ZoneState
