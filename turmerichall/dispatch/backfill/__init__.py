"""Reservations of room that will be free soon; called by the planner."""

__all__: list[str] = []
