"""Tests of what is read from a damaged file."""

import pytest

from turmerichall import errors
from turmerichall.storage import records

PAYLOADS = [b"one" * 300, b"two" * 300, b"three" * 300]
WHOLE = b"".join(map(records.frame, PAYLOADS))
LAST = len(records.frame(PAYLOADS[2]))


class TestTornTail:

    @pytest.mark.parametrize("missing", [1, 100, LAST - 12, LAST - 5, LAST - 1])
    def test_tail_that_was_cut_short_is_left_out(self, missing: int) -> None:
        kept, length = records.scan(WHOLE[:-missing], "log")
        assert kept == PAYLOADS[:2]
        assert length == len(WHOLE) - LAST

    @pytest.mark.parametrize("unwritten", [600, LAST, LAST + 4096])
    def test_sectors_that_were_never_written_are_left_out(
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
    def test_flipped_byte_anywhere_is_never_read_as_truth(
        self, offset: int
    ) -> None:
        damaged = bytearray(WHOLE)
        damaged[offset] ^= 0x40
        with pytest.raises(errors.CorruptLogError):
            records.scan(bytes(damaged), "log")

    def test_missing_middle_is_found(self) -> None:
        damaged = WHOLE[:100] + WHOLE[200:]
        with pytest.raises(errors.CorruptLogError):
            records.scan(damaged, "log")
