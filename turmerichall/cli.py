"""The operators' command line, `turmerichall`."""

import getpass
import os
import pathlib
import signal
import sys
from typing import Any, TextIO
import uuid

import fire

from turmerichall import errors
from turmerichall.command_line import backend_servers
from turmerichall.command_line import commands
from turmerichall.command_line import configuration
from turmerichall.command_line import configuration_files
from turmerichall.command_line import instances
from turmerichall.command_line import jobs
from turmerichall.command_line import placement
from turmerichall.command_line import releases
from turmerichall.command_line import requests
from turmerichall.command_line import session as sessions
from turmerichall.command_line import settings_files
from turmerichall.command_line import zones
from turmerichall.settings import values

__all__ = ["main", "parse", "run", "turmerichall"]

SERVERS_VARIABLE = "TURMERICHALL_SERVERS"
CALLERS_VARIABLE = "TURMERICHALL_CALLERS"
KEY_VARIABLE = "TURMERICHALL_KEY"
KEY_FILE_VARIABLE = "TURMERICHALL_KEY_FILE"


def turmerichall(
    *,
    server: str = "",
    callers: str = "",
    key_file: str = "",
    operator: str = "",
    operation_id: str = "",
    format: str = "table",  # pylint: disable=redefined-builtin
    timeout: str = "10 s",
) -> dict[str, Any]:
    """Operate a turmerichall cluster.

    Commands:
      template        publish, revise, list, show
      customer        set, show, list
      quota           set, list
      job             submit, status, list, cancel, explain
      backend-server  list, drain, resume, start, stop
      zone            list, evacuate, restore
      placement       show
      instance        list, add, remove
      requests        send
      config          check (settings of a daemon)
      configuration   check (configuration document of queues)
      release         status, finalize (releases of the replicas of queues)
      status

    `turmerichall NOUN VERB --help` shows the arguments of a command.

    Exit codes: 0 done; 1 refused or errors found, nothing was changed; 2 usage
    error; 3 conflict with another version; 4 unreachable or unknown outcome.
    `configuration check` has its own: 0 nothing found; 1 findings; 2 usage
    error, a document can't be read, or no replica answered.

    The operators' key is read from $TURMERICHALL_KEY or from the file that
    --key-file or $TURMERICHALL_KEY_FILE names, never from an argument.

    Args:
        server: Addresses of instances for operators, `host:port,host:port`,
            tried in order; $TURMERICHALL_SERVERS if not given.
        callers: Addresses of instances for callers, used by `requests send`;
            $TURMERICHALL_CALLERS if not given.
        key_file: File that holds the operators' key.
        operator: Name under which changes are recorded; your user name if not
            given.
        operation_id: Idempotency key of the change.  A change whose outcome is
            unknown is resent with the same id; generated if not given.
        format: `table` or `json`.
        timeout: Time that an instance may take to answer, such as `10 s`.
    """
    environment = os.environ
    output_format = commands.parse_flag(
        "--format", format, values.choice("table", "json")
    )
    options = commands.Options(
        _addresses("--server", server or environment.get(SERVERS_VARIABLE, "")),
        _addresses(
            "--callers", callers or environment.get(CALLERS_VARIABLE, "")
        ),
        _key(key_file),
        commands.parse_flag("--operator", operator or _user(), values.name),
        commands.parse_flag(
            "--operation-id", operation_id or str(uuid.uuid4()), values.name
        ),
        output_format,
        commands.parse_flag("--timeout", timeout, values.duration),
    )
    session = sessions.Session(options)

    def status() -> commands.Command:
        """Show the status of the instance that answers and of its replica."""
        return instances.status(session)

    return {
        "template": configuration.Templates(session),
        "customer": configuration.Customers(session),
        "quota": configuration.Quotas(session),
        "job": jobs.Jobs(session),
        "backend-server": backend_servers.BackendServers(session),
        "zone": zones.Zones(session),
        "placement": placement.Placement(session),
        "instance": instances.Instances(session),
        "requests": requests.Requests(options),
        "config": settings_files.SettingsFiles(output_format),
        "configuration": configuration_files.ConfigurationFiles(options),
        "release": releases.Releases(options),
        "status": status,
    }


def _addresses(flag: str, text: str) -> tuple[str, ...]:
    return tuple(
        commands.parse_flag(flag, item, values.port_address)
        for item in text.replace(",", " ").split()
    )


def _key(key_file: str) -> str:
    path = key_file or os.environ.get(KEY_FILE_VARIABLE, "")
    if not path:
        return os.environ.get(KEY_VARIABLE, "")
    try:
        return pathlib.Path(path).read_text(encoding="ascii").strip()
    except (OSError, ValueError) as error:
        reason = f"can't be read: {error}"
        raise errors.InputError(
            [errors.Finding("--key-file", reason)]
        ) from error


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "operator"


def parse(arguments: list[str]) -> commands.Command | None:
    """Parse a command line without running the command.

    Args:
        arguments: Arguments of the command line.

    Returns:
        The command; None if the arguments name no command or ask for help.

    Raises:
        InputError: The value of a flag is invalid.
        FireExit: An argument is unknown or missing.
    """
    # By default, `fire` shows help in a pager, which is another process, and
    # parses a name such as `007` as a number.
    fire.core.Display = _print_help
    fire.core.parser.DefaultParseValue = str
    result = fire.Fire(
        turmerichall, arguments, "turmerichall", serialize=_serialize
    )
    return result if isinstance(result, commands.Command) else None


def run(arguments: list[str]) -> int:
    """Parse and run one command.

    Args:
        arguments: Arguments of the command line.

    Returns:
        The exit code.
    """
    try:
        command = parse(arguments)
        return commands.ExitCode.USAGE if command is None else command.run()
    except errors.InputError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return commands.ExitCode.USAGE
    except fire.core.FireExit as exit_request:
        return int(exit_request.code)
    except OSError as error:
        print(error, file=sys.stderr)
        return commands.ExitCode.REFUSED


def _serialize(result: Any) -> Any:
    return None if isinstance(result, commands.Command) else result


def _print_help(lines: list[str], out: TextIO) -> None:
    print("\n".join(lines), file=out)


def main() -> None:
    """Entry point of `turmerichall`."""
    # A closed pipe, as in `turmerichall job list | head`, ends the command.
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
