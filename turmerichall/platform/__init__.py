"""Wire formats and HTTP interfaces of the users' platform.

This package only translates; scheduling decisions are made in `dispatch`.
"""

__all__: list[str] = []
