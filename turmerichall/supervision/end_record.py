"""Record of the processes on one data folder that ended by an error.

A process that ends at the same place again and again shows this in its log at
the next start, and in its metrics while it runs.
"""

import pathlib
from typing import NamedTuple

import msgspec

from turmerichall.storage import files as storage_files
from turmerichall.supervision import failure as failures
from turmerichall.telemetry import lightweight_metrics

__all__ = ["EndRecord", "Ends", "FILE_NAME", "register"]

FILE_NAME = "ends.json"


class EndRecord(NamedTuple):
    """Ends of processes on one data folder.

    Attributes:
        total: Number of processes that ended by an error.
        repeated: Number of the latest of them that ended at the same place,
            with no orderly end in between.
        cause: Class of the latest exception.
        detail: Its message.
        place: Where it was raised.
        during: What was being done, outermost first.
    """

    total: int = 0
    repeated: int = 0
    cause: str = ""
    detail: str = ""
    place: str = ""
    during: tuple[str, ...] = ()

    def after(self, failure: failures.Failure) -> "EndRecord":
        """Return the record after one more end by an error.

        Examples:
            >>> failure = failures.describe(KeyError("a"))
            >>> EndRecord().after(failure).after(failure)[:3]
            (2, 2, 'KeyError')
        """
        same = (failure.cause, failure.place) == (self.cause, self.place)
        return EndRecord(
            self.total + 1,
            self.repeated + 1 if same and self.repeated else 1,
            failure.cause,
            failure.detail,
            failure.place,
            failure.during,
        )

    def after_orderly_end(self) -> "EndRecord":
        """Return the record after an orderly end."""
        return self._replace(repeated=0)


class Ends:
    """The record of one data folder.

    Attributes:
        record: The record, without the end of this process.
    """

    def __init__(self, files: storage_files.Files | None):
        self._files = files
        self.record = self._load()

    @classmethod
    def from_folder(cls, folder: str) -> "Ends":
        """Return the record in a data folder; empty without a folder."""
        if not folder:
            return cls(None)
        return cls(storage_files.DiskFiles(pathlib.Path(folder)))

    def _load(self) -> EndRecord:
        if self._files is None:
            return EndRecord()
        try:
            data = self._files.read(FILE_NAME)
            return msgspec.json.decode(data or b"[]", type=EndRecord)
        except (OSError, msgspec.DecodeError, UnicodeDecodeError):
            # Lost with the disk or cut off by a loss of power; only the
            # history is lost.
            return EndRecord()

    def save(self, record: EndRecord) -> None:
        """Write the record; blocks on file I/O.

        Raises:
            OSError: The file can't be written.
        """
        if self._files is not None and record != self.record:
            self._files.replace(FILE_NAME, msgspec.json.encode(record))


def register(
    metrics_registry: lightweight_metrics.MetricsRegistry, record: EndRecord
) -> None:
    """Register the gauges of a process's predecessors.

    Args:
        metrics_registry: Metrics of this process.
        record: Ends of the processes before this one.
    """
    metrics_registry.add_gauge(
        "process_error_ends",
        "Number of processes on this data folder that ended by an error.",
        lambda: record.total,
    )
    metrics_registry.add_gauge(
        "process_error_ends_repeated",
        "Number of the latest processes on this data folder that ended by an"
        " error at the same place.",
        lambda: record.repeated,
    )
