"""Starts the daemon for queues with the settings that the platform names.

python -m turmerichall.platform.start
"""

import os
import sys

from turmerichall import queue_daemon

__all__ = ["SETTINGS_VARIABLE", "main"]

# Holds the path of the settings file.
SETTINGS_VARIABLE = "TURMERICHALL_BOOT"


def main() -> None:
    """Entry point."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"{SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
        sys.exit(queue_daemon.EXIT_SETTINGS)
    sys.exit(queue_daemon.serve(path))


if __name__ == "__main__":
    main()
