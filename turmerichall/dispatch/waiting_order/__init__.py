"""Order in which groups of waiting tasks are placed; called by the planner."""

__all__: list[str] = []
