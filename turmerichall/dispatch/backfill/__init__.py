"""Claims of waiting tasks on room that will be free; called by the planner."""

__all__: list[str] = []
