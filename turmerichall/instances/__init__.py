"""Entry instances as the replicated state lists them."""

__all__: list[str] = []
