"""The operators' command line, one module for each noun."""

__all__: list[str] = []
