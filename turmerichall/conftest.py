"""Passes over the tests of KNOWN-RED.txt, and begins with the long ones."""

import pathlib

import pytest

from turmerichall import errors
from turmerichall.tests import known_red

OPTION = "--known-red"
FILE = "KNOWN-RED.txt"
# They take minutes, and are run beside all others.
LONG = "test_scenarios.py"


def pytest_addoption(parser: pytest.Parser) -> None:
    """Adds the option that runs them too."""
    parser.addoption(OPTION, action="store_true", help=f"run those of {FILE}")


def _entries(config: pytest.Config) -> list[known_red.Entry]:
    path = pathlib.Path(config.rootpath, FILE)
    if not path.exists():
        return []
    try:
        return known_red.parse(path.read_text("utf-8"))
    except errors.InputError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Puts long tests first, and marks those that are listed by their id."""
    items.sort(key=lambda item: LONG not in item.nodeid)
    if config.getoption(OPTION):
        return
    entries = {entry.test: entry for entry in _entries(config)}
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.skip(reason=str(entries[item.nodeid])))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Prints every entry, so that none is forgotten."""
    for entry in _entries(config):
        terminalreporter.write_line(f"known red: {entry}")
