"""Agreement of the instances on one order of changes."""

__all__: list[str] = []
