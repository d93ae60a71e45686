"""Commands for availability zones."""

from typing import Any

from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.command_line import session as sessions
from turmerichall.settings import values

__all__ = ["Zones"]

_COLUMNS = (
    "name",
    "state",
    "since",
    "set_by",
    "backend_servers",
    "tasks",
    "version",
)


class Zones:
    """Availability zones, and whether tasks may start there."""

    def __init__(self, session: sessions.Session):
        self._session = session

    def list(self) -> commands.Command:
        """List the availability zones with their states."""
        view = sessions.TableView(_COLUMNS, _row)
        return self._session.list_command("/v1/zones", view)

    def evacuate(
        self, zone: str, *, base_version: str = ""
    ) -> commands.Command:
        """Evacuate a zone: no task starts there; running tasks continue.

        Callers' requests go to backend servers of other zones, unless only
        evacuated zones run the service.  Jobs that can run only there wait.

        Args:
            zone: Name of the availability zone.
            base_version: Version that the change is based on, as shown by
                `list`; the current version if not given.
        """
        return self._set(zone, "evacuate", base_version)

    def restore(self, zone: str, *, base_version: str = "") -> commands.Command:
        """Restore an evacuated zone: tasks may start there again.

        Args:
            zone: Name of the availability zone.
            base_version: See `evacuate`.
        """
        return self._set(zone, "restore", base_version)

    def _set(self, zone: str, verb: str, base_version: str) -> commands.Command:
        segment = commands.parse_flag("ZONE", zone, values.name)
        document = None
        if base_version:
            version = commands.parse_flag("--base-version", base_version, int)
            document = {"base_version": version}
        path = f"/v1/zones/{segment}/{verb}"
        return self._session.change_command("POST", path, document)


def _row(item: dict[str, Any]) -> dict[str, Any]:
    since = item["since_wall_seconds"]
    since_text = None if since is None else output.format_time(since)
    return {**item, "since": since_text}
