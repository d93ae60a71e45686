"""The leader's work: which task starts where, and orders to workers."""

__all__: list[str] = []
