"""Settings of the daemons, read from INI files."""

__all__: list[str] = []
