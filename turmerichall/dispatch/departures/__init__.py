"""Ends of workers: what proves them, and workers that announce theirs."""

__all__: list[str] = []
