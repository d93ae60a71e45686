"""The exception family of turmerichall.

Exceptions mark broken contracts and failures of the surroundings.  Expected
outcomes, such as a refused request, are values: see `turmerichall.outcomes`.
"""

from typing import NamedTuple

__all__ = [
    "CorruptLogError",
    "Finding",
    "InputError",
    "PeerError",
    "SettingsError",
    "StorageError",
    "TurmerichallError",
]


class TurmerichallError(Exception):
    """Base of every exception that turmerichall raises on purpose."""


class Finding(NamedTuple):
    """One fault found in an input, with the place it was found at.

    Attributes:
        place: Where the fault is, such as `d.ini:12 [limits] retry_ratio`.
        reason: What is wrong and what was expected.
    """

    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.place}: {self.reason}"


class FindingsError(TurmerichallError):
    """An input was rejected for one or more findings."""

    def __init__(self, findings: list[Finding]):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings


class SettingsError(FindingsError):
    """A settings file was rejected."""


class InputError(FindingsError):
    """A document sent from outside was rejected; nothing was changed."""


class StorageError(TurmerichallError):
    """The data folder failed: a full disk, a failed sync, a held lock."""


class CorruptLogError(StorageError):
    """A stored record failed its checksum in a place that is not the tail."""


class PeerError(TurmerichallError):
    """A connection to another daemon broke or carried a malformed frame."""
