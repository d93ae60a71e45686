"""Parameters of customers, and quotas of the teams they belong to."""

__all__: list[str] = []
