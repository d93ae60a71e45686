"""Commands for the decisions of the placement authorities."""

from typing import Any
import urllib.parse

from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.command_line import session as sessions
from turmerichall.settings import values

__all__ = ["Placement"]

_WORKER_COLUMNS = (
    "zone",
    "worker",
    "state",
    "seconds_ago",
    "next_try_seconds",
    "trying",
    "reason",
)
_TASK_COLUMNS = (
    "zone",
    "task_id",
    "worker",
    "what",
    "share",
    "seconds_ago",
    "reason",
)
_EVICTION_COLUMNS = ("zone", "when", "task_id", "worker", "reason")


class Placement:
    """Workers that get less work, throttled tasks and evicted tasks."""

    def __init__(self, session: sessions.Session):
        self._session = session

    def show(self, *, zone: str = "") -> commands.Command:
        """Show what the placement authority of each zone reports.

        Args:
            zone: Only this availability zone; all zones if not given.
        """
        path = "/v1/placement"
        if zone:
            name = commands.parse_flag("--zone", zone, values.name)
            path += f"?{urllib.parse.urlencode({'zone': name})}"
        return self._session.read_command(path, _print_zones)


def _print_zones(document: dict[str, Any]) -> None:
    zones = document["items"]
    for title, field, columns in (
        ("workers that get less work", "workers", _WORKER_COLUMNS),
        ("tasks throttled or being evicted", "held", _TASK_COLUMNS),
        ("last evictions", "evictions", _EVICTION_COLUMNS),
    ):
        print(f"{title}:")
        rows = [
            {"zone": status["zone"], **_row(item)}
            for status in zones
            for item in status.get(field, [])
        ]
        output.print_table(rows, columns)
        print()
    for status in zones:
        if status["known"]:
            source = (
                f"reported by {status['authority']}, epoch {status['epoch']}"
            )
        else:
            source = f"not known ({status['reason']}): {status['detail']}"
        print(f"zone {status['zone']}: {source}")


def _row(item: dict[str, Any]) -> dict[str, Any]:
    row = {
        name: round(value)
        if name.endswith(("seconds", "seconds_ago"))
        else value
        for name, value in item.items()
    }
    if "wall_seconds" in item:
        row["when"] = output.format_time(item["wall_seconds"])
    return row
