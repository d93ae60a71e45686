"""Callers' requests: admission, routing, retries and their outcome."""

__all__: list[str] = []
