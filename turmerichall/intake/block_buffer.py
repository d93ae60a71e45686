"""Buffer for a body of unknown size that arrives in parts of any size.

One array that grows is moved to a larger place again and again; with many of
them beside each other, the gaps that they leave take more memory than they do.
"""

__all__ = ["BLOCK_BYTES", "BlockBuffer"]

BLOCK_BYTES = 16 * 1024


class BlockBuffer:
    """Received bytes, in blocks of similar size.

    Examples:
        >>> buffer = BlockBuffer()
        >>> buffer.add(b"ab")
        >>> buffer.add(b"c")
        >>> len(buffer), buffer.take(), len(buffer)
        (3, b'abc', 0)
    """

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._last = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def add(self, part: bytes) -> None:
        """Add the bytes of a part; it is not kept itself."""
        self._last += part
        self._size += len(part)
        if len(self._last) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last))
            self._last = bytearray()

    def clear(self) -> None:
        """Release all bytes."""
        self._blocks.clear()
        self._last = bytearray()
        self._size = 0

    def take(self) -> bytes:
        """Return all bytes and release them."""
        blocks = self._blocks
        blocks.append(bytes(self._last))
        whole = b"".join(blocks) if len(blocks) > 1 else blocks[0]
        self.clear()
        return whole
