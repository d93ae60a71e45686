"""Messaging between daemons: connections, calls and one-way messages."""

__all__: list[str] = []
