"""Commands about what the placing authorities decided."""

from typing import Any
import urllib.parse

from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.command_line import session as sessions
from turmerichall.settings import values

__all__ = ["Placement"]

_WORKERS = (
    "zone",
    "worker",
    "state",
    "seconds_ago",
    "next_try_seconds",
    "trying",
    "reason",
)
_HELD = ("zone", "task_id", "worker", "what", "share", "seconds_ago", "reason")
_EVICTIONS = ("zone", "when", "task_id", "worker", "reason")


class Placement:
    """Workers that get less work, throttled tasks and evictions."""

    def __init__(self, session: sessions.Session):
        self._session = session

    def show(self, *, zone: str = "") -> commands.Command:
        """Shows them as the placing authority of each zone tells them.

        Args:
            zone: Only this availability zone.
        """
        path = "/v1/placement"
        if zone:
            name = commands.value("--zone", zone, values.name)
            path += f"?{urllib.parse.urlencode({'zone': name})}"
        return self._session.reading(path, _show)


def _show(document: dict[str, Any]) -> None:
    zones = document["items"]
    for title, field, columns in (
        ("workers that get less work", "workers", _WORKERS),
        ("tasks throttled or being evicted", "held", _HELD),
        ("last evictions", "evictions", _EVICTIONS),
    ):
        print(f"{title}:")
        rows = [
            {"zone": found["zone"], **_row(item)}
            for found in zones
            for item in found.get(field, [])
        ]
        output.show_rows(rows, columns)
        print()
    for found in zones:
        if found["known"]:
            told = f"told by {found['authority']}, epoch {found['epoch']}"
        else:
            told = f"not known ({found['reason']}): {found['detail']}"
        print(f"zone {found['zone']}: {told}")


def _row(item: dict[str, Any]) -> dict[str, Any]:
    row = {
        name: round(held) if name.endswith(("seconds", "seconds_ago")) else held
        for name, held in item.items()
    }
    if "wall_seconds" in item:
        row["when"] = output.wall_time(item["wall_seconds"])
    return row
