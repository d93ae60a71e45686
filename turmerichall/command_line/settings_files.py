"""Commands for settings files."""

import sys

from turmerichall import errors
from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.settings import reader

__all__ = ["SettingsFiles"]


class SettingsFiles:
    """Settings files of daemons."""

    def __init__(self, output_format: str):
        self._output_format = output_format

    def check(self, file: str) -> commands.Command:
        """Check a settings file and print all findings.

        Args:
            file: Path of the INI file.
        """

        def run() -> commands.ExitCode:
            findings = _findings(file)
            if self._output_format == "json":
                items = [finding._asdict() for finding in findings]
                output.print_json({"file": file, "findings": items})
            for finding in findings:
                print(finding, file=sys.stderr)
            if findings:
                return commands.ExitCode.REFUSED
            if self._output_format != "json":
                print(f"{file}: no findings")
            return commands.ExitCode.DONE

        return commands.Command(run)


def _findings(file: str) -> list[errors.Finding]:
    try:
        reader.load(file)
    except errors.SettingsError as error:
        return error.findings
    return []
