"""Tests of the record of processes that ended by an error."""

import pathlib

from turmerichall.supervision import end_record
from turmerichall.supervision import failure as failures
from turmerichall.telemetry import lightweight_metrics


def _failure(text: str) -> failures.Failure:
    """Return the description of an error in reading a file of this test."""
    try:
        with failures.context("read of a file"):
            pathlib.Path(text).read_bytes()
    except OSError as error:
        return failures.describe(error)
    raise AssertionError("the file exists")


class TestEndRecord:

    def test_survives_the_process(self, tmp_path: pathlib.Path) -> None:
        ends = end_record.Ends.from_folder(str(tmp_path))
        ends.save(ends.record.after(_failure("/no/such/file")))
        found = end_record.Ends.from_folder(str(tmp_path)).record
        assert (found.total, found.cause) == (1, "FileNotFoundError")
        assert found.during == ("read of a file",)

    def test_an_orderly_end_ends_a_repetition(self) -> None:
        record = end_record.EndRecord().after(_failure("/no/a"))
        record = record.after(_failure("/no/a"))
        assert record.repeated == 2
        record = record.after_orderly_end().after(_failure("/no/a"))
        assert (record.total, record.repeated) == (3, 1)

    def test_a_damaged_file_loses_only_the_history(
        self, tmp_path: pathlib.Path
    ) -> None:
        (tmp_path / end_record.FILE_NAME).write_bytes(b"[1, {")
        ends = end_record.Ends.from_folder(str(tmp_path))
        assert ends.record == end_record.EndRecord()

    def test_gauges_show_it(self) -> None:
        metrics_registry = lightweight_metrics.MetricsRegistry()
        end_record.register(
            metrics_registry, end_record.EndRecord(total=4, repeated=3)
        )
        text = metrics_registry.exposition().decode()
        assert "turmerichall_process_error_ends 4.0" in text
        assert "turmerichall_process_error_ends_repeated 3.0" in text
