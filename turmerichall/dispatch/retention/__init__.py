"""What leaves the replicated state, and what is refused while it is large.

Called by leadership, registry and the daemon of a replica.
"""

__all__: list[str] = []
