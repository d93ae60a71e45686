"""The replicated state machine, its changes and the state they produce."""

__all__: list[str] = []
