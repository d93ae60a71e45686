"""Entry instances: their registration, presence and share leases."""

__all__: list[str] = []
