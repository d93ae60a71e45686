"""Best-effort tasks beside long-running ones; called by pacing, placement."""

__all__: list[str] = []
