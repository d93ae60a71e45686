"""Starts the queue daemon with the settings file named in the environment.

    python -m turmerichall.platform.start

The platform sets TURMERICHALL_BOOT to the path of the file.
"""

import os
import sys

from turmerichall import queue_daemon

__all__ = ["SETTINGS_VARIABLE", "main"]

# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "TURMERICHALL_BOOT"


def main() -> None:
    """Run the daemon; exit with an error if the variable is not set."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"{SETTINGS_VARIABLE} must name a settings file", file=sys.stderr)
        sys.exit(queue_daemon.EXIT_SETTINGS)
    sys.exit(queue_daemon.serve(path))


if __name__ == "__main__":
    main()
