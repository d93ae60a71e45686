"""Commands about backend servers."""

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
    """Backend servers, and what operators want of them."""

    def __init__(self, session: sessions.Session):
        self._session = session

    def list(self) -> commands.Command:
        """Lists the backend servers that announced themselves."""
        view = sessions.View(_COLUMNS, dict)
        return self._session.list("/v1/backend-servers", view)

    def drain(self, name: str, *, base_version: str = "") -> commands.Command:
        """Gives a backend server no new work.

        Args:
            name: Name of the backend server.
            base_version: Version that this is based on, as `list` shows it;
                without it the current one.
        """
        return self._set(name, "drain", base_version)

    def resume(self, name: str, *, base_version: str = "") -> commands.Command:
        """Gives a drained backend server new work again.

        Args:
            name: Name of the backend server.
            base_version: See `drain`.
        """
        return self._set(name, "resume", base_version)

    def start(self, name: str, *, base_version: str = "") -> commands.Command:
        """Gives a stopped backend server new work again.

        Args:
            name: Name of the backend server.
            base_version: See `drain`.
        """
        return self._set(name, "start", base_version)

    def stop(self, name: str, *, base_version: str = "") -> commands.Command:
        """Marks a backend server as stopped: no new work until `start`.

        Args:
            name: Name of the backend server.
            base_version: See `drain`.
        """
        return self._set(name, "stop", base_version)

    def _set(self, name: str, verb: str, base_version: str) -> commands.Command:
        part = commands.value("NAME", name, values.name)
        document = None
        if base_version:
            version = commands.value("--base-version", base_version, int)
            document = {"base_version": version}
        path = f"/v1/backend-servers/{part}/{verb}"
        return self._session.changing("POST", path, document)
