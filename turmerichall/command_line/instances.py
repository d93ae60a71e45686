"""Commands for entry instances."""

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
_STATUS_FIELDS = (
    "name",
    "role",
    "leader",
    "term",
    "commit",
    "applied",
    "stopped",
)


class Instances:
    """Entry instances, and the members that replicate the state."""

    def __init__(self, session: sessions.Session):
        self._session = session

    def list(self) -> commands.Command:
        """List all entry instances, with and without a disk."""
        view = sessions.TableView(_COLUMNS, dict)
        return self._session.list_command("/v1/instances", view)

    def add(self, name: str, address: str) -> commands.Command:
        """Add an instance to the members that replicate the state.

        Args:
            name: Name of the instance.
            address: Address on which it listens for peers, `host:port`.
        """
        document = {
            "name": commands.parse_flag("NAME", name, values.name),
            "address": commands.parse_flag("ADDRESS", address, values.address),
        }
        return self._session.change_command("POST", "/v1/instances", document)

    def remove(self, name: str) -> commands.Command:
        """Remove an instance that was stopped permanently.

        Args:
            name: Name of the instance.
        """
        segment = commands.parse_flag("NAME", name, values.name)
        return self._session.change_command(
            "DELETE", f"/v1/instances/{segment}"
        )


def status(session: sessions.Session) -> commands.Command:
    """Return a command that shows the status of one instance."""
    return session.read_command("/v1/status", _print_status)


def _print_status(document: dict[str, Any]) -> None:
    replica = document.pop("replica")
    grants = document.pop("grants")
    fields = {
        name: replica.get(name) for name in _STATUS_FIELDS if replica.get(name)
    }
    for group in ("members", "learners"):
        names = [member["name"] for member in replica.get(group, [])]
        fields[group] = names
    seconds = replica.get("seconds_since_quorum", 0)
    fields["quorum_seconds_ago"] = round(seconds, 1) if seconds else seconds
    output.print_fields(fields | document)
    if grants:
        print()
        output.print_table(grants, ("zone", "holder", "epoch", "renewal"))
