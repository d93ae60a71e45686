"""Evacuation of availability zones; called by leadership and planner."""

__all__: list[str] = []
