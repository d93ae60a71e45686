"""HTTP interface for operators, workers and the platform's health probes."""

__all__: list[str] = []
