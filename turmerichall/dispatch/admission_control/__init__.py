"""Admission control of jobs; called by the leadership for each submission."""

__all__: list[str] = []
