"""Commands of the operators' command line, one module for each group."""

__all__: list[str] = []
