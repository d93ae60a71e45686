"""Commands about instances."""

from turmerichall.command_line import commands
from turmerichall.command_line import session as sessions
from turmerichall.settings import values

__all__ = ["Instances"]


class Instances:
    """Instances that hold the replicated state."""

    def __init__(self, session: sessions.Session):
        self._session = session

    def list(self) -> commands.Command:
        """Lists them, as the answering instance knows them."""
        view = sessions.View(("name", "role", "address", "identity"), dict)
        return self._session.list("/v1/instances", view)

    def add(self, name: str, address: str) -> commands.Command:
        """Adds an instance to those that hold the state.

        Args:
            name: Its name.
            address: Where it listens for peers, `host:port`.
        """
        document = {
            "name": commands.value("NAME", name, values.name),
            "address": commands.value("ADDRESS", address, values.address),
        }
        return self._session.changing("POST", "/v1/instances", document)

    def remove(self, name: str) -> commands.Command:
        """Removes an instance from those that hold the state.

        Args:
            name: Its name.
        """
        part = commands.value("NAME", name, values.name)
        return self._session.changing("DELETE", f"/v1/instances/{part}")
