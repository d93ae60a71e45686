"""Commands about settings files."""

import sys

from turmerichall import errors
from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.settings import reader

__all__ = ["SettingsFiles"]


class SettingsFiles:
    """Settings files of daemons."""

    def __init__(self, form: str):
        self._form = form

    def check(self, file: str) -> commands.Command:
        """Checks a settings file and prints all findings.

        Args:
            file: The INI file.
        """

        def run() -> commands.ExitCode:
            findings = _findings(file)
            if self._form == "json":
                items = [finding._asdict() for finding in findings]
                output.show_json({"file": file, "findings": items})
            for finding in findings:
                print(finding, file=sys.stderr)
            if findings:
                return commands.ExitCode.REFUSED
            if self._form != "json":
                print(f"{file}: no findings")
            return commands.ExitCode.DONE

        return commands.Command(run)


def _findings(file: str) -> list[errors.Finding]:
    try:
        reader.load(file)
    except errors.SettingsError as error:
        return error.findings
    return []
