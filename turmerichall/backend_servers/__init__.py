"""Backend servers: their announcements, and the directory that holds them."""

__all__: list[str] = []
