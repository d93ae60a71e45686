"""Submissions of jobs to the leader, which may arrive more than once."""

__all__: list[str] = []
