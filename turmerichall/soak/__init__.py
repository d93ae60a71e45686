"""Soak of real processes with faults from outside.

python -m turmerichall.soak --seed N --minutes M
"""

__all__: list[str] = []
