"""Templates of services and batch jobs."""

__all__: list[str] = []
