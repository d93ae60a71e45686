"""Tests of reading truncated and damaged files of records."""

import pytest

from turmerichall import errors
from turmerichall.storage import records

PAYLOADS = [b"one" * 300, b"two" * 300, b"three" * 300]
WHOLE = b"".join(map(records.frame, PAYLOADS))
LAST = len(records.frame(PAYLOADS[2]))


class TestTornTail:

    @pytest.mark.parametrize("missing", [1, 100, LAST - 12, LAST - 5, LAST - 1])
    def test_truncated_last_record_is_left_out(self, missing: int) -> None:
        kept, length = records.scan(WHOLE[:-missing], "log")
        assert kept == PAYLOADS[:2]
        assert length == len(WHOLE) - LAST

    @pytest.mark.parametrize("unwritten", [600, LAST, LAST + 4096])
    def test_record_with_unwritten_sectors_is_left_out(
        self, unwritten: int
    ) -> None:
        size = len(WHOLE) + max(0, unwritten - LAST)
        written = (len(WHOLE) - min(unwritten, LAST)) // 512 * 512
        written = max(written, len(WHOLE) - LAST)
        data = WHOLE[:written].ljust(size, b"\0")
        kept, _ = records.scan(data, "log")
        assert kept == PAYLOADS[:2]


class TestDamage:

    @pytest.mark.parametrize("offset", range(0, len(WHOLE), 37))
    def test_flipped_byte_anywhere_is_detected(self, offset: int) -> None:
        damaged = bytearray(WHOLE)
        damaged[offset] ^= 0x40
        with pytest.raises(errors.CorruptLogError):
            records.scan(bytes(damaged), "log")

    def test_missing_bytes_in_the_middle_are_detected(self) -> None:
        damaged = WHOLE[:100] + WHOLE[200:]
        with pytest.raises(errors.CorruptLogError):
            records.scan(damaged, "log")


class TestLargeFiles:

    # A record may begin or end anywhere in a block that was read ahead.
    @pytest.mark.parametrize("missing", [0, 1, 300_000])
    def test_records_that_cross_blocks_are_read(self, missing: int) -> None:
        sizes = (records.BLOCK_BYTES - 20, 5, 700_000, 3_000, 300_000)
        payloads = [bytes([number]) * size for number, size in enumerate(sizes)]
        data = b"".join(records.blocks(payloads))
        data = data[: len(data) - missing]
        longest = 0

        def read(offset: int, size: int) -> bytes:
            nonlocal longest
            longest = max(longest, size)
            return data[offset : offset + size]

        kept = list(records.iterate(records.Source(len(data), read), "log"))
        assert kept == payloads[: 4 if missing else 5]
        assert longest == 700_000

    @pytest.mark.parametrize("unwritten", [1024, 2 * records.BLOCK_BYTES])
    def test_long_tail_of_zeros_is_left_out(self, unwritten: int) -> None:
        data = WHOLE[:-LAST] + b"\0" * unwritten
        assert records.scan(data, "log")[0] == PAYLOADS[:2]
