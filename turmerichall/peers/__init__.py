"""Connections between daemons: frames, calls and one-way messages."""

__all__: list[str] = []
