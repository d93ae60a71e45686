"""Names, formats and calls of the users' platform; decides nothing."""

__all__: list[str] = []
