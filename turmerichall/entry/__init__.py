"""Entry instances, which forward clients' calls to the leader."""

__all__: list[str] = []
