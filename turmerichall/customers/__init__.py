"""Customers' parameters and the quotas of their teams."""

__all__: list[str] = []
