"""Soak of real processes with faults from outside, judged by what is seen there.

python -m turmerichall.soak --seed N --minutes M
"""

__all__: list[str] = []
