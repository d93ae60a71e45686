"""The data folder: checksummed log, snapshots, identity and lock."""

__all__: list[str] = []
