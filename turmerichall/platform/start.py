"""Starts the queue daemon with the settings file named in the environment.

    python -m turmerichall.platform.start

The platform sets TURMERICHALL_BOOT to the path of the file, and may set
TURMERICHALL_DISK_MB and TURMERICHALL_MEMORY_MB to what the machine gives.
"""

from collections.abc import Mapping

import os
import sys

from turmerichall import queue_daemon
from turmerichall.settings import queue_settings

__all__ = ["SETTINGS_VARIABLE", "limits", "main"]

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "TURMERICHALL_BOOT"
# Environment variables that hold the limits of the machine, in MB.
DISK_VARIABLE = "TURMERICHALL_DISK_MB"
MEMORY_VARIABLE = "TURMERICHALL_MEMORY_MB"
MAX_DIGITS = 9


def limits(environment: Mapping[str, str]) -> queue_settings.Limits:
    """Return what the machine gives; 0 for what is missing or no number.

    Examples:
        >>> limits({DISK_VARIABLE: "128", MEMORY_VARIABLE: ""})
        Limits(disk_mb=128, memory_mb=0)
    """

    def number(name: str) -> int:
        text = environment.get(name, "")
        is_number = text.isascii() and text.isdigit()
        return int(text) if is_number and len(text) <= MAX_DIGITS else 0

    return queue_settings.Limits(number(DISK_VARIABLE), number(MEMORY_VARIABLE))


def main() -> None:
    """Run the daemon; exit with an error if the variable is not set."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"{SETTINGS_VARIABLE} must name a settings file", file=sys.stderr)
        sys.exit(queue_daemon.EXIT_SETTINGS)
    sys.exit(queue_daemon.serve(path, limits(os.environ)))


if __name__ == "__main__":
    main()
