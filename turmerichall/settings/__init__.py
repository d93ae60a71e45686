"""Settings of a daemon, read from an INI file."""

__all__: list[str] = []
