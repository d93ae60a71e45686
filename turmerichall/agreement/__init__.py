"""Replicated log: consensus of the instances on one order of changes.

The protocol is Raft, with pre-votes, leadership transfer, learners and
single-server membership changes.
"""

__all__: list[str] = []
