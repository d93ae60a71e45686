"""Benchmarks of the parts, run by the targets named `bench-`."""

__all__: list[str] = []
