"""Soak of real processes with faults from outside.

python -m turmerichall.queue_soak --seed N --minutes M
"""

__all__: list[str] = []
