"""Hostile inputs for decoders, state machines and running processes."""

__all__: list[str] = []
