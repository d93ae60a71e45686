"""Decisions about which task runs on which worker, and why."""

__all__: list[str] = []
