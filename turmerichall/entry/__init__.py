"""Entry instances: clients' calls, passed on to the leader."""

__all__: list[str] = []
