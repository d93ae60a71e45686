"""Backend servers, their announcements and the directory of them."""

__all__: list[str] = []
