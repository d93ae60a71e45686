"""Order of what a worker says of itself."""

__all__: list[str] = []
