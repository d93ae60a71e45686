"""Storage of a replica: checksummed journal, snapshot, identity and lock."""

__all__: list[str] = []
