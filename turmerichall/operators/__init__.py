"""HTTP interface for operators, workers' announcements and the platform."""

__all__: list[str] = []
