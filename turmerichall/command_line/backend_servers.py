"""Commands for backend servers."""

from turmerichall.command_line import commands
from turmerichall.command_line import session as sessions
from turmerichall.settings import values

__all__ = ["BackendServers"]

_COLUMNS = (
    "name",
    "zone",
    "rack",
    "address",
    "intention",
    "takes_new_work",
    "leases",
    "heard_seconds_ago",
    "via",
    "version",
)


class BackendServers:
    """Backend servers, and their intended states."""

    def __init__(self, session: sessions.Session):
        self._session = session

    def list(self) -> commands.Command:
        """List the backend servers that have announced themselves."""
        view = sessions.TableView(_COLUMNS, dict)
        return self._session.list_command("/v1/backend-servers", view)

    def drain(self, name: str, *, base_version: str = "") -> commands.Command:
        """Drain a backend server: it gets no new work.

        Args:
            name: Name of the backend server.
            base_version: Version that the change is based on, as shown by
                `list`; the current version if not given.
        """
        return self._set(name, "drain", base_version)

    def resume(self, name: str, *, base_version: str = "") -> commands.Command:
        """Resume a drained backend server: it gets new work again.

        Args:
            name: Name of the backend server.
            base_version: See `drain`.
        """
        return self._set(name, "resume", base_version)

    def start(self, name: str, *, base_version: str = "") -> commands.Command:
        """Mark a stopped backend server as started: it gets new work again.

        Args:
            name: Name of the backend server.
            base_version: See `drain`.
        """
        return self._set(name, "start", base_version)

    def stop(self, name: str, *, base_version: str = "") -> commands.Command:
        """Mark a backend server as stopped: it gets no new work until `start`.

        Args:
            name: Name of the backend server.
            base_version: See `drain`.
        """
        return self._set(name, "stop", base_version)

    def _set(self, name: str, verb: str, base_version: str) -> commands.Command:
        segment = commands.parse_flag("NAME", name, values.name)
        document = None
        if base_version:
            version = commands.parse_flag("--base-version", base_version, int)
            document = {"base_version": version}
        path = f"/v1/backend-servers/{segment}/{verb}"
        return self._session.change_command("POST", path, document)
