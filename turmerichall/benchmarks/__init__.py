"""Benchmarks, run by the make targets whose names start with `bench-`."""

__all__: list[str] = []
