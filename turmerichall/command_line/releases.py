"""Commands for the releases that run side by side."""

import os
import sys
from typing import Any

import httpcore
import msgspec

from turmerichall.command_line import client as clients
from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.settings import values

__all__ = ["Releases"]

CONTROL_VARIABLE = "TURMERICHALL_CONTROL"


class Releases:
    """Releases of the replicas, and the level of changes in force."""

    def __init__(self, options: commands.Options):
        self._options = options

    def status(self, *, control: str = "") -> commands.Command:
        """Show the level in force, what each replica reads, what holds back.

        Args:
            control: Addresses of the replicas' control ports,
                `host:port,host:port`, tried in order; $TURMERICHALL_CONTROL if
                not given.
        """
        return self._command("GET", "/release", control)

    def finalize(self, *, control: str = "") -> commands.Command:
        """Put in force what the replicas' release brings; there is no way back.

        It is refused while a replica of the last hour runs an earlier release,
        or has not been seen by the leader.

        Args:
            control: See `status`.
        """
        return self._command("POST", "/release/finalize", control)

    def _command(
        self, method: str, path: str, control: str
    ) -> commands.Command:
        text = control or os.environ.get(CONTROL_VARIABLE, "")
        addresses = [
            commands.parse_flag("--control", item, values.port_address)
            for item in text.replace(",", " ").split()
        ]

        def run() -> commands.ExitCode:
            if not addresses:
                print(
                    "no replica was named; give --control or"
                    f" ${CONTROL_VARIABLE}",
                    file=sys.stderr,
                )
                return commands.ExitCode.USAGE
            return self._ask(method, path, addresses)

        return commands.Command(run)

    def _ask(
        self, method: str, path: str, addresses: list[str]
    ) -> commands.ExitCode:
        for address in addresses:
            answer = clients.exchange(
                method,
                f"http://{address}{path}",
                {},
                b"",
                self._options.timeout_seconds,
            )
            if not isinstance(answer, httpcore.Response):
                print(f"{address}: no answer: {answer.detail}", file=sys.stderr)
            elif answer.status in (200, 409):
                self._print(msgspec.json.decode(answer.content))
                if answer.status == 200:
                    return commands.ExitCode.DONE
                return commands.ExitCode.REFUSED
            else:
                reason = f"{address}: answered with status {answer.status}"
                print(reason, file=sys.stderr)
        return commands.ExitCode.UNKNOWN

    def _print(self, status: dict[str, Any]) -> None:
        if self._options.output_format == "json":
            output.print_json(status)
            return
        print(f"level in force {status['in_force']} of {status['latest']}")
        for replica in status["replicas"]:
            reads = replica["reads"]
            text = "unknown" if reads is None else f"reads up to {reads}"
            away = "" if replica["connected"] else ", not connected"
            print(f"  {replica['name']}: {text}{away}")
        for reason in status["held_back_by"]:
            print(f"  held back by {reason}")
