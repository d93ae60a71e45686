"""Exceptions of turmerichall.

They stand for violated contracts and failures of the environment.  Expected
outcomes, such as a refused request, are return values: see
`turmerichall.outcomes`.
"""

from typing import NamedTuple

__all__ = [
    "CorruptLogError",
    "DiskError",
    "Finding",
    "InputError",
    "PeerError",
    "ReleaseError",
    "SettingsError",
    "StorageError",
    "TurmerichallError",
]


class TurmerichallError(Exception):
    """Base class of turmerichall's exceptions."""


class Finding(NamedTuple):
    """One fault in an input, and its location.

    Attributes:
        place: Location of the fault, such as `d.ini:12 [limits] retry_ratio`.
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
    """An external input was rejected; it had no effect."""


class StorageError(TurmerichallError):
    """The data folder failed: a full disk, a failed sync or a lock in use."""


class DiskError(StorageError):
    """A file operation failed; it may succeed later."""


class CorruptLogError(StorageError):
    """Stored data is damaged, malformed or out of order."""


class ReleaseError(TurmerichallError):
    """The replicated state needs a later release than this one."""


class PeerError(TurmerichallError):
    """A connection to another daemon broke or carried a malformed frame."""
