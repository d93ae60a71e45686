"""Releases side by side: which level of changes may be written."""

__all__: list[str] = []
