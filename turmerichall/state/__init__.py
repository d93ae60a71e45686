"""The replicated state: its changes and the machine that applies them."""

__all__: list[str] = []
