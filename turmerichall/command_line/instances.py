"""Commands about instances."""

from typing import Any

from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.command_line import session as sessions
from turmerichall.settings import values

__all__ = ["Instances", "status"]

_COLUMNS = (
    *("name", "role", "presence", "region", "zone"),
    *("callers", "operators", "peers"),
)
_STATUS = ("name", "role", "leader", "term", "commit", "applied", "stopped")


class Instances:
    """Entry instances, and which of them hold the replicated state."""

    def __init__(self, session: sessions.Session):
        self._session = session

    def list(self) -> commands.Command:
        """Lists entry instances, with and without a disk."""
        view = sessions.View(_COLUMNS, dict)
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
        """Removes an instance that was stopped for good.

        Args:
            name: Its name.
        """
        part = commands.value("NAME", name, values.name)
        return self._session.changing("DELETE", f"/v1/instances/{part}")


def status(session: sessions.Session) -> commands.Command:
    """Returns the command that shows the status of one instance."""
    return session.reading("/v1/status", _show_status)


def _show_status(document: dict[str, Any]) -> None:
    replica = document.pop("replica")
    grants = document.pop("grants")
    shown = {name: replica.get(name) for name in _STATUS if replica.get(name)}
    for group in ("members", "learners"):
        names = [member["name"] for member in replica.get(group, [])]
        shown[group] = names
    seconds = replica.get("seconds_since_quorum", 0)
    shown["quorum_seconds_ago"] = round(seconds, 1) if seconds else seconds
    output.show(shown | document)
    if grants:
        print()
        output.show_rows(grants, ("zone", "holder", "epoch", "renewal"))
