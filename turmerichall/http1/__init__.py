"""HTTP/1.1 over trio streams, parsed by llhttp, for the paths called most."""

__all__: list[str] = []
