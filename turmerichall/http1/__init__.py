"""HTTP/1.1 client and server over trio streams, for the busiest paths.

The messages are parsed by llhttp (httptools).
"""

__all__: list[str] = []
